package objectstore

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sync"
	"time"
)

// Faults selects the faults that a Faulty store injects; the zero value injects
// none.
type Faults struct {
	// Down makes every call fail before it takes effect.
	Down bool `json:"down"`
	// DelayMs delays every call by this many milliseconds.
	DelayMs int `json:"delayMs"`
	// LoseEvery drops the answer to every n-th write that took effect; 0 drops none.
	LoseEvery int `json:"loseEvery"`
	// StaleReads makes Get return the previous value and version of an object.
	StaleReads bool `json:"staleReads"`
	// CutWatches makes every watch fail, including pending ones.
	CutWatches bool `json:"cutWatches"`
	// CallsPerSecond is the rate above which calls fail with ErrLimited; 0 means no
	// limit.
	CallsPerSecond int `json:"callsPerSecond"`
}

// Faulty forwards calls to Service and injects faults. It is also an HTTP handler for
// its Faults: GET reads them and PUT replaces them.
type Faulty struct {
	Service Store

	mu     sync.Mutex
	faults Faults
	// changed is closed when faults changes.
	changed chan struct{}
	writes  int
	// calls is the number of calls in the Unix second given by second.
	second int64
	calls  int
	// previous and current hold the last but one and the last write of each key.
	previous map[string]Object
	current  map[string]Object
}

// Set replaces the injected faults. It also affects pending watches.
func (f *Faulty) Set(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
	if f.changed != nil {
		close(f.changed)
	}
	f.changed = make(chan struct{})
}

// Faults returns the injected faults.
func (f *Faulty) Faults() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

// ServeHTTP reads or replaces the faults as JSON.
func (f *Faulty) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut {
		var faults Faults
		d := json.NewDecoder(r.Body)
		d.DisallowUnknownFields()
		if err := d.Decode(&faults); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		f.Set(faults)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(f.Faults()) // on an error the client sees a truncated response
}

// Do forwards the call, subject to the injected faults.
func (f *Faulty) Do(ctx context.Context, c Call) Answer {
	faults, changed, limited := f.admit()
	if faults.DelayMs > 0 && !sleep(ctx, time.Duration(faults.DelayMs)*time.Millisecond) {
		return Answer{Call: c, Err: ErrUnavailable}
	}
	switch {
	case faults.Down, faults.CutWatches && c.Op == Watch:
		return Answer{Call: c, Err: ErrUnavailable}
	case limited:
		return Answer{Call: c, Err: ErrLimited, RetryAfter: time.Second}
	case c.Op == Watch:
		return f.watch(ctx, c, changed)
	}
	a := f.Service.Do(ctx, c)
	if c.Op == Get && a.Err == nil && faults.StaleReads {
		a.Object = f.previousVersion(a.Object)
	}
	if c.Op.writes() && a.Err == nil && f.recordWrite(c, a.Object) {
		return Answer{Call: c, Err: ErrUnavailable}
	}
	return a
}

func (o Op) writes() bool { return o == Create || o == Update || o == Delete }

// admit counts a call against the rate limit. It returns the injected faults, a
// channel that is closed when they change, and whether the limit is exceeded.
func (f *Faulty) admit() (Faults, <-chan struct{}, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now := time.Now().Unix(); now != f.second {
		f.second, f.calls = now, 0
	}
	f.calls++
	if f.changed == nil {
		f.changed = make(chan struct{})
	}
	limit := f.faults.CallsPerSecond
	return f.faults, f.changed, limit > 0 && f.calls > limit
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// watch forwards a watch and fails it as soon as Down or CutWatches is set.
func (f *Faulty) watch(ctx context.Context, c Call, changed <-chan struct{}) Answer {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ch := make(chan Answer, 1)
	go func() { ch <- f.Service.Do(ctx, c) }()
	for {
		select {
		case a := <-ch:
			return a
		case <-changed:
		}
		f.mu.Lock()
		cut := f.faults.Down || f.faults.CutWatches
		changed = f.changed
		f.mu.Unlock()
		if cut {
			return Answer{Call: c, Err: ErrUnavailable}
		}
	}
}

// previousVersion returns an object with its previous value and version, or the object
// itself if it has no previous ones.
func (f *Faulty) previousVersion(o Object) Object {
	f.mu.Lock()
	defer f.mu.Unlock()
	if old, ok := f.previous[o.Key]; ok {
		return old
	}
	return o
}

// recordWrite records a write that took effect and reports whether to drop its answer.
func (f *Faulty) recordWrite(c Call, o Object) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current == nil {
		f.current, f.previous = make(map[string]Object), make(map[string]Object)
	}
	if old, ok := f.current[c.Key]; ok {
		f.previous[c.Key] = old
	}
	f.current[c.Key] = o
	if c.Op == Delete {
		delete(f.current, c.Key)
		delete(f.previous, c.Key)
	}
	f.writes++
	return f.faults.LoseEvery > 0 && f.writes%f.faults.LoseEvery == 0
}

// OutcomeUnknown reports whether an error leaves open whether a write took effect.
func OutcomeUnknown(err error) bool {
	for _, definite := range []error{ErrNotFound, ErrConflict, ErrExists, ErrLimited, ErrTooLarge, ErrNotModified} {
		if errors.Is(err, definite) {
			return false
		}
	}
	return err != nil
}
