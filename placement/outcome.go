package placement

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/answers"
	"github.com/cornelbay/cornelbay/outlier"
	"github.com/cornelbay/cornelbay/registry"
)

// recordBrokenOff records a flow that fell silent before its request was answered as
// failed, unless its packets may arrive at another host or this host may have missed them.
func (p *Placer) recordBrokenOff(now time.Time, f *Flow) {
	e := &f.exchanges.Last
	if e.Begun.IsZero() || e.Partial || !e.AnsweredAt.IsZero() {
		return
	}
	if now.Sub(p.stall.ResumedAt) > 2*idleTimeout && now.Sub(p.foreignPacketAt) > 2*idleTimeout {
		p.recordOutcome(f, true)
	}
	f.exchanges.End()
}

// rejectionFactor is the number of usual times after which a short answer is taken as the
// rejection of a request that waited in the target's queue. Errors come earlier.
const rejectionFactor = 2

// recordOutcome records the outcome of the last exchange of a flow. Its duration is the time
// until the answer began, or until the caller's last packet.
func (p *Placer) recordOutcome(f *Flow, failed bool) {
	e := &f.exchanges.Last
	o := outlier.Outcome{Ended: 1, TotalDuration: f.lastSeen.Sub(e.Begun)}
	if !e.AnsweredAt.IsZero() {
		o.TotalDuration = e.AnsweredAt.Sub(e.Begun)
	}
	if s, ok := p.services[f.service]; ok {
		if failed && !e.AnsweredAt.IsZero() && p.overloaded(f, o.TotalDuration) {
			p.counters.Rejected++
			p.recordPace(s, f, 0, false)
			return
		}
		p.recordPace(s, f, o.TotalDuration, !failed)
	}
	if failed {
		o.Failed = 1
	}
	p.outliers.AddLocal(f.target.Cookie, o)
}

// overloaded reports whether a short answer is the rejection of a full target. It is no
// fault of the target, which would reject as much less from fewer flows.
func (p *Placer) overloaded(f *Flow, took time.Duration) bool {
	t := p.targetState(f.target.Cookie, f.lastSeen)
	return t.open > slotsOf(f.target) || took > rejectionFactor*p.answers.UsualRouteTime(f.route())
}

// contended reports whether a request that is sent now may wait at its target: the slots are those
// of other hosts, or this host has as many flows there as slots. Where callers keep flows open,
// other hosts have some at the targets of this host's share: then the load counts that all report.
func (p *Placer) contended(now time.Time, f *Flow) bool {
	if f.borrowed != nil || p.targetState(f.target.Cookie, now).contended() {
		return true
	}
	if s, ok := p.services[f.service]; !ok || !s.keepsFlows(now) || len(p.view.Hosts) == 1 {
		return false
	}
	return !p.heard.Any(now) || p.load(now, f.target.Cookie) >= float64(slotsOf(f.target))
}

// recordPace tells the limits of a service of the end of a request.
func (p *Placer) recordPace(s *serviceState, f *Flow, took time.Duration, served bool) {
	now, usual := f.lastSeen, p.answers.UsualRouteTime(f.route())
	if !p.answers.IsLearned(f.service) {
		usual = max(usual, took) // nothing shows that the answer is late
	}
	s.freed = true // the limit may grow
	l := p.targetState(f.target.Cookie, now).limits
	switch {
	case served && f.borrowed != nil:
		f.borrowed.limit.Answered(now, took, usual)
		f.borrowed.vacated.Add(now, f.target, took, usual)
	case served:
		if l != nil {
			l.window.Answered(now, took, usual, f.contended || s.shortage.active)
		}
		if !f.contended {
			p.recordUsualTime(s, f, took)
		}
	case f.borrowed != nil:
		f.borrowed.limit.Rejected(now)
	case l != nil:
		l.window.Rejected(now)
	}
}

// minUsualSample is the number of requests from which the usual time of a route is known well
// enough to be kept through a shortage, in which requests wait for those of other hosts.
const minUsualSample = 16

// recordUsualTime updates the usual times by a request that did not wait at its target.
func (p *Placer) recordUsualTime(s *serviceState, f *Flow, took time.Duration) {
	if s.shortage.active && p.answers.UsualSamples(f.route()) >= minUsualSample {
		return
	}
	p.answers.RecordUsual(f.route(), took)
}

// route identifies the route of a flow, and the service that it leads to.
func (f *Flow) route() answers.Key { return answers.Key{Route: f.key.Destination, Service: f.service} }

// truncated reports whether the last answer that the caller of a flow has acknowledged is
// much shorter than the mean of its route.
func (p *Placer) truncated(f *Flow) bool {
	return p.answers.RecordSize(f.route(), float64(f.exchanges.AnswerBytes()))
}

// ejectOutliers ejects the outliers among the targets of each service.
func (p *Placer) ejectOutliers(now time.Time) {
	if p.view == nil {
		return
	}
	p.answers.RetainRoutes(func(r netip.AddrPort) bool { return p.view.Routes[r] != nil })
	// Only targets with outcomes are looked at: a host hears of few targets of a large fleet.
	recorded := make(map[cornelbay.ServiceName][]uint32)
	for cookie := range p.outliers.Recorded() {
		if m, ok := p.view.Cookies[cookie]; ok && m.Usable(now) {
			recorded[m.Service] = append(recorded[m.Service], cookie)
		}
	}
	for name, targets := range recorded {
		slices.Sort(targets) // ejections stop at a share of the targets
		usable := 0
		for _, m := range p.view.Services[name] {
			if m.Usable(now) {
				usable++
			}
		}
		s, limited := p.services[name]
		for _, e := range p.outliers.EjectSome(now, targets, usable, limited && s.isShort()) {
			c := StateChange{Target: p.view.Cookies[e.Target], State: Slow, Outcome: e.Outcome, Duration: e.Duration}
			if e.Failing {
				c.State = Failing
			}
			p.counters.Ejected++
			if l := p.targetState(e.Target, now).limits; l != nil {
				l.window.Restart(now)
			}
			p.queueStateChange(c)
		}
	}
}

// ejected reports whether this host sends no flows to a target. After an ejection, while
// the target is on probation, only its owner sends it flows.
func (p *Placer) ejected(now time.Time, m *registry.Endpoint) bool {
	switch p.outliers.State(now, m.Cookie) {
	case outlier.Ejected:
		return true
	case outlier.OnProbation:
		return p.owner(m) != p.Self
	}
	return false
}
