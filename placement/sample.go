package placement

import "slices"

const (
	// leastLoadedLimit is the number of hosts up to which each one sends a new flow to the
	// least loaded target. More hosts would all choose the same few targets until the next
	// reports, and overload them.
	leastLoadedLimit = 13
	// sampleSize is the number of targets, in the own data centre and in the others each,
	// that a host of a larger fleet compares for a new flow. With two, the load spreads
	// evenly although it is known with delay.
	sampleSize = 2
)

// sampler selects the target of a new flow. It answers the load of many hosts that act on
// the same reports: each host compares a few targets, chosen at random for each flow.
type sampler struct {
	// all is true to compare all targets.
	all       bool
	least     candidate
	near, far []candidate
}

// add offers a target; near is true for one in the own data centre.
func (s *sampler) add(c candidate, near bool) {
	switch {
	case s.all:
		keepBest(&s.least, c)
	case near:
		s.near = keepSample(s.near, c)
	default:
		s.far = keepSample(s.far, c)
	}
}

// keepSample keeps the candidates with the lowest tie breaks, which are random.
func keepSample(sample []candidate, c candidate) []candidate {
	if len(sample) < sampleSize {
		return append(sample, c)
	}
	last := 0
	for i := range sample {
		if sample[i].tieBreak > sample[last].tieBreak {
			last = i
		}
	}
	if c.tieBreak < sample[last].tieBreak {
		sample[last] = c
	}
	return sample
}

// best returns the best target that was offered and compared. Its target is nil if there
// was none.
func (s *sampler) best() candidate {
	best := s.least
	for _, c := range slices.Concat(s.near, s.far) {
		keepBest(&best, c)
	}
	return best
}
