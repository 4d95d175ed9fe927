// Package pace limits the number of flows that a host has open at targets, adapting to
// their answers: a Window at one target of the host's share, Borrowing at all others.
package pace

import (
	"math"
	"time"
)

// Limits of a whole target.
const (
	// FlowsPerSlot leaves a flow waiting at each slot: the acknowledgement that shows a free
	// slot arrives some milliseconds after the slot became free.
	FlowsPerSlot = 2
	// rampFlowsPerSlot is the limit at which a ramp ends. Below FlowsPerSlot, requests that
	// wait for each other are still answered in time.
	rampFlowsPerSlot = 1.5
	// cautiousAnswers is the number of answers per slot after a rejection in which a whole
	// target gets one flow per slot.
	cautiousAnswers = 4
	// MinShare is the smallest share, in slots, that allows flows.
	MinShare = 0.05
)

// Answer times, relative to the usual time of the target.
const (
	inTime  = 2 // the latest answer that counts as in time
	tooLate = 4 // answers after this one show an overload
	// holdTimes is the time after a decrease, in usual times, in which the limit stays:
	// answers and rejections are of flows opened before the decrease.
	holdTimes = 2
)

// State is the state of a target's window.
type State uint8

// The states of a window.
const (
	Whole   State = iota // fully ramped up
	Ramping              // in slow start
)

// String returns the state's name in lower case.
func (s State) String() string {
	if s == Ramping {
		return "ramping"
	}
	return "whole"
}

// Window is the concurrency limit of a host at a target. Its zero value is that of a target
// known to be whole. It is not safe for concurrent use.
type Window struct {
	state State
	share float64
	// ramp is the limit while ramping.
	ramp float64
	// linear is true after the first decrease of a ramp: the limit then grows by one per
	// round instead of doubling.
	linear bool
	hold   hold
	// cautious is the number of answers after a rejection until a whole target gets
	// FlowsPerSlot again.
	cautious int
	factor   timeFactor
	// restarted is the time of the last Restart. Before alone, flows of this host may have
	// waited for each other.
	restarted, alone time.Time
}

// Limit returns the number of concurrent flows allowed for a share of slots: 0 below
// MinShare, otherwise at least 1. It may be a fraction. The last share determines where a
// ramp ends.
func (w *Window) Limit(share float64) float64 {
	w.share = share
	switch {
	case share < MinShare:
		return 0
	case w.state == Ramping:
		return min(w.ramp, rampLimit(share))
	}
	if w.cautious > 0 {
		return max(1, share)
	}
	return wholeLimit(share)
}

func wholeLimit(share float64) float64 { return max(1, FlowsPerSlot*share) }

// rampLimit returns the limit at which a ramp ends.
func rampLimit(share float64) float64 { return max(1, rampFlowsPerSlot*share) }

// Answered records that a request was answered; usual is the time of a request that doesn't
// wait. A contended request may have waited at the target, as the host had its slots there
// in use: it is no evidence of the time factor.
func (w *Window) Answered(now time.Time, took, usual time.Duration, contended bool) {
	own := time.Duration(float64(usual) * w.factor.value(now))
	if usual > 0 {
		w.hold.usual = own
	}
	opened := now.Add(-took)
	if w.state == Ramping {
		if opened.Before(w.restarted) {
			return // it may have been lost at the target before it recovered
		}
		// A target that is still cold may queue the second flow already.
		if w.ramp >= 2 || opened.Before(w.alone) {
			w.alone, contended = now, true
		}
	}
	if usual > 0 && !contended {
		w.factor.add(now, float64(took)/float64(usual))
	}
	if w.state == Whole {
		w.cautious = max(0, w.cautious-1)
		return
	}
	switch {
	case usual > 0 && took > tooLate*own:
		w.decrease(now)
	case w.hold.active(now):
	case usual > 0 && took > inTime*own:
		// Without this decrease, a target that became slow for good at an inner limit would
		// ramp forever: there is no evidence of its time factor at a limit of 2 or more.
		w.ramp = max(1, w.ramp-1/w.ramp)
	default:
		w.increase()
	}
}

func (w *Window) increase() {
	if w.share < MinShare {
		return // the limit to reach isn't known
	}
	if w.linear {
		w.ramp += 1 / w.ramp
	} else {
		w.ramp++
	}
	if w.ramp >= rampLimit(w.share) {
		w.state = Whole
	}
}

func (w *Window) decrease(now time.Time) {
	if w.hold.begin(now) {
		if w.ramp >= 2 {
			w.alone = now
		}
		w.ramp, w.linear = max(1, w.ramp/2), true
	}
}

// Rejected records that a request was rejected, cut short or never answered. It halves the
// limit of a ramping target, and puts a whole one, whose queue others fill, to a flow for
// each slot until some more requests have been answered.
func (w *Window) Rejected(now time.Time) {
	if w.state == Ramping {
		w.decrease(now)
		return
	}
	w.cautious = int(math.Ceil(cautiousAnswers * w.share))
}

// Restart records that the target is newly started or recovered: begin with one flow.
func (w *Window) Restart(now time.Time) {
	*w = Window{state: Ramping, share: w.share, ramp: 1, restarted: now, alone: now}
}

// TimeFactor returns the time of a request at the target relative to the usual time, 1
// without evidence.
func (w *Window) TimeFactor(now time.Time) float64 { return w.factor.value(now) }

// State returns Whole or Ramping.
func (w *Window) State() State { return w.state }

// hold is the time after a decrease in which a limit stays.
type hold struct {
	usual time.Duration // of the last answer
	until time.Time
}

func (h *hold) active(now time.Time) bool { return now.Before(h.until) }

// begin starts a hold unless one is active.
func (h *hold) begin(now time.Time) bool {
	if h.active(now) {
		return false
	}
	h.until = now.Add(holdTimes * h.usual)
	return true
}
