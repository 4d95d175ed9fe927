package placement

import (
	"slices"
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/registry"
)

const (
	// An opening counts as unanswered after answerFactor usual round trips,
	// within these bounds.
	answerFactor  = 4
	minAnswerTime = 20 * time.Millisecond
	maxAnswerTime = 150 * time.Millisecond
	// initialRoundTrip stands for the usual one before any flow was answered.
	initialRoundTrip = 10 * time.Millisecond
	// maxTries is the number of targets that one opening is tried at: callers
	// give an opening up after 1.4 s.
	maxTries = 6
	// copyTime and secondCopyTime are when callers send copies of an opening that
	// has not been answered, and some time for them to come.
	copyTime       = 220 * time.Millisecond
	secondCopyTime = 640 * time.Millisecond
	// idleAfter is the silence after which a flow no longer counts as load.
	idleAfter = time.Second
	// forgetAfter is the silence after which a flow is forgotten: flows may be idle
	// for 15 s. Its later packets name their target themselves.
	forgetAfter = 20 * time.Second
	// strayTime is how long after a packet of a flow that another host opened an
	// opening without an answer is no evidence: the routers send flows to other
	// hosts than before, and the answer to it may be seen there.
	strayTime = 60 * time.Millisecond
	// maxAdvance is more bytes than a caller acknowledges between two packets that this
	// host sees: a packet that names more acknowledges nothing, as resets do.
	maxAdvance = 1 << 24
	// maxFlows bounds the flows on record; those beyond it are forwarded as well,
	// but are not counted as load and not tried elsewhere.
	maxFlows = 1 << 17
	// stall is a gap between two ticks that shows that this host stood still, so
	// that silence is no evidence against targets.
	stall = 100 * time.Millisecond
)

// Flow is one flow that this host has opened.
type Flow struct {
	key     cornelbay.FlowKey
	service cornelbay.ServiceName
	member  *registry.Member
	opening []byte
	// tried are the cookies of the targets that got the opening.
	tried        []uint32
	opened, seen time.Time
	// begun is when the first later packet came; base is what it acknowledged, and
	// acknowledged what the last one did.
	begun              time.Time
	base, acknowledged uint32
	// due is when the opening counts as unanswered.
	due      time.Time
	answered bool
	idle     bool
	closed   bool
	// adopted is true for a flow that another host opened.
	adopted bool
	// blind is true for an opening whose answer may have shown elsewhere: this host
	// stood still, the routers send flows to other hosts, or the caller has sent no
	// copy when one was due. Only a copy shows that it was not answered.
	blind bool
	// copies counts the copies of the opening that came.
	copies int
	// noted is true once the flow's outcome has been counted.
	noted bool
}

// Retry is an opening that was not answered and is to be sent to another target.
type Retry struct {
	Key cornelbay.FlowKey
	// Member is nil where there is no other target.
	Member  *registry.Member
	Opening []byte
	// Silent is the target that did not answer, and Waited for how long.
	Silent *registry.Member
	Waited time.Duration
}

func (p *Placer) answerTime() time.Duration {
	rtt := p.roundTrip
	if rtt == 0 {
		rtt = initialRoundTrip
	}
	return min(max(answerFactor*rtt, minAnswerTime), maxAnswerTime)
}

// RoutePacket notes a later packet of a flow, which carries the cookie of the target
// that answered and the number of the last byte that the caller has of it, and
// returns the cookie of the target that the flow is open at. The first such packet
// decides where an opening was tried at several targets: an answer that comes late
// must not move the flow.
func (p *Placer) RoutePacket(now time.Time, key cornelbay.FlowKey, cookie, acknowledged uint32, finishing bool) uint32 {
	p.progressed = now
	f, ok := p.flows[key]
	if !ok {
		p.vouch(now, cookie)
		if !finishing {
			p.adopt(now, key, cookie)
		}
		return cookie
	}
	f.seen = now
	if !f.answered {
		if !slices.Contains(f.tried, cookie) {
			return cookie
		}
		p.answer(now, f, cookie)
		f.begun, f.base, f.acknowledged = now, acknowledged, acknowledged
	}
	if acknowledged-f.acknowledged < maxAdvance {
		f.acknowledged = acknowledged
	}
	p.rouse(now, f)
	if finishing && !f.closed {
		p.close(now, f)
	}
	return f.member.Cookie
}

// adopt records a flow that another host has opened and that the routers send
// here now.
func (p *Placer) adopt(now time.Time, key cornelbay.FlowKey, cookie uint32) {
	p.stray = now
	if p.view == nil || len(p.flows) >= maxFlows {
		return
	}
	m, ok := p.view.Cookies[cookie]
	if !ok {
		return
	}
	f := &Flow{key: key, service: m.Service, member: m, seen: now, answered: true, adopted: true}
	p.record(f)
	p.target(cookie, now).add(now, 1)
}

func (p *Placer) record(f *Flow) {
	if p.flows == nil {
		p.flows = make(map[cornelbay.FlowKey]*Flow)
	}
	p.flows[f.key] = f
}

