package placement

import (
	"encoding/binary"
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/loads"
	"github.com/cornelbay/cornelbay/outlier"
	"github.com/cornelbay/cornelbay/pace"
	"github.com/cornelbay/cornelbay/registry"
)

// MergeReport applies the report of another host.
func (p *Placer) MergeReport(from cornelbay.HostName, r loads.Report) {
	p.heard.Merge(from, r)
	p.MergeOutcomes(r.Outcomes)
}

// Digest returns the loads of n targets, those of the own data centre first; see loads.Digest.
func (p *Placer) Digest(all map[uint32]float64, n int) map[uint32]float64 {
	return loads.Digest(all, n, func(cookie uint32) bool {
		if p.view == nil {
			return false
		}
		m, ok := p.view.Cookies[cookie]
		return ok && m.DataCentre == p.DataCentre
	})
}

// MergeOutcomes adds the outcomes of flows of other hosts.
func (p *Placer) MergeOutcomes(outcomes map[uint32]outlier.Outcome) {
	for cookie, o := range outcomes {
		if !p.unknown(cookie) {
			p.outliers.AddRemote(cookie, o)
		}
	}
}

// Report returns this host's report and starts the next reporting period; since is the
// time of the previous call. When outcomes are due, Report adds them and ejects outliers. It
// drops other hosts' reports that are too old, and the state of unknown targets that have
// no open flows and no unanswered openings.
func (p *Placer) Report(now, since time.Time) loads.Report {
	r := loads.Report{At: now, Loads: make(map[uint32]float64)}
	r.Outcomes = p.outliers.Report(now, func(cookie uint32) bool { return !p.unknown(cookie) })
	if r.Outcomes != nil {
		p.ejectOutliers(now)
	}
	for _, s := range p.services {
		if p.view != nil && s.inUse(now) {
			p.update(now, s)
			p.reportWindows(now, s)
		}
	}
	elapsed := float64(now.Sub(since))
	for cookie, t := range p.targets {
		t.integrate(now)
		if t.openIntegral > 0 && elapsed > 0 {
			r.Loads[cookie] = t.openIntegral / elapsed
		}
		t.openIntegral = 0
		if l := t.limits; l != nil && !l.leftAt.IsZero() && now.Sub(l.leftAt) > limitsRetention {
			t.limits = nil
		}
		if t.open == 0 && !p.suspicion.Unanswered(cookie) && p.unknown(cookie) {
			delete(p.targets, cookie)
			p.suspicion.Forget(cookie)
		}
	}
	if p.view != nil {
		maps.DeleteFunc(p.coldBuckets, func(cookie uint32, _ *pace.TokenBucket) bool { return p.unknown(cookie) })
	}
	p.heard.Expire(now)
	return r
}

func (p *Placer) unknown(cookie uint32) bool {
	if p.view == nil {
		return true
	}
	_, ok := p.view.Cookies[cookie]
	return !ok
}

// bucketShare is the fraction of a cold target's limit that rate and burst get each.
const bucketShare = 0.25

// coldBucket returns this host's token bucket for a cold target, which is empty unless
// this host is the target's owner.
func (p *Placer) coldBucket(m *registry.Endpoint) *pace.TokenBucket {
	if p.owner(m) != p.Self {
		return &pace.TokenBucket{}
	}
	if p.coldBuckets == nil {
		p.coldBuckets = make(map[uint32]*pace.TokenBucket)
	}
	b, ok := p.coldBuckets[m.Cookie]
	if !ok {
		limit := m.ColdPerSecond*p.WarmUpFactor + p.WarmUpSlack
		b = &pace.TokenBucket{Rate: limit * bucketShare, Burst: limit * bucketShare}
		p.coldBuckets[m.Cookie] = b
	}
	return b
}

// owner returns the host that alone may send flows to a target that is cold or on
// probation. It is chosen by rendezvous hashing among all registered hosts, alive or not,
// so that all hosts agree on it, and in the target's data centre if that has any host.
func (p *Placer) owner(m *registry.Endpoint) cornelbay.HostName {
	if p.hostsOf == nil || p.hostsOfGeneration != p.hostsGeneration {
		p.hostsOf, p.hostsOfGeneration = make(map[cornelbay.DataCentreName][]cornelbay.HostName), p.hostsGeneration
		for _, h := range p.view.Hosts {
			p.hostsOf[h.DataCentre] = append(p.hostsOf[h.DataCentre], h.Name)
		}
	}
	var best cornelbay.HostName
	var top uint64
	var key [64]byte
	consider := func(name cornelbay.HostName) {
		score := xxhash.Sum64(binary.BigEndian.AppendUint64(append(key[:0], name...), m.Number))
		if score > top {
			best, top = name, score
		}
	}
	if near := p.hostsOf[m.DataCentre]; len(near) > 0 {
		for _, name := range near {
			consider(name)
		}
		return best
	}
	for _, h := range p.view.Hosts {
		consider(h.Name)
	}
	return best
}
