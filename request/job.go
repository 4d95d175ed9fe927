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

// Limits of attempts.
const (
	// MaxTries is the maximum number of attempts per request, not counting hedges.
	MaxTries = 4
	// MaxRunning is the maximum number of concurrent attempts of a host.
	MaxRunning = 4096
	// bulkPercent is the percentage of MaxRunning that the total must be below for
	// a new attempt of a bulk service.
	bulkPercent = 75
	// CancelGrace is the time after which an attempt counts as ended if no result
	// follows its cancellation or deadline.
	CancelGrace = 50 * time.Millisecond
	// MaxJitter bounds the random delay of a retry after a failed attempt.
	MaxJitter = 10 * time.Millisecond
	// MinHedgeDelay is the minimum age at which an attempt is hedged.
	MinHedgeDelay = 20 * time.Millisecond
	// hedgeDeviations is the number of deviations above the smoothed latency after
	// which an attempt is hedged.
	hedgeDeviations = 3
	// maxReplaced is the maximum number of overdue attempts of a request that are
	// cancelled in favour of a retry.
	maxReplaced = 2
)

// job is the state of a request on this host.
type job struct {
	Request
	// from is the host that relayed the request, or "" if it came from a caller;
	// key identifies the relay.
	from cornelbay.HostName
	key  relayKey
	// ticket is set on an execution job, which executes the request of a redeemed
	// ticket. It has no caller of its own; the jobs in Dispatcher.waiters receive
	// its response.
	ticket *ticket.Ticket

	service *service
	done    bool
	// queueItem is the job's entry in the queue of its service, or nil.
	queueItem *queue.Item[*job]

	// tries counts the attempts except hedges; running counts those in flight.
	tries, running int
	// attempts holds the IDs of the launched attempts, including ended ones: at
	// most MaxTries and one hedge.
	attempts [MaxTries + 1]AttemptID
	launched int
	// first stores the first attempt inline to save an allocation.
	first attempt
	// ambiguous is true if a target may have executed a failed attempt, started
	// here or by another host.
	ambiguous bool
	// avoid is the target of the last failed attempt, or nil.
	avoid  *balance.Target
	hedged bool
	// replaced counts the overdue attempts cancelled in favour of a retry.
	// retryPaid is true while such a retry is pending whose token was already
	// taken from the retry budget.
	replaced  int
	retryPaid bool

	// execution is the execution job of the ticket that this job waits for.
	execution *job

	// relayID is the ID of the relay in progress to the host relayTo, or 0.
	relayID uint64
	relayTo cornelbay.HostName
	// relayed is true once the job has been sent to another host.
	relayed   bool
	relayedAt time.Time
	// acked is true once relayTo has accepted the relay in progress.
	acked bool
	// reroutes counts the reroutes of an idempotent job; see maxReroutes.
	reroutes int
}

// attempt is an attempt in flight.
type attempt struct {
	job       *job
	target    *balance.Target
	startedAt time.Time
	overdue   bool
	// cancelNext is true if the attempt is to be cancelled and retried the next
	// time it is checked.
	cancelNext bool
}

// admit validates a new job and routes it, or refuses it.
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

// route relays a job to the coordinator of its service or dispatches it here.
func (d *Dispatcher) route(now time.Time, j *job) {
	s := j.service
	if j.from == "" && !s.Bulk && s.coordinator != d.Self && j.reroutes < maxReroutes {
		if h, ok := d.hosts.Lookup(s.coordinator); ok {
			d.relay(now, j, h)
			return
		}
	}
	if j.Tickets > 0 {
		d.finish(now, j, d.issueTickets(now, j))
		return
	}
	d.dispatch(now, j)
}

// dispatch starts a job on a target with room, or queues it.
func (d *Dispatcher) dispatch(now time.Time, j *job) {
	s := j.service
	d.checkOverdue(now, s)
	if s.queue.Len() == 0 && d.canStart(s) {
		if t := s.pool.Pick(now, j.avoid, 0); t != nil {
			d.start(now, j, t)
			return
		}
	}
	d.enqueue(now, j)
}

