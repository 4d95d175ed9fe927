package burn

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cornelbay/cornelbay"
)

// Rule is one multi-window alert rule: it fires while the burn rate over both
// windows would spend Share of the budget within Long.
type Rule struct {
	Name        string
	Long, Short time.Duration
	// Share is the share of the whole budget.
	Share float64
}

// Rules are the alert rules of a report. With a window of 30 days their burn
// rates are 14.4, 6 and 1.
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

// Rate is the burn rate over a window: 1 spends the budget exactly.
type Rate struct {
	Window string  `json:"window"`
	Rate   float64 `json:"rate"`
	Bad    uint64  `json:"bad"`
	Total  uint64  `json:"total"`
}

// Alert is a rule that fires.
type Alert struct {
	Name      string  `json:"name"`
	Long      string  `json:"long"`
	Short     string  `json:"short"`
	Threshold float64 `json:"threshold"`
}

// ServiceReport tells how a service meets its level.
type ServiceReport struct {
	Service cornelbay.ServiceName  `json:"service"`
	Level   cornelbay.ServiceLevel `json:"level"`
	Good    uint64                 `json:"good"`
	Total   uint64                 `json:"total"`
	// Remaining is the share of the budget that is left of the requests seen; it
	// is negative when the budget is overspent.
	Remaining float64 `json:"remaining"`
	// CoveredHours is how far back the hosts' counts reach.
	CoveredHours float64 `json:"coveredHours"`
	Rates        []Rate  `json:"rates"`
	Alerts       []Alert `json:"alerts"`

	minutes []Minute
	now     int64
}

// Report is the report over a group of hosts.
type Report struct {
	Services []*ServiceReport `json:"services"`
	// SinceStart holds the hosts' own totals of level requests since they started.
	SinceStart map[cornelbay.ServiceName]uint64 `json:"sinceStart"`
	// Unread lists the hosts that did not answer.
	Unread []string `json:"unread"`
}

// NewReport sums the hosts' counts. A level of a later host replaces that of an
// earlier one; they differ only while a change comes into force.
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
		s.minutes = merge(s.minutes)
		s.fill()
	}
	slices.SortFunc(r.Services, func(a, b *ServiceReport) int { return cmp.Compare(a.Service, b.Service) })
	return r
}

// merge sums the counts of each minute.
func merge(ms []Minute) []Minute {
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

func (s *ServiceReport) fill() {
	window := time.Duration(s.Level.WindowHours) * time.Hour
	all := s.over(s.now, window)
	s.Good, s.Total = all.Total-all.Bad, all.Total
	s.Remaining = 1 - all.Rate
	if len(s.minutes) > 0 {
		s.CoveredHours = math.Min(float64(s.now-s.minutes[0].Start+1)/60, window.Hours())
	}
	for _, w := range Windows {
		s.Rates = append(s.Rates, s.over(s.now, w))
	}
	for _, rule := range Rules {
		t := rule.Threshold(s.Level)
		if s.over(s.now, rule.Long).Rate > t && s.over(s.now, rule.Short).Rate > t {
			s.Alerts = append(s.Alerts, Alert{rule.Name, span(rule.Long), span(rule.Short), t})
		}
	}
}

// over returns the burn rate over the window that ends with a minute.
func (s *ServiceReport) over(end int64, window time.Duration) Rate {
	r := Rate{Window: span(window)}
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

// span returns a duration without its zero parts, such as 5m or 72h.
func span(d time.Duration) string {
	if d >= time.Hour {
		return (d / time.Hour * time.Hour).String()[:len((d/time.Hour*time.Hour).String())-len("0m0s")]
	}
	return d.String()[:len(d.String())-len("0s")]
}
