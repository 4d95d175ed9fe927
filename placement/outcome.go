package placement

import (
	"maps"
	"net/netip"
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/outlier"
	"github.com/cornelbay/cornelbay/registry"
)

// truncatedShare is the fraction of a route's mean answer size below which a flow counts
// as failed. Error answers are short, whereas of ordinary answers, whose sizes deviate by
// 0.7 of their mean, hardly one in 100 is below this fraction.
const truncatedShare = 0.2

// answerKey identifies a route to a service.
type answerKey struct {
	route   netip.AddrPort
	service cornelbay.ServiceName
}

// recordBrokenOff records a flow that fell silent before its request was answered as
// failed, unless its packets may arrive at another host or this host may have missed them.
func (p *Placer) recordBrokenOff(now time.Time, f *Flow) {
	e := &f.exchange
	if e.begun.IsZero() || e.partial || !e.answeredAt.IsZero() {
		return
	}
	if now.Sub(p.stalledAt) > 2*idleTimeout && now.Sub(p.foreignPacketAt) > 2*idleTimeout {
		p.recordOutcome(f, true)
	}
	f.exchange = exchange{}
}

// recordOutcome records the outcome of the last exchange of a flow. Its duration is the time
// until the answer began, or until the caller's last packet.
func (p *Placer) recordOutcome(f *Flow, failed bool) {
	e := &f.exchange
	o := outlier.Outcome{Ended: 1, TotalDuration: f.lastSeen.Sub(e.begun)}
	if !e.answeredAt.IsZero() {
		o.TotalDuration = e.answeredAt.Sub(e.begun)
	}
	if failed {
		o.Failed = 1
	}
	p.outliers.AddLocal(f.target.Cookie, o)
}

// truncated reports whether the last answer that the caller of a flow has acknowledged is
// much shorter than the mean of its route.
func (p *Placer) truncated(f *Flow) bool {
	if p.meanAnswerBytes == nil {
		p.meanAnswerBytes = make(map[answerKey]float64)
	}
	key := answerKey{f.key.Destination, f.service}
	size := float64(f.lastAck - f.exchange.ackedBefore)
	mean, ok := p.meanAnswerBytes[key]
	if !ok {
		p.meanAnswerBytes[key] = size
		return false
	}
	p.meanAnswerBytes[key] = mean + durationWeight*(size-mean)
	return size < truncatedShare*mean
}

// ejectOutliers ejects the outliers among the targets of each service.
func (p *Placer) ejectOutliers(now time.Time) {
	if p.view == nil {
		return
	}
	maps.DeleteFunc(p.meanAnswerBytes, func(k answerKey, _ float64) bool { return p.view.Routes[k.route] == nil })
	for _, targets := range p.view.Services {
		var usable []uint32
		for _, m := range targets {
			if m.Usable(now) {
				usable = append(usable, m.Cookie)
			}
		}
		for _, e := range p.outliers.Eject(now, usable) {
			c := StateChange{Target: p.view.Cookies[e.Target], State: Slow, Outcome: e.Outcome, Duration: e.Duration}
			if e.Failing {
				c.State = Failing
			}
			p.counters.Ejected++
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
