// Package admission decides which openings wait for a slot of a service at a host,
// in which order they are served, and which of them are refused. It performs no I/O
// and reads no clock.
package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/cornelbay/cornelbay/queue"
)

// Reason tells why a request was refused; the zero value is that of a request that
// was not.
type Reason string

// Values of Reason.
const (
	// Overload means that the expected wait was beyond the deadline.
	Overload Reason = "overload"
	// Expired means that the deadline has passed.
	Expired Reason = "expired"
	// QueueFull means that MaxLen requests were waiting.
	QueueFull Reason = "queue full"
)

// maxWait is the longest expected wait that is reported. It keeps waits at very low
// rates within the range of a time.Duration.
const maxWait = time.Hour

// minCompact is the number of stale heap entries below which none are dropped.
const minCompact = 32

// Request is an opening that waits for a slot.
type Request[T any] struct {
	Value T
	// Caller is the address of the caller.
	Caller string
	// Priority orders the requests; 0 is the most urgent.
	Priority int
	Arrived  time.Time
	// Deadline is the time until which the request may wait.
	Deadline time.Time

	// Reason is set by the queue when it refuses the request.
	Reason Reason
	// Wait is the expected wait at the refusal of a request, or 0 if the rate was
	// unknown or did not matter.
	Wait time.Duration
}

// Queue is the admission queue of one service at one host. Its zero value is empty.
// Each request that was added is returned exactly once, by any of the methods. It is
// not safe for concurrent use.
type Queue[T any] struct {
	// MaxLen is the largest number of waiting requests; 0 means no limit.
	MaxLen int

	// levels holds the requests by priority, the most urgent first. Empty levels are
	// kept, as routes have few priorities.
	levels    []*level[T]
	deadlines queue.Heap[*opening[T]]
	// waiting counts the requests in levels.
	waiting int
	// expired holds requests that Next found expired and Expire has not returned.
	expired []Request[T]
	added   uint64
}

// level holds the requests of one priority.
type level[T any] struct {
	priority int
	order    queue.Fair[*opening[T]]
	callers  map[string]*caller[T]
	// heaviest orders the callers by their number of requests. It also holds stale
	// entries, at most about as many as valid ones.
	heaviest queue.Heap[weight[T]]
}

// caller holds the requests of one caller and priority.
type caller[T any] struct {
	// openings is ordered by arrival.
	openings []*opening[T]
	// version counts the changes of openings.
	version uint64
}

// opening is a waiting request.
type opening[T any] struct {
	Request[T]
	level *level[T]
	// turn is the position of the opening in the order of its level.
	turn     *queue.Item[*opening[T]]
	sequence uint64
	gone     bool
}

// Before orders openings by deadline, then by insertion.
func (o *opening[T]) Before(other *opening[T]) bool {
	return cmp.Or(o.Deadline.Compare(other.Deadline), cmp.Compare(o.sequence, other.sequence)) < 0
}

// arrivedBefore orders openings by arrival, then by insertion.
func (o *opening[T]) arrivedBefore(other *opening[T]) bool {
	return cmp.Or(o.Arrived.Compare(other.Arrived), cmp.Compare(o.sequence, other.sequence)) < 0
}

// weight is an entry of level.heaviest. It is stale if the caller has changed.
type weight[T any] struct {
	caller  *caller[T]
	version uint64
	n       int
	latest  *opening[T]
}

func (w weight[T]) valid() bool { return w.version == w.caller.version }

// Before orders callers by their number of requests, the largest first, then by the
// arrival of their latest request, the latest first.
func (w weight[T]) Before(other weight[T]) bool {
	if w.n != other.n {
		return w.n > other.n
	}
	return other.latest.arrivedBefore(w.latest)
}

// Len returns the number of requests that no method has returned yet.
func (q *Queue[T]) Len() int { return q.waiting + len(q.expired) }

// Priority returns that of the most urgent request that has not expired, if there is any.
func (q *Queue[T]) Priority() (priority int, ok bool) {
	for _, l := range q.levels {
		if l.order.First() != nil {
			return l.priority, true
		}
	}
	return 0, false
}

// Add inserts a request and returns the requests that are refused now, which may
// include it: those that have expired, the least urgent while more than MaxLen wait,
// and the least urgent while it can't expect to be served by its deadline. The least
// urgent is the latest of the caller with the most requests of the lowest priority.
// rate is the number of requests per second that leave the queue. If it is 0, only
// deadlines and MaxLen count.
func (q *Queue[T]) Add(now time.Time, r Request[T], rate float64) (refused []Request[T]) {
	q.insert(r)
	refused = q.Expire(now)
	for q.MaxLen > 0 && q.waiting > q.MaxLen {
		refused = append(refused, q.refuse(q.last(), QueueFull, expectedWait(q.waiting-1, rate)))
	}
	for q.waiting > 0 {
		o, wait := q.last(), expectedWait(q.waiting-1, rate)
		if !now.Add(wait).After(o.Deadline) {
			break
		}
		refused = append(refused, q.refuse(o, Overload, wait))
	}
	return refused
}

