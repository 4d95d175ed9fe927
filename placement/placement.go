// Package placement selects the target of each new flow, based on the flows that this host
// has open, the loads that other hosts report, and which opening packets were answered. It
// performs no I/O and reads no clock.
//
// Under normal load, flows stay in their own data centre while a slot is free there. When a
// data centre has more flows than slots, flows spill over to where the expected wait is
// shorter than the extra round trip. When targets have died or are cut off, an opening is
// retried at another target after a few round trips, before the caller retransmits it.
// Cold targets get flows at a limited rate, and targets whose flows fail or last longer
// than those of the others get none for a while.
//
// A flow passes through the packages that answer one question each:
//
//	opening -> room? -> which target?  -> answered in time? -> later packets -> how did it end?
//	           share    choice            suspicion            exchange         answers
//	           pace     loads             readiness (Reach)                     outlier
//	           admission                  stall
package placement

import (
	"errors"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/answers"
	"github.com/cornelbay/cornelbay/choice"
	"github.com/cornelbay/cornelbay/decision"
	"github.com/cornelbay/cornelbay/loads"
	"github.com/cornelbay/cornelbay/outlier"
	"github.com/cornelbay/cornelbay/pace"
	"github.com/cornelbay/cornelbay/readiness"
	"github.com/cornelbay/cornelbay/registry"
	"github.com/cornelbay/cornelbay/share"
	"github.com/cornelbay/cornelbay/stall"
	"github.com/cornelbay/cornelbay/suspicion"
)

// Errors for flows that are refused. Each guarantees that no target has run the flow: this
// host has sent no packet of it to a target.
var (
	ErrNoTarget = merry.New("service has no usable target")
	// ErrCold is also returned if this host is not the owner of the cold target that it
	// would use and thus has no tokens for it.
	ErrCold = merry.New("service has only cold targets, which are at their rate limit")
	// ErrSuperseded is returned for an opening that was read so late that the caller has sent
	// the next copy since, which another host may have got.
	ErrSuperseded = merry.New("the caller has sent a later copy of the opening")
)

const (
	// crossDataCentreCost is the assumed round trip between data centres: a flow leaves its
	// own data centre only when that saves more than this.
	crossDataCentreCost = 3 * time.Millisecond
	// roundTripWeight is the weight of a new sample in the exponentially weighted moving
	// average of round trips.
	roundTripWeight = 1.0 / 16
	// leastLoadedLimit is the number of hosts up to which each one sends a new flow to the
	// least loaded target. More hosts would all choose the same few targets until the next
	// reports, and overload them.
	leastLoadedLimit = 13
	// defaultSlots is used for a target that announces no slots.
	defaultSlots = cornelbay.DefaultSlots
)

// Policies are the decisions of a Placer that trials and tests exchange. The zero value is the
// product.
type Policies struct {
	// AnswerTimeout returns after which time an opening counts as unanswered and is tried at
	// another target, for a mean round trip.
	AnswerTimeout decision.Func[time.Duration, time.Duration]
	// Wait returns for how long an opening may wait for a slot, given the latency objective of
	// its route.
	Wait decision.Func[time.Duration, time.Duration]
	// Distance returns what it costs a flow to go to a target in another data centre.
	Distance decision.Func[cornelbay.DataCentreName, time.Duration]
}

