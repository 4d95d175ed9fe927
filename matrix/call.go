package matrix

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/measure"
	"github.com/cornelbay/cornelbay/request"
)

// The requests of a run.
const (
	lookupInterval = 40 * time.Millisecond
	reportInterval = 150 * time.Millisecond
	ticketBatch    = 4
	callerAddress  = "203.0.113.7"
	resubmitMost   = 3
)

// callKey names a request at one start of a host.
type callKey struct {
	host        cornelbay.HostName
	incarnation cornelbay.Incarnation
	id          request.ID
}

// call is a request whose caller waits for its final answer.
type call struct {
	request.Request
	host  cornelbay.HostName
	tries int
	done  func(r request.Response)
}

// AskRequests sends lookups and reports at their intervals until the run ends.
func (w *World) AskRequests() {
	w.Every(lookupInterval, func() bool { w.lookup(); return !w.closed })
	w.Every(reportInterval, func() bool { w.takeTickets(); return !w.closed })
}

func (w *World) path(kind string) string {
	w.asked++
	return fmt.Sprintf("/%s/%d", kind, w.asked)
}

func (w *World) lookup() {
	path := w.path("lookup")
	w.Ledger.Asked(path, true)
	w.submit(&call{Request: request.Request{Method: http.MethodGet, Path: path}, done: w.told(path)})
}

// takeTickets fetches tickets and files a report with each.
func (w *World) takeTickets() {
	w.submit(&call{
		Request: request.Request{Method: http.MethodGet, Path: "/tickets", Tickets: ticketBatch},
		done: func(r request.Response) {
			var list request.TicketList
			if json.Unmarshal(r.Body, &list) != nil {
				return
			}
			for _, t := range list.Tickets {
				w.report(t)
			}
		},
	})
}

func (w *World) report(ticket string) {
	path := w.path("report")
	w.Ledger.Asked(path, false)
	w.submit(&call{
		Request: request.Request{Method: http.MethodPost, Path: path, Body: []byte(path), Ticket: ticket},
		done:    w.told(path),
	})
}

func (w *World) told(path string) func(request.Response) {
	return func(r request.Response) {
		w.Ledger.Told(path, r.Outcome, string(r.Body), answerTo(path))
	}
}

// submit gives a request to one of the hosts that the fabric finds ready.
func (w *World) submit(c *call) {
	if len(w.sprayed) == 0 {
		w.After(sprayInterval, func() { w.submit(c) })
		return
	}
	n := w.Nodes[w.sprayed[w.Rand.IntN(len(w.sprayed))]]
	w.asked++
	c.tries++
	c.ID, c.Service, c.Caller = request.ID(w.asked), w.services[0].Name, callerAddress
	c.host, c.Deadline = n.Self.Name, w.Now.Add(requestTimeout)
	key := callKey{n.Self.Name, n.Self.Incarnation, c.ID}
	w.calls[key] = c
	w.After(requestTimeout+untoldAfter, func() { w.untold(n, key) })
	if !n.Alive() {
		return
	}
	w.CarryOut(n, n.Requests.Submit(w.Now, c.Request))
}

// untold handles a call that has no answer well after its deadline: the caller
// asks again elsewhere when its host does not live, or else was left alone.
func (w *World) untold(n *measure.Node, key callKey) {
	c, ok := w.calls[key]
	if !ok {
		return
	}
	delete(w.calls, key)
	if n.Alive() && w.Now.Sub(w.blocked[n.Self.Name].wokeAt) > requestTimeout+untoldAfter {
		w.Ledger.Break(WholeOwnAnswer, "%s gave no final answer to %s", n.Self.Name, c.Path)
		return
	}
	if c.tries < resubmitMost {
		w.submit(c)
		return
	}
	c.done(request.Response{Outcome: cornelbay.Unknown})
}

// dropCalls has the callers of a dead host ask again elsewhere at once.
func (w *World) dropCalls(name cornelbay.HostName) {
	for _, key := range w.callsAt(name) {
		c := w.calls[key]
		delete(w.calls, key)
		w.After(travel, func() { w.submit(c) })
	}
}

func (w *World) finish(n *measure.Node, f request.Finish) {
	key := callKey{n.Self.Name, n.Self.Incarnation, f.Request}
	c, ok := w.calls[key]
	if !ok {
		return
	}
	delete(w.calls, key)
	if w.stopping(n.Self.Name) && f.Response.Outcome == cornelbay.Unknown && !w.mayBeUnknown() {
		w.Ledger.Break(StopCutsNothing, "%s left %s unknown while it stopped", n.Self.Name, c.Path)
	}
	c.done(f.Response)
}
