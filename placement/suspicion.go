package placement

import (
	"time"

	"github.com/cornelbay/cornelbay/outlier"
	"github.com/cornelbay/cornelbay/registry"
	"github.com/cornelbay/cornelbay/suspicion"
)

// StateChange is a change in the state of a target, or of this host.
type StateChange struct {
	// Target is the target that changed; nil for Stalled.
	Target *registry.Endpoint
	State  State
	// Outcome is the evidence for an ejection. Duration is how long the ejected target
	// gets no flows, how long this host was stalled, or how long ago the store confirmed the
	// targets when one that may be cold answered, and 0 if it never has.
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
	// Doubted targets were silent at another host while this one sent them no openings, and
	// may have started anew.
	Doubted State = "may have restarted"
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

// suspected reports whether a target, or its whole data centre, does not answer.
func (p *Placer) suspected(m *registry.Endpoint) bool {
	return p.suspicion.Suspected(m.Cookie, m.DataCentre)
}

// probeDue reports whether an opening may be sent to a suspected target to find out
// whether it answers again. If that is known and its data centre is suspected, it gets none until
// the store confirms that it is warm.
func (p *Placer) probeDue(now time.Time, m *registry.Endpoint) bool {
	if p.unconfirmed(now, m) && !p.suspicion.Unanswered(m.Cookie) {
		return false
	}
	return p.suspicion.ProbeDue(now, m.Cookie, m.DataCentre)
}

const (
	// announceTime is the time after which the store has what a target announces as it starts.
	announceTime = 500 * time.Millisecond
	// maxColdTime is longer than a target stays cold: one that has answered for that long is warm,
	// even if the store can't be reached.
	maxColdTime = 15 * time.Second
)

// SetTargetsConfirmed records when the store last confirmed the targets of the view, as of which
// they are those that it lists; zero means never. Without a call the view is taken for up to date.
func (p *Placer) SetTargetsConfirmed(at time.Time) { p.targetsConfirmedAt = &at }

// unconfirmed reports whether a target that answers again may have started anew, and be cold,
// without this host knowing: the store has not confirmed the targets since.
func (p *Placer) unconfirmed(now time.Time, m *registry.Endpoint) bool {
	if p.targetsConfirmedAt == nil {
		return false
	}
	at := p.suspicion.RecoveredAt(m.Cookie, m.DataCentre)
	return !at.IsZero() && now.Sub(at) < maxColdTime && p.targetsConfirmedAt.Before(at.Add(announceTime))
}

// Unconfirmed returns the number of targets that answer again and may be cold.
func (p *Placer) Unconfirmed(now time.Time) int {
	n := 0
	if p.view != nil {
		for _, m := range p.view.Cookies {
			if !p.suspected(m) && p.unconfirmed(now, m) {
				n++
			}
		}
	}
	return n
}

// startProbe records that an opening is sent to a suspected target.
func (p *Placer) startProbe(now time.Time, m *registry.Endpoint) {
	p.suspicion.RecordProbe(now, m.Cookie, m.DataCentre)
}

func (p *Placer) suspect(now time.Time, m *registry.Endpoint, u suspicion.Unanswered) {
	if p.suspicion.RecordUnanswered(now, m.Cookie, m.DataCentre, u) {
		p.queueStateChange(StateChange{Target: m, State: Silent})
	}
	if u.Firm && !p.suspicion.ToldLately(now, m.Cookie) {
		p.queueSilence(Silence{Cookie: m.Cookie, Since: u.Opened})
	}
}

func (p *Placer) queueSilence(s Silence) {
	if len(p.silences) < maxSilences {
		p.silences = append(p.silences, s)
	}
}

// Silence is a target that has not answered an opening, as one host announces it to the others: the
// target may have crashed, and is cold then when it answers again.
type Silence struct {
	Cookie uint32
	// Since is when the opening was sent.
	Since time.Time
	// Until is when the target answered again, and zero before.
	Until time.Time
}

// maxSilences limits the silences that wait to be announced.
const maxSilences = 64

// Silences returns the silences to be announced to other hosts since the last call.
func (p *Placer) Silences() []Silence {
	s := p.silences
	p.silences = nil
	return s
}

// MergeSilence applies an announcement of another host.
func (p *Placer) MergeSilence(now time.Time, s Silence) {
	if p.unknown(s.Cookie) {
		return
	}
	if s.Until.IsZero() {
		p.suspicion.RecordDoubt(now, s.Cookie, s.Since)
		return
	}
	was := p.suspicion.Unanswered(s.Cookie)
	if p.suspicion.RecordRecovery(s.Cookie, s.Since, s.Until) {
		if t, ok := p.targets[s.Cookie]; ok && was && t.limits != nil {
			t.limits.window.Restart(now)
		}
		p.queueRecovered(now, p.view.Cookies[s.Cookie], Doubted)
	}
}

// clearSuspicion records that the target with the given cookie is alive and reachable.
func (p *Placer) clearSuspicion(now time.Time, cookie uint32) {
	t, known := p.targets[cookie]
	var r suspicion.Recovery
	if known {
		r = p.suspicion.RecordAnswer(now, cookie)
	}
	if p.view == nil {
		return
	}
	m, ok := p.view.Cookies[cookie]
	if !ok {
		return
	}
	if !r.SilentSince.IsZero() {
		p.queueSilence(Silence{Cookie: cookie, Since: r.SilentSince, Until: now})
	}
	if dcWas := p.suspicion.RecordAnswerFrom(now, m.DataCentre); r.Suspected || dcWas {
		for _, s := range p.short {
			s.freed = true
		}
	}
	if r.Suspected && t.limits != nil {
		t.limits.window.Restart(now)
	}
	if r.Doubted {
		p.queueRecovered(now, m, Doubted)
	} else if r.Suspected {
		p.queueRecovered(now, m, Recovered)
	}
}

// queueRecovered queues the change of a target that answers this host or another one again.
func (p *Placer) queueRecovered(now time.Time, m *registry.Endpoint, state State) {
	c := StateChange{Target: m, State: state}
	if at := p.targetsConfirmedAt; at != nil && !at.IsZero() {
		c.Duration = now.Sub(*at)
	}
	p.queueStateChange(c)
}
