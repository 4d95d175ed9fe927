package placement

import (
	"math"
	"time"

	"github.com/cornelbay/cornelbay/registry"
)

const (
	// outcomeInterval is the least time between two reports of outcomes: they are
	// larger than those of loads, and less urgent.
	outcomeInterval = 500 * time.Millisecond
	// outcomeMemory is the time over which outcomes are averaged: some dozen flows of
	// a target at an ordinary load.
	outcomeMemory = 2 * time.Second
	// earlyShare is the part of the usual answer of a route below which a flow counts
	// as failed: an error is short, and answers of one route differ by less than this.
	earlyShare = 0.25
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
	// An outlier gets no flows for firstEjection, then for twice the time before, up
	// to lastEjection.
	firstEjection = time.Second
	lastEjection  = 8 * time.Second
	// trialTime is how long after an ejection only one host gives the target flows:
	// the few that show whether it is well again.
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
	// Took is the sum of the times from the caller's first packet after the opening
	// to its last one.
	Took time.Duration
}

func (o *Outcome) add(other Outcome) {
	o.Ended += other.Ended
	o.Failed += other.Failed
	o.Took += other.Took
}

func (o *Outcome) scale(x float64) {
	o.Ended *= x
	o.Failed *= x
	o.Took = time.Duration(x * float64(o.Took))
}

// mean returns the mean duration of the flows.
func (o *Outcome) mean() time.Duration {
	if o.Ended == 0 {
		return 0
	}
	return time.Duration(float64(o.Took) / o.Ended)
}

// failing reports whether more flows failed than can be put down to chance where
// they fail as often as those of others.
func (o *Outcome) failing(others Outcome) bool {
	expected := o.Ended * others.Failed / others.Ended
	return o.Failed > expected+failureDeviations*math.Sqrt(expected)+failureSlack
}

// slow reports whether the flows last much longer than those of others.
func (o *Outcome) slow(others Outcome) bool {
	usual := others.mean()
	return o.Ended >= slowSample && o.mean() > max(time.Duration(slowFactor*float64(usual)), usual+slowExcess)
}

// ejection keeps a target from getting flows for a time.
type ejection struct {
	until time.Time
	pause time.Duration
}

// begin starts an ejection, a longer one when the last has ended not long ago.
func (e *ejection) begin(now time.Time) {
	if now.Sub(e.until) > trialTime+e.pause {
		e.pause = 0
	}
	e.pause = min(max(2*e.pause, firstEjection), lastEjection)
	e.until = now.Add(e.pause)
}

// note adds the outcome of one flow to those to be reported.
func (p *Placer) note(now time.Time, f *Flow, failed bool) {
	if f.noted || f.adopted || !f.answered {
		return
	}
	f.noted = true
	o := Outcome{Ended: 1, Took: f.seen.Sub(f.begun)}
	if failed {
		o.Failed = 1
	}
	p.target(f.member.Cookie, now).ended.add(o)
}

// early reports whether the answer that the caller of a flow has acknowledged is
// much shorter than is usual on its route.
func (p *Placer) early(f *Flow) bool {
	if p.answers == nil {
		p.answers = make(map[answerKey]float64)
	}
	key := answerKey{f.key.Destination, f.service}
	size := float64(f.acknowledged - f.base)
	mean, ok := p.answers[key]
	if !ok {
		p.answers[key] = size
		return false
	}
	p.answers[key] = mean + durationShare*(size-mean)
	return size < earlyShare*mean
}

// outcomes returns the own outcomes since the last report where one is due, and
// adds them to those of the fleet.
func (p *Placer) outcomes(now time.Time) map[uint32]Outcome {
	if now.Sub(p.judged) < outcomeInterval {
		return nil
	}
	left := 1.0
	if !p.judged.IsZero() {
		left = math.Exp(-float64(now.Sub(p.judged)) / float64(outcomeMemory))
	}
	p.judged = now
	own := make(map[uint32]Outcome)
	for cookie, t := range p.targets {
		t.total.scale(left)
		if t.ended.Ended > 0 {
			own[cookie] = t.ended
			t.total.add(t.ended)
			t.ended = Outcome{}
		}
	}
	p.judge(now)
	return own
}

// judge ejects the outliers among the targets of each service.
func (p *Placer) judge(now time.Time) {
	if p.view == nil {
		return
	}
	for _, members := range p.view.Services {
		var all Outcome
		usable, ejected := 0, 0
		for _, m := range members {
			if !m.Usable(now) {
				continue
			}
			usable++
			if t, ok := p.targets[m.Cookie]; ok {
				all.add(t.total)
				if now.Before(t.ejection.until) {
					ejected++
				}
			}
		}
		for _, m := range members {
			t, ok := p.targets[m.Cookie]
			if !ok || !m.Usable(now) || t.total.Ended == 0 || now.Before(t.ejection.until) {
				continue
			}
			others := Outcome{all.Ended - t.total.Ended, all.Failed - t.total.Failed, all.Took - t.total.Took}
			failing, slow := t.total.failing(others), t.total.slow(others)
			if others.Ended < othersSample || !failing && !slow || float64(ejected+1) > maxEjected*float64(usable) {
				continue
			}
			ejected++
			t.ejection.begin(now)
			state := Slow
			if failing {
				state = Failing
			}
			p.believe(Belief{Member: m, State: state, Outcome: t.total, Pause: t.ejection.pause})
			t.total = Outcome{}
		}
	}
}

// ejected reports whether this host gives a target no flows.
func (p *Placer) ejected(now time.Time, m *registry.Member) bool {
	t, ok := p.targets[m.Cookie]
	if !ok || t.ejection.until.IsZero() {
		return false
	}
	after := now.Sub(t.ejection.until)
	return after < 0 || after < trialTime && p.steward(m) != p.Self
}
