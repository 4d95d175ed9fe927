package measure

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/refusal"
	"github.com/cornelbay/cornelbay/request"
)

// The habits of the callers of real hosts.
const (
	ticketBatch   = 8
	maxSends      = 4
	resubmitAfter = 100 * time.Millisecond
)

// connection is what became of a caller's connection to a host.
type connection uint8

const (
	// whole connections brought an answer.
	whole connection = iota
	// refused connections were never made: the host has got nothing.
	refused
	// broken connections ended after the request was sent.
	broken
)

// call is a caller's request on its way, with its sends so far.
type call struct {
	*arrival
	deadline time.Time
	ticket   string
	// sends counts the sends, ticketSends those with the present ticket.
	sends, ticketSends int
	lose               bool
	over               bool
	done               func(ending)
}

func (h *hosts) submit(a *arrival, done func(ending)) {
	c := &call{arrival: a, deadline: h.Now.Add(requestDeadline), done: done}
	c.lose = h.lossy && a.post && h.Rand.IntN(2) == 0
	h.After(requestDeadline, func() { h.end(c, cornelbay.Unknown) })
	h.send(c, a.host)
}

func (h *hosts) end(c *call, o cornelbay.Outcome) {
	if !c.over {
		c.over = true
		c.done(ending{outcome: o})
	}
}

// send sends a request through a host, with a ticket where it needs one.
func (h *hosts) send(c *call, host int) {
	switch {
	case c.over:
		return
	case c.sends == maxSends:
		h.end(c, cornelbay.Unknown)
		return
	case c.post && c.ticket == "":
		h.withTicket(c, host)
		return
	}
	c.sends++
	c.ticketSends++
	body, err := json.Marshal(c.demand)
	if err != nil {
		panic(err) // a duration
	}
	r := request.Request{Method: http.MethodGet, Path: c.path, Body: body, Ticket: c.ticket, Deadline: c.deadline}
	if c.post {
		r.Method = http.MethodPost
	}
	h.ask(c.caller, host, r, func(res request.Response, conn connection) { h.answered(c, host, res, conn) })
}

// ask submits one request to a host.
func (h *hosts) ask(caller, host int, r request.Request, done func(request.Response, connection)) {
	n := h.group.Nodes[h.names[host]]
	r.Service, r.Caller = h.service(), fmt.Sprint("caller-", caller)
	back := func(res request.Response, conn connection) { h.After(callerDelay, func() { done(res, conn) }) }
	h.After(callerDelay, func() {
		if !n.Alive() {
			back(request.Response{}, refused)
			return
		}
		h.last++
		r.ID = h.last
		h.pending[pendingKey{n.Self.Name, r.ID}] = func(res request.Response) {
			if res.Status == 0 {
				back(res, broken)
				return
			}
			back(res, whole)
		}
		h.input(n, func() []cornelbay.Effect { return n.Requests.Submit(h.Now, r) })
	})
}

// breakCallers breaks the connections of callers to a host that ended.
func (h *hosts) breakCallers(n *Node) {
	var ids []request.ID
	for k := range h.pending {
		if k.host == n.Self.Name {
			ids = append(ids, k.id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		k := pendingKey{n.Self.Name, id}
		done := h.pending[k]
		delete(h.pending, k)
		done(request.Response{})
	}
}

func (h *hosts) answered(c *call, host int, res request.Response, conn connection) {
	next := (host + 1) % h.opts.Hosts
	switch {
	case c.over:
	case conn != whole:
		if conn == refused {
			c.ticketSends--
		}
		h.send(c, next)
	case c.lose:
		c.lose = false
		h.After(resubmitAfter, func() { h.send(c, next) })
	case again(c, res):
		// The rest of the batch is of the same host.
		h.stock[c.caller] = nil
		c.ticket, c.ticketSends = "", 0
		h.send(c, next)
	default:
		h.end(c, res.Outcome)
	}
}

// again reports whether the request was surely not run, for a cause that
// another host and ticket do not share.
func again(c *call, res request.Response) bool {
	switch res.Reason {
	case refusal.Stopping, refusal.TicketHandedOver, refusal.TicketExpired:
		return true
	case refusal.IssuerUnreached:
		return c.ticketSends == 1
	}
	return false
}

func (h *hosts) withTicket(c *call, host int) {
	if s := h.stock[c.caller]; len(s) > 0 {
		c.ticket, h.stock[c.caller] = s[0], s[1:]
		if len(s) < ticketBatch/2 {
			h.refill(c.caller, host)
		}
		h.send(c, host)
		return
	}
	h.fetch(c.caller, host, func(ok bool) {
		if !ok {
			c.sends++
			host = (host + 1) % h.opts.Hosts
		}
		h.send(c, host)
	})
}

func (h *hosts) refill(caller, host int) { h.fetch(caller, host, func(bool) {}) }

func (h *hosts) fetch(caller, host int, done func(ok bool)) {
	r := request.Request{Method: http.MethodGet, Tickets: ticketBatch, Deadline: h.Now.Add(requestDeadline)}
	h.ask(caller, host, r, func(res request.Response, conn connection) {
		var l request.TicketList
		if conn != whole || json.Unmarshal(res.Body, &l) != nil || len(l.Tickets) == 0 {
			done(false)
			return
		}
		h.stock[caller] = append(h.stock[caller], l.Tickets...)
		done(true)
	})
}
