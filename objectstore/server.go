package objectstore

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// Server serves the object protocol over HTTP from a Store, for stand-ins.
type Server struct {
	Service Store
}

// ServeHTTP performs one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	call, err := parseCall(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	write(w, s.Service.Do(r.Context(), call))
}

func parseCall(r *http.Request) (Call, error) {
	if r.URL.Path == "/objects" {
		return Call{Op: List, Key: r.URL.Query().Get("prefix")}, nil
	}
	key, err := url.PathUnescape(r.URL.EscapedPath()[len("/objects/"):])
	if err != nil {
		return Call{}, err
	}
	c := Call{Key: key}
	switch {
	case r.Method == http.MethodDelete:
		c.Op = Delete
	case r.Method == http.MethodPut && r.Header.Get("If-None-Match") == "*":
		c.Op = Create
	case r.Method == http.MethodPut:
		c.Op = Update
	case r.URL.Query().Has("watch"):
		c.Op = Watch
		if c.Wait, err = time.ParseDuration(r.URL.Query().Get("watch")); err != nil {
			return Call{}, err
		}
	}
	if c.Value, err = io.ReadAll(io.LimitReader(r.Body, MaxValueBytes+1)); err != nil {
		return Call{}, err
	}
	tag := r.Header.Get("If-Match")
	if c.Op == Watch {
		tag = r.Header.Get("If-None-Match")
	}
	if c.Op == Update || c.Op == Delete || c.Op == Watch {
		c.Version, err = ParseETag(tag)
	}
	return c, err
}

func write(w http.ResponseWriter, a Answer) {
	if errors.Is(a.Err, ErrNotModified) {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	if a.Err != nil {
		if errors.Is(a.Err, ErrLimited) {
			w.Header().Set("Retry-After", strconv.Itoa(int(max(a.RetryAfter/time.Second, 1))))
		}
		http.Error(w, a.Err.Error(), errorStatus(a.Err))
		return
	}
	if a.Call.Op == List {
		_ = json.NewEncoder(w).Encode(a.Objects) // on an error the client sees a truncated response
		return
	}
	w.Header().Set("ETag", ETag(a.Object.Version))
	w.Header().Set("Date", time.Now().UTC().Format(http.TimeFormat))
	if a.Call.Op == Get || a.Call.Op == Watch {
		_, _ = w.Write(a.Object.Value) // on an error the client sees a truncated response
	}
}

func errorStatus(err error) int {
	for _, s := range []struct {
		err    error
		status int
	}{
		{ErrNotFound, http.StatusNotFound},
		{ErrConflict, http.StatusPreconditionFailed},
		{ErrExists, http.StatusPreconditionFailed},
		{ErrLimited, http.StatusTooManyRequests},
		{ErrTooLarge, http.StatusRequestEntityTooLarge},
	} {
		if errors.Is(err, s.err) {
			return s.status
		}
	}
	return http.StatusServiceUnavailable
}
