// The model runs in one goroutine of virtual time, and takes minutes with the race detector.
//go:build !race

package placement

import (
	"encoding/binary"
	"errors"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/admission"
	"github.com/cornelbay/cornelbay/loads"
	"github.com/cornelbay/cornelbay/outlier"
	"github.com/cornelbay/cornelbay/registry"
)

// unlimited runs the overload tests with the rules for services without an objective, with
// which they are expected to fail.
var unlimited = flag.Bool("unlimited", false, "run the overload tests on routes without an objective")

// A fleetModel has its hosts, targets and callers in this many data centres.
const fleetDataCentres = 4

const (
	// workSigma is the sigma of the lognormal distribution of the work of requests.
	workSigma = 0.5
	// callersPerHost is the number of callers for each host.
	callersPerHost = 4
	// maxTries is the number of times that a caller tries a request, each on a new flow,
	// and retryDelay the time from a refusal or rejection to the next try.
	maxTries   = 3
	retryDelay = 100 * time.Millisecond
	// rerouteTime is the time from the death of a host until the routers send its flows to
	// others.
	rerouteTime = 500 * time.Millisecond
	// treeInterval is the interval of the reports of hosts in a tree, relayedLoads the
	// number of targets in a report and relayedOutcomes that in a message of outcomes.
	// Reports of up to meshHosts hosts go to all others directly, every meshInterval.
	treeInterval    = 250 * time.Millisecond
	relayedLoads    = 120
	relayedOutcomes = 80
	meshHosts       = 13
	meshInterval    = 150 * time.Millisecond
	requestBytes    = 300
	// binTime is the resolution of the utilisation over time.
	binTime = 50 * time.Millisecond
)

// kind is a kind of requests, each on a route of its own.
type kind struct {
	name      string
	address   netip.AddrPort
	part      float64 // of all requests
	work      time.Duration
	objective time.Duration
	priority  int
}

var (
	ordinary = &kind{"ordinary", netip.MustParseAddrPort("198.18.0.1:443"), 7.0 / 9, 15 * time.Millisecond, 400 * time.Millisecond, 2}
	urgent   = &kind{"urgent", netip.MustParseAddrPort("198.18.0.2:443"), 2.0 / 9, 20 * time.Millisecond, 400 * time.Millisecond, 1}
)

// meanWork is the mean work of requests of all kinds.
func meanWork() time.Duration {
	return time.Duration(ordinary.part*float64(ordinary.work) + urgent.part*float64(urgent.work))
}

// phase is a time with a constant rate of requests.
type phase struct {
	until time.Duration
	// load is the work that arrives, relative to all slots. That of a data centre is
	// multiplied by its weight, if there are weights.
	load    float64
	weights [fleetDataCentres]float64
}

// overload is a load on a fleetModel with a limited service.
type overload struct {
	hosts  int
	phases []phase
	// factors are the times of a request at the targets relative to the usual time; target
	// i has that with index i modulo their number. Without any they are 1.
	factors []float64
	// callers is the number of callers in each data centre; 0 is callersPerHost for each host.
	// The first of each sends heavy times the requests of another one, the excess in addition
	// to the load and ordinary; 0 is 1.
	callers int
	heavy   float64
	// kept is the share of the ordinary requests that come on flows which their callers keep open,
	// usersPerCaller of them at each at first.
	kept float64
	// events happen during the run.
	events []happening
	// taught is what the hosts know from the start as the factor of a target, instead of
	// learning it; nil if they learn it.
	taught func(*fleetTarget) float64
	seed   uint64
}

type happening struct {
	at time.Duration
	do func(*fleetModel)
}

// fleetHost is a host of a fleetModel.
type fleetHost struct {
	*Placer
	dc   int
	dead bool
	// own are the loads that the host last reported, reportedAt when it did.
	own        map[uint32]float64
	reportedAt time.Time
}

// fleetTarget is a target of a fleetModel.
type fleetTarget struct {
	*registry.Endpoint
	dc      int
	factor  float64
	dead    bool
	busy    int
	waiting []func()
}

