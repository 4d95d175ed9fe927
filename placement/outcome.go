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

// recordFinished records the outcome of a flow that its caller has finished.
func (p *Placer) recordFinished(f *Flow) {
	if !f.firstProgress.IsZero() {
		p.recordOutcome(f, p.truncated(f))
	}
}

// recordBrokenOff records a flow that fell silent as failed, unless its packets may arrive
// at another host or this host may have missed them.
func (p *Placer) recordBrokenOff(now time.Time, f *Flow) {
	if !f.firstProgress.IsZero() && now.Sub(p.stalledAt) > 2*idleTimeout && now.Sub(p.foreignPacketAt) > 2*idleTimeout {
		p.recordOutcome(f, true)
	}
}

// recordOutcome records, once, the outcome of a flow whose start this host has seen.
func (p *Placer) recordOutcome(f *Flow, failed bool) {
	if f.counted {
		return
	}
	f.counted = true
	o := outlier.Outcome{Ended: 1, TotalDuration: f.lastSeen.Sub(f.firstProgress)}
	if failed {
		o.Failed = 1
	}
	p.outliers.AddLocal(f.target.Cookie, o)
}

// truncated reports whether the answer that the caller of a flow has acknowledged is much
// shorter than the mean of its route.
func (p *Placer) truncated(f *Flow) bool {
	if p.meanAnswerBytes == nil {
		p.meanAnswerBytes = make(map[answerKey]float64)
	}
	key := answerKey{f.key.Destination, f.service}
	size := float64(f.lastAck - f.firstAck)
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
