// Package answers keeps what the answers of services show: how long requests take, with and
// without a wait at their target, and how large answers are. It reads no clock.
package answers

import (
	"maps"
	"net/netip"
	"time"

	"github.com/cornelbay/cornelbay"
)

const (
	// InitialDuration is the assumed mean time of a request until one has ended.
	InitialDuration = 25 * time.Millisecond
	// sampleWeight is the weight of a new sample in the exponentially weighted moving
	// averages of times and sizes.
	sampleWeight = 1.0 / 64
	// minSizeSample is the number of answers below which their mean says nothing of the next.
	minSizeSample = 5
	// truncatedShare is the fraction of a route's mean answer size below which a flow counts
	// as failed. Error answers are short, whereas of ordinary answers, whose sizes deviate by
	// 0.7 of their mean, hardly one in 100 is below this fraction.
	truncatedShare = 0.2
)

// Key identifies a route to a service.
type Key struct {
	Route   netip.AddrPort
	Service cornelbay.ServiceName
}

// Stats are the times and sizes of answers. The zero value has no samples. It is not safe for
// concurrent use.
type Stats struct {
	// durations are the mean times of all requests of a service.
	durations map[cornelbay.ServiceName]time.Duration
	// sizes are the mean sizes of the answers.
	sizes map[Key]mean
	// usual and usualByRoute are the mean times of requests that did not wait at their targets.
	usual        map[cornelbay.ServiceName]mean
	usualByRoute map[Key]mean
}

// mean is the mean of the first samples, and then an exponentially weighted moving
// average. Its zero value has no samples.
type mean struct {
	value   float64
	samples int
}

func (m mean) plus(x float64) mean {
	m.samples++
	m.value += max(sampleWeight, 1/float64(m.samples)) * (x - m.value)
	return m
}

func add[K comparable](all *map[K]mean, k K, x float64) {
	if *all == nil {
		*all = make(map[K]mean)
	}
	(*all)[k] = (*all)[k].plus(x)
}

// RecordDuration records the time of a request, which may have waited.
func (s *Stats) RecordDuration(service cornelbay.ServiceName, took time.Duration) {
	if s.durations == nil {
		s.durations = make(map[cornelbay.ServiceName]time.Duration)
	}
	d := s.MeanDuration(service)
	s.durations[service] = d + time.Duration(sampleWeight*float64(took-d))
}

// MeanDuration returns the mean time of the requests of a service.
func (s *Stats) MeanDuration(service cornelbay.ServiceName) time.Duration {
	if d, ok := s.durations[service]; ok {
		return d
	}
	return InitialDuration
}

// RecordUsual records the time of a request that did not wait at its target.
func (s *Stats) RecordUsual(k Key, took time.Duration) {
	add(&s.usual, k.Service, float64(took))
	add(&s.usualByRoute, k, float64(took))
}

// UsualSamples returns the number of requests that the usual time of a route is the mean of.
func (s *Stats) UsualSamples(k Key) int { return s.usualByRoute[k].samples }

// UsualServiceSamples returns the number of requests that the usual time of a service is the mean of.
func (s *Stats) UsualServiceSamples(service cornelbay.ServiceName) int {
	return s.usual[service].samples
}

// IsLearned reports whether the usual time of a service comes from requests.
func (s *Stats) IsLearned(service cornelbay.ServiceName) bool { return s.usual[service].samples > 0 }

// UsualTime returns the mean time of a request of a service that does not wait at its target.
func (s *Stats) UsualTime(service cornelbay.ServiceName) time.Duration {
	if m, ok := s.usual[service]; ok {
		return time.Duration(m.value)
	}
	return InitialDuration
}

// UsualRouteTime returns the mean time of a request on a route that does not wait.
func (s *Stats) UsualRouteTime(k Key) time.Duration {
	if m, ok := s.usualByRoute[k]; ok {
		return time.Duration(m.value)
	}
	return s.UsualTime(k.Service)
}

// RecordSize records the size of an answer, and reports whether it is much smaller than the
// mean of its route.
func (s *Stats) RecordSize(k Key, size float64) (truncated bool) {
	m := s.sizes[k]
	add(&s.sizes, k, size)
	return m.samples >= minSizeSample && size < truncatedShare*m.value
}

// MeanSize returns the mean size of the answers of a route, and 0 without any.
func (s *Stats) MeanSize(k Key) float64 { return s.sizes[k].value }

// ForgetUsual drops the usual times of a service.
func (s *Stats) ForgetUsual(service cornelbay.ServiceName) {
	delete(s.usual, service)
	maps.DeleteFunc(s.usualByRoute, func(k Key, _ mean) bool { return k.Service == service })
}

// RetainRoutes drops the sizes and times of routes that are gone.
func (s *Stats) RetainRoutes(exists func(netip.AddrPort) bool) {
	gone := func(k Key, _ mean) bool { return !exists(k.Route) }
	maps.DeleteFunc(s.sizes, gone)
	maps.DeleteFunc(s.usualByRoute, gone)
}
