// Package placement decides which target a new flow opens at, from the flows that
// this host has open, what other hosts report of theirs, and which openings got
// an answer. It performs no I/O and reads no clock.
//
// It answers three loads: the ordinary one, where flows stay in their own data
// centre while a slot is free there; more flows than a data centre has slots,
// where they spill to where the wait is shorter than the way; and targets that
// have died or been cut off, where an opening is tried elsewhere after a few
// round trips in place of the caller's own retransmission.
package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/outlier"
	"github.com/cornelbay/cornelbay/registry"
)

// The reasons for refusing to open a flow. Each proves that no target has run it.
var (
	ErrNoTarget = merry.New("service has no usable target")
	ErrCold     = merry.New("service has only cold targets, whose budget is used up")
)

const (
	// distantCost is the round trip between data centres: a flow leaves its own
	// one when it saves more than this.
	distantCost = 3 * time.Millisecond
	// initialDuration stands for the usual duration of a flow before any ended.
	initialDuration = 25 * time.Millisecond
	// durationShare and roundTripShare are the parts of a new sample in a mean.
	durationShare  = 1.0 / 64
	roundTripShare = 1.0 / 16
	// defaultSlots stands for the slots of a target that announces none.
	defaultSlots = cornelbay.DefaultSlots
)

// Placer places the flows of one host. Its zero value knows no targets; it is not
// safe for concurrent use.
type Placer struct {
	Self       cornelbay.HostName
	DataCentre cornelbay.DataCentreName
	// WarmUpFactor and WarmUpSlack bound the openings at a cold target; see TokenBucket.
	WarmUpFactor, WarmUpSlack float64
	// OnAnswered is told the time from each opening to the caller's next packet; it
	// may be nil.
	OnAnswered func(time.Duration)

	view      *registry.View
	targets   map[uint32]*target
	flows     map[cornelbay.FlowKey]*Flow
	reports   map[cornelbay.HostName]Report
	places    map[cornelbay.DataCentreName]*suspicion
	durations map[cornelbay.ServiceName]time.Duration
	budgets   map[uint32]*TokenBucket
	// answers are the mean bytes of the answers of each route and service.
	answers  map[answerKey]float64
	outliers outlier.Detector[uint32]
	// stood is when this host last stood still.
	stood     time.Time
	roundTrip time.Duration
	ticked    time.Time
	// progressed is when the last later packet of any flow came.
	progressed time.Time
	// stray is when the last packet came of a flow that another host opened.
	stray    time.Time
	turn     uint64
	counters Counters
	beliefs  []StateChange
	doubts   []AmbiguousFlow
}

// Counters count what became of openings.
type Counters struct {
	Opened, Answered, Unanswered, Retried, Refused uint64
	// Cold are the openings at cold targets, which use up their budget.
	Cold uint64
	// Ejected counts the findings that a target is an outlier.
	Ejected uint64
}

// TargetCounters count what became of the openings at one target.
type TargetCounters struct {
	Opened, Answered, Unanswered uint64
}

// target is what the placer knows of one target.
type target struct {
	// open counts the flows of this host that are active at the target.
	open int
	// busy is the integral of open over time, in flow-nanoseconds since the last
	// report, and changed is the time up to which it is added up.
	busy    float64
	changed time.Time
	suspicion
	counters TargetCounters
}

func (t *target) add(now time.Time, n int) {
	t.integrate(now)
	t.open += n
}

func (t *target) integrate(now time.Time) {
	t.busy += float64(t.open) * float64(now.Sub(t.changed))
	t.changed = now
}

// SetView makes the placer use a new picture of the targets.
func (p *Placer) SetView(v *registry.View) { p.view = v }

// Counters returns what became of openings so far.
func (p *Placer) Counters() Counters { return p.counters }

// TargetCounters returns what became of the openings at each target that is known.
func (p *Placer) TargetCounters() map[cornelbay.TargetName]TargetCounters {
	all := make(map[cornelbay.TargetName]TargetCounters)
	if p.view == nil {
		return all
	}
	for cookie, t := range p.targets {
		if m, ok := p.view.Cookies[cookie]; ok {
			all[m.Name] = t.counters
		}
	}
	return all
}

// Open chooses the target of a new flow and records the flow. Opening is the
// flow's first packet, which is kept until the flow is answered. A copy of the
// first packet of a flow that is known goes to that flow's target; one of a flow
// that is not may have been opened by another host.
func (p *Placer) Open(now time.Time, key cornelbay.FlowKey, service cornelbay.ServiceName, opening []byte, copied bool) (*registry.Member, error) {
	if f, ok := p.flows[key]; ok && !f.closed {
		f.seen = now
		f.copies++
		if f.blind {
			f.blind, f.due = false, now.Add(p.answerTime())
		}
		return f.member, nil
	}
	m, err := p.choose(now, service, nil)
	if err != nil {
		p.counters.Refused++
		return nil, err
	}
	p.counters.Opened++
	if len(p.flows) >= maxFlows {
		return m, nil
	}
	f := &Flow{key: key, service: service, opened: now, seen: now, opening: slices.Clone(opening)}
	p.record(f)
	p.put(now, f, m)
	if copied {
		p.publish(AmbiguousFlow{Key: key, Tried: f.tried})
	}
	return m, nil
}

