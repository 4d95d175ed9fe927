package pace

import (
	"math"
	"time"
)

// demandTime is the time constant over which the demand is averaged. A burst of urgent requests has
// room before many of them have waited for long.
const demandTime = 500 * time.Millisecond

// waitFraction is the fraction of the time left to urgent requests that they wait at their targets
// in the mean. What is left is their objective less inTime usual times; waits vary by several
// times their mean.
const waitFraction = 0.25

// fewUrgent is the demand of more urgent requests, relative to that of a priority, up to which no
// room is kept free for them.
const fewUrgent = 0.05

// Demand are the slots that the requests of each priority need at a host, from their rates and
// usual times. Its zero value has seen none.
//
// It answers the load of urgent requests that come on flows of their own, between less urgent
// ones that could fill all slots: what the urgent ones need is kept free for them, and given back
// when they no longer come.
type Demand struct {
	rates map[int]averageRate
}

// averageRate is an exponentially weighted moving average of what arrives per second.
type averageRate struct {
	slots, slack float64
	at           time.Time
}

func (r averageRate) now(now time.Time) averageRate {
	w := math.Exp(-float64(now.Sub(r.at)) / float64(demandTime))
	return averageRate{w * r.slots, w * r.slack, now}
}

// Record records that a request of a priority arrives, which usually takes a time and is to be
// answered within its objective.
func (d *Demand) Record(now time.Time, priority int, usual, objective time.Duration) {
	if d.rates == nil {
		d.rates = make(map[int]averageRate)
	}
	r := d.rates[priority].now(now)
	r.slots += float64(usual) / float64(demandTime)
	r.slack += float64(objective) / float64(demandTime)
	d.rates[priority] = r
}

// Room returns how many requests of a priority a host may have at work beside the more urgent
// ones, for its part of the slots, which is at least its share. All together are at most
// FlowsPerSlot for each slot, and fewer if the more urgent ones have little time to wait at their
// targets. limited is false if hardly any are more urgent.
func (d *Demand) Room(now time.Time, priority int, part *Part, slots float64) (room float64, limited bool) {
	var urgent averageRate
	for other, r := range d.rates {
		if other < priority {
			r = r.now(now)
			urgent.slots, urgent.slack = urgent.slots+r.slots, urgent.slack+r.slack
		}
	}
	if urgent.slots <= fewUrgent*d.rates[priority].now(now).slots {
		return 0, false
	}
	perSlot := 1 + waitFraction*(urgent.slack/urgent.slots-inTime)
	return part.Flows(slots, min(max(perSlot, 1), FlowsPerSlot)) - urgent.slots, true
}
