package request

import (
	"crypto/sha256"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/refusal"
	"github.com/cornelbay/cornelbay/ticket"
)

// TicketList is the response body of a request for tickets.
type TicketList struct {
	Tickets []string `json:"tickets"`
}

// ticketed reports whether the job is a non-idempotent request, which needs a
// ticket.
func (j *job) ticketed() bool { return j.Tickets == 0 && !j.Idempotent() }

// issueTickets returns the response to a request for tickets.
func (d *Dispatcher) issueTickets(now time.Time, j *job) Response {
	var list TicketList
	for _, t := range d.ledger.Issue(now, j.Service, j.Caller, j.Tickets) {
		s, err := d.Keys.Seal(t)
		if err != nil {
			return refusalResponse(refusal.NoTarget)
		}
		list.Tickets = append(list.Tickets, s)
	}
	b, err := json.Marshal(list)
	if err != nil || len(list.Tickets) == 0 {
		return refusalResponse(refusal.TicketsOut)
	}
	h := http.Header{"Content-Type": {"application/json"}}
	return Response{Status: http.StatusOK, Header: h, Body: b, Outcome: cornelbay.Answered}
}

// admitTicketed admits a request that may run at most once. configured is true if
// its service is.
func (d *Dispatcher) admitTicketed(now time.Time, j *job, configured bool) {
	if j.Ticket == "" {
		d.refuse(now, j, refusal.NoTicket)
		return
	}
	t, err := d.Keys.Open(j.Ticket)
	switch {
	case errors.Is(err, ticket.ErrMAC):
		d.refuse(now, j, refusal.TicketMAC)
	case err != nil:
		d.refuse(now, j, refusal.TicketMalformed)
	case len(j.Body) > MaxBodyBytes:
		d.refuse(now, j, refusal.BodyTooLarge)
	case !configured:
		d.voidTicket(now, j, t, refusal.NoService, refusal.TicketUnproven)
	case !j.Deadline.After(now):
		d.voidTicket(now, j, t, refusal.DeadlineQueued, refusal.TicketUnproven)
	default:
		d.addTimer(timer{at: j.Deadline.UnixNano(), kind: deadlineTimer, job: j})
		d.routeTicketed(now, j, t)
	}
}

// voidTicket refuses a request and voids its ticket, since a delayed duplicate of
// the request may still arrive. If it can neither void the ticket nor prove that
// the ticket was never redeemed, the refusal has the reason unknown, otherwise
// notRun.
func (d *Dispatcher) voidTicket(now time.Time, j *job, t ticket.Ticket, notRun, unknown refusal.Reason) {
	_, first, err := d.ledger.Redeem(now, t, j.digest())
	p, _ := d.archive.Find(t)
	switch {
	case first:
		d.ledger.Settle(t.Number, refusalResponse(notRun))
		d.refuse(now, j, notRun)
	case errors.Is(err, ticket.ErrClosed), p == ticket.NeverRedeemed:
		d.refuse(now, j, notRun)
	case errors.Is(err, ticket.ErrExpired) && d.ledger.Remembers(now, t):
		d.refuse(now, j, notRun)
	default:
		d.refuse(now, j, unknown)
	}
}

// refuseForeignTicket refuses a request whose ticket is for another caller or
// service.
func (d *Dispatcher) refuseForeignTicket(now time.Time, j *job, t ticket.Ticket, err error) {
	notRun := refusal.TicketCaller
	if errors.Is(err, ticket.ErrService) {
		notRun = refusal.TicketService
	}
	d.voidTicket(now, j, t, notRun, refusal.TicketMoved)
}

