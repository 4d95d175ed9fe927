// Package fakeplatform stands in for the users' platform in tests: its metadata
// store with faults that can be switched, and both ends of its flows.
package fakeplatform

import (
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// FailureMode is how the store turns a call away.
type FailureMode int

// The ways in which the store turns a call away.
const (
	NoFailure FailureMode = iota
	Unavailable
	RateLimited
	ConnectionReset
	NoResponse
)

// Faults are what is wrong with the store; the zero value is a store that works.
type Faults struct {
	// Mode holds for the hosts at RefuseOnly, or for all where that is empty.
	Mode          FailureMode
	AffectedHosts []netip.Addr
	// Delay comes before each answer.
	Delay time.Duration
	// DropResponses does writes and never answers them.
	DropResponses bool
	// DropEvents watches hear of no change.
	DropEvents bool
}

type object struct {
	Meta struct {
		Name       string   `json:"name"`
		Revision   uint64   `json:"revision"`
		CreatedRev uint64   `json:"created_rev"`
		Finalizers []string `json:"finalizers"`
		Deleting   bool     `json:"deleting"`
	} `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type event struct {
	Object   object `json:"object"`
	Deleted  bool   `json:"deleted"`
	revision uint64
}

// Store is the metadata store; its zero value is empty.
type Store struct {
	mu       sync.Mutex
	faults   Faults
	revision uint64
	floor    uint64
	kinds    map[string]map[string]object
	events   map[string][]event
	changed  chan struct{}
	calls    map[string]int
	// PageSize is the number of objects in one page of a list; 0 stands for 50.
	PageSize int
}

const defaultPageSize = 50

// Set switches faults.
func (s *Store) Set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wake()
}

// Calls returns the number of calls for a kind so far.
func (s *Store) Calls(kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[kind]
}

// Put writes an object as the operator or a target does; a nil spec deletes it.
func (s *Store) Put(kind, name string, spec any) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if spec == nil {
		return s.delete(kind, name)
	}
	b, ok := spec.(json.RawMessage)
	if !ok {
		var err error
		if b, err = json.Marshal(spec); err != nil {
			panic(err) // a test handed in what has no JSON
		}
	}
	return s.put(kind, name, b).Meta.Revision
}

// DropHistory drops the history and cuts all watches.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++ // so that the revision of each watch that waits is forgotten too
	s.floor = s.revision
	s.events = nil
	s.wake()
}

func (s *Store) wake() {
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

func (s *Store) put(kind, name string, spec json.RawMessage) object {
	if s.kinds == nil {
		s.kinds = make(map[string]map[string]object)
	}
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]object)
	}
	o, exists := s.kinds[kind][name]
	if exists && string(o.Spec) == string(spec) {
		return o
	}
	s.revision++
	if !exists {
		o.Meta.CreatedRev = s.revision
	}
	o.Meta.Name, o.Meta.Revision, o.Spec = name, s.revision, spec
	s.kinds[kind][name] = o
	s.tell(kind, event{Object: o, revision: s.revision})
	return o
}

func (s *Store) delete(kind, name string) uint64 {
	o, ok := s.kinds[kind][name]
	if !ok {
		return s.revision
	}
	s.revision++
	delete(s.kinds[kind], name)
	s.tell(kind, event{Object: o, Deleted: true, revision: s.revision})
	return s.revision
}

func (s *Store) tell(kind string, e event) {
	if s.events == nil {
		s.events = make(map[string][]event)
	}
	s.events[kind] = append(s.events[kind], e)
	s.wake()
}

// ServeHTTP serves the store's calls.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	s.mu.Lock()
	f := s.faults
	if s.calls == nil {
		s.calls = make(map[string]int)
	}
	s.calls[kind]++
	s.mu.Unlock()
	if s.refuse(w, r, f) {
		return
	}
	time.Sleep(f.Delay)
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.list(w, r, kind)
	default:
		s.write(w, r, kind, name, f)
	}
}

// refuse reports whether a fault answers the call.
func (s *Store) refuse(w http.ResponseWriter, r *http.Request, f Faults) bool {
	from, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil || len(f.AffectedHosts) > 0 && !slices.Contains(f.AffectedHosts, from.Addr()) {
		return false
	}
	switch f.Mode {
	case Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
	case RateLimited:
		w.WriteHeader(http.StatusTooManyRequests)
	case ConnectionReset:
		reset(w)
	case NoResponse:
		<-r.Context().Done()
	default:
		return false
	}
	return true
}

func reset(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // without it the end is a FIN, which is a fault as well
	}
	_ = c.Close()
}

func (s *Store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	size := s.PageSize
	if size == 0 {
		size = defaultPageSize
	}
	var names []string
	for name := range s.kinds[kind] {
		if name > r.URL.Query().Get("after") {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	items := []object{}
	for _, name := range names[:min(size, len(names))] {
		items = append(items, s.kinds[kind][name])
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "has_more": len(names) > size, "store_revision": s.revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, err2 := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if since < s.floor {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events, revision := s.since(kind, since), s.revision
		if s.changed == nil {
			s.changed = make(chan struct{})
		}
		changed, deaf := s.changed, s.faults.DropEvents
		s.mu.Unlock()
		if len(events) > 0 && !deaf {
			answer(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			answer(w, http.StatusOK, map[string]any{"events": []event{}, "store_revision": revision})
			return
		}
	}
}

func (s *Store) since(kind string, revision uint64) []event {
	var events []event
	for _, e := range s.events[kind] {
		if e.revision > revision {
			events = append(events, e)
		}
	}
	return events
}

func (s *Store) write(w http.ResponseWriter, r *http.Request, kind, name string, f Faults) {
	var o object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	status, stored := s.store(r.Method, kind, name, o)
	s.mu.Unlock()
	if f.DropResponses {
		<-r.Context().Done()
		return
	}
	answer(w, status, stored)
}

func (s *Store) store(method, kind, name string, o object) (int, object) {
	if method == http.MethodPost {
		name = o.Meta.Name
	}
	old, exists := s.kinds[kind][name]
	switch {
	case method == http.MethodPost && exists:
		return http.StatusConflict, old
	case method == http.MethodPut && !exists:
		return http.StatusNotFound, object{}
	case method == http.MethodPut && o.Meta.Revision != 0 && o.Meta.Revision != old.Meta.Revision:
		return http.StatusConflict, old
	}
	return http.StatusOK, s.put(kind, name, o.Spec)
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // a caller that has gone needs no answer
}
