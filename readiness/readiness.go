// Package readiness decides whether a host should receive the packets of callers. It performs
// no I/O and reads no clock.
//
// It answers the load of callers whose data centre can't serve them: its targets are gone and it
// is cut off from the others, or most of its hosts are dead. Routers send callers to the hosts
// of their data centre, to dead ones too while fewer than half of them are ready, and to the
// hosts of other data centres only when none is. So the hosts of a data centre have to withdraw
// together, and only if another one serves their callers better:
//
//   - Hosts that can't reach targets withdraw if the other data centres are silent since then,
//     so that it is this one that is cut off, or if another one says that it can serve. Most of
//     the hosts that had openings to tell by have to agree.
//   - The hosts that are left of a data centre withdraw if most of its hosts have fallen silent
//     and another data centre can serve.
//
// A withdrawn host still forwards what it receives.
package readiness

import (
	"time"

	"github.com/cornelbay/cornelbay/suspicion"
)

// Reason says why a host is ready or not.
type Reason string

// The reasons. Only Serving hosts are ready.
const (
	Starting  Reason = "starting"
	Serving   Reason = "serving"
	NoTargets Reason = "noTargets"
	Minority  Reason = "minority"
	Stopping  Reason = "stopping"
)

const (
	// confirmTime is how long the evidence has to last before a host withdraws.
	confirmTime = 100 * time.Millisecond
	// silentTime is how long the other data centres have to be silent before a host takes its own
	// for cut off. Without a cut a heartbeat of one of them arrives in it, also along the tree.
	silentTime = 350 * time.Millisecond
	// noticeTime is the time by which another data centre has noticed a fault that strikes all of
	// them at once: what it says before does not show that it can serve.
	noticeTime = 300 * time.Millisecond
	// hysteresis is the least time between two changes. Routers take that long to follow one:
	// two checks, half a second apart.
	hysteresis = time.Second
	// recoveryTime is the time in which a host finds targets again that others have found: it
	// probes a silent one at least that often.
	recoveryTime = suspicion.MaxProbeInterval
	// wellFor is how long another data centre counts as able to serve after it has said so.
	wellFor = time.Second
	// retryTime is how long a host that can't reach targets stays withdrawn. Then it returns,
	// since only openings tell. A host that is cut off returns when it hears another data centre,
	// or after cutOffTime, as the hosts of the others may be dead.
	retryTime  = 5 * time.Second
	cutOffTime = 15 * time.Second
	// peakTime is how long hosts that have fallen silent count as hosts of the data centre.
	// Later they count as removed.
	peakTime = 15 * time.Second
)

// Evidence is what a host knows when it decides.
type Evidence struct {
	// Own is the census of this host alone.
	Own Census
	// DataCentre is the census of the data centre, with this host. Alive is 0 if it is not known.
	DataCentre Census
	Others     Others
}

// Decider keeps the state of the decision of one host. Its zero value is serving. It is not safe
// for concurrent use.
type Decider struct {
	reason    Reason
	changedAt time.Time
	// ownSince is since when this host can't reach targets, unableSince since when most of the
	// hosts can't, and minoritySince since when most hosts are silent.
	ownSince, unableSince, minoritySince time.Time
	// wellSince is since when another data centre has been able to serve.
	wellSince time.Time
	// cutOff is true for a host that withdrew while no other data centre was heard.
	cutOff bool
	// peak is the largest number of hosts that were alive within peakTime before peakAt.
	peak   int
	peakAt time.Time
}

// Reason returns the last decision.
func (d *Decider) Reason() Reason {
	if d.reason == "" {
		return Serving
	}
	return d.reason
}

// Well reports whether other data centres may rely on this one: it can serve what its own
// callers ask, as far as is known.
func (d *Decider) Well() bool {
	return d.Reason() == Serving && d.ownSince.IsZero() && d.unableSince.IsZero() && d.minoritySince.IsZero()
}

// Decide takes the evidence at a time and reports whether the decision has changed.
func (d *Decider) Decide(now time.Time, e Evidence) (changed bool) {
	d.observe(now, e)
	if !d.changedAt.IsZero() && now.Sub(d.changedAt) < hysteresis {
		return false
	}
	next := d.next(now, e)
	if next == d.Reason() {
		return false
	}
	d.cutOff = next == NoTargets && now.Sub(e.Others.HeardAt) >= silentTime
	d.reason, d.changedAt = next, now
	d.ownSince, d.unableSince, d.minoritySince = time.Time{}, time.Time{}, time.Time{}
	return true
}

// observe updates since when there is evidence against this host and its data centre.
func (d *Decider) observe(now time.Time, e Evidence) {
	known := e.DataCentre.Alive > 0
	if !known {
		e.DataCentre = e.Own
	} else if e.DataCentre.Alive >= d.peak || now.Sub(d.peakAt) > peakTime {
		d.peak, d.peakAt = e.DataCentre.Alive, now
	}
	since(&d.minoritySince, now, known && 2*e.DataCentre.Alive < d.peak)
	since(&d.wellSince, now, !e.Others.WellAt.IsZero() && now.Sub(e.Others.WellAt) <= wellFor)
	since(&d.ownSince, now, e.Own.mostUnable())
	since(&d.unableSince, now, e.DataCentre.mostUnable())
}

// since keeps the time from which on a condition holds.
func since(at *time.Time, now time.Time, holds bool) {
	switch {
	case !holds:
		*at = time.Time{}
	case at.IsZero():
		*at = now
	}
}

func (d *Decider) next(now time.Time, e Evidence) Reason {
	switch d.Reason() {
	case NoTargets:
		if d.mayReachTargets(now, e) {
			return Serving
		}
		return NoTargets
	case Minority:
		if !d.minoritySince.IsZero() && !d.wellSince.IsZero() {
			return Minority
		}
		return Serving
	}
	switch {
	case d.withdraws(now, e):
		return NoTargets
	case lasts(now, d.minoritySince, confirmTime) && e.Others.WellAt.After(d.minoritySince.Add(noticeTime)):
		return Minority
	}
	return Serving
}

// mayReachTargets reports whether a host that has withdrawn for lack of targets may reach some
// again. It gets no openings that would tell.
func (d *Decider) mayReachTargets(now time.Time, e Evidence) bool {
	if d.cutOff {
		return e.Others.HeardAt.After(d.changedAt) || now.Sub(d.changedAt) >= cutOffTime
	}
	return now.Sub(d.changedAt) >= retryTime
}

// withdraws reports whether this host withdraws since most hosts can't reach targets.
func (d *Decider) withdraws(now time.Time, e Evidence) bool {
	if d.unableSince.IsZero() {
		return false
	}
	since := d.unableSince
	if !d.ownSince.IsZero() && d.ownSince.Before(since) {
		since = d.ownSince // it noticed before its neighbours said so
	}
	if e.Others.HeardAt.IsZero() {
		return false // there may be no other data centre
	}
	if e.Others.HeardAt.Before(since) && now.Sub(e.Others.HeardAt) >= silentTime {
		return lasts(now, since, confirmTime)
	}
	return e.Others.WellAt.After(d.unableSince.Add(noticeTime)) && lasts(now, d.wellSince, recoveryTime)
}

func lasts(now, since time.Time, d time.Duration) bool { return !since.IsZero() && now.Sub(since) >= d }
