// Package caller speaks HTTP/1.1 with callers: the server side on a host and a
// client for programs that call.
package caller

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/request"
)

// The limits of a request.
const (
	MaxBodyBytes    = 1 << 20
	DefaultDeadline = 2 * time.Second
)

// DeadlineHeader gives the milliseconds that the caller waits for the answer.
const DeadlineHeader = "Cornelbay-Deadline-Ms"

// NewServer returns the handler of callers' requests under /services/NAME/; do
// takes a request.Request and returns a request.Response.
func NewServer(do endpoint.Endpoint) http.Handler {
	return kithttp.NewServer(do, decode, encode)
}

func decode(_ context.Context, r *http.Request) (any, error) {
	name, path, ok := strings.Cut(strings.TrimPrefix(r.URL.Path, "/services/"), "/")
	if !ok || name == "" {
		return nil, merry.New("path must be /services/NAME/...", merry.WithHTTPCode(http.StatusNotFound))
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, MaxBodyBytes+1))
	if err != nil {
		return nil, merry.Prepend(err, "body")
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return nil, merry.Prepend(err, "remote address")
	}
	return request.Request{
		Service: cornelbay.ServiceName(name), Caller: host, Method: r.Method,
		Path: "/" + path, Header: r.Header, Body: body, Deadline: deadline(r.Header),
	}, nil
}

func deadline(h http.Header) time.Time {
	d := DefaultDeadline
	if ms, err := strconv.Atoi(h.Get(DeadlineHeader)); err == nil && ms > 0 {
		d = time.Duration(ms) * time.Millisecond
	}
	return time.Now().Add(d)
}

func encode(_ context.Context, w http.ResponseWriter, v any) error {
	r := v.(request.Response)
	for k, vs := range r.Header {
		w.Header()[k] = vs
	}
	w.Header().Set(cornelbay.OutcomeHeader, r.Outcome.String())
	if r.RetryAfter > 0 {
		s := int((r.RetryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.Itoa(s))
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(r.Body)))
	w.WriteHeader(r.Status)
	_, err := w.Write(r.Body)
	return err
}
