// Package target speaks HTTP/1.1 with targets: requests, health and load.
package target

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cornelbay/cornelbay/request"
	"github.com/cornelbay/cornelbay/warmth"
)

// The times of a Client.
const (
	// MinSilence is the least time that a pooled connection may bring nothing
	// before a fresh one is tried.
	MinSilence = 100 * time.Millisecond
	// IdleTimeout is how long an unused connection is kept.
	IdleTimeout = 10 * time.Second
)

// SilenceFactor times the usual latency of a target is the time that a pooled
// connection to it may bring nothing.
const SilenceFactor = 8

// MaxIdlePerTarget is the most unused connections that are kept for a target.
const MaxIdlePerTarget = 8

// Client sends attempts and probes to targets; its zero value works.
type Client struct {
	once sync.Once
	// pooled keeps connections for idempotent requests, single opens one for
	// each request, so that net/http has no reason to send it twice.
	pooled, single *http.Transport
	latencies      latencies
}

func (c *Client) init() {
	c.once.Do(func() {
		c.pooled = &http.Transport{
			MaxIdleConnsPerHost: MaxIdlePerTarget, IdleConnTimeout: IdleTimeout, DisableCompression: true,
		}
		c.single = &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	})
}

// Close closes the unused connections.
func (c *Client) Close() {
	c.init()
	c.pooled.CloseIdleConnections()
}

// Do sends an attempt and returns what became of it.
func (c *Client) Do(ctx context.Context, a request.Attempt) request.AttemptResult {
	c.init()
	if !a.Request.Idempotent() {
		return c.send(ctx, c.single, a, 0)
	}
	began := time.Now()
	res := c.send(ctx, c.pooled, a, c.silence(a, began))
	if res.Complete {
		c.latencies.add(a.Target, time.Since(began))
	}
	if !res.Silent || ctx.Err() != nil {
		return res
	}
	// The pooled connections of the target may have been forgotten by something
	// on the way: a fresh one shows whether the target itself is at fault.
	c.pooled.CloseIdleConnections()
	res = c.send(ctx, c.single, a, 0)
	res.Silent = true
	return res
}

// silence returns how long a pooled connection may bring nothing; half of the
// time to the deadline is left for a fresh one.
func (c *Client) silence(a request.Attempt, now time.Time) time.Duration {
	d := max(MinSilence, SilenceFactor*c.latencies.get(a.Target))
	return min(d, a.Deadline.Sub(now)/2)
}

// send makes one attempt. With a silence timeout, a reused connection that
// brings nothing for so long is closed and the result is Silent.
func (c *Client) send(ctx context.Context, t http.RoundTripper, a request.Attempt, silence time.Duration) request.AttemptResult {
	res := request.AttemptResult{ID: a.ID}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	w := watch{silence: silence, expired: func() { cancel(errSilent) }}
	r, err := newRequest(httptrace.WithClientTrace(ctx, w.trace()), a)
	if err != nil {
		res.Proof = request.NeverSent
		return res
	}
	hr, err := t.RoundTrip(r)
	if err != nil {
		res.Silent = errors.Is(context.Cause(ctx), errSilent)
		if !w.connected() {
			res.Proof = request.NeverSent
		}
		return res
	}
	defer hr.Body.Close()
	read(hr, a, &res)
	return res
}

var errSilent = merry.New("connection went silent")

// read takes an answer into the result when it is whole and of the attempt.
func read(hr *http.Response, a request.Attempt, res *request.AttemptResult) {
	if id := hr.Header.Get(request.AttemptHeader); id != "" && id != attemptID(a) {
		return
	}
	body, err := io.ReadAll(io.LimitReader(hr.Body, request.MaxBodyBytes+1))
	if err != nil || len(body) > request.MaxBodyBytes {
		return
	}
	if !Complete(hr, body) {
		return
	}
	if hr.StatusCode == http.StatusServiceUnavailable && hr.Header.Get(request.RefusedHeader) != "" {
		res.Proof = request.Refused
		res.RetryAfter = RetryAfter(hr.Header)
		return
	}
	h := hr.Header.Clone()
	StripHopByHop(h)
	h.Del(request.AttemptHeader)
	res.Complete = true
	res.Response = request.Response{Status: hr.StatusCode, Header: h, Body: body}
}

func attemptID(a request.Attempt) string { return strconv.FormatUint(uint64(a.ID), 10) }

func newRequest(ctx context.Context, a request.Attempt) (*http.Request, error) {
	left := time.Until(a.Deadline)
	if left <= 0 {
		return nil, merry.New("deadline passed")
	}
	u := "http://" + a.Address.String() + a.Request.Path
	r, err := http.NewRequestWithContext(ctx, a.Request.Method, u, nil)
	if err != nil {
		return nil, merry.Prepend(err, "attempt")
	}
	if len(a.Request.Body) > 0 {
		// GetBody stays nil: net/http cannot send the body a second time.
		r.Body = io.NopCloser(bytes.NewReader(a.Request.Body))
		r.ContentLength = int64(len(a.Request.Body))
	}
	for k, vs := range a.Request.Header {
		r.Header[k] = vs
	}
	StripHopByHop(r.Header)
	r.Header.Del(request.TicketHeader)
	// net/http itself sends requests with these headers again.
	r.Header.Del("Idempotency-Key")
	r.Header.Del("X-Idempotency-Key")
	r.Header.Set(request.AttemptHeader, attemptID(a))
	r.Header.Set(request.DeadlineHeader, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	return r, nil
}

// Probe asks a target for its health and returns the signal.
func (c *Client) Probe(ctx context.Context, p warmth.Probe) warmth.Signal {
	c.init()
	s := warmth.Signal{Target: p.Target, Kind: warmth.ProbeFailed}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Address.String()+"/health", nil)
	if err != nil {
		return s
	}
	start := time.Now()
	res, err := c.single.RoundTrip(r)
	if err != nil {
		return s
	}
	defer res.Body.Close()
	if res.StatusCode == http.StatusOK {
		s.Kind, s.Value = warmth.ProbeOK, float64(time.Since(start))/float64(time.Millisecond)
	}
	return s
}
