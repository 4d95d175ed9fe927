package request

import (
	"container/heap"
	"time"
)

type timerKind uint8

const (
	deadlineTimer timerKind = iota
	hedgeTimer
	retryTimer
	ackTimer
)

// timer is something to look at when its time comes; it may be out of date.
type timer struct {
	at      time.Time
	kind    timerKind
	job     *job
	attempt AttemptID
	relay   uint64
}

type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at.Before(t[j].at) }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	old[len(old)-1] = timer{}
	*t = old[:len(old)-1]
	return last
}

func (d *Dispatcher) addTimer(t timer) { heap.Push(&d.timers, t) }

// runTimers handles the timers that are due at now.
func (d *Dispatcher) runTimers(now time.Time) {
	for len(d.timers) > 0 && !d.timers[0].at.After(now) {
		t := heap.Pop(&d.timers).(timer)
		if t.job.done {
			continue
		}
		switch t.kind {
		case deadlineTimer:
			d.deadline(now, t.job)
		case hedgeTimer:
			d.overdue(now, t.job, t.attempt)
		case retryTimer:
			d.enqueueRetry(now, t.job)
		case ackTimer:
			d.ackMissing(now, t.job, t.relay)
		}
	}
}
