// Package burn measures compliance with service levels: per-minute request counts
// on hosts, error budgets, burn rates, alerts and reports.
package burn

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cornelbay/cornelbay"
)

// HistoryMinutes is the number of minutes for which a host keeps counts in memory.
const HistoryMinutes = 72 * 60

// Minute holds the counts of one minute.
type Minute struct {
	// Start is the Unix time of the minute, in minutes.
	Start int64  `json:"start"`
	Good  uint64 `json:"good"`
	Total uint64 `json:"total"`
}

// History keeps the counts of the last HistoryMinutes per service, in memory only:
// a host that stops loses them. The zero value is ready to use. A History is safe
// for concurrent use.
type History struct {
	mu       sync.Mutex
	services map[cornelbay.ServiceName][]Minute
}

// Add counts one request. It is good if it was answered with a status below 500
// within the latency of the service level.
func (r *History) Add(now time.Time, name cornelbay.ServiceName, good bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.services == nil {
		r.services = make(map[cornelbay.ServiceName][]Minute)
	}
	ms := r.services[name]
	start := minuteOf(now)
	if len(ms) == 0 || ms[len(ms)-1].Start < start {
		ms = append(trim(ms, start), Minute{Start: start})
	}
	last := &ms[len(ms)-1]
	last.Total++
	if good {
		last.Good++
	}
	r.services[name] = ms
}

func minuteOf(t time.Time) int64 { return t.Unix() / 60 }

// trim drops the minutes that are HistoryMinutes or more before now.
func trim(ms []Minute, now int64) []Minute {
	for len(ms) > 0 && ms[0].Start <= now-HistoryMinutes {
		ms = ms[1:]
	}
	return ms
}

// ServiceCounts holds the counts of one service.
type ServiceCounts struct {
	Service cornelbay.ServiceName  `json:"service"`
	Level   cornelbay.ServiceLevel `json:"level"`
	// Minutes lists the minutes with requests, in order.
	Minutes []Minute `json:"minutes"`
}

// Counts is what a host serves under /burn.
type Counts struct {
	Now      time.Time       `json:"now"`
	Services []ServiceCounts `json:"services"`
}

// Counts returns the counts of the services in levels.
func (r *History) Counts(now time.Time, levels map[cornelbay.ServiceName]cornelbay.ServiceLevel) Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := Counts{Now: now}
	for name, level := range levels {
		out.Services = append(out.Services, ServiceCounts{
			Service: name, Level: level, Minutes: slices.Clone(trim(r.services[name], minuteOf(now))),
		})
	}
	slices.SortFunc(out.Services, func(a, b ServiceCounts) int { return cmp.Compare(a.Service, b.Service) })
	return out
}
