package placement

import (
	"time"

	"github.com/cornelbay/cornelbay/queue"
)

// event is an action scheduled in a simulation.
type event struct {
	at time.Duration
	n  int
	do func()
}

// Before orders events by time, then by when they were scheduled.
func (e event) Before(other event) bool {
	return e.at < other.at || e.at == other.at && e.n < other.n
}

// clock is the virtual time of a simulation. Its zero value is at the start.
type clock struct {
	events queue.Heap[event]
	now    time.Duration
	n      int
}

func (c *clock) after(d time.Duration, do func()) {
	c.n++
	c.events.Push(event{c.now + d, c.n, do})
}

func (c *clock) time() time.Time { return start.Add(c.now) }

// runUntil carries out the events up to a time.
func (c *clock) runUntil(end time.Duration) {
	for c.events.Len() > 0 && c.events.First().at <= end {
		e := c.events.Pop()
		c.now = e.at
		e.do()
	}
}

// copyNumber returns the number of an opening that is the caller's first, or a copy of it.
func copyNumber(retransmitted bool) int {
	if retransmitted {
		return 1
	}
	return 0
}
