package balancer

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/apex/log"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/gossip"
	"github.com/cornelbay/cornelbay/peer"
	"github.com/cornelbay/cornelbay/placement"
	"github.com/cornelbay/cornelbay/registry"
)

const (
	pullTimeout = 600 * time.Millisecond
	// farPullDelay lets a pull within the data centre come first.
	farPullDelay = 40 * time.Millisecond
	// loadScale is the number of steps that a pulse tells of one active flow.
	loadScale = 100
)

var errUnknownCall = merry.New("call is not known")

// listen reads the datagrams of other hosts until the socket is closed.
func (b *Balancer) listen() {
	buf := make([]byte, peer.MaxDatagramBytes)
	for {
		n, _, err := b.control.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			log.WithError(err).Warn("datagram not read")
			continue
		}
		b.hear(buf[:n])
	}
}

func (b *Balancer) hear(datagram []byte) {
	b.stateMu.Lock()
	defer b.stateMu.Unlock()
	e, m, err := b.codec.Open(datagram)
	if err != nil {
		b.metrics.refused(err)
		return
	}
	p, ok := m.(gossip.Pulse)
	if !ok || p.Host.Name != e.From || e.From == b.self.Name {
		return
	}
	now := time.Now()
	if b.members.Hear(now, e.Incarnation, p) {
		log.WithFields(log.Fields{"host": e.From, "incarnation": e.Incarnation}).Info("host heard")
	}
	again := b.tables.Targets.Regained()
	p.Ages.Confirm(now, p.Revisions, &b.tables)
	if b.tables.Targets.Regained() != again {
		b.apply(now)
	}
	loads := make(map[uint32]float64, len(p.Loads))
	for cookie, n := range p.Loads {
		loads[cookie] = float64(n) / loadScale
	}
	b.trafficMu.Lock()
	b.placer.Hear(e.From, placement.Report{At: now, Loads: loads})
	b.trafficMu.Unlock()
	if gossip.RevisionsOf(&b.tables).Lacks(p.Revisions) {
		select {
		case b.pulls <- p.Host:
		default: // others that wait have the same
		}
	}
}

// pulse tells the other hosts at each interval, and soon after a change, what
// this one knows.
func (b *Balancer) pulse() {
	t := time.NewTicker(gossip.Interval)
	defer t.Stop()
	reported := time.Now()
	for {
		select {
		case <-b.ctx.Done():
			return
		case <-t.C:
			b.tellLost()
		case <-b.changed:
		}
		now := time.Now()
		b.trafficMu.Lock()
		r := b.placer.Report(now, reported)
		b.trafficMu.Unlock()
		reported = now
		b.tell(now, r)
	}
}

func (b *Balancer) tell(now time.Time, r placement.Report) {
	p := gossip.Pulse{Host: b.self, Loads: make(map[uint32]uint32), Stopping: b.stopping.Load()}
	for cookie, n := range r.Loads {
		if steps := uint32(n*loadScale + 0.5); steps > 0 {
			p.Loads[cookie] = steps
		}
	}
	b.stateMu.Lock()
	p.Revisions, p.Ages = gossip.RevisionsOf(&b.tables), gossip.AgesOf(now, &b.tables)
	p.Reads = b.members.Reads(now)
	datagram, err := b.codec.Seal(p)
	if errors.Is(err, peer.ErrTooLarge) {
		p.Loads = nil // what hosts know goes before what they have open
		datagram, err = b.codec.Seal(p)
	}
	to := b.others(now)
	b.stateMu.Unlock()
	if err != nil {
		log.WithError(err).Error("pulse not sealed")
		return
	}
	for _, at := range to {
		if _, err := b.control.WriteToUDPAddrPort(datagram, at); err != nil {
			b.metrics.count("pulseFailed")
		}
	}
}

// others returns the addresses of all hosts that are on record, heard or named as
// seeds. It is called with stateMu held.
func (b *Balancer) others(now time.Time) []netip.AddrPort {
	seen := map[netip.AddrPort]bool{b.self.Address: true}
	var to []netip.AddrPort
	add := func(at netip.AddrPort) {
		if !seen[at] {
			seen[at] = true
			to = append(to, at)
		}
	}
	for _, h := range b.members.Alive(now) {
		add(h.Address)
	}
	for _, r := range b.tables.Hosts.All() {
		if !r.Gone {
			add(r.Value.Address)
		}
	}
	for _, seed := range b.settings.Load().Seeds {
		add(netip.AddrPortFrom(seed, b.settings.Load().PeerPort))
	}
	return to
}

func (b *Balancer) tellLost() {
	b.stateMu.Lock()
	lost := b.members.Lost(time.Now())
	b.stateMu.Unlock()
	for _, h := range lost {
		log.WithFields(log.Fields{"host": h.Name, "dataCentre": h.DataCentre}).Warn("host silent")
	}
}

// pull fetches from other hosts what their pulses show this one to lack.
func (b *Balancer) pull() {
	for {
		select {
		case <-b.ctx.Done():
			return
		case h := <-b.pulls:
			if h.DataCentre != b.self.DataCentre {
				b.sleep(farPullDelay)
			}
			b.pullFrom(h)
		}
	}
}

// pullSeeds asks the hosts that the settings name, which may know what the store
// cannot tell now.
func (b *Balancer) pullSeeds() {
	for _, seed := range b.settings.Load().Seeds {
		at := netip.AddrPortFrom(seed, b.settings.Load().PeerPort)
		if at != b.self.Address {
			b.goRun(func() { b.pullFrom(registry.Host{Address: at}) })
		}
	}
}

func (b *Balancer) pullFrom(h registry.Host) {
	b.stateMu.Lock()
	since := gossip.RevisionsOf(&b.tables)
	b.stateMu.Unlock()
	ctx, cancel := context.WithTimeout(b.ctx, pullTimeout)
	defer cancel()
	answer, err := b.calls.Call(ctx, cornelbay.Host{Name: h.Name, RPC: h.Address}, gossip.Pull{Since: since})
	if err != nil {
		b.metrics.count("pullFailed")
		if b.ctx.Err() == nil {
			log.WithError(err).WithField("from", h.Address.String()).Info("pull failed")
		}
		return
	}
	r := answer.(gossip.PullReply)
	changed := false
	b.change(func(now time.Time, t *registry.Tables) bool {
		if r.Incarnation >= b.codec.Incarnation {
			b.codec.Incarnation = r.Incarnation + 1
		}
		changed = r.Merge(now, t)
		return changed
	})
	if changed {
		log.WithFields(log.Fields{
			"from": h.Address.String(), "routing": r.Routing.Revision, "targets": r.Targets.Revision,
			"evacuations": r.Evacuations.Revision, "version": b.version(),
		}).Info("tables pulled")
	}
}

func (b *Balancer) answerPull(from cornelbay.HostName, args peer.Args) (any, error) {
	p, ok := args.(gossip.Pull)
	if !ok {
		return nil, errUnknownCall
	}
	b.stateMu.Lock()
	defer b.stateMu.Unlock()
	r := p.Answer(time.Now(), &b.tables)
	r.Incarnation = b.members.Incarnation(from)
	return r, nil
}