// call is a request of a caller, which may try several times.
type call struct {
	kind   *kind
	dc     int
	caller int // in its data centre
	asked  time.Duration
	work   time.Duration
	keep   bool // on a flow that stays open
	// took is the time until the answer, or 0 without one.
	took                     time.Duration
	tries, refused, rejected int
}

func (c *call) inTime() bool { return c.took > 0 && c.took <= c.kind.objective }

// attempt is one try of a call, on a flow of its own.
type attempt struct {
	*call
	key  cornelbay.FlowKey
	host *fleetHost
	// chosen is the target that accepted the flow first.
	chosen *fleetTarget
	ended  bool
	// keep is true for a request on a flow that stays open. Before it, the caller has sent sent
	// bytes, and got got.
	keep      bool
	sent, got uint32
}

// fleetModel simulates an overload in virtual time: callers that retransmit and try again,
// routers that spread their flows over the hosts of their data centre, hosts, and targets
// that queue and reject.
type fleetModel struct {
	clock
	overload
	rng     *rand.Rand
	hosts   []*fleetHost
	near    [fleetDataCentres][]*fleetHost // those that the routers use
	targets []*fleetTarget
	slots   int
	flows   map[cornelbay.FlowKey]*attempt
	ports   []uint16
	calls   []*call
	// idle are the open flows at rest of each caller.
	idle map[[2]int][]*attempt
	// busy is the time that slots were in use, by bins of binTime.
	busy []time.Duration
	// sum and totals are those of the relays; a total is delivered some time later.
	sum    loads.Sum
	totals []map[uint32]float64
	// digests are those of the last total that is delivered, by data centre.
	digests [fleetDataCentres]map[uint32]float64
	// refusedFree counts the refusals for a long expected wait while more than a tenth of the
	// slots were free, and held the openings that waited for longer than they may.
	refusedFree, held int
	// longestHold is the longest time for which a request on an open flow was held.
	longestHold time.Duration
}

// targetsOf returns the number of targets for a number of hosts: 120 for 76.
func targetsOf(hosts int) int { return max(12, int(math.Round(float64(hosts)*120/76))) }

// play runs a load until all its requests have been answered in time, or not.
func play(l overload) *fleetModel {
	f := &fleetModel{overload: l, rng: rand.New(rand.NewPCG(l.seed, 2)), flows: make(map[cornelbay.FlowKey]*attempt), idle: make(map[[2]int][]*attempt)}
	if f.callers == 0 {
		f.callers = max(1, callersPerHost*l.hosts/fleetDataCentres)
	}
	f.heavy = max(f.heavy, 1)
	f.ports = make([]uint16, f.callers*fleetDataCentres)
	for i := range targetsOf(l.hosts) {
		t := &fleetTarget{Endpoint: warmTarget(uint32(i+1), dataCentreName(i%fleetDataCentres)), dc: i % fleetDataCentres, factor: 1}
		t.StartedMs = 1
		if len(l.factors) > 0 {
			t.factor = l.factors[i/fleetDataCentres%len(l.factors)]
		}
		f.targets = append(f.targets, t)
		f.slots += t.Slots
	}
	for i := range l.hosts {
		dc := i % fleetDataCentres
		h := &fleetHost{Placer: &Placer{Self: cornelbay.HostName(fmt.Sprint(i)), DataCentre: dataCentreName(dc)}, dc: dc}
		f.hosts, f.near[dc] = append(f.hosts, h), append(f.near[dc], h)
	}
	f.setView()
	interval := treeInterval
	if l.hosts <= meshHosts {
		interval = meshInterval
	} else {
		f.relay()
	}
	for i, h := range f.hosts {
		h.reportedAt = f.time()
		f.after(10*time.Millisecond*time.Duration(i)/time.Duration(l.hosts), func() { f.tick(h) })
		f.after(interval*time.Duration(i)/time.Duration(l.hosts), func() { f.report(h, interval) })
	}
	for dc := range fleetDataCentres {
		f.arrive(0, dc)
	}
	for _, e := range l.events {
		f.after(e.at, func() { e.do(f) })
	}
	f.runUntil(f.end() + ordinary.objective + 100*time.Millisecond)
	return f
}

func (f *fleetModel) end() time.Duration { return f.phases[len(f.phases)-1].until }

func dataCentreName(i int) cornelbay.DataCentreName { return cornelbay.DataCentreName(fmt.Sprint(i)) }

