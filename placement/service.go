package placement

import (
	"maps"
	"slices"
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/admission"
	"github.com/cornelbay/cornelbay/choice"
	"github.com/cornelbay/cornelbay/outlier"
	"github.com/cornelbay/cornelbay/pace"
	"github.com/cornelbay/cornelbay/registry"
	"github.com/cornelbay/cornelbay/share"
)

// serviceState is the placer's state of a service whose flows are limited: those to a route with
// a latency objective.
type serviceState struct {
	name cornelbay.ServiceName
	// objective is the longest latency objective of the service's routes. It is used for
	// routes without one.
	objective time.Duration
	// usedAt is when this host last opened a flow of the service or let an opening wait.
	usedAt time.Time
	// division are the shares of all slots that the lists of targets are derived from.
	division division
	// listsOf is the view that the lists come from, and listedAt when they were last updated.
	listsOf  *registry.View
	listedAt time.Time
	// slots is the number of slots in this host's share, own the targets that they are at.
	slots float64
	own   []ownTarget
	// near are the other warm targets in the own data centre, far those in the others.
	near, far []*registry.Endpoint
	// cold are the cold targets that this host owns; see owner. owned caches, by cookie,
	// whether it owns a target, for the registered hosts of the generation ownedOf.
	cold    []*registry.Endpoint
	owned   map[uint32]bool
	ownedOf uint64
	// utilization is the mean load per slot that is reported for each data centre.
	utilization map[cornelbay.DataCentreName]float64
	// farUtilization is the lowest of the other data centres.
	farUtilization float64
	// outcomes are those of the flows of all hosts at all targets.
	outcomes outlier.Outcome
	// borrowedNear and borrowedFar are the flows that are open at targets beyond this host's
	// share, in the own data centre and in the others. One may be full while the others
	// have room.
	borrowedNear, borrowedFar borrowed
	// waiting are the openings that wait for a slot.
	waiting admission.Queue[*Flow]
	// furtherAt is when the last request arrived that was not the first of its flow.
	furtherAt time.Time
	// held are the requests on open flows that wait for room at their targets.
	held admission.HeldQueue[*Flow]
	// part is this host's part of the slots, demand are those that the requests of each priority
	// need, and atWork the active flows of each.
	part     pace.Part
	demand   pace.Demand
	atWork   map[int]int
	shortage shortage
	// ended is true if the service is no longer limited, but openings still wait.
	ended bool
	// freed is true if there may be room for waiting openings since the last dispatch.
	freed bool
	// routesChanged is true if the routes of waiting openings may be gone.
	routesChanged bool
}

// division is a division of the slots of a service's warm targets among the hosts.
type division struct {
	// shares are the slots that belong to this host, by the target's cookie.
	shares map[uint32]float64
	// targets are the divided slots, and hosts the generation of the registered hosts.
	targets []share.Target[uint32]
	hosts   uint64
}

// borrowed are flows that are open beyond this host's share of the slots.
type borrowed struct {
	open  int
	limit pace.Borrowing
	// vacated are the slots that borrowed flows have just left.
	vacated pace.Vacated[*registry.Endpoint]
}

// room reports whether one more flow may be opened. slots is this host's share, and idle is
// true if most slots of the targets are reported to be free and no opening waits.
func (b *borrowed) room(slots float64, idle bool) bool {
	limit := b.limit.Limit(slots)
	if idle {
		limit = max(limit, pace.InitialBorrowing)
	}
	return float64(b.open) < limit
}

// lowUtilization is the load per slot below which single late answers or rejections are no
// sign of a shortage.
const lowUtilization = 0.5

// ownTarget is a target of which some slots belong to this host.
type ownTarget struct {
	target *registry.Endpoint
	share  float64
}

