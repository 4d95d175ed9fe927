package placement

import (
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/admission"
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
	// slots is the number of slots in this host's share, own the targets that they are at.
	slots float64
	own   []ownTarget
	// near are the other warm targets in the own data centre, far those in the others.
	near, far []*registry.Endpoint
	// cold are the cold targets that this host owns; see owner.
	cold []*registry.Endpoint
	// utilization is the mean load per slot that is reported for each data centre.
	utilization map[cornelbay.DataCentreName]float64
	// farUtilization is the lowest of the other data centres.
	farUtilization float64
	// borrowedNear and borrowedFar are the flows that are open at targets beyond this host's
	// share, in the own data centre and in the others. One may be full while the others
	// have room.
	borrowedNear, borrowedFar borrowed
	// waiting are the openings that wait for a slot.
	waiting  admission.Queue[*Flow]
	shortage shortage
	// routesChanged is true if the routes of waiting openings may be gone.
	routesChanged bool
}

// borrowed are flows that are open beyond this host's share of the slots.
type borrowed struct {
	open  int
	limit pace.Borrowing
}

// room reports whether one more flow may be opened. slots is this host's share, and
// utilization the load per slot that is reported of the targets.
func (b *borrowed) room(slots, utilization float64) bool {
	limit := b.limit.Limit(slots)
	if utilization < lowUtilization {
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
		if _, ok := objectives[name]; !ok && s.waiting.Len() == 0 && s.borrowed() == 0 {
			delete(p.services, name)
		}
	}
	for name, objective := range objectives {
		s, ok := p.services[name]
		if !ok {
			s = &serviceState{name: name, waiting: admission.Queue[*Flow]{MaxLen: maxWaiting}}
			p.services[name] = s
		}
		s.objective = objective
	}
}

// divide recomputes this host's shares of the slots of all limited services, which change
// with the registered hosts and with the targets that may get flows.
func (p *Placer) divide(now time.Time) {
	p.sharesStale = false
	if p.view == nil {
		return
	}
	self := registry.Host{Name: p.Self, DataCentre: p.DataCentre}
	for _, s := range p.services {
		var warm []share.Target[uint32]
		s.cold = s.cold[:0]
		for _, m := range p.view.Services[s.name] {
			if !m.Usable(now) {
				continue
			}
			t := p.targetState(m.Cookie, now)
			t.follow(now, m)
			if now.Before(m.ColdUntil) {
				if p.owner(m) == p.Self {
					s.cold = append(s.cold, m)
				}
				continue
			}
			warm = append(warm, share.Target[uint32]{Key: m.Cookie, DataCentre: m.DataCentre, Slots: float64(slotsOf(m))})
		}
		s.assign(p, share.Divide(self, p.view.Hosts, warm), warm)
	}
}

// assign sorts the warm targets by whose slots they have.
func (s *serviceState) assign(p *Placer, shares map[uint32]float64, warm []share.Target[uint32]) {
	s.slots, s.own, s.near, s.far = 0, s.own[:0], s.near[:0], s.far[:0]
	for _, t := range warm {
		m := p.view.Cookies[t.Key]
		n := shares[t.Key]
		switch {
		case n > 0:
			s.slots += n
			s.own = append(s.own, ownTarget{m, n})
		case m.DataCentre == p.DataCentre:
			s.near = append(s.near, m)
		default:
			s.far = append(s.far, m)
		}
	}
}

// follow restarts the window of a target that has started anew, or is no longer cold.
func (t *targetState) follow(now time.Time, m *registry.Endpoint) {
	cold := now.Before(m.ColdUntil)
	if t.startedMs != 0 && t.startedMs != m.StartedMs || t.cold && !cold {
		t.window.Restart(now)
	}
	t.cold, t.startedMs = cold, m.StartedMs
}

// speedChange is the ratio between two time factors that counts as a change of speed.
const speedChange = 2

// reportWindows queues the state changes of the windows of this host's share.
func (p *Placer) reportWindows(now time.Time) {
	for _, s := range p.services {
		for _, o := range s.own {
			t := p.targetState(o.target.Cookie, now)
			f := t.window.TimeFactor(now)
			if state := t.window.State(); state != t.reportedState {
				t.reportedState = state
				change := StateChange{Target: o.target, State: RampEnded, TimeFactor: f}
				if state == pace.Ramping {
					change.State = RampBegun
				}
				p.queueStateChange(change)
			}
			if t.reportedFactor == 0 {
				t.reportedFactor = 1
			}
			if r := f / t.reportedFactor; r > speedChange || r < 1/speedChange {
				t.reportedFactor = f
				p.queueStateChange(StateChange{Target: o.target, State: SpeedChanged, TimeFactor: f})
			}
		}
	}
}

