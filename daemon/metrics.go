package daemon

import (
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/config"
	"github.com/cornelbay/cornelbay/entry"
)

// metrics holds the Prometheus metrics of a daemon, served at /metrics.
type metrics struct {
	registry *prometheus.Registry

	sentDatagrams, sentBytes, receivedDatagrams, receivedBytes,
	refusedDatagrams, refusedConnections, controlSeconds prometheus.Counter
	droppedReports, storeCalls, peerCalls, probes, requests, refusals, levelGood, levelTotal *prometheus.CounterVec

	requestSeconds            *prometheus.HistogramVec
	generation, live, missing prometheus.Gauge
	ready                     prometheus.Gauge
	targets                   *prometheus.GaugeVec
}

// requestBuckets are the upper bounds, in seconds, of the buckets of request_seconds.
var requestBuckets = []float64{.001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10}

const namespace = "cornelbay"

func (m *metrics) init(h *entry.Host) {
	m.registry = prometheus.NewRegistry()
	m.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	m.gaugeFunc("flows", "Flows in the flow table.", h.Plane.Table.Len)
	m.gaugeFunc("flow_table_bytes", "Memory of the flow table.", h.Plane.Table.Bytes)
	m.initControl()
	m.initRequests()
}

func (m *metrics) initControl() {
	m.sentDatagrams = m.counter("sent_datagrams_total", "Control datagrams sent.")
	m.sentBytes = m.counter("sent_datagram_bytes_total", "Bytes of control datagrams sent, IP and UDP headers included.")
	m.receivedDatagrams = m.counter("received_datagrams_total", "Control datagrams received.")
	m.receivedBytes = m.counter("received_datagram_bytes_total", "Bytes of control datagrams received, IP and UDP headers included.")
	m.refusedDatagrams = m.counter("refused_datagrams_total", "Datagrams without a valid MAC, replayed or malformed.")
	m.refusedConnections = m.counter("refused_connections_total", "Connections of hosts refused for their certificates.")
	m.controlSeconds = m.counter("control_seconds_total", "Time spent by the control goroutine on decisions.")
	m.droppedReports = m.counterVec("dropped_reports_total", "Reports to the control goroutine dropped because a queue was full.", "queue")
	m.storeCalls = m.counterVec("store_calls_total", "Calls to the platform's service.", "op", "result")
	m.peerCalls = m.counterVec("peer_calls_total", "Calls to other hosts over net/rpc.", "method", "result")
	m.probes = m.counterVec("probes_total", "Health probes of targets.", "result")
	m.generation = m.gauge("generation", "Generation of the configuration in force.")
	m.live = m.gauge("live_hosts", "Hosts of the group that are heard, this one included.")
	m.missing = m.gauge("missing_hosts", "Hosts of the group that are not heard and not known to have ended.")
	m.ready = m.gauge("ready", "1 while the host is ready for packets.")
	m.targets = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Namespace: namespace, Name: "targets", Help: "Targets by phase, as this host sees them.",
	}, []string{"phase"})
	m.registry.MustRegister(m.targets)
}

func (m *metrics) initRequests() {
	m.requests = m.counterVec("requests_total", "Callers' requests by outcome.", "service", "outcome")
	m.refusals = m.counterVec("refusals_total", "Requests that ended without the answer of a target, by reason.", "service", "reason")
	m.levelGood = m.counterVec("level_good_total", "Requests that met their service's level.", "service")
	m.levelTotal = m.counterVec("level_requests_total", "Requests that count against their service's level.", "service")
	m.requestSeconds = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: "request_seconds", Help: "Time from a request's arrival to its answer.", Buckets: requestBuckets,
	}, []string{"service"})
	m.registry.MustRegister(m.requestSeconds)
}

func (m *metrics) counter(name, help string) prometheus.Counter {
	c := prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
	m.registry.MustRegister(c)
	return c
}

func (m *metrics) counterVec(name, help string, labels ...string) *prometheus.CounterVec {
	c := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
	m.registry.MustRegister(c)
	return c
}

func (m *metrics) gauge(name, help string) prometheus.Gauge {
	g := prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
	m.registry.MustRegister(g)
	return g
}

// publish sets the gauges that reflect the control state.
func (m *metrics) publish(head config.Head, members cornelbay.Members, states []cornelbay.TargetState, ready bool) {
	m.generation.Set(float64(head.Generation))
	m.live.Set(float64(len(members.Live)))
	m.missing.Set(float64(len(members.Missing)))
	m.ready.Set(0)
	if ready {
		m.ready.Set(1)
	}
	var phases [cornelbay.Gone + 1]int // Gone is the last phase
	for _, s := range states {
		phases[s.Phase]++
	}
	for p, n := range phases {
		m.targets.WithLabelValues(strings.ToLower(cornelbay.TargetPhase(p).String())).Set(float64(n))
	}
}

// gaugeFunc registers a gauge whose value is computed at each scrape.
func (m *metrics) gaugeFunc(name, help string, value func() int) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(
		prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help},
		func() float64 { return float64(value()) },
	))
}
