package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/refusal"
	"github.com/cornelbay/cornelbay/request"
	"github.com/cornelbay/cornelbay/target"
	"github.com/cornelbay/cornelbay/ticket"
)

// Errors of Client.Do.
var (
	// ErrNotRun means that no target has run the request.
	ErrNotRun = merry.New("request was not run")
	// ErrUnknown means that a target may have run the request.
	ErrUnknown = merry.New("request may have run")
)

// DefaultBatch is the number of tickets that a Client fetches at once by default.
const DefaultBatch = 8

// MaxSends is the maximum number of times that a Client sends one request.
const MaxSends = 4

// ticketTTL is how long a Client uses a cached ticket. It is shorter than
// ticket.Lifetime, for which hosts accept the ticket.
const ticketTTL = ticket.Lifetime * 3 / 4

// Client sends requests to entry hosts. It resends idempotent requests that fail
// or are refused. It sends other requests with a ticket, which ensures that they
// run at most once. A Client is safe for concurrent use.
type Client struct {
	// Hosts are the base URLs of entry hosts, such as http://192.0.2.1:8080. There
	// must be at least one.
	Hosts []string
	// Transport sends the requests; nil means http.DefaultTransport.
	Transport http.RoundTripper
	// Batch is the number of tickets to fetch at once; 0 means DefaultBatch.
	Batch int

	mu      sync.Mutex
	next    int
	tickets map[cornelbay.ServiceName][]cachedTicket
}

type cachedTicket struct {
	text        string
	usableUntil time.Time
}

// Call is a request to a service.
type Call struct {
	Service cornelbay.ServiceName
	Method  string
	// Path is the path and query of the request, such as /routes?id=7.
	Path   string
	Header http.Header
	Body   []byte
}

// Answer is the result of a Call.
type Answer struct {
	Outcome cornelbay.Outcome
	// Reason is the refusal reason or error if no target responded, or "".
	Reason string
	// Status, Header and Body are those of the last response; Status is 0 if
	// there was none.
	Status int
	Header http.Header
	Body   []byte
	// RetryAfter is the delay after which a refused request may be accepted.
	RetryAfter time.Duration
	// Sends is the number of times that the request was sent, counting failed
	// attempts to fetch a ticket.
	Sends int
}

// Do sends a call, and resends it if that is safe, until it is answered, ctx ends
// or MaxSends is reached. The error matches the outcome of the answer: nil,
// ErrNotRun or ErrUnknown.
func (c *Client) Do(ctx context.Context, call Call) (Answer, error) {
	s := callState{c: c, call: call, idempotent: request.Request{Method: call.Method}.Idempotent()}
	a := s.run(ctx)
	switch a.Outcome {
	case cornelbay.Answered:
		return a, nil
	case cornelbay.NotRun:
		return a, merry.Wrap(ErrNotRun, merry.AppendMessage(a.Reason))
	}
	return a, merry.Wrap(ErrUnknown, merry.AppendMessage(a.Reason))
}

// callState is the state of a call in progress.
type callState struct {
	c          *Client
	call       Call
	idempotent bool
	ticket     string
	sends      int
	// reachedSends counts the sends with the current ticket that may have reached a
	// host.
	reachedSends int
	// mayHaveRun is true if a target may have run an earlier send.
	mayHaveRun bool
}

func (s *callState) run(ctx context.Context) Answer {
	last := Answer{Outcome: cornelbay.NotRun}
	for s.sends < MaxSends && ctx.Err() == nil {
		if !s.idempotent && s.ticket == "" {
			var err error
			if s.ticket, err = s.c.ticket(ctx, s.call.Service); err != nil {
				last.Reason = "no ticket: " + err.Error()
				s.sends++
				continue
			}
		}
		last = s.send(ctx)
		if !s.prepareResend(ctx, last) {
			break
		}
	}
	last.Sends = s.sends
	if s.mayHaveRun && last.Outcome == cornelbay.NotRun {
		last.Outcome = cornelbay.Unknown
	}
	return last
}

// prepareResend reports whether to resend the call after an answer. Before that, it
// notes whether a target may have run the request, discards the ticket if another
// is needed, and waits for the RetryAfter of the answer, except when the same
// ticket is sent again.
func (s *callState) prepareResend(ctx context.Context, a Answer) bool {
	switch {
	case a.Outcome == cornelbay.Answered:
		return false
	case s.idempotent:
		s.mayHaveRun = s.mayHaveRun || a.Outcome == cornelbay.Unknown
		return sleep(ctx, a.RetryAfter)
	case a.Status == 0 || a.Reason == refusal.IssuerSilent.String():
		return true // safe with the same ticket, which runs at most once
	case a.Outcome == cornelbay.NotRun,
		a.Reason == refusal.IssuerUnreached.String() && s.reachedSends == 1:
		s.dropTicket()
		return sleep(ctx, a.RetryAfter)
	}
	return false
}