// setView gives the hosts the present targets and routes.
func (f *fleetModel) setView() {
	var endpoints []*registry.Endpoint
	for _, t := range f.targets {
		endpoints = append(endpoints, t.Endpoint)
	}
	v := view(endpoints...)
	for _, h := range f.hosts {
		v.Hosts = append(v.Hosts, registry.Host{Name: h.Self, DataCentre: h.DataCentre})
	}
	v.Routes = make(map[netip.AddrPort]*registry.Route)
	for _, k := range []*kind{ordinary, urgent} {
		r := &registry.Route{
			Name: k.name, Address: k.address, Priority: k.priority, Objective: k.objective, Timeout: 6 * k.objective,
			Shares: []registry.Share{{Service: service, Weight: 1}},
		}
		if *unlimited {
			r.Objective = 0
		}
		v.Routes[k.address] = r
	}
	for _, h := range f.hosts {
		h.SetView(v)
	}
}

// restartTargets gives all targets a new start. Their requests go on.
func (f *fleetModel) restartTargets() {
	for _, t := range f.targets {
		e := *t.Endpoint
		e.StartedMs++
		t.Endpoint = &e
	}
	f.setView()
}

// killHost ends a host, whose packets are lost until the routers send them to others.
func (f *fleetModel) killHost(h *fleetHost) {
	h.dead = true
	f.after(rerouteTime, func() {
		f.near[h.dc] = slices.DeleteFunc(f.near[h.dc], func(other *fleetHost) bool { return other == h })
	})
}

func (f *fleetModel) tick(h *fleetHost) {
	if h.dead {
		return
	}
	if f.taught != nil {
		f.teach(h)
	}
	for _, r := range h.Tick(f.time()) {
		if r.Target != nil {
			f.send(h, f.flows[r.Key], r.Target)
		}
	}
	f.admit(h)
	f.after(10*time.Millisecond, func() { f.tick(h) })
}

// teach gives a host so much evidence of the factors of its targets that its own counts for
// nothing.
func (f *fleetModel) teach(h *fleetHost) {
	s, ok := h.services[service]
	if !ok {
		return
	}
	usual := h.answers.UsualTime(service)
	for _, o := range s.own {
		factor := f.taught(f.targets[o.target.Cookie-1])
		w := &h.targetState(o.target.Cookie, f.time()).own().window
		for range 20 {
			w.Answered(f.time(), time.Duration(factor*float64(usual)), usual, false)
		}
	}
}

// teachOutcomes is as teach for the factors that come with the outcomes of all hosts.
func (f *fleetModel) teachOutcomes(h *fleetHost) {
	const n = 1000
	for _, t := range f.targets {
		h.outliers.AddRemote(t.Cookie, outlier.Outcome{Ended: n, TotalDuration: time.Duration(n * f.taught(t) * float64(meanWork()))})
	}
}

// report makes a host report. In a mesh, the others get the report as it is; in a tree, the
// host gets an earlier sum of all.
func (f *fleetModel) report(h *fleetHost, interval time.Duration) {
	if h.dead {
		return
	}
	r := h.Report(f.time(), h.reportedAt)
	h.own, h.reportedAt = r.Loads, f.time()
	if f.taught != nil {
		f.teachOutcomes(h)
		r.Outcomes = nil
	}
	if f.overload.hosts <= meshHosts {
		f.after(betweenDataCentres, func() {
			r.At = f.time()
			for _, other := range f.hosts {
				if other != h && !other.dead {
					other.MergeReport(h.Self, r)
				}
			}
		})
	} else {
		f.sum.Add(h.Self, r)
		f.sum.AddOutcomes(r.Outcomes)
		if n := len(f.totals); n > 1 {
			if f.digests[h.dc] == nil {
				f.digests[h.dc] = h.Digest(f.totals[n-2], relayedLoads)
			}
			var relay loads.Relay
			relay.Up(f.time(), r.Loads)
			h.MergeReport("", loads.Report{At: f.time(), Loads: relay.Others(f.digests[h.dc])})
		}
	}
	f.after(interval, func() { f.report(h, interval) })
}

