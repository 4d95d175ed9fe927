package placement

import (
	"maps"
	"net/netip"
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/outlier"
	"github.com/cornelbay/cornelbay/registry"
)

// earlyShare is the part of the usual answer of a route below which a flow counts
// as failed: an error is short, and of answers with a deviation of 0.7 of their mean
// hardly one in 100 is shorter than this.
const earlyShare = 0.2

// answerKey names a route to a service.
type answerKey struct {
	route   netip.AddrPort
	service cornelbay.ServiceName
}

// finished counts the outcome of a flow that its caller has finished.
func (p *Placer) finished(f *Flow) {
	if !f.begun.IsZero() {
		p.note(f, p.early(f))
	}
}

// fellSilent counts a flow as broken off, unless its packets may come to another
// host or this one has missed them.
func (p *Placer) fellSilent(now time.Time, f *Flow) {
	if !f.begun.IsZero() && now.Sub(p.stood) > 2*idleAfter && now.Sub(p.stray) > 2*idleAfter {
		p.note(f, true)
	}
}

// note counts the outcome of a flow whose beginning this host has seen, once.
func (p *Placer) note(f *Flow, failed bool) {
	if f.noted {
		return
	}
	f.noted = true
	o := outlier.Outcome{Ended: 1, Took: f.seen.Sub(f.begun)}
	if failed {
		o.Failed = 1
	}
	p.outliers.Note(f.member.Cookie, o)
}

// early reports whether the answer that the caller of a flow has acknowledged is
// much shorter than is usual on its route.
func (p *Placer) early(f *Flow) bool {
	if p.answers == nil {
		p.answers = make(map[answerKey]float64)
	}
	key := answerKey{f.key.Destination, f.service}
	size := float64(f.acknowledged - f.base)
	mean, ok := p.answers[key]
	if !ok {
		p.answers[key] = size
		return false
	}
	p.answers[key] = mean + durationShare*(size-mean)
	return size < earlyShare*mean
}

// judge ejects the outliers among the targets of each service.
func (p *Placer) judge(now time.Time) {
	if p.view == nil {
		return
	}
	maps.DeleteFunc(p.answers, func(k answerKey, _ float64) bool { return p.view.Routes[k.route] == nil })
	for _, members := range p.view.Services {
		var usable []uint32
		for _, m := range members {
			if m.Usable(now) {
				usable = append(usable, m.Cookie)
			}
		}
		for _, e := range p.outliers.Judge(now, usable) {
			b := StateChange{Member: p.view.Cookies[e.Target], State: Slow, Outcome: e.Outcome, Duration: e.Pause}
			if e.Failing {
				b.State = Failing
			}
			p.counters.Ejected++
			p.believe(b)
		}
	}
}

// ejected reports whether this host gives a target no flows. While a target is on
// trial one host gives it some.
func (p *Placer) ejected(now time.Time, m *registry.Member) bool {
	switch p.outliers.State(now, m.Cookie) {
	case outlier.Ejected:
		return true
	case outlier.OnTrial:
		return p.steward(m) != p.Self
	}
	return false
}
