package daemon

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/operator"
)

// controlTimeout is the time after which a control goroutine that has not
// ticked counts as unhealthy.
const controlTimeout = 5 * time.Second

// Status is what a host tells operators of itself.
type Status = operator.HostStatus

func (d *Daemon) adminHandler() http.Handler {
	m := http.NewServeMux()
	m.Handle("GET /metrics", promhttp.HandlerFor(d.metrics.registry, promhttp.HandlerOpts{}))
	m.HandleFunc("GET /healthz", d.healthz)
	m.HandleFunc("GET /readyz", d.readyz)
	m.HandleFunc("GET /status", d.status)
	m.HandleFunc("GET /burn", d.burnCounts)
	m.HandleFunc("POST /stop", d.startStop)
	m.HandleFunc("POST /loglevel", d.logLevel)
	return m
}

// Generation returns the generation of the configuration in force, or 0.
func (d *Daemon) Generation() uint64 { return d.view.Load().generation }

// Ready reports whether the host takes packets, as /readyz does.
func (d *Daemon) Ready() bool { return d.unready() == "" }

// unready returns why the host is not ready, or "".
func (d *Daemon) unready() string {
	switch v := d.view.Load(); {
	case d.stopping.Load():
		return "stopping"
	case v.generation == 0:
		return "no configuration in force"
	case !v.ready:
		return "not ready"
	}
	return ""
}

func (d *Daemon) snapshot(ctx context.Context) (Status, bool) {
	ch := make(chan Status, 1)
	d.input(ctx, func(now time.Time) []cornelbay.Effect {
		m := d.host.Members(now)
		ch <- Status{
			Host: d.Self(), Head: d.host.Head(), Ready: d.host.Ready() && !d.stopping.Load(),
			Stopping: d.stopping.Load(), Live: m.Live, Missing: m.Missing, Targets: d.host.TargetStates(now),
		}
		return nil
	})
	select {
	case s := <-ch:
		return s, true
	case <-ctx.Done():
		return Status{}, false
	}
}

// healthz tells whether the control goroutine still ticks.
func (d *Daemon) healthz(w http.ResponseWriter, _ *http.Request) {
	if since := time.Since(time.Unix(0, d.lastTick.Load())); since > controlTimeout {
		http.Error(w, "control goroutine does not tick", http.StatusServiceUnavailable)
	}
}

// readyz tells the fabric whether to send packets here.
func (d *Daemon) readyz(w http.ResponseWriter, r *http.Request) {
	if why := d.unready(); why != "" {
		http.Error(w, why, http.StatusServiceUnavailable)
		return
	}
	d.healthz(w, r)
}

func (d *Daemon) status(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), controlTimeout)
	defer cancel()
	s, ok := d.snapshot(ctx)
	if !ok {
		http.Error(w, "control goroutine does not answer", http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, s)
}

func (d *Daemon) burnCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, d.burn.Counts(time.Now(), d.view.Load().levels))
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the reader sees a cut answer
}

func (d *Daemon) startStop(w http.ResponseWriter, _ *http.Request) {
	go func() { _ = d.Stop(d.ctx) }() // logged by Stop itself
	w.WriteHeader(http.StatusAccepted)
}

func (d *Daemon) logLevel(w http.ResponseWriter, r *http.Request) {
	l, err := log.ParseLevel(r.FormValue("level"))
	if err != nil {
		http.Error(w, "level must be one of debug, info, warn, error", http.StatusBadRequest)
		return
	}
	log.SetLevel(l)
}
