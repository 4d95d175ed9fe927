// Package request contains the I/O-free logic of the request path: admission,
// target selection, queueing, retries, hedging, relaying between hosts, and the
// outcome reported to the caller.
package request

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/refusal"
)

// ID identifies a request within one incarnation of a host.
type ID uint64

// AttemptID identifies an attempt within one incarnation of a host.
type AttemptID uint64

// Request is a caller's request to a service.
type Request struct {
	ID      ID
	Service cornelbay.ServiceName
	// Caller identifies the caller, for fair queueing and as the holder of a
	// ticket, such as its IP address.
	Caller   string
	Method   string
	Path     string
	Header   http.Header
	Body     []byte
	Deadline time.Time
	// Ticket is the ticket of a non-idempotent request, or "".
	Ticket string
	// Tickets, if positive, makes this a request for that many tickets of the
	// service; nothing is sent to a target.
	Tickets int
}

// HTTP headers of the request path, besides cornelbay.OutcomeHeader.
const (
	// TicketHeader carries the ticket of a non-idempotent request.
	TicketHeader = "Cornelbay-Ticket"
	// ReasonHeader carries the name of the refusal.Reason.
	ReasonHeader = "Cornelbay-Reason"
	// RetryAfterHeader carries the delay in milliseconds after which a refused
	// request may be accepted; Retry-After has it in whole seconds.
	RetryAfterHeader = "Cornelbay-Retry-After-Ms"
	// AttemptHeader carries the ID of an attempt to the target, which may echo it
	// in its response.
	AttemptHeader = "Cornelbay-Attempt"
	// DeadlineHeader carries the time left for the response, in milliseconds.
	DeadlineHeader = "Cornelbay-Deadline-Ms"
	// RefusedHeader marks a 503 response of a target that refused the request
	// without running any of it.
	RefusedHeader = "Cornelbay-Refused"
)

// MaxBodyBytes is the maximum size of a request or response body.
const MaxBodyBytes = 1 << 20

// Idempotent reports whether the request may safely be executed more than once.
func (r Request) Idempotent() bool {
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return false
}

// Response is the response to a caller.
type Response struct {
	Status  int
	Header  http.Header
	Body    []byte
	Outcome cornelbay.Outcome
	// RetryAfter is the suggested delay before a retry, or 0 for none.
	RetryAfter time.Duration
	// Reason tells why the request was not answered; None if it was.
	Reason refusal.Reason
}

// Attempt is the effect of sending a request to a target.
type Attempt struct {
	ID       AttemptID
	Request  Request
	Target   cornelbay.TargetName
	Address  netip.AddrPort
	Deadline time.Time
}

// Effect marks Attempt as an effect.
func (Attempt) Effect() {}

// Cancel is the effect of cancelling an attempt.
type Cancel struct{ ID AttemptID }

// Effect marks Cancel as an effect.
func (Cancel) Effect() {}

// Finish is the effect of sending the final response to a caller at once.
type Finish struct {
	Request  ID
	Response Response
}

// Effect marks Finish as an effect.
func (Finish) Effect() {}

// Proof tells whether an attempt without a complete response is known not to have
// run on the target.
type Proof uint8

// Values of Proof.
const (
	// NoProof means that the target may have run the request.
	NoProof Proof = iota
	// NeverSent means that no byte of the request was written to a connection.
	NeverSent
	// Refused means that the target refused the request without running it.
	Refused
)

// AttemptResult is the result of an attempt.
type AttemptResult struct {
	ID AttemptID
	// Complete is true if Response holds the complete response to this attempt.
	Complete bool
	Response Response
	Proof    Proof
	// Silent is true if a reused connection went silent. The rest of the result
	// may then be that of a second try on a new connection.
	Silent bool
	// RetryAfter is the Retry-After value of a target's refusal, or 0.
	RetryAfter time.Duration
}

// refusalResponse returns the response that reports the reason to a caller.
func refusalResponse(r refusal.Reason) Response {
	e := r.Explain()
	body := e.Name + ": " + e.Text + "\n"
	if e.Field != "" {
		body = e.Name + " (" + e.Field + "): " + e.Text + "\n"
	}
	h := http.Header{"Content-Type": {"text/plain; charset=utf-8"}, ReasonHeader: {e.Name}}
	return Response{Status: e.Status, Header: h, Body: []byte(body), Outcome: e.Outcome, Reason: r}
}
