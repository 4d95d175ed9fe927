package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/netip"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/config"
	"github.com/cornelbay/cornelbay/entry"
	"github.com/cornelbay/cornelbay/operator"
	"github.com/cornelbay/cornelbay/request"
	"github.com/cornelbay/cornelbay/target"
	"github.com/cornelbay/cornelbay/warmth"
)

// hosts runs real entry hosts before the fake targets.
type hosts struct {
	*requestRun
	group   *Group
	names   []cornelbay.HostName
	byName  map[cornelbay.TargetName]*FakeTarget
	last    request.ID
	pending map[pendingKey]func(request.Response)
	works   map[workKey]*running
	silent  map[workPair]bool
	stock   map[int][]string
	count   int
	lossy   bool
	lies    bool
}

type pendingKey struct {
	host cornelbay.HostName
	id   request.ID
}

type workKey struct {
	host cornelbay.HostName
	id   request.AttemptID
}

type workPair struct {
	host   cornelbay.HostName
	target cornelbay.TargetName
}

// running is an attempt on its way, as the shell sees it.
type running struct {
	target *FakeTarget
	work   *Work
	end    func(request.AttemptResult)
}

func runRequests(o RequestOptions, s scenario, name string) (RequestRow, error) {
	g := NewGroup(o.Seed)
	r := &requestRun{
		Driver: g.Driver, opts: o, scenario: s, bad: make(map[time.Duration][2]int),
		hist: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
		row:  RequestRow{Scenario: s.name, Policy: name, Load: s.load},
	}
	r.startTargets(&o.Document.Services[0])
	rate := s.load * float64(r.slots()) / requestMean.Seconds()
	// The arrivals have a source of their own, so that all policies get the same.
	list := arrivals(NewDriver(o.Seed), o.Hosts, rate, o.Span)
	var p interface {
		policy
		world
	}
	switch name {
	case "random", "leastInFlight":
		p = newBaseline(r, name == "leastInFlight")
	case "central":
		p = &central{requestRun: r, drained: make(map[*FakeTarget]bool)}
	default:
		h, err := startHosts(r, g)
		if err != nil {
			return r.row, err
		}
		p = h
	}
	if s.start != nil {
		r.After(faultAt, func() { s.start(r, p) })
	}
	r.arrive(p, list)
	r.finishRow(list)
	return r.row, nil
}

func startHosts(r *requestRun, g *Group) (*hosts, error) {
	h := &hosts{
		requestRun: r, group: g, byName: make(map[cornelbay.TargetName]*FakeTarget),
		pending: make(map[pendingKey]func(request.Response)), works: make(map[workKey]*running),
		silent: make(map[workPair]bool), stock: make(map[int][]string),
	}
	for _, t := range r.targets {
		h.byName[t.Name] = t
	}
	g.OnAttempt, g.OnCancel, g.OnFinish, g.OnProbe = h.attempt, h.cancel, h.finish, h.probe
	var all []cornelbay.Host
	for i := range r.opts.Hosts {
		dc := r.opts.Document.DataCentres[i%len(r.opts.Document.DataCentres)].Name
		at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000)
		h.names = append(h.names, cornelbay.HostName(fmt.Sprint("host-", i)))
		all = append(all, cornelbay.Host{Name: h.names[i], DataCentre: dc, Incarnation: 1, Datagram: at})
	}
	for i, self := range all {
		g.StartHost(entry.Settings{
			Self: self, InitialHosts: all, Seed: r.opts.Seed + uint64(i), TicketKeys: [][]byte{[]byte("ticket key")},
		})
	}
	if err := h.apply(r.opts.Document); err != nil {
		return nil, err
	}
	g.Run(settleSpan)
	for c := range requestCallers {
		h.refill(c, c%r.opts.Hosts)
	}
	g.Run(time.Second)
	h.count = 0
	return h, nil
}

func (h *hosts) apply(doc *config.Document) error {
	c := operator.Change{Author: "measure", Reason: "experiment"}
	_, err := operator.Apply(context.Background(), &h.group.Store, doc, c)
	return err
}

func (h *hosts) attempts() int { return h.count }

func (h *hosts) service() cornelbay.ServiceName { return h.opts.Document.Services[0].Name }

// input hands an input to a host, as its shell does.
func (h *hosts) input(n *Node, f func() []cornelbay.Effect) {
	if n.Alive() {
		h.group.CarryOut(n, f())
	}
}