// Placer selects targets for the flows of one host. Its zero value knows no targets. It is
// not safe for concurrent use.
type Placer struct {
	Self       cornelbay.HostName
	DataCentre cornelbay.DataCentreName
	// WarmUpFactor and WarmUpSlack limit the openings at a cold target, which gets at most
	// ColdPerSecond*WarmUpFactor + WarmUpSlack of them in a second; see pace.TokenBucket.
	WarmUpFactor, WarmUpSlack float64
	// Policies are decisions of the product unless a trial exchanges them.
	Policies Policies
	// OnAnswered, if not nil, is called with the time from each opening to the caller's
	// next packet.
	OnAnswered func(time.Duration)

	view    *registry.View
	targets map[uint32]*targetState
	flows   map[cornelbay.FlowKey]*Flow
	// pending are the flows that this host has opened and that are not answered yet.
	pending     map[cornelbay.FlowKey]*Flow
	heard       loads.Heard
	suspicion   suspicion.Detector[uint32]
	reach       readiness.Reach
	answers     answers.Stats
	coldBuckets map[uint32]*pace.TokenBucket
	outliers    outlier.Detector[uint32]
	// services are the limited services.
	services map[cornelbay.ServiceName]*serviceState
	// short are the services in a shortage, the only ones that openings may wait for.
	short []*serviceState
	// hostsGeneration counts the changes of the registered hosts. hostsOf are the hosts of each
	// data centre, of the generation hostsOfGeneration.
	hostsGeneration, hostsOfGeneration uint64
	hostsOf                            map[cornelbay.DataCentreName][]cornelbay.HostName
	// nextDivision is the time before which no slots are divided anew. warm and warmTargets are
	// used during a division only.
	nextDivision time.Time
	warm         []*registry.Endpoint
	warmTargets  []share.Target[uint32]
	stall        stall.Detector
	// targetsConfirmedAt is that of the last call of SetTargetsConfirmed, or nil.
	targetsConfirmedAt *time.Time
	// roundTrip is the smoothed time from an opening to the caller's next packet, of flows
	// that were tried at one target only; 0 until there was one.
	roundTrip time.Duration
	// sweptAt is when a call of Tick last looked at all flows.
	sweptAt time.Time
	// lastProgress is when the last packet after an opening arrived, of any flow.
	lastProgress time.Time
	// foreignPacketAt is when a packet last arrived of a flow that this host had not
	// recorded, such as one that another host opened. Later packets of the flow do not
	// count once it is recorded, nor does one that finishes the flow.
	foreignPacketAt time.Time
	// joinedAt is when a host last joined.
	joinedAt time.Time
	// choices is the number of choices so far, which varies how ties are broken and which
	// targets are compared.
	choices      uint64
	counters     Counters
	stateChanges []StateChange
	ambiguous    []AmbiguousFlow
	corrections  []Correction
	silences     []Silence
	admissions   []Admission
	releases     []Release
	shortages    []Shortage
}

// Counters count the outcomes of openings.
type Counters struct {
	Opened, Answered, Unanswered, Retried, Refused uint64
	// Cold counts the openings at cold targets, which are limited by a token bucket.
	Cold uint64
	// Ejected counts the ejections of targets as outliers.
	Ejected uint64
	// Rejected counts the requests that full targets rejected.
	Rejected uint64
	// Admitted counts the openings that waited for a slot and got one. Shed counts those that
	// were refused, which Refused includes, and Shortages the times in which any waited.
	Admitted, Shed, Shortages uint64
	// Held counts the requests on open flows that had to wait for room at their targets.
	Held uint64
}

// TargetCounters count the outcomes of the openings at one target.
type TargetCounters struct {
	Opened, Answered, Unanswered uint64
}

// targetState is the placer's state of one target.
type targetState struct {
	// open counts the active flows of this host at the target.
	open int
	// openIntegral is the integral of open over time since the last report, in
	// flow-nanoseconds, computed up to integratedTo.
	openIntegral float64
	integratedTo time.Time
	counters     TargetCounters
	// limits is nil for a target that is not, and was not lately, in this host's share.
	limits *targetLimits
}

func (t *targetState) adjustOpen(now time.Time, n int) {
	t.integrate(now)
	t.open += n
}

func (t *targetState) integrate(now time.Time) {
	t.openIntegral += float64(t.open) * float64(now.Sub(t.integratedTo))
	t.integratedTo = now
}

// SetView replaces the placer's view of the targets.
func (p *Placer) SetView(v *registry.View) {
	if p.view == nil || !sameHosts(p.view.Hosts, v.Hosts) {
		p.hostsGeneration++
	}
	p.view = v
	p.limitServices()
}

// sameHosts reports whether the hosts of two views are the same. Views share them if they have
// not changed.
func sameHosts(a, b []registry.Host) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0] || slices.Equal(a, b))
}

// Reach returns whether the openings of this host have lately reached targets.
func (p *Placer) Reach(now time.Time) readiness.Census { return p.reach.Census(now) }

