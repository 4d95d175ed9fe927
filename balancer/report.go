package balancer

import (
	"errors"
	"net/netip"
	"time"

	"github.com/apex/log"

	"github.com/cornelbay/cornelbay/gossip"
	"github.com/cornelbay/cornelbay/loads"
	"github.com/cornelbay/cornelbay/outlier"
	"github.com/cornelbay/cornelbay/peer"
	"github.com/cornelbay/cornelbay/registry"
)

const (
	// loadScale is the number of units per active flow in gossip.Heartbeat.Loads.
	loadScale = 100
	// maxLoads and maxOutcomes are the numbers of targets in a datagram to hosts of the tree.
	// Each fits with the longest names of hosts and data centres.
	maxLoads    = 120
	maxOutcomes = 80
)

// sendHeartbeats sends heartbeats at each interval, and soon after a change of the tables.
// In the tree only the revisions are sent after a change, since changes are as frequent as
// the fleet is large, and a relay has many neighbours.
// The metrics and log messages call heartbeats pulses.
func (b *Balancer) sendHeartbeats() {
	due := time.Now().Add(gossip.MinInterval)
	lastSent := time.Now()
	for b.ctx.Err() == nil {
		t := time.NewTimer(time.Until(due))
		changed := false
		select {
		case <-b.ctx.Done():
		case <-t.C:
		case <-b.changed:
			changed = true
		}
		t.Stop()
		now := time.Now()
		if changed && now.Before(due) && b.announceChange(now) {
			b.wakeReaders()
			continue
		}
		b.logSilentHosts(lastSent, now)
		b.trafficMu.Lock()
		r := b.placer.Report(now, lastSent)
		b.trafficMu.Unlock()
		lastSent = now
		due = now.Add(b.sendReport(now, r))
		b.wakeReaders()
	}
}

// announceChange tells the neighbours in the tree of changed tables, without loads, unless
// they have just got a push. It reports false if this host isn't in a tree.
func (b *Balancer) announceChange(now time.Time) bool {
	b.stateMu.Lock()
	defer b.stateMu.Unlock()
	if b.inMesh {
		return false
	}
	if b.pushed == gossip.RevisionsOf(&b.tables) {
		return true
	}
	n := b.members.Neighbours(now)
	if n.Mesh != nil {
		return false
	}
	b.sendToPeers(b.sealHeartbeat(now, gossip.Heartbeat{Host: b.self, Relay: true}), addresses(n.Below))
	n.Below = nil
	b.sendToPeers(b.sealHeartbeat(now, gossip.Heartbeat{Host: b.self}), addresses(n.All()))
	return true
}

// sendReport sends this host's state and report to its neighbours and returns the interval
// until the next time.
func (b *Balancer) sendReport(now time.Time, r loads.Report) time.Duration {
	b.stateMu.Lock()
	defer b.stateMu.Unlock()
	n := b.members.Neighbours(now)
	b.inMesh = len(n.Mesh) > 0 || n.Relay.Name == "" && len(n.Below) == 0
	if b.inMesh {
		to := b.withSeeds(addresses(n.Mesh))
		interval := gossip.IntervalFor(len(to))
		hb := b.heartbeat(interval)
		hb.Loads, hb.Outcomes = loadsToWire(r.Loads), outcomesToWire(r.Outcomes)
		hb.Census = b.census(now, false)
		b.sendToPeers(b.sealHeartbeat(now, hb), to)
		return interval
	}
	b.sendInTree(now, r, n)
	return gossip.RelayInterval
}

// sendInTree sends the sums of loads and outcomes up and down the tree. The caller holds
// stateMu.
func (b *Balancer) sendInTree(now time.Time, r loads.Report, n gossip.Neighbours) {
	up := b.relay.Up(now, r.Loads)
	total := b.relay.Total(now, n.Lead, up)
	b.outcomesUp.AddOutcomes(r.Outcomes)
	hb := b.heartbeat(gossip.RelayInterval)
	if n.Relay.Name != "" {
		report := hb
		report.Loads = loadsToWire(loads.Largest(up, maxLoads))
		report.Census = b.census(now, false)
		if n.StandIn {
			report.Loads, report.Census = loadsToWire(r.Loads), nil
		}
		b.sendToPeers(b.sealHeartbeat(now, report), []netip.AddrPort{n.Relay.Address})
	} else if !n.Lead {
		b.sendToPeers(b.sealHeartbeat(now, hb), b.withSeeds(nil))
	}
	if len(n.Leads) > 0 {
		report := hb
		report.Lead, report.Loads = true, loadsToWire(loads.Largest(up, maxLoads))
		report.Census = b.census(now, true)
		b.sendToPeers(b.sealHeartbeat(now, report), addresses(n.Leads))
	}
	if len(n.Below) > 0 {
		report := hb
		b.trafficMu.Lock()
		digest := b.placer.Digest(total, maxLoads)
		b.trafficMu.Unlock()
		report.Relay, report.Loads = true, loadsToWire(digest)
		report.Census = b.census(now, true)
		b.sendToPeers(b.sealHeartbeat(now, report), addresses(n.Below))
	}
	if n.Lead {
		b.mergeReport(relayedLoads, loads.Report{At: now, Loads: b.relay.Others(total)})
	}
	if r.Outcomes != nil {
		b.sendOutcomes(n)
	}
}