// relay sums up the reports as the relays of a tree do.
func (f *fleetModel) relay() {
	f.totals = append(f.totals, f.sum.Loads(f.time()))
	f.digests = [fleetDataCentres]map[uint32]float64{}
	if len(f.totals)%2 == 0 {
		outcomes := f.sum.TakeOutcomes(relayedOutcomes)
		f.after(treeInterval, func() {
			for _, h := range f.hosts {
				h.MergeOutcomes(outcomes)
			}
		})
	}
	f.after(treeInterval, f.relay)
}

// arrive starts the requests from the callers of a data centre, beginning with a phase.
func (f *fleetModel) arrive(i, dc int) {
	if i == len(f.phases) {
		return
	}
	p := f.phases[i]
	weight := p.weights[dc]
	if p.weights == [fleetDataCentres]float64{} {
		weight = 1
	}
	heavy := (f.heavy - 1) / float64(f.callers)
	rate := weight * (1 + heavy) * p.load * float64(f.slots) / meanWork().Seconds() / fleetDataCentres
	gap := time.Duration(f.rng.ExpFloat64() / rate * float64(time.Second))
	if f.now+gap >= p.until {
		f.after(p.until-f.now, func() { f.arrive(i+1, dc) })
		return
	}
	f.after(gap, func() {
		f.arrive(i, dc)
		f.call(dc)
	})
}

func (f *fleetModel) call(dc int) {
	c := &call{kind: ordinary, dc: dc, asked: f.now}
	share := 1.0 // of the requests of caller 0 that it would send without its excess
	if i := f.rng.Float64() * (float64(f.callers) + f.heavy - 1); i >= f.heavy {
		c.caller = int(i - f.heavy + 1)
	} else {
		share = 1 / f.heavy
	}
	if f.rng.Float64() < urgent.part*share {
		c.kind = urgent
	}
	c.keep = f.kept > 0 && c.kind == ordinary && f.rng.Float64() < f.kept
	c.work = time.Duration(float64(c.kind.work) * math.Exp(workSigma*f.rng.NormFloat64()-workSigma*workSigma/2))
	f.calls = append(f.calls, c)
	f.try(c)
}

// try sends the opening of a new flow, or a request on an open one.
func (f *fleetModel) try(c *call) {
	c.tries++
	if idle := f.idle[[2]int{c.dc, c.caller}]; c.keep && len(idle) > 0 {
		last := idle[len(idle)-1]
		f.idle[[2]int{c.dc, c.caller}] = idle[:len(idle)-1]
		a := &attempt{call: c, key: last.key, host: last.host, chosen: last.chosen, keep: true, sent: last.sent, got: last.got}
		f.flows[a.key] = a
		f.request(a, 200*time.Millisecond)
		return
	}
	n := c.caller*fleetDataCentres + c.dc
	f.ports[n]++
	var ip [4]byte
	binary.BigEndian.PutUint32(ip[:], 100<<24|64<<16|uint32(n))
	a := &attempt{call: c, keep: c.keep, key: cornelbay.FlowKey{
		Source: netip.AddrPortFrom(netip.AddrFrom4(ip), f.ports[n]), Destination: c.kind.address,
	}}
	f.flows[a.key] = a
	a.host = f.near[c.dc][f.rng.IntN(len(f.near[c.dc]))]
	f.open(a, false)
	f.after(200*time.Millisecond, func() { f.retransmit(a) })
	f.after(600*time.Millisecond, func() { f.retransmit(a) })
}

func (f *fleetModel) retransmit(a *attempt) {
	if !a.ended && a.chosen == nil {
		f.open(a, true)
	}
}

// route returns the host that gets the packets of a flow, or nil if the routers send them to
// one that is dead.
func (f *fleetModel) route(a *attempt) *fleetHost {
	if a.host.dead {
		if slices.Contains(f.near[a.dc], a.host) {
			return nil
		}
		a.host = f.near[a.dc][f.rng.IntN(len(f.near[a.dc]))]
	}
	return a.host
}

