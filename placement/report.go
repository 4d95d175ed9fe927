package placement

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/outlier"
	"github.com/cornelbay/cornelbay/registry"
)

// reportLife is the age from which another host's report is no longer counted:
// some of its usual intervals.
const reportLife = time.Second

// Report is what one host tells of the flows that it has open.
type Report struct {
	At time.Time
	// Loads are the flows that were active at each target on average since the
	// report before, by the target's cookie.
	Loads map[uint32]float64
	// Outcomes are those of its flows since the last report that told of any, by the
	// target's cookie.
	Outcomes map[uint32]outlier.Outcome
}

// smoothing is the time over which the reports of a host are averaged. All hosts
// hear the same report: one that counted as it is would draw their flows to the
// same targets until the next one comes.
const smoothing = time.Second

// MergeReport takes over the report of another host.
func (p *Placer) MergeReport(from cornelbay.HostName, r Report) {
	if p.reports == nil {
		p.reports = make(map[cornelbay.HostName]Report)
	}
	old, ok := p.reports[from]
	if age := r.At.Sub(old.At); ok && age < reportLife {
		r.Loads = smooth(old.Loads, r.Loads, 1-math.Exp(-float64(age)/float64(smoothing)))
	}
	p.reports[from] = r
	for cookie, o := range r.Outcomes {
		if !p.unknown(cookie) {
			p.outliers.Hear(cookie, o)
		}
	}
}

// smooth moves old loads by a share towards new ones.
func smooth(old, new map[uint32]float64, share float64) map[uint32]float64 {
	loads := make(map[uint32]float64, len(new))
	for cookie, n := range new {
		loads[cookie] = share * n
	}
	for cookie, n := range old {
		if left := (1 - share) * n; left > leastLoad {
			loads[cookie] += left
		}
	}
	return loads
}

// leastLoad is the mean number of flows below which a load is forgotten.
const leastLoad = 0.01

// Report returns the own report and starts the next one.
func (p *Placer) Report(now, since time.Time) Report {
	r := Report{At: now, Loads: make(map[uint32]float64)}
	r.Outcomes = p.outliers.Report(now, func(cookie uint32) bool { return !p.unknown(cookie) })
	if r.Outcomes != nil {
		p.judge(now)
	}
	elapsed := float64(now.Sub(since))
	for cookie, t := range p.targets {
		t.integrate(now)
		if t.busy > 0 && elapsed > 0 {
			r.Loads[cookie] = t.busy / elapsed
		}
		t.busy = 0
		if t.open == 0 && t.unanswered == 0 && p.unknown(cookie) {
			delete(p.targets, cookie)
		}
	}
	for host, other := range p.reports {
		if now.Sub(other.At) > reportLife {
			delete(p.reports, host)
		}
	}
	return r
}

func (p *Placer) unknown(cookie uint32) bool {
	if p.view == nil {
		return true
	}
	_, ok := p.view.Cookies[cookie]
	return !ok
}

// TokenBucket bounds the openings at a cold target. One host has the budget of a
// target; the sum of its rate and its depth is half of what the target bears in
// a second, so that two hosts that each take themselves for it stay within.
type TokenBucket struct {
	// Rate is in openings a second, Burst in openings.
	Rate, Burst float64

	left   float64
	filled time.Time
}

// Take uses up one opening where there is one.
func (b *TokenBucket) Take(now time.Time) bool {
	if b.Burst < 1 {
		return false
	}
	if b.filled.IsZero() {
		b.left = b.Burst
	} else {
		b.left = min(b.Burst, b.left+b.Rate*now.Sub(b.filled).Seconds())
	}
	b.filled = now
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}

// budgetShare is the part of a cold target's bound that rate and depth take each.
const budgetShare = 0.25

// budget returns this host's budget of a cold target: an empty one where another
// host has it.
func (p *Placer) budget(m *registry.Member) *TokenBucket {
	if p.steward(m) != p.Self {
		return &TokenBucket{}
	}
	if p.budgets == nil {
		p.budgets = make(map[uint32]*TokenBucket)
	}
	b, ok := p.budgets[m.Cookie]
	if !ok {
		bound := m.ColdPerSecond*p.WarmUpFactor + p.WarmUpSlack
		b = &TokenBucket{Rate: bound * budgetShare, Burst: bound * budgetShare}
		p.budgets[m.Cookie] = b
	}
	return b
}

// steward returns the host that has a cold target's budget: by rendezvous among
// the hosts that are on record, alive or not, so that all find the same one. It
// is one of the target's data centre where there are any.
func (p *Placer) steward(m *registry.Member) cornelbay.HostName {
	var best, near cornelbay.HostName
	var top, nearTop uint64
	for _, h := range p.view.Hosts {
		score := xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(h.Name), m.Number))
		if score > top {
			best, top = h.Name, score
		}
		if h.DataCentre == m.DataCentre && score > nearTop {
			near, nearTop = h.Name, score
		}
	}
	if near != "" {
		return near
	}
	return best
}
