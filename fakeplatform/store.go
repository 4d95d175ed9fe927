// Package fakeplatform is a fake of the users' platform for tests: its metadata store,
// with faults that can be injected, and the callers and targets of its flows.
package fakeplatform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// FailureMode is the way in which calls to the store fail.
type FailureMode int

// The failure modes of the store.
const (
	NoFailure FailureMode = iota
	Unavailable
	RateLimited
	ConnectionReset
	NoResponse
)

// Faults are the faults injected into the store; the zero value injects none.
type Faults struct {
	// Mode applies to calls from AffectedHosts, or to all calls if that is empty.
	// AffectedHosts limits no other fault.
	Mode          FailureMode
	AffectedHosts []netip.Addr
	// Delay is how long the store waits before it handles a call.
	Delay time.Duration
	// DropResponses makes the store apply writes without responding to them.
	DropResponses bool
	// DropEvents withholds all changes from watches.
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

// Store is the fake metadata store; the zero value is an empty store.
type Store struct {
	mu             sync.Mutex
	faults         Faults
	era            uint64
	revision       uint64
	oldestRevision uint64
	kinds          map[string]map[string]object
	events         map[string][]event
	changed        chan struct{}
	calls          map[string]int
	// raw are specs that are no JSON, by the token that stands for each in the object. rawMu
	// guards it.
	rawMu sync.Mutex
	raw   map[string][]byte
	// PageSize is the number of objects in one page of a list; 0 means 50.
	PageSize int
}

const defaultPageSize = 50

// Set replaces the injected faults.
func (s *Store) Set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wakeWatches()
}

// Calls returns the number of calls received for a kind.
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
			panic(err) // the test passed a value that can't be encoded as JSON
		}
	}
	return s.put(kind, name, b).Meta.Revision
}

// PutRaw writes an object whose spec is any bytes, as the store's answers carry it.
func (s *Store) PutRaw(kind, name string, spec []byte) uint64 {
	s.rawMu.Lock()
	if s.raw == nil {
		s.raw = make(map[string][]byte)
	}
	token := fmt.Sprintf(`"raw spec %d of %s"`, len(s.raw), kind)
	s.raw[token] = spec
	s.rawMu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.put(kind, name, json.RawMessage(token)).Meta.Revision
}

// DropHistory discards all events, so that every watch from an earlier revision fails
// with 410 Gone, including those that are waiting.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++ // puts the revisions of waiting watches before oldestRevision too
	s.oldestRevision = s.revision
	s.events = nil
	s.wakeWatches()
}

// Copy is the state of a Store at one time, from which it can be restored.
type Copy struct {
	revision uint64
	kinds    map[string]map[string]object
}

// Copy returns a copy of the present state.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{s.revision, cloneKinds(s.kinds)}
}

func cloneKinds(kinds map[string]map[string]object) map[string]map[string]object {
	all := make(map[string]map[string]object, len(kinds))
	for kind, objects := range kinds {
		all[kind] = maps.Clone(objects)
	}
	return all
}

// Restore brings the store back to the state of a copy: all later writes are lost, their
// revisions are given out again, and a new era begins. Waiting watches from revisions that
// the copy has go on; those from later ones fail with 410 Gone.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.kinds = c.revision, cloneKinds(c.kinds)
	for kind, events := range s.events {
		s.events[kind] = slices.DeleteFunc(slices.Clone(events), func(e event) bool { return e.revision > c.revision })
	}
	s.wakeWatches()
}

func (s *Store) wakeWatches() {
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
	s.appendEvent(kind, event{Object: o, revision: s.revision})
	return o
}

func (s *Store) delete(kind, name string) uint64 {
	o, ok := s.kinds[kind][name]
	if !ok {
		return s.revision
	}
	s.revision++
	delete(s.kinds[kind], name)
	s.appendEvent(kind, event{Object: o, Deleted: true, revision: s.revision})
	return s.revision
}

func (s *Store) appendEvent(kind string, e event) {
	if s.events == nil {
		s.events = make(map[string][]event)
	}
	s.events[kind] = append(s.events[kind], e)
	s.wakeWatches()
}

// ServeHTTP serves the store's HTTP API.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	s.mu.Lock()
	f := s.faults
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	if s.calls == nil {
		s.calls = make(map[string]int)
	}
	s.calls[kind]++
	s.mu.Unlock()
	if s.injectFailure(w, r, f) {
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

// injectFailure fails the call if the faults say so and reports whether it did.
func (s *Store) injectFailure(w http.ResponseWriter, r *http.Request, f Faults) bool {
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
		resetConnection(w)
	case NoResponse:
		<-r.Context().Done()
	default:
		return false
	}
	return true
}

func resetConnection(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // without this, Close sends a FIN instead of a RST; if it fails, the FIN is a fault too
	}
	_ = c.Close()
}

func (s *Store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
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
	s.writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": len(names) > size, "store_revision": s.revision})
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
		w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10)) // a restore may have come meanwhile
		if since < s.oldestRevision || since > s.revision {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events, revision := s.eventsSince(kind, since), s.revision
		if s.changed == nil {
			s.changed = make(chan struct{})
		}
		changed, dropEvents := s.changed, s.faults.DropEvents
		s.mu.Unlock()
		if len(events) > 0 && !dropEvents {
			s.writeJSON(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			s.writeJSON(w, http.StatusOK, map[string]any{"events": []event{}, "store_revision": revision})
			return
		}
	}
}

func (s *Store) eventsSince(kind string, revision uint64) []event {
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
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	status, stored := s.applyWrite(r.Method, kind, name, o)
	s.mu.Unlock()
	if f.DropResponses {
		<-r.Context().Done()
		return
	}
	s.writeJSON(w, status, stored)
}

func (s *Store) applyWrite(method, kind, name string, o object) (int, object) {
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

func (s *Store) writeJSON(w http.ResponseWriter, status int, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		panic(err) // bodies are values of this package
	}
	s.rawMu.Lock()
	for token, spec := range s.raw {
		b = bytes.ReplaceAll(b, []byte(token), spec)
	}
	s.rawMu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b) // the client may have disconnected
}
