// Package target is the HTTP/1.1 client for targets: it sends requests and health
// probes.
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

// Timeouts of a Client.
const (
	// MinSilence is the minimum time to wait for the first response byte on a
	// reused connection before a new connection is tried.
	MinSilence = 100 * time.Millisecond
	// IdleTimeout is how long an idle connection is kept open.
	IdleTimeout = 10 * time.Second
)

// SilenceFactor is the multiple of a target's smoothed latency after which a
// reused connection without a response byte is considered silent.
const SilenceFactor = 8

// MaxIdlePerTarget is the maximum number of idle connections per target.
const MaxIdlePerTarget = 8

// Client sends attempts and health probes to targets. The zero value is ready to
// use.
type Client struct {
	once sync.Once
	// pooled reuses connections and is used for idempotent requests. unpooled
	// opens a new connection for each request: net/http resends a request only
	// after a failure of a reused connection.
	pooled, unpooled *http.Transport
	latencies        latencies
}

func (c *Client) init() {
	c.once.Do(func() {
		c.pooled = &http.Transport{
			MaxIdleConnsPerHost: MaxIdlePerTarget, IdleConnTimeout: IdleTimeout, DisableCompression: true,
		}
		c.unpooled = &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	})
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.init()
	c.pooled.CloseIdleConnections()
}

// Do sends an attempt and returns its result. If a reused connection goes silent,
// an idempotent request is sent again on a new connection.
func (c *Client) Do(ctx context.Context, a request.Attempt) request.AttemptResult {
	c.init()
	if !a.Request.Idempotent() {
		return c.send(ctx, c.unpooled, a, 0)
	}
	began := time.Now()
	res := c.send(ctx, c.pooled, a, c.silenceTimeout(a, began))
	if res.Complete {
		c.latencies.add(a.Target, time.Since(began))
	}
	if !res.Silent || ctx.Err() != nil {
		return res
	}
	// A middlebox such as a NAT may have dropped the state of the idle
	// connections. A new connection shows whether the target itself is at fault.
	c.pooled.CloseIdleConnections()
	res = c.send(ctx, c.unpooled, a, 0)
	res.Silent = true
	return res
}

// silenceTimeout returns how long to wait for the first response byte on a reused
// connection. At least half of the time to the deadline is left for a second try
// on a new connection.
func (c *Client) silenceTimeout(a request.Attempt, now time.Time) time.Duration {
	d := max(MinSilence, SilenceFactor*c.latencies.get(a.Target))
	return min(d, a.Deadline.Sub(now)/2)
}

// send sends an attempt once. If silenceTimeout is positive and a reused
// connection delivers no response byte for that long, the request is cancelled, the
// connection is closed and the result is Silent.
func (c *Client) send(ctx context.Context, t http.RoundTripper, a request.Attempt, silenceTimeout time.Duration) request.AttemptResult {
	res := request.AttemptResult{ID: a.ID}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	w := connWatch{silenceTimeout: silenceTimeout, expired: func() { cancel(errSilent) }}
	r, err := newRequest(httptrace.WithClientTrace(ctx, w.trace()), a)
	if err != nil {
		res.Proof = request.NeverSent
		return res
	}
	hr, err := t.RoundTrip(r)
	if err != nil {
		res.Silent = errors.Is(context.Cause(ctx), errSilent)
		if !w.mayHaveSent() {
			res.Proof = request.NeverSent
		}
		return res
	}
	defer hr.Body.Close()
	readResponse(hr, a, &res)
	return res
}

var errSilent = merry.New("connection went silent")

// readResponse reads a response into the result, provided that it is complete and
// belongs to the attempt.
func readResponse(hr *http.Response, a request.Attempt, res *request.AttemptResult) {
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
		// GetBody stays nil so that net/http can't resend the body.
		r.Body = io.NopCloser(bytes.NewReader(a.Request.Body))
		r.ContentLength = int64(len(a.Request.Body))
	}
	for k, vs := range a.Request.Header {
		r.Header[k] = vs
	}
	StripHopByHop(r.Header)
	r.Header.Del(request.TicketHeader)
	// net/http considers requests with these headers safe to resend.
	r.Header.Del("Idempotency-Key")
	r.Header.Del("X-Idempotency-Key")
	r.Header.Set(request.AttemptHeader, attemptID(a))
	r.Header.Set(request.DeadlineHeader, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	return r, nil
}

// Probe sends a health check to a target and returns the result as a signal.
func (c *Client) Probe(ctx context.Context, p warmth.Probe) warmth.Signal {
	c.init()
	s := warmth.Signal{Target: p.Target, Kind: warmth.ProbeFailed}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Address.String()+"/health", nil)
	if err != nil {
		return s
	}
	start := time.Now()
	res, err := c.unpooled.RoundTrip(r)
	if err != nil {
		return s
	}
	defer res.Body.Close()
	if res.StatusCode == http.StatusOK {
		s.Kind, s.Value = warmth.ProbeOK, float64(time.Since(start))/float64(time.Millisecond)
	}
	return s
}
