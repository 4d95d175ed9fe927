// Package target speaks HTTP/1.1 with targets: requests, health and load.
package target

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cornelbay/cornelbay/request"
	"github.com/cornelbay/cornelbay/warmth"
)

// The headers that go with an attempt.
const (
	AttemptHeader  = "Cornelbay-Attempt"
	DeadlineHeader = "Cornelbay-Deadline-Ms"
	// RefusedHeader is set on a target's refusal that ran nothing.
	RefusedHeader = "Cornelbay-Refused"
)

// Client sends attempts and probes to targets; its zero value works.
type Client struct {
	HTTP http.Client
}

// Do sends an attempt and returns what became of it.
func (c *Client) Do(ctx context.Context, a request.Attempt) request.AttemptResult {
	res := request.AttemptResult{ID: a.ID}
	r, err := newRequest(ctx, a)
	if err != nil {
		res.Proof = request.NeverSent
		return res
	}
	hr, err := c.HTTP.Do(r)
	if err != nil {
		return res
	}
	defer hr.Body.Close()
	body, err := io.ReadAll(hr.Body)
	if err != nil {
		return res
	}
	if hr.StatusCode == http.StatusServiceUnavailable && hr.Header.Get(RefusedHeader) != "" {
		res.Proof = request.Refused
		return res
	}
	res.Whole = true
	res.Response = request.Response{Status: hr.StatusCode, Header: hr.Header, Body: body}
	return res
}

func newRequest(ctx context.Context, a request.Attempt) (*http.Request, error) {
	u := "http://" + a.Address.String() + a.Request.Path
	r, err := http.NewRequestWithContext(ctx, a.Request.Method, u, bytes.NewReader(a.Request.Body))
	if err != nil {
		return nil, merry.Prepend(err, "attempt")
	}
	for k, vs := range a.Request.Header {
		r.Header[k] = vs
	}
	r.Header.Set(AttemptHeader, strconv.FormatUint(uint64(a.ID), 10))
	r.Header.Set(DeadlineHeader, strconv.FormatInt(time.Until(a.Deadline).Milliseconds(), 10))
	return r, nil
}

// Probe asks a target for its health and returns the signal.
func (c *Client) Probe(ctx context.Context, p warmth.Probe) warmth.Signal {
	s := warmth.Signal{Target: p.Target, Kind: warmth.ProbeFailed}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Address.String()+"/health", nil)
	if err != nil {
		return s
	}
	res, err := c.HTTP.Do(r)
	if err != nil {
		return s
	}
	defer res.Body.Close()
	if res.StatusCode == http.StatusOK {
		s.Kind = warmth.ProbeOK
	}
	return s
}
