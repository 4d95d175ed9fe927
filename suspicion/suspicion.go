// Package suspicion decides which targets, and which data centres, are believed not to answer,
// from the openings that were and were not answered. It reads no clock.
package suspicion

import (
	"time"

	"github.com/cornelbay/cornelbay"
)

const (
	// A suspected target is probed with an opening after MinProbeInterval, then at
	// intervals that double up to MaxProbeInterval.
	MinProbeInterval = 250 * time.Millisecond
	MaxProbeInterval = 2 * time.Second
	// DataCentreThreshold is the number of consecutive unanswered openings in a data
	// centre from which the whole data centre is suspected.
	DataCentreThreshold = 2
	// minDowntime is less than the time that a target takes to start anew: between two answers
	// that are not further apart it has not. One that arrives within that time after an opening
	// was sent is no answer of a target that has crashed at that opening and is back.
	minDowntime = 150 * time.Millisecond
	// doubtTime is for how long a target may be down after another host got no answer from it.
	// Later, the store has removed the entry of one that crashed.
	doubtTime = 10 * time.Second
)

// evidence is that against a target or a data centre.
type evidence struct {
	// unanswered are the openings that have not been answered since the last one that was, and
	// firm those of them whose callers waited for an answer; see Unanswered.
	unanswered, firm int
	// unansweredAt is when the last of them was sent, and firmAt when the last firm one was.
	unansweredAt, firmAt time.Time
	lastAnswer           time.Time
	// recoveredAt is when the last time ended in which there was firm evidence, here or at
	// another host.
	recoveredAt time.Time
	// gapFrom is when the answer before the last pause arrived that was long enough for a
	// restart, and gapTo when the next one did.
	gapFrom, gapTo time.Time
	// doubtedAt is when another host last sent an opening that was not answered, and
	// toldAt when this host was told.
	doubtedAt, toldAt time.Time
	probeAt           time.Time
	probeInterval     time.Duration
}

func (e *evidence) recordUnanswered(now time.Time, u Unanswered) {
	if u.Opened.Before(e.lastAnswer) || u.Opened.Before(e.recoveredAt) {
		return // a later opening was answered
	}
	e.unanswered++
	e.unansweredAt = u.Opened
	if u.Firm {
		e.firm++
		e.firmAt = u.Opened
	}
	e.probeInterval = min(max(2*e.probeInterval, MinProbeInterval), MaxProbeInterval)
	e.probeAt = now.Add(e.probeInterval)
}

func (e *evidence) recordAnswer(now time.Time) {
	if now.Sub(e.lastAnswer) >= minDowntime {
		e.gapFrom, e.gapTo = e.lastAnswer, now
	}
	e.unanswered, e.firm, e.probeInterval, e.lastAnswer = 0, 0, 0, now
}

func (e *evidence) recordProbe(now time.Time) {
	e.probeAt = now.Add(max(e.probeInterval, MinProbeInterval))
}

// Detector keeps the evidence against targets, which are identified by K, and their data
// centres. Its zero value suspects none. It is not safe for concurrent use.
type Detector[K comparable] struct {
	targets     map[K]*evidence
	dataCentres map[cornelbay.DataCentreName]*evidence
}

func get[K comparable](all *map[K]*evidence, k K) *evidence {
	if *all == nil {
		*all = make(map[K]*evidence)
	}
	e, ok := (*all)[k]
	if !ok {
		e = &evidence{}
		(*all)[k] = e
	}
	return e
}

// Suspected reports whether a target, or its whole data centre, does not answer.
func (d *Detector[K]) Suspected(target K, dc cornelbay.DataCentreName) bool {
	return d.dataCentreSuspected(dc) || d.Unanswered(target)
}

// Unanswered reports whether the last opening at a target was not answered.
func (d *Detector[K]) Unanswered(target K) bool {
	e, ok := d.targets[target]
	return ok && e.unanswered > 0
}

func (d *Detector[K]) dataCentreSuspected(dc cornelbay.DataCentreName) bool {
	e, ok := d.dataCentres[dc]
	return ok && e.unanswered >= DataCentreThreshold
}

// ProbeDue reports whether an opening may be sent to a suspected target to find out
// whether it answers again.
func (d *Detector[K]) ProbeDue(now time.Time, target K, dc cornelbay.DataCentreName) bool {
	if d.dataCentreSuspected(dc) && now.Before(d.dataCentres[dc].probeAt) {
		return false
	}
	e, ok := d.targets[target]
	return !ok || e.unanswered == 0 || !now.Before(e.probeAt)
}

// RecordProbe records that an opening is sent to a suspected target; the next probe is due
// after the probe interval.
func (d *Detector[K]) RecordProbe(now time.Time, target K, dc cornelbay.DataCentreName) {
	get(&d.dataCentres, dc).recordProbe(now)
	get(&d.targets, target).recordProbe(now)
}