// sendOutcomes sends the outcomes that wait up and down the tree. The caller holds stateMu.
func (b *Balancer) sendOutcomes(n gossip.Neighbours) {
	up := b.outcomesUp.TakeOutcomes(maxOutcomes)
	switch {
	case n.Lead:
		b.outcomesDown.AddOutcomes(up)
		b.addRemoteOutcomes(up)
		b.sealOutcomes(gossip.Outcomes{Outcomes: outcomesToWire(up), Lead: true}, n.Leads)
	case n.Relay.Name != "" && !n.StandIn:
		b.sealOutcomes(gossip.Outcomes{Outcomes: outcomesToWire(up)}, []registry.Host{n.Relay})
	}
	down := b.outcomesDown.TakeOutcomes(maxOutcomes)
	b.sealOutcomes(gossip.Outcomes{Outcomes: outcomesToWire(down), Relay: true}, n.Below)
}

func (b *Balancer) sealOutcomes(m gossip.Outcomes, to []registry.Host) {
	if len(m.Outcomes) == 0 || len(to) == 0 {
		return
	}
	datagram, err := b.codec.Seal(m)
	if err != nil {
		b.metrics.count("outcomesNotTold")
		log.WithError(err).Error("outcomes not sealed")
		return
	}
	b.sendToPeers(datagram, addresses(to))
}

// heartbeat returns a heartbeat without loads. The caller holds stateMu.
func (b *Balancer) heartbeat(interval time.Duration) gossip.Heartbeat {
	return gossip.Heartbeat{
		Host: b.self, Stopping: b.stopping.Load(), Refused: b.refused(), IntervalMs: uint32(interval.Milliseconds()),
	}
}

// announce tells all known hosts of the data centre that this host has started, so that
// they tell it of ambiguous flows.
func (b *Balancer) announce() {
	b.stateMu.Lock()
	defer b.stateMu.Unlock()
	b.sendJoining(time.Now())
}

// sendJoining is announce for a caller that holds stateMu.
func (b *Balancer) sendJoining(now time.Time) {
	hb := gossip.Heartbeat{Host: b.self, Joining: true}
	b.sendToPeers(b.sealHeartbeat(now, hb), addresses(b.members.KnownInDataCentre()))
}

func loadsToWire(loads map[uint32]float64) map[uint32]uint32 {
	wire := make(map[uint32]uint32, len(loads))
	for cookie, n := range loads {
		if hundredths := uint32(n*loadScale + 0.5); hundredths > 0 {
			wire[cookie] = hundredths
		}
	}
	return wire
}

func outcomesToWire(outcomes map[uint32]outlier.Outcome) map[uint32]gossip.Outcome {
	wire := make(map[uint32]gossip.Outcome, len(outcomes))
	for cookie, o := range outcomes {
		wire[cookie] = gossip.Outcome{
			Ended: uint32(o.Ended), Failed: uint32(o.Failed), TookMs: uint32(o.TotalDuration.Milliseconds()),
		}
	}
	return wire
}

// sealHeartbeat adds the state of the tables to a heartbeat and returns its datagram,
// or nil on an error. The caller holds stateMu.
func (b *Balancer) sealHeartbeat(now time.Time, hb gossip.Heartbeat) []byte {
	hb.Revisions, hb.Ages = gossip.RevisionsOf(&b.tables), gossip.AgesOf(now, &b.tables)
	hb.Reader = b.isReader(now)
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
			continue
		}
		b.metrics.peerBytes.WithLabelValues(bytesDatagrams).Add(float64(len(datagram)))
	}
}

func addresses(hosts []registry.Host) []netip.AddrPort {
	to := make([]netip.AddrPort, 0, len(hosts))
	for _, h := range hosts {
		to = append(to, h.Address)
	}
	return to
}

// withSeeds adds the seeds to addresses, without duplicates and without this host.
func (b *Balancer) withSeeds(to []netip.AddrPort) []netip.AddrPort {
	seen := map[netip.AddrPort]bool{b.self.Address: true}
	for _, at := range to {
		seen[at] = true
	}
	for _, at := range b.seedAddresses() {
		if !seen[at] {
			seen[at] = true
			to = append(to, at)
		}
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
