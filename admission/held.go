package admission

import (
	"slices"
	"time"
)

// Held is a request on an open flow that waits for room at the flow's target. Unlike an
// opening, it can be neither refused nor sent to another target.
type Held[T comparable] struct {
	Value    T
	Priority int
	Arrived  time.Time
	// Until is the time after which it can no longer be answered in time, Last when it is sent
	// on without room.
	Until, Last time.Time
}

// HeldQueue has the requests on open flows that wait, the most urgent first, and among these the
// earliest. Its zero value is empty. It is not safe for concurrent use.
//
// It answers the load of callers that keep flows open and send more requests on them than the
// slots can serve, while urgent requests come on flows of their own.
type HeldQueue[T comparable] struct {
	requests []Held[T]
}

// Len returns the number of requests that wait.
func (q *HeldQueue[T]) Len() int { return len(q.requests) }

// Add inserts a request.
func (q *HeldQueue[T]) Add(r Held[T]) {
	i := len(q.requests)
	for i > 0 && r.Priority < q.requests[i-1].Priority {
		i--
	}
	q.requests = slices.Insert(q.requests, i, r)
}

// Priority returns that of the most urgent request. One must wait.
func (q *HeldQueue[T]) Priority() int { return q.requests[0].Priority }

// Next removes and returns the earliest of the most urgent requests that can be answered in time,
// or else the earliest of them.
func (q *HeldQueue[T]) Next(now time.Time) (Held[T], bool) {
	if len(q.requests) == 0 {
		return Held[T]{}, false
	}
	next, priority := 0, q.Priority()
	for i, r := range q.requests {
		if r.Priority == priority && now.Before(r.Until) {
			next = i
			break
		}
	}
	r := q.requests[next]
	q.requests = slices.Delete(q.requests, next, next+1)
	return r, true
}

// Expire removes and returns the requests that are to be sent on without room: those that have
// waited long enough, or all.
func (q *HeldQueue[T]) Expire(now time.Time, all bool) []Held[T] {
	var expired []Held[T]
	q.requests = slices.DeleteFunc(q.requests, func(r Held[T]) bool {
		if !all && now.Before(r.Last) {
			return false
		}
		expired = append(expired, r)
		return true
	})
	return expired
}

// Remove removes and returns the request with a value.
func (q *HeldQueue[T]) Remove(value T) (Held[T], bool) {
	for i, r := range q.requests {
		if r.Value == value {
			q.requests = slices.Delete(q.requests, i, i+1)
			return r, true
		}
	}
	return Held[T]{}, false
}
