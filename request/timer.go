package request

import "time"

type timerKind uint8

const (
	deadlineTimer timerKind = iota
	hedgeTimer
	retryTimer
	ackTimer
	endTimer
)

// timer is something to look at when its time comes; it may be out of date.
type timer struct {
	// at is in nanoseconds since 1970.
	at  int64
	job *job
	// id is the attempt of a hedgeTimer or endTimer, or the relay of an ackTimer.
	id   uint64
	kind timerKind
}

// Before orders timers by time.
func (t timer) Before(other timer) bool { return t.at < other.at }

func (d *Dispatcher) addTimer(t timer) { d.timers.Push(t) }

// runTimers handles the timers that are due at now.
func (d *Dispatcher) runTimers(now time.Time) {
	at := now.UnixNano()
	for d.timers.Len() > 0 && d.timers.First().at <= at {
		t := d.timers.Pop()
		if t.kind == endTimer {
			d.ended(now, AttemptResult{ID: AttemptID(t.id)})
			continue
		}
		if t.job.done {
			continue
		}
		switch t.kind {
		case deadlineTimer:
			d.deadline(now, t.job)
		case hedgeTimer:
			d.overdue(now, t.job, AttemptID(t.id))
		case retryTimer:
			d.enqueueRetry(now, t.job)
		case ackTimer:
			d.ackMissing(now, t.job, t.id)
		}
	}
}
