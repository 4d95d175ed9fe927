// Package demo runs a deployment in one process on loopback: real hosts with fakes
// around them, under load and with injected faults. It measures which of the product's
// promises hold.
package demo

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cornelbay/cornelbay/config"
	"github.com/cornelbay/cornelbay/load"
)

// Settings are the parameters of a run.
type Settings struct {
	Document *config.Document
	// Seed seeds the load.
	Seed uint64
	// Progress receives the progress lines; nil discards them.
	Progress io.Writer
}

// Promise is one promise of the product and the run's measurement of it.
type Promise struct {
	Name   string  `json:"name"`
	Holds  bool    `json:"holds"`
	Figure float64 `json:"figure"`
	Unit   string  `json:"unit"`
}

// Report is the result of a run.
type Report struct {
	Deployment string    `json:"deployment"`
	Seed       uint64    `json:"seed"`
	Promises   []Promise `json:"promises"`
}

// Holds reports whether every promise held.
func (r *Report) Holds() bool {
	for _, p := range r.Promises {
		if !p.Holds {
			return false
		}
	}
	return len(r.Promises) > 0
}

// run is the state of a run.
type run struct {
	Settings
	world      *world
	flows      *load.Flows
	requests   *load.Requests
	began      time.Time
	steps      steps
	progressMu sync.Mutex
}

// Run runs the script on the deployment, which takes about 20 seconds.
func Run(ctx context.Context, s Settings) (*Report, error) {
	if s.Progress == nil {
		s.Progress = io.Discard
	}
	r := &run{Settings: s, began: time.Now()}
	w, err := newWorld(ctx, s.Document)
	if err != nil {
		return nil, err
	}
	defer w.close()
	r.world = w
	r.flows = load.NewFlows(s.Seed, s.Document.Services)
	r.flows.Logf, r.flows.Send = r.printf, w.fabric.Send
	r.requests = load.NewRequests(s.Seed, s.Document.Services)
	r.requests.Ready = w.readyAddresses
	w.onPacket, w.onRequest = r.flows.PacketArrived, r.requests.RequestArrived
	if err := r.script(ctx); err != nil {
		return nil, merry.Prepend(err, "demo")
	}
	return &Report{Deployment: s.Document.Deployment, Seed: s.Seed, Promises: r.promises()}, nil
}

// printf writes a progress line; it is safe for concurrent use.
func (r *run) printf(format string, args ...any) {
	r.progressMu.Lock()
	defer r.progressMu.Unlock()
	_, _ = fmt.Fprintf(r.Progress, "%5.1f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...)) // progress is informational
}
