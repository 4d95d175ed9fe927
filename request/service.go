package request

import (
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/balance"
	"github.com/cornelbay/cornelbay/queue"
	"github.com/cornelbay/cornelbay/refusal"
)

// Limits of a service's queue.
const (
	// MaxQueue is the maximum number of queued requests per service.
	MaxQueue = 1024
	// MaxQueueWait is the estimated queueing delay above which a queue is too
	// long. It is also too long if the estimate exceeds queueHalfLatencies times
	// half the smoothed latency of the service.
	MaxQueueWait       = 100 * time.Millisecond
	queueHalfLatencies = 3
)

// The retry budget of a service.
const (
	// RetryShare is the number of retries and hedges allowed per first attempt.
	RetryShare = 0.08
	// RetryBurst is the maximum number of unused retries that accumulate.
	RetryBurst = 20
)

// retryBudget is a token bucket that limits retries and hedges to a share of the
// first attempts. The zero value is empty.
type retryBudget struct{ tokens float64 }

func (b *retryBudget) deposit()  { b.tokens = min(RetryBurst, b.tokens+RetryShare) }
func (b *retryBudget) has() bool { return b.tokens >= 1 }
func (b *retryBudget) take()     { b.tokens-- }

// service is the dispatcher's state of one service.
type service struct {
	cornelbay.Service
	pool        balance.Pool
	coordinator cornelbay.HostName
	queue       queue.Fair[*job]
	budget      retryBudget
	// notOverdue holds the attempts that have not become overdue yet, ordered by
	// start time; ended ones are removed lazily.
	notOverdue []AttemptID
}

// enqueue queues a job, or refuses it if no target is available or the response
// would probably miss the deadline. If the queue is then too long, it refuses the
// last job in the queue that has had no attempt.
func (d *Dispatcher) enqueue(now time.Time, j *job) {
	s := j.service
	if _, ok := s.pool.AvailableIn(now); !ok {
		d.refuse(now, j, j.failureReason(refusal.NoTarget, refusal.AttemptFailed))
		return
	}
	wait := s.estimatedWait(now)
	if now.Add(wait + s.pool.Latency()).After(j.Deadline) {
		d.refuse(now, j, j.failureReason(refusal.TooLate, refusal.AttemptFailed))
		return
	}
	d.push(s, j)
	if wait > min(MaxQueueWait, queueHalfLatencies*s.pool.Latency()/2) || s.queue.Len() > MaxQueue {
		if worst := s.queue.Last(func(j *job) bool { return j.tries == 0 }); worst != nil {
			d.refuse(now, worst.Value, worst.Value.failureReason(refusal.QueueFull, refusal.AttemptFailed))
		}
	}
	d.dispatchQueued(now, s)
}

// enqueueRetry queues a job for another attempt, without the admission checks, as
// it was admitted before.
func (d *Dispatcher) enqueueRetry(now time.Time, j *job) {
	if j.done {
		return
	}
	d.push(j.service, j)
	d.dispatchQueued(now, j.service)
}

func (d *Dispatcher) push(s *service, j *job) {
	j.queueItem = s.queue.Add(j, j.Caller, j.Deadline)
	d.queued++
}

func (d *Dispatcher) leaveQueue(j *job) {
	if j.queueItem != nil {
		j.service.queue.Remove(j.queueItem)
		j.queueItem = nil
		d.queued--
	}
}

// estimatedWait returns the estimated queueing delay of a job queued now.
func (s *service) estimatedWait(now time.Time) time.Duration {
	n := time.Duration(s.queue.Len() + 1)
	return n * s.pool.Latency() / time.Duration(s.pool.Capacity(now))
}

// retryAfter returns the suggested delay before a retry: the longer of the
// estimated queueing delay and the Retry-After of the targets, at least 1 ms. It
// returns 1 s if no target is available.
func (d *Dispatcher) retryAfter(now time.Time, s *service) time.Duration {
	open, ok := s.pool.AvailableIn(now)
	if !ok {
		return time.Second
	}
	return max(s.estimatedWait(now), open, time.Millisecond)
}

// pipelinedAttempts is the number of attempts beyond its slots that may be sent
// to each target while more requests are queued than half the number of targets,
// so that no slot is idle for a round trip.
const pipelinedAttempts = 1

// dispatchQueued starts queued jobs while targets have room.
func (d *Dispatcher) dispatchQueued(now time.Time, s *service) {
	for i := s.queue.First(); i != nil && d.canStart(s); i = s.queue.First() {
		j := i.Value
		extra := 0
		if s.queue.Len() > len(s.pool.Targets())/2 {
			extra = pipelinedAttempts
		}
		t := s.pool.Pick(now, j.avoid, extra)
		if t == nil && j.avoid != nil {
			t = s.pool.Pick(now, nil, extra)
		}
		if t == nil {
			return
		}
		d.leaveQueue(j)
		d.start(now, j, t)
	}
}

func (d *Dispatcher) dispatchAllQueued(now time.Time) {
	if d.queued == 0 {
		return
	}
	for _, s := range d.sortedServices {
		if s.queue.Len() > 0 {
			d.dispatchQueued(now, s)
		}
	}
}

func (d *Dispatcher) refuseQueued(s *service, r refusal.Reason) {
	for i := s.queue.First(); i != nil; i = s.queue.First() {
		j := i.Value
		d.finish(time.Time{}, j, refusalResponse(j.failureReason(r, refusal.AttemptFailed)))
	}
}
