package request

import (
	"net/http"
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/balance"
	"github.com/cornelbay/cornelbay/peer"
	"github.com/cornelbay/cornelbay/queue"
	"github.com/cornelbay/cornelbay/refusal"
	"github.com/cornelbay/cornelbay/ticket"
)

// The limits of attempts.
const (
	// MaxTries is the most attempts of a request, besides hedges.
	MaxTries = 4
	// MaxRunning is the most attempts of a host at once; bulk services may use
	// bulkShare of it in percent.
	MaxRunning = 4096
	bulkShare  = 75
	// CancelGrace is when an attempt counts as ended that was cancelled or whose
	// deadline has passed.
	CancelGrace = 50 * time.Millisecond
	// MaxJitter bounds the wait before a retry after a failure.
	MaxJitter = 10 * time.Millisecond
	// MinHedgeDelay is the least age of an attempt that is hedged.
	MinHedgeDelay = 20 * time.Millisecond
	// hedgeDeviations is the distance from the usual latency that is hedged.
	hedgeDeviations = 3
	// maxReplaced is the most overdue attempts of a request that are cancelled.
	maxReplaced = 2
)

// job is a request on its way through this host.
type job struct {
	Request
	// from is the host that relayed it, "" for one of a caller; key is its relay.
	from cornelbay.HostName
	key  relayKey
	// ticket is set on the run of a redeemed ticket, which no caller waits for
	// directly: jobs in waiters do.
	ticket *ticket.Ticket

	service *service
	done    bool
	// waiting is its place in the service's queue, or nil.
	waiting *queue.Item[*job]

	tries, running int
	// attempts holds the attempts that were launched, with those that have ended.
	attempts [MaxTries + 1]AttemptID
	launched int
	// first is the first of them, here to spare an allocation.
	first attempt
	// ambiguous is true when a target may have run an attempt that failed, here
	// or at another host.
	ambiguous bool
	avoid     *balance.Target
	hedged    bool
	// replaced counts the overdue attempts that were cancelled for a retry, and
	// paid is true while the budget has paid for it.
	replaced int
	paid     bool

	// run is the run of the ticket that the job waits for.
	run *job

	relay   uint64
	relayTo cornelbay.HostName
	// relayed is true once the job was handed to another host.
	relayed   bool
	relayedAt time.Time
	acked     bool
	moves     int
}

// attempt is an attempt that the shell was asked for and has not ended.
type attempt struct {
	job     *job
	target  *balance.Target
	began   time.Time
	overdue bool
	// again is true when the attempt is cancelled when it is looked at again.
	again bool
}

// admit takes a job that nothing is known of yet.
func (d *Dispatcher) admit(now time.Time, j *job) {
	s, ok := d.services[j.Service]
	j.service = s
	if j.ticketed() {
		d.admitTicketed(now, j, ok)
		return
	}
	switch {
	case !ok:
		d.refuse(now, j, refusal.NoService)
	case len(j.Body) > MaxBodyBytes:
		d.refuse(now, j, refusal.BodyTooLarge)
	case !j.Deadline.After(now):
		d.refuse(now, j, refusal.DeadlineQueued)
	case d.stopping:
		d.refuse(now, j, refusal.Stopping)
	default:
		d.addTimer(timer{at: j.Deadline.UnixNano(), kind: deadlineTimer, job: j})
		d.route(now, j)
	}
}

// route relays a job to the steward of its service or dispatches it here.
func (d *Dispatcher) route(now time.Time, j *job) {
	s := j.service
	if j.from == "" && !s.Bulk && s.steward != d.Self && j.moves < maxMoves {
		if h, ok := d.hosts.Lookup(s.steward); ok {
			d.relay(now, j, h)
			return
		}
	}
	if j.Tickets > 0 {
		d.finish(now, j, d.issue(now, j))
		return
	}
	d.dispatch(now, j)
}

// dispatch starts a job here or queues it.
func (d *Dispatcher) dispatch(now time.Time, j *job) {
	s := j.service
	d.lookOverdue(now, s)
	if s.queue.Len() == 0 && d.mayRun(s) {
		if t := s.pool.Pick(now, j.avoid, 0); t != nil {
			d.start(now, j, t)
			return
		}
	}
	d.enqueue(now, j)
}

func (d *Dispatcher) mayRun(s *service) bool {
	if d.suspended {
		return false
	}
	if s.Bulk {
		return d.running < MaxRunning*bulkShare/100
	}
	return d.running < MaxRunning
}

