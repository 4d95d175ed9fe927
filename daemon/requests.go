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

// pendingRequests tracks the requests whose callers wait for a response, and the
// attempts that can be cancelled.
type pendingRequests struct {
	mu      sync.Mutex
	lastID  request.ID
	pending map[request.ID]chan request.Response
	cancels map[request.AttemptID]context.CancelFunc
}

func (q *pendingRequests) register() (request.ID, chan request.Response) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.pending == nil {
		q.pending = make(map[request.ID]chan request.Response)
	}
	q.lastID++
	ch := make(chan request.Response, 1)
	q.pending[q.lastID] = ch
	return q.lastID, ch
}

func (q *pendingRequests) finish(f request.Finish) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if ch, ok := q.pending[f.Request]; ok {
		delete(q.pending, f.Request)
		ch <- f.Response
	}
}

func (q *pendingRequests) remove(id request.ID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.pending, id)
}

// idle reports whether no request is pending.
func (q *pendingRequests) idle() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.pending) == 0
}

func (q *pendingRequests) addCancel(id request.AttemptID, cancel context.CancelFunc) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.cancels == nil {
		q.cancels = make(map[request.AttemptID]context.CancelFunc)
	}
	q.cancels[id] = cancel
}

func (q *pendingRequests) cancelAttempt(id request.AttemptID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if cancel, ok := q.cancels[id]; ok {
		delete(q.cancels, id)
		cancel()
	}
}

// serveRequest submits one request of a caller and waits for its response.
func (d *Daemon) serveRequest(ctx context.Context, v any) (any, error) {
	r := v.(request.Request)
	id, ch := d.requests.register()
	r.ID = id
	start := time.Now()
	d.dispatchEffects(d.ctx, d.host.Requests.Submit(start, r))
	select {
	case res := <-ch:
		if r.Tickets == 0 { // a request for tickets reaches no target and is not recorded
			d.recordRequest(r.Service, res, time.Since(start))
		}
		return res, nil
	case <-ctx.Done():
		d.requests.remove(id)
		return nil, ctx.Err()
	}
}

// recordRequest records a completed request in the metrics and, if its service has a
// service level, whether it met that level.
func (d *Daemon) recordRequest(name cornelbay.ServiceName, res request.Response, elapsed time.Duration) {
	d.metrics.requests.WithLabelValues(string(name), res.Outcome.String()).Inc()
	d.metrics.requestSeconds.WithLabelValues(string(name)).Observe(elapsed.Seconds())
	if res.Reason != refusal.None {
		d.metrics.refusals.WithLabelValues(string(name), res.Reason.String()).Inc()
	}
	level, ok := d.published.Load().levels[name]
	if !ok {
		return
	}
	good := res.Outcome == cornelbay.Answered && res.Status < 500 &&
		elapsed <= time.Duration(level.LatencyMs)*time.Millisecond
	d.burn.Add(time.Now(), name, good)
	d.metrics.levelTotal.WithLabelValues(string(name)).Inc()
	if good {
		d.metrics.levelGood.WithLabelValues(string(name)).Inc()
	}
}

func (d *Daemon) runAttempt(ctx context.Context, a request.Attempt) {
	attemptCtx, cancel := context.WithDeadline(ctx, a.Deadline)
	d.requests.addCancel(a.ID, cancel)
	start := time.Now()
	res := d.targets.Do(attemptCtx, a)
	cancelled := context.Cause(attemptCtx) == context.Canceled
	d.requests.cancelAttempt(a.ID) // releases attemptCtx; after the check, since it sets the cause
	if !cancelled {
		d.reportSignal(attemptSignal(a.Target, res, time.Since(start)))
	}
	d.dispatchEffects(ctx, d.host.Requests.AttemptEnded(time.Now(), res))
}

// attemptSignal returns the signal about a target that follows from the result of an
// attempt.
func attemptSignal(t cornelbay.TargetName, res request.AttemptResult, elapsed time.Duration) warmth.Signal {
	s := warmth.Signal{Target: t, Kind: warmth.AnswerFailed}
	switch {
	case res.Complete && res.Response.Status < 500:
		s.Kind, s.Value = warmth.AnswerOK, float64(elapsed)/float64(time.Millisecond)
	case res.Proof == request.Refused: // the target refused the request without running it
		s.Kind = warmth.Shed
	}
	return s
}