func (h *hosts) attempt(n *Node, a request.Attempt) {
	h.count++
	t := h.byName[a.Target]
	delay := h.toTarget(h.index(n), t)
	res := request.AttemptResult{ID: a.ID}
	wait := delay
	switch {
	case !a.Request.Idempotent():
		wait += 2 * delay // a fresh connection
	case h.silent[workPair{n.Self.Name, t.Name}]:
		// The client drops all unused connections once one went silent.
		maps.DeleteFunc(h.silent, func(p workPair, _ bool) bool { return p.host == n.Self.Name })
		res.Silent = true
		wait += max(target.MinSilence, target.SilenceFactor*requestMean) + 2*delay
	}
	began, over := h.Now, false
	key := workKey{n.Self.Name, a.ID}
	run := &running{target: t}
	run.end = func(res request.AttemptResult) {
		if over {
			return
		}
		over = true
		delete(h.works, key)
		h.signal(n, a, res, h.Now.Sub(began))
		h.input(n, func() []cornelbay.Effect { return n.Requests.AttemptEnded(h.Now, res) })
	}
	run.work = &Work{
		Path: a.Request.Path, Demand: h.demand(a.Request), Deadline: a.Deadline,
		Done: func(r WorkResult) {
			res.Complete, res.Proof = !r.Refused && !r.Cut, r.Proof()
			res.Response = request.Response{Status: http.StatusOK, Body: []byte(a.Request.Path)}
			h.After(delay, func() { run.end(res) })
		},
	}
	h.works[key] = run
	h.After(wait, func() {
		if !over {
			t.Submit(run.work)
		}
	})
	h.After(a.Deadline.Sub(h.Now), func() {
		h.cancelWork(run, delay)
		run.end(request.AttemptResult{ID: a.ID})
	})
}

func (h *hosts) index(n *Node) int {
	for i, name := range h.names {
		if name == n.Self.Name {
			return i
		}
	}
	return 0
}

// demand reads what the caller wrote into the request's body.
func (h *hosts) demand(r request.Request) time.Duration {
	var d time.Duration
	if err := json.Unmarshal(r.Body, &d); err != nil {
		return requestMean
	}
	return d
}

func (h *hosts) cancel(n *Node, c request.Cancel) {
	run, ok := h.works[workKey{n.Self.Name, c.ID}]
	if !ok {
		return
	}
	h.cancelWork(run, h.toTarget(h.index(n), run.target))
	h.After(0, func() { run.end(request.AttemptResult{ID: c.ID}) })
}

func (h *hosts) cancelWork(run *running, delay time.Duration) {
	h.After(delay, func() { run.target.Cancel(run.work) })
}

// signal tells the host's judge of warmth what its shell would.
func (h *hosts) signal(n *Node, a request.Attempt, res request.AttemptResult, took time.Duration) {
	s := warmth.Signal{Target: a.Target, Kind: warmth.AnswerFailed}
	switch {
	case res.Complete:
		s.Kind, s.Value = warmth.AnswerOK, float64(took)/float64(time.Millisecond)
	case res.Proof == request.Refused:
		s.Kind = warmth.Shed
	}
	if n.Alive() {
		n.Observe(h.Now, s)
	}
}

func (h *hosts) probe(n *Node, p warmth.Probe) {
	h.After(2*farDelay, func() {
		t := h.byName[p.Target]
		if !n.Alive() || t == nil {
			return
		}
		n.Observe(h.Now, warmth.Signal{Target: p.Target, Kind: warmth.ProbeOK})
		load := t.Load()
		if h.lies {
			load = 0
		}
		n.Observe(h.Now, warmth.Signal{Target: p.Target, Kind: warmth.LoadReported, Value: float64(load)})
	})
}

func (h *hosts) finish(n *Node, f request.Finish) {
	key := pendingKey{n.Self.Name, f.Request}
	if done, ok := h.pending[key]; ok {
		delete(h.pending, key)
		done(f.Response)
	}
}

// steward returns the host that dispatches the service's requests.
func (h *hosts) steward() *Node {
	for _, name := range h.group.Names() {
		n := h.group.Nodes[name]
		if n.Requests.Coordinator(h.service()) == name {
			return n
		}
	}
	return h.group.Nodes[h.names[0]]
}

func (h *hosts) killHost() {
	n := h.steward()
	n.Dead = true
	h.breakCallers(n)
}

func (h *hosts) stopHost() {
	n := h.steward()
	h.input(n, func() []cornelbay.Effect { return n.Stop(h.Now) })
	h.Every(entry.TickInterval, func() bool {
		if !n.Stopped(h.Now) {
			return true
		}
		n.Dead = true
		h.breakCallers(n)
		return false
	})
}

func (h *hosts) drain(t *FakeTarget) {
	doc := *h.opts.Document
	b, err := doc.Canonical()
	if err != nil {
		return
	}
	changed, err := config.Parse(b)
	if err != nil {
		return
	}
	for _, s := range changed.Services {
		for i := range s.Targets {
			if s.Targets[i].Name == t.Name {
				s.Targets[i].Drain = true
			}
		}
	}
	if err := h.apply(changed); err != nil {
		panic(err) // the document was valid before
	}
}

func (h *hosts) silence() {
	for _, name := range h.names {
		for _, t := range h.targets {
			if h.Rand.IntN(2) == 0 {
				h.silent[workPair{name, t.Name}] = true
			}
		}
	}
}

func (h *hosts) loseAnswers()  { h.lossy = true }
func (h *hosts) lieAboutLoad() { h.lies = true }