func (d *Dispatcher) start(now time.Time, j *job, t *balance.Target) {
	if j.ticket != nil && now.After(j.ticket.Expiry()) {
		d.refuse(now, j, refusal.TicketExpired)
		return
	}
	s := j.service
	if j.tries == 0 {
		s.budget.deposit()
	}
	j.tries++
	d.launch(now, j, t)
	s.young = append(s.young, d.last)
}

func (d *Dispatcher) launch(now time.Time, j *job, t *balance.Target) {
	d.last++
	d.counters.Attempts++
	d.running++
	j.running++
	t.Begin(now)
	a := &j.first
	if j.launched > 0 {
		a = new(attempt)
	}
	*a = attempt{job: j, target: t, began: now}
	j.attempts[j.launched] = d.last
	j.launched++
	d.attempts[d.last] = a
	d.emit(Attempt{ID: d.last, Request: j.Request, Target: t.Name, Address: t.HTTP, Deadline: j.Deadline})
}

// lookOverdue handles the attempts of a service that take unusually long.
func (d *Dispatcher) lookOverdue(now time.Time, s *service) {
	since := now.Add(-d.hedgeDelay(s))
	for len(s.young) > 0 {
		id := s.young[0]
		a, ok := d.attempts[id]
		if ok && a.began.After(since) {
			return
		}
		s.young = s.young[1:]
		if ok {
			d.overdue(now, a.job, id)
		}
	}
}

// overdue handles an attempt that takes unusually long: a second one is started
// beside it where there is room, or else, later on, in its place.
func (d *Dispatcher) overdue(now time.Time, j *job, id AttemptID) {
	a, ok := d.attempts[id]
	if !ok || j.done {
		return
	}
	s := j.service
	if !a.overdue {
		a.overdue = true
		a.target.Overdue++
		a.target.Sample(now.Sub(a.began))
		defer d.pump(now, s)
	}
	if !j.Idempotent() || j.hedged || j.replaced == maxReplaced || j.running != 1 || !s.budget.has() {
		return
	}
	if t := s.pool.Pick(now, a.target, 0); t != nil && t != a.target && s.queue.Len() == 0 && !d.suspended {
		s.budget.take()
		j.hedged = true
		d.counters.Hedges++
		d.launch(now, j, t)
		return
	}
	if a.again {
		s.budget.take()
		j.replaced++
		j.paid = true
		d.cancel(now, j, id)
		return
	}
	a.again = true
	d.addTimer(timer{at: now.Add(d.hedgeDelay(s)).UnixNano(), kind: hedgeTimer, job: j, id: uint64(id)})
}

// hedgeDelay is the age at which an attempt takes unusually long.
func (d *Dispatcher) hedgeDelay(s *service) time.Duration {
	return max(MinHedgeDelay, s.pool.Latency()+hedgeDeviations*s.pool.Deviation())
}

func (d *Dispatcher) ended(now time.Time, res AttemptResult) {
	a, ok := d.attempts[res.ID]
	if !ok {
		if res.Complete {
			d.counters.Late++
		}
		return
	}
	delete(d.attempts, res.ID)
	d.running--
	if a.overdue {
		a.target.Overdue--
	}
	j := a.job
	j.running--
	if res.Silent {
		d.counters.Silent++
	}
	d.observe(now, a, res)
	switch {
	case j.done:
		if res.Complete {
			d.counters.Late++
		}
	case res.Complete:
		res.Response.Outcome = cornelbay.Answered
		d.finish(now, j, res.Response)
	default:
		d.failed(now, a, res)
	}
	d.lookOverdue(now, j.service)
	d.pump(now, j.service)
}

// observe tells the pool what an attempt showed of its target.
func (d *Dispatcher) observe(now time.Time, a *attempt, res AttemptResult) {
	r := balance.Failed
	switch {
	case res.Complete:
		r = balance.Served
	case res.Proof == Refused:
		r = balance.Shed
	case a.job.done || res.Silent || a.overdue:
		// A cancelled attempt or a silent connection does not blame the target.
		r = balance.Cancelled
	}
	a.job.service.pool.End(now, a.target, r, now.Sub(a.began), res.RetryAfter)
}