func (d *Dispatcher) canStart(s *service) bool {
	if d.suspended {
		return false
	}
	if s.Bulk {
		return d.running < MaxRunning*bulkPercent/100
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
	s.notOverdue = append(s.notOverdue, d.lastAttempt)
}

func (d *Dispatcher) launch(now time.Time, j *job, t *balance.Target) {
	d.lastAttempt++
	d.counters.Attempts++
	d.running++
	j.running++
	t.Begin(now)
	a := &j.first
	if j.launched > 0 {
		a = new(attempt)
	}
	*a = attempt{job: j, target: t, startedAt: now}
	j.attempts[j.launched] = d.lastAttempt
	j.launched++
	d.attempts[d.lastAttempt] = a
	d.emit(Attempt{ID: d.lastAttempt, Request: j.Request, Target: t.Name, Address: t.HTTP, Deadline: j.Deadline})
}

// checkOverdue handles the attempts of a service that have become overdue, which
// means older than hedgeDelay.
func (d *Dispatcher) checkOverdue(now time.Time, s *service) {
	since := now.Add(-d.hedgeDelay(s))
	for len(s.notOverdue) > 0 {
		id := s.notOverdue[0]
		a, ok := d.attempts[id]
		if ok && a.startedAt.After(since) {
			return
		}
		s.notOverdue = s.notOverdue[1:]
		if ok {
			d.handleOverdue(now, a.job, id)
		}
	}
}

// handleOverdue hedges an overdue attempt of an idempotent request on another
// target if one has room. If none has, the attempt is checked once more after
// another hedgeDelay and then cancelled and retried.
func (d *Dispatcher) handleOverdue(now time.Time, j *job, id AttemptID) {
	a, ok := d.attempts[id]
	if !ok || j.done {
		return
	}
	s := j.service
	if !a.overdue {
		a.overdue = true
		a.target.Overdue++
		a.target.Sample(now.Sub(a.startedAt))
		defer d.dispatchQueued(now, s)
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
	if a.cancelNext {
		s.budget.take()
		j.replaced++
		j.retryPaid = true
		d.cancel(now, j, id)
		return
	}
	a.cancelNext = true
	d.addTimer(timer{at: now.Add(d.hedgeDelay(s)).UnixNano(), kind: hedgeTimer, job: j, id: uint64(id)})
}

// hedgeDelay returns the age from which an attempt counts as overdue.
func (d *Dispatcher) hedgeDelay(s *service) time.Duration {
	return max(MinHedgeDelay, s.pool.Latency()+hedgeDeviations*s.pool.Deviation())
}

func (d *Dispatcher) attemptEnded(now time.Time, res AttemptResult) {
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
		d.retryOrRefuse(now, a, res)
	}
	d.checkOverdue(now, j.service)
	d.dispatchQueued(now, j.service)
}

// observe reports the result of an attempt to the target pool.
func (d *Dispatcher) observe(now time.Time, a *attempt, res AttemptResult) {
	r := balance.Failed
	switch {
	case res.Complete:
		r = balance.Served
	case res.Proof == Refused:
		r = balance.Shed
	case a.job.done || res.Silent || a.overdue:
		// A cancelled attempt or a silent connection does not count as a failure
		// of the target. Nor does an overdue attempt, whose latency handleOverdue
		// has sampled already.
		r = balance.Cancelled
	}
	a.job.service.pool.End(now, a.target, r, now.Sub(a.startedAt), res.RetryAfter)
}

// retryOrRefuse retries a job after a failed attempt, or refuses it.
func (d *Dispatcher) retryOrRefuse(now time.Time, a *attempt, res AttemptResult) {
	j := a.job
	if res.Proof == NoProof {
		j.ambiguous = true
	}
	if j.running > 0 {
		return
	}
	s := j.service
	mayRepeat := j.Idempotent() || !j.ambiguous
	if !mayRepeat || j.tries >= MaxTries || !now.Before(j.Deadline) || (!j.retryPaid && !s.budget.has()) {
		d.refuse(now, j, j.failureReason(refusal.TargetsRefused, refusal.AttemptFailed))
		return
	}
	if !j.retryPaid {
		s.budget.take()
	}
	j.retryPaid = false
	d.counters.Retries++
	j.avoid = a.target
	if res.Proof == Refused {
		d.enqueueRetry(now, j)
		return
	}
	wait := time.Duration(d.Rand.Int64N(int64(MaxJitter)))
	d.addTimer(timer{at: now.Add(wait).UnixNano(), kind: retryTimer, job: j})
}

// failureReason returns the reason for a job that ends now without a response
// from a target: DeadlineRunning if an attempt is still running, otherwise
// unknown if a target may have executed a failed attempt, or else notRun.
func (j *job) failureReason(notRun, unknown refusal.Reason) refusal.Reason {
	switch {
	case j.running > 0:
		return refusal.DeadlineRunning
	case j.ambiguous:
		return unknown
	}
	return notRun
}

// expire ends a job whose deadline has passed.
func (d *Dispatcher) expire(now time.Time, j *job) {
	switch {
	case j.done:
	case j.ticket != nil && j.running > 0:
		// The attempt has the same deadline: its result, or a timer after
		// CancelGrace, decides the outcome.
		for _, id := range j.attempts[:j.launched] {
			d.addTimer(timer{at: now.Add(CancelGrace).UnixNano(), kind: endTimer, job: j, id: uint64(id)})
		}
	case j.relayID != 0 && j.ticketed():
		d.refuse(now, j, refusal.IssuerSilent)
	case j.relayID != 0:
		d.withdraw(j)
		d.refuse(now, j, refusal.DeadlineRelayed)
	case j.execution != nil:
		// The execution job has the same deadline. If it never started, it is
		// refused with a proof that nothing ran.
		if !j.execution.done && !now.Before(j.execution.Deadline) {
			d.expire(now, j.execution)
		}
		if !j.done {
			d.refuse(now, j, refusal.DeadlineRunning)
		}
	default:
		d.refuse(now, j, j.failureReason(refusal.DeadlineQueued, refusal.AttemptFailed))
	}
}

func (d *Dispatcher) refuse(now time.Time, j *job, r refusal.Reason) {
	res := refusalResponse(r)
	if res.Outcome == cornelbay.NotRun && j.service != nil && res.Status == http.StatusServiceUnavailable {
		res.RetryAfter = d.retryAfter(now, j.service)
	}
	d.finish(now, j, res)
}

// finish completes a job with its final response; later calls have no effect.
func (d *Dispatcher) finish(now time.Time, j *job, res Response) {
	if j.done {
		return
	}
	if res.Outcome == cornelbay.NotRun && (j.ambiguous || j.running > 0) {
		res = refusalResponse(j.failureReason(refusal.AttemptFailed, refusal.AttemptFailed))
	}
	j.done = true
	d.counters.Reasons[res.Reason]++
	d.leaveQueue(j)
	d.endRelay(j)
	if j.running > 0 {
		d.cancelAttempts(now, j)
	}
	// Pending timers still reference the job: release its largest fields.
	j.Header, j.Body = nil, nil
	switch {
	case j.ticket != nil:
		d.settleExecution(now, j, res)
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

// cancel cancels an attempt. If no result follows within CancelGrace, the attempt
// counts as ended.
func (d *Dispatcher) cancel(now time.Time, j *job, id AttemptID) {
	d.emit(Cancel{ID: id})
	d.addTimer(timer{at: now.Add(CancelGrace).UnixNano(), kind: endTimer, job: j, id: uint64(id)})
}

// callPeer emits an RPC to another host and returns the ID of the call.
func (d *Dispatcher) callPeer(to cornelbay.HostName, args peer.Args) uint64 {
	d.lastCall++
	h, _ := d.hosts.Lookup(to)
	d.emit(peer.Call{ID: d.lastCall, To: to, Address: h.RPC, Args: args})
	return d.lastCall
}
