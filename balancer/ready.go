package balancer

import (
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/cornelbay/cornelbay/platform"
)

const readyHeaderTimeout = 2 * time.Second

// serveReady serves the readiness check and the metrics over HTTP.
func (b *Balancer) serveReady() error {
	l, err := net.Listen("tcp4", b.settings.Load().Ready.String())
	if err != nil {
		return merry.Prepend(err, "readiness check")
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !b.ready.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
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
