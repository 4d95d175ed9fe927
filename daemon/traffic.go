package daemon

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/config"
	"github.com/cornelbay/cornelbay/fabric"
	"github.com/cornelbay/cornelbay/request"
)

// forward decides and sends each packet from the fabric.
func (d *Daemon) forward() {
	in, out := make([]byte, fabric.MaxPacketBytes), make([]byte, 0, fabric.MaxPacketBytes)
	var dec fabric.Decoder
	var pk cornelbay.Packet
	for {
		n, _, err := d.fabric.ReadFromUDPAddrPort(in)
		if err != nil {
			return
		}
		if dec.Decode(in[:n], &pk) != cornelbay.NotDropped {
			continue
		}
		v := d.host.Plane.Decide(time.Now(), &pk)
		if v.Action == cornelbay.Forward {
			out = fabric.Append(out[:0], pk.Inner)
			_, _ = d.fabric.WriteToUDPAddrPort(out, v.Tunnel) // a lost packet is sent again
		}
	}
}

// requests holds what the shell knows of callers that wait.
type requests struct {
	mu      sync.Mutex
	last    request.ID
	waiting map[request.ID]chan request.Response
	cancels map[request.AttemptID]context.CancelFunc
}

func (q *requests) add() (request.ID, chan request.Response) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiting == nil {
		q.waiting = make(map[request.ID]chan request.Response)
	}
	q.last++
	ch := make(chan request.Response, 1)
	q.waiting[q.last] = ch
	return q.last, ch
}

func (q *requests) finish(f request.Finish) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if ch, ok := q.waiting[f.Request]; ok {
		delete(q.waiting, f.Request)
		ch <- f.Response
	}
}

func (q *requests) started(id request.AttemptID, cancel context.CancelFunc) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.cancels == nil {
		q.cancels = make(map[request.AttemptID]context.CancelFunc)
	}
	q.cancels[id] = cancel
}

func (q *requests) cancel(id request.AttemptID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if cancel, ok := q.cancels[id]; ok {
		delete(q.cancels, id)
		cancel()
	}
}

// do serves one request of a caller.
func (d *Daemon) do(ctx context.Context, v any) (any, error) {
	r := v.(request.Request)
	id, ch := d.requests.add()
	r.ID = id
	d.carryOut(context.WithoutCancel(ctx), d.host.Requests.Submit(time.Now(), r))
	return <-ch, nil
}

func (d *Daemon) attempt(ctx context.Context, a request.Attempt) {
	ctx, cancel := context.WithDeadline(ctx, a.Deadline)
	d.requests.started(a.ID, cancel)
	res := d.targets.Do(ctx, a)
	d.requests.cancel(a.ID)
	d.carryOut(context.WithoutCancel(ctx), d.host.Requests.Ended(time.Now(), res))
}

// Status is what a host tells operators of itself.
type Status struct {
	Host cornelbay.Host `json:"host"`
	// Ready is true once the host knows enough to serve.
	Ready   bool                    `json:"ready"`
	Head    config.Head             `json:"head"`
	Live    []cornelbay.Host        `json:"live"`
	Targets []cornelbay.TargetState `json:"targets"`
}

func (d *Daemon) adminHandler() http.Handler {
	m := http.NewServeMux()
	m.Handle("GET /metrics", promhttp.Handler())
	m.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	m.HandleFunc("GET /readyz", d.readyz)
	m.HandleFunc("GET /status", d.status)
	return m
}

func (d *Daemon) snapshot(ctx context.Context) Status {
	ch := make(chan Status, 1)
	d.input(ctx, func(now time.Time) []cornelbay.Effect {
		ch <- Status{d.Self(), d.host.Ready(), d.host.Head(), d.host.Members(now).Live, d.host.States(now)}
		return nil
	})
	select {
	case s := <-ch:
		return s
	case <-ctx.Done():
		return Status{}
	}
}

func (d *Daemon) readyz(w http.ResponseWriter, r *http.Request) {
	if !d.snapshot(r.Context()).Ready {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
	}
}

func (d *Daemon) status(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(d.snapshot(r.Context())) // the reader sees a cut answer
}
