package request

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/balance"
	"github.com/cornelbay/cornelbay/peer"
	"github.com/cornelbay/cornelbay/queue"
	"github.com/cornelbay/cornelbay/refusal"
	"github.com/cornelbay/cornelbay/rendezvous"
	"github.com/cornelbay/cornelbay/ticket"
)

// Dispatcher takes the decisions on requests; it may be used by many goroutines.
// Self, Incarnation, Keys and Rand are set before its first use.
type Dispatcher struct {
	Self        cornelbay.HostName
	Incarnation cornelbay.Incarnation
	// Keys authenticate tickets.
	Keys ticket.Keys
	// Rand is the seeded source of jitter and ties; nil stands for a fixed seed.
	Rand *rand.Rand

	mu sync.Mutex
	// ticked is the time of the last Suspend; zero before the first.
	ticked    time.Time
	suspended bool

	out      []cornelbay.Effect
	services map[cornelbay.ServiceName]*service
	// sorted holds the services by name.
	sorted   []*service
	hosts    rendezvous.Hosts
	stopping bool
	handover handover

	attempts map[AttemptID]*attempt
	last     AttemptID
	queued   int
	running  int

	relays    map[uint64]*job
	lastRelay uint64
	serving   map[relayKey]*job

	ledger  ticket.Ledger[Response]
	waiters map[uint64][]*job
	archive ticket.Archive[Response]

	timers   queue.Heap[timer]
	nextNews time.Time
	told     bool
	counters Counters
}

// Counters count what a dispatcher did since it started.
type Counters struct {
	Requests, Attempts, Retries, Hedges, Relays, Moves uint64
	// Late counts whole answers that came when their request had ended.
	Late uint64
	// Silent counts connections to targets that went silent.
	Silent uint64
	// Reasons counts the requests that ended with each reason.
	Reasons [refusal.DeadlineRelayed + 1]uint64
}

// Counters returns what the dispatcher did so far.
func (d *Dispatcher) Counters() Counters {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.counters
}

// lock prepares for a decision at now; unlock returns its effects.
func (d *Dispatcher) lock(now time.Time) {
	d.mu.Lock()
	d.init()
	if !d.ticked.IsZero() && now.Sub(d.ticked) > PauseLimit {
		d.suspended = true
	}
	d.runTimers(now)
}

// PauseLimit is the time without a Suspend from which nothing is started: what
// is known of the targets may have been replaced meanwhile.
const PauseLimit = time.Second

// Suspend tells whether the host knows what is in force; while it does not,
// requests wait. It is called at each tick: without it the dispatcher suspends
// itself after PauseLimit.
func (d *Dispatcher) Suspend(now time.Time, suspended bool) []cornelbay.Effect {
	d.mu.Lock()
	d.init()
	resumed := d.suspended && !suspended
	d.ticked, d.suspended = now, suspended
	d.runTimers(now)
	if resumed {
		d.pumpAll(now)
	}
	return d.unlock()
}

func (d *Dispatcher) unlock() []cornelbay.Effect {
	var out []cornelbay.Effect
	if len(d.out) > 0 {
		out = slices.Clone(d.out)
		clear(d.out)
		d.out = d.out[:0]
	}
	d.mu.Unlock()
	return out
}

func (d *Dispatcher) init() {
	if d.attempts != nil {
		return
	}
	if d.Rand == nil {
		d.Rand = rand.New(rand.NewPCG(1, 1))
	}
	d.attempts = make(map[AttemptID]*attempt)
	d.relays = make(map[uint64]*job)
	d.serving = make(map[relayKey]*job)
	d.waiters = make(map[uint64][]*job)
	d.hosts.Self = d.Self
	d.ledger = ticket.Ledger[Response]{Host: d.Self, Incarnation: d.Incarnation, Size: Response.size}
}

func (r Response) size() int { return len(r.Body) + responseOverheadBytes }

// responseOverheadBytes stands for the headers of a remembered answer.
const responseOverheadBytes = 512

func (d *Dispatcher) emit(e cornelbay.Effect) { d.out = append(d.out, e) }

