// Package request decides what becomes of callers' requests: admission, choice
// of target, retries and the outcome that the caller is told.
package request

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/refusal"
)

// ID numbers a request within one start of a host.
type ID uint64

// AttemptID numbers an attempt within one start of a host.
type AttemptID uint64

// Request is one request of a caller.
type Request struct {
	ID      ID
	Service cornelbay.ServiceName
	// Caller identifies the caller for fairness, such as its IP address.
	Caller   string
	Method   string
	Path     string
	Header   http.Header
	Body     []byte
	Deadline time.Time
	// Ticket is the caller's ticket for a non-idempotent request, or "".
	Ticket string
	// Tickets asks for that many tickets of the service in place of a run.
	Tickets int
}

// The headers of the request path, besides cornelbay.OutcomeHeader.
const (
	// TicketHeader carries the ticket of a request that is not idempotent.
	TicketHeader = "Cornelbay-Ticket"
	// ReasonHeader carries the name of the Reason of a refusal.
	ReasonHeader = "Cornelbay-Reason"
	// RetryAfterHeader carries the milliseconds after which a refused request may
	// find room; Retry-After has them in whole seconds.
	RetryAfterHeader = "Cornelbay-Retry-After-Ms"
	// AttemptHeader carries the id of an attempt to a target, which may repeat
	// it in its answer.
	AttemptHeader = "Cornelbay-Attempt"
	// DeadlineHeader carries the milliseconds that are left for the answer.
	DeadlineHeader = "Cornelbay-Deadline-Ms"
	// RefusedHeader is set on a target's refusal that ran nothing.
	RefusedHeader = "Cornelbay-Refused"
)

// MaxBodyBytes is the largest body of a request or an answer.
const MaxBodyBytes = 1 << 20

// Idempotent reports whether running the request twice does no harm.
func (r Request) Idempotent() bool {
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return false
}

// Response is what the caller gets.
type Response struct {
	Status  int
	Header  http.Header
	Body    []byte
	Outcome cornelbay.Outcome
	// RetryAfter tells the caller when to come back; 0 says nothing.
	RetryAfter time.Duration
	// Reason tells why there is no answer of a target.
	Reason refusal.Reason
}

// Attempt asks the shell to send a request to a target.
type Attempt struct {
	ID       AttemptID
	Request  Request
	Target   cornelbay.TargetName
	Address  netip.AddrPort
	Deadline time.Time
}

// Effect marks Attempt as an effect.
func (Attempt) Effect() {}

// Cancel asks the shell to cancel an attempt.
type Cancel struct{ ID AttemptID }

// Effect marks Cancel as an effect.
func (Cancel) Effect() {}

// Finish asks the shell to give a caller its final answer at once.
type Finish struct {
	Request  ID
	Response Response
}

// Effect marks Finish as an effect.
func (Finish) Effect() {}

// Proof tells what is known of an attempt that brought no whole answer.
type Proof uint8

// The proofs.
const (
	// NoProof leaves it open whether the target ran the request.
	NoProof Proof = iota
	// NeverSent proves that not all of the request was handed to the connection.
	NeverSent
	// Refused proves that the target itself refused before running.
	Refused
)

// AttemptResult is what became of an attempt.
type AttemptResult struct {
	ID AttemptID
	// Complete is true when Response holds a whole answer of this attempt.
	Complete bool
	Response Response
	Proof    Proof
	// Silent is true when a connection went silent; the result may be that of a
	// fresh one.
	Silent bool
	// RetryAfter is the target's own word with a refusal, or 0.
	RetryAfter time.Duration
}

// refusalResponse returns the response that tells a caller the reason.
func refusalResponse(r refusal.Reason) Response {
	e := r.Explain()
	body := e.Name + ": " + e.Text + "\n"
	if e.Field != "" {
		body = e.Name + " (" + e.Field + "): " + e.Text + "\n"
	}
	h := http.Header{"Content-Type": {"text/plain; charset=utf-8"}, ReasonHeader: {e.Name}}
	return Response{Status: e.Status, Header: h, Body: []byte(body), Outcome: e.Outcome, Reason: r}
}
