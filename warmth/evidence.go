package warmth

import (
	"math"
	"time"

	"github.com/cornelbay/cornelbay"
)

// Limits of what counts as evidence.
const (
	// minFailures is the number of failures below which they do not make a window bad.
	// They must also outnumber the good signals.
	minFailures = 3
	// minAnswers is the number of answers below which their mean latency is ignored.
	minAnswers = 5
	// slowFactor is how many times its own baseline latency a slow target takes to answer.
	slowFactor = 3.5
	// baselineWeight is the weight of one window in the baseline latency, a moving
	// average.
	baselineWeight = 0.05
	// probeMargin is how many times the median latency a probe may take without holding a
	// target below the top level.
	probeMargin = 1.25
	// slowWindows is the number of consecutive windows with slow probes from which on each
	// such window costs one level.
	slowWindows = 3
	// slowShare is the value of probeShare below which probes count as slow.
	slowShare = 0.4
	// probeWeight is the weight of one probe in the moving average of probe latency.
	probeWeight = 0.5
)

// evidence is what this host has observed of one target.
type evidence struct {
	good, failed, answers int
	logMs                 float64
	// baselineLogMs is the logarithm of the baseline answer latency, valid if
	// baselineKnown is true.
	baselineLogMs float64
	baselineKnown bool
	// bad is the number of consecutive bad windows.
	bad    int
	goodAt time.Time

	probesFailed int
	probeAt      time.Time
	// probeMs is the smoothed probe latency, 0 if unknown. probeShare is the ratio of the
	// service's median, with probeMargin, to it.
	probeMs, probeShare float64
	// slowProbes is the number of consecutive windows with slow probes.
	slowProbes int
}

func (e *evidence) add(now time.Time, s Signal) {
	switch s.Kind {
	case ProbeOK:
		e.probesFailed, e.probeAt = 0, now
		if s.Value > 0 && e.probeMs > 0 {
			e.probeMs += probeWeight * (s.Value - e.probeMs)
		} else if s.Value > 0 {
			e.probeMs = s.Value
		}
	case ProbeFailed:
		e.probesFailed++
	case OpeningRetransmitted, AnswerFailed, Shed:
		e.failed++
	case FlowProgressed:
		e.good++
	case AnswerOK:
		e.good++
		e.answers++
		e.logMs += math.Log(max(s.Value, 0.01))
	}
}

// closeWindow ends a window of evidence. The baseline latency is learned only while the
// target is warm.
func (e *evidence) closeWindow(now time.Time, warm bool, medianProbe float64) {
	slow := e.slow(warm)
	switch {
	case slow, e.failed >= minFailures && e.failed > e.good:
		e.bad++
	case e.good > 0:
		e.bad, e.goodAt = 0, now
	case e.failed == 0 && e.bad > 0:
		e.bad--
	}
	e.probeShare = 1
	if e.probeMs > 0 && medianProbe > 0 {
		e.probeShare = medianProbe * probeMargin / e.probeMs
	}
	if e.probeShare < slowShare {
		e.slowProbes++
	} else {
		e.slowProbes = 0
	}
	e.good, e.failed, e.answers, e.logMs = 0, 0, 0, 0
}

func (e *evidence) slow(warm bool) bool {
	if e.answers < minAnswers {
		return false
	}
	mean := e.logMs / float64(e.answers)
	if !e.baselineKnown {
		e.baselineLogMs, e.baselineKnown = mean, warm
		return false
	}
	if mean-e.baselineLogMs > math.Log(slowFactor) {
		return true
	}
	if warm {
		e.baselineLogMs += baselineWeight * (mean - e.baselineLogMs)
	}
	return false
}

func (e *evidence) recentlyGood(now time.Time) bool {
	return !e.goodAt.IsZero() && now.Sub(e.goodAt) < goodTrafficLifetime
}

// probesForbid reports whether the target's probes are too slow for a level.
func (e *evidence) probesForbid(level int) bool {
	return e.probeShare*cornelbay.FullPermille < float64(levels[level])
}
