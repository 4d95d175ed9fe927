package request

import (
	"container/heap"
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/balance"
)

// The limits of a service's queue.
const (
	// MaxQueue is the most requests that wait for a target of a service.
	MaxQueue = 1024
	// MaxQueueWait bounds the estimated wait of a queued request, as do
	// queueLatencies times half the usual latency.
	MaxQueueWait   = 100 * time.Millisecond
	queueLatencies = 3
	// roundSize is how many requests of one caller wait before its next ones
	// yield to those of other callers.
	roundSize = 4
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
	queue   queue
	budget  budget
}

// queue holds the jobs of a service that wait for a target; its zero value works.
type queue struct {
	jobs    jobHeap
	callers map[string]int
	count   uint64
	// gone counts jobs in the heap that wait no more.
	gone int
}

func (q *queue) len() int { return len(q.jobs) - q.gone }

func (q *queue) add(j *job) {
	if q.callers == nil {
		q.callers = make(map[string]int)
	}
	q.count++
	j.round, j.order, j.waiting = q.callers[j.Caller]/roundSize, q.count, true
	q.callers[j.Caller]++
	heap.Push(&q.jobs, j)
}

// leave takes a waiting job out; its place in the heap is freed later.
func (q *queue) leave(j *job) {
	j.waiting = false
	q.gone++
	if q.callers[j.Caller]--; q.callers[j.Caller] == 0 {
		delete(q.callers, j.Caller)
	}
	if q.gone > len(q.jobs)/2 {
		q.compact()
	}
}

func (q *queue) compact() {
	rest := q.jobs[:0]
	for _, j := range q.jobs {
		if j.waiting {
			rest = append(rest, j)
		}
	}
	clear(q.jobs[len(rest):])
	q.jobs, q.gone = rest, 0
	heap.Init(&q.jobs)
}

// first returns the job that is served next, or nil.
func (q *queue) first() *job {
	for len(q.jobs) > 0 && !q.jobs[0].waiting {
		heap.Pop(&q.jobs)
		q.gone--
	}
	if len(q.jobs) == 0 {
		return nil
	}
	return q.jobs[0]
}

// last returns the job without an attempt that is served after all others, or nil.
func (q *queue) last() *job {
	var out *job
	for _, j := range q.jobs {
		if j.waiting && j.tries == 0 && (out == nil || out.before(j)) {
			out = j
		}
	}
	return out
}

// before orders waiting jobs by the caller's round, then by deadline.
func (j *job) before(k *job) bool {
	if j.round != k.round {
		return j.round < k.round
	}
	if !j.Deadline.Equal(k.Deadline) {
		return j.Deadline.Before(k.Deadline)
	}
	return j.order < k.order
}

type jobHeap []*job

func (h jobHeap) Len() int           { return len(h) }
func (h jobHeap) Less(i, j int) bool { return h[i].before(h[j]) }
func (h jobHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *jobHeap) Push(x any)        { *h = append(*h, x.(*job)) }
func (h *jobHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}

// enqueue admits a job to the queue of its service or refuses it early.
func (d *Dispatcher) enqueue(now time.Time, j *job) {
	s := j.service
	if _, ok := s.pool.OpenIn(now); !ok {
		d.refuse(now, j, j.failure(NoTarget, AttemptFailed))
		return
	}
	wait := s.wait(now)
	if now.Add(wait + s.pool.Latency()).After(j.Deadline) {
		d.refuse(now, j, j.failure(TooLate, AttemptFailed))
		return
	}
	d.push(s, j)
	if wait > min(MaxQueueWait, queueLatencies*s.pool.Latency()/2) || s.queue.len() > MaxQueue {
		if worst := s.queue.last(); worst != nil {
			d.refuse(now, worst, worst.failure(QueueFull, AttemptFailed))
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
	s.queue.add(j)
	d.queued++
}

func (d *Dispatcher) leaveQueue(j *job) {
	if j.waiting {
		j.service.queue.leave(j)
		d.queued--
	}
}

// wait estimates the time that a job queued now waits for a target.
func (s *service) wait(now time.Time) time.Duration {
	n := time.Duration(s.queue.len() + 1)
	return n * s.pool.Latency() / time.Duration(s.pool.Capacity(now))
}

// retryAfter returns when a caller may find room, by the queue and the targets'
// own word.
func (d *Dispatcher) retryAfter(now time.Time, s *service) time.Duration {
	open, ok := s.pool.OpenIn(now)
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
	for j := s.queue.first(); j != nil && d.mayRun(s); j = s.queue.first() {
		extra := 0
		if s.queue.len() > len(s.pool.Targets())/2 {
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
	for _, s := range d.services {
		if s.queue.len() > 0 {
			d.pump(now, s)
		}
	}
}

func (d *Dispatcher) endQueue(s *service, r Reason) {
	for j := s.queue.first(); j != nil; j = s.queue.first() {
		d.finish(time.Time{}, j, j.failure(r, AttemptFailed).Response())
	}
}
