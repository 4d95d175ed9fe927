package pace

import (
	"slices"
	"time"
)

const (
	// A borrowed flow that took no longer than vacatedFactor usual times has left a slot that
	// counts as free for vacatedTime: longer, and it may be in use again.
	vacatedFactor = 1.5
	vacatedTime   = 50 * time.Millisecond
)

// Vacated are the slots beyond a host's share that its borrowed flows have just left. Reports, a
// second old, don't show such slots, and flows to random targets meet those of other hosts. Its
// zero value is empty. T identifies a target.
type Vacated[T comparable] struct {
	slots []vacatedSlot[T] // in the order of time
}

type vacatedSlot[T comparable] struct {
	target T
	at     time.Time
}

// Add records that a borrowed flow has ended. If its request did not wait, the slot is
// probably free.
func (v *Vacated[T]) Add(now time.Time, target T, took, usual time.Duration) {
	v.expire(now)
	if float64(took) <= vacatedFactor*float64(usual) {
		v.slots = append(v.slots, vacatedSlot[T]{target, now})
	}
}

func (v *Vacated[T]) expire(now time.Time) {
	v.slots = slices.DeleteFunc(v.slots, func(s vacatedSlot[T]) bool { return now.Sub(s.at) > vacatedTime })
}

// Latest returns the target of the latest vacated slot that may get a flow, or the zero value.
func (v *Vacated[T]) Latest(now time.Time, usable func(T) bool) T {
	v.expire(now)
	for _, s := range slices.Backward(v.slots) {
		if usable(s.target) {
			return s.target
		}
	}
	var none T
	return none
}

// Take removes the latest vacated slot of a target, if there is one.
func (v *Vacated[T]) Take(target T) {
	for i, s := range slices.Backward(v.slots) {
		if s.target == target {
			v.slots = slices.Delete(v.slots, i, i+1)
			return
		}
	}
}
