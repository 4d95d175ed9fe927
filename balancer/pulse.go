package balancer

import (
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/apex/log"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/gossip"
	"github.com/cornelbay/cornelbay/outlier"
	"github.com/cornelbay/cornelbay/peer"
	"github.com/cornelbay/cornelbay/placement"
	"github.com/cornelbay/cornelbay/registry"
)

// loadScale is the number of steps that a pulse tells of one active flow.
const loadScale = 100

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
	now := time.Now()
	switch m := m.(type) {
	case gossip.News:
		if b.merge(now, &m.PullReply) {
			b.apply(now)
		}
	case gossip.Doubts:
		b.trafficMu.Lock()
		for _, d := range m.All {
			flow := cornelbay.FlowKey{Source: d.Source, Destination: d.Destination, Protocol: cornelbay.TCP.Number()}
			b.placer.MergeAmbiguousFlow(now, placement.AmbiguousFlow{Key: flow, Tried: d.Tried, Chosen: d.Chosen})
		}
		b.trafficMu.Unlock()
	case gossip.Pulse:
		if m.Host.Name == e.From && e.From != b.self.Name {
			b.hearPulse(now, e.Incarnation, m)
		}
	}
}

// hearPulse is called with stateMu held.
func (b *Balancer) hearPulse(now time.Time, incarnation cornelbay.Incarnation, p gossip.Pulse) {
	if b.members.Hear(now, incarnation, p) {
		log.WithFields(log.Fields{"host": p.Host.Name, "incarnation": incarnation}).Info("host heard")
		b.trafficMu.Lock()
		settled := b.placer.ResolvedFlows()
		b.trafficMu.Unlock()
		b.queueDoubts(settled, p.Host.Address)
	}
	again := b.tables.Targets.Regained()
	p.Ages.Confirm(now, p.Revisions, &b.tables)
	b.noteConfirmed()
	if b.tables.Targets.Regained() != again {
		b.apply(now)
	}
	if p.EveryMs > 0 {
		b.trafficMu.Lock()
		b.placer.MergeReport(p.Host.Name, reportOf(now, p))
		b.trafficMu.Unlock()
	}
	own := gossip.RevisionsOf(&b.tables)
	if p.Revisions.Lacks(own) && b.members.Reply(now, p.Host.Name) {
		b.sendPeers(b.seal(now, gossip.Pulse{Host: b.self}), []netip.AddrPort{p.Host.Address})
	}
	if own.Lacks(p.Revisions) {
		select {
		case b.pulls <- ahead{p.Host, p.Revisions}:
		default: // others that wait have the same
		}
	}
}

// reportOf returns what a pulse tells of its host's flows.
func reportOf(now time.Time, p gossip.Pulse) placement.Report {
	r := placement.Report{
		At:       now,
		Loads:    make(map[uint32]float64, len(p.Loads)),
		Outcomes: make(map[uint32]outlier.Outcome, len(p.Outcomes)),
	}
	for cookie, n := range p.Loads {
		r.Loads[cookie] = float64(n) / loadScale
	}
	for cookie, o := range p.Outcomes {
		r.Outcomes[cookie] = outlier.Outcome{
			Ended: float64(o.Ended), Failed: float64(o.Failed), TotalDuration: time.Duration(o.TookMs) * time.Millisecond,
		}
	}
	return r
}

// pulse tells other hosts at each interval, and soon after a change, what this
// one knows.
func (b *Balancer) pulse() {
	every := gossip.Interval
	reported := time.Now()
	for b.ctx.Err() == nil {
		t := time.NewTimer(every)
		select {
		case <-b.ctx.Done():
		case <-t.C:
		case <-b.changed:
		}
		t.Stop()
		now := time.Now()
		b.logLost(reported, now)
		b.trafficMu.Lock()
		r := b.placer.Report(now, reported)
		b.trafficMu.Unlock()
		reported = now
		every = b.sendPulse(now, r)
	}
}

