package flow

import (
	"sync/atomic"

	"github.com/cornelbay/cornelbay"
)

const (
	counterStripes = 16
	actionCount    = int(cornelbay.Hold) + 1
	reasonCount    = 16
)

// Counters counts verdicts. Its zero value is ready to use, and it is safe for
// concurrent use.
type Counters struct {
	stripes [counterStripes]struct {
		actions [actionCount]atomic.Uint64
		reasons [reasonCount]atomic.Uint64
	}
}

func (c *Counters) count(hash uint64, v *cornelbay.Verdict) {
	s := &c.stripes[hash>>32%counterStripes]
	s.actions[v.Action].Add(1)
	if v.Action == cornelbay.Drop {
		s.reasons[v.Reason].Add(1)
	}
}

// Action returns the number of verdicts with the action.
func (c *Counters) Action(a cornelbay.Action) uint64 {
	var n uint64
	for i := range c.stripes {
		n += c.stripes[i].actions[a].Load()
	}
	return n
}

// Dropped returns the number of packets dropped for the reason.
func (c *Counters) Dropped(r cornelbay.DropReason) uint64 {
	var n uint64
	for i := range c.stripes {
		n += c.stripes[i].reasons[r].Load()
	}
	return n
}
