package request

import (
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/peer"
	"github.com/cornelbay/cornelbay/refusal"
)

// RelayMargin is the part of a relayed request's remaining time that is reserved
// for the return of the response, if more than twice as much is left.
const RelayMargin = 5 * time.Millisecond

// maxReroutes is the number of reroutes after which a request is no longer
// relayed to a coordinator but dispatched here.
const maxReroutes = 2

// RelayArgs relays a request to another host: the coordinator of its service or
// the issuer of its ticket. The response arrives in RelayReply or later in a
// separate call with ResultArgs.
type RelayArgs struct {
	ID          uint64
	Incarnation cornelbay.Incarnation
	// Request has no deadline, since the hosts' clocks may differ. Wait is the
	// remaining time instead.
	Request Request
	Wait    time.Duration
}

// Method returns the RPC method name.
func (RelayArgs) Method() string { return "request.relay" }

// RelayReply tells whether the host accepted a relayed request.
type RelayReply struct {
	// Taken is true if the host accepted the request; otherwise it runs nothing.
	Taken bool
	// Ended is true if Response already holds the final response.
	Ended    bool
	Response Response
}

// ResultArgs returns the final response of a relayed request.
type ResultArgs struct {
	ID          uint64
	Incarnation cornelbay.Incarnation
	Response    Response
}

// Method returns the RPC method name.
func (ResultArgs) Method() string { return "request.result" }

// ResultReply acknowledges ResultArgs.
type ResultReply struct{}

// WithdrawArgs cancels a relayed idempotent request that nobody waits for.
type WithdrawArgs struct {
	ID          uint64
	Incarnation cornelbay.Incarnation
}

// Method returns the RPC method name.
func (WithdrawArgs) Method() string { return "request.withdraw" }

// WithdrawReply acknowledges WithdrawArgs.
type WithdrawReply struct{}

// relayKey identifies a relayed request on the host that serves it.
type relayKey struct {
	from        cornelbay.HostName
	incarnation cornelbay.Incarnation
	id          uint64
}

// relay sends a job to another host.
func (d *Dispatcher) relay(now time.Time, j *job, h cornelbay.Host) {
	d.counters.Relays++
	r := j.Request
	r.Deadline = time.Time{}
	wait := j.Deadline.Sub(now)
	if wait > 2*RelayMargin {
		wait -= RelayMargin
	}
	id := d.lastCall + 1
	j.relayID, j.relayTo, j.relayed, j.acked = id, h.Name, true, false
	d.relays[id] = j
	d.callPeer(h.Name, RelayArgs{ID: id, Incarnation: d.Incarnation, Request: r, Wait: wait})
	j.relayedAt = now
	d.addTimer(timer{at: now.Add(d.hosts.AckTimeout()).UnixNano(), kind: ackTimer, job: j, id: id})
}

// relayAcked records how long a host took to acknowledge a relayed job. A host
// that was avoided may be chosen as coordinator again.
func (d *Dispatcher) relayAcked(now time.Time, j *job) {
	if d.hosts.RecordAck(j.relayTo, now.Sub(j.relayedAt)) {
		d.chooseCoordinators(now)
	}
}

// endRelay forgets the relay of a job; a response that still arrives is late.
func (d *Dispatcher) endRelay(j *job) {
	if j.relayID == 0 {
		return
	}
	delete(d.relays, j.relayID)
	j.relayID = 0
}

// withdraw cancels the relay of an idempotent job on the host that serves it.
func (d *Dispatcher) withdraw(j *job) {
	if j.relayID == 0 {
		return
	}
	d.callPeer(j.relayTo, WithdrawArgs{ID: j.relayID, Incarnation: d.Incarnation})
	d.endRelay(j)
}

// ackTimedOut handles a relay that was not acknowledged in time.
func (d *Dispatcher) ackTimedOut(now time.Time, j *job, relay uint64) {
	if j.relayID != relay || j.acked {
		return
	}
	d.relayFailed(now, j)
}

// relayFailed avoids the host of a failed relay. It reroutes all idempotent jobs
// relayed to that host, to another coordinator or to targets of this host. A
// ticketed job it routes to the issuer again, the only host that may run it.
func (d *Dispatcher) relayFailed(now time.Time, j *job) {
	d.avoidHost(now, j.relayTo)
	if j.ticketed() {
		d.rerouteTicketed(now, j)
	}
}

// avoidHost excludes an unresponsive host as coordinator for a while and reroutes
// the idempotent jobs relayed to it.
func (d *Dispatcher) avoidHost(now time.Time, name cornelbay.HostName) {
	d.hosts.Avoid(now, name, true)
	d.chooseCoordinators(now)
	d.rerouteRelays(now, name)
}

