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
)

// MaxHops bounds the relays of one packet.
const MaxHops = 12

// Plane takes the decision for each packet; it may be used by many goroutines.
type Plane struct {
	// HashKey keys the hash that picks the bucket of a flow.
	HashKey [2]uint64
	// Table remembers the flows.
	Table Table
	// Counters counts the verdicts.
	Counters Counters

	snapshot atomic.Pointer[Snapshot]
}

// Decide returns the verdict for one packet.
func (p *Plane) Decide(now time.Time, pk *cornelbay.Packet) (v cornelbay.Verdict) {
	hash := p.hash(&pk.Key)
	p.decide(hash, ticks(now), pk, &v)
	p.Counters.count(hash, &v)
	return v
}

// packet is a packet with what Decide looked up for it.
type packet struct {
	*cornelbay.Packet
	snap *Snapshot
	hash uint64
	now  uint32
	mark mark
}

func (p *Plane) decide(hash uint64, now uint32, in *cornelbay.Packet, v *cornelbay.Verdict) {
	snap := p.snapshot.Load()
	if snap == nil {
		v.Reason = cornelbay.NoConfig
		return
	}
	svc := snap.service(&in.Key)
	if svc == nil {
		v.Reason = cornelbay.NoService
		return
	}
	m := marks(in)
	if in.Relay.Hops > 0 && in.Relay.From == snap.self {
		*v = p.returned(&packet{in, snap, hash, now, m}, svc)
		return
	}
	r, ok := p.Table.touch(hash, now, m)
	ok = ok && snap.usable(r.target()) && snap.targets[r.target()].service == svc
	if ok && in.Relay.Hops == 0 && in.Flags == 0 {
		t := &snap.targets[r.target()]
		v.Action, v.Target, v.Tunnel = cornelbay.Forward, t.name, t.tunnel
		return
	}
	pk := &packet{in, snap, hash, now, m}
	if ok && (in.Flags&cornelbay.Opening == 0 || r.marks()&(markFinished|markReset) == 0) {
		*v = p.recorded(pk, svc, r.target())
		return
	}
	*v = p.unrecorded(pk, svc)
}

// unrecorded decides a packet of a flow that this host has not on record.
func (p *Plane) unrecorded(pk *packet, svc *service) cornelbay.Verdict {
	b := svc.bucket(pk.hash)
	if chosen, ok := pk.snap.byName[pk.Relay.Choice]; ok && pk.Relay.Hops > 0 && pk.mark&(markFinished|markReset) != 0 &&
		pk.snap.usable(chosen) && pk.snap.targets[chosen].service == svc {
		return pk.forward(chosen)
	}
	switch {
	case pk.Flags&cornelbay.Opening != 0:
		return p.open(pk, svc, b)
	case b.first < 0:
		return drop(cornelbay.NoTarget)
	case b.route >= 0:
		return p.search(pk, svc, b)
	}
	return p.decided(pk, b.first)
}

func marks(in *cornelbay.Packet) mark {
	var m mark
	if in.Flags&cornelbay.Finishing != 0 {
		m |= markFinished
	}
	if in.Flags&cornelbay.Resetting != 0 {
		m |= markReset
	}
	if in.Key.Protocol == cornelbay.UDP.Number() {
		m |= markUDP
	}
	return m
}

func drop(r cornelbay.DropReason) cornelbay.Verdict { return cornelbay.Verdict{Reason: r} }

func (pk *packet) forward(at int32) cornelbay.Verdict {
	t := &pk.snap.targets[at]
	return cornelbay.Verdict{Action: cornelbay.Forward, Target: t.name, Tunnel: t.tunnel}
}

// relay sends the packet on, with the target that is known or chosen, if any.
func (pk *packet) relay(to cornelbay.HostName, at int32) cornelbay.Verdict {
	h := cornelbay.RelayHeader{From: pk.Relay.From, Hops: pk.Relay.Hops + 1}
	if pk.Relay.Hops == 0 {
		h.From = pk.snap.self
	}
	if h.Hops > MaxHops {
		return drop(cornelbay.HopLimit)
	}
	if at >= 0 {
		h.Choice = pk.snap.targets[at].name
	}
	return cornelbay.Verdict{Action: cornelbay.Relay, Host: to, Relay: h}
}

func (p *Plane) record(pk *packet, at int32) {
	p.Table.put(pk.hash, at, pk.now, pk.mark, pk.snap)
}

// decided forwards a packet whose flow is at the given target for certain.
func (p *Plane) decided(pk *packet, at int32) cornelbay.Verdict {
	if !pk.snap.usable(at) {
		return drop(cornelbay.NoTarget)
	}
	p.record(pk, at)
	return pk.forward(at)
}

// returned takes a packet back that this host relayed, with the answer in it.
func (p *Plane) returned(pk *packet, svc *service) cornelbay.Verdict {
	at, ok := pk.snap.byName[pk.Relay.Choice]
	if !ok || pk.snap.targets[at].service != svc {
		return drop(cornelbay.Unanswered)
	}
	return p.decided(pk, at)
}

