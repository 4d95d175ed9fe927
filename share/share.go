// Package share divides the slots of a service's targets among hosts by deterministic
// subsetting: hosts with the same view of hosts and targets agree on who owns each slot
// without exchanging messages.
package share

import (
	"cmp"
	"encoding/binary"
	"maps"
	"math"
	"reflect"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/registry"
)

// minShare is the smallest share in slots that is returned. Smaller ones are rounding
// errors of interval boundaries at the edge of a target.
const minShare = 1e-10

// Target is a target with the number of requests that it serves at the same time.
type Target[K comparable] struct {
	Key        K
	DataCentre cornelbay.DataCentreName
	Slots      float64
}

// Divide returns the slots of each target that belong to self. Every host has the same
// quota of slots. The slots of a data centre go to its own hosts first; those beyond its
// hosts' quotas fill the quotas of hosts in data centres that have too few. Self counts as
// a host even if it isn't among hosts, targets without slots are left out. The order of
// hosts and targets doesn't matter.
func Divide[K cmp.Ordered](self registry.Host, hosts []registry.Host, targets []Target[K]) map[K]float64 {
	sites, n := group(self, hosts, targets)
	total := 0.0
	for _, s := range sites {
		total += s.slots
	}
	quota := total / float64(n)
	var surplus, needed float64
	var last *site[K] // the last one with too few slots
	for _, s := range sites {
		want := quota * float64(len(s.hosts))
		s.kept = min(s.slots, want)
		s.surplusFrom, s.neededFrom = surplus, needed
		surplus += s.slots - s.kept
		needed += want - s.kept
		s.surplusTo, s.neededTo = surplus, needed
		if s.kept < want {
			last = s
		}
	}
	if last != nil {
		last.neededTo = math.Inf(1) // rounding errors must leave no slot without an owner
	}

	out := make(map[K]float64)
	for _, own := range sites {
		i := slices.IndexFunc(own.hosts, func(h ranked[cornelbay.HostName]) bool { return h.key == self.Name })
		if i < 0 {
			continue
		}
		end := own.kept
		if own.surplusTo == own.surplusFrom {
			end = math.Inf(1)
		}
		n := len(own.hosts)
		own.take(boundary(0, end, own.kept, i, n), boundary(0, end, own.kept, i+1, n), out)
		if own.neededTo == own.neededFrom {
			break
		}
		need := quota*float64(n) - own.kept
		from := boundary(own.neededFrom, own.neededTo, need, i, n)
		to := boundary(own.neededFrom, own.neededTo, need, i+1, n)
		for _, s := range sites {
			if s.surplusTo == s.surplusFrom {
				continue
			}
			s.take(s.pooled(from), s.pooled(to), out)
		}
		break
	}
	return out
}

// boundary returns the start of part i of n equal parts of an interval of the given length.
// The end of one part and the start of the next are the same number, so that no slot
// belongs to two hosts or none.
func boundary(start, end, length float64, i, n int) float64 {
	if i == n {
		return end
	}
	return min(end, start+length*float64(i)/float64(n))
}

// site is a data centre's hosts and targets, both in the order of their hashes.
type site[K cmp.Ordered] struct {
	hosts   []ranked[cornelbay.HostName]
	targets []ranked[K]
	slots   float64
	// kept is the number of slots for the own hosts, from the first target on. The rest is
	// surplus.
	kept float64
	// The positions in the pool of all surplus slots: of this data centre's surplus, and of
	// the slots that its hosts get from others.
	surplusFrom, surplusTo, neededFrom, neededTo float64
}

type ranked[K cmp.Ordered] struct {
	key   K
	hash  uint64
	slots float64
}

func byHash[K cmp.Ordered](a, b ranked[K]) int {
	return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.key, b.key), cmp.Compare(a.slots, b.slots))
}

// pooled returns the position in the data centre's slots of a position in the pool.
func (s *site[K]) pooled(at float64) float64 {
	switch {
	case at <= s.surplusFrom:
		return s.kept
	case at >= s.surplusTo:
		return math.Inf(1)
	}
	return s.kept + (at - s.surplusFrom)
}

// take adds the slots from position lo up to hi to out.
func (s *site[K]) take(lo, hi float64, out map[K]float64) {
	start := 0.0
	for _, t := range s.targets {
		if start >= hi {
			return
		}
		if n := min(hi-start, t.slots) - max(lo-start, 0); n > minShare {
			out[t.key] += n
		}
		start += t.slots
	}
}

// group returns the data centres in the order of their names, and the number of hosts.
func group[K cmp.Ordered](self registry.Host, hosts []registry.Host, targets []Target[K]) ([]*site[K], int) {
	sites := make(map[cornelbay.DataCentreName]*site[K])
	at := func(name cornelbay.DataCentreName) *site[K] {
		s := sites[name]
		if s == nil {
			s = new(site[K])
			sites[name] = s
		}
		return s
	}
	// A host that is listed twice counts once, in the first of its data centres by name.
	places := make(map[cornelbay.HostName]cornelbay.DataCentreName, len(hosts)+1)
	for _, h := range hosts {
		if dc, ok := places[h.Name]; !ok || h.DataCentre < dc {
			places[h.Name] = h.DataCentre
		}
	}
	if _, ok := places[self.Name]; !ok {
		places[self.Name] = self.DataCentre
	}
	for name, dc := range places {
		s := at(dc)
		s.hosts = append(s.hosts, ranked[cornelbay.HostName]{key: name, hash: hash(name)})
	}
	for _, t := range targets {
		if t.Slots > 0 {
			s := at(t.DataCentre)
			s.targets = append(s.targets, ranked[K]{t.Key, hash(t.Key), t.Slots})
		}
	}
	sorted := make([]*site[K], 0, len(sites))
	for _, name := range slices.Sorted(maps.Keys(sites)) {
		s := sites[name]
		slices.SortFunc(s.hosts, byHash)
		slices.SortFunc(s.targets, byHash)
		for _, t := range s.targets { // in one order, for the same sum on all hosts
			s.slots += t.slots
		}
		sorted = append(sorted, s)
	}
	return sorted, len(places)
}

// hash returns the hash of a key, the same on all hosts.
func hash[K cmp.Ordered](key K) uint64 {
	var bits uint64
	switch v := reflect.ValueOf(key); {
	case v.Kind() == reflect.String:
		return xxhash.Sum64String(v.String())
	case v.CanInt():
		bits = uint64(v.Int())
	case v.CanUint():
		bits = v.Uint()
	default:
		bits = math.Float64bits(v.Float())
	}
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], bits)
	return xxhash.Sum64(b[:])
}
