// Package assign maps the buckets of a service to its targets by weighted
// rendezvous hashing with a ceiling for each target.
package assign

import (
	"cmp"
	"container/heap"
	"encoding/binary"
	"math"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelbay/cornelbay"
)

// Share is a target and the weight it has now.
type Share struct {
	Target cornelbay.TargetName
	Weight int
}

// Table gives the target of each bucket as an index into the shares, or -1
// when no share has weight. It depends on the set of shares alone: their order
// only changes the indices. No target gets more buckets than its Ceiling, and
// each bucket has the target of the least cost among those that would not
// rather keep buckets of less cost.
func Table(buckets int, shares []Share) []int {
	out := make([]int, buckets)
	for b := range out {
		out[b] = -1
	}
	m := newMatching(buckets, shares)
	if len(m.targets) == 0 {
		return out
	}
	for b := range buckets {
		m.place(b)
	}
	for i, t := range m.targets {
		for _, c := range t.claims {
			out[c.bucket] = m.index[i]
		}
	}
	return out
}

// MaxBuckets returns the largest number of buckets for a target of the weight
// among targets of the total weight.
func MaxBuckets(buckets, weight, total int) int {
	hi, lo := bits.Mul64(uint64(buckets), uint64(weight))
	n, rest := bits.Div64(hi, lo, uint64(total))
	if rest > 0 {
		n++
	}
	return int(n)
}

// matching is a deferred acceptance between buckets, which prefer targets of
// low cost, and targets, which keep the buckets of low cost up to the ceiling.
type matching struct {
	targets []holder
	index   []int
	// asked holds the claim that each bucket made last.
	asked []claim
}

type holder struct {
	hash    uint64
	weight  int
	ceiling int
	claims  claims
}

type claim struct {
	cost   float64
	bucket int
	target int
}

// claims is a heap with the claim of the highest cost first.
type claims []claim

func (c claims) Len() int           { return len(c) }
func (c claims) Less(i, j int) bool { return compare(c[i], c[j]) > 0 }
func (c claims) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *claims) Push(x any)        { *c = append(*c, x.(claim)) }
func (c *claims) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

func compare(a, b claim) int {
	return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.bucket, b.bucket), cmp.Compare(a.target, b.target))
}

func newMatching(buckets int, shares []Share) *matching {
	m := &matching{asked: make([]claim, buckets)}
	total := 0
	for i, s := range shares {
		if s.Weight > 0 {
			m.index = append(m.index, i)
			total += s.Weight
		}
	}
	slices.SortFunc(m.index, func(a, b int) int { return cmp.Compare(shares[a].Target, shares[b].Target) })
	for _, i := range m.index {
		s := shares[i]
		m.targets = append(m.targets, holder{
			hash: xxhash.Sum64String(string(s.Target)), weight: s.Weight,
			ceiling: MaxBuckets(buckets, s.Weight, total),
		})
	}
	return m
}

// place finds a target for a bucket and for those that it displaces.
func (m *matching) place(bucket int) {
	for {
		c := m.choice(bucket)
		t := &m.targets[c.target]
		if len(t.claims) < t.ceiling {
			heap.Push(&t.claims, c)
			return
		}
		if compare(c, t.claims[0]) > 0 {
			continue
		}
		bucket = t.claims[0].bucket
		t.claims[0] = c
		heap.Fix(&t.claims, 0)
	}
}

// choice returns the claim of a bucket on the best target that it has not asked:
// the cheapest of those that come after its last claim.
func (m *matching) choice(bucket int) claim {
	last, best := m.asked[bucket], claim{cost: math.Inf(1)}
	for i := range m.targets {
		t := &m.targets[i]
		c := claim{cost(uint64(bucket), t.hash, t.weight), bucket, i}
		if compare(c, last) > 0 && compare(c, best) < 0 {
			best = c
		}
	}
	m.asked[bucket] = best
	return best
}

// cost is the time of the first event of a Poisson process with the rate weight.
func cost(bucket, target uint64, weight int) float64 {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], target)
	binary.BigEndian.PutUint64(b[8:], bucket)
	u := (float64(xxhash.Sum64(b[:])>>11) + 0.5) / (1 << 53)
	return -math.Log(u) / float64(weight)
}
