package placement

import (
	"errors"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/admission"
	"github.com/cornelbay/cornelbay/registry"
)

const (
	// waitShare is the fraction of a route's latency objective for which an opening may
	// wait. A refusal within that time leaves the caller's next attempt most of the
	// objective.
	waitShare = 0.25
	// maxWait leaves time for a reset before resetTime.
	maxWait = 150 * time.Millisecond
	// resetTime is less than the time after which callers retransmit an opening, 200 ms. Until
	// then no other host has the opening, so that a reset cannot reach an open flow.
	resetTime = 180 * time.Millisecond
	// maxWaiting limits the openings of a service that wait at a host. Each keeps a packet.
	maxWaiting = 4096
	// shortageEnd is the time without a waiting opening after which a shortage is over.
	shortageEnd = time.Second
)

// ErrWaiting is returned by Open for an opening that waits for a slot; see Admissions.
var ErrWaiting = merry.New("opening waits for a slot")

// Admission is the decision on an opening that waited.
type Admission struct {
	Key     cornelbay.FlowKey
	Opening []byte
	// Target is the target to send the opening to, or nil if the flow is refused.
	Target *registry.Endpoint
	// Priority is that of the flow's route, and Waited the time since the opening arrived.
	Priority int
	Waited   time.Duration
	// Reason says why the flow is refused, and ExpectedWait how much longer it would have
	// waited, if that decided.
	Reason       admission.Reason
	ExpectedWait time.Duration
	// ResetUntil is until when the caller of a refused flow may get a reset. Later it may have
	// retransmitted the opening, and another host may have opened the flow.
	ResetUntil time.Time
}

// Reasons for refusing waiting openings, beside those of package admission.
const (
	NoTarget admission.Reason = "no target"
	NoRoute  admission.Reason = "no route"
)

// Admissions returns the decisions on waiting openings since the last call.
func (p *Placer) Admissions() []Admission {
	a := p.admissions
	p.admissions = nil
	return a
}

// Waiting returns the number of openings that wait for a slot.
func (p *Placer) Waiting() int {
	n := 0
	for _, s := range p.short {
		n += s.waiting.Len()
	}
	return n
}

// admit selects the target of a new flow of a limited service. Without room for it the
// opening waits: the error is ErrWaiting, and Admissions returns the decision, which may be
// due at once.
func (p *Placer) admit(now time.Time, s *serviceState, f *Flow) (*registry.Endpoint, error) {
	switch {
	case !s.inUse(now):
		p.update(now, s)
	case s.listsOf != p.view:
		p.divide(now, s)
	}
	s.usedAt = now
	p.recordDemand(now, s, f)
	if s.waits() {
		p.dispatch(now, s)
	}
	if s.waiting.Len() == 0 && p.mayPass(now, s, f.priority) {
		m, from, err := p.chooseAny(now, s)
		if !errors.Is(err, ErrWaiting) {
			f.borrowed = from
			return m, err
		}
	}
	p.hold(now, s, f)
	return nil, ErrWaiting
}

// mayPass reports whether an opening of a priority may be sent to a target, as far as requests
// go that are more urgent, or as urgent and on open flows.
func (p *Placer) mayPass(now time.Time, s *serviceState, priority int) bool {
	return (s.held.Len() == 0 || priority < s.held.Priority()) && p.hasRoom(now, s, priority)
}

// priority returns that of a flow's route.
func (p *Placer) priority(key cornelbay.FlowKey) int {
	if r, ok := p.view.Routes[key.Destination]; ok {
		return r.Priority
	}
	return 0
}

// chooseAny returns the target for the next flow of a service: within the limits, or without
// them if no target is limited. The error is ErrWaiting if all limits are reached.
func (p *Placer) chooseAny(now time.Time, s *serviceState) (m *registry.Endpoint, from *borrowed, err error) {
	if !s.ended {
		m, from, full := p.chooseLimited(now, s)
		if m != nil {
			return m, from, nil
		}
		if full {
			return nil, nil, ErrWaiting
		}
	}
	m, err = p.choose(now, s.name, nil)
	return m, nil, err
}

