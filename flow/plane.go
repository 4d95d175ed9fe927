// Package flow decides where each packet of a flow goes. It uses a flow table,
// a table of buckets, and the records that hosts share for ambiguous buckets.
//
// The hash of a flow's key selects one of the service's buckets, and an epoch
// assigns a target to each bucket. While a service has more than one epoch, a
// bucket may have several targets. Such an ambiguous bucket has a primary and a
// secondary replica among the live hosts. Opening packets pass through both
// replicas, so that they and the receiving host record each new flow: three
// hosts, or two if the receiving host is a replica. A packet of an unrecorded
// flow, one that a host has no record of, is relayed from host to host until one
// has a record. The answer returns with the packet to the host that received it,
// which records the target. A flow is unknown if no live host has a record of
// it. An unknown TCP flow belongs to the bucket's oldest target.
//
// A UDP flow has no opening packet. A packet of a UDP flow that no live host
// has a record of starts a new flow, so a flow is lost when all hosts that had
// a record of it are gone.
package flow

import (
	"encoding/binary"
	"sync/atomic"
	"time"

	"github.com/dchest/siphash"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/track"
)

// MaxTickAge is the maximum time since the last tick of the agree.Control. After
// that the plane drops every packet, because its snapshot may have been replaced
// on other hosts. A plane that has had no tick yet drops none for this reason.
const MaxTickAge = time.Second

// maxUnknownPackets is the number of packets of a flow that are dropped while
// only missing hosts may have a record of it.
const maxUnknownPackets = 5

// MaxHops limits the relays of one packet.
const MaxHops = 12

// Plane decides each packet. It is safe for concurrent use.
type Plane struct {
	// HashKey is the key of the hash that selects the bucket of a flow.
	HashKey [2]uint64
	// Table holds the flow records.
	Table track.Table
	// Counters counts the verdicts.
	Counters Counters

	snapshot atomic.Pointer[Snapshot]
	// lastTick is the time of the last tick in Unix nanoseconds, or 0 before
	// the first.
	lastTick  atomic.Int64
	suspended atomic.Bool
}

// SetLastTick tells the plane that its control state is up to date at now.
func (p *Plane) SetLastTick(now time.Time) { p.lastTick.Store(now.UnixNano()) }

// Suspend makes the plane drop every packet while suspended is true.
func (p *Plane) Suspend(suspended bool) { p.suspended.Store(suspended) }

// mustDrop reports whether the plane must drop every packet because it is
// suspended or its last tick is older than MaxTickAge.
func (p *Plane) mustDrop(now time.Time) bool {
	ticked := p.lastTick.Load()
	return p.suspended.Load() || ticked != 0 && now.UnixNano()-ticked > int64(MaxTickAge)
}

// Decide returns the verdict for one packet.
func (p *Plane) Decide(now time.Time, pk *cornelbay.Packet) (v cornelbay.Verdict) {
	hash := p.hash(&pk.Key)
	if p.mustDrop(now) {
		v.Reason = cornelbay.Suspended
	} else {
		p.decide(hash, track.Ticks(now), pk, &v)
	}
	p.Counters.count(hash, &v)
	return v
}

// packetContext is a packet together with the values that Decide looked up for
// it.
type packetContext struct {
	*cornelbay.Packet
	snap        *Snapshot
	hash        uint64
	now         uint32
	recordFlags track.FlowFlags
}

func (p *Plane) decide(hash uint64, now uint32, in *cornelbay.Packet, v *cornelbay.Verdict) {
	snap := p.snapshot.Load()
	if snap == nil {
		v.Reason = cornelbay.NoConfig
		return
	}
	svc := snap.Lookup(&in.Key)
	if svc == nil {
		v.Reason = cornelbay.NoService
		return
	}
	m := flagsOf(in)
	if in.Relay.Hops > 0 && in.Relay.From == snap.Self {
		*v = p.decideReturned(&packetContext{in, snap, hash, now, m}, svc)
		return
	}
	clearFlags := track.Tentative
	if in.Flags&cornelbay.Opening != 0 {
		clearFlags = 0
	}
	r, ok := p.Table.Touch(hash, now, m, clearFlags)
	ok = ok && snap.Usable(r.Target()) && snap.Targets[r.Target()].Service == svc
	if ok && in.Relay.Hops == 0 && in.Flags == 0 {
		t := &snap.Targets[r.Target()]
		v.Action, v.Target, v.Tunnel = cornelbay.Forward, t.Name, t.Tunnel
		return
	}
	pk := &packetContext{in, snap, hash, now, m}
	if ok && (in.Flags&cornelbay.Opening == 0 || r.StateFlags()&(track.Finished|track.Reset) == 0) {
		*v = p.decideRecorded(pk, svc, r.Target())
		return
	}
	*v = p.decideUnrecorded(pk, svc)
}