// limitServices updates the set of limited services after a change of the routes.
func (p *Placer) limitServices() {
	objectives := make(map[cornelbay.ServiceName]time.Duration)
	for _, r := range p.view.Routes {
		if r.Objective <= 0 {
			continue
		}
		for _, s := range r.Shares {
			objectives[s.Service] = max(objectives[s.Service], r.Objective)
		}
	}
	if p.services == nil {
		p.services = make(map[cornelbay.ServiceName]*serviceState)
	}
	for name, s := range p.services {
		s.routesChanged = true
		_, limited := objectives[name]
		s.ended = !limited
		if s.ended && !s.waits() {
			p.unlimit(s)
		}
	}
	for name, objective := range objectives {
		s, ok := p.services[name]
		if !ok {
			s = &serviceState{name: name, atWork: make(map[int]int), waiting: admission.Queue[*Flow]{MaxLen: maxWaiting}}
			p.services[name] = s
			for _, f := range p.flows {
				if f.service == name && !f.idle && !f.closed && f.takesSlot {
					s.atWork[f.priority]++
				}
			}
		}
		s.objective = objective
	}
}

// waits reports whether any opening or request of a service waits.
func (s *serviceState) waits() bool { return s.waiting.Len() > 0 || s.held.Len() > 0 }

// unlimit drops the state of a service that is no longer limited and for which no opening
// waits.
func (p *Placer) unlimit(s *serviceState) {
	delete(p.services, s.name)
	p.answers.ForgetUsual(s.name)
	for _, o := range s.own {
		if t, ok := p.targets[o.target.Cookie]; ok {
			t.limits = nil
		}
	}
}

const (
	// unusedTime is the time without a flow of a service after which its shares and loads are
	// no longer updated with each report, but with its next flow.
	unusedTime = 10 * time.Second
	// divisionPause is the pause after a division of slots, for each host and target of the
	// division, which takes up to 0.5 µs for each: divisions use at most 1% of a core.
	divisionPause = 50 * time.Microsecond
	// limitsRetention is how long the limits of a target are kept after it has left this
	// host's share, since it may be back soon.
	limitsRetention = time.Minute
)

// inUse reports whether this host has had flows of a service lately.
func (s *serviceState) inUse(now time.Time) bool {
	return !s.usedAt.IsZero() && now.Sub(s.usedAt) < unusedTime || s.waits() || s.shortage.active
}

// update updates what changes with time: the lists of a service's targets, and the reported
// loads and outcomes.
func (p *Placer) update(now time.Time, s *serviceState) {
	if p.view == nil {
		return
	}
	p.divide(now, s)
	p.measureUtilization(now, s)
	p.sumOutcomes(s)
}

// divide updates the lists of a service's targets, which change with the view and with time.
// The slots are divided anew if the registered hosts or the warm targets have changed, but not
// before the pause after the last division is over.
func (p *Placer) divide(now time.Time, s *serviceState) {
	if p.view == nil {
		return
	}
	p.warm, p.warmTargets = p.warm[:0], p.warmTargets[:0]
	s.cold = s.cold[:0]
	cold := 0
	for _, m := range p.view.Services[s.name] {
		if !m.Usable(now) {
			continue
		}
		if now.Before(m.ColdUntil) {
			cold++
			if p.ownsCold(s, m) {
				s.cold = append(s.cold, m)
			}
			continue
		}
		p.warm = append(p.warm, m)
		p.warmTargets = append(p.warmTargets, share.Target[uint32]{Key: m.Cookie, DataCentre: m.DataCentre, Slots: float64(slotsOf(m))})
	}
	if len(s.owned) > 2*cold {
		clear(s.owned)
	}
	changed := s.division.hosts != p.hostsGeneration || !slices.Equal(s.division.targets, p.warmTargets)
	if changed && (s.division.shares == nil || !now.Before(p.nextDivision)) {
		p.nextDivision = now.Add(time.Duration(len(p.view.Hosts)+len(p.warm)) * divisionPause)
		s.division = division{
			shares:  share.Divide(registry.Host{Name: p.Self, DataCentre: p.DataCentre}, p.view.Hosts, p.warmTargets),
			targets: slices.Clone(p.warmTargets), hosts: p.hostsGeneration,
		}
	} else if !changed && s.listsOf == p.view {
		s.listedAt = now
		return
	}
	p.list(now, s)
	s.listsOf, s.listedAt = p.view, now
}

