package loads

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/outlier"
)

// Sum adds up the reports of several hosts. Its zero value has none. It is not safe for
// concurrent use.
type Sum struct {
	reports  map[cornelbay.HostName]Report
	outcomes map[uint32]outlier.Outcome
}

// Add applies the report of a host: its loads replace those of its last one, and its
// outcomes add up until they are taken.
func (s *Sum) Add(from cornelbay.HostName, r Report) {
	if s.reports == nil {
		s.reports = make(map[cornelbay.HostName]Report)
	}
	s.reports[from] = Report{At: r.At, Loads: r.Loads}
}

// AddOutcomes adds outcomes to those that wait to be taken.
func (s *Sum) AddOutcomes(outcomes map[uint32]outlier.Outcome) {
	if s.outcomes == nil {
		s.outcomes = make(map[uint32]outlier.Outcome)
	}
	for cookie, o := range outcomes {
		s.outcomes[cookie] = s.outcomes[cookie].Plus(o)
	}
}

// Loads returns the sums of the loads in all reports that are not too old, and drops the
// others.
func (s *Sum) Loads(now time.Time) map[uint32]float64 {
	total := make(map[uint32]float64)
	for host, r := range s.reports {
		if now.Sub(r.At) > Lifetime {
			delete(s.reports, host)
			continue
		}
		addLoads(total, r.Loads)
	}
	return total
}

func addLoads(total, loads map[uint32]float64) {
	for cookie, n := range loads {
		total[cookie] += n
	}
}

// TakeOutcomes removes and returns the outcomes of at most n targets, those with most
// failures first.
func (s *Sum) TakeOutcomes(n int) map[uint32]outlier.Outcome {
	if len(s.outcomes) <= n {
		all := s.outcomes
		s.outcomes = nil
		return all
	}
	cookies := slices.SortedFunc(maps.Keys(s.outcomes), func(a, b uint32) int {
		x, y := s.outcomes[a], s.outcomes[b]
		return cmp.Or(cmp.Compare(y.Failed, x.Failed), cmp.Compare(y.Ended, x.Ended), cmp.Compare(a, b))
	})
	taken := make(map[uint32]outlier.Outcome, n)
	for _, cookie := range cookies[:n] {
		taken[cookie] = s.outcomes[cookie]
		delete(s.outcomes, cookie)
	}
	return taken
}

// Relay computes the loads that hosts in a tree report to each other: each host sends the
// host above it the sum of its own and those below it, and gets the sum of all. Its zero
// value has heard of none. It is not safe for concurrent use.
type Relay struct {
	// below are the reports of hosts below, leads those of the leads of other data centres.
	below, leads Sum
	// above is the last sum of all hosts, from the host above.
	above Report
	// own are the loads that this host last reported.
	own map[uint32]float64
}

// ReceiveBelow applies a report of a host below.
func (r *Relay) ReceiveBelow(from cornelbay.HostName, report Report) { r.below.Add(from, report) }

// ReceiveLead applies the report of the lead of another data centre.
func (r *Relay) ReceiveLead(from cornelbay.HostName, report Report) { r.leads.Add(from, report) }

// ReceiveAbove applies the sum of all hosts, as the host above reports it.
func (r *Relay) ReceiveAbove(report Report) { r.above = report }

// Up returns the loads to report to the host above, or as lead to other data centres: those
// of this host and of the hosts below it.
func (r *Relay) Up(now time.Time, own map[uint32]float64) map[uint32]float64 {
	r.own = own
	total := r.below.Loads(now)
	addLoads(total, own)
	return total
}

// Total returns the loads to report to the hosts below: those of all hosts, as far as this
// host knows them. up is the result of Up.
func (r *Relay) Total(now time.Time, lead bool, up map[uint32]float64) map[uint32]float64 {
	if !lead && now.Sub(r.above.At) <= Lifetime {
		return r.above.Loads
	}
	total := r.leads.Loads(now)
	addLoads(total, up)
	return total
}

// Others returns the loads of the other hosts in a total that includes those that this host
// last reported.
func (r *Relay) Others(total map[uint32]float64) map[uint32]float64 {
	others := make(map[uint32]float64, len(total))
	for cookie, n := range total {
		if n -= r.own[cookie]; n > 0 {
			others[cookie] = n
		}
	}
	return others
}

// Largest returns the n largest loads.
func Largest(loads map[uint32]float64, n int) map[uint32]float64 {
	return largest(loads, n, func(uint32) bool { return false })
}

// RestOfTargets is a cookie that no target has. In a Report its load is the mean load of
// the targets that the report leaves out.
const RestOfTargets = 0

// Digest returns the loads of n targets: of the preferred first, such as those of the own data
// centre, and among these and the others the largest. The others are represented by their mean.
func Digest(loads map[uint32]float64, n int, preferred func(cookie uint32) bool) map[uint32]float64 {
	digest := largest(loads, n, preferred)
	if len(digest) == len(loads) {
		return loads
	}
	rest := 0.0
	for cookie, load := range loads {
		if _, ok := digest[cookie]; !ok {
			rest += load
		}
	}
	digest[RestOfTargets] = rest / float64(len(loads)-len(digest))
	return digest
}

// largest returns the n largest loads, starting with those of preferred targets.
func largest(loads map[uint32]float64, n int, preferred func(uint32) bool) map[uint32]float64 {
	if len(loads) <= n {
		return loads
	}
	first := make(map[uint32]bool)
	for cookie := range loads {
		if preferred(cookie) {
			first[cookie] = true
		}
	}
	cookies := slices.SortedFunc(maps.Keys(loads), func(a, b uint32) int {
		if first[a] != first[b] {
			if first[a] {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(loads[b], loads[a]), cmp.Compare(a, b))
	})
	chosen := make(map[uint32]float64, n+1)
	for _, cookie := range cookies[:n] {
		chosen[cookie] = loads[cookie]
	}
	return chosen
}
