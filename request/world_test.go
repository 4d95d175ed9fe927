package request

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/peer"
	"github.com/cornelbay/cornelbay/refusal"
	"github.com/cornelbay/cornelbay/ticket"
)

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "500", "rapid.steps": "100"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func targets(n int) []cornelbay.Target {
	var out []cornelbay.Target
	for i := range n {
		out = append(out, cornelbay.Target{Name: cornelbay.TargetName(fmt.Sprintf("t%d", i))})
	}
	return out
}

// node is a simulated host: a dispatcher and its attempts in flight.
type node struct {
	Dispatcher
	w         *world
	dead      bool
	attempts  []Attempt
	submitted int
	finished  map[ID]Response
}

// seen collects the reasons that callers received in all generated runs.
type seen map[refusal.Reason]bool

// call is a message in transit. once is set if it can't be delivered twice: the
// connection delivers it at most once and no host resends it.
type call struct {
	run  func()
	once bool
}

// world simulates hosts connected by a network that reorders, delays, duplicates
// and loses messages.
type world struct {
	t      *rapid.T
	now    time.Time
	nodes  []*node
	calls  []call
	lastID ID
	// ran counts the runs on targets, reportedNotRun the notRun outcomes, both by
	// path, which is unique for each request.
	ran, reportedNotRun map[string]int
	paths               map[ID]string
	tickets             []string
	posts               map[string]string
	seen                seen
	// served is false while the service is removed from the configuration.
	served bool
}

func newWorld(t *rapid.T, all seen) *world {
	w := &world{
		t: t, now: start, seen: all, served: true, ran: make(map[string]int), reportedNotRun: make(map[string]int),
		paths: make(map[ID]string), posts: make(map[string]string),
	}
	for i, name := range []cornelbay.HostName{"a", "b", "c"} {
		n := &node{w: w, finished: make(map[ID]Response)}
		n.Self, n.Incarnation, n.Keys = name, 1, ticket.Keys{[]byte("key")}
		n.Rand = rand.New(rand.NewPCG(uint64(i), 1))
		w.nodes = append(w.nodes, n)
	}
	w.members()
	w.configure()
	return w
}

func (w *world) configure() {
	services := []cornelbay.Service{{Name: "other", Targets: targets(1)}}
	if w.served {
		services = append(services, cornelbay.Service{Name: "s", Targets: targets(3)})
	}
	for _, n := range w.nodes {
		if !n.dead {
			n.apply(n.SetServices(w.now, services, nil))
		}
	}
}

func (w *world) members() {
	var m cornelbay.Members
	for _, n := range w.nodes {
		if !n.dead {
			m.Live = append(m.Live, cornelbay.Host{Name: n.Self, Incarnation: n.Incarnation})
		}
	}
	for _, n := range w.nodes {
		if !n.dead {
			n.apply(n.SetMembers(w.now, m))
		}
	}
}

func (w *world) named(name cornelbay.HostName) *node {
	for _, n := range w.nodes {
		if n.Self == name {
			return n
		}
	}
	return nil
}

// apply carries out effects. Messages sent by a host before it died are still
// delivered.
func (n *node) apply(effects []cornelbay.Effect) {
	w := n.w
	for _, e := range effects {
		switch e := e.(type) {
		case Attempt:
			n.attempts = append(n.attempts, e)
		case Finish:
			if _, twice := n.finished[e.Request]; twice {
				w.t.Fatal("a request finished twice")
			}
			n.finished[e.Request] = e.Response
			w.finish(w.paths[e.Request], e.Response)
		case peer.Call:
			r, relay := e.Args.(RelayArgs)
			w.calls = append(w.calls, call{func() { w.deliver(n, e) }, relay && r.Request.Idempotent()})
		case cornelbay.Send:
			w.calls = append(w.calls, call{run: func() {
				if to := w.named(e.To); !to.dead {
					to.apply(to.Receive(w.now, n.Self, e.Message))
				}
			}})
		}
	}
}

func (w *world) finish(path string, r Response) {
	w.seen[r.Reason] = true
	if r.Outcome == cornelbay.NotRun {
		w.reportedNotRun[path]++
	}
	if r.Outcome == cornelbay.Answered && path == "tickets" {
		var l TicketList
		if err := json.Unmarshal(r.Body, &l); err != nil {
			w.t.Fatal(err)
		}
		w.tickets = append(w.tickets, l.Tickets...)
		return
	}
	if r.Outcome == cornelbay.Answered && string(r.Body) != path {
		w.t.Fatalf("answer %q to request %q", r.Body, path)
	}
}