// ServiceStats is the state of a limited service at one host.
type ServiceStats struct {
	// Slots is this host's share of the slots, and Limit the number of flows that it may have
	// open, of which Borrowing beyond its share.
	Slots, Limit, Borrowing float64
	// Borrowed is the number of flows that are open beyond the share, and Waiting that of
	// the openings that wait for a slot.
	Borrowed, Waiting int
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
			Slots: s.slots, Limit: p.concurrency(now, s), Borrowing: s.borrowingLimit(),
			Borrowed: s.borrowed(), Waiting: s.waiting.Len(), TimeFactors: make(map[cornelbay.TargetName]float64, len(s.own)),
		}
		for _, o := range s.own {
			t := p.targetState(o.target.Cookie, now)
			st.TimeFactors[o.target.Name] = t.window.TimeFactor(now)
			if t.window.State() == pace.Ramping {
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

// measureUtilization updates the reported load per slot of each data centre.
func (p *Placer) measureUtilization(now time.Time) {
	for _, s := range p.services {
		loads, slots := make(map[cornelbay.DataCentreName]float64), make(map[cornelbay.DataCentreName]float64)
		for _, m := range p.view.Services[s.name] {
			if m.Usable(now) && !now.Before(m.ColdUntil) {
				loads[m.DataCentre] += p.load(now, m.Cookie)
				slots[m.DataCentre] += float64(slotsOf(m))
			}
		}
		s.farUtilization = 1
		for dc := range loads {
			loads[dc] /= slots[dc]
			if dc != p.DataCentre {
				s.farUtilization = min(s.farUtilization, loads[dc])
			}
		}
		s.utilization = loads
	}
}

// limit returns the number of flows that this host may have open at a target of its share.
func (p *Placer) limit(o ownTarget, t *targetState) int { return ceil(t.window.Limit(o.share)) }

// concurrency returns the number of flows of a service that this host may have open.
func (p *Placer) concurrency(now time.Time, s *serviceState) float64 {
	n := s.borrowingLimit()
	for _, o := range s.own {
		if !p.suspected(o.target) {
			n += float64(p.limit(o, p.targetState(o.target.Cookie, now)))
		}
	}
	return n
}

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

// borrowed returns the number of flows that are open beyond this host's share.
func (s *serviceState) borrowed() int { return s.borrowedNear.open + s.borrowedFar.open }

// borrowingLimit returns the number of flows that may be open beyond this host's share.
func (s *serviceState) borrowingLimit() float64 {
	n := 0.0
	if len(s.near) > 0 {
		n += s.borrowedNear.limit.Limit(s.slots)
	}
	if len(s.far) > 0 {
		n += s.borrowedFar.limit.Limit(s.slots)
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
	// sampleSize of them that may get a flow.
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
		m, err := p.choose(now, s.name, nil)
		if err == nil {
			return m, nil, false
		}
	}
	p.choices++
	best, ownFar, due, full := p.chooseOwn(now, s)
	if due.target != nil && (best.target == nil || compareCandidates(due, best) < 0) {
		p.startProbe(now, due.target)
		return due.target, nil, false
	}
	acceptable := time.Duration(acceptableFactor * float64(p.usualTime(s.name)))
	if best.target != nil && best.cost <= acceptable {
		return best.target, nil, false
	}
	borrow := func(b *borrowed, list []*registry.Endpoint, utilization float64) {
		if len(list) == 0 {
			return
		}
		if !b.room(s.slots, utilization) {
			full = true
			return
		}
		for _, c := range p.sample(now, s, list) {
			if best.target == nil || compareCandidates(c, best) < 0 {
				best, from = c, b
			}
		}
	}
	borrow(&s.borrowedNear, s.near, s.utilization[p.DataCentre])
	if best.target == nil || best.cost > acceptable {
		if ownFar.target != nil && (best.target == nil || compareCandidates(ownFar, best) < 0) {
			best, from = ownFar, nil
		}
		borrow(&s.borrowedFar, s.far, s.farUtilization)
	}
	if best.target == nil || best.cost > 2*acceptable {
		if m := p.takeCold(now, s); m != nil {
			return m, nil, false
		}
	}
	return best.target, from, best.target == nil && full
}

// hasFreeSlot reports whether a target has a free slot, as far as reports tell. The hosts of a
// small fleet report so often that the least loaded target is the better choice while there
// is one.
func (p *Placer) hasFreeSlot(now time.Time, s *serviceState) bool {
	for _, m := range p.view.Services[s.name] {
		if !m.Usable(now) || now.Before(m.ColdUntil) || p.suspected(m) || p.ejected(now, m) {
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
				keepBest(&due, c)
			}
		case t.open >= p.limit(o, t) || t.open > 0 && c.cost > s.objective:
			full = true
		case o.target.DataCentre == p.DataCentre:
			keepBest(&near, c)
		default:
			keepBest(&far, c)
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

// avoided reports whether a target gets no flows because it is ejected. While requests wait
// for a slot, targets that are only slow are used.
func (p *Placer) avoided(now time.Time, s *serviceState, m *registry.Endpoint) bool {
	return p.ejected(now, m) && !(s.shortage.active && p.outliers.IsSlow(m.Cookie))
}

// estimateOwn computes the expected time of a flow at a target of this host's share, all of
// whose flows this host knows.
func (p *Placer) estimateOwn(now time.Time, s *serviceState, o ownTarget, t *targetState) candidate {
	slots := max(o.share, 1)
	c := candidate{target: o.target, load: float64(t.open) / slots, tieBreak: p.tieBreak(o.target)}
	time1 := float64(p.usualTime(s.name)) * t.window.TimeFactor(now)
	c.cost = time.Duration(time1 * (1 + max(float64(t.open)+1-slots, 0)/slots))
	if o.target.DataCentre != p.DataCentre {
		c.cost += crossDataCentreCost
	}
	return c
}

func (p *Placer) tieBreak(m *registry.Endpoint) uint64 { return mix(p.choices<<32 | uint64(m.Cookie)) }

// sample returns up to sampleSize random targets of a list that may get a flow, with the
// expected time at a target whose other flows are not known.
func (p *Placer) sample(now time.Time, s *serviceState, list []*registry.Endpoint) []candidate {
	var found []candidate
	for i := uint64(0); i < maxBorrowSamples && len(list) > 0 && len(found) < sampleSize; i++ {
		m := list[mix(p.choices<<8|i)%uint64(len(list))]
		if !m.Usable(now) || p.suspected(m) || p.avoided(now, s, m) {
			continue
		}
		u := min(s.utilization[m.DataCentre], maxUtilization)
		wait := u * u / (1 - u*u) // the mean wait in a queue with two servers, relative to the service time
		c := candidate{target: m, load: p.load(now, m.Cookie) / float64(slotsOf(m)), tieBreak: p.tieBreak(m)}
		c.cost = time.Duration(float64(p.usualTime(s.name)) * p.timeFactor(m) * (1 + wait))
		if m.DataCentre != p.DataCentre {
			c.cost += crossDataCentreCost
		}
		found = append(found, c)
	}
	return found
}

// timeFactor returns the time of requests at a target relative to the mean of its service,
// as all hosts report it.
func (p *Placer) timeFactor(m *registry.Endpoint) float64 {
	all := p.serviceOutcomes[m.Service]
	of := p.outliers.Outcome(m.Cookie)
	if of.Ended < minFactorSample || all.Mean() <= 0 {
		return 1
	}
	return float64(of.Mean()) / float64(all.Mean())
}

// minFactorSample is the number of requests below which reports say nothing of a target's
// speed.
const minFactorSample = 5

// sumOutcomes updates the outcomes of the flows of each limited service.
func (p *Placer) sumOutcomes() {
	p.serviceOutcomes = make(map[cornelbay.ServiceName]outlier.Outcome, len(p.services))
	for name := range p.services {
		var all outlier.Outcome
		for _, m := range p.view.Services[name] {
			all = all.Plus(p.outliers.Outcome(m.Cookie))
		}
		p.serviceOutcomes[name] = all
	}
}

func ceil(x float64) int {
	n := int(x)
	if float64(n) < x {
		n++
	}
	return n
}
