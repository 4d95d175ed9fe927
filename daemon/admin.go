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

// controlTimeout is the time without a tick after which the control goroutine is
// reported as unhealthy. It is also the timeout of a status request.
const controlTimeout = 5 * time.Second

// Status is the status of a host, served at /status.
type Status = operator.HostStatus

func (d *Daemon) adminHandler() http.Handler {
	m := http.NewServeMux()
	m.Handle("GET /metrics", promhttp.HandlerFor(d.metrics.registry, promhttp.HandlerOpts{}))
	m.HandleFunc("GET /healthz", d.healthz)
	m.HandleFunc("GET /readyz", d.readyz)
	m.HandleFunc("GET /status", d.status)
	m.HandleFunc("GET /burn", d.burnCounts)
	m.HandleFunc("POST /stop", d.handleStop)
	m.HandleFunc("POST /loglevel", d.handleLogLevel)
	return m
}

// Generation returns the generation of the configuration in force, or 0.
func (d *Daemon) Generation() uint64 { return d.published.Load().generation }

// Ready reports whether the host is ready to receive packets. /readyz also checks that
// the control goroutine is healthy.
func (d *Daemon) Ready() bool { return d.notReadyReason() == "" }

// notReadyReason returns why the host is not ready, or "" if it is ready.
func (d *Daemon) notReadyReason() string {
	switch v := d.published.Load(); {
	case d.stopping.Load():
		return "stopping"
	case v.generation == 0:
		return "no configuration in force"
	case !v.ready:
		return "not ready"
	}
	return ""
}

// snapshot returns the status as collected by the control goroutine. It returns false
// if ctx ends first.
func (d *Daemon) snapshot(ctx context.Context) (Status, bool) {
	ch := make(chan Status, 1)
	d.enqueue(ctx, func(now time.Time) []cornelbay.Effect {
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

// healthz reports whether the control goroutine ticks.
func (d *Daemon) healthz(w http.ResponseWriter, _ *http.Request) {
	if since := time.Since(time.Unix(0, d.lastTickUnixNano.Load())); since > controlTimeout {
		http.Error(w, "control goroutine does not tick", http.StatusServiceUnavailable)
	}
}

// readyz reports to the fabric whether to send packets to this host.
func (d *Daemon) readyz(w http.ResponseWriter, r *http.Request) {
	if reason := d.notReadyReason(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
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
	writeJSON(w, d.burn.Counts(time.Now(), d.published.Load().levels))
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // on an error the client sees a truncated response
}

func (d *Daemon) handleStop(w http.ResponseWriter, _ *http.Request) {
	// The response does not wait for the stop, so it cannot report its error. Stop logs
	// if it runs out of time, but not an error of the HTTP server's Shutdown.
	go func() { _ = d.Stop(d.ctx) }()
	w.WriteHeader(http.StatusAccepted)
}

func (d *Daemon) handleLogLevel(w http.ResponseWriter, r *http.Request) {
	l, err := log.ParseLevel(r.FormValue("level"))
	if err != nil {
		http.Error(w, "level must be one of debug, info, warn, error", http.StatusBadRequest)
		return
	}
	log.SetLevel(l)
}
