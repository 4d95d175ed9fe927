package soak

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cornelbay/cornelbay/fakeplatform"
	"github.com/cornelbay/cornelbay/oplog"
	"github.com/cornelbay/cornelbay/platform"
)

// Options say how a soak runs.
type Options struct {
	Seed uint64
	// Rounds is the number of rounds of faults; no round begins later than For after
	// the first one, if that is set.
	Rounds  int
	For     time.Duration
	Hosts   int
	Targets int
	Callers int
	// Only are the numbers of the steps to take; none stands for all.
	Only []int
	// Steps replace the schedule of the seed, in one round.
	Steps []Step
	// Binary is the daemon's program.
	Binary string
	// Net is the second byte of the loopback addresses that the soak uses.
	Net byte
	// Tell gets a line for each step and each check; it may be nil.
	Tell func(format string, args ...any)
}

// Result is what a soak has seen.
type Result struct {
	Seed     uint64 `json:"seed"`
	Steps    int    `json:"steps"`
	Flows    int    `json:"flows"`
	Requests int    `json:"requests"`
	Refused  int    `json:"refused"`
	// Rejected are the requests that full targets rejected.
	Rejected int `json:"rejected"`
	Stalled  int `json:"stalled"`
	// Violations are the promises that were broken, each with its story.
	Violations []string `json:"violations"`
}

// settleTime bounds how long everything may take to be well again after a round:
// far beyond each bound of the promises, since the machine may be busy.
const settleTime = 40 * time.Second

// maxViolations limits the violations that are told.
const maxViolations = 20

type run struct {
	*world
	ctx    context.Context
	router router
}

// Run runs a soak and returns what it has seen. An error means that it could not
// be run; broken promises are in the result.
func Run(ctx context.Context, o Options) (res Result, err error) {
	if o.Tell == nil {
		o.Tell = func(string, ...any) {}
	}
	w, err := newWorld(o)
	if err != nil {
		return Result{}, err
	}
	defer func() { err = errors.Join(err, w.close()) }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &run{world: w, ctx: ctx}
	r.settle(-1)
	var callers sync.WaitGroup
	callers.Go(func() { r.route(ctx) })
	for i := range o.Callers {
		callers.Go(func() { r.call(rand.New(rand.NewPCG(o.Seed, uint64(i+1)))) })
	}
	steps, begin := Schedule(o.Seed, o.Rounds), time.Now()
	if o.Steps != nil {
		steps, o.Rounds = o.Steps, 1
	}
	for round := range o.Rounds {
		r.round(round, steps)
		if len(r.violations()) > 0 || ctx.Err() != nil || o.For > 0 && time.Since(begin) > o.For {
			break
		}
	}
	cancel()
	callers.Wait()
	r.resultMu.Lock()
	defer r.resultMu.Unlock()
	return r.result, nil
}

func (r *run) violations() []string {
	r.resultMu.Lock()
	defer r.resultMu.Unlock()
	return r.result.Violations
}

func (w *world) violate(format string, args ...any) {
	w.resultMu.Lock()
	defer w.resultMu.Unlock()
	if len(w.result.Violations) < maxViolations {
		w.result.Violations = append(w.result.Violations, fmt.Sprintf(format, args...))
	}
}

// round takes the steps of one round, heals everything, and checks the promises
// that hold once all is calm.
func (r *run) round(round int, steps []Step) {
	begin := time.Now()
	var running sync.WaitGroup
	for _, s := range steps {
		if s.Round != round || len(r.o.Only) > 0 && !slices.Contains(r.o.Only, s.Number) {
			continue
		}
		select {
		case <-r.ctx.Done():
		case <-time.After(s.At - time.Since(begin)):
		}
		r.o.Tell("%s", s)
		r.result.Steps++
		running.Go(func() { r.take(s) })
	}
	running.Wait()
	r.heal()
	r.settle(round)
}

// heal ends what no step has ended: the store works, all hosts run, every target
// that lives is announced.
func (r *run) heal() {
	r.store.Set(fakeplatform.Faults{})
	for _, p := range r.hosts {
		p.proxy.cut.Store(false)
		p.signal(syscall.SIGCONT)
		if !r.alive(p) {
			if err := r.start(p, 0); err != nil {
				r.violate("host %d does not start: %v", p.number, err)
			}
		}
	}
	r.world.mu.Lock()
	defer r.world.mu.Unlock()
	for _, t := range r.targets {
		t.Silent.Store(false)
		t.Delay.Store(0)
		t.Work.Store(int64(workTime))
		t.doubtful = false
	}
}