func (f *fleetModel) open(a *attempt, retransmitted bool) {
	f.after(oneWay, func() {
		h := f.route(a)
		if h == nil {
			return
		}
		target, err := h.Open(f.time(), Opening{Key: a.key, Service: service, Packet: []byte("o"), Copy: copyNumber(retransmitted)})
		switch {
		case err == nil:
			f.send(h, a, target)
		case !errors.Is(err, ErrWaiting):
			f.refuse(a)
		}
		f.admit(h)
	})
}

// admit applies the decisions of a host on the openings that waited.
func (f *fleetModel) admit(h *fleetHost) {
	for _, r := range h.Releases() {
		a := f.flows[r.Key]
		f.longestHold = max(f.longestHold, r.Waited)
		f.after(betweenDataCentres, func() { f.serve(a) })
	}
	for _, d := range h.Admissions() {
		a := f.flows[d.Key]
		if d.Waited > min(maxWait, time.Duration(waitShare*float64(a.kind.objective)))+20*time.Millisecond { // two ticks later
			f.held++
		}
		if d.Target != nil {
			f.send(h, a, d.Target)
			continue
		}
		if d.Reason == admission.Overload && f.busySlots() < 0.9 {
			f.refusedFree++
		}
		f.refuse(a)
	}
}

// busySlots returns the share of the slots of live targets that are in use.
func (f *fleetModel) busySlots() float64 {
	busy, slots := 0, 0
	for _, t := range f.targets {
		if !t.dead {
			busy, slots = busy+t.busy, slots+t.Slots
		}
	}
	return float64(busy) / float64(slots)
}

// refuse resets a flow.
func (f *fleetModel) refuse(a *attempt) {
	f.after(oneWay, func() {
		if !a.ended {
			a.refused++
			f.tryAgain(a)
		}
	})
}

func (f *fleetModel) tryAgain(a *attempt) {
	a.ended = true
	if a.tries < maxTries {
		f.after(retryDelay, func() { f.try(a.call) })
	}
}

// send delivers an opening to a target. The caller continues with the first target that
// answers.
func (f *fleetModel) send(h *fleetHost, a *attempt, m *registry.Endpoint) {
	t := f.targets[m.Cookie-1]
	f.after(betweenDataCentres, func() {
		if t.dead {
			return
		}
		f.after(oneWay, func() {
			if a.chosen == nil && !a.ended {
				a.chosen = t
				f.request(a, 200*time.Millisecond)
			}
		})
	})
}

// request sends the data of a request to its host, and again if that is dead.
func (f *fleetModel) request(a *attempt, wait time.Duration) {
	f.after(oneWay, func() {
		if h := f.route(a); h != nil {
			s := Segment{Cookie: a.chosen.Cookie, Acknowledged: 1 + a.got, Sequence: 1 + a.sent, Bytes: requestBytes}
			cookie := h.RoutePacket(f.time(), a.key, s)
			f.admit(h)
			if cookie != 0 {
				f.after(betweenDataCentres, func() { f.serve(a) })
			}
			return
		}
		f.after(wait, func() { f.request(a, 2*wait) })
	})
}

// serve makes a target serve, queue or reject a request.
func (f *fleetModel) serve(a *attempt) {
	t := a.chosen
	if t.dead {
		return
	}
	begin := func() {
		t.busy++
		began := f.now
		f.after(time.Duration(t.factor*float64(a.work)), func() {
			if t.dead {
				return
			}
			t.busy--
			f.countBusy(began, f.now)
			if len(t.waiting) > 0 {
				next := t.waiting[0]
				t.waiting = t.waiting[1:]
				next()
			}
			f.answer(a, answerBytes)
		})
	}
	switch {
	case t.busy < t.Slots:
		begin()
	case len(t.waiting) < queueLength:
		t.waiting = append(t.waiting, begin)
	default:
		inQueue := time.Duration(t.factor * queueLength / float64(t.Slots) * float64(meanWork()))
		f.after(inQueue, func() { f.answer(a, errorBytes) })
	}
}

