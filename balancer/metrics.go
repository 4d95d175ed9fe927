package balancer

import (
	"errors"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/cornelbay/cornelbay/gossip"
	"github.com/cornelbay/cornelbay/peer"
	"github.com/cornelbay/cornelbay/placement"
	"github.com/cornelbay/cornelbay/platform"
	"github.com/cornelbay/cornelbay/readiness"
	"github.com/cornelbay/cornelbay/registry"
)

type metrics struct {
	registry             *prometheus.Registry
	packets              *prometheus.CounterVec
	shed                 *prometheus.CounterVec
	storeCalls           *prometheus.CounterVec
	callSeconds          *prometheus.HistogramVec
	openingSeconds       prometheus.Histogram
	disseminationSeconds prometheus.Histogram
	peerBytes            *prometheus.CounterVec
	pulls                *prometheus.CounterVec
	rotation             *prometheus.CounterVec
}

// Labels of the bytes sent to other hosts.
const (
	bytesDatagrams = "datagrams"
	bytesPacked    = "packed"
)

// Labels of the pulls answered. A pull of all routes or targets is whole.
const (
	pullWhole = "whole"
	pullDelta = "delta"
)

func (m *metrics) init(b *Balancer) {
	m.registry = prometheus.NewRegistry()
	m.packets = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cornelbay_packets_total", Help: "Packets by what was decided.",
	}, []string{"verdict"})
	m.shed = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cornelbay_shed_total", Help: "Waiting openings that were refused, by priority and reason.",
	}, []string{"priority", "reason"})
	m.storeCalls = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cornelbay_store_calls_total", Help: "Calls to the platform's store by kind of object, call and outcome.",
	}, []string{"kind", "call", "outcome"})
	m.callSeconds = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "cornelbay_store_call_seconds", Help: "Duration of calls to the platform's store.",
		Buckets: prometheus.ExponentialBuckets(0.002, 2, 11),
	}, []string{"call"})
	m.openingSeconds = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "cornelbay_opening_seconds", Help: "Time from the opening of a flow to the caller's next packet.",
		Buckets: prometheus.ExponentialBuckets(0.002, 2, 11),
	})
	b.placer.OnAnswered = func(d time.Duration) { m.openingSeconds.Observe(d.Seconds()) }
	m.disseminationSeconds = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name:    "cornelbay_dissemination_seconds",
		Help:    "Time from when the first host learned of a change until this host did.",
		Buckets: prometheus.ExponentialBuckets(0.002, 2, 13),
	})
	m.peerBytes = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cornelbay_peer_sent_bytes_total", Help: "Bytes sent to other hosts in datagrams and in compressed replies to pulls.",
	}, []string{"in"})
	m.pulls = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cornelbay_pulls_answered_total", Help: "Pulls of other hosts that were answered, by whether they asked for whole tables.",
	}, []string{"asked"})
	m.rotation = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cornelbay_rotation_changes_total", Help: "Changes of whether this host is ready although it runs, by the reason from then on.",
	}, []string{"reason"})
	for _, r := range []readiness.Reason{readiness.Serving, readiness.NoTargets, readiness.Minority} {
		m.rotation.WithLabelValues(string(r)) // so that the counters exist before the first change
	}
	m.registry.MustRegister(
		m.packets, m.shed, m.storeCalls, m.callSeconds, m.openingSeconds, m.disseminationSeconds, m.peerBytes, m.pulls, m.rotation,
	)
	for _, g := range []struct {
		name, help string
		value      func(c *Balancer, now time.Time) float64
	}{
		{"cornelbay_routing_age_seconds", "Time since the routes were confirmed.", func(b *Balancer, now time.Time) float64 {
			return now.Sub(b.tables.Routes.ConfirmedAt()).Seconds()
		}},
		{"cornelbay_targets_age_seconds", "Time since the targets were confirmed.", func(b *Balancer, now time.Time) float64 {
			return now.Sub(b.tables.Targets.ConfirmedAt()).Seconds()
		}},
		{"cornelbay_store_era", "Number of times that the store came back from an older copy.", func(b *Balancer, _ time.Time) float64 {
			return float64(gossip.RevisionsOf(&b.tables).Era())
		}},
		{"cornelbay_routing_revision", "Revision of the routes in the present era of the store.", func(b *Balancer, _ time.Time) float64 {
			return float64(b.tables.Routes.Revision().Change())
		}},
		{"cornelbay_targets_revision", "Revision of the targets in the present era of the store.", func(b *Balancer, _ time.Time) float64 {
			return float64(b.tables.Targets.Revision().Change())
		}},
		{"cornelbay_peer_connections", "Connections of other hosts that are open.", func(b *Balancer, _ time.Time) float64 {
			return float64(b.rpcServer.Connections())
		}},
		{"cornelbay_ready", "1 while routers should send packets to this host.", func(b *Balancer, _ time.Time) float64 {
			if b.readiness() == readiness.Serving {
				return 1
			}
			return 0
		}},
		{"cornelbay_hosts_alive", "Hosts of the data centre that are alive, or 0 if that is not known.", func(b *Balancer, now time.Time) float64 {
			return float64(b.dataCentreCensus(now, b.ownCensus(now)).Alive)
		}},
		{"cornelbay_hosts_unable", "Hosts of the data centre whose openings find only targets that do not answer.", func(b *Balancer, now time.Time) float64 {
			return float64(b.dataCentreCensus(now, b.ownCensus(now)).Unable)
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

// count increments the counter of a verdict. The label also has events of the exchange
// between hosts, such as pulseFailed and pullFailed.
func (m *metrics) count(verdict string) { m.packets.WithLabelValues(verdict).Inc() }

// countShed counts a waiting opening that was refused.
func (m *metrics) countShed(a placement.Admission) {
	m.shed.WithLabelValues(strconv.Itoa(a.Priority), string(a.Reason)).Inc()
}

// countPull counts a pull and the size of its compressed reply.
func (m *metrics) countPull(p gossip.Pull, r gossip.PullReply) {
	asked := pullDelta
	if p.Since.Routing == 0 || p.Since.Targets == 0 {
		asked = pullWhole
	}
	m.pulls.WithLabelValues(asked).Inc()
	m.peerBytes.WithLabelValues(bytesPacked).Add(float64(len(r.Packed)))
}

// countRejected counts a datagram from another host that could not be opened.
func (m *metrics) countRejected(err error) {
	switch {
	case errors.Is(err, peer.ErrMAC):
		m.count("pulseMAC")
	case errors.Is(err, peer.ErrReplay):
		m.count("pulseReplay")
	default:
		m.count("pulseMalformed")
	}
}

// observeDissemination observes the ages of the changes since a revision. Full tables
// are skipped: they go to starting hosts, and their ages say nothing about
// dissemination.
func observeDissemination[T any](h prometheus.Histogram, since registry.Revision, d registry.Delta[T]) {
	if d.Full {
		return
	}
	for _, r := range d.Records {
		if r.ChangedRevision > since {
			h.Observe(r.Age.Seconds())
		}
	}
}

func (b *Balancer) observeCall(kind, call string, err error, took time.Duration) {
	b.metrics.storeCalls.WithLabelValues(kind, call, outcome(err)).Inc()
	b.metrics.callSeconds.WithLabelValues(call).Observe(took.Seconds())
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
		{platform.ErrRateLimited, "limited"},
		{platform.ErrUnavailable, "unavailable"},
	} {
		if errors.Is(err, o.err) {
			return o.name
		}
	}
	return "noAnswer"
}

// The outcomes of openings are those of placement.Counters: refused ones found no
// target, and cold ones went to a target that was still warming up.
var (
	openingsDesc        = prometheus.NewDesc("cornelbay_openings_total", "Openings of flows by what became of them.", []string{"outcome"}, nil)
	targetOpeningsDesc  = prometheus.NewDesc("cornelbay_target_openings_total", "Openings at each target by what became of them.", []string{"target", "outcome"}, nil)
	unconfirmedDesc     = prometheus.NewDesc("cornelbay_unconfirmed_targets", "Targets that answer again and are not used, as they may be cold, until the store confirms them.", nil, nil)
	waitingDesc         = prometheus.NewDesc("cornelbay_waiting", "Openings that wait for a slot.", []string{"service"}, nil)
	heldDesc            = prometheus.NewDesc("cornelbay_held", "Requests on open flows that wait for more urgent ones.", []string{"service"}, nil)
	requestsDesc        = prometheus.NewDesc("cornelbay_requests", "Requests of a service at work, by the priority of their routes.", []string{"service", "priority"}, nil)
	heldTotalDesc       = prometheus.NewDesc("cornelbay_held_total", "Requests on open flows that had to wait.", nil, nil)
	flowLimitDesc       = prometheus.NewDesc("cornelbay_flow_limit", "Flows that this host may have open, in its share of the slots and beyond.", []string{"service", "part"}, nil)
	rampingDesc         = prometheus.NewDesc("cornelbay_ramping_targets", "Targets of this host's share that are in slow start.", []string{"service"}, nil)
	timeFactorDesc      = prometheus.NewDesc("cornelbay_target_time_factor", "Time of a request at a target of this host's share, relative to the usual time.", []string{"target"}, nil)
	shortagesDesc       = prometheus.NewDesc("cornelbay_shortages_total", "Times in which openings waited for slots.", nil, nil)
	ejectionsDesc       = prometheus.NewDesc("cornelbay_ejections_total", "Findings that a target's flows fail or drag more than those of others.", nil, nil)
	droppedLogLinesDesc = prometheus.NewDesc("cornelbay_log_lines_left_out_total", "Log lines over the rate or the queue.", nil, nil)
)

// placementCollector exports the counters of the placer and of dropped log lines.
type placementCollector struct{ b *Balancer }

// Describe implements prometheus.Collector.
func (c placementCollector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{
		openingsDesc, targetOpeningsDesc, unconfirmedDesc, waitingDesc, heldDesc, requestsDesc, heldTotalDesc,
		flowLimitDesc, rampingDesc, timeFactorDesc, shortagesDesc, ejectionsDesc, droppedLogLinesDesc,
	} {
		ch <- d
	}
}

// Collect implements prometheus.Collector.
func (c placementCollector) Collect(ch chan<- prometheus.Metric) {
	c.b.trafficMu.Lock()
	n, targets := c.b.placer.Counters(), c.b.placer.TargetCounters()
	services, unconfirmed := c.b.placer.ServiceStats(time.Now()), c.b.placer.Unconfirmed(time.Now())
	c.b.trafficMu.Unlock()
	counter := func(d *prometheus.Desc, n uint64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(n), labels...)
	}
	counter(openingsDesc, n.Opened, "opened")
	counter(openingsDesc, n.Answered, "answered")
	counter(openingsDesc, n.Unanswered, "unanswered")
	counter(openingsDesc, n.Retried, "retried")
	counter(openingsDesc, n.Refused, "refused")
	counter(openingsDesc, n.Cold, "cold")
	counter(openingsDesc, n.Admitted, "admitted")
	counter(openingsDesc, n.Shed, "shed")
	counter(openingsDesc, n.Rejected, "rejected")
	counter(shortagesDesc, n.Shortages)
	counter(ejectionsDesc, n.Ejected)
	counter(heldTotalDesc, n.Held)
	for name, t := range targets {
		counter(targetOpeningsDesc, t.Opened, string(name), "opened")
		counter(targetOpeningsDesc, t.Answered, string(name), "answered")
		counter(targetOpeningsDesc, t.Unanswered, string(name), "unanswered")
	}
	gauge := func(d *prometheus.Desc, x float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, x, labels...)
	}
	gauge(unconfirmedDesc, float64(unconfirmed))
	for name, s := range services {
		gauge(waitingDesc, float64(s.Waiting), string(name))
		gauge(heldDesc, float64(s.Held), string(name))
		for priority, n := range s.AtWork {
			gauge(requestsDesc, float64(n), string(name), strconv.Itoa(priority))
		}
		gauge(flowLimitDesc, s.Limit-s.Borrowing, string(name), "share")
		gauge(flowLimitDesc, s.Borrowing, string(name), "borrowed")
		gauge(rampingDesc, float64(s.Ramping), string(name))
		for target, f := range s.TimeFactors {
			gauge(timeFactorDesc, f, string(target))
		}
	}
	if c.b.droppedLogLines != nil {
		counter(droppedLogLinesDesc, c.b.droppedLogLines())
	}
}
