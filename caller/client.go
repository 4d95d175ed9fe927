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

// The errors of Client.Do.
var (
	// ErrNotRun means that no target ran the request.
	ErrNotRun = merry.New("request was not run")
	// ErrUnknown means that a target may have run the request.
	ErrUnknown = merry.New("request may have run")
)

// DefaultBatch is the number of tickets that a Client fetches at once.
const DefaultBatch = 8

// MaxSends is the most times that a Client sends one request.
const MaxSends = 4

// ticketLife is how long a Client uses a ticket; hosts accept it a little longer.
const ticketLife = ticket.Lifetime * 3 / 4

// Client sends requests to entry hosts. It sends idempotent requests again when
// they fail or are refused, and others with a ticket, which runs at most once.
// It may be used by many goroutines.
type Client struct {
	// Hosts are the base URLs of entry hosts, such as http://192.0.2.1:8080.
	Hosts []string
	// Transport carries the requests; nil stands for http.DefaultTransport.
	Transport http.RoundTripper
	// Batch is the number of tickets to fetch at once; 0 stands for DefaultBatch.
	Batch int

	mu      sync.Mutex
	next    int
	tickets map[cornelbay.ServiceName][]held
}

type held struct {
	text  string
	until time.Time
}

// Call is a request of a program to a service.
type Call struct {
	Service cornelbay.ServiceName
	Method  string
	// Path is the path and query at the service.
	Path   string
	Header http.Header
	Body   []byte
}

// Answer is what became of a Call.
type Answer struct {
	Outcome cornelbay.Outcome
	// Reason names why there is no answer of a target, or is empty.
	Reason string
	// Status, Header and Body are those of the last response; Status is 0 when
	// there was none.
	Status int
	Header http.Header
	Body   []byte
	// RetryAfter is when a refused request may find room.
	RetryAfter time.Duration
	// Sends counts the times that the request was sent.
	Sends int
}

// Do sends a call until it is answered, or the deadline of ctx or MaxSends ends
// it. The error is ErrNotRun, ErrUnknown or nil, as the answer's outcome.
func (c *Client) Do(ctx context.Context, call Call) (Answer, error) {
	s := sending{c: c, call: call, idempotent: request.Request{Method: call.Method}.Idempotent()}
	a := s.run(ctx)
	switch a.Outcome {
	case cornelbay.Answered:
		return a, nil
	case cornelbay.NotRun:
		return a, merry.Wrap(ErrNotRun, merry.AppendMessage(a.Reason))
	}
	return a, merry.Wrap(ErrUnknown, merry.AppendMessage(a.Reason))
}

// sending is the progress of one call.
type sending struct {
	c          *Client
	call       Call
	idempotent bool
	ticket     string
	sends      int
	// reached counts the sends of the present ticket that may have reached a host.
	reached int
	// doubt is true when an earlier send may have run.
	doubt bool
}

func (s *sending) run(ctx context.Context) Answer {
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
		if !s.again(ctx, last) {
			break
		}
	}
	last.Sends = s.sends
	if s.doubt && last.Outcome == cornelbay.NotRun {
		last.Outcome = cornelbay.Unknown
	}
	return last
}

// again reports whether the call is sent again after an answer, and waits until
// it is time.
func (s *sending) again(ctx context.Context, a Answer) bool {
	switch {
	case a.Outcome == cornelbay.Answered:
		return false
	case s.idempotent:
		s.doubt = s.doubt || a.Outcome == cornelbay.Unknown
		return wait(ctx, a.RetryAfter)
	case a.Status == 0 || a.Reason == refusal.IssuerSilent.String():
		return true // with the same ticket: it runs at most once
	case a.Outcome == cornelbay.NotRun,
		a.Reason == refusal.IssuerUnreached.String() && s.reached == 1:
		s.dropTicket()
		return wait(ctx, a.RetryAfter)
	}
	return false
}

// dropTicket takes another ticket for a request that surely did not run; those
// of the same batch are of the same host.
func (s *sending) dropTicket() {
	s.ticket, s.reached = "", 0
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	delete(s.c.tickets, s.call.Service)
}

// wait waits for d, or reports false when ctx ends before.
func wait(ctx context.Context, d time.Duration) bool {
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

func (s *sending) send(ctx context.Context) Answer {
	s.sends++
	u := s.c.host() + "/services/" + url.PathEscape(string(s.call.Service)) + s.call.Path
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
	reached := true
	a, err := s.c.exchange(r, &reached)
	if reached {
		s.reached++
	}
	if err != nil {
		a = Answer{Outcome: cornelbay.Unknown, Reason: err.Error()}
		if !reached && s.reached == 0 {
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

// exchange sends a request and returns its answer when it is whole. It clears
// reached when no connection was made.
func (c *Client) exchange(r *http.Request, reached *bool) (Answer, error) {
	t := c.Transport
	if t == nil {
		t = http.DefaultTransport
	}
	res, err := t.RoundTrip(r)
	if err != nil {
		*reached = !target.DialFailed(err)
		return Answer{}, err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, request.MaxBodyBytes+1))
	if err != nil {
		return Answer{}, merry.Prepend(err, "answer")
	}
	if !target.Complete(res, body) {
		return Answer{}, errors.New("answer is not whole")
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

// host returns the hosts in turn.
func (c *Client) host() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	return c.Hosts[c.next%len(c.Hosts)]
}

// ticket returns a ticket for a service, from a batch where there is one.
func (c *Client) ticket(ctx context.Context, service cornelbay.ServiceName) (string, error) {
	if t, ok := c.take(service); ok {
		return t, nil
	}
	n := c.Batch
	if n == 0 {
		n = DefaultBatch
	}
	q := url.Values{"service": {string(service)}, "count": {strconv.Itoa(n)}}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.host()+TicketsPath+"?"+q.Encode(), nil)
	if err != nil {
		return "", merry.Prepend(err, "tickets")
	}
	setDeadline(ctx, r.Header)
	var reached bool
	a, err := c.exchange(r, &reached)
	if err != nil {
		return "", merry.Prepend(err, "tickets")
	}
	var l request.TicketList
	if err := json.Unmarshal(a.Body, &l); err != nil || len(l.Tickets) == 0 {
		return "", merry.Errorf("tickets: status %d, %s", a.Status, a.Reason)
	}
	c.keep(service, l.Tickets[1:])
	return l.Tickets[0], nil
}

func (c *Client) take(service cornelbay.ServiceName) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	hs := c.tickets[service]
	for len(hs) > 0 {
		h := hs[0]
		hs = hs[1:]
		c.tickets[service] = hs
		if time.Now().Before(h.until) {
			return h.text, true
		}
	}
	return "", false
}

func (c *Client) keep(service cornelbay.ServiceName, tickets []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.tickets == nil {
		c.tickets = make(map[cornelbay.ServiceName][]held)
	}
	until := time.Now().Add(ticketLife)
	for _, t := range tickets {
		c.tickets[service] = append(c.tickets[service], held{t, until})
	}
}