// expectedWait returns the time in which the requests ahead leave the queue, or 0 if
// the rate is unknown.
func expectedWait(ahead int, rate float64) time.Duration {
	if !(rate > 0) {
		return 0
	}
	return time.Duration(min(float64(ahead)/rate, maxWait.Seconds()) * float64(time.Second))
}

// Next removes and returns the most urgent request that has not expired. Among those
// of one priority, callers take turns; the requests of a caller leave in the order of
// their arrival.
func (q *Queue[T]) Next(now time.Time) (Request[T], bool) {
	q.expire(now)
	for _, l := range q.levels {
		turn := l.order.First()
		if turn == nil {
			continue
		}
		// The turns of a caller are not in the order of its requests: queue.Fair gives
		// earlier turns to later requests once some of the caller's have left.
		o := l.callers[turn.Owner].openings[0]
		other := turn.Value
		other.turn, o.turn = o.turn, turn
		other.turn.Value, turn.Value = other, o
		return q.remove(o), true
	}
	return Request[T]{}, false
}

// Expire removes and returns the requests whose deadline has passed.
func (q *Queue[T]) Expire(now time.Time) []Request[T] {
	q.expire(now)
	out := q.expired
	q.expired = nil
	return out
}

func (q *Queue[T]) expire(now time.Time) {
	for q.deadlines.Len() > 0 {
		o := q.deadlines.First()
		if !o.gone && !now.After(o.Deadline) {
			return
		}
		q.deadlines.Pop()
		if !o.gone {
			q.expired = append(q.expired, q.refuse(o, Expired, 0))
		}
	}
}

// Remove removes and returns the requests for whose value match is true, in the order
// in which they were added. It takes linear time.
func (q *Queue[T]) Remove(match func(T) bool) []Request[T] {
	var out []Request[T]
	q.expired = slices.DeleteFunc(q.expired, func(r Request[T]) bool {
		if !match(r.Value) {
			return false
		}
		out = append(out, r)
		return true
	})
	var matched []*opening[T]
	for _, o := range q.deadlines.Items() {
		if !o.gone && match(o.Value) {
			matched = append(matched, o)
		}
	}
	slices.SortFunc(matched, func(a, b *opening[T]) int { return cmp.Compare(a.sequence, b.sequence) })
	for _, o := range matched {
		out = append(out, q.remove(o))
	}
	return out
}

func (q *Queue[T]) insert(r Request[T]) {
	i, ok := slices.BinarySearchFunc(q.levels, r.Priority, func(l *level[T], p int) int {
		return cmp.Compare(l.priority, p)
	})
	if !ok {
		l := &level[T]{priority: r.Priority, callers: make(map[string]*caller[T])}
		q.levels = slices.Insert(q.levels, i, l)
	}
	l := q.levels[i]
	c := l.callers[r.Caller]
	if c == nil {
		c = &caller[T]{}
		l.callers[r.Caller] = c
	}
	q.added++
	o := &opening[T]{Request: r, level: l, sequence: q.added}
	o.turn = l.order.Add(o, r.Caller, r.Arrived)
	at := len(c.openings)
	for at > 0 && o.arrivedBefore(c.openings[at-1]) {
		at--
	}
	c.openings = slices.Insert(c.openings, at, o)
	l.changed(c)
	q.deadlines.Push(o)
	q.waiting++
}

// last returns the least urgent opening; one must be waiting.
func (q *Queue[T]) last() *opening[T] {
	for _, l := range slices.Backward(q.levels) {
		if len(l.callers) == 0 {
			continue
		}
		for !l.heaviest.First().valid() {
			l.heaviest.Pop()
		}
		return l.heaviest.First().latest
	}
	panic("admission: no opening waits")
}

func (q *Queue[T]) refuse(o *opening[T], reason Reason, wait time.Duration) Request[T] {
	r := q.remove(o)
	r.Reason, r.Wait = reason, wait
	return r
}

func (q *Queue[T]) remove(o *opening[T]) Request[T] {
	l, r := o.level, o.Request
	l.order.Remove(o.turn)
	c := l.callers[r.Caller]
	switch n := len(c.openings); o {
	case c.openings[0]:
		c.openings[0] = nil
		c.openings = c.openings[1:]
	case c.openings[n-1]:
		c.openings[n-1] = nil
		c.openings = c.openings[:n-1]
	default:
		i := slices.Index(c.openings, o)
		c.openings = slices.Delete(c.openings, i, i+1)
	}
	if len(c.openings) == 0 {
		delete(l.callers, r.Caller)
	}
	l.changed(c)
	q.waiting--
	o.gone = true
	// Heaps may hold the opening for some time, but need only its keys.
	var zero T
	o.Value = zero
	if q.deadlines.Len() > 2*q.waiting+minCompact {
		q.deadlines.Filter(func(o *opening[T]) bool { return !o.gone })
	}
	return r
}

// changed updates the weight of a caller.
func (l *level[T]) changed(c *caller[T]) {
	c.version++
	if n := len(c.openings); n > 0 {
		l.heaviest.Push(weight[T]{caller: c, version: c.version, n: n, latest: c.openings[n-1]})
	}
	if l.heaviest.Len() > 2*len(l.callers)+minCompact {
		l.heaviest.Filter(weight[T].valid)
	}
}