func (w *world) deliver(from *node, c peer.Call) {
	to := w.named(c.To)
	if to.dead {
		w.calls = append(w.calls, call{run: func() { from.answer(c, nil, peer.ErrNoAnswer) }})
		return
	}
	reply, effects, _ := to.ServePeer(w.now, from.Self, c.Args)
	to.apply(effects)
	w.calls = append(w.calls, call{run: func() { from.answer(c, reply, nil) }})
}

func (n *node) answer(c peer.Call, reply any, err error) {
	if !n.dead {
		n.apply(n.PeerAnswer(n.w.now, peer.Answer{Call: c, Reply: reply, Err: err}))
	}
}

func (w *world) submit(n *node, r Request) {
	w.lastID++
	r.ID = w.lastID
	if r.Service == "" {
		r.Service = "s"
	}
	n.submitted++
	w.paths[r.ID] = r.Path
	if r.Tickets > 0 {
		w.paths[r.ID] = "tickets"
	}
	n.apply(n.Submit(w.now, r))
}

// endAttempt ends an attempt in one of several ways, with or without a run on the
// target, and reports the result that an HTTP client would see. what is the way:
// 0 to 3 as in the cases below, any other for a complete response.
func (w *world) endAttempt(n *node, i, what int) {
	a := n.attempts[i]
	n.attempts = append(n.attempts[:i], n.attempts[i+1:]...)
	res := AttemptResult{ID: a.ID}
	switch what {
	case 0:
		res.Proof = NeverSent
	case 1:
		res.Proof = Refused
	case 2: // lost before it reached the target
	case 3: // response lost after the target ran it
		w.run(a)
	default:
		w.run(a)
		res.Complete, res.Response = true, Response{Status: http.StatusOK, Body: []byte(a.Request.Path)}
	}
	if !n.dead {
		n.apply(n.AttemptEnded(w.now, res))
	}
}

func (w *world) run(a Attempt) {
	w.ran[a.Request.Path]++
	if !a.Request.Idempotent() && w.ran[a.Request.Path] > 1 {
		w.t.Fatal("a request that is not idempotent ran twice")
	}
}

func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for _, n := range w.nodes {
		if !n.dead {
			n.apply(n.Tick(w.now))
		}
	}
}

// drain sets a random subset of the service's targets to draining.
func (w *world) drain(n *node) {
	var states []cornelbay.TargetState
	for _, t := range targets(3) {
		phase := cornelbay.Draining
		if rapid.Bool().Draw(w.t, "warm") {
			phase = cornelbay.Warm
		}
		states = append(states, cornelbay.TargetState{Target: t.Name, Phase: phase})
	}
	n.apply(n.SetStates(w.now, states))
}

func (w *world) pick(what string) *node {
	return w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(w.t, what)]
}

