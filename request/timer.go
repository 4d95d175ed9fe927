package request

import "time"

type timerKind uint8

const (
	// deadlineTimer ends a job at its deadline.
	deadlineTimer timerKind = iota
	// hedgeTimer checks an overdue attempt once more.
	hedgeTimer
	// retryTimer queues a job for a retry after its random delay.
	retryTimer
	// ackTimer checks whether a relay was acknowledged.
	ackTimer
	// endTimer ends an attempt that had no result within CancelGrace.
	endTimer
)

// timer is a scheduled check of a job. Timers are not removed when their job or
// attempt ends, so the handlers must ignore stale ones.
type timer struct {
	// at is a Unix time in nanoseconds.
	at  int64
	job *job
	// id is the AttemptID for a hedgeTimer or endTimer, the relay ID for an
	// ackTimer.
	id   uint64
	kind timerKind
}

// Before reports whether t is due before other.
func (t timer) Before(other timer) bool { return t.at < other.at }

func (d *Dispatcher) addTimer(t timer) { d.timers.Push(t) }

// runTimers runs the timers that are due at now.
func (d *Dispatcher) runTimers(now time.Time) {
	at := now.UnixNano()
	for d.timers.Len() > 0 && d.timers.First().at <= at {
		t := d.timers.Pop()
		if t.kind == endTimer {
			d.attemptEnded(now, AttemptResult{ID: AttemptID(t.id)})
			continue
		}
		if t.job.done {
			continue
		}
		switch t.kind {
		case deadlineTimer:
			d.expire(now, t.job)
		case hedgeTimer:
			d.handleOverdue(now, t.job, AttemptID(t.id))
		case retryTimer:
			d.enqueueRetry(now, t.job)
		case ackTimer:
			d.ackTimedOut(now, t.job, t.id)
		}
	}
}
