package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/refusal"
	"github.com/cornelbay/cornelbay/request"
	"github.com/cornelbay/cornelbay/warmth"
)

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

func (q *requests) forget(id request.ID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.waiting, id)
}

// idle reports whether no caller waits.
func (q *requests) idle() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting) == 0
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
	start := time.Now()
	d.handOver(d.ctx, d.host.Requests.Submit(start, r))
	select {
	case res := <-ch:
		if r.Tickets == 0 {
			d.count(r.Service, res, time.Since(start))
		}
		return res, nil
	case <-ctx.Done():
		d.requests.forget(id)
		return nil, ctx.Err()
	}
}

// count counts a request against its service's level.
func (d *Daemon) count(name cornelbay.ServiceName, res request.Response, took time.Duration) {
	d.metrics.requests.WithLabelValues(string(name), res.Outcome.String()).Inc()
	d.metrics.requestSeconds.WithLabelValues(string(name)).Observe(took.Seconds())
	if res.Reason != refusal.None {
		d.metrics.refusals.WithLabelValues(string(name), res.Reason.String()).Inc()
	}
	level, ok := d.view.Load().levels[name]
	if !ok {
		return
	}
	good := res.Outcome == cornelbay.Answered && res.Status < 500 &&
		took <= time.Duration(level.LatencyMs)*time.Millisecond
	d.burn.Add(time.Now(), name, good)
	d.metrics.levelTotal.WithLabelValues(string(name)).Inc()
	if good {
		d.metrics.levelGood.WithLabelValues(string(name)).Inc()
	}
}

func (d *Daemon) attempt(ctx context.Context, a request.Attempt) {
	actx, cancel := context.WithDeadline(ctx, a.Deadline)
	d.requests.started(a.ID, cancel)
	start := time.Now()
	res := d.targets.Do(actx, a)
	cancelled := context.Cause(actx) == context.Canceled
	d.requests.cancel(a.ID)
	if !cancelled {
		d.signal(attemptSignal(a.Target, res, time.Since(start)))
	}
	d.handOver(ctx, d.host.Requests.AttemptEnded(time.Now(), res))
}

// attemptSignal returns what the result of an attempt tells about its target.
func attemptSignal(t cornelbay.TargetName, res request.AttemptResult, took time.Duration) warmth.Signal {
	s := warmth.Signal{Target: t, Kind: warmth.AnswerFailed}
	switch {
	case res.Complete && res.Response.Status < 500:
		s.Kind, s.Value = warmth.AnswerOK, float64(took)/float64(time.Millisecond)
	case res.Proof == request.Refused:
		s.Kind = warmth.Shed
	}
	return s
}
