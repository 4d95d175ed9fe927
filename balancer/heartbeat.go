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

// loadScale is the number of units per active flow in gossip.Heartbeat.Loads.
const loadScale = 100

// receiveGossip reads the datagrams of other hosts until the socket is closed.
func (b *Balancer) receiveGossip() {
	buf := make([]byte, peer.MaxDatagramBytes)
	for {
		n, _, err := b.peerConn.ReadFromUDPAddrPort(buf)
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
			b.placer.MergeAmbiguousFlow(now, placement.AmbiguousFlow{Key: flow, Tried: d.Tried, Chosen: d.Chosen})
		}
		b.trafficMu.Unlock()
	case gossip.Heartbeat:
		if m.Host.Name == e.From && e.From != b.self.Name {
			b.handleHeartbeat(now, e.Incarnation, m)
		}
	}
}

// handleHeartbeat processes a heartbeat: membership, confirmations and load report. It
// replies if the sender has older tables, and requests a pull if it has newer ones.
// The caller holds stateMu.
func (b *Balancer) handleHeartbeat(now time.Time, incarnation cornelbay.Incarnation, hb gossip.Heartbeat) {
	if b.members.Observe(now, incarnation, hb) {
		log.WithFields(log.Fields{"host": hb.Host.Name, "incarnation": incarnation}).Info("host heard")
		b.trafficMu.Lock()
		resolved := b.placer.ResolvedFlows()
		b.trafficMu.Unlock()
		b.queueAmbiguous(resolved, hb.Host.Address)
	}
	recoveredAt := b.tables.Targets.RecoveredAt()
	hb.Ages.Confirm(now, hb.Revisions, &b.tables)
	b.cacheConfirmedTimes()
	if b.tables.Targets.RecoveredAt() != recoveredAt {
		b.publishTables(now)
	}
	if hb.IntervalMs > 0 {
		b.trafficMu.Lock()
		b.placer.MergeReport(hb.Host.Name, reportFromHeartbeat(now, hb))
		b.trafficMu.Unlock()
	}
	own := gossip.RevisionsOf(&b.tables)
	if hb.Revisions.Behind(own) && b.members.AllowReply(now, hb.Host.Name) {
		b.sendToPeers(b.sealHeartbeat(now, gossip.Heartbeat{Host: b.self}), []netip.AddrPort{hb.Host.Address})
	}
	if own.Behind(hb.Revisions) {
		select {
		case b.pullRequests <- pullRequest{hb.Host, hb.Revisions}:
		default: // the queue is full; the next heartbeat requests the pull again
		}
	}
}

// reportFromHeartbeat returns the load and outcome report in a heartbeat.
func reportFromHeartbeat(now time.Time, hb gossip.Heartbeat) placement.Report {
	r := placement.Report{
		At:       now,
		Loads:    make(map[uint32]float64, len(hb.Loads)),
		Outcomes: make(map[uint32]outlier.Outcome, len(hb.Outcomes)),
	}
	for cookie, n := range hb.Loads {
		r.Loads[cookie] = float64(n) / loadScale
	}
	for cookie, o := range hb.Outcomes {
		r.Outcomes[cookie] = outlier.Outcome{
			Ended: float64(o.Ended), Failed: float64(o.Failed), TotalDuration: time.Duration(o.TookMs) * time.Millisecond,
		}
	}
	return r
}

// sendHeartbeats sends a heartbeat at each interval, and soon after a change of the
// tables. The metrics and log messages call heartbeats pulses.
func (b *Balancer) sendHeartbeats() {
	interval := gossip.MinInterval
	lastSent := time.Now()
	for b.ctx.Err() == nil {
		t := time.NewTimer(interval)
		select {
		case <-b.ctx.Done():
		case <-t.C:
		case <-b.changed:
		}
		t.Stop()
		now := time.Now()
		b.logSilentHosts(lastSent, now)
		b.trafficMu.Lock()
		r := b.placer.Report(now, lastSent)
		b.trafficMu.Unlock()
		lastSent = now
		interval = b.sendHeartbeat(now, r)
	}
}

// sendHeartbeat sends this host's state and report to the other hosts and returns the
// interval until the next heartbeat.
func (b *Balancer) sendHeartbeat(now time.Time, r placement.Report) time.Duration {
	hb := heartbeatFromReport(r)
	hb.Host, hb.Stopping = b.self, b.stopping.Load()
	b.stateMu.Lock()
	to := b.recipients(now)
	b.recipientAddrs = to
	interval := gossip.IntervalFor(len(to))
	hb.IntervalMs = uint32(interval.Milliseconds())
	datagram := b.sealHeartbeat(now, hb)
	b.stateMu.Unlock()
	b.sendToPeers(datagram, to)
	return interval
}

// heartbeatFromReport returns a heartbeat with this host's loads and outcomes.
func heartbeatFromReport(r placement.Report) gossip.Heartbeat {
	hb := gossip.Heartbeat{Loads: make(map[uint32]uint32), Outcomes: make(map[uint32]gossip.Outcome)}
	for cookie, n := range r.Loads {
		if hundredths := uint32(n*loadScale + 0.5); hundredths > 0 {
			hb.Loads[cookie] = hundredths
		}
	}
	for cookie, o := range r.Outcomes {
		hb.Outcomes[cookie] = gossip.Outcome{
			Ended: uint32(o.Ended), Failed: uint32(o.Failed), TookMs: uint32(o.TotalDuration.Milliseconds()),
		}
	}
	return hb
}

// sealHeartbeat adds the state of the tables to a heartbeat and returns its datagram,
// or nil on an error. The caller holds stateMu.
func (b *Balancer) sealHeartbeat(now time.Time, hb gossip.Heartbeat) []byte {
	hb.Revisions, hb.Ages = gossip.RevisionsOf(&b.tables), gossip.AgesOf(now, &b.tables)
	hb.Reader = b.members.IsReader(now)
	datagram, err := b.codec.Seal(hb)
	// If it is too large, outcomes are dropped first, then loads: the revisions matter most.
	if errors.Is(err, peer.ErrTooLarge) {
		hb.Outcomes = nil
		b.metrics.count("outcomesNotTold")
		datagram, err = b.codec.Seal(hb)
	}
	if errors.Is(err, peer.ErrTooLarge) {
		hb.Loads = nil
		b.metrics.count("loadsNotTold")
		datagram, err = b.codec.Seal(hb)
	}
	if err != nil {
		log.WithError(err).Error("pulse not sealed")
		return nil
	}
	return datagram
}

// sendToPeers sends a datagram to each address; a nil datagram is ignored. The verdict
// pulseFailed counts all kinds of datagrams, not only heartbeats.
func (b *Balancer) sendToPeers(datagram []byte, to []netip.AddrPort) {
	if datagram == nil {
		return
	}
	for _, at := range to {
		if _, err := b.peerConn.WriteToUDPAddrPort(datagram, at); err != nil {
			b.metrics.count("pulseFailed")
		}
	}
}

// recipients returns the addresses to send heartbeats to, seeds included. The caller
// holds stateMu.
func (b *Balancer) recipients(now time.Time) []netip.AddrPort {
	var registered []registry.Host
	for _, r := range b.tables.Hosts.All() {
		if !r.Deleted {
			registered = append(registered, r.Value)
		}
	}
	reader := b.members.IsReader(now) || now.Sub(b.tables.Targets.ConfirmedAt()) > registry.StaleAfter
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