// sendPulse tells what this host knows and has open, and returns the interval until
// the next pulse.
func (b *Balancer) sendPulse(now time.Time, r placement.Report) time.Duration {
	p := pulseOf(r)
	p.Host, p.Stopping = b.self, b.stopping.Load()
	b.stateMu.Lock()
	to := b.recipients(now)
	b.told = to
	every := gossip.Every(len(to))
	p.EveryMs = uint32(every.Milliseconds())
	datagram := b.seal(now, p)
	b.stateMu.Unlock()
	b.sendPeers(datagram, to)
	return every
}

// pulseOf returns a pulse that tells of the own flows.
func pulseOf(r placement.Report) gossip.Pulse {
	p := gossip.Pulse{Loads: make(map[uint32]uint32), Outcomes: make(map[uint32]gossip.Outcome)}
	for cookie, n := range r.Loads {
		if steps := uint32(n*loadScale + 0.5); steps > 0 {
			p.Loads[cookie] = steps
		}
	}
	for cookie, o := range r.Outcomes {
		p.Outcomes[cookie] = gossip.Outcome{
			Ended: uint32(o.Ended), Failed: uint32(o.Failed), TookMs: uint32(o.TotalDuration.Milliseconds()),
		}
	}
	return p
}

// seal completes a pulse with what is known and returns its datagram, or nil
// after an error. It is called with stateMu held.
func (b *Balancer) seal(now time.Time, p gossip.Pulse) []byte {
	p.Revisions, p.Ages = gossip.RevisionsOf(&b.tables), gossip.AgesOf(now, &b.tables)
	p.Reads = b.members.Reads(now)
	datagram, err := b.codec.Seal(p)
	// What hosts know goes before what they have open, and that before what has ended.
	if errors.Is(err, peer.ErrTooLarge) {
		p.Outcomes = nil
		b.metrics.count("outcomesNotTold")
		datagram, err = b.codec.Seal(p)
	}
	if errors.Is(err, peer.ErrTooLarge) {
		p.Loads = nil
		b.metrics.count("loadsNotTold")
		datagram, err = b.codec.Seal(p)
	}
	if err != nil {
		log.WithError(err).Error("pulse not sealed")
		return nil
	}
	return datagram
}

func (b *Balancer) sendPeers(datagram []byte, to []netip.AddrPort) {
	if datagram == nil {
		return
	}
	for _, at := range to {
		if _, err := b.control.WriteToUDPAddrPort(datagram, at); err != nil {
			b.metrics.count("pulseFailed")
		}
	}
}

// recipients returns the addresses of the hosts to tell and of the seeds. It is
// called with stateMu held.
func (b *Balancer) recipients(now time.Time) []netip.AddrPort {
	var onRecord []registry.Host
	for _, r := range b.tables.Hosts.All() {
		if !r.Gone {
			onRecord = append(onRecord, r.Value)
		}
	}
	reads := b.members.Reads(now) || now.Sub(b.tables.Targets.Confirmed()) > registry.StaleAfter
	seen := map[netip.AddrPort]bool{b.self.Address: true}
	var to []netip.AddrPort
	add := func(at netip.AddrPort) {
		if !seen[at] {
			seen[at] = true
			to = append(to, at)
		}
	}
	for _, h := range b.members.Recipients(now, onRecord, reads) {
		add(h.Address)
	}
	for _, seed := range b.settings.Load().Seeds {
		add(netip.AddrPortFrom(seed, b.settings.Load().PeerPort))
	}
	return to
}

func (b *Balancer) logLost(before, now time.Time) {
	b.stateMu.Lock()
	lost := b.members.Lost(before, now)
	b.stateMu.Unlock()
	for _, h := range lost {
		log.WithFields(log.Fields{"host": h.Name, "dataCentre": h.DataCentre}).Warn("host silent")
	}
}