// SetServices takes the services in force and the data centres that are out.
func (d *Dispatcher) SetServices(now time.Time, services []cornelbay.Service, out map[cornelbay.DataCentreName]bool) []cornelbay.Effect {
	d.lock(now)
	old := d.services
	d.services = make(map[cornelbay.ServiceName]*service, len(services))
	for _, conf := range services {
		s, ok := old[conf.Name]
		if !ok {
			s = &service{pool: balance.Pool{Rand: d.Rand}}
		}
		s.Service = conf
		s.pool.SetTargets(conf.Targets, out)
		d.services[conf.Name] = s
		d.chooseSteward(now, s)
	}
	d.sorted = nil
	for _, name := range sortedKeys(d.services) {
		d.sorted = append(d.sorted, d.services[name])
	}
	for _, name := range sortedKeys(old) {
		if d.services[name] == nil {
			d.endQueue(old[name], refusal.NoService)
		}
	}
	d.pumpAll(now)
	return d.unlock()
}

// SetStates takes the agreed states of the targets.
func (d *Dispatcher) SetStates(now time.Time, states []cornelbay.TargetState) []cornelbay.Effect {
	d.lock(now)
	for _, s := range d.sorted {
		for _, st := range states {
			s.pool.SetState(st)
		}
	}
	d.pumpAll(now)
	return d.unlock()
}

// Report takes a target's own word of its running requests.
func (d *Dispatcher) Report(now time.Time, t cornelbay.TargetName, n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.sorted {
		if t, ok := s.pool.Lookup(t); ok {
			t.Report(now, n)
		}
	}
}

// Tick returns the effects that are due at now.
func (d *Dispatcher) Tick(now time.Time) []cornelbay.Effect {
	d.lock(now)
	if d.hosts.AnyAvoided() {
		d.chooseStewards(now)
	}
	for _, s := range d.sorted {
		s.pool.Tick(now)
		d.lookOverdue(now, s)
	}
	d.pumpAll(now)
	d.tickNews(now)
	d.tickHandover(now)
	return d.unlock()
}

// Submit takes a caller's request; exactly one Finish follows for it.
func (d *Dispatcher) Submit(now time.Time, r Request) []cornelbay.Effect {
	d.lock(now)
	d.counters.Requests++
	d.admit(now, &job{Request: r})
	return d.unlock()
}

// Ended takes the result of an attempt.
func (d *Dispatcher) Ended(now time.Time, res AttemptResult) []cornelbay.Effect {
	d.lock(now)
	d.ended(now, res)
	return d.unlock()
}

// Receive takes a control message of the request path from another host.
func (d *Dispatcher) Receive(now time.Time, from cornelbay.HostName, m cornelbay.Message) []cornelbay.Effect {
	n, ok := m.(LoadNews)
	if !ok {
		return nil
	}
	d.lock(now)
	d.hear(now, from, n)
	return d.unlock()
}

// ServePeer answers another host's call; ok is false when args are of no type
// of this package.
func (d *Dispatcher) ServePeer(now time.Time, from cornelbay.HostName, args peer.Args) (reply any, effects []cornelbay.Effect, ok bool) {
	d.lock(now)
	reply, ok = d.serve(now, from, args)
	return reply, d.unlock(), ok
}

// PeerAnswer takes another host's answer to a call of this package.
func (d *Dispatcher) PeerAnswer(now time.Time, a peer.Answer) []cornelbay.Effect {
	d.lock(now)
	d.peerAnswer(now, a)
	return d.unlock()
}

// Stop starts the planned stop: no new request is taken.
func (d *Dispatcher) Stop(now time.Time) []cornelbay.Effect {
	d.lock(now)
	d.stopping, d.hosts.Stopping = true, true
	d.ledger.Close()
	d.tickHandover(now)
	return d.unlock()
}

// Idle reports whether nothing runs and nothing waits and, after Stop, whether
// the tickets were handed over.
func (d *Dispatcher) Idle() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.quiet() && (!d.stopping || d.handover.done)
}

func (d *Dispatcher) quiet() bool {
	return len(d.attempts) == 0 && d.queued == 0 && len(d.relays) == 0 && len(d.serving) == 0
}
