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

// loadScale is the number of units per active flow in a heartbeat.
const loadScale = 100

// receiveGossip reads the datagrams of other hosts until the socket is closed.
func (b *Balancer) receiveGossip() {
	buf := make([]byte, peer.MaxDatagramBytes)
	for {
		n, _, err := b.control.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			log.WithError(err).Warn("reading datagram failed")
			continue
		}
		b.handleDatagram(buf[:n])
	}
}

// handleDatagram verifies and processes one datagram of another host.
func (b *Balancer) handleDatagram(datagram []byte) {
	b.stateMu.Lock()
	defer b.stateMu.Unlock()
	e, m, err := b.codec.Open(datagram)
	if err != nil {
		b.metrics.countRejected(err)
		return
	}
	now := time.Now()
	switch m := m.(type) {
	case gossip.Push:
		if b.merge(now, &m.PullReply) {
			b.publishTables(now)
		}
	case gossip.AmbiguousFlows:
		b.trafficMu.Lock()
		for _, d := range m.Flows {
			flow := cornelbay.FlowKey{Source: d.Source, Destination: d.Destination, Protocol: cornelbay.TCP.Number()}
			b.placer.Learn(now, placement.Doubt{Key: flow, Tried: d.Tried, Chosen: d.Chosen})
		}
		b.trafficMu.Unlock()
	case gossip.Heartbeat:
		if m.Host.Name == e.From && e.From != b.self.Name {
			b.handleHeartbeat(now, e.Incarnation, m)
		}
	}
}

// handleHeartbeat processes a heartbeat: membership, confirmations and load report. It
// answers if the sender has older tables, and requests a pull if it has newer ones.
// The caller holds stateMu.
func (b *Balancer) handleHeartbeat(now time.Time, incarnation cornelbay.Incarnation, p gossip.Heartbeat) {
	if b.members.Observe(now, incarnation, p) {
		log.WithFields(log.Fields{"host": p.Host.Name, "incarnation": incarnation}).Info("host heard")
		b.trafficMu.Lock()
		ambiguous := b.placer.Settled()
		b.trafficMu.Unlock()
		b.queueAmbiguous(ambiguous, p.Host.Address)
	}
	recoveredAt := b.tables.Targets.Regained()
	p.Ages.Confirm(now, p.Revisions, &b.tables)
	b.cacheConfirmedTimes()
	if b.tables.Targets.Regained() != recoveredAt {
		b.publishTables(now)
	}
	if p.IntervalMs > 0 {
		b.trafficMu.Lock()
		b.placer.Hear(p.Host.Name, reportFromHeartbeat(now, p))
		b.trafficMu.Unlock()
	}
	own := gossip.RevisionsOf(&b.tables)
	if p.Revisions.Behind(own) && b.members.ShouldReply(now, p.Host.Name) {
		b.sendToPeers(b.sealHeartbeat(now, gossip.Heartbeat{Host: b.self}), []netip.AddrPort{p.Host.Address})
	}
	if own.Behind(p.Revisions) {
		select {
		case b.pullRequests <- pullRequest{p.Host, p.Revisions}:
		default: // the queued pulls will fetch the same
		}
	}
}

// reportFromHeartbeat returns the load and outcome report in a heartbeat.
func reportFromHeartbeat(now time.Time, p gossip.Heartbeat) placement.Report {
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
			Ended: float64(o.Ended), Failed: float64(o.Failed), Took: time.Duration(o.TookMs) * time.Millisecond,
		}
	}
	return r
}

// sendHeartbeats sends a heartbeat at each interval, and soon after a change of the
// tables. The metrics and log messages call heartbeats pulses.
func (b *Balancer) sendHeartbeats() {
	interval := gossip.MinInterval
	lastReport := time.Now()
	for b.ctx.Err() == nil {
		t := time.NewTimer(interval)
		select {
		case <-b.ctx.Done():
		case <-t.C:
		case <-b.changed:
		}
		t.Stop()
		now := time.Now()
		b.logSilentHosts(lastReport, now)
		b.trafficMu.Lock()
		r := b.placer.Report(now, lastReport)
		b.trafficMu.Unlock()
		lastReport = now
		interval = b.sendHeartbeat(now, r)
	}
}