// Counters returns the outcomes of all openings so far.
func (p *Placer) Counters() Counters { return p.counters }

// TargetCounters returns the outcomes of the openings at each known target.
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

// Opening is the first packet of a flow.
type Opening struct {
	Key     cornelbay.FlowKey
	Service cornelbay.ServiceName
	// Packet is kept until the flow is answered.
	Packet []byte
	// Copy is 0 for the first packet of the caller, and n for its nth retransmission.
	Copy int
	// Arrived is when the packet arrived at this host, if that was before it was read.
	Arrived time.Time
}

// Open selects the target of a new flow and records the flow. A retransmission of the opening
// of a known flow goes to that flow's target; that of an unknown flow may belong to a flow that
// another host opened. The error ErrWaiting means that the opening waits for a slot, and
// ErrSuperseded that the caller has sent a later copy.
func (p *Placer) Open(now time.Time, o Opening) (*registry.Endpoint, error) {
	key, service, retransmitted := o.Key, o.Service, o.Copy > 0
	if f, ok := p.flows[key]; ok && f.waiting && retransmitted {
		p.forget(f) // an opening of which another host may have the next retransmission
	}
	if o.superseded(now) {
		return nil, ErrSuperseded
	}
	if f, ok := p.flows[key]; ok && !f.closed {
		f.lastSeen = now
		f.retransmits++
		if f.unobserved {
			f.unobserved, f.deadline = false, now.Add(p.answerTimeout())
		}
		if f.waiting {
			return nil, ErrWaiting
		}
		return f.target, nil
	}
	f := &Flow{key: key, service: service, opened: now, lastSeen: now, opening: slices.Clone(o.Packet)}
	f.sentSince = p.stall.SentSince(now, o.Arrived)
	if p.view != nil {
		f.priority = p.priority(key)
	}
	var m *registry.Endpoint
	var err error
	// Another host may have opened the flow of a retransmitted opening, which therefore must
	// not be refused later.
	if s, ok := p.services[service]; ok && !s.ended && !retransmitted && len(p.flows) < maxFlows {
		m, err = p.admit(now, s, f)
	} else {
		m, err = p.choose(now, service, nil)
	}
	if errors.Is(err, ErrWaiting) {
		if f.waiting {
			p.track(f)
		}
		return nil, err
	}
	if err != nil {
		p.counters.Refused++
		return nil, err
	}
	if len(p.flows) >= maxFlows {
		p.counters.Opened++
		return m, nil
	}
	p.track(f)
	p.start(now, f, m)
	if retransmitted || now.Sub(f.sentSince) > resetTime {
		p.announceOpening(f)
	}
	return m, nil
}

// start opens a flow at the first target that is tried.
func (p *Placer) start(now time.Time, f *Flow, m *registry.Endpoint) {
	p.counters.Opened++
	if p.pending == nil {
		p.pending = make(map[cornelbay.FlowKey]*Flow)
	}
	p.pending[f.key] = f
	p.assign(now, f, m)
}

// assign opens a flow at a target.
func (p *Placer) assign(now time.Time, f *Flow, m *registry.Endpoint) {
	f.target = m
	f.tried = append(f.tried, m.Cookie)
	f.deadline = now.Add(p.answerTimeout())
	t := p.targetState(m.Cookie, now)
	f.contended = p.contended(now, f)
	p.adjustOpen(now, f, 1)
	t.counters.Opened++
}

// adjustOpen changes the number of open flows at a flow's target by n.
func (p *Placer) adjustOpen(now time.Time, f *Flow, n int) {
	p.targetState(f.target.Cookie, now).adjustOpen(now, n)
	if n > 0 {
		f.takesSlot = p.usable(now, f.target)
	}
	if s, ok := p.services[f.service]; ok && f.takesSlot {
		s.atWork[f.priority] += n
		s.freed = s.freed || n < 0
	}
	if f.borrowed != nil {
		f.borrowed.open += n
	}
}

