package balancer

import (
	"errors"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/cornelbay/cornelbay/peer"
	"github.com/cornelbay/cornelbay/platform"
)

type metrics struct {
	registry *prometheus.Registry
	verdicts *prometheus.CounterVec
	calls    *prometheus.CounterVec
	took     *prometheus.HistogramVec
	answered prometheus.Histogram
}

func (m *metrics) init(b *Balancer) {
	m.registry = prometheus.NewRegistry()
	m.verdicts = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cornelbay_packets_total", Help: "Packets by what was decided.",
	}, []string{"verdict"})
	m.calls = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cornelbay_store_calls_total", Help: "Calls to the platform's store by kind of object, call and outcome.",
	}, []string{"kind", "call", "outcome"})
	m.took = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "cornelbay_store_call_seconds", Help: "Duration of calls to the platform's store.",
		Buckets: prometheus.ExponentialBuckets(0.002, 2, 11),
	}, []string{"call"})
	m.answered = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "cornelbay_opening_seconds", Help: "Time from the opening of a flow to the caller's next packet.",
		Buckets: prometheus.ExponentialBuckets(0.002, 2, 11),
	})
	b.placer.Answered = func(d time.Duration) { m.answered.Observe(d.Seconds()) }
	m.registry.MustRegister(m.verdicts, m.calls, m.took, m.answered)
	for _, g := range []struct {
		name, help string
		value      func(c *Balancer, now time.Time) float64
	}{
		{"cornelbay_routing_age_seconds", "Time since the routes were confirmed.", func(b *Balancer, now time.Time) float64 {
			return now.Sub(b.tables.Routes.Confirmed()).Seconds()
		}},
		{"cornelbay_targets_age_seconds", "Time since the targets were confirmed.", func(b *Balancer, now time.Time) float64 {
			return now.Sub(b.tables.Targets.Confirmed()).Seconds()
		}},
		{"cornelbay_routing_revision", "Revision of the routes.", func(b *Balancer, _ time.Time) float64 {
			return float64(b.tables.Routes.Revision())
		}},
		{"cornelbay_targets_revision", "Revision of the targets.", func(b *Balancer, _ time.Time) float64 {
			return float64(b.tables.Targets.Revision())
		}},
		{"cornelbay_hosts_heard", "Other hosts that are heard.", func(b *Balancer, now time.Time) float64 {
			return float64(len(b.members.Alive(now)))
		}},
	} {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: g.name, Help: g.help}, func() float64 {
			b.stateMu.Lock()
			defer b.stateMu.Unlock()
			return g.value(b, time.Now())
		}))
	}
	m.registry.MustRegister(placementCollector{b})
}

func (m *metrics) count(verdict string) { m.verdicts.WithLabelValues(verdict).Inc() }

// refused counts a datagram of another host that was not opened.
func (m *metrics) refused(err error) {
	switch {
	case errors.Is(err, peer.ErrMAC):
		m.count("pulseMAC")
	case errors.Is(err, peer.ErrReplay):
		m.count("pulseReplay")
	default:
		m.count("pulseMalformed")
	}
}

func (b *Balancer) observeCall(kind, call string, err error, took time.Duration) {
	b.metrics.calls.WithLabelValues(kind, call, outcome(err)).Inc()
	b.metrics.took.WithLabelValues(call).Observe(took.Seconds())
}

func outcome(err error) string {
	for _, o := range []struct {
		err  error
		name string
	}{
		{nil, "ok"},
		{platform.ErrNotFound, "notFound"},
		{platform.ErrConflict, "conflict"},
		{platform.ErrHistoryGone, "historyGone"},
		{platform.ErrLimited, "limited"},
		{platform.ErrUnavailable, "unavailable"},
	} {
		if errors.Is(err, o.err) {
			return o.name
		}
	}
	return "noAnswer"
}

var openings = prometheus.NewDesc("cornelbay_openings_total", "Openings of flows by what became of them.", []string{"outcome"}, nil)

// placementCollector reads the counters of the placer.
type placementCollector struct{ b *Balancer }

// Describe implements prometheus.Collector.
func (c placementCollector) Describe(ch chan<- *prometheus.Desc) { ch <- openings }

// Collect implements prometheus.Collector.
func (c placementCollector) Collect(ch chan<- prometheus.Metric) {
	c.b.trafficMu.Lock()
	n := c.b.placer.Counters()
	c.b.trafficMu.Unlock()
	for _, o := range []struct {
		outcome string
		n       uint64
	}{{"opened", n.Opened}, {"answered", n.Answered}, {"unanswered", n.Unanswered}, {"retried", n.Retried}, {"refused", n.Refused}} {
		ch <- prometheus.MustNewConstMetric(openings, prometheus.CounterValue, float64(o.n), o.outcome)
	}
}