// longestWait returns for how long an opening may wait, given the latency objective of its route.
func longestWait(objective time.Duration) time.Duration {
	return min(time.Duration(waitShare*float64(objective)), maxWait)
}

// hold makes an opening wait, and refuses those that then cannot be served in time.
func (p *Placer) hold(now time.Time, s *serviceState, f *Flow) {
	f.waiting, f.idle = true, true
	deadline := now.Add(p.Policies.Wait.Or(longestWait, p.objective(s, f)))
	r := admission.Request[*Flow]{
		Value: f, Caller: f.key.Source.Addr().String(), Priority: f.priority, Arrived: now, Deadline: deadline,
	}
	p.recordWait(now, s)
	rate := p.concurrency(now, s) / p.answers.MeanDuration(s.name).Seconds()
	for _, refused := range s.waiting.Add(now, r, rate) {
		p.refuse(now, refused)
	}
}

// dispatch opens the flows of waiting openings while there is room for them, and refuses
// those that have waited for too long.
func (p *Placer) dispatch(now time.Time, s *serviceState) {
	s.freed = false
	if s.listsOf != p.view {
		p.divide(now, s)
	}
	if s.routesChanged {
		s.routesChanged = false
		p.refuseAll(now, NoRoute, s.waiting.Remove(func(f *Flow) bool { return p.view.Routes[f.key.Destination] == nil }))
	}
	for _, r := range s.waiting.Expire(now) {
		p.refuse(now, r)
	}
	p.expireHeld(now, s)
	for s.waits() {
		if s.heldFirst() && p.releaseHeld(now, s) {
			continue
		}
		if top, ok := s.waiting.Priority(); !ok || !s.ended && !p.mayPass(now, s, top) {
			return
		}
		m, from, err := p.chooseAny(now, s)
		if errors.Is(err, ErrWaiting) {
			return
		}
		if err != nil {
			p.refuseAll(now, NoTarget, s.waiting.Remove(func(*Flow) bool { return true }))
			return
		}
		r, ok := s.waiting.Next(now)
		if !ok {
			return
		}
		f := r.Value
		if !f.waiting {
			continue
		}
		f.waiting, f.idle, f.borrowed = false, false, from
		a := Admission{Key: f.key, Opening: f.opening, Target: m, Priority: f.priority, Waited: now.Sub(f.opened)}
		f.opened, f.lastSeen = now, now
		p.start(now, f, m)
		if now.Sub(f.sentSince) > resetTime {
			p.announceOpening(f)
		}
		p.admissions = append(p.admissions, a)
		p.counters.Admitted++
	}
}

// heldFirst reports whether a held request is at least as urgent as the openings that wait: it
// is on a flow that has been accepted.
func (s *serviceState) heldFirst() bool {
	if s.held.Len() == 0 {
		return false
	}
	top, ok := s.waiting.Priority()
	return !ok || s.held.Priority() <= top
}

// dispatchFreed dispatches the waiting openings for which there may be room.
func (p *Placer) dispatchFreed(now time.Time) {
	for _, s := range p.short {
		if s.freed && s.waits() {
			p.dispatch(now, s)
		}
	}
}

// dispatchAll dispatches the waiting openings of all services, and ends shortages.
func (p *Placer) dispatchAll(now time.Time) {
	for _, s := range p.short {
		if s.waits() {
			p.dispatch(now, s)
		}
		if s.ended && !s.waits() && p.services[s.name] == s { // it may be limited again
			p.unlimit(s)
		}
		p.checkShortage(now, s)
	}
	p.short = slices.DeleteFunc(p.short, func(s *serviceState) bool { return !s.shortage.active })
}

