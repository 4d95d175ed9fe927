package rig

import (
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/cornelbay/cornelbay/fakeplatform"
)

// front is the address at which one host reaches the store. It can let channels that are open go
// silent for good, while new ones work.
type front struct {
	store *fakeplatform.Store
	l     net.Listener
	srv   *http.Server

	mu   sync.Mutex
	open map[*call]bool
	// watches counts the watches so far, by kind.
	watches map[string]int
	// cut is true while new calls are silent, too.
	cut atomic.Bool
}

// call is one call that the store has not answered yet.
type call struct {
	kind   string
	watch  bool
	silent atomic.Bool
}

func newFront(store *fakeplatform.Store) (*front, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &front{store: store, l: l, open: make(map[*call]bool), watches: make(map[string]int)}
	f.srv = &http.Server{Handler: f}
	go func() { _ = f.srv.Serve(l) }() // ends with Close
	return f, nil
}

func (f *front) address() string { return f.l.Addr().String() }

func (f *front) close() { _ = f.srv.Close() }

// silence lets the open channels go silent for good on which a call waits that matches. It
// returns how many there were.
func (f *front) silence(match func(kind string, watch bool) bool) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for c := range f.open {
		if match(c.kind, c.watch) {
			c.silent.Store(true)
			n++
		}
	}
	return n
}

// ServeHTTP passes a call on to the store.
func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	c := &call{kind: kind, watch: r.URL.Query().Has("watch")}
	c.silent.Store(f.cut.Load())
	f.mu.Lock()
	f.open[c] = true
	if c.watch {
		f.watches[kind]++
	}
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.open, c)
	}()
	f.store.ServeHTTP(&answer{w, r, c}, r)
}

// answer drops what the platform's page doesn't name, and what would go over a silent channel.
type answer struct {
	http.ResponseWriter
	r *http.Request
	c *call
}

func (a *answer) WriteHeader(status int) {
	a.Header().Del("Store-Era")
	a.wait()
	a.ResponseWriter.WriteHeader(status)
}

func (a *answer) Write(b []byte) (int, error) {
	a.wait()
	return a.ResponseWriter.Write(b)
}

func (a *answer) wait() {
	if a.c.silent.Load() {
		<-a.r.Context().Done()
		panic(http.ErrAbortHandler)
	}
}
