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

// Dispatcher is the state machine that admits, queues, dispatches and retries
// requests. It does no I/O: its methods return effects that the code using the
// Dispatcher must carry out. It is safe for concurrent use. Self, Incarnation and
// Keys must be set before the first call, and Rand if its default is not wanted.
type Dispatcher struct {
	Self        cornelbay.HostName
	Incarnation cornelbay.Incarnation
	// Keys sign and verify tickets.
	Keys ticket.Keys
	// Rand is the seeded source of retry jitter and random tie-breaking; nil means
	// a generator with a fixed seed.
	Rand *rand.Rand

	mu sync.Mutex
	// lastSuspendCall is the time of the last Suspend call, or zero.
	lastSuspendCall time.Time
	suspended       bool

	// effects holds the effects emitted since the last lock.
	effects  []cornelbay.Effect
	services map[cornelbay.ServiceName]*service
	// sortedServices holds the services ordered by name.
	sortedServices []*service
	hosts          rendezvous.Hosts
	stopping       bool
	handover       handover

	attempts    map[AttemptID]*attempt
	lastAttempt AttemptID
	queued      int
	running     int

	// relays holds the jobs relayed to other hosts, by relay ID.
	relays map[uint64]*job
	// lastCall is the ID of the last RPC. A relay has the ID of its RPC.
	lastCall uint64
	// relayedIn holds the jobs relayed to this host.
	relayedIn map[relayKey]*job

	ledger  ticket.Ledger[Response]
	waiters map[uint64][]*job
	archive ticket.Archive[Response]

	timers         queue.Heap[timer]
	nextLoadReport time.Time
	loadReported   bool
	counters       Counters
}

// Counters holds the event counts of a dispatcher since it started.
type Counters struct {
	Requests, Attempts, Retries, Hedges, Relays, Reroutes uint64
	// Late counts the complete responses to attempts or relays that this host had
	// already given up, usually because their request had finished.
	Late uint64
	// Silent counts attempts on which a connection to the target went silent.
	Silent uint64
	// Reasons counts the finished jobs of this host by reason. A relayed request
	// is a job on both hosts. A ticketed one is a job for each arrival, and one
	// more for its execution.
	Reasons [refusal.DeadlineRelayed + 1]uint64
}

// Counters returns a copy of the event counts.
func (d *Dispatcher) Counters() Counters {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.counters
}

// lock acquires the mutex and runs the timers that are due at now. It suspends
// the dispatcher if the last Suspend call is too long ago. unlock releases the
// mutex and returns the effects emitted in between.
func (d *Dispatcher) lock(now time.Time) {
	d.mu.Lock()
	d.init()
	if !d.lastSuspendCall.IsZero() && now.Sub(d.lastSuspendCall) > MaxSuspendGap {
		d.suspended = true
	}
	d.runTimers(now)
}

// MaxSuspendGap is the longest time since the last Suspend call for which
// attempts are started. During a longer pause, other hosts may have put a newer
// configuration or newer target states in force.
const MaxSuspendGap = time.Second

// Suspend sets whether dispatching is suspended, which it is while the host may
// not know the configuration in force; requests are queued meanwhile. When it
// resumes, queued requests are started. Suspend must be called on every tick:
// without a call for MaxSuspendGap, the dispatcher suspends itself.
func (d *Dispatcher) Suspend(now time.Time, suspended bool) []cornelbay.Effect {
	d.mu.Lock()
	d.init()
	resumed := d.suspended && !suspended
	d.lastSuspendCall, d.suspended = now, suspended
	d.runTimers(now)
	if resumed {
		d.dispatchAllQueued(now)
	}
	return d.unlock()
}