// sendHeartbeat sends this host's state and report to the other hosts and returns the
// interval until the next heartbeat.
func (b *Balancer) sendHeartbeat(now time.Time, r placement.Report) time.Duration {
	p := heartbeatFromReport(r)
	p.Host, p.Stopping = b.self, b.stopping.Load()
	b.stateMu.Lock()
	to := b.recipients(now)
	b.recipientAddrs = to
	interval := gossip.IntervalFor(len(to))
	p.IntervalMs = uint32(interval.Milliseconds())
	datagram := b.sealHeartbeat(now, p)
	b.stateMu.Unlock()
	b.sendToPeers(datagram, to)
	return interval
}

// heartbeatFromReport returns a heartbeat with this host's loads and outcomes.
func heartbeatFromReport(r placement.Report) gossip.Heartbeat {
	p := gossip.Heartbeat{Loads: make(map[uint32]uint32), Outcomes: make(map[uint32]gossip.Outcome)}
	for cookie, n := range r.Loads {
		if steps := uint32(n*loadScale + 0.5); steps > 0 {
			p.Loads[cookie] = steps
		}
	}
	for cookie, o := range r.Outcomes {
		p.Outcomes[cookie] = gossip.Outcome{
			Ended: uint32(o.Ended), Failed: uint32(o.Failed), TookMs: uint32(o.Took.Milliseconds()),
		}
	}
	return p
}

// sealHeartbeat adds the state of the tables to a heartbeat and returns its datagram,
// or nil on an error. The caller holds stateMu.
func (b *Balancer) sealHeartbeat(now time.Time, p gossip.Heartbeat) []byte {
	p.Revisions, p.Ages = gossip.RevisionsOf(&b.tables), gossip.AgesOf(now, &b.tables)
	p.Reader = b.members.IsReader(now)
	datagram, err := b.codec.Seal(p)
	// If it is too large, outcomes are dropped first, then loads: the revisions matter most.
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

// sendToPeers sends a datagram to each address; a nil datagram is ignored.
func (b *Balancer) sendToPeers(datagram []byte, to []netip.AddrPort) {
	if datagram == nil {
		return
	}
	for _, at := range to {
		if _, err := b.control.WriteToUDPAddrPort(datagram, at); err != nil {
			b.metrics.count("pulseFailed")
		}
	}
}

// recipients returns the addresses to send heartbeats to, seeds included. The caller
// holds stateMu.
func (b *Balancer) recipients(now time.Time) []netip.AddrPort {
	var registered []registry.Host
	for _, r := range b.tables.Hosts.All() {
		if !r.Gone {
			registered = append(registered, r.Value)
		}
	}
	reader := b.members.IsReader(now) || now.Sub(b.tables.Targets.Confirmed()) > registry.StaleAfter
	seen := map[netip.AddrPort]bool{b.self.Address: true}
	var to []netip.AddrPort
	add := func(at netip.AddrPort) {
		if !seen[at] {
			seen[at] = true
			to = append(to, at)
		}
	}
	for _, h := range b.members.Recipients(now, registered, reader) {
		add(h.Address)
	}
	for _, seed := range b.settings.Load().Seeds {
		add(netip.AddrPortFrom(seed, b.settings.Load().PeerPort))
	}
	return to
}

// logSilentHosts logs the hosts that have fallen silent since before.
func (b *Balancer) logSilentHosts(before, now time.Time) {
	b.stateMu.Lock()
	lost := b.members.FellSilent(before, now)
	b.stateMu.Unlock()
	for _, h := range lost {
		log.WithFields(log.Fields{"host": h.Name, "dataCentre": h.DataCentre}).Warn("host silent")
	}
}