// decideUnrecorded decides a packet of a flow that this host has no usable
// record of: it has none, the recorded target is unusable or belongs to another
// service, or the packet opens a new flow while the record is of a finished one.
func (p *Plane) decideUnrecorded(pk *packetContext, svc *Service) cornelbay.Verdict {
	b := svc.Bucket(pk.hash)
	if chosen, ok := pk.snap.TargetIndex[pk.Relay.Choice]; ok && pk.Relay.Hops > 0 && pk.recordFlags&(track.Finished|track.Reset) != 0 &&
		pk.snap.Usable(chosen) && pk.snap.Targets[chosen].Service == svc {
		return pk.forward(chosen)
	}
	switch {
	case pk.Flags&cornelbay.Opening != 0:
		return p.openFlow(pk, svc, b)
	case b.OldestTarget < 0:
		return drop(cornelbay.NoTarget)
	case b.Route >= 0:
		return p.searchRecord(pk, svc, b)
	}
	return p.recordAndForward(pk, b.OldestTarget)
}

func flagsOf(in *cornelbay.Packet) track.FlowFlags {
	var m track.FlowFlags
	if in.Flags&cornelbay.Finishing != 0 {
		m |= track.Finished
	}
	if in.Flags&cornelbay.Resetting != 0 {
		m |= track.Reset
	}
	if in.Key.Protocol == cornelbay.UDP.Number() {
		m |= track.UDP
	}
	return m
}

func drop(r cornelbay.DropReason) cornelbay.Verdict { return cornelbay.Verdict{Reason: r} }

func (pk *packetContext) forward(at int32) cornelbay.Verdict {
	t := &pk.snap.Targets[at]
	return cornelbay.Verdict{Action: cornelbay.Forward, Target: t.Name, Tunnel: t.Tunnel}
}

// relay returns the verdict to relay the packet, with the target that is known
// or chosen, if any.
func (pk *packetContext) relay(to cornelbay.HostName, at int32) cornelbay.Verdict {
	h := cornelbay.RelayHeader{From: pk.Relay.From, Hops: pk.Relay.Hops + 1}
	if pk.Relay.Hops == 0 {
		h.From = pk.snap.Self
	}
	if h.Hops > MaxHops {
		return drop(cornelbay.HopLimit)
	}
	if at >= 0 {
		h.Choice = pk.snap.Targets[at].Name
	}
	return cornelbay.Verdict{Action: cornelbay.Relay, Host: to, Relay: h}
}

func (p *Plane) record(pk *packetContext, at int32) {
	p.Table.Put(pk.hash, at, pk.now, pk.recordFlags, pk.snap)
}

// recordAndForward records the flow on the target and forwards the packet to
// it.
func (p *Plane) recordAndForward(pk *packetContext, at int32) cornelbay.Verdict {
	if !pk.snap.Usable(at) {
		return drop(cornelbay.NoTarget)
	}
	p.record(pk, at)
	return pk.forward(at)
}

// decideReturned decides a packet that this host relayed and that came back,
// with the flow's target in Relay.Choice or, in a partition, without one.
func (p *Plane) decideReturned(pk *packetContext, svc *Service) cornelbay.Verdict {
	if b := svc.Bucket(pk.hash); pk.Relay.Choice == "" && pk.snap.Partitioned && b.Route >= 0 {
		own := *pk.Packet
		own.Relay = cornelbay.RelayHeader{}
		return p.decideUnknown(&packetContext{&own, pk.snap, pk.hash, pk.now, pk.recordFlags}, b)
	}
	at, ok := pk.snap.TargetIndex[pk.Relay.Choice]
	if !ok || pk.snap.Targets[at].Service != svc {
		return drop(cornelbay.Unanswered)
	}
	return p.recordAndForward(pk, at)
}

