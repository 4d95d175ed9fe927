package request

import (
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/peer"
	"github.com/cornelbay/cornelbay/refusal"
)

// RelayMargin is kept of a deadline for the way back.
const RelayMargin = 5 * time.Millisecond

// maxMoves is the most hosts that a request is relayed to.
const maxMoves = 2

// RelayArgs hands a request to another host: the steward of its service, or
// the issuer of its ticket. The answer follows as ResultArgs.
type RelayArgs struct {
	ID          uint64
	Incarnation cornelbay.Incarnation
	// Request has no deadline: clocks differ; Wait is what is left of it.
	Request Request
	Wait    time.Duration
}

// Method returns the name of the net/rpc method.
func (RelayArgs) Method() string { return "request.relay" }

// RelayReply tells whether a relayed request was taken.
type RelayReply struct {
	// Taken is false when the host runs nothing of it.
	Taken bool
	// Ended is true when Response is final already.
	Ended    bool
	Response Response
}

// ResultArgs brings the final response of a relayed request back.
type ResultArgs struct {
	ID          uint64
	Incarnation cornelbay.Incarnation
	Response    Response
}

// Method returns the name of the net/rpc method.
func (ResultArgs) Method() string { return "request.result" }

// ResultReply acknowledges ResultArgs.
type ResultReply struct{}

// WithdrawArgs tells that nobody waits for a relayed idempotent request any more.
type WithdrawArgs struct {
	ID          uint64
	Incarnation cornelbay.Incarnation
}

// Method returns the name of the net/rpc method.
func (WithdrawArgs) Method() string { return "request.withdraw" }

// WithdrawReply acknowledges WithdrawArgs.
type WithdrawReply struct{}

// relayKey names a relay at the host that serves it.
type relayKey struct {
	from        cornelbay.HostName
	incarnation cornelbay.Incarnation
	id          uint64
}

// relay hands a job to another host.
func (d *Dispatcher) relay(now time.Time, j *job, h cornelbay.Host) {
	d.counters.Relays++
	r := j.Request
	r.Deadline = time.Time{}
	wait := j.Deadline.Sub(now)
	if wait > 2*RelayMargin {
		wait -= RelayMargin
	}
	id := d.lastRelay + 1
	j.relay, j.relayTo, j.relayed, j.acked = id, h.Name, true, false
	d.relays[id] = j
	d.callPeer(h.Name, RelayArgs{ID: id, Incarnation: d.Incarnation, Request: r, Wait: wait})
	j.relayedAt = now
	d.addTimer(timer{at: now.Add(d.hosts.AckTimeout()).UnixNano(), kind: ackTimer, job: j, id: id})
}

// acked notes that a host has taken a relay.
func (d *Dispatcher) acked(now time.Time, j *job) {
	if d.hosts.RecordAck(j.relayTo, now.Sub(j.relayedAt)) {
		d.chooseStewards(now)
	}
}

// endRelay forgets the relay of a job, whose answer comes too late from now on.
func (d *Dispatcher) endRelay(j *job) {
	if j.relay == 0 {
		return
	}
	delete(d.relays, j.relay)
	j.relay = 0
}

// withdraw ends the relay of an idempotent job at the host that has it.
func (d *Dispatcher) withdraw(j *job) {
	if j.relay == 0 {
		return
	}
	d.callPeer(j.relayTo, WithdrawArgs{ID: j.relay, Incarnation: d.Incarnation})
	d.endRelay(j)
}

// ackMissing handles a relay that was not taken in time.
func (d *Dispatcher) ackMissing(now time.Time, j *job, relay uint64) {
	if j.relay != relay || j.acked {
		return
	}
	d.relayFailed(now, j)
}

// relayFailed sends a job elsewhere: an idempotent one to another host, a
// ticketed one again to the only host that may run it.
func (d *Dispatcher) relayFailed(now time.Time, j *job) {
	d.avoid(now, j.relayTo)
	if j.ticketed() {
		d.rerouteTicketed(now, j)
	}
}