// routeTicketed redeems a ticket issued by this host, relays the request to the
// issuer, or answers from the archive of a stopped issuer.
func (d *Dispatcher) routeTicketed(now time.Time, j *job, t ticket.Ticket) {
	err := t.Check(j.Service, j.Caller)
	h, live := d.hosts.Lookup(t.Host)
	p, r := d.archive.Find(t)
	switch {
	case t.Host == d.Self && t.Incarnation == d.Incarnation && err == nil:
		d.redeem(now, j, t)
	case live && h.Incarnation == t.Incarnation && h.Name != d.Self && j.from == "" && p == ticket.NotCovered &&
		(j.relayed || !d.hosts.Unresponsive(now, h.Name)):
		d.relay(now, j, h)
	case err != nil:
		d.refuseForeignTicket(now, j, t, err)
	case p != ticket.NotCovered:
		d.finish(now, j, d.archivedResponse(p, r, j))
	case j.relayed || j.from != "":
		d.refuse(now, j, refusal.IssuerGone)
	default:
		d.refuse(now, j, refusal.IssuerUnreached)
	}
}

// rerouteTicketed routes a ticketed request again after its relay failed.
func (d *Dispatcher) rerouteTicketed(now time.Time, j *job) {
	d.endRelay(j)
	t, err := d.Keys.Open(j.Ticket)
	if err != nil {
		d.refuse(now, j, refusal.TicketMAC)
		return
	}
	d.routeTicketed(now, j, t)
}

// archivedResponse returns the response according to the handed-over record of a
// stopped issuer.
func (d *Dispatcher) archivedResponse(p ticket.Proof, r ticket.Record[Response], j *job) Response {
	switch {
	case p == ticket.NeverRedeemed:
		return refusalResponse(refusal.TicketHandedOver)
	case r.Digest != j.digest():
		return refusalResponse(refusal.TicketUsed)
	case r.Kept:
		return r.Answer
	}
	return refusalResponse(refusal.AnswerForgotten)
}

// digest returns the hash of the request content that a ticket is redeemed for.
func (j *job) digest() ticket.Digest {
	h := sha256.New()
	for _, s := range []string{j.Method, j.Path, string(j.Body)} {
		sum := sha256.Sum256([]byte(s))
		h.Write(sum[:])
	}
	return ticket.Digest(h.Sum(nil))
}

// redeem runs the request of a ticket of this host on first use. Later uses
// receive the same response: the recorded one, or the one of the run in progress.
func (d *Dispatcher) redeem(now time.Time, j *job, t ticket.Ticket) {
	r, first, err := d.ledger.Redeem(now, t, j.digest())
	switch {
	case first:
		d.waiters[t.Number] = []*job{j}
		execution := &job{Request: j.Request, service: j.service, ticket: &t}
		j.execution = execution
		d.addTimer(timer{at: j.Deadline.UnixNano(), kind: deadlineTimer, job: execution})
		d.dispatch(now, execution)
	case errors.Is(err, ticket.ErrDigest):
		d.refuse(now, j, refusal.TicketUsed)
	case errors.Is(err, ticket.ErrExpired) && d.ledger.Remembers(now, t):
		d.refuse(now, j, refusal.TicketExpired)
	case errors.Is(err, ticket.ErrExpired):
		d.refuse(now, j, refusal.TicketForgotten)
	case errors.Is(err, ticket.ErrClosed):
		d.refuse(now, j, refusal.TicketHandedOver)
	case err != nil:
		d.refuse(now, j, refusal.IssuerGone)
	case r.Kept:
		d.finish(now, j, r.Answer)
	case r.Settled:
		d.refuse(now, j, refusal.AnswerForgotten)
	default:
		ws := d.waiters[t.Number]
		j.execution = ws[0].execution
		d.waiters[t.Number] = append(ws, j)
	}
}

// settleExecution records the response of an execution job and finishes all jobs
// that wait for it.
func (d *Dispatcher) settleExecution(now time.Time, execution *job, res Response) {
	n := execution.ticket.Number
	d.ledger.Settle(n, res)
	ws := d.waiters[n]
	delete(d.waiters, n)
	for _, j := range ws {
		d.finish(now, j, res)
	}
}

// rerouteTicketRelays reroutes the ticketed jobs that were relayed to an issuer
// that has stopped.
func (d *Dispatcher) rerouteTicketRelays(now time.Time, name cornelbay.HostName) {
	for _, id := range sortedKeys(d.relays) {
		j := d.relays[id]
		if j != nil && j.relayTo == name && j.ticketed() {
			d.rerouteTicketed(now, j)
		}
	}
}
