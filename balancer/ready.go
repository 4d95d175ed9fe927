package balancer

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/cornelbay/cornelbay/gossip"
	"github.com/cornelbay/cornelbay/platform"
	"github.com/cornelbay/cornelbay/readiness"
)

const readyHeaderTimeout = 2 * time.Second

// decideInterval is the time between two decisions on whether this host is ready.
const decideInterval = 50 * time.Millisecond

// readyAnswer is the body of the answer to a readiness check.
type readyAnswer struct {
	Ready  bool             `json:"ready"`
	Reason readiness.Reason `json:"reason"`
}

// serveReady serves the readiness check and the metrics over HTTP.
func (b *Balancer) serveReady() error {
	l, err := net.Listen("tcp4", b.settings.Load().Ready.String())
	if err != nil {
		return merry.Prepend(err, "readiness check")
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		reason := b.readiness()
		w.Header().Set("Content-Type", "application/json")
		if reason != readiness.Serving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		if err := json.NewEncoder(w).Encode(readyAnswer{Ready: reason == readiness.Serving, Reason: reason}); err != nil {
			log.WithError(err).Info("answering the readiness check failed")
		}
	})
	mux.Handle("GET /metrics", promhttp.HandlerFor(b.metrics.registry, promhttp.HandlerOpts{}))
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: readyHeaderTimeout}
	b.closers = append(b.closers, srv.Close)
	b.goRun(func() {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			log.WithError(err).Error("readiness server failed")
		}
	})
	return nil
}

// readiness returns whether the routers should send packets to this host, and why.
func (b *Balancer) readiness() readiness.Reason {
	switch {
	case b.stopping.Load():
		return readiness.Stopping
	case !b.ready.Load():
		return readiness.Starting
	}
	return *b.rotation.Load()
}

// decideReadiness decides whether this host should receive packets.
func (b *Balancer) decideReadiness(now time.Time) {
	b.stateMu.Lock()
	defer b.stateMu.Unlock()
	own := b.ownCensus(now)
	e := readiness.Evidence{Own: own, DataCentre: b.dataCentreCensus(now, own), Others: b.tally.Others}
	if !b.decider.Decide(now, e) {
		return
	}
	reason := b.decider.Reason()
	b.rotation.Store(&reason)
	b.metrics.rotation.WithLabelValues(string(reason)).Inc()
	fields := log.Fields{
		"reason": reason, "alive": e.DataCentre.Alive, "able": e.DataCentre.Able, "unable": e.DataCentre.Unable,
		"ownUnable": own.Unable > 0,
	}
	for name, at := range map[string]time.Time{"othersHeardAgoMs": e.Others.HeardAt, "othersWellAgoMs": e.Others.WellAt} {
		if !at.IsZero() { // else there was none yet
			fields[name] = now.Sub(at).Milliseconds()
		}
	}
	line := log.WithFields(fields)
	if reason == readiness.Serving {
		line.Info("back in rotation")
		return
	}
	line.Warn("out of rotation")
}

// ownCensus returns the census of this host alone.
func (b *Balancer) ownCensus(now time.Time) readiness.Census {
	b.trafficMu.Lock()
	defer b.trafficMu.Unlock()
	return b.placer.Reach(now)
}

// dataCentreCensus returns the census of the data centre, which is empty if it is not known.
// The caller holds stateMu.
func (b *Balancer) dataCentreCensus(now time.Time, own readiness.Census) readiness.Census {
	total, known := b.tally.Total(now, own, b.inMesh || b.members.Leads(now))
	if !known {
		return readiness.Census{}
	}
	// A host counts twice while it moves from one relay to another.
	total.Alive = min(total.Alive, b.members.CountInDataCentre())
	return total
}

// receiveCensus records the census in the heartbeat of another host. The caller holds stateMu.
func (b *Balancer) receiveCensus(now time.Time, hb gossip.Heartbeat) {
	c := hb.Census
	if c == nil {
		return
	}
	switch {
	case hb.Host.DataCentre != b.self.DataCentre:
		b.tally.ReceiveOther(now, c.Well)
	case hb.Relay:
		if hb.Host.Name != b.members.Relay(now) {
			return
		}
		b.tally.Others.Merge(c.Others(now))
		if c.Alive > 0 {
			b.tally.ReceiveAbove(now, c.Hosts())
		}
	case b.inMesh || hb.Host.Name != b.members.Relay(now):
		b.tally.ReceiveBelow(now, hb.Host.Name, c.Hosts())
	}
}

// census returns the census to send in a heartbeat: of the whole data centre if total is true,
// and without hosts if that is not known. The caller holds stateMu.
func (b *Balancer) census(now time.Time, total bool) *gossip.Census {
	own := b.ownCensus(now)
	c := own
	switch {
	case total:
		c = b.dataCentreCensus(now, own)
	case !b.inMesh:
		c = b.tally.Up(now, own)
	}
	return gossip.NewCensus(now, c, b.readiness() == readiness.Serving && b.decider.Well(), b.tally.Others)
}