// put opens a flow at a target.
func (p *Placer) put(now time.Time, f *Flow, m *registry.Member) {
	f.member = m
	f.tried = append(f.tried, m.Cookie)
	f.due = now.Add(p.answerTime())
	t := p.target(m.Cookie, now)
	t.add(now, 1)
	t.counters.Opened++
}

func (p *Placer) target(cookie uint32, now time.Time) *target {
	if p.targets == nil {
		p.targets = make(map[uint32]*target)
	}
	t, ok := p.targets[cookie]
	if !ok {
		t = &target{changed: now}
		p.targets[cookie] = t
	}
	return t
}

// candidate is a target with the wait that a flow would have there.
type candidate struct {
	member *registry.Member
	cost   time.Duration
	load   float64
	order  uint64
}

func compare(a, b candidate) int {
	return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.load, b.load), cmp.Compare(a.order, b.order))
}

// choose returns the best target of a service that is not among those tried.
// Suspects and outliers are only used where there is nothing else, or when a try is due that
// shows whether they answer again.
func (p *Placer) choose(now time.Time, service cornelbay.ServiceName, tried []uint32) (*registry.Member, error) {
	if p.view == nil {
		return nil, ErrNoTarget
	}
	var best, suspect, due, cold candidate
	p.turn++
	for _, m := range p.view.Services[service] {
		if !m.Usable(now) || slices.Contains(tried, m.Cookie) {
			continue
		}
		c := p.candidate(now, m)
		switch {
		case now.Before(m.ColdUntil):
			keep(&cold, c)
		case p.ejected(now, m):
			keep(&suspect, c)
		case !p.suspected(m):
			keep(&best, c)
		case p.tryDue(now, m):
			keep(&due, c)
		default:
			keep(&suspect, c)
		}
	}
	if due.member != nil && (best.member == nil || compare(due, best) < 0) {
		p.try(now, due.member)
		return due.member, nil
	}
	if best.member != nil && best.cost < p.duration(service) {
		return best.member, nil
	}
	if cold.member != nil && p.budget(cold.member).Take(now) {
		p.counters.Cold++
		return cold.member, nil
	}
	switch {
	case best.member != nil:
		return best.member, nil
	case suspect.member != nil:
		return suspect.member, nil
	case cold.member != nil:
		return nil, ErrCold
	}
	return nil, ErrNoTarget
}

func keep(best *candidate, c candidate) {
	if best.member == nil || compare(c, *best) < 0 {
		*best = c
	}
}

// candidate estimates the wait at a target: none while a slot is free, then the
// flows ahead in turn; and the way to another data centre.
func (p *Placer) candidate(now time.Time, m *registry.Member) candidate {
	slots := m.Slots
	if slots <= 0 {
		slots = defaultSlots
	}
	load := p.load(now, m.Cookie) / float64(slots)
	c := candidate{member: m, load: load, order: mix(p.turn<<32 | uint64(m.Cookie))}
	if ahead := load + 1/float64(slots) - 1; ahead > 0 {
		c.cost = time.Duration(ahead * float64(p.duration(m.Service)))
	}
	if m.DataCentre != p.DataCentre {
		c.cost += distantCost
	}
	return c
}

// mix scatters a number over all numbers, so that ties are broken by another order
// at each choice: the finaliser of MurmurHash3.
func mix(n uint64) uint64 {
	n ^= n >> 33
	n *= 0xff51afd7ed558ccd
	n ^= n >> 33
	n *= 0xc4ceb9fe1a85ec53
	return n ^ n>>33
}

// load estimates the flows that are active at a target: the own ones, and those
// that other hosts had there on average when they last reported.
func (p *Placer) load(now time.Time, cookie uint32) float64 {
	n := 0.0
	if t, ok := p.targets[cookie]; ok {
		n = float64(t.open)
	}
	for _, r := range p.reports {
		if now.Sub(r.At) < reportLife {
			n += r.Loads[cookie]
		}
	}
	return n
}

func (p *Placer) duration(service cornelbay.ServiceName) time.Duration {
	if d, ok := p.durations[service]; ok {
		return d
	}
	return initialDuration
}

func (p *Placer) ended(service cornelbay.ServiceName, took time.Duration) {
	if p.durations == nil {
		p.durations = make(map[cornelbay.ServiceName]time.Duration)
	}
	d := p.duration(service)
	p.durations[service] = d + time.Duration(durationShare*float64(took-d))
}
