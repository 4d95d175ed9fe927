package request

import (
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/balance"
	"github.com/cornelbay/cornelbay/queue"
	"github.com/cornelbay/cornelbay/refusal"
)

// The limits of a service's queue.
const (
	// MaxQueue is the most requests that wait for a target of a service.
	MaxQueue = 1024
	// MaxQueueWait bounds the estimated wait of a queued request, as do
	// queueLatencies times half the usual latency.
	MaxQueueWait   = 100 * time.Millisecond
	queueLatencies = 3
)

// The retry budget of a service.
const (
	// RetryShare is the share of first attempts that may be added as retries
	// and hedges.
	RetryShare = 0.08
	// RetryBurst is the most retries that are saved up.
	RetryBurst = 20
)

// budget limits retries and hedges to a share of the first attempts; its zero
// value is empty.
type budget struct{ tokens float64 }

func (b *budget) deposit()  { b.tokens = min(RetryBurst, b.tokens+RetryShare) }
func (b *budget) has() bool { return b.tokens >= 1 }
func (b *budget) take()     { b.tokens-- }

// service is what the dispatcher knows of one service.
type service struct {
	cornelbay.Service
	pool    balance.Pool
	steward cornelbay.HostName
	queue   queue.Fair[*job]
	budget  budget
	// young holds the attempts that were not overdue yet, by their start.
	young []AttemptID
}

// enqueue admits a job to the queue of its service or refuses it early.
func (d *Dispatcher) enqueue(now time.Time, j *job) {
	s := j.service
	if _, ok := s.pool.AvailableIn(now); !ok {
		d.refuse(now, j, j.failure(refusal.NoTarget, refusal.AttemptFailed))
		return
	}
	wait := s.wait(now)
	if now.Add(wait + s.pool.Latency()).After(j.Deadline) {
		d.refuse(now, j, j.failure(refusal.TooLate, refusal.AttemptFailed))
		return
	}
	d.push(s, j)
	if wait > min(MaxQueueWait, queueLatencies*s.pool.Latency()/2) || s.queue.Len() > MaxQueue {
		if worst := s.queue.Last(func(j *job) bool { return j.tries == 0 }); worst != nil {
			d.refuse(now, worst.Value, worst.Value.failure(refusal.QueueFull, refusal.AttemptFailed))
		}
	}
	d.pump(now, s)
}

// enqueueRetry puts a job back; it was admitted before.
func (d *Dispatcher) enqueueRetry(now time.Time, j *job) {
	if j.done {
		return
	}
	d.push(j.service, j)
	d.pump(now, j.service)
}

func (d *Dispatcher) push(s *service, j *job) {
	j.waiting = s.queue.Add(j, j.Caller, j.Deadline)
	d.queued++
}

func (d *Dispatcher) leaveQueue(j *job) {
	if j.waiting != nil {
		j.service.queue.Remove(j.waiting)
		j.waiting = nil
		d.queued--
	}
}

// wait estimates the time that a job queued now waits for a target.
func (s *service) wait(now time.Time) time.Duration {
	n := time.Duration(s.queue.Len() + 1)
	return n * s.pool.Latency() / time.Duration(s.pool.Capacity(now))
}

// retryAfter returns when a caller may find room, by the queue and the targets'
// own word.
func (d *Dispatcher) retryAfter(now time.Time, s *service) time.Duration {
	open, ok := s.pool.AvailableIn(now)
	if !ok {
		return time.Second
	}
	return max(s.wait(now), open, time.Millisecond)
}

// extraAttempts is what may wait at each target while many jobs wait here, so
// that no slot idles for the time of a round trip.
const extraAttempts = 1

// pump starts waiting jobs while targets have room.
func (d *Dispatcher) pump(now time.Time, s *service) {
	for i := s.queue.First(); i != nil && d.mayRun(s); i = s.queue.First() {
		j := i.Value
		extra := 0
		if s.queue.Len() > len(s.pool.Targets())/2 {
			extra = extraAttempts
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

func (d *Dispatcher) pumpAll(now time.Time) {
	if d.queued == 0 {
		return
	}
	for _, s := range d.sorted {
		if s.queue.Len() > 0 {
			d.pump(now, s)
		}
	}
}

func (d *Dispatcher) endQueue(s *service, r refusal.Reason) {
	for i := s.queue.First(); i != nil; i = s.queue.First() {
		j := i.Value
		d.finish(time.Time{}, j, refusalResponse(j.failure(r, refusal.AttemptFailed)))
	}
}
