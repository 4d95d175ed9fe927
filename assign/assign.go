// Package assign maps the buckets of a service to its targets by weighted
// rendezvous hashing with a maximum number of buckets per target.
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

// Share is a target with its current weight.
type Share struct {
	Target cornelbay.TargetName
	Weight int
}

// Table returns the target of each bucket as an index into the shares, or -1 if
// no share has a positive weight. The assignment depends only on the set of
// shares; their order only changes the indices. No target gets more buckets
// than its MaxBuckets. Each bucket is assigned to its cheapest target, by the
// function cost, among those that are not filled with cheaper buckets.
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
		m.assignBucket(b)
	}
	for i, t := range m.targets {
		for _, c := range t.accepted {
			out[c.bucket] = m.index[i]
		}
	}
	return out
}

// MaxBuckets returns the maximum number of buckets of a target with the weight,
// out of the total weight of all targets: its exact share, rounded up. The total
// must be positive.
func MaxBuckets(buckets, weight, total int) int {
	hi, lo := bits.Mul64(uint64(buckets), uint64(weight))
	n, rest := bits.Div64(hi, lo, uint64(total))
	if rest > 0 {
		n++
	}
	return int(n)
}

// matching runs the deferred acceptance (Gale-Shapley) algorithm between
// buckets, which prefer targets of low cost, and targets, which accept the
// buckets of lowest cost up to their maximum.
type matching struct {
	// targets holds the targets with a positive weight, sorted by name, and
	// index the index of each in the shares.
	targets []matchTarget
	index   []int
	// lastProposals holds the last proposal of each bucket.
	lastProposals []proposal
}

type matchTarget struct {
	hash       uint64
	weight     int
	maxBuckets int
	accepted   proposalHeap
}

type proposal struct {
	cost   float64
	bucket int
	target int
}

// proposalHeap is a heap with the most expensive proposal first.
type proposalHeap []proposal

func (c proposalHeap) Len() int           { return len(c) }
func (c proposalHeap) Less(i, j int) bool { return compareProposals(c[i], c[j]) > 0 }
func (c proposalHeap) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *proposalHeap) Push(x any)        { *c = append(*c, x.(proposal)) }
func (c *proposalHeap) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

func compareProposals(a, b proposal) int {
	return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.bucket, b.bucket), cmp.Compare(a.target, b.target))
}

func newMatching(buckets int, shares []Share) *matching {
	m := &matching{lastProposals: make([]proposal, buckets)}
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
		m.targets = append(m.targets, matchTarget{
			hash: xxhash.Sum64String(string(s.Target)), weight: s.Weight,
			maxBuckets: MaxBuckets(buckets, s.Weight, total),
		})
	}
	return m
}

// assignBucket finds a target for a bucket, and for every bucket that is
// displaced in turn.
func (m *matching) assignBucket(bucket int) {
	for {
		c := m.nextProposal(bucket)
		t := &m.targets[c.target]
		if len(t.accepted) < t.maxBuckets {
			heap.Push(&t.accepted, c)
			return
		}
		if compareProposals(c, t.accepted[0]) > 0 {
			continue
		}
		bucket = t.accepted[0].bucket
		t.accepted[0] = c
		heap.Fix(&t.accepted, 0)
	}
}

// nextProposal returns the proposal of a bucket to the cheapest target that it
// has not proposed to yet: the cheapest one after its last proposal.
func (m *matching) nextProposal(bucket int) proposal {
	last, best := m.lastProposals[bucket], proposal{cost: math.Inf(1)}
	for i := range m.targets {
		t := &m.targets[i]
		c := proposal{cost(uint64(bucket), t.hash, t.weight), bucket, i}
		if compareProposals(c, last) > 0 && compareProposals(c, best) < 0 {
			best = c
		}
	}
	m.lastProposals[bucket] = best
	return best
}

// cost is the time of the first event of a Poisson process with rate weight.
// The cheapest target of a bucket is thus chosen with a probability
// proportional to its weight.
func cost(bucket, target uint64, weight int) float64 {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], target)
	binary.BigEndian.PutUint64(b[8:], bucket)
	u := (float64(xxhash.Sum64(b[:])>>11) + 0.5) / (1 << 53)
	return -math.Log(u) / float64(weight)
}
