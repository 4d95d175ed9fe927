package traffic

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cornelbay/cornelbay"
)

const namespace = "cornelbay"

// metrics holds the counters: packets is indexed by cornelbay.Action and drops by
// cornelbay.DropReason.
type metrics struct {
	packets                     [cornelbay.Hold + 1]prometheus.Counter
	drops                       [cornelbay.DropReasonCount]prometheus.Counter
	sendErrors, droppedReleases prometheus.Counter
}

var actionNames = [...]string{
	cornelbay.Drop: "drop", cornelbay.Forward: "forward", cornelbay.Relay: "relay", cornelbay.Hold: "hold",
}

// Register creates and registers the metrics of the forwarder. It must be called
// before Run.
func (f *Forwarder) Register(r prometheus.Registerer) {
	m := &f.metrics
	packets := prometheus.NewCounterVec(counterOpts("packets_total", "Packets by verdict."), []string{"verdict"})
	for a := cornelbay.Forward; a <= cornelbay.Hold; a++ {
		m.packets[a] = packets.WithLabelValues(actionNames[a])
	}
	drops := prometheus.NewCounterVec(counterOpts("dropped_packets_total", "Packets dropped, by reason."), []string{"reason"})
	for i := range m.drops {
		m.drops[i] = drops.WithLabelValues(cornelbay.DropReason(i).String())
	}
	m.sendErrors = prometheus.NewCounter(counterOpts("send_errors_total", "Packets that the socket refused to send."))
	m.droppedReleases = prometheus.NewCounter(counterOpts("dropped_releases_total", "Releases of held packets dropped because their queue was full."))
	r.MustRegister(
		packets, drops, m.sendErrors, m.droppedReleases,
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: namespace, Name: "held_packets", Help: "Packets held until a question about their flow is answered.",
		}, func() float64 { return float64(f.held.count()) }),
	)
}

func counterOpts(name, help string) prometheus.CounterOpts {
	return prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}
}
