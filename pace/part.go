package pace

import (
	"math"
	"time"
)

// partTime is the time constant over which a host's requests at work are averaged, as the reports
// of the others are.
const partTime = time.Second

// Part is a host's part of the requests that all hosts together have at work at a service. Its
// zero value has none.
//
// It answers the load of data centres whose demand differs from their share of the slots: a host
// may go beyond its share as long as others leave theirs unused, and all that do so grow and
// shrink by the same factor.
type Part struct {
	// own is the smoothed number of this host's requests at work, and perSlot that of all hosts
	// for each slot.
	own, perSlot float64
	at           time.Time
}

// Update records the requests at work: this host's, those of all hosts, and the slots.
func (p *Part) Update(now time.Time, own, all, slots float64) {
	w := 1.0
	if !p.at.IsZero() {
		w = 1 - math.Exp(-float64(now.Sub(p.at))/float64(partTime))
	}
	all += p.own + w*(own-p.own) - own // as smooth as the reports of others
	p.own, p.at = p.own+w*(own-p.own), now
	p.perSlot = 0
	if slots > 0 {
		p.perSlot = all / slots
	}
}

// Flows returns the number of requests that a host may have at work for its share of the slots if
// all hosts together are to have perSlot for each.
func (p *Part) Flows(share, perSlot float64) float64 {
	if p.perSlot <= 0 {
		return share * perSlot
	}
	return max(share*perSlot, p.own*perSlot/p.perSlot)
}
