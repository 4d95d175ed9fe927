// Package flow decides where each packet of a flow goes: a flow table, the
// table of buckets, and what hosts tell each other of ambiguous buckets.
//
// The hash of a flow's key picks one of the service's buckets, and an epoch
// names the target of each. While more than one epoch lives, a bucket may have
// several targets. Such an ambiguous bucket has a steward and a deputy among the
// live hosts: opening packets pass through both, so that three hosts record
// each new flow, and a packet of a flow that a host does not know is relayed
// from host to host until one has a record. The answer comes back with the
// packet to the host that received it, which remembers it. A flow of which no
// host has a record belongs to the bucket's earliest target.
//
// A UDP flow has no opening packet. A packet of a UDP flow of which no live host
// has a record starts a flow; it is lost when all hosts that had one are gone.
package flow

import (
	"encoding/binary"
	"sync/atomic"
	"time"

	"github.com/dchest/siphash"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/track"
)

// MaxTickAge is the time without a tick of its Control from which a plane
// decides nothing: what it knows may have been replaced meanwhile.
const MaxTickAge = time.Second

// unknownTries is the number of packets of a flow that are dropped while only
// hosts that are not heard may know it.
const unknownTries = 5

// MaxHops bounds the relays of one packet.
const MaxHops = 12

// Plane takes the decision for each packet; it may be used by many goroutines.
type Plane struct {
	// HashKey keys the hash that picks the bucket of a flow.
	HashKey [2]uint64
	// Table remembers the flows.
	Table track.Table
	// Counters counts the verdicts.
	Counters Counters

	snapshot atomic.Pointer[Snapshot]
	// ticked is the time of the last tick in nanoseconds, or 0 before the first.
	ticked    atomic.Int64
	suspended atomic.Bool
}

// SetLastTick tells the plane that its control state is up to date at now.
func (p *Plane) SetLastTick(now time.Time) { p.ticked.Store(now.UnixNano()) }

// Suspend makes the plane drop every packet for as long as suspended is true.
func (p *Plane) Suspend(suspended bool) { p.suspended.Store(suspended) }

// lapsed reports whether the plane must not act on what it knows.
func (p *Plane) lapsed(now time.Time) bool {
	ticked := p.ticked.Load()
	return p.suspended.Load() || ticked != 0 && now.UnixNano()-ticked > int64(MaxTickAge)
}

// Decide returns the verdict for one packet.
func (p *Plane) Decide(now time.Time, pk *cornelbay.Packet) (v cornelbay.Verdict) {
	hash := p.hash(&pk.Key)
	if p.lapsed(now) {
		v.Reason = cornelbay.Suspended
	} else {
		p.decide(hash, track.Ticks(now), pk, &v)
	}
	p.Counters.count(hash, &v)
	return v
}

// packet is a packet with what Decide looked up for it.
type packet struct {
	*cornelbay.Packet
	snap *Snapshot
	hash uint64
	now  uint32
	mark track.Mark
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
	m := marks(in)
	if in.Relay.Hops > 0 && in.Relay.From == snap.Self {
		*v = p.returned(&packet{in, snap, hash, now, m}, svc)
		return
	}
	clear := track.Tentative
	if in.Flags&cornelbay.Opening != 0 {
		clear = 0
	}
	r, ok := p.Table.Touch(hash, now, m, clear)
	ok = ok && snap.Usable(r.Target()) && snap.Targets[r.Target()].Service == svc
	if ok && in.Relay.Hops == 0 && in.Flags == 0 {
		t := &snap.Targets[r.Target()]
		v.Action, v.Target, v.Tunnel = cornelbay.Forward, t.Name, t.Tunnel
		return
	}
	pk := &packet{in, snap, hash, now, m}
	if ok && (in.Flags&cornelbay.Opening == 0 || r.Marks()&(track.Finished|track.Reset) == 0) {
		*v = p.recorded(pk, svc, r.Target())
		return
	}
	*v = p.unrecorded(pk, svc)
}

