package pace

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	usual = 20 * time.Millisecond
	share = 8.0
	step  = time.Millisecond
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// backEnd is a target in virtual time. Its functions take the time since the start.
type backEnd struct {
	slots func(at time.Duration) int
	work  func(at time.Duration) time.Duration
	// queue is the number of requests that wait for a slot; any beyond are rejected.
	queue int
	flows []*request
}

type request struct {
	opened, left time.Duration
	contended    bool
}

// advance works for one step, and returns the requests that are answered and the number of
// those rejected.
func (b *backEnd) advance(at time.Duration) (answered []*request, rejected int) {
	n := b.slots(at)
	if most := n + b.queue; len(b.flows) > most {
		rejected = len(b.flows) - most
		b.flows = b.flows[:most]
	}
	var rest []*request
	for i, r := range b.flows {
		if i < n {
			r.left -= step
		}
		if r.left <= 0 {
			answered = append(answered, r)
		} else {
			rest = append(rest, r)
		}
	}
	b.flows = rest
	return answered, rejected
}

// result is what a run of a ramp shows.
type result struct {
	limits []float64 // by step
	// whole is when the window became whole, or 0 if it didn't.
	whole                   time.Duration
	answered, late, refused int
}

// limit returns the limit at a time since the start.
func (r *result) limit(at time.Duration) float64 { return r.limits[at/step] }

// ramp runs a newly restarted window against the target, always with as many flows open as
// the limit allows.
func ramp(w *Window, b *backEnd, length time.Duration) *result {
	w.Restart(start)
	r := new(result)
	for at := time.Duration(0); at < length; at += step {
		now := start.Add(at)
		answered, rejected := b.advance(at)
		for _, a := range answered {
			took := at - a.opened
			w.Answered(now, took, usual, a.contended)
			r.answered++
			if took > tooLate*usual {
				r.late++
			}
		}
		for range rejected {
			w.Rejected(now)
			r.refused++
		}
		limit := w.Limit(share)
		r.limits = append(r.limits, limit)
		if r.whole == 0 && w.State() == Whole {
			r.whole = at
		}
		for float64(len(b.flows)+1) <= limit {
			b.flows = append(b.flows, &request{at, b.work(at), float64(len(b.flows)) >= share})
		}
	}
	return r
}

func always[T any](v T) func(time.Duration) T { return func(time.Duration) T { return v } }

// warming returns the slots of a target that reaches all of its slots after a time.
func warming(in time.Duration) func(time.Duration) int {
	return func(at time.Duration) int { return 1 + int((share-1)*min(1, float64(at)/float64(in))) }
}

// lognormal returns a random service time with the given mean.
func lognormal(r *rand.Rand, mean time.Duration) time.Duration {
	const sigma = 0.5
	return time.Duration(float64(mean) * math.Exp(sigma*r.NormFloat64()-sigma*sigma/2))
}

func random(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }
