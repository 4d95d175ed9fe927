package rig

import (
	"bytes"
	"maps"
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
	// The store keeps a lock while it writes the answer to a list, so it must not wait for the channel.
	a := answer{header: make(http.Header), status: http.StatusOK}
	f.store.ServeHTTP(&a, r)
	if c.silent.Load() {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	a.header.Del("Store-Era") // the platform's page doesn't name it
	maps.Copy(w.Header(), a.header)
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body.Bytes()) // the host may have ended
}

// answer keeps an answer of the store until it is known whether the channel is silent.
type answer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (a *answer) Header() http.Header { return a.header }

func (a *answer) WriteHeader(status int) { a.status = status }

func (a *answer) Write(b []byte) (int, error) { return a.body.Write(b) }