func (r *run) alive(p *process) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil && !p.stopped
}

// eventually polls until ok or the settle time is over.
func (r *run) eventually(what string, ok func() bool) {
	for begin := time.Now(); time.Since(begin) < settleTime; {
		if r.ctx.Err() != nil || ok() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	r.violate("%s: not within %v after all was well", what, settleTime)
}

// settle waits until each host serves what it should and nothing else, and then
// checks for a while that it stays so.
func (r *run) settle(round int) {
	for _, p := range r.hosts {
		r.eventually(fmt.Sprintf("host %d is ready", p.number), func() bool { return r.ready(p) })
		for i, to := range routes {
			r.eventually(fmt.Sprintf("host %d serves %s", p.number, to.service), func() bool {
				return r.serves(p, r.serviceAddress(i), to.service)
			})
		}
		r.eventually(fmt.Sprintf("host %d has the added route: %v", p.number, r.added), func() bool {
			return r.serves(p, r.serviceAddress(len(routes)), addedRoute.service) == r.added
		})
	}
	if r.ctx.Err() != nil || len(r.violations()) > 0 {
		return
	}
	r.eventually("no new flows to targets that drain or are evacuated", r.noOpenings)
	r.o.Tell("round %d: well again", round)
}

// serves reports whether a new flow through a host reaches a target that may get
// it.
func (r *run) serves(p *process, at netip.AddrPort, service string) bool {
	c, err := r.caller()
	if err != nil {
		r.violate("caller: %v", err)
		return false
	}
	defer func() { _ = c.Close() }()
	f, err := c.Open(r.ctx, r.packets(p), at)
	if err != nil {
		return false
	}
	name, err := f.Ask(r.ctx, r.packets(p), time.Second)
	if err != nil {
		return false
	}
	_ = f.Finish(r.packets(p)) // the target forgets it anyway
	t := r.targetNamed(name)
	r.world.mu.Lock()
	defer r.world.mu.Unlock()
	return t != nil && t.service == service && !t.draining && !t.ended && t.dataCentre != r.evacuated
}

// calmTime is how long flows are opened through each host to show which targets get
// any: longer than the time over which hosts average the loads that they report.
const calmTime = 1500 * time.Millisecond

// noOpenings reports whether no target that drains, or whose data centre is
// evacuated, gets any of many new flows.
func (r *run) noOpenings() bool {
	r.world.mu.Lock()
	before := map[*target]int{}
	for _, t := range r.targets {
		if !t.ended && (t.draining || t.dataCentre == r.evacuated) {
			before[t] = t.Openings()
		}
	}
	r.world.mu.Unlock()
	var probes sync.WaitGroup
	for _, p := range r.hosts {
		probes.Go(func() {
			// The pause keeps the probes of many hosts below the slots.
			for begin := time.Now(); time.Since(begin) < calmTime; time.Sleep(calmTime / 50 * time.Duration(1+len(r.hosts)/10)) {
				for i, to := range routes {
					r.serves(p, r.serviceAddress(i), to.service)
				}
			}
		})
	}
	probes.Wait()
	for t, n := range before {
		if t.Openings() > n {
			r.o.Tell("target %s still got new flows", t.Name)
			return false
		}
	}
	return true
}

// call is a caller: it opens flows, asks on each through any host, and checks
// that the same target answers.
func (r *run) call(rng *rand.Rand) {
	for r.ctx.Err() == nil {
		r.flow(rng, rng.IntN(len(routes)), 1+rng.IntN(6), 200*time.Millisecond)
		time.Sleep(time.Duration(rng.Int64N(int64(20 * time.Millisecond))))
	}
}

// flow opens a flow on a route, asks on it with pauses in between, and reports whether all
// requests were answered.
func (r *run) flow(rng *rand.Rand, on, requests int, pause time.Duration) bool {
	c, err := r.caller()
	if err != nil {
		r.violate("caller: %v", err)
		return false
	}
	defer func() { _ = c.Close() }()
	t := trip{source: c.Address(), service: routes[on].service, begun: time.Now()}
	route := func() (netip.AddrPort, bool) {
		host, ok := r.routed(t.source)
		if ok {
			t.via = append(t.via, host.String())
		}
		return host, ok
	}
	f, err := c.OpenVia(r.ctx, route, r.serviceAddress(on))
	if err != nil {
		r.notOpened(t, err)
		return false
	}
	r.count(&r.result.Flows)
	defer func() {
		if host, ok := route(); ok {
			_ = f.Finish(host) // the target forgets the flow anyway
		}
	}()
	first := ""
	for range requests {
		name, err := r.ask(f, route)
		if r.ctx.Err() != nil {
			return false
		}
		switch {
		case errors.Is(err, fakeplatform.ErrRejected):
			r.count(&r.result.Rejected)
			return false
		case errors.Is(err, fakeplatform.ErrReset):
			r.onReset(t.source, first)
			return false
		case err != nil:
			r.count(&r.result.Stalled)
			if !r.excused(t, loaded, harmed) {
				r.violate("request got no answer for %v, without a fault\n%s", maxTries*askTime, r.story(t.source))
			}
			return false
		}
		r.count(&r.result.Requests)
		if tg := r.targetNamed(name); tg == nil || tg.service != t.service {
			r.violate("request for %s was answered by %s", t.service, name)
		}
		if first != "" && name != first {
			r.violate("flow of %s was answered by %s\n%s", first, name, r.story(t.source))
		}
		first = name
		if pause > 0 {
			time.Sleep(time.Duration(rng.Int64N(int64(pause))))
		}
	}
	return true
}

// storyTime is how long before and after the flow's own lines its story tells what
// changed at the hosts.
const storyTime = time.Second

// story tells what the hosts have logged of a flow, and what its ends have seen of it.
func (w *world) story(source netip.AddrPort) string {
	time.Sleep(storyTime / 10) // hosts log asynchronously
	var lines []oplog.Line
	for _, p := range w.hosts {
		p.mu.Lock()
		l, err := oplog.Read(bytes.NewReader(p.log.Bytes()), p.name())
		p.mu.Unlock()
		if err != nil {
			return err.Error()
		}
		lines = append(lines, l...)
	}
	lines = append(lines, w.seenPackets(source)...)
	b := fmt.Sprintf("flow from %s:", source)
	for _, l := range oplog.Explain(lines, source.String(), storyTime) {
		b += "\n  " + l.String()
	}
	return b
}

// sound reports whether a target has lived without harm.
func (r *run) sound(t *target) bool {
	r.world.mu.Lock()
	defer r.world.mu.Unlock()
	return t != nil && !t.ended && !t.doubtful
}

const (
	askTime  = 300 * time.Millisecond
	maxTries = 8
)

// ask sends a request, and again when there is no answer, and acknowledges the answer.
func (r *run) ask(f *fakeplatform.Flow, route func() (netip.AddrPort, bool)) (string, error) {
	err := fakeplatform.ErrNoReply
	for range maxTries {
		host, ok := route()
		if !ok {
			time.Sleep(askTime)
			continue
		}
		var name string
		name, err = f.Ask(r.ctx, host, askTime)
		if errors.Is(err, fakeplatform.ErrNoReply) {
			continue
		}
		if host, ok := route(); ok && err == nil {
			err = f.Acknowledge(host)
		}
		return name, err
	}
	return "", err
}

func (r *run) count(n *int) {
	r.resultMu.Lock()
	defer r.resultMu.Unlock()
	*n++
}

// take carries out one step and returns when it has ended.
func (r *run) take(s Step) {
	p := r.hosts[s.On%len(r.hosts)]
	defer r.begin(r.troubled(s, p)...)()
	switch s.Fault {
	case Kill, SetBack, Stop:
		r.restart(p, s)
	case Pause:
		p.signal(syscall.SIGSTOP)
		r.wait(s.For)
		p.signal(syscall.SIGCONT)
	case Settings:
		if err := r.writeSettings(p, usualDrainMs-s.On%1000); err != nil {
			r.violate("settings: %v", err)
		}
		p.signal(syscall.SIGHUP)
	case StoreBusy, StoreSilent, StoreResets, StoreSlow, StoreLoses, StoreRefuses:
		r.harmStore(s, p)
		r.wait(s.For)
		p.proxy.cut.Store(false)
		r.store.Set(fakeplatform.Faults{})
	case StoreForgets:
		r.store.DropHistory()
	case StoreCut:
		p.proxy.silence()
	case Shortage, Uneven, Fresh:
		r.load(s)
	default:
		r.change(s)
	}
}

func (r *run) harmStore(s Step, p *process) {
	f := fakeplatform.Faults{}
	switch s.Fault {
	case StoreBusy:
		f.Mode = fakeplatform.Unavailable
	case StoreSilent:
		f.Mode = fakeplatform.NoResponse
	case StoreResets:
		f.Mode = fakeplatform.ConnectionReset
	case StoreSlow:
		f.Delay = 200 * time.Millisecond
	case StoreLoses:
		f.DropResponses = true
	default: // the store serves all others
		p.proxy.cut.Store(true)
		p.proxy.silence()
	}
	r.store.Set(f)
}

// stopPatience is how long a process may take to end after SIGTERM, grace included.
const stopPatience = 10 * time.Second

func (r *run) restart(p *process, s Step) {
	signal, clock := os.Signal(syscall.SIGKILL), time.Duration(0)
	switch s.Fault {
	case Stop:
		signal = syscall.SIGTERM
	case SetBack:
		clock = -time.Minute
	}
	p.restarting.Lock()
	defer p.restarting.Unlock()
	p.signal(syscall.SIGCONT) // a process that is paused by another step ends as well
	p.signal(signal)
	p.end(stopPatience)
	select {
	case <-r.ctx.Done():
		return
	case <-time.After(s.For / 4):
	}
	if err := r.start(p, clock); err != nil {
		r.violate("host %d does not start: %v", p.number, err)
	}
}

// change harms a target or changes what operators and targets write.
func (r *run) change(s Step) {
	w := r.world
	w.mu.Lock()
	t := w.targets[s.On%len(w.targets)]
	mine := !t.ended && !t.draining
	t.doubtful = t.doubtful || mine
	w.mu.Unlock()
	switch {
	case s.Fault == Route:
		w.mu.Lock()
		w.added = !w.added
		w.putRoutes()
		w.mu.Unlock()
	case s.Fault == Evacuate:
		w.evacuate(dataCentres[s.On%len(dataCentres)])
		r.wait(s.For)
		if s.On%2 == 0 {
			w.evacuate("")
		}
	case !mine:
	case s.Fault == TargetSilent:
		t.Silent.Store(true)
		r.wait(s.For)
		t.Silent.Store(false)
	case s.Fault == TargetSlow:
		t.Delay.Store(int64(150 * time.Millisecond))
		r.wait(s.For)
		t.Delay.Store(0)
	default:
		r.replace(t, s.Fault == TargetCrashes, 0)
	}
}

// evacuate makes a data centre the only one that is evacuated.
func (w *world) evacuate(dataCentre string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.evacuated != "" {
		w.store.Put(platform.EvacuationKind, w.evacuated, nil)
	}
	w.evacuated = dataCentre
	if dataCentre != "" {
		w.store.Put(platform.EvacuationKind, dataCentre, map[string]any{})
	}
}

// replace starts another target of the service; the old one drains, or crashes
// and its address goes to a target of the other service. The new target announces a warm-up
// of the given length.
func (r *run) replace(t *target, crash bool, warmUp time.Duration) *target {
	w := r.world
	w.mu.Lock()
	defer w.mu.Unlock()
	added, err := w.addTarget(t.service, t.dataCentre, warmUp)
	if err != nil {
		r.violate("target: %v", err)
		return nil
	}
	if !crash {
		t.draining, t.doubtful = true, false
		w.announce(t)
		return added
	}
	at := t.Address()
	t.ended = true
	_ = t.Close() // its socket is free from here on
	w.store.Put(platform.TargetKind, t.Name, nil)
	w.next++
	number := uint64(0x1000 + w.next)
	other, err := fakeplatform.ListenTarget(at, fmt.Sprintf("i-%x", number), number)
	if err != nil {
		r.violate("target: %v", merry.Prepend(err, "address used again"))
		return added
	}
	service := services[(slices.Index(services, t.service)+1)%len(services)]
	w.enter(other, service, t.dataCentre, 0)
	return added
}
