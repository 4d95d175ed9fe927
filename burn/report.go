package burn

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cornelbay/cornelbay"
)

// Rule is a multi-window burn rate alert: it fires while the burn rate over both
// windows is above the rate that spends Share of the error budget within Long.
type Rule struct {
	// Severity is the name of the rule's alerts, "page" or "ticket". Rules may share
	// it.
	Severity    string
	Long, Short time.Duration
	// Share is the fraction of the error budget.
	Share float64
}

// Rules are the alert rules of a report. For a service level window of 30 days,
// their thresholds are burn rates of 14.4, 6 and 1.
var Rules = []Rule{
	{"page", time.Hour, 5 * time.Minute, 0.02},
	{"page", 6 * time.Hour, 30 * time.Minute, 0.05},
	{"ticket", 72 * time.Hour, 6 * time.Hour, 0.10},
}

// Threshold returns the burn rate above which the rule fires.
func (r Rule) Threshold(l cornelbay.ServiceLevel) float64 {
	return r.Share * float64(l.WindowHours) / r.Long.Hours()
}

// Windows are the windows over which burn rates are reported.
var Windows = []time.Duration{
	5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour, HistoryMinutes * time.Minute,
}

// Rate is the burn rate over a window. At a rate of 1, the error budget lasts
// exactly for the window of the service level.
type Rate struct {
	Window string  `json:"window"`
	Rate   float64 `json:"rate"`
	Bad    uint64  `json:"bad"`
	Total  uint64  `json:"total"`
}

// Alert is a firing alert rule.
type Alert struct {
	Name      string  `json:"name"`
	Long      string  `json:"long"`
	Short     string  `json:"short"`
	Threshold float64 `json:"threshold"`
}

// ServiceReport reports how a service meets its service level.
type ServiceReport struct {
	Service cornelbay.ServiceName  `json:"service"`
	Level   cornelbay.ServiceLevel `json:"level"`
	Good    uint64                 `json:"good"`
	Total   uint64                 `json:"total"`
	// Remaining is the fraction of the error budget that is left, relative to
	// the requests counted; it is negative if the budget is overspent.
	Remaining float64 `json:"remaining"`
	// CoveredHours is the time that the hosts' counts cover, at most the window
	// of the service level.
	CoveredHours float64 `json:"coveredHours"`
	Rates        []Rate  `json:"rates"`
	Alerts       []Alert `json:"alerts"`

	minutes []Minute
	now     int64
}

// Report is the service level report over a group of hosts.
type Report struct {
	Services []*ServiceReport `json:"services"`
	// SinceStart holds the number of requests to services with a service level
	// since the hosts started, from TotalMetric.
	SinceStart map[cornelbay.ServiceName]uint64 `json:"sinceStart"`
	// Unread lists the hosts whose counts could not be read, with the errors.
	Unread []string `json:"unread"`
}

// NewReport aggregates the hosts' counts. If the hosts disagree on a service
// level, the last one wins; this happens only while a change is rolled out.
func NewReport(hosts []Counts) *Report {
	r := &Report{SinceStart: make(map[cornelbay.ServiceName]uint64)}
	services := make(map[cornelbay.ServiceName]*ServiceReport)
	for _, h := range hosts {
		for _, c := range h.Services {
			s, ok := services[c.Service]
			if !ok {
				s = &ServiceReport{Service: c.Service}
				services[c.Service] = s
				r.Services = append(r.Services, s)
			}
			s.Level, s.now = c.Level, max(s.now, minuteOf(h.Now))
			s.minutes = append(s.minutes, c.Minutes...)
		}
	}
	for _, s := range r.Services {
		s.minutes = mergeMinutes(s.minutes)
		s.compute()
	}
	slices.SortFunc(r.Services, func(a, b *ServiceReport) int { return cmp.Compare(a.Service, b.Service) })
	return r
}

// mergeMinutes sums the counts of each minute over the hosts.
func mergeMinutes(ms []Minute) []Minute {
	slices.SortFunc(ms, func(a, b Minute) int { return cmp.Compare(a.Start, b.Start) })
	var out []Minute
	for _, m := range ms {
		if n := len(out); n > 0 && out[n-1].Start == m.Start {
			out[n-1].Good += m.Good
			out[n-1].Total += m.Total
			continue
		}
		out = append(out, m)
	}
	return out
}

func (s *ServiceReport) compute() {
	window := time.Duration(s.Level.WindowHours) * time.Hour
	all := s.burnRate(s.now, window)
	s.Good, s.Total = all.Total-all.Bad, all.Total
	s.Remaining = 1 - all.Rate
	if len(s.minutes) > 0 {
		s.CoveredHours = math.Min(float64(s.now-s.minutes[0].Start+1)/60, window.Hours())
	}
	for _, w := range Windows {
		s.Rates = append(s.Rates, s.burnRate(s.now, w))
	}
	for _, rule := range Rules {
		t := rule.Threshold(s.Level)
		if s.burnRate(s.now, rule.Long).Rate > t && s.burnRate(s.now, rule.Short).Rate > t {
			s.Alerts = append(s.Alerts, Alert{rule.Severity, formatWindow(rule.Long), formatWindow(rule.Short), t})
		}
	}
}

// burnRate returns the burn rate over the window that ends with the given minute.
func (s *ServiceReport) burnRate(end int64, window time.Duration) Rate {
	r := Rate{Window: formatWindow(window)}
	first := end - int64(window/time.Minute)
	for _, m := range s.minutes {
		if m.Start > first && m.Start <= end {
			r.Total += m.Total
			r.Bad += m.Total - m.Good
		}
	}
	if r.Total > 0 && s.Level.Objective < 1 {
		r.Rate = float64(r.Bad) / float64(r.Total) / (1 - s.Level.Objective)
	}
	return r
}

// formatWindow formats a duration as whole hours, or below an hour as minutes,
// such as 72h or 5m.
func formatWindow(d time.Duration) string {
	if d >= time.Hour {
		return (d / time.Hour * time.Hour).String()[:len((d/time.Hour*time.Hour).String())-len("0m0s")]
	}
	return d.String()[:len(d.String())-len("0s")]
}