// unrecorded decides a packet of a flow that this host has not on record.
func (p *Plane) unrecorded(pk *packet, svc *Service) cornelbay.Verdict {
	b := svc.Bucket(pk.hash)
	if chosen, ok := pk.snap.TargetIndex[pk.Relay.Choice]; ok && pk.Relay.Hops > 0 && pk.mark&(track.Finished|track.Reset) != 0 &&
		pk.snap.Usable(chosen) && pk.snap.Targets[chosen].Service == svc {
		return pk.forward(chosen)
	}
	switch {
	case pk.Flags&cornelbay.Opening != 0:
		return p.open(pk, svc, b)
	case b.OldestTarget < 0:
		return drop(cornelbay.NoTarget)
	case b.Route >= 0:
		return p.search(pk, svc, b)
	}
	return p.decided(pk, b.OldestTarget)
}

func marks(in *cornelbay.Packet) track.Mark {
	var m track.Mark
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

func (pk *packet) forward(at int32) cornelbay.Verdict {
	t := &pk.snap.Targets[at]
	return cornelbay.Verdict{Action: cornelbay.Forward, Target: t.Name, Tunnel: t.Tunnel}
}

// relay sends the packet on, with the target that is known or chosen, if any.
func (pk *packet) relay(to cornelbay.HostName, at int32) cornelbay.Verdict {
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

func (p *Plane) record(pk *packet, at int32) {
	p.Table.Put(pk.hash, at, pk.now, pk.mark, pk.snap)
}

// decided forwards a packet whose flow is at the given target for certain.
func (p *Plane) decided(pk *packet, at int32) cornelbay.Verdict {
	if !pk.snap.Usable(at) {
		return drop(cornelbay.NoTarget)
	}
	p.record(pk, at)
	return pk.forward(at)
}

// returned takes a packet back that this host relayed, with the answer in it.
func (p *Plane) returned(pk *packet, svc *Service) cornelbay.Verdict {
	if b := svc.Bucket(pk.hash); pk.Relay.Choice == "" && pk.snap.Partitioned && b.Route >= 0 {
		own := *pk.Packet
		own.Relay = cornelbay.RelayHeader{}
		return p.unknown(&packet{&own, pk.snap, pk.hash, pk.now, pk.mark}, b)
	}
	at, ok := pk.snap.TargetIndex[pk.Relay.Choice]
	if !ok || pk.snap.Targets[at].Service != svc {
		return drop(cornelbay.Unanswered)
	}
	return p.decided(pk, at)
}

// answer sends a packet back to the host that received it, or forwards it when
// that host needs no answer.
func (p *Plane) answer(pk *packet, at int32) cornelbay.Verdict {
	if pk.Relay.Hops == 0 || pk.Relay.Hops >= MaxHops || !pk.snap.Live(pk.Relay.From) {
		return pk.forward(at)
	}
	return pk.relay(pk.Relay.From, at)
}

// recorded decides a packet of a flow that this host has on record.
func (p *Plane) recorded(pk *packet, svc *Service, at int32) cornelbay.Verdict {
	if pk.Flags&cornelbay.Opening == 0 {
		return p.finishing(pk, svc, at)
	}
	chosen, ok := pk.snap.TargetIndex[pk.Relay.Choice]
	switch {
	case pk.Relay.Hops == 0:
		return p.openAt(pk, svc, svc.Bucket(pk.hash), at)
	case pk.Relay.Hops > 1 && ok && pk.snap.Usable(chosen):
		// The steward has decided.
		return p.decided(pk, chosen)
	case chosen == at:
		return p.openAt(pk, svc, svc.Bucket(pk.hash), at)
	}
	return p.answer(pk, at)
}

// finishing takes the last packet of a recorded flow past the bucket's keepers,
// which need not hand on its record then; other packets are answered at once.
func (p *Plane) finishing(pk *packet, svc *Service, at int32) cornelbay.Verdict {
	b := svc.Bucket(pk.hash)
	last := pk.mark&(track.Finished|track.Reset) != 0
	if !last || b.Route < 0 || pk.snap.Isolated || pk.Relay.Hops > 0 && pk.Relay.Choice == "" {
		return p.answer(pk, at)
	}
	if next := svc.Routes[b.Route].keeper(pk.Relay.Hops); next >= 0 {
		if host := pk.snap.Hosts[svc.Routes[b.Route].Order[next]]; host != pk.Relay.From {
			return pk.relay(host, at)
		}
	}
	return pk.forward(at)
}

// open places a new flow.
func (p *Plane) open(pk *packet, svc *Service, b *Bucket) cornelbay.Verdict {
	at := b.NewFlowTarget
	if chosen, ok := pk.snap.TargetIndex[pk.Relay.Choice]; ok && pk.Relay.Hops > 0 &&
		pk.snap.Usable(chosen) && pk.snap.Targets[chosen].Service == svc {
		at = chosen
	}
	if !pk.snap.Usable(at) {
		return drop(cornelbay.NoTarget)
	}
	return p.openAt(pk, svc, b, at)
}

// openAt records a new flow and has the bucket's other keepers record it.
func (p *Plane) openAt(pk *packet, svc *Service, b *Bucket, at int32) cornelbay.Verdict {
	if b.Route < 0 {
		return p.decided(pk, at)
	}
	if pk.snap.Isolated && b.Ambiguous && pk.Relay.Hops == 0 {
		return drop(cornelbay.Unanswered)
	}
	r := &svc.Routes[b.Route]
	next := r.keeper(pk.Relay.Hops)
	if pk.snap.MaybeStale && pk.snap.Partitioned {
		pk.mark |= track.Tentative
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

// search decides a packet of an ambiguous bucket without a record here.
func (p *Plane) search(pk *packet, svc *Service, b *Bucket) cornelbay.Verdict {
	r := &svc.Routes[b.Route]
	udp := pk.mark&track.UDP != 0
	// Another host may not have heard yet that the own one is a deputy no more, so
	// a deputy answers only after the steward was asked.
	if r.Complete && !udp && (r.Position == steward || pk.Relay.Hops > 0) {
		return p.settle(pk, b.OldestTarget)
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
	if !pk.askedAll(r) {
		return drop(cornelbay.Unanswered)
	}
	if last := pk.snap.Hosts[r.Order[len(r.Order)-1]]; pk.snap.Partitioned && last == pk.Relay.From {
		return pk.relay(last, -1) // it counts the packets of the flow
	}
	return p.unknown(pk, b)
}

// unknown decides a packet of a flow that no live host knows.
func (p *Plane) unknown(pk *packet, b *Bucket) cornelbay.Verdict {
	switch {
	case pk.snap.Partitioned && b.Ambiguous && p.triedLong(pk):
		return p.settle(pk, b.NewFlowTarget)
	case pk.snap.Partitioned, pk.snap.MaybeStale:
		return drop(cornelbay.Unanswered)
	case pk.mark&track.UDP != 0:
		return p.settle(pk, b.NewFlowTarget)
	}
	return p.settle(pk, b.OldestTarget)
}

// triedLong counts a packet of a flow that only hosts that are not heard may
// know, and reports whether so many came that its flow is taken as one that
// began there lately: these are by far the most. One that a host there gets
// meanwhile is delivered.
func (p *Plane) triedLong(pk *packet) bool {
	r, ok := p.Table.Touch(pk.hash, pk.now, 0, 0)
	since, n := pk.now, r.Tries()
	if n >= unknownTries {
		return true
	}
	if ok && n > 0 {
		since = r.Seen
	}
	p.Table.Put(pk.hash, track.UnknownTarget, since, pk.mark&track.UDP|track.Mark(n+1)*track.Try, pk.snap)
	return false
}

// askedAll reports whether the packet was at every live host; it was not when
// the hosts on its way do not agree on who is alive.
func (pk *packet) askedAll(r *Route) bool {
	hosts := len(r.Order)
	if pk.Relay.Hops == 0 || pk.snap.Live(pk.Relay.From) {
		hosts--
	}
	return int(pk.Relay.Hops) >= hosts
}

// settle records the target of a flow of which no host has a record.
func (p *Plane) settle(pk *packet, at int32) cornelbay.Verdict {
	if !pk.snap.Usable(at) {
		return drop(cornelbay.NoTarget)
	}
	p.record(pk, at)
	return p.answer(pk, at)
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
	// 0 marks an empty slot of the table.
	return max(1, siphash.Hash(p.HashKey[0], p.HashKey[1], b[:n+5]))
}

// Snapshot returns what was published last, or nil.
func (p *Plane) Snapshot() *Snapshot { return p.snapshot.Load() }

// Publish makes Decide use a snapshot, which never changes from then on.
func (p *Plane) Publish(s *Snapshot) { p.snapshot.Store(s) }
