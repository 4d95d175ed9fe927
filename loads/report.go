// Package loads has what hosts report to each other of the flows that they have open at
// targets: each host's own loads, their sums in a tree of hosts, and the loads of the others as
// one host has heard them. It performs no I/O and reads no clock.
package loads

import (
	"maps"
	"math"
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/outlier"
)

// Lifetime is the age beyond which another host's report is ignored: several report
// intervals.
const Lifetime = time.Second

// Report is one host's summary of the flows that it has open.
type Report struct {
	At time.Time
	// Loads are the average numbers of active flows at each target since the previous
	// report, by the target's cookie.
	Loads map[uint32]float64
	// Outcomes are the outcomes of the host's flows since its last report that had any, by
	// the target's cookie.
	Outcomes map[uint32]outlier.Outcome
}

// smoothingTime is the time constant over which the reports of a host are averaged. All
// hosts receive the same report: taken as it is, it would draw the flows of all of them to
// the same targets until the next report.
const smoothingTime = time.Second

// Heard are the loads in the last reports of other hosts. Its zero value has heard of none. It
// is not safe for concurrent use.
type Heard struct {
	reports map[cornelbay.HostName]Report
}

// Merge applies the report of another host.
func (h *Heard) Merge(from cornelbay.HostName, r Report) {
	if h.reports == nil {
		h.reports = make(map[cornelbay.HostName]Report)
	}
	old, ok := h.reports[from]
	if age := r.At.Sub(old.At); ok && age < Lifetime {
		r.Loads = smooth(old.Loads, r.Loads, 1-math.Exp(-float64(age)/float64(smoothingTime)))
	}
	h.reports[from] = r
}

// At returns the mean number of active flows that the other hosts have at a target.
func (h *Heard) At(now time.Time, cookie uint32) float64 {
	n := 0.0
	for _, r := range h.reports {
		if now.Sub(r.At) < Lifetime {
			n += loadIn(r.Loads, cookie)
		}
	}
	return n
}

// Any reports whether another host has reported lately.
func (h *Heard) Any(now time.Time) bool {
	for _, r := range h.reports {
		if now.Sub(r.At) < Lifetime {
			return true
		}
	}
	return false
}

// Expire drops the reports that are too old.
func (h *Heard) Expire(now time.Time) {
	maps.DeleteFunc(h.reports, func(_ cornelbay.HostName, r Report) bool { return now.Sub(r.At) > Lifetime })
}

// smooth returns the weighted mean of old and new loads; share is the weight of the new
// ones.
func smooth(old, new map[uint32]float64, share float64) map[uint32]float64 {
	rest := share*new[RestOfTargets] + (1-share)*old[RestOfTargets]
	loads := make(map[uint32]float64, len(new))
	for cookie, n := range new {
		loads[cookie] = share*n + (1-share)*loadIn(old, cookie)
	}
	for cookie, n := range old {
		if _, ok := new[cookie]; ok {
			continue
		}
		if n = share*loadIn(new, cookie) + (1-share)*n; math.Abs(n-rest) > minLoad {
			loads[cookie] = n
		}
	}
	if rest > 0 {
		loads[RestOfTargets] = rest
	}
	return loads
}

// loadIn returns the load of a target, or that of the targets left out.
func loadIn(loads map[uint32]float64, cookie uint32) float64 {
	if n, ok := loads[cookie]; ok {
		return n
	}
	return loads[RestOfTargets]
}

// minLoad is the mean number of flows below which a load is dropped.
const minLoad = 0.01