// list sorts the warm targets by whose slots they have.
func (p *Placer) list(now time.Time, s *serviceState) {
	for _, o := range s.own {
		if t, ok := p.targets[o.target.Cookie]; ok && t.limits != nil {
			t.limits.leftAt = now
		}
	}
	s.slots, s.own, s.near, s.far = 0, s.own[:0], s.near[:0], s.far[:0]
	for _, m := range p.warm {
		n := s.division.shares[m.Cookie]
		s.slots += n
		switch {
		case n >= pace.MinShare: // a smaller share allows no flows, but they can be borrowed
			s.own = append(s.own, ownTarget{m, n})
			p.targetState(m.Cookie, now).enterShare(now, m, n, s.listedAt)
		case m.DataCentre == p.DataCentre:
			s.near = append(s.near, m)
		default:
			s.far = append(s.far, m)
		}
	}
}

// ownsCold reports whether this host owns a cold target.
func (p *Placer) ownsCold(s *serviceState, m *registry.Endpoint) bool {
	if s.owned == nil || s.ownedOf != p.hostsGeneration {
		s.owned, s.ownedOf = make(map[uint32]bool), p.hostsGeneration
	}
	owns, ok := s.owned[m.Cookie]
	if !ok {
		owns = p.owner(m) == p.Self
		s.owned[m.Cookie] = owns
	}
	return owns
}

// targetLimits limit the flows of this host at a target of its share.
type targetLimits struct {
	window pace.Window
	// share are the slots of the target that belong to this host.
	share float64
	// startedMs is the start of the last endpoint.
	startedMs int64
	// leftAt is when the target left this host's share, and zero while it is part of it.
	leftAt time.Time
	// reportedState and reportedFactor are those of the window in the last StateChange.
	reportedState  pace.State
	reportedFactor float64
}

// own returns the limits of a target of this host's share.
func (t *targetState) own() *targetLimits {
	if t.limits == nil {
		t.limits = &targetLimits{}
	}
	return t.limits
}

// contended reports whether a request that is sent now may wait at the target: this host has
// as many flows there as slots, or the slots are those of other hosts.
func (t *targetState) contended() bool {
	l := t.limits
	return l == nil || !l.leftAt.IsZero() || float64(t.open) >= max(l.share, 1)
}

// enterShare records that a target is part of this host's share. Its window restarts if the
// target has started anew, or was cold when the share was last looked at.
func (t *targetState) enterShare(now time.Time, m *registry.Endpoint, share float64, lastSeen time.Time) {
	l := t.own()
	if l.startedMs != 0 && l.startedMs != m.StartedMs || !lastSeen.IsZero() && m.ColdUntil.After(lastSeen) {
		l.window.Restart(now)
	}
	l.share, l.startedMs, l.leftAt = share, m.StartedMs, time.Time{}
}

// speedChange is the ratio between two time factors that counts as a change of speed.
const speedChange = 2

// reportWindows queues the state changes of the windows of a service's targets in this host's
// share.
func (p *Placer) reportWindows(now time.Time, s *serviceState) {
	for _, o := range s.own {
		l := p.targetState(o.target.Cookie, now).own()
		f := l.window.TimeFactor(now)
		if state := l.window.State(); state != l.reportedState {
			l.reportedState = state
			change := StateChange{Target: o.target, State: RampEnded, TimeFactor: f}
			if state == pace.Ramping {
				change.State = RampBegun
			}
			p.queueStateChange(change)
		}
		if l.reportedFactor == 0 {
			l.reportedFactor = 1
		}
		if r := f / l.reportedFactor; r > speedChange || r < 1/speedChange {
			l.reportedFactor = f
			p.queueStateChange(StateChange{Target: o.target, State: SpeedChanged, TimeFactor: f})
		}
	}
}

// ServiceStats is the state of a limited service at one host.
type ServiceStats struct {
	// Slots is this host's share of the slots, and Limit the number of flows that it may have
	// open, of which Borrowing beyond its share.
	Slots, Limit, Borrowing float64
	// Borrowed is the number of flows that are open beyond the share, Waiting that of the
	// openings that wait for a slot, and Held that of the requests on open flows that wait.
	Borrowed, Waiting, Held int
	// AtWork are the requests at work, by priority.
	AtWork map[int]int
	// TimeFactors are those of the targets of the share, and Ramping the number of these
	// whose flows are limited by slow start.
	TimeFactors map[cornelbay.TargetName]float64
	Ramping     int
}

