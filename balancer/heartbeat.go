package balancer

import (
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/apex/log"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/gossip"
	"github.com/cornelbay/cornelbay/loads"
	"github.com/cornelbay/cornelbay/outlier"
	"github.com/cornelbay/cornelbay/peer"
)

// receiveGossip reads the datagrams of other hosts until the socket is closed.
func (b *Balancer) receiveGossip() {
	buf := make([]byte, peer.MaxDatagramBytes)
	control := make([]byte, controlBytes)
	for {
		n, c, _, from, err := b.peerConn.ReadMsgUDPAddrPort(buf, control)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			log.WithError(err).Warn("reading datagram failed")
			continue
		}
		now := time.Now()
		b.handleDatagram(buf[:n], from, now.Add(-queueingTime(now, control[:c])))
	}
}

// handleDatagram verifies and processes one datagram of another host, which arrived at the given
// time from an address.
func (b *Balancer) handleDatagram(datagram []byte, from netip.AddrPort, arrived time.Time) {
	b.stateMu.Lock()
	defer b.stateMu.Unlock()
	e, m, err := b.codec.Open(datagram)
	now := time.Now()
	if err != nil {
		b.metrics.countRejected(err)
		if errors.Is(err, peer.ErrEarlier) {
			b.tellLatest(now, e.From, from)
		}
		return
	}
	switch m := m.(type) {
	case gossip.Push:
		if b.merge(now, &m.PullReply) {
			b.publishTables(now)
			b.forwardPush(now, e.From, m)
		}
	case gossip.AmbiguousFlows:
		b.trafficMu.Lock()
		for _, d := range m.Flows {
			b.placer.MergeAmbiguousFlow(now, ambiguousFromWire(arrived, d))
		}
		corrections := b.placer.Corrections()
		b.trafficMu.Unlock()
		b.logCorrections(corrections)
	case gossip.SilentTargets:
		b.mergeSilences(now, arrived, m)
	case gossip.Outcomes:
		b.handleOutcomes(now, e.From, m)
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
	if hb.Latest > 0 {
		b.passIncarnation(now, hb.Latest, hb.Host.Address)
		return
	}
	if hb.AsksSources {
		b.answerSources(now, hb.Host)
		return
	}
	if len(hb.Sources) > 0 {
		b.nameSources(hb.Sources)
		return
	}
	if isNew := b.members.Observe(now, incarnation, hb); isNew || hb.Joining {
		log.WithFields(log.Fields{"host": hb.Host.Name, "incarnation": incarnation}).Info("host heard")
		b.trafficMu.Lock()
		b.placer.RecordJoin(now)
		ambiguous := b.placer.OpenAmbiguousFlows(now)
		b.trafficMu.Unlock()
		b.queueAmbiguous(ambiguous, hb.Host.Address)
	}
	recoveredAt := b.tables.Targets.RecoveredAt()
	hb.Ages.Confirm(now, hb.Revisions, &b.tables)
	b.cacheConfirmedTimes()
	if b.tables.Targets.RecoveredAt() != recoveredAt {
		b.publishTables(now)
	}
	if hb.IntervalMs > 0 {
		b.receiveCensus(now, hb)
		b.handleReport(now, hb)
	}
	own := gossip.RevisionsOf(&b.tables)
	for _, k := range objectKinds {
		b.newest[k.name] = max(b.newest[k.name], k.revision(hb.Revisions))
	}
	if hb.Revisions.Behind(own) && b.members.AllowReply(now, hb.Host.Name) {
		reply := gossip.Heartbeat{Host: b.self, Relay: !b.inMesh}
		b.sendToPeers(b.sealHeartbeat(now, reply), []netip.AddrPort{hb.Host.Address})
	}
	standIn := hb.Relay && !b.members.InTree(now, hb.Host)
	if own.Behind(hb.Revisions) && b.shouldPull(now, own, hb) {
		select {
		case b.pullRequests <- pullRequest{hb.Host, hb.Revisions, standIn}:
		default: // the queue is full; the next heartbeat requests the pull again
		}
	}
}

// shouldPull reports whether to pull what a heartbeat announces. In a small fleet that is
// always so. The caller holds stateMu.
func (b *Balancer) shouldPull(now time.Time, own gossip.Revisions, hb gossip.Heartbeat) bool {
	switch {
	case b.inMesh && !hb.Relay:
		return true
	case hb.Joining:
		return false // it goes to a whole data centre, and its sender pulls itself
	case hb.Relay && !b.tables.Synced() && now.Sub(b.started) < bootstrapHeadStart:
		return false
	}
	if own.Hosts = hb.Revisions.Hosts; !own.Behind(hb.Revisions) {
		if now.Sub(b.hostsPulledAt) < hostsChangeDebounce {
			return false
		}
		b.hostsPulledAt = now
	}
	return true
}

// handleReport applies the loads and outcomes in a heartbeat. The caller holds stateMu.
func (b *Balancer) handleReport(now time.Time, hb gossip.Heartbeat) {
	r := reportFromHeartbeat(now, hb)
	switch above := b.members.Relay(now); {
	case hb.Relay:
		if hb.Host.Name != above {
			return // a relay that this host doesn't report to may lack its loads
		}
		b.relay.ReceiveAbove(r)
		r.Loads = b.relay.Others(r.Loads)
		b.mergeReport(relayedLoads, r)
	case b.inMesh:
		b.mergeReport(hb.Host.Name, r)
	case hb.Lead && hb.Host.DataCentre != b.self.DataCentre:
		b.relay.ReceiveLead(hb.Host.Name, r)
	case hb.Host.Name != above:
		b.relay.ReceiveBelow(hb.Host.Name, r)
		b.outcomesUp.AddOutcomes(r.Outcomes) // of a host that takes the fleet for a small one
	}
}

// relayedLoads stands for all other hosts in the placer's reports.
const relayedLoads cornelbay.HostName = ""

func (b *Balancer) mergeReport(from cornelbay.HostName, r loads.Report) {
	b.trafficMu.Lock()
	defer b.trafficMu.Unlock()
	b.placer.MergeReport(from, r)
}

// handleOutcomes applies outcomes that a host in the tree has sent. Those from below are
// passed on with the next report, and a host evaluates them once they come back from
// above, with those of all others. The caller holds stateMu.
func (b *Balancer) handleOutcomes(now time.Time, from cornelbay.HostName, m gossip.Outcomes) {
	outcomes := outcomesFromWire(m.Outcomes)
	switch {
	case m.Relay:
		if from == b.members.Relay(now) {
			b.outcomesDown.AddOutcomes(outcomes)
			b.addRemoteOutcomes(outcomes)
		}
	case m.Lead:
		b.outcomesDown.AddOutcomes(outcomes)
		b.addRemoteOutcomes(outcomes)
	default:
		b.outcomesUp.AddOutcomes(outcomes)
	}
}

func (b *Balancer) addRemoteOutcomes(outcomes map[uint32]outlier.Outcome) {
	b.trafficMu.Lock()
	defer b.trafficMu.Unlock()
	b.placer.MergeOutcomes(outcomes)
}

// reportFromHeartbeat returns the load and outcome report in a heartbeat.
func reportFromHeartbeat(now time.Time, hb gossip.Heartbeat) loads.Report {
	r := loads.Report{
		At: now, Loads: make(map[uint32]float64, len(hb.Loads)), Outcomes: outcomesFromWire(hb.Outcomes),
	}
	for cookie, n := range hb.Loads {
		r.Loads[cookie] = float64(n) / loadScale
	}
	return r
}

func outcomesFromWire(wire map[uint32]gossip.Outcome) map[uint32]outlier.Outcome {
	outcomes := make(map[uint32]outlier.Outcome, len(wire))
	for cookie, o := range wire {
		outcomes[cookie] = outlier.Outcome{
			Ended: float64(o.Ended), Failed: float64(o.Failed), TotalDuration: time.Duration(o.TookMs) * time.Millisecond,
		}
	}
	return outcomes
}
