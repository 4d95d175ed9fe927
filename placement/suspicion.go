package placement

import (
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/outlier"
	"github.com/cornelbay/cornelbay/registry"
)

const (
	// A suspected target is probed with an opening after minProbeInterval, then at
	// intervals that double up to maxProbeInterval.
	minProbeInterval = 250 * time.Millisecond
	maxProbeInterval = 2 * time.Second
	// dataCentreThreshold is the number of consecutive unanswered openings in a data
	// centre from which the whole data centre is suspected.
	dataCentreThreshold = 2
)

// suspicion is the evidence against a target or a data centre: the openings that have not
// been answered since the last one that was.
type suspicion struct {
	unanswered    int
	lastAnswer    time.Time
	probeAt       time.Time
	probeInterval time.Duration
}

// StateChange is a change in the state of a target, or of this host.
type StateChange struct {
	// Target is the target that changed; nil for Stalled.
	Target *registry.Endpoint
	State  State
	// Outcome is the evidence for an ejection. Duration is how long the ejected target
	// gets no flows, or how long this host was stalled.
	Outcome  outlier.Outcome
	Duration time.Duration
	// TimeFactor is the time of a request at the target relative to the usual time, for
	// RampBegun, RampEnded and SpeedChanged.
	TimeFactor float64
}

// State is the state that a target, or this host, is believed to be in.
type State string

// The states of targets, and of this host (Stalled).
const (
	// Silent targets do not answer openings.
	Silent State = "silent"
	// Recovered targets were silent and answer again.
	Recovered State = "answers again"
	// Failing targets have flows that fail more often than those of others.
	Failing State = "failing"
	// Slow targets have flows that last longer than those of others.
	Slow State = "slow"
	// RampBegun targets are fresh or have recovered, and get more flows with each answer.
	RampBegun State = "slow start begun"
	// RampEnded targets get as many flows as others again.
	RampEnded State = "slow start ended"
	// SpeedChanged targets have become slower or faster by half, relative to the others.
	SpeedChanged State = "speed changed"
	// Stalled is the state of this host after it has not run for Duration. Openings made
	// before then are no evidence against targets unless they are retransmitted, and flows
	// that fall silent within 2*idleTimeout after it do not count as failed.
	Stalled State = "stood still"
)

// maxStateChanges limits the state changes that wait to be read.
const maxStateChanges = 256

// StateChanges returns the state changes since the last call.
func (p *Placer) StateChanges() []StateChange {
	changes := p.stateChanges
	p.stateChanges = nil
	return changes
}

func (p *Placer) queueStateChange(c StateChange) {
	if len(p.stateChanges) < maxStateChanges {
		p.stateChanges = append(p.stateChanges, c)
	}
}

// recordUnanswered records an opening that was not answered.
func (s *suspicion) recordUnanswered(now, opened time.Time) {
	if opened.Before(s.lastAnswer) {
		return // a later opening was answered
	}
	s.unanswered++
	s.probeInterval = min(max(2*s.probeInterval, minProbeInterval), maxProbeInterval)
	s.probeAt = now.Add(s.probeInterval)
}

func (s *suspicion) recordAnswer(now time.Time) {
	s.unanswered, s.probeInterval, s.lastAnswer = 0, 0, now
}

// suspected reports whether a target, or its whole data centre, does not answer.
func (p *Placer) suspected(m *registry.Endpoint) bool {
	if dc, ok := p.dataCentres[m.DataCentre]; ok && dc.unanswered >= dataCentreThreshold {
		return true
	}
	t, ok := p.targets[m.Cookie]
	return ok && t.unanswered > 0
}

// probeDue reports whether an opening may be sent to a suspected target to find out
// whether it answers again.
func (p *Placer) probeDue(now time.Time, m *registry.Endpoint) bool {
	if dc, ok := p.dataCentres[m.DataCentre]; ok && dc.unanswered >= dataCentreThreshold && now.Before(dc.probeAt) {
		return false
	}
	t, ok := p.targets[m.Cookie]
	return !ok || t.unanswered == 0 || !now.Before(t.probeAt)
}

// startProbe records that an opening is sent to a suspected target; the next probe is due
// after the probe interval.
func (p *Placer) startProbe(now time.Time, m *registry.Endpoint) {
	p.dataCentreSuspicion(m).recordProbe(now)
	p.targetState(m.Cookie, now).recordProbe(now)
}

func (s *suspicion) recordProbe(now time.Time) {
	s.probeAt = now.Add(max(s.probeInterval, minProbeInterval))
}

func (p *Placer) suspect(now time.Time, m *registry.Endpoint, opened time.Time) {
	t := p.targetState(m.Cookie, now)
	was := t.unanswered
	t.recordUnanswered(now, opened)
	if was == 0 && t.unanswered > 0 {
		p.queueStateChange(StateChange{Target: m, State: Silent})
	}
	p.dataCentreSuspicion(m).recordUnanswered(now, opened)
}

// clearSuspicion records that the target with the given cookie is alive and reachable.
func (p *Placer) clearSuspicion(now time.Time, cookie uint32) {
	t, known := p.targets[cookie]
	was := known && t.unanswered > 0
	if known {
		t.recordAnswer(now)
	}
	if p.view == nil {
		return
	}
	m, ok := p.view.Cookies[cookie]
	if !ok {
		return
	}
	dc := p.dataCentreSuspicion(m)
	if was || dc.unanswered >= dataCentreThreshold {
		for _, s := range p.short {
			s.freed = true
		}
	}
	dc.recordAnswer(now)
	if was {
		if t.limits != nil {
			t.limits.window.Restart(now)
		}
		p.queueStateChange(StateChange{Target: m, State: Recovered})
	}
}

func (p *Placer) dataCentreSuspicion(m *registry.Endpoint) *suspicion {
	if p.dataCentres == nil {
		p.dataCentres = make(map[cornelbay.DataCentreName]*suspicion)
	}
	s, ok := p.dataCentres[m.DataCentre]
	if !ok {
		s = &suspicion{}
		p.dataCentres[m.DataCentre] = s
	}
	return s
}