// avoid takes a host for silent for a while and moves what it has.
func (d *Dispatcher) avoid(now time.Time, name cornelbay.HostName) {
	d.hosts.Avoid(now, name, true)
	d.chooseStewards(now)
	d.moveRelays(now, name)
}

// moveRelays routes the idempotent jobs again that a host was given.
func (d *Dispatcher) moveRelays(now time.Time, name cornelbay.HostName) {
	for _, id := range sortedKeys(d.relays) {
		j := d.relays[id]
		if j == nil || j.relayTo != name || j.ticketed() {
			continue
		}
		d.withdraw(j)
		j.ambiguous = true
		j.moves++
		d.counters.Moves++
		d.route(now, j)
	}
}

// serve answers another host's call.
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
		d.takeHandover(now, a.Handover)
		return HandOverReply{}, true
	}
	return nil, false
}

func (d *Dispatcher) serveRelay(now time.Time, from cornelbay.HostName, a RelayArgs) RelayReply {
	key := relayKey{from, a.Incarnation, a.ID}
	if _, ok := d.serving[key]; ok {
		return RelayReply{Taken: true}
	}
	j := &job{Request: a.Request, from: from, key: key}
	j.Deadline = now.Add(a.Wait)
	if d.stopping && !j.ticketed() {
		return RelayReply{}
	}
	d.serving[key] = j
	before := len(d.out)
	d.admit(now, j)
	if !j.done {
		return RelayReply{Taken: true}
	}
	return RelayReply{Taken: true, Ended: true, Response: d.takeResult(before, key)}
}

// takeResult replaces the result call of a job that ended at once.
func (d *Dispatcher) takeResult(from int, key relayKey) Response {
	for i := from; i < len(d.out); i++ {
		c, ok := d.out[i].(peer.Call)
		if !ok {
			continue
		}
		if r, ok := c.Args.(ResultArgs); ok && c.To == key.from && r.ID == key.id {
			d.out = append(d.out[:i], d.out[i+1:]...)
			return r.Response
		}
	}
	return refusalResponse(refusal.AttemptFailed)
}

func (d *Dispatcher) answerRelay(j *job, res Response) {
	delete(d.serving, j.key)
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
	j, ok := d.serving[key]
	if !ok || j.ticketed() {
		return
	}
	d.finish(now, j, refusalResponse(j.failure(refusal.DeadlineQueued, refusal.AttemptFailed)))
}

// peerAnswer takes another host's answer to a call.
func (d *Dispatcher) peerAnswer(now time.Time, a peer.Answer) {
	switch args := a.Call.Args.(type) {
	case RelayArgs:
		d.relayAnswered(now, args, a)
	case ResultArgs:
		d.resultAnswered(a, args)
	case HandOverArgs:
		d.handover.answered(a.Call.To, args, a.Err)
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
		// A ticketed relay is sent again by its timer, a little later.
	case reply.Ended:
		d.acked(now, j)
		d.finish(now, j, reply.Response)
	case reply.Taken:
		j.acked = true
		d.acked(now, j)
	default:
		d.notTaken(now, j)
	}
}

// notTaken sends a job elsewhere whose host stops; what that host has taken
// before it finishes.
func (d *Dispatcher) notTaken(now time.Time, j *job) {
	d.hosts.Avoid(now, j.relayTo, false)
	d.chooseStewards(now)
	d.endRelay(j)
	j.moves++
	d.counters.Moves++
	d.route(now, j)
}

// resultAnswered sends a result again that was not taken, once for each answer,
// while its host may still wait for it.
func (d *Dispatcher) resultAnswered(a peer.Answer, args ResultArgs) {
	if _, live := d.hosts.Lookup(a.Call.To); a.Err != nil && live {
		d.callPeer(a.Call.To, args)
	}
}
