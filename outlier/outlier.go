// Package outlier finds the targets of a service whose flows fail, or drag, more
// than those of the others, from the flows that all hosts have seen end. It
// answers targets that accept flows while they can't serve them, which a liveness
// check doesn't show. It performs no I/O and reads no clock.
package outlier

import (
	"math"
	"time"
)

const (
	// ReportInterval is the least time between two reports: they are larger than
	// those of loads, and less urgent.
	ReportInterval = 500 * time.Millisecond
	// memory is the time over which outcomes are averaged: some dozen flows of a
	// target at an ordinary load.
	memory = 2 * time.Second
	// A target is an outlier when its failures exceed those that the others would
	// have by failureDeviations and failureSlack.
	failureDeviations = 3
	failureSlack      = 2
	// It is one as well when its flows last slowFactor times as long as those of the
	// others, with slowSample of them at least, and slowExcess longer.
	slowFactor = 2.5
	slowSample = 5
	slowExcess = 20 * time.Millisecond
	// othersSample is the number of flows of the other targets without which nothing
	// is said of one.
	othersSample = 10
	// An outlier is ejected for firstEjection, then for twice the time before, up to
	// lastEjection.
	firstEjection = time.Second
	lastEjection  = 8 * time.Second
	// trialTime is how long after an ejection a few flows are to show whether the
	// target is well again.
	trialTime = time.Second
	// maxEjected is the part of a service's targets that may be ejected at a time:
	// beyond it the fault is not in them.
	maxEjected = 1.0 / 3
)

// Outcome sums up the flows that ended at a target.
type Outcome struct {
	// Ended counts the flows, and Failed those of them whose answer was cut short or
	// never came.
	Ended, Failed float64
	// TotalDuration is the sum of the times from the caller's first packet after the opening
	// to its last one.
	TotalDuration time.Duration
}

// Mean returns the mean duration of the flows.
func (o Outcome) Mean() time.Duration {
	if o.Ended == 0 {
		return 0
	}
	return time.Duration(float64(o.TotalDuration) / o.Ended)
}

func (o Outcome) plus(other Outcome) Outcome {
	return Outcome{o.Ended + other.Ended, o.Failed + other.Failed, o.TotalDuration + other.TotalDuration}
}

func (o Outcome) minus(other Outcome) Outcome {
	return Outcome{o.Ended - other.Ended, o.Failed - other.Failed, o.TotalDuration - other.TotalDuration}
}

func (o Outcome) scaled(x float64) Outcome {
	return Outcome{x * o.Ended, x * o.Failed, time.Duration(x * float64(o.TotalDuration))}
}

// fails reports whether more flows failed than can be put down to chance where
// they fail as often as those of others.
func (o Outcome) fails(others Outcome) bool {
	expected := o.Ended * others.Failed / others.Ended
	return o.Failed > expected+failureDeviations*math.Sqrt(expected)+failureSlack
}

// drags reports whether the flows last much longer than those of others.
func (o Outcome) drags(others Outcome) bool {
	usual := others.Mean()
	return o.Ended >= slowSample && o.Mean() > max(time.Duration(slowFactor*float64(usual)), usual+slowExcess)
}

// State says which flows a target may get.
type State int

// The states of a target.
const (
	Healthy State = iota
	// Ejected targets get none where there are others.
	Ejected
	// OnProbation is a target whose ejection has just ended: it gets a few.
	OnProbation
)

// Ejection is the finding that a target is an outlier.
type Ejection[K comparable] struct {
	Target K
	// Failing is true where its flows fail, and false where they drag.
	Failing bool
	// Outcome is the evidence, and Pause the time for which it gets no flows.
	Outcome  Outcome
	Duration time.Duration
}

// record is what a Detector keeps of one target.
type record struct {
	// own are the outcomes of this host since its last report, and fleet those of
	// all hosts, the older the less.
	own, fleet Outcome
	// until is when the last ejection ended or ends, and pause its length.
	until time.Time
	pause time.Duration
}

// eject begins an ejection, a longer one when the last has ended not long ago.
func (r *record) eject(now time.Time) {
	if now.Sub(r.until) > trialTime+r.pause {
		r.pause = 0
	}
	r.pause = min(max(2*r.pause, firstEjection), lastEjection)
	r.until = now.Add(r.pause)
	r.fleet = Outcome{}
}

// Detector finds outliers among targets of type K. Its zero value knows none; it
// is not safe for concurrent use.
type Detector[K comparable] struct {
	records  map[K]*record
	reported time.Time
}

func (d *Detector[K]) record(target K) *record {
	if d.records == nil {
		d.records = make(map[K]*record)
	}
	r, ok := d.records[target]
	if !ok {
		r = &record{}
		d.records[target] = r
	}
	return r
}

// AddLocal adds flows that this host has seen end.
func (d *Detector[K]) AddLocal(target K, o Outcome) {
	r := d.record(target)
	r.own = r.own.plus(o)
}

// AddRemote adds flows that another host has reported.
func (d *Detector[K]) AddRemote(target K, o Outcome) {
	r := d.record(target)
	r.fleet = r.fleet.plus(o)
}

// Report returns what this host has noted since its last report, or nil where
// none is due yet. Targets that keep does not hold are forgotten.
func (d *Detector[K]) Report(now time.Time, keep func(K) bool) map[K]Outcome {
	since := now.Sub(d.reported)
	if since < ReportInterval {
		return nil
	}
	left := 1.0
	if !d.reported.IsZero() {
		left = math.Exp(-float64(since) / float64(memory))
	}
	d.reported = now
	own := make(map[K]Outcome)
	for target, r := range d.records {
		if !keep(target) {
			delete(d.records, target)
			continue
		}
		r.fleet = r.fleet.scaled(left).plus(r.own)
		if r.own.Ended > 0 {
			own[target] = r.own
		}
		r.own = Outcome{}
	}
	return own
}

// Eject ejects the outliers among the targets of one service and returns them.
func (d *Detector[K]) Eject(now time.Time, targets []K) []Ejection[K] {
	var all Outcome
	ejected := 0
	for _, t := range targets {
		if r, ok := d.records[t]; ok {
			all = all.plus(r.fleet)
			if now.Before(r.until) {
				ejected++
			}
		}
	}
	var found []Ejection[K]
	for _, t := range targets {
		r, ok := d.records[t]
		if !ok || r.fleet.Ended == 0 || now.Before(r.until) {
			continue
		}
		others := all.minus(r.fleet)
		if others.Ended < othersSample || float64(ejected+1) > maxEjected*float64(len(targets)) {
			continue
		}
		failing := r.fleet.fails(others)
		if !failing && !r.fleet.drags(others) {
			continue
		}
		e := Ejection[K]{Target: t, Failing: failing, Outcome: r.fleet}
		r.eject(now)
		e.Duration = r.pause
		found = append(found, e)
		ejected++
	}
	return found
}

// State returns which flows a target may get.
func (d *Detector[K]) State(now time.Time, target K) State {
	r, ok := d.records[target]
	switch {
	case !ok || r.until.IsZero() || !now.Before(r.until.Add(trialTime)):
		return Healthy
	case now.Before(r.until):
		return Ejected
	}
	return OnProbation
}