// replyOrForward relays a packet back to the host that received it from the
// fabric. It forwards the packet if no such host needs an answer.
func (p *Plane) replyOrForward(pk *packetContext, at int32) cornelbay.Verdict {
	if pk.Relay.Hops == 0 || pk.Relay.Hops >= MaxHops || !pk.snap.Live(pk.Relay.From) {
		return pk.forward(at)
	}
	return pk.relay(pk.Relay.From, at)
}

// decideRecorded decides a packet of a flow that this host has a record of.
func (p *Plane) decideRecorded(pk *packetContext, svc *Service, at int32) cornelbay.Verdict {
	if pk.Flags&cornelbay.Opening == 0 {
		return p.decideEstablished(pk, svc, at)
	}
	chosen, ok := pk.snap.TargetIndex[pk.Relay.Choice]
	switch {
	case pk.Relay.Hops == 0:
		return p.openFlowAt(pk, svc, svc.Bucket(pk.hash), at)
	case pk.Relay.Hops > 1 && ok && pk.snap.Usable(chosen):
		// The primary replica has decided.
		return p.recordAndForward(pk, chosen)
	case chosen == at:
		return p.openFlowAt(pk, svc, svc.Bucket(pk.hash), at)
	}
	return p.replyOrForward(pk, at)
}

// decideEstablished decides a packet of a recorded flow that is not an opening
// packet. A FIN or RST packet passes through the bucket's replicas, which then
// need not hand off the flow's record. Other packets are answered at once.
func (p *Plane) decideEstablished(pk *packetContext, svc *Service, at int32) cornelbay.Verdict {
	b := svc.Bucket(pk.hash)
	last := pk.recordFlags&(track.Finished|track.Reset) != 0
	if !last || b.Route < 0 || pk.snap.Isolated || pk.Relay.Hops > 0 && pk.Relay.Choice == "" {
		return p.replyOrForward(pk, at)
	}
	if next := svc.Routes[b.Route].nextReplica(pk.Relay.Hops); next >= 0 {
		if host := pk.snap.Hosts[svc.Routes[b.Route].Order[next]]; host != pk.Relay.From {
			return pk.relay(host, at)
		}
	}
	return pk.forward(at)
}

// openFlow selects the target of a new flow.
func (p *Plane) openFlow(pk *packetContext, svc *Service, b *Bucket) cornelbay.Verdict {
	at := b.NewFlowTarget
	if chosen, ok := pk.snap.TargetIndex[pk.Relay.Choice]; ok && pk.Relay.Hops > 0 &&
		pk.snap.Usable(chosen) && pk.snap.Targets[chosen].Service == svc {
		at = chosen
	}
	if !pk.snap.Usable(at) {
		return drop(cornelbay.NoTarget)
	}
	return p.openFlowAt(pk, svc, b, at)
}

// openFlowAt records a new flow and relays its packet so that the bucket's
// replicas record it too.
func (p *Plane) openFlowAt(pk *packetContext, svc *Service, b *Bucket, at int32) cornelbay.Verdict {
	if b.Route < 0 {
		return p.recordAndForward(pk, at)
	}
	if pk.snap.Isolated && b.Ambiguous && pk.Relay.Hops == 0 {
		return drop(cornelbay.Unanswered)
	}
	r := &svc.Routes[b.Route]
	next := r.nextReplica(pk.Relay.Hops)
	if pk.snap.MaybeStale && pk.snap.Partitioned {
		pk.recordFlags |= track.Tentative
	}
	p.record(pk, at)
	if next < 0 {
		return pk.forward(at)
	}
	if host := pk.snap.Hosts[r.Order[next]]; host != pk.Relay.From {
		return pk.relay(host, at)
	}
	return pk.forward(at)
}

