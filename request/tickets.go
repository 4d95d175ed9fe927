package request

import (
	"crypto/sha256"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/ticket"
)

// The limits of a handover at a planned stop.
const (
	// MaxHandoverBytes bounds the remembered answers that are handed over.
	MaxHandoverBytes = 256 << 10
	// maxHeirs is the most hosts that a handover is sent to.
	maxHeirs = 8
	// handoverPatience is how long a stopping host waits for an heir.
	handoverPatience = 3 * time.Second
)

// TicketList is the body of the answer to a request for tickets.
type TicketList struct {
	Tickets []string `json:"tickets"`
}

// ticketed reports whether the job is a request to run with a ticket.
func (j *job) ticketed() bool { return j.Tickets == 0 && !j.Idempotent() }

// issue answers a request for tickets.
func (d *Dispatcher) issue(now time.Time, j *job) Response {
	var list TicketList
	for _, t := range d.ledger.Issue(now, j.Service, j.Caller, j.Tickets) {
		s, err := d.Keys.Seal(t)
		if err != nil {
			return NoTarget.Response()
		}
		list.Tickets = append(list.Tickets, s)
	}
	b, err := json.Marshal(list)
	if err != nil || len(list.Tickets) == 0 {
		return TicketsOut.Response()
	}
	h := http.Header{"Content-Type": {"application/json"}}
	return Response{Status: http.StatusOK, Header: h, Body: b, Outcome: cornelbay.Answered}
}

// admitTicketed takes a request that may run once only.
func (d *Dispatcher) admitTicketed(now time.Time, j *job, served bool) {
	if j.Ticket == "" {
		d.refuse(now, j, NoTicket)
		return
	}
	t, err := d.Keys.Open(j.Ticket)
	switch {
	case errors.Is(err, ticket.ErrMAC):
		d.refuse(now, j, TicketMAC)
	case err != nil:
		d.refuse(now, j, TicketMalformed)
	case len(j.Body) > MaxBodyBytes:
		d.refuse(now, j, BodyTooLarge)
	case !served:
		d.void(now, j, t, NoService, TicketUnproven)
	case !j.Deadline.After(now):
		d.void(now, j, t, DeadlineQueued, TicketUnproven)
	default:
		d.addTimer(timer{at: j.Deadline, kind: deadlineTimer, job: j})
		d.routeTicketed(now, j, t)
	}
}

// void refuses a request and makes its ticket void, since a delayed copy of the
// request may still be on its way. Where that is impossible the refusal cannot
// be proved, and unproven is its reason.
func (d *Dispatcher) void(now time.Time, j *job, t ticket.Ticket, proved, unproven Reason) {
	_, first, err := d.ledger.Redeem(now, t, j.digest())
	p, _ := d.archive.Find(t)
	switch {
	case first:
		d.ledger.Settle(t.Number, proved.Response())
		d.refuse(now, j, proved)
	case errors.Is(err, ticket.ErrClosed), p == ticket.NeverRedeemed:
		d.refuse(now, j, proved)
	case errors.Is(err, ticket.ErrExpired) && d.ledger.Remembers(now, t):
		d.refuse(now, j, proved)
	default:
		d.refuse(now, j, unproven)
	}
}

// voidMoved refuses a ticket of another caller or service.
func (d *Dispatcher) voidMoved(now time.Time, j *job, t ticket.Ticket, err error) {
	proved := TicketCaller
	if errors.Is(err, ticket.ErrService) {
		proved = TicketService
	}
	d.void(now, j, t, proved, TicketMoved)
}

// routeTicketed redeems a ticket here, or hands the request to its issuer.
func (d *Dispatcher) routeTicketed(now time.Time, j *job, t ticket.Ticket) {
	err := t.Check(j.Service, j.Caller)
	h, live := d.hosts[t.Host]
	p, r := d.archive.Find(t)
	switch {
	case t.Host == d.Self && t.Incarnation == d.Incarnation && err == nil:
		d.redeem(now, j, t)
	case live && h.Incarnation == t.Incarnation && h.Name != d.Self && j.from == "" && p == ticket.NoProof &&
		(j.relayed || !d.silent(now, h.Name)):
		d.relay(now, j, h)
	case err != nil:
		d.voidMoved(now, j, t, err)
	case p != ticket.NoProof:
		d.finish(now, j, d.recorded(p, r, j))
	case j.relayed || j.from != "":
		d.refuse(now, j, IssuerGone)
	default:
		d.refuse(now, j, IssuerUnreached)
	}
}

// rerouteTicketed routes a request again whose relay has failed.
func (d *Dispatcher) rerouteTicketed(now time.Time, j *job) {
	d.endRelay(j)
	t, err := d.Keys.Open(j.Ticket)
	if err != nil {
		d.refuse(now, j, TicketMAC)
		return
	}
	d.routeTicketed(now, j, t)
}

