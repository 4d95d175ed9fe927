// Package choice selects the best of several targets by their expected cost. It reads no clock and
// knows no targets, only what is offered to it.
package choice

import (
	"cmp"
	"slices"
	"time"
)

// Candidate is a target that is considered for a flow. The zero target stands for none.
type Candidate[T comparable] struct {
	Target T
	// Cost is the expected wait, plus the round trip to another data centre.
	Cost time.Duration
	// Load is the number of active flows per slot.
	Load float64
	// TieBreak decides among equals. It is random, and different for each flow.
	TieBreak uint64
}

// IsNone reports whether there is no target.
func (c Candidate[T]) IsNone() bool {
	var none T
	return c.Target == none
}

// Compare orders two candidates, the better one first.
func (c Candidate[T]) Compare(other Candidate[T]) int {
	return cmp.Or(cmp.Compare(c.Cost, other.Cost), cmp.Compare(c.Load, other.Load), cmp.Compare(c.TieBreak, other.TieBreak))
}

// BetterThan reports whether a candidate is better than another, which may be none.
func (c Candidate[T]) BetterThan(other Candidate[T]) bool {
	return !c.IsNone() && (other.IsNone() || c.Compare(other) < 0)
}

// Keep replaces c by a better candidate.
func (c *Candidate[T]) Keep(other Candidate[T]) {
	if other.BetterThan(*c) {
		*c = other
	}
}

// SampleSize is the number of targets, in the own data centre and in the others each, that a
// Sampler compares for a flow. With two, the load spreads evenly although it is known with
// delay.
const SampleSize = 2

// Sampler selects the target of a new flow. It answers the load of many hosts that act on the same
// reports: each compares a few targets, chosen at random for each flow. Its zero value has been
// offered none.
type Sampler[T comparable] struct {
	// All is true to compare all targets.
	All       bool
	least     Candidate[T]
	near, far []Candidate[T]
}

// Add offers a target; near is true for one in the own data centre.
func (s *Sampler[T]) Add(c Candidate[T], near bool) {
	switch {
	case s.All:
		s.least.Keep(c)
	case near:
		s.near = keepSample(s.near, c)
	default:
		s.far = keepSample(s.far, c)
	}
}

// keepSample keeps the candidates with the lowest tie breaks, which are random.
func keepSample[T comparable](sample []Candidate[T], c Candidate[T]) []Candidate[T] {
	if len(sample) < SampleSize {
		return append(sample, c)
	}
	last := 0
	for i := range sample {
		if sample[i].TieBreak > sample[last].TieBreak {
			last = i
		}
	}
	if c.TieBreak < sample[last].TieBreak {
		sample[last] = c
	}
	return sample
}

// Best returns the best target that was offered and compared, or none.
func (s *Sampler[T]) Best() Candidate[T] {
	best := s.least
	for _, c := range slices.Concat(s.near, s.far) {
		best.Keep(c)
	}
	return best
}

// Mix scrambles the bits of n, so that ties are broken in a different order for each flow. It is
// the finalizer of MurmurHash3.
func Mix(n uint64) uint64 {
	n ^= n >> 33
	n *= 0xff51afd7ed558ccd
	n ^= n >> 33
	n *= 0xc4ceb9fe1a85ec53
	return n ^ n>>33
}
