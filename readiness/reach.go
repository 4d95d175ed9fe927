package readiness

import (
	"math"
	"time"
)

// memory is the time constant with which openings lose weight. It is short against the time that
// routers take to follow.
const memory = 150 * time.Millisecond

// minWeight is the weight of openings below which they tell nothing.
const minWeight = 0.1

// Reach tells by the openings of a host whether it can reach targets. Its zero value has seen
// none. It is not safe for concurrent use.
type Reach struct {
	answered, unreached float64
	at                  time.Time
}

// RecordAnswered records an opening that a target has answered.
func (r *Reach) RecordAnswered(now time.Time) {
	r.decay(now)
	r.answered++
}

// RecordUnreached records an opening for which there are only targets that do not answer.
func (r *Reach) RecordUnreached(now time.Time) {
	r.decay(now)
	r.unreached++
}

func (r *Reach) decay(now time.Time) {
	if d := now.Sub(r.at); d > 0 {
		f := math.Exp(-d.Seconds() / memory.Seconds())
		r.answered, r.unreached, r.at = r.answered*f, r.unreached*f, now
	}
}

// Census returns that of this host alone.
func (r *Reach) Census(now time.Time) Census {
	r.decay(now)
	c := Census{Alive: 1}
	switch {
	case r.answered+r.unreached < minWeight:
	case r.unreached > r.answered:
		c.Unable = 1
	default:
		c.Able = 1
	}
	return c
}