// failed retries a job or ends it.
func (d *Dispatcher) failed(now time.Time, a *attempt, res AttemptResult) {
	j := a.job
	if res.Proof == NoProof {
		j.ambiguous = true
	}
	if j.running > 0 {
		return
	}
	s := j.service
	mayRepeat := j.Idempotent() || !j.ambiguous
	if !mayRepeat || j.tries >= MaxTries || !now.Before(j.Deadline) || (!j.paid && !s.budget.has()) {
		d.refuse(now, j, j.failure(refusal.TargetsRefused, refusal.AttemptFailed))
		return
	}
	if !j.paid {
		s.budget.take()
	}
	j.paid = false
	d.counters.Retries++
	j.avoid = a.target
	if res.Proof == Refused {
		d.enqueueRetry(now, j)
		return
	}
	wait := time.Duration(d.Rand.Int64N(int64(MaxJitter)))
	d.addTimer(timer{at: now.Add(wait).UnixNano(), kind: retryTimer, job: j})
}

// failure returns the reason that is true of a job that ends unanswered now.
func (j *job) failure(proved, notProved refusal.Reason) refusal.Reason {
	switch {
	case j.running > 0:
		return refusal.DeadlineRunning
	case j.ambiguous:
		return notProved
	}
	return proved
}

// deadline ends a job whose deadline has passed.
func (d *Dispatcher) deadline(now time.Time, j *job) {
	switch {
	case j.done:
	case j.ticket != nil && j.running > 0:
		// The attempt ends by the same deadline and tells what became of it.
		for _, id := range j.attempts[:j.launched] {
			d.addTimer(timer{at: now.Add(CancelGrace).UnixNano(), kind: endTimer, job: j, id: uint64(id)})
		}
	case j.relay != 0 && j.ticketed():
		d.refuse(now, j, refusal.IssuerSilent)
	case j.relay != 0:
		d.withdraw(j)
		d.refuse(now, j, refusal.DeadlineRelayed)
	case j.run != nil:
		// What waited until the same deadline and never started has its proof.
		if !j.run.done && !now.Before(j.run.Deadline) {
			d.deadline(now, j.run)
		}
		if !j.done {
			d.refuse(now, j, refusal.DeadlineRunning)
		}
	default:
		d.refuse(now, j, j.failure(refusal.DeadlineQueued, refusal.AttemptFailed))
	}
}

func (d *Dispatcher) refuse(now time.Time, j *job, r refusal.Reason) {
	res := refusalResponse(r)
	if res.Outcome == cornelbay.NotRun && j.service != nil && res.Status == http.StatusServiceUnavailable {
		res.RetryAfter = d.retryAfter(now, j.service)
	}
	d.finish(now, j, res)
}

// finish gives a job its one final response.
func (d *Dispatcher) finish(now time.Time, j *job, res Response) {
	if j.done {
		return
	}
	if res.Outcome == cornelbay.NotRun && (j.ambiguous || j.running > 0) {
		res = refusalResponse(j.failure(refusal.AttemptFailed, refusal.AttemptFailed))
	}
	j.done = true
	d.counters.Reasons[res.Reason]++
	d.leaveQueue(j)
	d.endRelay(j)
	if j.running > 0 {
		d.cancelAttempts(now, j)
	}
	// Timers may hold the job for a while yet.
	j.Header, j.Body = nil, nil
	switch {
	case j.ticket != nil:
		d.settle(now, j, res)
	case j.from == "":
		d.emit(Finish{Request: j.ID, Response: res})
	default:
		d.answerRelay(j, res)
	}
}

func (d *Dispatcher) cancelAttempts(now time.Time, j *job) {
	for _, id := range j.attempts[:j.launched] {
		if _, ok := d.attempts[id]; ok {
			d.cancel(now, j, id)
		}
	}
}

// cancel asks for the end of an attempt, which counts as ended a little later
// even when nothing more is heard of it.
func (d *Dispatcher) cancel(now time.Time, j *job, id AttemptID) {
	d.emit(Cancel{ID: id})
	d.addTimer(timer{at: now.Add(CancelGrace).UnixNano(), kind: endTimer, job: j, id: uint64(id)})
}

// callPeer asks another host.
func (d *Dispatcher) callPeer(to cornelbay.HostName, args peer.Args) uint64 {
	d.lastRelay++
	h, _ := d.hosts.Lookup(to)
	d.emit(peer.Call{ID: d.lastRelay, To: to, Address: h.RPC, Args: args})
	return d.lastRelay
}