// answer delivers an answer to the caller, whose acknowledgement goes to the host.
func (f *fleetModel) answer(a *attempt, size uint32) {
	f.after(oneWay, func() {
		if size == errorBytes {
			a.rejected++
			f.tryAgain(a)
		} else {
			a.ended, a.took = true, f.now-a.asked
		}
		f.after(oneWay, func() {
			a.sent, a.got = a.sent+requestBytes, a.got+size
			if h := f.route(a); h != nil {
				h.RoutePacket(f.time(), a.key, Segment{
					Cookie: a.chosen.Cookie, Sequence: 1 + a.sent, Acknowledged: 1 + a.got, Finishing: !a.keep,
				})
				f.admit(h)
			}
			if a.keep {
				f.idle[[2]int{a.dc, a.caller}] = append(f.idle[[2]int{a.dc, a.caller}], a)
				return
			}
			// A retry of the opening may still be on its way.
			f.after(time.Second, func() { delete(f.flows, a.key) })
		})
	})
}

// countBusy counts the time of a slot for the utilisation.
func (f *fleetModel) countBusy(from, to time.Duration) {
	for i := int(from / binTime); time.Duration(i)*binTime < to; i++ {
		for len(f.busy) <= i {
			f.busy = append(f.busy, 0)
		}
		f.busy[i] += min(to, time.Duration(i+1)*binTime) - max(from, time.Duration(i)*binTime)
	}
}

// utilisation returns the share of the slots of live targets that served requests between
// two multiples of binTime.
func (f *fleetModel) utilisation(from, to time.Duration) float64 {
	slots := 0
	for _, t := range f.targets {
		if !t.dead {
			slots += t.Slots
		}
	}
	var busy time.Duration
	for i := from / binTime; i < to/binTime && int(i) < len(f.busy); i++ {
		busy += f.busy[i]
	}
	return busy.Seconds() / (float64(slots) * (to - from).Seconds())
}

// tally sums up calls.
type tally struct {
	calls, inTime, answered, tries, refused, rejected int
	took                                              []time.Duration
}

// count sums up the calls from a time on for which match is true.
func (f *fleetModel) count(from time.Duration, match func(*call) bool) tally {
	var n tally
	for _, c := range f.calls {
		if c.asked < from || !match(c) {
			continue
		}
		n.calls++
		n.tries, n.refused, n.rejected = n.tries+c.tries, n.refused+c.refused, n.rejected+c.rejected
		if c.inTime() {
			n.inTime++
		}
		if c.took > 0 {
			n.answered++
			n.took = append(n.took, c.took)
		}
	}
	slices.Sort(n.took)
	return n
}

func (n tally) inTimeShare() float64   { return float64(n.inTime) / float64(n.calls) }
func (n tally) rejectedShare() float64 { return float64(n.rejected) / float64(n.calls) }

// percentile returns that of the times of answered calls.
func (n tally) percentile(p float64) time.Duration {
	if len(n.took) == 0 {
		return 0
	}
	return n.took[int(p*float64(len(n.took)-1))]
}

func (n tally) String() string {
	return fmt.Sprintf("%d calls, %.4f in time, p50 %v, p99 %v, %.2f tries, %.4f refused, %.4f rejected",
		n.calls, n.inTimeShare(), n.percentile(0.5).Round(100*time.Microsecond), n.percentile(0.99).Round(100*time.Microsecond),
		float64(n.tries)/float64(n.calls), float64(n.refused)/float64(n.calls), n.rejectedShare())
}

func anyKind(*call) bool { return true }

func of(k *kind) func(*call) bool { return func(c *call) bool { return c.kind == k } }

// log prints the figures of the calls from a time on.
func (f *fleetModel) log(t *testing.T, from time.Duration) {
	t.Helper()
	for _, k := range []*kind{urgent, ordinary} {
		t.Logf("%d hosts, %s: %v", len(f.hosts), k.name, f.count(from, of(k)))
	}
	var c Counters
	for _, h := range f.hosts {
		n := h.Counters()
		c.Ejected, c.Admitted, c.Shed = c.Ejected+n.Ejected, c.Admitted+n.Admitted, c.Shed+n.Shed
		c.Rejected, c.Unanswered = c.Rejected+n.Rejected, c.Unanswered+n.Unanswered
	}
	t.Logf("utilisation %.3f, %d admitted, %d shed of which %d while slots were free, %d held too long, %d ejections, %d unanswered, %d found rejected",
		f.utilisation(from, f.end()), c.Admitted, c.Shed, f.refusedFree, f.held, c.Ejected, c.Unanswered, c.Rejected)
}
