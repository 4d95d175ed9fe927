package placement

import (
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/outlier"
	"github.com/cornelbay/cornelbay/registry"
)

const (
	// A suspect is tried again after firstTry, then after twice the time before,
	// up to lastTry.
	firstTry = 250 * time.Millisecond
	lastTry  = 2 * time.Second
	// placeSilent is the number of targets of a data centre that have to be
	// silent before the whole data centre is suspected.
	placeSilent = 2
)

// suspicion is the evidence against a target, or against a data centre: openings
// that were not answered since the last one that was.
type suspicion struct {
	unanswered int
	answered   time.Time
	tryAt      time.Time
	pause      time.Duration
}

// StateChange is a change of what the placer takes a target, or its own host, for.
type StateChange struct {
	// Member is the target; nil for Stalled.
	Member *registry.Member
	State  State
	// Outcome is what showed that the target is an outlier, and Pause the time for
	// which it gets no flows.
	Outcome  outlier.Outcome
	Duration time.Duration
}

// State is what the placer takes a target for.
type State string

// The states of targets.
const (
	// Silent is a target that does not answer openings.
	Silent State = "silent"
	// Recovered is one that was silent and answers again.
	Recovered State = "answers again"
	// Failing is one whose flows fail more often than those of others.
	Failing State = "failing"
	// Slow is one whose flows last longer than those of others.
	Slow State = "slow"
	// Stalled is this host itself, which has not run for Pause: until its flows have
	// gone on, silence is no evidence.
	Stalled State = "stood still"
)

// maxBeliefs bounds the changes that wait to be taken.
const maxBeliefs = 256

// StateChanges returns the changes since the last call.
func (p *Placer) StateChanges() []StateChange {
	b := p.beliefs
	p.beliefs = nil
	return b
}

func (p *Placer) believe(b StateChange) {
	if len(p.beliefs) < maxBeliefs {
		p.beliefs = append(p.beliefs, b)
	}
}

// silent notes an opening that was not answered.
func (s *suspicion) silent(now, opened time.Time) {
	if opened.Before(s.answered) {
		return // it has answered a later opening
	}
	s.unanswered++
	s.pause = min(max(2*s.pause, firstTry), lastTry)
	s.tryAt = now.Add(s.pause)
}

func (s *suspicion) vouch(now time.Time) {
	s.unanswered, s.pause, s.answered = 0, 0, now
}

// suspected reports whether a target, or its whole data centre, is silent.
func (p *Placer) suspected(m *registry.Member) bool {
	if place, ok := p.places[m.DataCentre]; ok && place.unanswered >= placeSilent {
		return true
	}
	t, ok := p.targets[m.Cookie]
	return ok && t.unanswered > 0
}

// tryDue reports whether an opening may show if a suspect answers again.
func (p *Placer) tryDue(now time.Time, m *registry.Member) bool {
	if place, ok := p.places[m.DataCentre]; ok && place.unanswered >= placeSilent && now.Before(place.tryAt) {
		return false
	}
	t, ok := p.targets[m.Cookie]
	return !ok || t.unanswered == 0 || !now.Before(t.tryAt)
}

// try notes that an opening is sent to a suspect: no other is until its pause has
// passed again.
func (p *Placer) try(now time.Time, m *registry.Member) {
	p.place(m).tried(now)
	p.target(m.Cookie, now).tried(now)
}

func (s *suspicion) tried(now time.Time) { s.tryAt = now.Add(max(s.pause, firstTry)) }

func (p *Placer) suspect(now time.Time, m *registry.Member, opened time.Time) {
	t := p.target(m.Cookie, now)
	was := t.unanswered
	t.silent(now, opened)
	if was == 0 && t.unanswered > 0 {
		p.believe(StateChange{Member: m, State: Silent})
	}
	p.place(m).silent(now, opened)
}

// vouch notes that the target with a cookie is alive and reached.
func (p *Placer) vouch(now time.Time, cookie uint32) {
	t, known := p.targets[cookie]
	was := known && t.unanswered > 0
	if known {
		t.vouch(now)
	}
	if p.view == nil {
		return
	}
	m, ok := p.view.Cookies[cookie]
	if !ok {
		return
	}
	p.place(m).vouch(now)
	if was {
		p.believe(StateChange{Member: m, State: Recovered})
	}
}

func (p *Placer) place(m *registry.Member) *suspicion {
	if p.places == nil {
		p.places = make(map[cornelbay.DataCentreName]*suspicion)
	}
	s, ok := p.places[m.DataCentre]
	if !ok {
		s = &suspicion{}
		p.places[m.DataCentre] = s
	}
	return s
}
