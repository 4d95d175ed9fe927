package measure

import (
	"context"
	"slices"
	"time"

	"github.com/cornelbay/cornelbay/objectstore"
)

// Store is the platform's service on the virtual clock, with switchable faults.
type Store struct {
	*Driver
	Memory objectstore.Memory
	// Latency is the time of a call; 0 stands for 4 ms.
	Latency time.Duration
	// Down makes every call fail.
	Down bool
	// LoseAnswer reports whether the answer to a call is lost after it took
	// effect; nil loses none.
	LoseAnswer func(c objectstore.Call) bool
	// Silent reports whether a call of a caller is never answered; nil: none.
	Silent func(caller string, c objectstore.Call) bool
	// Stale reports whether a read answers the version before the present one;
	// nil: none.
	Stale func(c objectstore.Call) bool
	// Limited reports whether a call is refused for its rate; nil: none.
	Limited func(caller string) bool
	// Unreachable reports whether a caller cannot reach the service; nil: none.
	Unreachable func(caller string) bool
	// Reads and Writes count the calls that reached the service; a watch is a read.
	Reads, Writes int

	watches  []*watch
	previous map[string]objectstore.Object
}

type watch struct {
	call   objectstore.Call
	caller string
	answer func(objectstore.Answer)
	done   bool
}

// do does a call and hands on its answer after the latency.
func (s *Store) do(caller string, c objectstore.Call, answer func(objectstore.Answer)) {
	wait := s.Latency
	if wait == 0 {
		wait = 4 * time.Millisecond
	}
	s.After(wait, func() { s.serve(caller, c, answer) })
}

func (s *Store) serve(caller string, c objectstore.Call, answer func(objectstore.Answer)) {
	if s.cut(caller) {
		answer(objectstore.Answer{Call: c, Err: objectstore.ErrUnavailable})
		return
	}
	if c.Op == objectstore.Watch || c.Op == objectstore.Get || c.Op == objectstore.List {
		s.Reads++
	} else {
		s.Writes++
	}
	switch {
	case s.Silent != nil && s.Silent(caller, c):
	case s.Limited != nil && s.Limited(caller):
		answer(objectstore.Answer{Call: c, Err: objectstore.ErrLimited, RetryAfter: time.Second})
	case c.Op == objectstore.Watch:
		s.watch(caller, c, answer)
	default:
		answer(s.apply(c))
	}
}

// cut reports whether a caller gets no answer from the service.
func (s *Store) cut(caller string) bool {
	return s.Down || (s.Unreachable != nil && s.Unreachable(caller))
}

// apply does a call that does not wait, under the faults of its answer.
func (s *Store) apply(c objectstore.Call) objectstore.Answer {
	old := s.Memory.Do(context.Background(), objectstore.Call{Op: objectstore.Get, Key: c.Key})
	a := s.Memory.Do(context.Background(), c)
	if c.Op == objectstore.Get && s.Stale != nil && s.Stale(c) {
		if o, ok := s.previous[c.Key]; ok {
			a.Object = o
		}
	}
	if a.Err == nil && c.Op != objectstore.Get && c.Op != objectstore.List {
		if s.previous == nil {
			s.previous = make(map[string]objectstore.Object)
		}
		if old.Err == nil {
			s.previous[c.Key] = old.Object
		}
		s.Changed()
	}
	if s.LoseAnswer != nil && s.LoseAnswer(c) {
		return objectstore.Answer{Call: c, Err: objectstore.ErrUnavailable}
	}
	return a
}

func (s *Store) watch(caller string, c objectstore.Call, answer func(objectstore.Answer)) {
	w := &watch{call: c, caller: caller, answer: answer}
	s.watches = append(s.watches, w)
	s.After(c.WaitTime(), func() {
		if w.done {
			return
		}
		err := objectstore.ErrNotModified
		if s.cut(caller) {
			err = objectstore.ErrUnavailable
		}
		s.finish(w, objectstore.Answer{Err: err})
	})
	s.Changed()
}

// finish answers a watch and forgets it.
func (s *Store) finish(w *watch, a objectstore.Answer) {
	w.done = true
	s.watches = slices.DeleteFunc(s.watches, func(o *watch) bool { return o == w })
	a.Call = w.call
	w.answer(a)
}

// CutWatches fails every waiting watch.
func (s *Store) CutWatches() {
	for _, w := range slices.Clone(s.watches) {
		s.finish(w, objectstore.Answer{Err: objectstore.ErrUnavailable})
	}
}

// Changed answers the watches whose object has another version by now; it is
// called after a write from outside.
func (s *Store) Changed() {
	for _, w := range slices.Clone(s.watches) {
		a := s.Memory.Do(context.Background(), objectstore.Call{Op: objectstore.Get, Key: w.call.Key})
		if s.cut(w.caller) || a.Err != nil || a.Object.Version == w.call.Version {
			continue
		}
		s.After(time.Millisecond, func() {
			if !w.done {
				s.finish(w, a)
			}
		})
	}
}

// Do does a call at once, for operators whose latency does not matter.
func (s *Store) Do(_ context.Context, c objectstore.Call) objectstore.Answer {
	if s.Down {
		return objectstore.Answer{Call: c, Err: objectstore.ErrUnavailable}
	}
	if c.Op != objectstore.Get && c.Op != objectstore.List {
		s.Writes++
	} else {
		s.Reads++
	}
	return s.apply(c)
}