// rerouteRelays reroutes the idempotent jobs that were relayed to a host.
func (d *Dispatcher) rerouteRelays(now time.Time, name cornelbay.HostName) {
	for _, id := range sortedKeys(d.relays) {
		j := d.relays[id]
		if j == nil || j.relayTo != name || j.ticketed() {
			continue
		}
		d.withdraw(j)
		j.ambiguous = true
		j.reroutes++
		d.counters.Reroutes++
		d.route(now, j)
	}
}

// serve handles an RPC from another host.
func (d *Dispatcher) serve(now time.Time, from cornelbay.HostName, args peer.Args) (any, bool) {
	switch a := args.(type) {
	case RelayArgs:
		return d.serveRelay(now, from, a), true
	case ResultArgs:
		d.serveResult(now, a)
		return ResultReply{}, true
	case WithdrawArgs:
		d.serveWithdraw(now, relayKey{from, a.Incarnation, a.ID})
		return WithdrawReply{}, true
	case HandOverArgs:
		d.acceptHandover(now, a.Handover)
		return HandOverReply{}, true
	}
	return nil, false
}

func (d *Dispatcher) serveRelay(now time.Time, from cornelbay.HostName, a RelayArgs) RelayReply {
	key := relayKey{from, a.Incarnation, a.ID}
	if _, ok := d.relayedIn[key]; ok {
		return RelayReply{Taken: true}
	}
	j := &job{Request: a.Request, from: from, key: key}
	j.Deadline = now.Add(a.Wait)
	if d.stopping && !j.ticketed() {
		return RelayReply{}
	}
	d.relayedIn[key] = j
	before := len(d.effects)
	d.admit(now, j)
	if !j.done {
		return RelayReply{Taken: true}
	}
	return RelayReply{Taken: true, Ended: true, Response: d.extractResult(before, key)}
}

// extractResult removes the ResultArgs call of a job that ended at once from the
// effects emitted since index from, and returns its response.
func (d *Dispatcher) extractResult(from int, key relayKey) Response {
	for i := from; i < len(d.effects); i++ {
		c, ok := d.effects[i].(peer.Call)
		if !ok {
			continue
		}
		if r, ok := c.Args.(ResultArgs); ok && c.To == key.from && r.ID == key.id {
			d.effects = append(d.effects[:i], d.effects[i+1:]...)
			return r.Response
		}
	}
	return refusalResponse(refusal.AttemptFailed)
}

func (d *Dispatcher) answerRelay(j *job, res Response) {
	delete(d.relayedIn, j.key)
	d.callPeer(j.from, ResultArgs{ID: j.key.id, Incarnation: j.key.incarnation, Response: res})
}

func (d *Dispatcher) serveResult(now time.Time, a ResultArgs) {
	j, ok := d.relays[a.ID]
	if !ok || a.Incarnation != d.Incarnation {
		if a.Response.Outcome == cornelbay.Answered {
			d.counters.Late++
		}
		return
	}
	d.finish(now, j, a.Response)
}

func (d *Dispatcher) serveWithdraw(now time.Time, key relayKey) {
	j, ok := d.relayedIn[key]
	if !ok || j.ticketed() {
		return
	}
	d.finish(now, j, refusalResponse(j.failureReason(refusal.DeadlineQueued, refusal.AttemptFailed)))
}

// peerAnswer handles the reply of another host to an RPC.
func (d *Dispatcher) peerAnswer(now time.Time, a peer.Answer) {
	switch args := a.Call.Args.(type) {
	case RelayArgs:
		d.relayAnswered(now, args, a)
	case ResultArgs:
		d.resultAnswered(a, args)
	case HandOverArgs:
		d.handover.recordReply(a.Call.To, args, a.Err)
	}
}

func (d *Dispatcher) relayAnswered(now time.Time, args RelayArgs, a peer.Answer) {
	j, ok := d.relays[args.ID]
	if !ok {
		return
	}
	reply, ok := a.Reply.(RelayReply)
	switch {
	case a.Err != nil || !ok:
		if !j.ticketed() {
			d.relayFailed(now, j)
		}
		// A ticketed job is relayed again when its ackTimer fires.
	case reply.Ended:
		d.relayAcked(now, j)
		d.finish(now, j, reply.Response)
	case reply.Taken:
		j.acked = true
		d.relayAcked(now, j)
	default:
		d.relayDeclined(now, j)
	}
}

// relayDeclined reroutes a job that a stopping host did not accept. That host
// still finishes the jobs it accepted earlier.
func (d *Dispatcher) relayDeclined(now time.Time, j *job) {
	d.hosts.Avoid(now, j.relayTo, false)
	d.chooseCoordinators(now)
	d.endRelay(j)
	j.reroutes++
	d.counters.Reroutes++
	d.route(now, j)
}

// resultAnswered resends a result after a failed call, once for each, as long as
// the receiving host is alive and so may still wait for it.
func (d *Dispatcher) resultAnswered(a peer.Answer, args ResultArgs) {
	if _, live := d.hosts.Lookup(a.Call.To); a.Err != nil && live {
		d.callPeer(a.Call.To, args)
	}
}
