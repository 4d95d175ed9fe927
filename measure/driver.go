// Package measure drives hosts on a virtual clock with small fakes around them,
// for the experiments that operators can rerun and for the fault matrix.
package measure

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// Start is the time at which every virtual clock starts.
var Start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Driver is a queue of events on a virtual clock; one goroutine uses it.
type Driver struct {
	// Now is the time of the event that runs.
	Now time.Time
	// Rand is the only source of randomness of an experiment.
	Rand *rand.Rand

	events events
	count  uint64
}

// NewDriver returns a driver at Start whose randomness comes from seed.
func NewDriver(seed uint64) *Driver {
	return &Driver{Now: Start, Rand: rand.New(rand.NewPCG(seed, 1))}
}

type event struct {
	at    time.Time
	order uint64
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].order < e[j].order
	}
	return e[i].at.Before(e[j].at)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// After runs f when d has passed.
func (d *Driver) After(wait time.Duration, f func()) {
	d.count++
	heap.Push(&d.events, event{d.Now.Add(wait), d.count, f})
}

// Every runs f after each interval for as long as it returns true.
func (d *Driver) Every(interval time.Duration, f func() bool) {
	d.After(interval, func() {
		if f() {
			d.Every(interval, f)
		}
	})
}

// Run runs the events of the next span of time; an event may call it, to wait.
func (d *Driver) Run(span time.Duration) {
	end := d.Now.Add(span)
	for len(d.events) > 0 && !d.events[0].at.After(end) {
		e := heap.Pop(&d.events).(event)
		d.Now = e.at
		e.run()
	}
	if d.Now.Before(end) {
		d.Now = end
	}
}