// recorded returns the response by the record of a host that has stopped.
func (d *Dispatcher) recorded(p ticket.Proof, r ticket.Record[Response], j *job) Response {
	switch {
	case p == ticket.NeverRedeemed:
		return TicketHandedOver.Response()
	case r.Digest != j.digest():
		return TicketUsed.Response()
	case r.Kept:
		return r.Answer
	}
	return AnswerForgotten.Response()
}

// digest identifies what a ticket was redeemed for.
func (j *job) digest() ticket.Digest {
	h := sha256.New()
	for _, s := range []string{j.Method, j.Path, string(j.Body)} {
		sum := sha256.Sum256([]byte(s))
		h.Write(sum[:])
	}
	return ticket.Digest(h.Sum(nil))
}

// redeem runs the request of an own ticket the first time; later it answers
// from the record.
func (d *Dispatcher) redeem(now time.Time, j *job, t ticket.Ticket) {
	r, first, err := d.ledger.Redeem(now, t, j.digest())
	switch {
	case first:
		d.waiters[t.Number] = []*job{j}
		run := &job{Request: j.Request, service: j.service, ticket: &t}
		j.run = run
		d.addTimer(timer{at: j.Deadline, kind: deadlineTimer, job: run})
		d.dispatch(now, run)
	case errors.Is(err, ticket.ErrDigest):
		d.refuse(now, j, TicketUsed)
	case errors.Is(err, ticket.ErrExpired) && d.ledger.Remembers(now, t):
		d.refuse(now, j, TicketExpired)
	case errors.Is(err, ticket.ErrExpired):
		d.refuse(now, j, TicketForgotten)
	case errors.Is(err, ticket.ErrClosed):
		d.refuse(now, j, TicketHandedOver)
	case err != nil:
		d.refuse(now, j, IssuerGone)
	case r.Kept:
		d.finish(now, j, r.Answer)
	case r.Settled:
		d.refuse(now, j, AnswerForgotten)
	default:
		ws := d.waiters[t.Number]
		j.run = ws[0].run
		d.waiters[t.Number] = append(ws, j)
	}
}

// settle remembers what became of a ticket's run and tells all who wait for it.
func (d *Dispatcher) settle(now time.Time, run *job, res Response) {
	n := run.ticket.Number
	d.ledger.Settle(n, res)
	ws := d.waiters[n]
	delete(d.waiters, n)
	for _, j := range ws {
		d.finish(now, j, res)
	}
}

// issuerEnded ends the relays whose ticket's host is gone.
func (d *Dispatcher) issuerEnded(now time.Time, name cornelbay.HostName) {
	for _, id := range sortedKeys(d.relays) {
		j := d.relays[id]
		if j != nil && j.relayTo == name && j.ticketed() {
			d.rerouteTicketed(now, j)
		}
	}
}

// HandOverArgs hands the final state of a stopping host's tickets, and of those
// that it was handed itself, to another host.
type HandOverArgs struct {
	Handovers []ticket.Handover[Response]
}

// Method returns the name of the net/rpc method.
func (HandOverArgs) Method() string { return "request.handOver" }

// HandOverReply acknowledges HandOverArgs.
type HandOverReply struct{}

// handover is the progress of handing the tickets on at a planned stop.
type handover struct {
	began         time.Time
	sent          bool
	waiting, took int
	done          bool
}

func (h *handover) answered(err error) {
	h.waiting--
	if err == nil {
		h.took++
	}
}

// tickHandover hands the tickets on once nothing runs any more.
func (d *Dispatcher) tickHandover(now time.Time) {
	h := &d.handover
	if !d.stopping || h.done || !d.quiet() {
		return
	}
	if h.began.IsZero() {
		h.began = now
	}
	switch {
	case h.sent && h.waiting > 0 && now.Sub(h.began) < handoverPatience:
	case h.took > 0 || now.Sub(h.began) >= handoverPatience || len(d.heirs()) == 0:
		h.done = true
	default:
		d.sendHandover(now)
	}
}

func (d *Dispatcher) heirs() []cornelbay.Host {
	out := d.newsHosts()
	return out[:min(len(out), maxHeirs)]
}

func (d *Dispatcher) sendHandover(now time.Time) {
	all := append(d.archive.All(now), d.ledger.HandOver(now, MaxHandoverBytes))
	d.handover.sent, d.handover.waiting = true, 0
	for _, h := range d.heirs() {
		d.handover.waiting++
		d.callPeer(h.Name, HandOverArgs{Handovers: all})
	}
}

// takeHandovers keeps what other hosts hand on and answers who waits for them.
func (d *Dispatcher) takeHandovers(now time.Time, a HandOverArgs) {
	for _, h := range a.Handovers {
		if h.Host == d.Self && h.Incarnation == d.Incarnation {
			continue
		}
		d.archive.Add(h)
		d.issuerEnded(now, h.Host)
	}
}
