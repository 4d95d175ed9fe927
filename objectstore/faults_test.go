package objectstore

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newTestServer starts an HTTP server with faults and returns a client for it, its
// Faulty service and the URL of the faults.
func newTestServer(t *testing.T) (*Client, *Faulty, string) {
	f := &Faulty{Service: &Memory{}}
	m := http.NewServeMux()
	objects := &Server{Service: f}
	m.Handle("/objects", objects)
	m.Handle("/objects/", objects)
	m.Handle("/faults", f)
	s := httptest.NewServer(m)
	t.Cleanup(s.Close)
	return &Client{Base: s.URL}, f, s.URL + "/faults"
}

func TestObjectsOverHTTP(t *testing.T) {
	is := is.New(t)
	c, _, _ := newTestServer(t)
	ctx := t.Context()
	get := Call{Op: Get, Key: "config/a b"}
	is.True(errors.Is(c.Do(ctx, get).Err, ErrNotFound))
	made := c.Do(ctx, Call{Op: Create, Key: get.Key, Value: []byte("1")})
	is.NoErr(made.Err)
	is.True(errors.Is(c.Do(ctx, Call{Op: Create, Key: get.Key}).Err, ErrExists))
	next := c.Do(ctx, Call{Op: Update, Key: get.Key, Version: made.Object.Version, Value: []byte("2")})
	is.NoErr(next.Err)
	is.True(errors.Is(c.Do(ctx, Call{Op: Update, Key: get.Key, Version: made.Object.Version}).Err, ErrConflict))
	is.Equal(string(c.Do(ctx, get).Object.Value), "2")
	is.Equal(len(c.Do(ctx, Call{Op: List, Key: "config/"}).Objects), 1)
	is.True(errors.Is(c.Do(ctx, Call{Op: Create, Key: "big", Value: make([]byte, MaxValueBytes+1)}).Err, ErrTooLarge))
	watch := Call{Op: Watch, Key: get.Key, Version: next.Object.Version, Wait: time.Millisecond}
	is.True(errors.Is(c.Do(ctx, watch).Err, ErrNotModified))
	watch.Version, watch.Wait = made.Object.Version, 0
	is.Equal(c.Do(ctx, watch).Object.Version, next.Object.Version)
	is.NoErr(c.Do(ctx, Call{Op: Delete, Key: get.Key, Version: next.Object.Version}).Err)
	is.True(errors.Is(c.Do(ctx, get).Err, ErrNotFound))
}

func TestFaultsAreSetOverHTTP(t *testing.T) {
	is := is.New(t)
	c, f, url := newTestServer(t)
	ctx := t.Context()
	put := func(faults string) {
		r, err := http.NewRequestWithContext(ctx, http.MethodPut, url, strings.NewReader(faults))
		is.NoErr(err)
		res, err := http.DefaultClient.Do(r)
		is.NoErr(err)
		is.NoErr(res.Body.Close())
		is.Equal(res.StatusCode, http.StatusOK)
	}
	get := Call{Op: Get, Key: "a"}
	put(`{"loseEvery": 1}`)
	is.True(errors.Is(c.Do(ctx, Call{Op: Create, Key: "a", Value: []byte("1")}).Err, ErrUnavailable))
	put(`{}`)
	first := c.Do(ctx, get)
	is.Equal(string(first.Object.Value), "1") // the write took effect
	is.NoErr(c.Do(ctx, Call{Op: Update, Key: "a", Version: first.Object.Version, Value: []byte("2")}).Err)
	put(`{"staleReads": true}`)
	is.Equal(string(c.Do(ctx, get).Object.Value), "1")
	put(`{"callsPerSecond": 1}`)
	c.Do(ctx, get)
	limited := c.Do(ctx, get)
	for limited.Err == nil { // the two calls fell into different seconds
		limited = c.Do(ctx, get)
	}
	is.True(errors.Is(limited.Err, ErrLimited))
	is.Equal(limited.RetryAfter, time.Second)
	put(`{"down": true}`)
	is.True(errors.Is(c.Do(ctx, get).Err, ErrUnavailable))
	is.Equal(f.Faults(), Faults{Down: true})
}

func TestWatchIsCut(t *testing.T) {
	is := is.New(t)
	f := &Faulty{Service: &Memory{}}
	is.NoErr(f.Do(t.Context(), Call{Op: Create, Key: "a"}).Err)
	ch := make(chan Answer)
	go func() { ch <- f.Do(context.Background(), Call{Op: Watch, Key: "a", Version: 1}) }()
	f.Set(Faults{CutWatches: true})
	is.True(errors.Is((<-ch).Err, ErrUnavailable))
}
