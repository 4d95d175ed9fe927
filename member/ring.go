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

// The fan-out of heartbeats. In a group of up to fullMesh hosts all send to all;
// in a larger one each sends to its successors on a ring of hashed names and to
// some others in turn.
const (
	fullMesh   = 6
	successors = 3
	others     = 2
)

// rotation goes through a shuffled list again and again.
type rotation struct {
	names []cornelbay.HostName
}

// take returns the next name for which ok is true; once all were taken, all
// those of the list begin again in a new order.
func (r *rotation) take(rnd *rand.Rand, all []*peer, ok func(*peer) bool) (cornelbay.HostName, bool) {
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

// setRing works out which hosts this one sends to and hears from.
func (v *View) setRing(now time.Time) {
	ring := make([]*peer, 0, len(v.sorted))
	for _, p := range v.sorted {
		if p.live() {
			ring = append(ring, p)
		}
	}
	if len(ring) < fullMesh {
		v.ring = ring
		v.expect(now, ring)
		return
	}
	slices.SortFunc(ring, func(a, b *peer) int { return cmp.Compare(a.position, b.position) })
	at, _ := slices.BinarySearchFunc(ring, position(v.Self.Name), func(p *peer, own uint64) int {
		return cmp.Compare(p.position, own)
	})
	v.ring = nil
	var before []*peer
	for i := range successors {
		v.ring = append(v.ring, ring[(at+i)%len(ring)])
		before = append(before, ring[(at-1-i+len(ring))%len(ring)])
	}
	v.expect(now, before)
}

// expect notes whose heartbeats are due at this host, and greets those that are
// new, since they may not know this host.
func (v *View) expect(now time.Time, hosts []*peer) {
	for _, p := range v.sorted {
		expected := slices.Contains(hosts, p)
		if expected && !p.expected {
			p.expectedAt = now
			v.tell(p.host.Name)
		}
		p.expected = expected
	}
}

// confirmAfter returns the time that a suspect has to refute: news takes a
// number of heartbeats that grows with the logarithm of the group.
func (v *View) confirmAfter() time.Duration {
	n := max(len(v.members.Live), fullMesh)
	return ConfirmAfter + time.Duration(float64(HeartbeatInterval/2)*math.Log2(float64(n)/fullMesh))
}

// receivers returns the hosts that the next round of heartbeats goes to.
func (v *View) receivers() []cornelbay.HostName {
	out := v.urgent
	v.urgent = nil
	add := func(name cornelbay.HostName) {
		if !slices.Contains(out, name) {
			out = append(out, name)
		}
	}
	for _, p := range v.ring {
		add(p.host.Name)
	}
	if len(v.ring) == successors && len(v.sorted) > successors {
		for range others {
			if name, ok := v.mates.take(v.random(), v.sorted, (*peer).live); ok {
				add(name)
			}
		}
	}
	if v.rounds%2 == 0 {
		if name, ok := v.ended.take(v.random(), v.sorted, func(p *peer) bool { return p.state == Dead }); ok {
			add(name)
		}
	}
	if v.rounds%2 == 1 || len(v.ring) == 0 {
		if name, ok := v.intros.take(v.random(), v.sorted, func(p *peer) bool { return p.state == Introduced }); ok {
			add(name)
		}
	}
	return out
}