// searchRecord decides a packet whose bucket has a route and whose flow has no
// record on this host.
func (p *Plane) searchRecord(pk *packetContext, svc *Service, b *Bucket) cornelbay.Verdict {
	r := &svc.Routes[b.Route]
	udp := pk.recordFlags&track.UDP != 0
	// The hosts may disagree for a while on which host is the secondary, so the
	// secondary answers only relayed packets (Hops > 0), for which the primary
	// was asked before.
	if r.Complete && !udp && (r.Position == primary || pk.Relay.Hops > 0) {
		return p.recordAndReply(pk, b.OldestTarget)
	}
	if pk.snap.Isolated {
		return drop(cornelbay.Unanswered)
	}
	from := 0
	if pk.Relay.Hops > 0 {
		from = r.Position + 1
	}
	for i := from; i < len(r.Order); i++ {
		if host := pk.snap.Hosts[r.Order[i]]; i != r.Position && host != pk.Relay.From {
			return pk.relay(host, -1)
		}
	}
	if !pk.visitedAllHosts(r) {
		return drop(cornelbay.Unanswered)
	}
	if last := pk.snap.Hosts[r.Order[len(r.Order)-1]]; pk.snap.Partitioned && last == pk.Relay.From {
		return pk.relay(last, -1) // the receiving host counts the packets of the flow
	}
	return p.decideUnknown(pk, b)
}

// decideUnknown decides a packet of a flow that no live host has a record of.
func (p *Plane) decideUnknown(pk *packetContext, b *Bucket) cornelbay.Verdict {
	switch {
	case pk.snap.Partitioned && b.Ambiguous && p.reachedUnknownLimit(pk):
		return p.recordAndReply(pk, b.NewFlowTarget)
	case pk.snap.Partitioned, pk.snap.MaybeStale:
		return drop(cornelbay.Unanswered)
	case pk.recordFlags&track.UDP != 0:
		return p.recordAndReply(pk, b.NewFlowTarget)
	}
	return p.recordAndReply(pk, b.OldestTarget)
}

// reachedUnknownLimit counts a packet of a flow that only missing hosts may have
// a record of, in a record of its own. It reports whether maxUnknownPackets have
// been dropped. The flow then counts as one that began recently on the missing
// hosts, as most such flows did, and goes to its bucket's NewFlowTarget. Packets
// of the flow that reach a missing host until then are delivered there.
func (p *Plane) reachedUnknownLimit(pk *packetContext) bool {
	r, ok := p.Table.Touch(pk.hash, pk.now, 0, 0)
	since, n := pk.now, r.UnknownPackets()
	if n >= maxUnknownPackets {
		return true
	}
	if ok && n > 0 {
		// Keep the time of the first packet, so that the count expires.
		since = r.Seen
	}
	p.Table.Put(pk.hash, track.UnknownTarget, since, pk.recordFlags&track.UDP|track.FlowFlags(n+1)*track.UnknownPacketUnit, pk.snap)
	return false
}

// visitedAllHosts reports whether the packet has visited every live host. It
// has not if the hosts on its path disagree on which hosts are live.
func (pk *packetContext) visitedAllHosts(r *Route) bool {
	hosts := len(r.Order)
	if pk.Relay.Hops == 0 || pk.snap.Live(pk.Relay.From) {
		hosts--
	}
	return int(pk.Relay.Hops) >= hosts
}

// recordAndReply records the target of a flow that no host has a record of.
func (p *Plane) recordAndReply(pk *packetContext, at int32) cornelbay.Verdict {
	if !pk.snap.Usable(at) {
		return drop(cornelbay.NoTarget)
	}
	p.record(pk, at)
	return p.replyOrForward(pk, at)
}

func (p *Plane) hash(k *cornelbay.FlowKey) uint64 {
	var b [37]byte
	n := 0
	src, dst := k.Source.Addr(), k.Destination.Addr()
	if src.Is4() && dst.Is4() {
		s, d := src.As4(), dst.As4()
		n += copy(b[n:], s[:])
		n += copy(b[n:], d[:])
	} else {
		s, d := src.As16(), dst.As16()
		n += copy(b[n:], s[:])
		n += copy(b[n:], d[:])
	}
	binary.BigEndian.PutUint16(b[n:], k.Source.Port())
	binary.BigEndian.PutUint16(b[n+2:], k.Destination.Port())
	b[n+4] = k.Protocol
	// 0 marks an empty slot of the flow table.
	return max(1, siphash.Hash(p.HashKey[0], p.HashKey[1], b[:n+5]))
}

// Snapshot returns the snapshot that was published last, or nil.
func (p *Plane) Snapshot() *Snapshot { return p.snapshot.Load() }

// Publish makes Decide use the snapshot, which must not change from then on.
func (p *Plane) Publish(s *Snapshot) { p.snapshot.Store(s) }
