// Package outlier detects the targets of a service whose flows fail more often, or last
// longer, than those of the other targets, from the flows that all hosts have seen end. It
// finds targets that accept flows but cannot serve them, which a liveness check does not
// detect. It performs no I/O and reads no clock.
package outlier

import (
	"iter"
	"maps"
	"math"
	"time"
)

const (
	// ReportInterval is the minimum time between two reports, which are larger and less
	// urgent than the reports of loads in package placement.
	ReportInterval = 500 * time.Millisecond
	// decayTime is the time constant of the exponential decay of outcomes. At ordinary
	// load a target's decayed outcomes amount to some dozen flows.
	decayTime = 2 * time.Second
	// A target is an outlier if its failures exceed the number expected at the failure
	// rate of the others by failureDeviations standard deviations plus failureSlack.
	failureDeviations = 3
	failureSlack      = 2
	// shortFailedShare is the fraction of its flows that a target of a service that is short
	// of slots has to fail to be ejected.
	shortFailedShare = 0.25
	// A target is also an outlier if its flows, of which there are at least minSlowSample,
	// last more than slowFactor times as long as those of the others, and more than
	// slowExcess longer.
	slowFactor    = 2.5
	minSlowSample = 5
	slowExcess    = 20 * time.Millisecond
	// minEnded is the decayed number of flows below which the outcomes of a target are
	// forgotten, after some 10 s without any.
	minEnded = 0.01
	// minOthersSample is the number of flows of the other targets below which a target is
	// not evaluated.
	minOthersSample = 10
	// An outlier is ejected for minEjectionTime, then each time for twice as long as
	// before, up to maxEjectionTime.
	minEjectionTime = time.Second
	maxEjectionTime = 8 * time.Second
	// probationTime is how long after an ejection a few flows test whether the target has
	// recovered.
	probationTime = time.Second
	// maxEjectedShare is the maximum share of a service's targets that may be ejected at a
	// time. Further outliers keep their flows, since the targets are then not the cause. A
	// service of fewer than three targets has no ejections.
	maxEjectedShare = 1.0 / 3
)

// Outcome summarizes the flows that ended at a target.
type Outcome struct {
	// Ended counts the flows, and Failed those of them whose answer was cut short or never
	// came. The counts are fractional once they have decayed.
	Ended, Failed float64
	// TotalDuration is the sum of the flows' durations, each from the caller's first
	// packet after the opening to its last one.
	TotalDuration time.Duration
}

// Mean returns the mean duration of the flows.
func (o Outcome) Mean() time.Duration {
	if o.Ended == 0 {
		return 0
	}
	return time.Duration(float64(o.TotalDuration) / o.Ended)
}

// Plus returns the sum of two outcomes.
func (o Outcome) Plus(other Outcome) Outcome {
	return Outcome{o.Ended + other.Ended, o.Failed + other.Failed, o.TotalDuration + other.TotalDuration}
}

func (o Outcome) minus(other Outcome) Outcome {
	return Outcome{o.Ended - other.Ended, o.Failed - other.Failed, o.TotalDuration - other.TotalDuration}
}

func (o Outcome) scaled(x float64) Outcome {
	return Outcome{x * o.Ended, x * o.Failed, time.Duration(x * float64(o.TotalDuration))}
}

// isFailing reports whether significantly more flows failed than would at the failure rate
// of the others.
func (o Outcome) isFailing(others Outcome) bool {
	expected := o.Ended * others.Failed / others.Ended
	return o.Failed > expected+failureDeviations*math.Sqrt(expected)+failureSlack
}

// isSlow reports whether the flows last much longer than those of the others.
func (o Outcome) isSlow(others Outcome) bool {
	usual := others.Mean()
	return o.Ended >= minSlowSample && o.Mean() > max(time.Duration(slowFactor*float64(usual)), usual+slowExcess)
}

// State determines which flows a target may get.
type State int

// The states of a target.
const (
	Healthy State = iota
	// Ejected targets get no flows while there are other targets.
	Ejected
	// OnProbation targets, whose ejection has just ended, get a few flows.
	OnProbation
)

// Ejection is the decision to eject a target as an outlier.
type Ejection[K comparable] struct {
	Target K
	// Failing is true if its flows fail, and false if they are slow.
	Failing bool
	// Outcome is the evidence, and Duration the time for which the target gets no flows.
	Outcome  Outcome
	Duration time.Duration
}

// targetRecord is a Detector's state of one target.
type targetRecord struct {
	// local are the outcomes of this host since its last report, and allHosts those of
	// all hosts with exponential decay. Report adds local to allHosts.
	local, allHosts Outcome
	// ejectedUntil is when the last ejection ends or ended, and ejectionTime its length.
	ejectedUntil time.Time
	ejectionTime time.Duration
	// slow is true if the last ejection was for slowness.
	slow bool
}