// Unanswered is an opening that was not answered.
type Unanswered struct {
	// Opened is when it was sent to the target.
	Opened time.Time
	// Firm is true if its caller was waiting for an answer. The caller of an opening that was
	// tried at another target before may have been reset by that one, and then ignores answers.
	Firm bool
}

// RecordUnanswered records an opening that was not answered, and reports whether the target is
// suspected from now on.
func (d *Detector[K]) RecordUnanswered(now time.Time, target K, dc cornelbay.DataCentreName, u Unanswered) (began bool) {
	was := d.Unanswered(target)
	e := get(&d.targets, target)
	ofDataCentre := u
	ofDataCentre.Firm = u.Firm && e.firm == 0 // one target is no firm evidence against the others
	e.recordUnanswered(now, u)
	get(&d.dataCentres, dc).recordUnanswered(now, ofDataCentre)
	return !was && d.Unanswered(target)
}

// Recovery is what an answer of a target shows.
type Recovery struct {
	// Suspected is true if the target was suspected.
	Suspected bool
	// Doubted is true if the target may have started anew although no firm evidence shows it
	// at this host; see RecordDoubt.
	Doubted bool
	// SilentSince is when the opening was sent, by this host or another, that was not answered
	// before the target may have started anew. It is zero if it has not.
	SilentSince time.Time
}

// RecordAnswer records that a target answers.
func (d *Detector[K]) RecordAnswer(now time.Time, target K) Recovery {
	r := Recovery{Suspected: d.Unanswered(target)}
	e := get(&d.targets, target)
	firm := e.firm > 0
	e.recordAnswer(now)
	// Another host may have found out before that it is back.
	r.Doubted = !firm && e.gapTo.Equal(now) && e.mayHaveRestarted() && e.recoveredAt.Before(e.doubtedAt)
	switch {
	case firm:
		r.SilentSince = e.firmAt
	case r.Doubted:
		r.SilentSince = e.doubtedAt
	default:
		return r
	}
	e.recoveredAt = now
	return r
}

// mayHaveRestarted reports whether the target may have started anew in the last pause between two
// of its answers: another host got none.
func (e *evidence) mayHaveRestarted() bool {
	return !e.doubtedAt.IsZero() && !e.gapFrom.After(e.doubtedAt.Add(minDowntime)) && e.gapTo.After(e.doubtedAt) && e.gapTo.Sub(e.doubtedAt) < doubtTime
}

// RecordDoubt records that another host sent an opening at the given time that was not answered.
// The target is not suspected for it: its path to that host may be cut. But if it was silent here
// at that time as well, it may have started anew when it answers again.
func (d *Detector[K]) RecordDoubt(now time.Time, target K, opened time.Time) {
	e := get(&d.targets, target)
	e.doubtedAt, e.toldAt = opened, now
	if e.mayHaveRestarted() && e.recoveredAt.Before(e.gapTo) {
		e.recoveredAt = e.gapTo
	}
}

// RecordRecovery records that a target answered another host at the time until, but not an opening
// of the time since, and reports whether it may have started anew. It has not if it answered this
// host meanwhile, or if it did so too short a time ago. The target is not suspected any longer
// for openings of before that, so that not every host has to send it one to find out.
func (d *Detector[K]) RecordRecovery(target K, since, until time.Time) bool {
	e := get(&d.targets, target)
	if e.lastAnswer.After(since.Add(minDowntime)) || until.Sub(e.lastAnswer) < minDowntime || e.recoveredAt.After(since) {
		return false
	}
	e.recoveredAt = until
	if e.unansweredAt.Before(until) {
		e.unanswered, e.firm = 0, 0
	}
	return true
}

// ToldLately reports whether another host has just told this one of an unanswered opening.
func (d *Detector[K]) ToldLately(now time.Time, target K) bool {
	e, ok := d.targets[target]
	return ok && !e.toldAt.IsZero() && now.Sub(e.toldAt) < MinProbeInterval
}

// RecordAnswerFrom records that a target of a data centre answers, and reports whether the whole
// data centre was suspected.
func (d *Detector[K]) RecordAnswerFrom(now time.Time, dc cornelbay.DataCentreName) (was bool) {
	was = d.dataCentreSuspected(dc)
	e := get(&d.dataCentres, dc)
	firm := e.firm >= DataCentreThreshold
	e.recordAnswer(now)
	if firm {
		e.recoveredAt = now
	}
	return was
}

// RecoveredAt returns when a target, or its whole data centre, was last found to answer again after
// it had been suspected on firm evidence. It is zero if neither was.
func (d *Detector[K]) RecoveredAt(target K, dc cornelbay.DataCentreName) time.Time {
	var at time.Time
	if e, ok := d.dataCentres[dc]; ok {
		at = e.recoveredAt
	}
	if e, ok := d.targets[target]; ok && e.recoveredAt.After(at) {
		at = e.recoveredAt
	}
	return at
}

// Forget drops the evidence against a target.
func (d *Detector[K]) Forget(target K) { delete(d.targets, target) }