// answer sends a packet back to the host that received it, or forwards it when
// that host needs no answer.
func (p *Plane) answer(pk *packet, at int32) cornelbay.Verdict {
	if pk.Relay.Hops == 0 || pk.Relay.Hops >= MaxHops || !pk.snap.live(pk.Relay.From) {
		return pk.forward(at)
	}
	return pk.relay(pk.Relay.From, at)
}

// recorded decides a packet of a flow that this host has on record.
func (p *Plane) recorded(pk *packet, svc *service, at int32) cornelbay.Verdict {
	if pk.Flags&cornelbay.Opening == 0 {
		return p.finishing(pk, svc, at)
	}
	chosen, ok := pk.snap.byName[pk.Relay.Choice]
	switch {
	case pk.Relay.Hops == 0:
		return p.openAt(pk, svc, svc.bucket(pk.hash), at)
	case pk.Relay.Hops > 1 && ok && pk.snap.usable(chosen):
		// The steward has decided.
		return p.decided(pk, chosen)
	case chosen == at:
		return p.openAt(pk, svc, svc.bucket(pk.hash), at)
	}
	return p.answer(pk, at)
}

// finishing takes the last packet of a recorded flow past the bucket's keepers,
// which need not hand on its record then; other packets are answered at once.
func (p *Plane) finishing(pk *packet, svc *service, at int32) cornelbay.Verdict {
	b := svc.bucket(pk.hash)
	last := pk.mark&(markFinished|markReset) != 0
	if !last || b.route < 0 || pk.snap.isolated || pk.Relay.Hops > 0 && pk.Relay.Choice == "" {
		return p.answer(pk, at)
	}
	if next := svc.routes[b.route].keeper(pk.Relay.Hops); next >= 0 {
		if host := pk.snap.hosts[svc.routes[b.route].order[next]]; host != pk.Relay.From {
			return pk.relay(host, at)
		}
	}
	return pk.forward(at)
}

// open places a new flow.
func (p *Plane) open(pk *packet, svc *service, b *bucket) cornelbay.Verdict {
	at := b.place
	if chosen, ok := pk.snap.byName[pk.Relay.Choice]; ok && pk.Relay.Hops > 0 &&
		pk.snap.usable(chosen) && pk.snap.targets[chosen].service == svc {
		at = chosen
	}
	if !pk.snap.usable(at) {
		return drop(cornelbay.NoTarget)
	}
	return p.openAt(pk, svc, b, at)
}

// openAt records a new flow and has the bucket's other keepers record it.
func (p *Plane) openAt(pk *packet, svc *service, b *bucket, at int32) cornelbay.Verdict {
	if b.route < 0 {
		return p.decided(pk, at)
	}
	if pk.snap.isolated && b.ambiguous && pk.Relay.Hops == 0 {
		return drop(cornelbay.Unanswered)
	}
	r := &svc.routes[b.route]
	next := r.keeper(pk.Relay.Hops)
	p.record(pk, at)
	if next < 0 {
		return pk.forward(at)
	}
	if host := pk.snap.hosts[r.order[next]]; host != pk.Relay.From {
		return pk.relay(host, at)
	}
	return pk.forward(at)
}

// search decides a packet of an ambiguous bucket without a record here.
func (p *Plane) search(pk *packet, svc *service, b *bucket) cornelbay.Verdict {
	r := &svc.routes[b.route]
	udp := pk.mark&markUDP != 0
	// Another host may not have heard yet that the own one is a deputy no more, so
	// a deputy answers only after the steward was asked.
	if r.complete && !udp && (r.position == steward || pk.Relay.Hops > 0) {
		return p.settle(pk, b.first)
	}
	if pk.snap.isolated {
		return drop(cornelbay.Unanswered)
	}
	from := 0
	if pk.Relay.Hops > 0 {
		from = r.position + 1
	}
	for i := from; i < len(r.order); i++ {
		if host := pk.snap.hosts[r.order[i]]; i != r.position && host != pk.Relay.From {
			return pk.relay(host, -1)
		}
	}
	switch {
	case pk.snap.split || !pk.askedAll(r):
		return drop(cornelbay.Unanswered)
	case udp:
		return p.settle(pk, b.place)
	}
	return p.settle(pk, b.first)
}

// askedAll reports whether the packet was at every live host; it was not when
// the hosts on its way do not agree on who is alive.
func (pk *packet) askedAll(r *route) bool {
	hosts := len(r.order)
	if pk.Relay.Hops == 0 || pk.snap.live(pk.Relay.From) {
		hosts--
	}
	return int(pk.Relay.Hops) >= hosts
}

// settle records the target of a flow of which no host has a record.
func (p *Plane) settle(pk *packet, at int32) cornelbay.Verdict {
	if !pk.snap.usable(at) {
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
