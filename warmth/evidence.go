package warmth

import (
	"math"
	"time"

	"github.com/cornelbay/cornelbay"
)

// The limits of what counts as evidence.
const (
	// leastBad is the number of bad events without which a window is not bad.
	leastBad = 3
	// leastAnswers is the number of answers whose mean latency counts.
	leastAnswers = 5
	// slowFactor is how many times slower than usual a slow target answers.
	slowFactor = 3.5
	// usualRate is the weight of one window in the usual latency.
	usualRate = 0.05
	// probeMargin is how much slower than the median a probe may be for its
	// share of the median to count as reached.
	probeMargin = 1.25
	// slowWindows is the number of windows with slow probes that cost a step.
	slowWindows = 3
	// slowShare is the share of the median below which probes are slow.
	slowShare = 0.4
	// probeRate is the weight of one probe in the probes' latency.
	probeRate = 0.5
)

// evidence is what the own host has seen of one target.
type evidence struct {
	good, failed, answers int
	logMs                 float64
	// usualLogMs is the logarithm of the usual latency of answers; usual is
	// true once it is known.
	usualLogMs float64
	usual      bool
	// bad is the number of bad windows in a row.
	bad    int
	goodAt time.Time

	probesFailed int
	probeAt      time.Time
	// probeMs is the latency of probes, 0 when unknown; probeShare is the share
	// of the service's median that it shows.
	probeMs, probeShare float64
	// slowProbes is the number of windows in a row with slow probes.
	slowProbes int
}

func (e *evidence) add(now time.Time, s Signal) {
	switch s.Kind {
	case ProbeOK:
		e.probesFailed, e.probeAt = 0, now
		if s.Value > 0 && e.probeMs > 0 {
			e.probeMs += probeRate * (s.Value - e.probeMs)
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

// close ends a window. The usual latency is learned while the target is warm.
func (e *evidence) close(now time.Time, warm bool, usualProbe float64) {
	slow := e.slow(warm)
	switch {
	case slow, e.failed >= leastBad && e.failed > e.good:
		e.bad++
	case e.good > 0:
		e.bad, e.goodAt = 0, now
	case e.failed == 0 && e.bad > 0:
		e.bad--
	}
	e.probeShare = 1
	if e.probeMs > 0 && usualProbe > 0 {
		e.probeShare = usualProbe * probeMargin / e.probeMs
	}
	if e.probeShare < slowShare {
		e.slowProbes++
	} else {
		e.slowProbes = 0
	}
	e.good, e.failed, e.answers, e.logMs = 0, 0, 0, 0
}

func (e *evidence) slow(warm bool) bool {
	if e.answers < leastAnswers {
		return false
	}
	mean := e.logMs / float64(e.answers)
	if !e.usual {
		e.usualLogMs, e.usual = mean, warm
		return false
	}
	if mean-e.usualLogMs > math.Log(slowFactor) {
		return true
	}
	if warm {
		e.usualLogMs += usualRate * (mean - e.usualLogMs)
	}
	return false
}

func (e *evidence) goodLately(now time.Time) bool {
	return !e.goodAt.IsZero() && now.Sub(e.goodAt) < goodFor
}

// caps reports whether the latency of probes speaks against a step.
func (e *evidence) caps(level int) bool {
	return e.probeShare*cornelbay.FullPermille < float64(levels[level])
}