// eject starts an ejection, which is twice as long as the previous one, up to
// maxEjectionTime, if that ended no more than probationTime plus its own length ago. From
// then on only new outcomes count.
func (r *targetRecord) eject(now time.Time) {
	if now.Sub(r.ejectedUntil) > probationTime+r.ejectionTime {
		r.ejectionTime = 0
	}
	r.ejectionTime = min(max(2*r.ejectionTime, minEjectionTime), maxEjectionTime)
	r.ejectedUntil = now.Add(r.ejectionTime)
	r.allHosts = Outcome{}
}

// forgotten reports whether a record is no longer of any effect.
func (r *targetRecord) forgotten(now time.Time) bool {
	return r.allHosts.Ended < minEnded && now.Sub(r.ejectedUntil) > probationTime+r.ejectionTime
}

// Detector detects outliers among targets identified by K. Its zero value knows no
// targets. It is not safe for concurrent use.
type Detector[K comparable] struct {
	records    map[K]*targetRecord
	lastReport time.Time
}

func (d *Detector[K]) record(target K) *targetRecord {
	if d.records == nil {
		d.records = make(map[K]*targetRecord)
	}
	r, ok := d.records[target]
	if !ok {
		r = &targetRecord{}
		d.records[target] = r
	}
	return r
}

// AddLocal adds flows that this host has seen end.
func (d *Detector[K]) AddLocal(target K, o Outcome) {
	r := d.record(target)
	r.local = r.local.Plus(o)
}

// AddRemote adds flows that another host has reported.
func (d *Detector[K]) AddRemote(target K, o Outcome) {
	r := d.record(target)
	r.allHosts = r.allHosts.Plus(o)
}

// Report returns the outcomes that this host has added since its last report, or nil if no
// report is due yet; the map is empty if a report is due but there are no outcomes. A due
// report also decays the outcomes of all hosts and adds those of this host to them: Eject
// sees local outcomes only after that. Targets for which keep returns false are then
// forgotten.
func (d *Detector[K]) Report(now time.Time, keep func(K) bool) map[K]Outcome {
	since := now.Sub(d.lastReport)
	if since < ReportInterval {
		return nil
	}
	left := 1.0
	if !d.lastReport.IsZero() {
		left = math.Exp(-float64(since) / float64(decayTime))
	}
	d.lastReport = now
	outcomes := make(map[K]Outcome)
	for target, r := range d.records {
		if !keep(target) {
			delete(d.records, target)
			continue
		}
		r.allHosts = r.allHosts.scaled(left).Plus(r.local)
		if r.local.Ended > 0 {
			outcomes[target] = r.local
		}
		r.local = Outcome{}
		if r.forgotten(now) {
			delete(d.records, target)
		}
	}
	return outcomes
}

// Recorded returns the targets that have outcomes, or that have been ejected lately.
func (d *Detector[K]) Recorded() iter.Seq[K] { return maps.Keys(d.records) }

// Eject ejects the outliers among the targets of one service and returns the ejections.
func (d *Detector[K]) Eject(now time.Time, targets []K) []Ejection[K] {
	return d.EjectSome(now, targets, len(targets), false)
}

// EjectSome is Eject for targets that include all recorded ones of a service of n targets. If
// the service is short of slots, only those are ejected that fail a large part of their
// flows: it needs the slots of slow targets too, and full targets reject some requests.
func (d *Detector[K]) EjectSome(now time.Time, targets []K, n int, short bool) []Ejection[K] {
	var all Outcome
	ejected := 0
	for _, t := range targets {
		if r, ok := d.records[t]; ok {
			all = all.Plus(r.allHosts)
			if now.Before(r.ejectedUntil) {
				ejected++
			}
		}
	}
	var found []Ejection[K]
	for _, t := range targets {
		r, ok := d.records[t]
		if !ok || r.allHosts.Ended == 0 || now.Before(r.ejectedUntil) {
			continue
		}
		others := all.minus(r.allHosts)
		if others.Ended < minOthersSample || float64(ejected+1) > maxEjectedShare*float64(n) {
			continue
		}
		failing := r.allHosts.isFailing(others)
		slow := r.allHosts.isSlow(others)
		if short {
			failing, slow = failing && r.allHosts.Failed > shortFailedShare*r.allHosts.Ended, false
		}
		if !failing && !slow {
			continue
		}
		e := Ejection[K]{Target: t, Failing: failing, Outcome: r.allHosts}
		r.eject(now)
		r.slow = !failing
		e.Duration = r.ejectionTime
		found = append(found, e)
		ejected++
	}
	return found
}

// Outcome returns the decayed outcomes of all hosts' flows at a target.
func (d *Detector[K]) Outcome(target K) Outcome {
	if r, ok := d.records[target]; ok {
		return r.allHosts
	}
	return Outcome{}
}

// IsSlow reports whether a target was last ejected for slowness rather than failures.
func (d *Detector[K]) IsSlow(target K) bool {
	r, ok := d.records[target]
	return ok && r.slow
}

// State returns the state of a target.
func (d *Detector[K]) State(now time.Time, target K) State {
	r, ok := d.records[target]
	switch {
	case !ok || r.ejectedUntil.IsZero() || !now.Before(r.ejectedUntil.Add(probationTime)):
		return Healthy
	case now.Before(r.ejectedUntil):
		return Ejected
	}
	return OnProbation
}