// dropTicket discards the ticket of a request that is known not to have run, so
// that another is fetched. It discards the cached tickets of the service as well,
// since tickets of the same batch have the same issuer.
func (s *callState) dropTicket() {
	s.ticket, s.reachedSends = "", 0
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	delete(s.c.tickets, s.call.Service)
}

// sleep waits for d. It returns false at once if ctx has ended or its deadline is
// less than d away, and as soon as ctx ends.
func sleep(ctx context.Context, d time.Duration) bool {
	if until, ok := ctx.Deadline(); ok && time.Until(until) <= d {
		return false
	}
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *callState) send(ctx context.Context) Answer {
	s.sends++
	u := s.c.nextHost() + "/services/" + url.PathEscape(string(s.call.Service)) + s.call.Path
	r, err := http.NewRequestWithContext(ctx, s.call.Method, u, bytes.NewReader(s.call.Body))
	if err != nil {
		return Answer{Outcome: cornelbay.NotRun, Reason: err.Error()}
	}
	for k, vs := range s.call.Header {
		r.Header[k] = vs
	}
	if s.ticket != "" {
		r.Header.Set(request.TicketHeader, s.ticket)
	}
	setDeadline(ctx, r.Header)
	mayHaveReached := true
	a, err := s.c.roundTrip(r, &mayHaveReached)
	if mayHaveReached {
		s.reachedSends++
	}
	if err != nil {
		a = Answer{Outcome: cornelbay.Unknown, Reason: err.Error()}
		if !mayHaveReached && s.reachedSends == 0 {
			a.Outcome = cornelbay.NotRun
		}
	}
	return a
}

func setDeadline(ctx context.Context, h http.Header) {
	if until, ok := ctx.Deadline(); ok {
		ms := max(1, time.Until(until).Milliseconds())
		h.Set(request.DeadlineHeader, strconv.FormatInt(ms, 10))
	}
}

// roundTrip sends a request and returns the response if it is complete. If there
// is no response, it sets mayHaveReached: false if no connection was established.
func (c *Client) roundTrip(r *http.Request, mayHaveReached *bool) (Answer, error) {
	t := c.Transport
	if t == nil {
		t = http.DefaultTransport
	}
	res, err := t.RoundTrip(r)
	if err != nil {
		*mayHaveReached = !target.DialFailed(err)
		return Answer{}, err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, request.MaxBodyBytes+1))
	if err != nil {
		return Answer{}, merry.Prepend(err, "read response")
	}
	if !target.Complete(res, body) {
		return Answer{}, errors.New("response is incomplete")
	}
	return Answer{
		Outcome: cornelbay.ParseOutcome(res.Header.Get(cornelbay.OutcomeHeader)),
		Reason:  res.Header.Get(request.ReasonHeader),
		Status:  res.StatusCode, Header: res.Header, Body: body, RetryAfter: retryAfter(res.Header),
	}, nil
}

func retryAfter(h http.Header) time.Duration {
	if ms, err := strconv.Atoi(h.Get(request.RetryAfterHeader)); err == nil && ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	return target.RetryAfter(h)
}

// nextHost returns the hosts in round-robin order.
func (c *Client) nextHost() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	return c.Hosts[c.next%len(c.Hosts)]
}

// ticket returns a ticket for a service, from the cache or else from a newly
// fetched batch.
func (c *Client) ticket(ctx context.Context, service cornelbay.ServiceName) (string, error) {
	if t, ok := c.takeTicket(service); ok {
		return t, nil
	}
	n := c.Batch
	if n == 0 {
		n = DefaultBatch
	}
	q := url.Values{"service": {string(service)}, "count": {strconv.Itoa(n)}}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.nextHost()+TicketsPath+"?"+q.Encode(), nil)
	if err != nil {
		return "", merry.Prepend(err, "tickets")
	}
	setDeadline(ctx, r.Header)
	var mayHaveReached bool
	a, err := c.roundTrip(r, &mayHaveReached)
	if err != nil {
		return "", merry.Prepend(err, "tickets")
	}
	var l request.TicketList
	if err := json.Unmarshal(a.Body, &l); err != nil || len(l.Tickets) == 0 {
		return "", merry.Errorf("tickets: status %d, %s", a.Status, a.Reason)
	}
	c.cacheTickets(service, l.Tickets[1:])
	return l.Tickets[0], nil
}

func (c *Client) takeTicket(service cornelbay.ServiceName) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ts := c.tickets[service]
	for len(ts) > 0 {
		t := ts[0]
		ts = ts[1:]
		c.tickets[service] = ts
		if time.Now().Before(t.usableUntil) {
			return t.text, true
		}
	}
	return "", false
}

func (c *Client) cacheTickets(service cornelbay.ServiceName, tickets []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.tickets == nil {
		c.tickets = make(map[cornelbay.ServiceName][]cachedTicket)
	}
	until := time.Now().Add(ticketTTL)
	for _, t := range tickets {
		c.tickets[service] = append(c.tickets[service], cachedTicket{t, until})
	}
}