// ServiceStats returns the state of all limited services.
func (p *Placer) ServiceStats(now time.Time) map[cornelbay.ServiceName]ServiceStats {
	all := make(map[cornelbay.ServiceName]ServiceStats, len(p.services))
	for name, s := range p.services {
		st := ServiceStats{
			Slots: s.slots, Limit: p.concurrency(now, s), Borrowing: s.borrowable(),
			Borrowed: s.borrowed(), Waiting: s.waiting.Len(),
			Held: s.held.Len(), AtWork: maps.Clone(s.atWork), TimeFactors: make(map[cornelbay.TargetName]float64, len(s.own)),
		}
		for _, o := range s.own {
			w := &p.targetState(o.target.Cookie, now).own().window
			st.TimeFactors[o.target.Name] = w.TimeFactor(now)
			if w.State() == pace.Ramping {
				st.Ramping++
			}
		}
		all[name] = st
	}
	return all
}

func slotsOf(m *registry.Endpoint) int {
	if m.Slots <= 0 {
		return defaultSlots
	}
	return m.Slots
}

// measureUtilization updates the reported load per slot of each data centre, and how much of the
// load is this host's.
func (p *Placer) measureUtilization(now time.Time, s *serviceState) {
	utilization, slots := make(map[cornelbay.DataCentreName]float64), make(map[cornelbay.DataCentreName]float64)
	own, all, allSlots := 0.0, 0.0, 0.0
	for _, m := range p.view.Services[s.name] {
		if !m.Usable(now) || now.Before(m.ColdUntil) {
			continue
		}
		n := p.load(now, m.Cookie)
		utilization[m.DataCentre] += n
		slots[m.DataCentre] += float64(slotsOf(m))
		if t, ok := p.targets[m.Cookie]; ok {
			own += float64(t.open)
		}
		all, allSlots = all+n, allSlots+float64(slotsOf(m))
	}
	s.farUtilization = 1
	for dc := range utilization {
		utilization[dc] /= slots[dc]
		if dc != p.DataCentre {
			s.farUtilization = min(s.farUtilization, utilization[dc])
		}
	}
	s.utilization = utilization
	s.part.Update(now, own, all, allSlots)
}

// limit returns the number of flows that this host may have open at a target of its share.
func (p *Placer) limit(o ownTarget, t *targetState) int { return ceil(t.own().window.Limit(o.share)) }

// borrowable returns the number of flows that this host may have open beyond its share.
func (s *serviceState) borrowable() float64 {
	n := 0.0
	if len(s.near) > 0 {
		n += s.borrowedNear.limit.Limit(s.slots)
	}
	if len(s.far) > 0 {
		n += s.borrowedFar.limit.Limit(s.slots)
	}
	return n
}

// borrowed returns the number of flows that are open beyond this host's share.
func (s *serviceState) borrowed() int { return s.borrowedNear.open + s.borrowedFar.open }

// isShort reports whether openings wait at this host, or may wait at others as nearly all
// slots of a data centre are reported to be taken.
func (s *serviceState) isShort() bool {
	if s.shortage.active {
		return true
	}
	for _, u := range s.utilization {
		if u > shortUtilization {
			return true
		}
	}
	return false
}

// shortUtilization is the load per slot from which targets may be full.
const shortUtilization = 0.9

// concurrency returns the number of flows of a service that this host may have open.
func (p *Placer) concurrency(now time.Time, s *serviceState) float64 {
	n := s.borrowable()
	for _, o := range s.own {
		if !p.suspected(o.target) {
			n += float64(p.limit(o, p.targetState(o.target.Cookie, now)))
		}
	}
	return n
}

const (
	// acceptableFactor is the expected time, relative to the usual time, up to which a flow
	// stays at its host's share, and in its data centre: differences below it are within
	// the noise of the measured times, and other data centres cost bytes.
	acceptableFactor = 1.5
	// maxUtilization bounds the expected wait at the targets of a data centre.
	maxUtilization = 0.97
	// maxBorrowSamples is the number of targets of a list that are looked at to find
	// choice.SampleSize of them that may get a flow.
	maxBorrowSamples = 8
)

