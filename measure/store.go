package measure

import (
	"context"
	"time"

	"github.com/cornelbay/cornelbay/platform"
)

// Store is the platform's service on the virtual clock, with switchable faults.
type Store struct {
	*Driver
	Memory platform.Memory
	// Latency is the time of a call; 0 stands for 4 ms.
	Latency time.Duration
	// Down makes every call fail.
	Down bool
	// LoseAnswer reports whether the answer to a call is lost after it took
	// effect; nil loses none.
	LoseAnswer func(c platform.Call) bool
	// Unreachable reports whether a caller cannot reach the service; nil: none.
	Unreachable func(caller string) bool
	// Reads and Writes count the calls; a watch is a read.
	Reads, Writes int

	watches []*watch
}

type watch struct {
	call   platform.Call
	answer func(platform.Answer)
	done   bool
}

// do does a call and hands on its answer after the latency.
func (s *Store) do(caller string, c platform.Call, answer func(platform.Answer)) {
	wait := s.Latency
	if wait == 0 {
		wait = 4 * time.Millisecond
	}
	s.After(wait, func() { s.serve(caller, c, answer) })
}

func (s *Store) serve(caller string, c platform.Call, answer func(platform.Answer)) {
	if s.Down || (s.Unreachable != nil && s.Unreachable(caller)) {
		answer(platform.Answer{Call: c, Err: platform.ErrUnavailable})
		return
	}
	if c.Op == platform.Watch {
		s.Reads++
		s.watch(c, answer)
		return
	}
	a := s.Memory.Do(context.Background(), c)
	if c.Op == platform.Get || c.Op == platform.List {
		s.Reads++
	} else {
		s.Writes++
		s.Changed()
	}
	if s.LoseAnswer != nil && s.LoseAnswer(c) {
		a = platform.Answer{Call: c, Err: platform.ErrUnavailable}
	}
	answer(a)
}

func (s *Store) watch(c platform.Call, answer func(platform.Answer)) {
	w := &watch{call: c, answer: answer}
	s.watches = append(s.watches, w)
	s.After(platform.WatchTimeout, func() {
		if !w.done {
			w.done = true
			answer(platform.Answer{Call: c, Err: platform.ErrUnavailable})
		}
	})
	s.Changed()
}

// CutWatches fails every waiting watch.
func (s *Store) CutWatches() {
	for _, w := range s.watches {
		if !w.done {
			w.done = true
			w.answer(platform.Answer{Call: w.call, Err: platform.ErrUnavailable})
		}
	}
	s.watches = nil
}

// Changed answers the watches whose object has another version by now; it is
// called after a write from outside.
func (s *Store) Changed() {
	var rest []*watch
	for _, w := range s.watches {
		if w.done {
			continue
		}
		a := s.Memory.Do(context.Background(), platform.Call{Op: platform.Get, Key: w.call.Key})
		if a.Err != nil || a.Object.Version == w.call.Version {
			rest = append(rest, w)
			continue
		}
		w.done = true
		a.Call = w.call
		s.After(time.Millisecond, func() { w.answer(a) })
	}
	s.watches = rest
}

// Do does a call at once, for operators whose latency does not matter.
func (s *Store) Do(_ context.Context, c platform.Call) platform.Answer {
	if s.Down {
		return platform.Answer{Call: c, Err: platform.ErrUnavailable}
	}
	a := s.Memory.Do(context.Background(), c)
	if c.Op != platform.Get && c.Op != platform.List {
		s.Writes++
		s.Changed()
	} else {
		s.Reads++
	}
	if s.LoseAnswer != nil && s.LoseAnswer(c) {
		return platform.Answer{Call: c, Err: platform.ErrUnavailable}
	}
	return a
}
