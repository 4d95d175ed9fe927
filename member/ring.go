package member

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelbay/cornelbay"
)

// Heartbeat fan-out. In a group of up to fullMesh hosts every host sends to all
// others. In a larger group each sends to its successors on a ring of hashed names
// and to randomPeers further hosts in rotation.
const (
	fullMesh    = 6
	successors  = 3
	randomPeers = 2
)

// rotation iterates over a list of hosts in random order and reshuffles it after
// each pass.
type rotation struct {
	names []cornelbay.HostName
}

// next returns the next name for which ok is true. After a full pass it starts over
// in a new random order.
func (r *rotation) next(rnd *rand.Rand, all []*peer, ok func(*peer) bool) (cornelbay.HostName, bool) {
	for range 2 {
		for len(r.names) > 0 {
			name := r.names[0]
			r.names = r.names[1:]
			if at, found := slices.BinarySearchFunc(all, name, compareName); found && ok(all[at]) {
				return name, true
			}
		}
		for _, p := range all {
			if ok(p) {
				r.names = append(r.names, p.host.Name)
			}
		}
		rnd.Shuffle(len(r.names), func(i, j int) { r.names[i], r.names[j] = r.names[j], r.names[i] })
	}
	return "", false
}

func position(name cornelbay.HostName) uint64 { return xxhash.Sum64String(string(name)) }

// setRing recomputes which hosts this one sends heartbeats to and expects them from.
func (v *View) setRing(now time.Time) {
	ring := make([]*peer, 0, len(v.sorted))
	for _, p := range v.sorted {
		if p.live() {
			ring = append(ring, p)
		}
	}
	if len(ring) < fullMesh {
		v.heartbeatTo = ring
		v.setExpected(now, ring)
		return
	}
	slices.SortFunc(ring, func(a, b *peer) int { return cmp.Compare(a.position, b.position) })
	at, _ := slices.BinarySearchFunc(ring, position(v.Self.Name), func(p *peer, own uint64) int {
		return cmp.Compare(p.position, own)
	})
	v.heartbeatTo = nil
	var predecessors []*peer
	for i := range successors {
		v.heartbeatTo = append(v.heartbeatTo, ring[(at+i)%len(ring)])
		predecessors = append(predecessors, ring[(at-1-i+len(ring))%len(ring)])
	}
	v.setExpected(now, predecessors)
}

// setExpected records which hosts must send heartbeats to this one. It sends a
// heartbeat to those that are new, since they may not know this host yet.
func (v *View) setExpected(now time.Time, hosts []*peer) {
	for _, p := range v.sorted {
		expected := slices.Contains(hosts, p)
		if expected && !p.expected {
			p.expectedAt = now
			v.sendSoon(p.host.Name)
		}
		p.expected = expected
	}
}

// confirmAfter returns how long a suspect may refute. The time that gossip takes to
// reach all hosts grows with the logarithm of the group size.
func (v *View) confirmAfter() time.Duration {
	n := max(len(v.members.Live), fullMesh)
	return ConfirmAfter + time.Duration(float64(HeartbeatInterval/2)*math.Log2(float64(n)/fullMesh))
}

// receivers returns the recipients of the next round of heartbeats. Every second
// round adds a dead host, so that one that came back or was cut off can refute; the
// other rounds, and all rounds of a host without ring neighbours, add an introduced
// one.
func (v *View) receivers() []cornelbay.HostName {
	out := v.urgent
	v.urgent = nil
	add := func(name cornelbay.HostName) {
		if !slices.Contains(out, name) {
			out = append(out, name)
		}
	}
	for _, p := range v.heartbeatTo {
		add(p.host.Name)
	}
	if len(v.heartbeatTo) == successors && len(v.sorted) > successors {
		for range randomPeers {
			if name, ok := v.livePeers.next(v.random(), v.sorted, (*peer).live); ok {
				add(name)
			}
		}
	}
	if v.rounds%2 == 0 {
		if name, ok := v.deadPeers.next(v.random(), v.sorted, func(p *peer) bool { return p.state == Dead }); ok {
			add(name)
		}
	}
	if v.rounds%2 == 1 || len(v.heartbeatTo) == 0 {
		if name, ok := v.introducedPeers.next(v.random(), v.sorted, func(p *peer) bool { return p.state == Introduced }); ok {
			add(name)
		}
	}
	return out
}