// chooseLimited returns the target with the shortest expected time for a flow of a limited
// service: of this host's share in its data centre while that time is acceptable, else of
// others there, else of other data centres. It answers the load of callers that want more
// than the slots can serve, and of targets that are not equally fast. from is nil for a
// target of this host's share. Without a target, full is true if there are targets but all
// have as many flows as this host may open.
func (p *Placer) chooseLimited(now time.Time, s *serviceState) (m *registry.Endpoint, from *borrowed, full bool) {
	if len(p.view.Hosts) <= leastLoadedLimit && !s.shortage.active && p.hasFreeSlot(now, s) {
		if m, err := p.choose(now, s.name, nil); err == nil {
			return m, nil, false
		}
	}
	p.choices++
	best, ownFar, due, full := p.chooseOwn(now, s)
	if due.BetterThan(best) {
		p.startProbe(now, due.Target)
		return due.Target, nil, false
	}
	acceptable := time.Duration(acceptableFactor * float64(p.answers.UsualTime(s.name)))
	if best.Target != nil && best.Cost <= acceptable {
		return best.Target, nil, false
	}
	var probe candidate
	var probeFrom *borrowed
	borrow := func(b *borrowed, list []*registry.Endpoint, utilization float64) {
		if len(list) == 0 {
			return
		}
		if !b.room(s.slots, utilization < lowUtilization && !s.shortage.active) {
			full = true
			return
		}
		if m := b.vacated.Latest(now, func(m *registry.Endpoint) bool { return m.Usable(now) && !p.suspected(m) && !p.avoided(now, s, m) }); m != nil {
			c := p.estimateVacated(s, m)
			if c.BetterThan(best) {
				best, from = c, b
			}
		}
		due := probe
		if c := p.sample(now, s, list, &due); c.BetterThan(best) {
			best, from = c, b
		}
		if due != probe {
			probe, probeFrom = due, b
		}
	}
	borrow(&s.borrowedNear, s.near, s.utilization[p.DataCentre])
	if best.Target == nil || best.Cost > acceptable {
		if ownFar.BetterThan(best) {
			best, from = ownFar, nil
		}
		borrow(&s.borrowedFar, s.far, s.farUtilization)
	}
	if probe.BetterThan(best) {
		p.startProbe(now, probe.Target)
		return probe.Target, probeFrom, false
	}
	if best.Target == nil || best.Cost > 2*acceptable {
		if m := p.takeCold(now, s); m != nil {
			return m, nil, false
		}
	}
	if from != nil {
		from.vacated.Take(best.Target)
	}
	return best.Target, from, best.Target == nil && full
}

// hasFreeSlot reports whether a target has a free slot, as far as reports tell. The hosts of a
// small fleet report so often that the least loaded target is the better choice while there
// is one.
func (p *Placer) hasFreeSlot(now time.Time, s *serviceState) bool {
	for _, m := range p.view.Services[s.name] {
		if !m.Usable(now) || now.Before(m.ColdUntil) || p.suspected(m) || p.ejected(now, m) || p.unconfirmed(now, m) {
			continue
		}
		if p.load(now, m.Cookie)+1 <= float64(slotsOf(m)) {
			return true
		}
	}
	return false
}

// chooseOwn returns the best targets of this host's share that may get a flow, in its data
// centre and in the others, and the best suspected one that is due for a probe. full is true
// if one has as many flows as this host may open.
func (p *Placer) chooseOwn(now time.Time, s *serviceState) (near, far, due candidate, full bool) {
	for _, o := range s.own {
		if !o.target.Usable(now) || p.avoided(now, s, o.target) {
			continue
		}
		t := p.targetState(o.target.Cookie, now)
		c := p.estimateOwn(now, s, o, t)
		switch {
		case p.suspected(o.target):
			if p.probeDue(now, o.target) {
				due.Keep(c)
			}
		case t.open >= p.limit(o, t) || t.open > 0 && c.Cost > s.objective:
			full = true
		case o.target.DataCentre == p.DataCentre:
			near.Keep(c)
		default:
			far.Keep(c)
		}
	}
	return near, far, due, full
}

// takeCold returns a cold target that this host owns and that may get a flow now, or nil.
func (p *Placer) takeCold(now time.Time, s *serviceState) *registry.Endpoint {
	for _, m := range s.cold {
		if m.Usable(now) && now.Before(m.ColdUntil) && p.coldBucket(m).Take(now) {
			p.counters.Cold++
			return m
		}
	}
	return nil
}