func (d *Dispatcher) unlock() []cornelbay.Effect {
	var out []cornelbay.Effect
	if len(d.effects) > 0 {
		out = slices.Clone(d.effects)
		clear(d.effects)
		d.effects = d.effects[:0]
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
	d.relayedIn = make(map[relayKey]*job)
	d.waiters = make(map[uint64][]*job)
	d.hosts.Self = d.Self
	d.ledger = ticket.Ledger[Response]{Host: d.Self, Incarnation: d.Incarnation, Size: Response.size}
}

func (r Response) size() int { return len(r.Body) + responseOverheadBytes }

// responseOverheadBytes is the assumed size of the headers of a stored response.
const responseOverheadBytes = 512

func (d *Dispatcher) emit(e cornelbay.Effect) { d.effects = append(d.effects, e) }

// SetServices replaces the configured services and the set of data centres that
// are taken out of service. Queued requests of removed services are refused.
func (d *Dispatcher) SetServices(now time.Time, services []cornelbay.Service, outDataCentres map[cornelbay.DataCentreName]bool) []cornelbay.Effect {
	d.lock(now)
	old := d.services
	d.services = make(map[cornelbay.ServiceName]*service, len(services))
	for _, conf := range services {
		s, ok := old[conf.Name]
		if !ok {
			s = &service{pool: balance.Pool{Rand: d.Rand}}
		}
		s.Service = conf
		s.pool.SetTargets(conf.Targets, outDataCentres)
		d.services[conf.Name] = s
		d.chooseCoordinator(now, s)
	}
	d.sortedServices = nil
	for _, name := range sortedKeys(d.services) {
		d.sortedServices = append(d.sortedServices, d.services[name])
	}
	for _, name := range sortedKeys(old) {
		if d.services[name] == nil {
			d.refuseQueued(old[name], refusal.NoService)
		}
	}
	d.dispatchAllQueued(now)
	return d.unlock()
}

// SetStates updates the states that the hosts agreed on for the targets.
func (d *Dispatcher) SetStates(now time.Time, states []cornelbay.TargetState) []cornelbay.Effect {
	d.lock(now)
	for _, s := range d.sortedServices {
		for _, st := range states {
			s.pool.SetState(st)
		}
	}
	d.dispatchAllQueued(now)
	return d.unlock()
}

// ReportTargetLoad records the number of running requests that a target reports
// about itself.
func (d *Dispatcher) ReportTargetLoad(now time.Time, t cornelbay.TargetName, n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.sortedServices {
		if t, ok := s.pool.Lookup(t); ok {
			t.SetReportedLoad(now, n)
		}
	}
}

// Tick runs the periodic work and returns the resulting effects.
func (d *Dispatcher) Tick(now time.Time) []cornelbay.Effect {
	d.lock(now)
	if d.hosts.AnyAvoided() {
		d.chooseCoordinators(now)
	}
	for _, s := range d.sortedServices {
		s.pool.Tick(now)
		d.checkOverdue(now, s)
	}
	d.dispatchAllQueued(now)
	d.sendLoadReports(now)
	d.advanceHandover(now)
	return d.unlock()
}

// Submit accepts a caller's request. Exactly one Finish effect follows for it,
// from this or a later call.
func (d *Dispatcher) Submit(now time.Time, r Request) []cornelbay.Effect {
	d.lock(now)
	d.counters.Requests++
	d.admit(now, &job{Request: r})
	return d.unlock()
}

// AttemptEnded handles the result of an attempt.
func (d *Dispatcher) AttemptEnded(now time.Time, res AttemptResult) []cornelbay.Effect {
	d.lock(now)
	d.attemptEnded(now, res)
	return d.unlock()
}

// Receive handles a control message from another host; messages other than
// LoadReport are ignored.
func (d *Dispatcher) Receive(now time.Time, from cornelbay.HostName, m cornelbay.Message) []cornelbay.Effect {
	n, ok := m.(LoadReport)
	if !ok {
		return nil
	}
	d.lock(now)
	d.applyLoadReport(now, from, n)
	return d.unlock()
}

// ServePeer handles an RPC from another host; ok is false if args is not an RPC
// of this package.
func (d *Dispatcher) ServePeer(now time.Time, from cornelbay.HostName, args peer.Args) (reply any, effects []cornelbay.Effect, ok bool) {
	d.lock(now)
	reply, ok = d.serve(now, from, args)
	return reply, d.unlock(), ok
}

// PeerAnswer handles the reply to an RPC sent by this dispatcher.
func (d *Dispatcher) PeerAnswer(now time.Time, a peer.Answer) []cornelbay.Effect {
	d.lock(now)
	d.peerAnswer(now, a)
	return d.unlock()
}

// Stop begins a planned stop: new requests are refused, and the tickets are
// handed over once no request is left.
func (d *Dispatcher) Stop(now time.Time) []cornelbay.Effect {
	d.lock(now)
	d.stopping, d.hosts.Stopping = true, true
	d.ledger.Close()
	d.advanceHandover(now)
	return d.unlock()
}

// Idle reports whether no request is running, queued or relayed and, after Stop,
// whether the handover of the tickets has ended.
func (d *Dispatcher) Idle() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.drained() && (!d.stopping || d.handover.done)
}

func (d *Dispatcher) drained() bool {
	return len(d.attempts) == 0 && d.queued == 0 && len(d.relays) == 0 && len(d.relayedIn) == 0
}