// refuse forgets an opening that waited. No target has got it.
func (p *Placer) refuse(now time.Time, r admission.Request[*Flow]) {
	f := r.Value
	if !f.waiting {
		return
	}
	f.waiting = false
	delete(p.flows, f.key)
	p.counters.Refused++
	p.counters.Shed++
	p.admissions = append(p.admissions, Admission{
		Key: f.key, Opening: f.opening, Priority: f.priority, Waited: now.Sub(f.opened),
		Reason: r.Reason, ExpectedWait: r.Wait, ResetUntil: f.sentSince.Add(resetTime),
	})
}

// forget removes a waiting opening that another host may have opened: it is not to be refused.
func (p *Placer) forget(f *Flow) {
	f.waiting = false
	delete(p.flows, f.key)
	if s, ok := p.services[f.service]; ok {
		s.waiting.Remove(func(o *Flow) bool { return o == f })
	}
}

// supersededAfter is, for each copy of an opening, less than the time after which the caller sends
// the next one: 200 ms after the first and 400 ms after the second. The caller gives up 800 ms
// after the third.
var supersededAfter = [...]time.Duration{resetTime, 380 * time.Millisecond, 780 * time.Millisecond}

// superseded reports whether an opening arrived so long ago that the caller has sent the next copy
// since, or has given up. The next copy may have reached another host, which then has the flow: a
// host that has been suspended finds openings of that kind in its socket.
func (o *Opening) superseded(now time.Time) bool {
	last := len(supersededAfter) - 1
	return !o.Arrived.IsZero() && now.Sub(o.Arrived) > supersededAfter[min(o.Copy, last)]
}

// MayRefuse reports whether an opening that has just been read may be refused: no other host can
// have opened the flow by a further copy of it.
func (p *Placer) MayRefuse(now time.Time, o Opening) bool {
	return o.Copy == 0 && now.Sub(p.stall.SentSince(now, o.Arrived)) <= resetTime
}

func (p *Placer) refuseAll(now time.Time, reason admission.Reason, requests []admission.Request[*Flow]) {
	for _, r := range requests {
		r.Reason = reason
		p.refuse(now, r)
	}
}

// shortage is a time in which openings wait for slots.
type shortage struct {
	active   bool
	since    time.Time
	lastWait time.Time
}

// Shortage is the begin or the end of a time in which openings of a service wait.
type Shortage struct {
	Service cornelbay.ServiceName
	Begins  bool
	// Lasted is the length of a shortage that ends.
	Lasted time.Duration
	// Slots is this host's share of the slots, Limit the number of flows that it may open,
	// Borrowed the number of those open beyond its share, and Usual the time of a request
	// that does not wait.
	Slots, Limit float64
	Borrowed     int
	Usual        time.Duration
}

// Shortages returns the shortages that have begun or ended since the last call.
func (p *Placer) Shortages() []Shortage {
	s := p.shortages
	p.shortages = nil
	return s
}

// recordWait records that an opening of a service has to wait, which begins a shortage.
func (p *Placer) recordWait(now time.Time, s *serviceState) {
	s.shortage.lastWait = now
	if !s.shortage.active {
		s.shortage.active, s.shortage.since = true, now
		p.short = append(p.short, s)
		p.counters.Shortages++
		p.recordShortage(now, s)
	}
}

// checkShortage ends a shortage when no opening has waited for a while.
func (p *Placer) checkShortage(now time.Time, s *serviceState) {
	if s.waits() {
		s.shortage.lastWait = now
	}
	if now.Sub(s.shortage.lastWait) > shortageEnd {
		s.shortage.active = false
		p.recordShortage(now, s)
	}
}

func (p *Placer) recordShortage(now time.Time, s *serviceState) {
	e := Shortage{
		Service: s.name, Begins: s.shortage.active, Slots: s.slots, Limit: p.concurrency(now, s),
		Borrowed: s.borrowed(), Usual: p.answers.UsualTime(s.name),
	}
	if !e.Begins {
		e.Lasted = now.Sub(s.shortage.since)
	}
	p.shortages = append(p.shortages, e)
}