// avoided reports whether a target gets no flows because it is ejected, or may be cold. While
// requests wait for a slot, targets that are only slow are used.
func (p *Placer) avoided(now time.Time, s *serviceState, m *registry.Endpoint) bool {
	if p.unconfirmed(now, m) && !p.suspected(m) { // a suspected one may be due for a probe
		return true
	}
	return p.ejected(now, m) && !(s.shortage.active && p.outliers.IsSlow(m.Cookie))
}

// estimateOwn computes the expected time of a flow at a target of this host's share, all of
// whose flows this host knows.
func (p *Placer) estimateOwn(now time.Time, s *serviceState, o ownTarget, t *targetState) candidate {
	slots := max(o.share, 1)
	c := candidate{Target: o.target, Load: float64(t.open) / slots, TieBreak: p.tieBreak(o.target)}
	alone := float64(p.answers.UsualTime(s.name)) * t.own().window.TimeFactor(now)
	c.Cost = time.Duration(alone * (1 + max(float64(t.open)+1-slots, 0)/slots))
	c.Cost += p.distance(o.target)
	return c
}

func (p *Placer) tieBreak(m *registry.Endpoint) uint64 {
	return choice.Mix(p.choices<<32 | uint64(m.Cookie))
}

// sample returns the best of up to choice.SampleSize random targets of a list that may get a flow,
// by the expected time at a target whose other flows are not known. It offers suspected
// targets that are due for a probe to probe.
func (p *Placer) sample(now time.Time, s *serviceState, list []*registry.Endpoint, probe *candidate) candidate {
	var best candidate
	found := 0
	for i := uint64(0); i < maxBorrowSamples && len(list) > 0 && found < choice.SampleSize; i++ {
		m := list[choice.Mix(p.choices<<8|i)%uint64(len(list))]
		if !m.Usable(now) || p.avoided(now, s, m) {
			continue
		}
		switch c := p.estimateBorrowed(now, s, m); {
		case !p.suspected(m):
			best.Keep(c)
			found++
		case p.probeDue(now, m):
			probe.Keep(c)
		}
	}
	return best
}

// estimateBorrowed computes the expected time of a flow at a target beyond this host's share.
func (p *Placer) estimateBorrowed(now time.Time, s *serviceState, m *registry.Endpoint) candidate {
	u := min(s.utilization[m.DataCentre], maxUtilization)
	wait := u * u / (1 - u*u) // the mean wait in a queue with two servers, relative to the service time
	c := candidate{Target: m, Load: p.load(now, m.Cookie) / float64(slotsOf(m)), TieBreak: p.tieBreak(m)}
	c.Cost = time.Duration(float64(p.answers.UsualTime(s.name)) * p.timeFactor(m) * (1 + wait))
	c.Cost += p.distance(m)
	return c
}

// estimateVacated computes the expected time of a flow at a slot that one has just left.
func (p *Placer) estimateVacated(s *serviceState, m *registry.Endpoint) candidate {
	c := candidate{Target: m, TieBreak: p.tieBreak(m)}
	c.Cost = time.Duration(float64(p.answers.UsualTime(s.name)) * p.timeFactor(m))
	c.Cost += p.distance(m)
	return c
}

// timeFactor returns the time of requests at a target relative to the mean of its service,
// as all hosts report it.
func (p *Placer) timeFactor(m *registry.Endpoint) float64 {
	var all outlier.Outcome
	if s, ok := p.services[m.Service]; ok {
		all = s.outcomes
	}
	of := p.outliers.Outcome(m.Cookie)
	if of.Ended < minFactorSample || all.Mean() <= 0 {
		return 1
	}
	return float64(of.Mean()) / float64(all.Mean())
}

// minFactorSample is the number of requests below which reports say nothing of a target's
// speed.
const minFactorSample = 5

// sumOutcomes updates the outcomes of the flows of a service at all targets.
func (p *Placer) sumOutcomes(s *serviceState) {
	s.outcomes = outlier.Outcome{}
	for _, m := range p.view.Services[s.name] {
		s.outcomes = s.outcomes.Plus(p.outliers.Outcome(m.Cookie))
	}
}

func ceil(x float64) int {
	n := int(x)
	if float64(n) < x {
		n++
	}
	return n
}