func (p *Placer) targetState(cookie uint32, now time.Time) *targetState {
	if p.targets == nil {
		p.targets = make(map[uint32]*targetState)
	}
	t, ok := p.targets[cookie]
	if !ok {
		t = &targetState{integratedTo: now}
		p.targets[cookie] = t
	}
	return t
}

// candidate is a target that is considered for a flow.
type candidate = choice.Candidate[*registry.Endpoint]

// choose returns the best target of a service that is not among those already tried, in a
// large fleet the best of some; see choice.Sampler.
// Suspected and ejected targets are used only when there is no other, or when a probe is
// due that shows whether a suspected target answers again. An opening that was tried already
// is no probe while there is another target: when many targets have died, it would use up
// its attempts on them. A cold target is used, within
// its rate limit, when no warm one has an expected cost below the mean duration of a flow. One
// that answers again and may be cold is used before the suspected ones.
func (p *Placer) choose(now time.Time, service cornelbay.ServiceName, tried []uint32) (*registry.Endpoint, error) {
	if p.view == nil {
		return nil, ErrNoTarget
	}
	var best, lastResort, due, cold candidate
	samples := choice.Sampler[*registry.Endpoint]{All: len(p.view.Hosts) <= leastLoadedLimit}
	unconfirmed := samples
	p.choices++
	for _, m := range p.view.Services[service] {
		if !m.Usable(now) || slices.Contains(tried, m.Cookie) {
			continue
		}
		c := p.estimate(now, m)
		switch {
		case now.Before(m.ColdUntil):
			cold.Keep(c)
		case p.ejected(now, m):
			lastResort.Keep(c)
		case !p.suspected(m) && p.unconfirmed(now, m):
			unconfirmed.Add(c, m.DataCentre == p.DataCentre)
		case !p.suspected(m):
			samples.Add(c, m.DataCentre == p.DataCentre)
		case p.probeDue(now, m):
			due.Keep(c)
		default:
			lastResort.Keep(c)
		}
	}
	best = samples.Best()
	if due.Target != nil && (best.Target == nil || len(tried) == 0 && due.Compare(best) < 0) {
		p.startProbe(now, due.Target)
		return due.Target, nil
	}
	if best.Target != nil && best.Cost < p.answers.MeanDuration(service) {
		return best.Target, nil
	}
	if cold.Target != nil && p.coldBucket(cold.Target).Take(now) {
		p.counters.Cold++
		return cold.Target, nil
	}
	if best.Target != nil {
		return best.Target, nil
	}
	best = unconfirmed.Best()
	switch {
	case best.Target != nil:
		return best.Target, nil
	case lastResort.Target != nil:
		if p.suspected(lastResort.Target) {
			p.reach.RecordUnreached(now)
		}
		return lastResort.Target, nil
	case cold.Target != nil:
		return nil, ErrCold
	}
	return nil, ErrNoTarget
}

// estimate computes the load and the cost of a target. The cost is the expected wait, which
// is zero while a slot is free and otherwise the time until the flows ahead have been
// served, plus the round trip to another data centre.
func (p *Placer) estimate(now time.Time, m *registry.Endpoint) candidate {
	slots := slotsOf(m)
	load := p.load(now, m.Cookie) / float64(slots)
	c := candidate{Target: m, Load: load, TieBreak: p.tieBreak(m)}
	if ahead := load + 1/float64(slots) - 1; ahead > 0 {
		c.Cost = time.Duration(ahead * float64(p.answers.MeanDuration(m.Service)))
	}
	c.Cost += p.distance(m)
	return c
}

// distance returns what it costs a flow to leave this host's data centre for a target.
func (p *Placer) distance(m *registry.Endpoint) time.Duration {
	if m.DataCentre == p.DataCentre {
		return 0
	}
	return p.Policies.Distance.Or(func(cornelbay.DataCentreName) time.Duration { return crossDataCentreCost }, m.DataCentre)
}

// load estimates the active flows at a target: those of this host plus the average that
// other hosts had there in their last reports.
func (p *Placer) load(now time.Time, cookie uint32) float64 {
	n := p.heard.At(now, cookie)
	if t, ok := p.targets[cookie]; ok {
		n += float64(t.open)
	}
	return n
}
