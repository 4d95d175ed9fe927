package objectstore

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sync"
	"time"
)

// Faults are the switches of a Faulty service; the zero value has none on.
type Faults struct {
	// Down makes every call fail before it takes effect.
	Down bool `json:"down"`
	// DelayMs delays every call, in milliseconds.
	DelayMs int `json:"delayMs"`
	// LoseEvery loses the answer to each n-th write that took effect; 0 loses none.
	LoseEvery int `json:"loseEvery"`
	// StaleReads answers reads with the version before the present one.
	StaleReads bool `json:"staleReads"`
	// CutWatches fails every watch.
	CutWatches bool `json:"cutWatches"`
	// CallsPerSecond is the rate above which calls are refused; 0 is no limit.
	CallsPerSecond int `json:"callsPerSecond"`
}

// Faulty passes calls to Service and injects faults. It serves its switches over
// HTTP: GET reads them and PUT sets them.
type Faulty struct {
	Service Service

	mu       sync.Mutex
	faults   Faults
	changed  chan struct{}
	writes   int
	second   int64
	calls    int
	previous map[string]Object
	present  map[string]Object
}

// Set replaces the switches; watches that wait notice it.
func (f *Faulty) Set(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
	if f.changed != nil {
		close(f.changed)
	}
	f.changed = make(chan struct{})
}

// Faults returns the switches.
func (f *Faulty) Faults() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

// ServeHTTP reads or sets the switches as JSON.
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
	_ = json.NewEncoder(w).Encode(f.Faults()) // the reader sees a cut answer
}

// Do does the call under the faults that are on.
func (f *Faulty) Do(ctx context.Context, c Call) Answer {
	faults, changed, limited := f.admit()
	if faults.DelayMs > 0 && !pause(ctx, time.Duration(faults.DelayMs)*time.Millisecond) {
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
		a.Object = f.stale(a.Object)
	}
	if c.Op.writes() && a.Err == nil && f.wrote(c, a.Object) {
		return Answer{Call: c, Err: ErrUnavailable}
	}
	return a
}

func (o Op) writes() bool { return o == Create || o == Update || o == Delete }

// admit counts a call against the limit and returns the switches.
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

func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// watch passes a watch on and fails it when a fault that cuts it is switched on.
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

// stale returns the version of an object before the present one, if it had one.
func (f *Faulty) stale(o Object) Object {
	f.mu.Lock()
	defer f.mu.Unlock()
	if old, ok := f.previous[o.Key]; ok {
		return old
	}
	return o
}

// wrote notes a write that took effect and reports whether its answer is lost.
func (f *Faulty) wrote(c Call, o Object) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.present == nil {
		f.present, f.previous = make(map[string]Object), make(map[string]Object)
	}
	if old, ok := f.present[c.Key]; ok {
		f.previous[c.Key] = old
	}
	f.present[c.Key] = o
	if c.Op == Delete {
		delete(f.present, c.Key)
		delete(f.previous, c.Key)
	}
	f.writes++
	return f.faults.LoseEvery > 0 && f.writes%f.faults.LoseEvery == 0
}

// Unclear reports whether an error leaves it open if a write took effect.
func Unclear(err error) bool {
	for _, clear := range []error{ErrNotFound, ErrConflict, ErrExists, ErrLimited, ErrTooLarge, ErrNotModified} {
		if errors.Is(err, clear) {
			return false
		}
	}
	return err != nil
}