// answer notes that the target with a cookie has taken the flow.
func (p *Placer) answer(now time.Time, f *Flow, cookie uint32) {
	if !f.adopted {
		p.counters.Answered++
		p.target(cookie, now).counters.Answered++
		if p.OnAnswered != nil {
			p.OnAnswered(now.Sub(f.opened))
		}
		if len(f.tried) == 1 {
			if p.roundTrip == 0 {
				p.roundTrip = initialRoundTrip
			}
			p.roundTrip += time.Duration(roundTripShare * float64(now.Sub(f.opened)-p.roundTrip))
		}
	}
	p.settle(now, f, cookie)
	p.rouse(now, f)
	if len(f.tried) > 1 {
		p.publish(AmbiguousFlow{Key: f.key, Tried: f.tried, Chosen: cookie})
	}
	p.vouch(now, cookie)
}

// settle makes the target with a cookie the one that has the flow, which counts as
// load only where its packets come.
func (p *Placer) settle(now time.Time, f *Flow, cookie uint32) {
	f.answered, f.opening = true, nil
	if !f.idle {
		p.target(f.member.Cookie, now).add(now, -1)
	}
	f.idle = true
	if m, ok := p.view.Cookies[cookie]; ok {
		f.member = m
	}
}

// rouse counts a flow as load that was idle.
func (p *Placer) rouse(now time.Time, f *Flow) {
	if f.idle && !f.closed {
		f.idle = false
		p.target(f.member.Cookie, now).add(now, 1)
	}
}

func (p *Placer) close(now time.Time, f *Flow) {
	if !f.idle {
		p.target(f.member.Cookie, now).add(now, -1)
	}
	f.closed = true
	if f.adopted {
		return // when it was opened is not known
	}
	p.ended(f.service, now.Sub(f.opened))
	p.finished(f)
}

// Tick notes that time has passed and returns the openings that were not answered.
// It is called every few milliseconds, after the packets that wait were read.
func (p *Placer) Tick(now time.Time) []Retry {
	gap := now.Sub(p.ticked)
	stalled := !p.ticked.IsZero() && gap > stall
	p.ticked = now
	if stalled {
		p.stood = now
		p.believe(StateChange{State: Stalled, Duration: gap})
	}
	var retries []Retry
	for key, f := range p.flows {
		if stalled || !f.answered && f.copies < copiesDue(now.Sub(f.opened)) || p.sidelined(f) {
			f.blind = true
		}
		switch {
		case now.Sub(f.seen) > forgetAfter:
			p.forget(now, f)
			delete(p.flows, key)
		case !f.answered && (f.adopted || f.blind):
			// Another host tries it elsewhere, or the answer may have been missed.
		case !f.answered && !f.closed && now.After(f.due) && f.copies == 0 && p.rerouted(f):
			f.blind = true
		case !f.answered && !f.closed && now.After(f.due):
			retries = append(retries, p.retry(now, f))
		case !f.idle && !f.closed && now.Sub(f.seen) > idleAfter:
			f.idle = true
			p.target(f.member.Cookie, now).add(now, -1)
			p.fellSilent(now, f)
		}
	}
	return retries
}

// copiesDue returns how many copies a caller that has no answer has sent by the
// time since its opening.
func copiesDue(since time.Duration) int {
	switch {
	case since < copyTime:
		return 0
	case since < secondCopyTime:
		return 1
	}
	return 2
}

// sidelined reports whether several targets seem not to answer an opening while
// this host has seen no later packet of any flow since: then the routers, not the
// targets, are the likely cause.
func (p *Placer) sidelined(f *Flow) bool {
	return !f.answered && f.copies == 0 && len(f.tried) > 1 && p.progressed.Before(f.opened)
}

// rerouted reports whether the routers seem to have sent flows to other hosts
// about the time of an opening. Then only a copy of it shows that the caller has
// had no answer.
func (p *Placer) rerouted(f *Flow) bool {
	return !p.stray.IsZero() && p.stray.Sub(f.opened).Abs() < strayTime
}

func (p *Placer) forget(now time.Time, f *Flow) {
	if !f.idle && !f.closed {
		p.target(f.member.Cookie, now).add(now, -1)
	}
}

// retry takes the silence of a target as evidence against it and moves the
// opening to another target where there is one.
func (p *Placer) retry(now time.Time, f *Flow) Retry {
	p.counters.Unanswered++
	p.target(f.member.Cookie, now).counters.Unanswered++
	p.suspect(now, f.member, f.opened)
	r := Retry{Key: f.key, Silent: f.member, Waited: now.Sub(f.opened)}
	f.due = now.Add(idleAfter)
	if len(f.tried) >= maxTries {
		return r
	}
	m, err := p.choose(now, f.service, f.tried)
	if err != nil {
		return r
	}
	if !f.idle {
		p.target(f.member.Cookie, now).add(now, -1)
	}
	f.idle = false
	p.put(now, f, m)
	p.publish(AmbiguousFlow{Key: f.key, Tried: f.tried})
	p.counters.Retried++
	r.Member, r.Opening = m, f.opening
	return r
}