// TestOutcomesMatchRuns generates requests, reused tickets, message loss, delays,
// crashes and planned stops on three hosts. It guards against a request that
// is reported as not run although a target ran it, a non-idempotent request that
// runs twice, and a request that never finishes.
func TestOutcomesMatchRuns(t *testing.T) {
	all := make(seen)
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, all)
		t.Repeat(map[string]func(*rapid.T){
			"get": func(t *rapid.T) {
				w.t = t
				if n := w.pick("host"); !n.dead {
					wait := time.Duration(rapid.IntRange(-1, 400).Draw(t, "ms")) * time.Millisecond
					w.submit(n, Request{Method: http.MethodGet, Path: fmt.Sprint("/get/", w.lastID), Deadline: w.now.Add(wait)})
				}
			},
			"burst": func(t *rapid.T) {
				w.t = t
				if n := w.pick("host"); !n.dead && rapid.IntRange(0, 4).Draw(t, "burst") == 0 {
					for range rapid.IntRange(10, 40).Draw(t, "requests") {
						w.submit(n, Request{Method: http.MethodGet, Path: fmt.Sprint("/get/", w.lastID), Deadline: w.now.Add(300 * time.Millisecond)})
					}
				}
			},
			"tickets": func(t *rapid.T) {
				w.t = t
				if n := w.pick("host"); !n.dead {
					w.submit(n, Request{Method: http.MethodGet, Tickets: 2, Caller: "c", Deadline: w.now.Add(time.Second)})
				}
			},
			"post": func(t *rapid.T) {
				w.t = t
				n := w.pick("host")
				if n.dead || len(w.tickets) == 0 {
					t.Skip("no ticket")
				}
				k := rapid.SampledFrom(w.tickets).Draw(t, "ticket")
				if w.posts[k] == "" {
					w.posts[k] = fmt.Sprint("/post/", w.lastID)
				}
				wait := time.Duration(rapid.IntRange(-1, 400).Draw(t, "ms")) * time.Millisecond
				r := Request{Method: http.MethodPost, Path: w.posts[k], Ticket: k, Caller: "c", Deadline: w.now.Add(wait)}
				switch rapid.IntRange(0, 11).Draw(t, "kind") {
				case 0:
					r.Caller = "d" // the caller's address changed
				case 1:
					r.Path = fmt.Sprint("/other/", w.lastID)
				case 2:
					r.Path, r.Ticket = fmt.Sprint("/forged/", w.lastID), k[:len(k)-1]+"!"
				case 3:
					r.Service = "other"
				case 4:
					r.Path, r.Ticket = fmt.Sprint("/bare/", w.lastID), ""
				case 5:
					r.Path, r.Body = fmt.Sprint("/large/", w.lastID), make([]byte, MaxBodyBytes+1)
				}
				w.submit(n, r)
			},
			"deliver": func(t *rapid.T) {
				w.t = t
				for range rapid.IntRange(1, 8).Draw(t, "calls") {
					if len(w.calls) == 0 {
						return
					}
					i := rapid.IntRange(0, len(w.calls)-1).Draw(t, "call")
					c := w.calls[i]
					if c.once || rapid.IntRange(0, 9).Draw(t, "again") > 0 {
						w.calls = append(w.calls[:i], w.calls[i+1:]...)
					}
					c.run()
				}
			},
			"lose": func(t *rapid.T) {
				w.t = t
				if len(w.calls) > 0 && rapid.IntRange(0, 2).Draw(t, "lose") == 0 {
					i := rapid.IntRange(0, len(w.calls)-1).Draw(t, "call")
					w.calls = append(w.calls[:i], w.calls[i+1:]...)
				}
			},
			"end": func(t *rapid.T) {
				w.t = t
				if n := w.pick("host"); len(n.attempts) > 0 {
					w.endAttempt(n, rapid.IntRange(0, len(n.attempts)-1).Draw(t, "attempt"), rapid.IntRange(0, 7).Draw(t, "what"))
				}
			},
			"wait": func(t *rapid.T) {
				w.t = t
				limit := 150
				if rapid.IntRange(0, 19).Draw(t, "pause") == 0 {
					limit = int((ticket.Lifetime + 2*ticket.Grace).Milliseconds())
				}
				w.advance(time.Duration(rapid.IntRange(1, limit).Draw(t, "ms")) * time.Millisecond)
			},
			"fault": func(t *rapid.T) {
				w.t = t
				n := w.pick("host")
				switch rapid.IntRange(0, 29).Draw(t, "fault") {
				case 0:
					n.dead = true
				case 1, 2:
					if !n.dead {
						n.apply(n.Stop(w.now))
					}
				case 3, 4, 5:
					w.members()
				case 6:
					w.served = !w.served
					w.configure()
				case 7:
					if !n.dead {
						for range ticket.MaxPerCaller / ticket.MaxBatch {
							n.ledger.Issue(w.now, "s", "c", ticket.MaxBatch)
						}
					}
				case 8:
					if !n.dead {
						w.drain(n)
					}
				}
			},
		})
		w.t = t
		w.settle()
	})
	for _, r := range refusal.All() {
		if r.Explain().Outcome == cornelbay.NotRun && !all[r] {
			t.Errorf("no history ended with %s", r)
		}
	}
}

// settle delivers all messages, ends all attempts and checks the outcomes that
// callers received.
func (w *world) settle() {
	for range 100 {
		for _, n := range w.nodes {
			for len(n.attempts) > 0 {
				w.endAttempt(n, 0, 4)
			}
		}
		for calls := w.calls; len(calls) > 0; calls = calls[1:] {
			w.calls = w.calls[1:]
			calls[0].run()
		}
		w.advance(50 * time.Millisecond)
	}
	for path, n := range w.reportedNotRun {
		if n > 0 && w.ran[path] > 0 {
			w.t.Fatalf("%s ran %d times and was said not to have run", path, w.ran[path])
		}
	}
	for _, n := range w.nodes {
		if n.dead {
			continue
		}
		if len(n.finished) != n.submitted {
			w.t.Fatalf("host %s finished %d of %d requests", n.Self, len(n.finished), n.submitted)
		}
		if !n.drained() {
			w.t.Fatalf("host %s still waits: %d attempts, %d queued, %d relays, %d served",
				n.Self, len(n.Dispatcher.attempts), n.queued, len(n.relays), len(n.relayedIn))
		}
	}
}
