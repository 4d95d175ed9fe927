package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/exchange"
	"github.com/cornelbay/cornelbay/registry"
	"github.com/cornelbay/cornelbay/suspicion"
)

const (
	// An opening counts as unanswered after answerFactor times the mean round trip, within
	// these bounds.
	answerFactor     = 4
	minAnswerTimeout = 20 * time.Millisecond
	maxAnswerTimeout = 150 * time.Millisecond
	// initialRoundTrip is the assumed mean round trip until a flow has been answered.
	initialRoundTrip = 10 * time.Millisecond
	// maxAttempts is the number of targets at which one opening is tried: this many waits
	// of at most maxAnswerTimeout fit into the 1.4 s after which callers give up on an
	// opening.
	maxAttempts = 6
	// openingTime is the time after which callers give up on an opening that is not answered.
	openingTime = 1400 * time.Millisecond
	// firstRetransmitTime and secondRetransmitTime are when callers retransmit an
	// unanswered opening, plus some time for the packets to arrive.
	firstRetransmitTime  = 220 * time.Millisecond
	secondRetransmitTime = 640 * time.Millisecond
	// idleTimeout is the silence after which a flow no longer counts as load.
	idleTimeout = time.Second
	// forgetTimeout is the silence after which a flow is forgotten: flows may be idle for
	// 15 s. Later packets of a forgotten flow carry the cookie of their target.
	forgetTimeout = 20 * time.Second
	// lateAnswerTime is for how long a target that was sent an opening repeats its answer to
	// it. The packets of a flow that another target has carry the wrong cookie after that
	// until the caller gets the next packet of its target.
	lateAnswerTime = 10 * time.Second
	// rerouteWindow is the time before and after the first packet of a flow that this host
	// had not recorded. If an opening made in that time is not answered, this is no
	// evidence against its target: the routers are sending flows to different hosts than
	// before, and the answer may be seen by another host.
	rerouteWindow = 60 * time.Millisecond
	// joinWindow is the same time after a host has joined: the routers check twice a second whether
	// it is ready. A host whose flows move to the new one gets no packets that show it.
	joinWindow = 700 * time.Millisecond
	// maxFlows limits the recorded flows. Flows beyond it are still forwarded, but do not
	// count as load and are not retried at other targets.
	maxFlows = 1 << 17
	// pendingTickInterval is the time between two ticks while openings are not answered,
	// and idleTickInterval that without any. Ticks look at all flows every sweepInterval.
	pendingTickInterval = 10 * time.Millisecond
	idleTickInterval    = 100 * time.Millisecond
	sweepInterval       = 100 * time.Millisecond
)

// Flow is a flow that this host has opened or taken over from another host.
type Flow struct {
	key     cornelbay.FlowKey
	service cornelbay.ServiceName
	target  *registry.Endpoint
	opening []byte
	// tried are the cookies of the targets that were sent the opening.
	tried            []uint32
	opened, lastSeen time.Time
	// exchanges are the requests on the flow.
	exchanges exchange.Tracker
	// deadline is when the opening counts as unanswered.
	deadline time.Time
	// answered is true once it is known which target has the flow, and chosenAt is when the packet
	// arrived that showed it, at this host or another.
	answered bool
	chosenAt time.Time
	// shared is true if other hosts may have sent the opening to other targets.
	shared bool
	// announcedAt is when this host last told the others which target has the flow, and heardAt
	// when one of them last announced it.
	announcedAt, heardAt time.Time
	// idle is true while the flow does not count as load of this host: a flow is load from
	// its opening, or a further request, until the answer begins.
	idle   bool
	closed bool
	// takesSlot is true if the flow's load counts against the slots that the hosts divide: those
	// of targets that are usable. A flow stays at its target when that is evacuated or cut off.
	takesSlot bool
	// waiting is true while the opening waits for a slot.
	waiting bool
	// priority is that of the route when the flow was recorded.
	priority int
	// heldPackets are those of a request on the open flow that waits for room at the target.
	heldPackets [][]byte
	// sentSince is the earliest time at which the caller may have sent an opening that waits.
	sentSince time.Time
	// borrowed is set if the flow is open beyond this host's share of the slots.
	borrowed *borrowed
	// contended is true if the last request may have waited at the target: other flows were
	// open there, as many as this host has slots, or the slots are those of other hosts.
	contended bool
	// adopted is true for a flow that another host opened.
	adopted bool
	// unobserved is true for an opening whose answer this host may have missed: the host
	// was stalled, the routers send flows to other hosts, or the caller did not retransmit
	// when it should have. Only a retransmission shows that the opening was not answered.
	unobserved bool
	// retransmits counts the retransmissions of the opening that arrived.
	retransmits int
}

// Retry is an unanswered opening, which is to be sent to another target if there is one.
type Retry struct {
	Key cornelbay.FlowKey
	// Target is the next target, or nil if there is none left.
	Target  *registry.Endpoint
	Opening []byte
	// Silent is the target that did not answer within Waited.
	Silent *registry.Endpoint
	Waited time.Duration
}

func (p *Placer) answerTimeout() time.Duration {
	return p.Policies.AnswerTimeout.Or(answerTimeout, cmp.Or(p.roundTrip, initialRoundTrip))
}

// answerTimeout returns after which time an opening counts as unanswered, for a mean round trip.
func answerTimeout(roundTrip time.Duration) time.Duration {
	return min(max(answerFactor*roundTrip, minAnswerTimeout), maxAnswerTimeout)
}

// Segment is what a packet after the opening of a flow shows.
type Segment struct {
	// Cookie is that of the target to which the caller believes to talk.
	Cookie uint32
	// Sequence is the sequence number of the first of the packet's Bytes of data.
	Sequence uint32
	Bytes    int
	// Acknowledged is the acknowledgement number.
	Acknowledged uint32
	// Finishing is true if the caller ends the flow.
	Finishing bool
	// Packet is kept if it is held.
	Packet []byte
}

// RoutePacket records a packet that follows the opening of a flow and returns the cookie
// of the target that has the flow, or 0 if the packet is held; see Releases. When an opening
// was tried at several targets, the first such packet decides which of them has the flow: a
// late answer of another target must not move it.
func (p *Placer) RoutePacket(now time.Time, key cornelbay.FlowKey, s Segment) uint32 {
	cookie := p.routePacket(now, key, s)
	p.dispatchFreed(now)
	return cookie
}

func (p *Placer) routePacket(now time.Time, key cornelbay.FlowKey, s Segment) uint32 {
	p.lastProgress = now
	f, ok := p.flows[key]
	if !ok {
		p.clearSuspicion(now, s.Cookie)
		if s.Finishing {
			return s.Cookie
		}
		if f = p.adopt(now, key, s.Cookie); f == nil {
			return s.Cookie
		}
		f.exchanges.Start(s.Acknowledged)
	}
	f.lastSeen = now
	if !f.answered {
		if !slices.Contains(f.tried, s.Cookie) {
			return s.Cookie
		}
		p.markAnswered(now, f, s.Cookie)
		f.exchanges.Start(s.Acknowledged)
		p.beginExchange(now, f, f.adopted)
	}
	if f.closed {
		return f.target.Cookie
	}
	if s.Cookie != f.target.Cookie {
		p.recordLateAnswer(now, f, s.Cookie)
	}
	if s.Finishing {
		p.releaseNow(now, f)
	}
	if p.follow(now, f, s) {
		return 0
	}
	if s.Finishing {
		p.close(now, f)
	}
	return f.target.Cookie
}

// adopt records a flow that another host has opened and whose packets the routers now send
// to this host. It returns nil if the flow cannot be recorded.
func (p *Placer) adopt(now time.Time, key cornelbay.FlowKey, cookie uint32) *Flow {
	p.foreignPacketAt = now
	if p.view == nil || len(p.flows) >= maxFlows {
		return nil
	}
	m, ok := p.view.Cookies[cookie]
	if !ok {
		return nil
	}
	f := &Flow{key: key, service: m.Service, target: m, priority: p.priority(key), lastSeen: now, answered: true, chosenAt: now, adopted: true, idle: true}
	p.track(f)
	return f
}

// recordLateAnswer records that the caller of an open flow repeats the cookie of another target,
// which has answered the opening, too. Hosts that don't know the flow would follow this cookie.
func (p *Placer) recordLateAnswer(now time.Time, f *Flow, cookie uint32) {
	if _, ok := p.view.Cookies[cookie]; !ok {
		return
	}
	f.shared = true
	f.addTried(f.target.Cookie)
	f.addTried(cookie)
	p.announceAgain(now, f)
}

func (p *Placer) track(f *Flow) {
	if p.flows == nil {
		p.flows = make(map[cornelbay.FlowKey]*Flow)
	}
	p.flows[f.key] = f
}

// markAnswered records that the target with the given cookie has accepted the flow.
func (p *Placer) markAnswered(now time.Time, f *Flow, cookie uint32) {
	if !f.adopted {
		p.reach.RecordAnswered(now)
		p.counters.Answered++
		p.targetState(cookie, now).counters.Answered++
		if p.OnAnswered != nil {
			p.OnAnswered(now.Sub(f.opened))
		}
		if len(f.tried) == 1 {
			if p.roundTrip == 0 {
				p.roundTrip = initialRoundTrip
			}
			p.roundTrip += time.Duration(roundTripWeight * float64(now.Sub(f.opened)-p.roundTrip))
		}
	}
	p.resolve(now, f, cookie)
	f.chosenAt = now
	p.markActive(now, f)
	if f.isAmbiguous() {
		p.announceTarget(now, f)
	}
	p.clearSuspicion(now, cookie)
}

// resolve assigns the flow to the target with the given cookie and makes it idle until a
// packet of it arrives: the flow counts as load only at the host that receives its packets.
func (p *Placer) resolve(now time.Time, f *Flow, cookie uint32) {
	f.answered, f.opening = true, nil
	delete(p.pending, f.key)
	p.markIdle(now, f)
	f.idle = true
	if m, ok := p.view.Cookies[cookie]; ok {
		f.target = m
	}
}

// markIdle ends the load of a flow.
func (p *Placer) markIdle(now time.Time, f *Flow) {
	if !f.idle && !f.closed {
		f.idle = true
		p.adjustOpen(now, f, -1)
	}
}

// markActive counts an idle flow as load again.
func (p *Placer) markActive(now time.Time, f *Flow) {
	if f.idle && !f.closed {
		f.idle = false
		p.adjustOpen(now, f, 1)
	}
}

func (p *Placer) close(now time.Time, f *Flow) {
	p.markIdle(now, f)
	f.closed = true
	delete(p.pending, f.key)
	p.endExchange(f)
}

// TickInterval returns the time until the next call of Tick is due. An opening may make it
// shorter.
func (p *Placer) TickInterval() time.Duration {
	if len(p.pending) > 0 || p.Waiting() > 0 || p.Holding() > 0 {
		return pendingTickInterval
	}
	return idleTickInterval
}

// Tick advances the time and returns the openings that were not answered. It is to be
// called after each TickInterval, after the packets that are waiting have been read.
func (p *Placer) Tick(now time.Time) []Retry {
	gap, stalled := p.stall.Tick(now)
	if stalled { // silence is no evidence against targets
		p.queueStateChange(StateChange{State: Stalled, Duration: gap})
	}
	var retries []Retry
	for key, f := range p.pending {
		if now.Sub(f.opened) > openingTime && !f.closed {
			delete(p.pending, key) // its caller has given up
			continue
		}
		if stalled || f.retransmits < retransmitsDue(now.Sub(f.opened)) || p.bypassed(f) {
			f.unobserved = true
		}
		switch {
		case f.unobserved || !now.After(f.deadline):
			// Unobserved: this host may have missed the answer.
		case f.retransmits == 0 && p.rerouted(f):
			f.unobserved = true
		default:
			retries = append(retries, p.retry(now, f))
		}
	}
	if now.Sub(p.sweptAt) >= sweepInterval {
		p.sweptAt = now
		p.sweep(now)
	}
	p.dispatchAll(now)
	p.stall.Next(now, p.TickInterval())
	return retries
}

// sweep forgets the flows that have been silent for long, and ends the load of those that
// have been silent for a while.
func (p *Placer) sweep(now time.Time) {
	for key, f := range p.flows {
		switch {
		case now.Sub(f.lastSeen) > f.retention() && now.Sub(f.heardAt) > f.retention():
			p.dropHeld(f)
			p.markIdle(now, f)
			delete(p.flows, key)
			delete(p.pending, key)
		case !f.idle && !f.closed && now.Sub(f.lastSeen) > idleTimeout:
			p.markIdle(now, f)
			p.recordBrokenOff(now, f)
		}
	}
}

// retention returns the silence after which a flow is forgotten.
func (f *Flow) retention() time.Duration {
	if f.isAmbiguous() && !f.closed {
		return forgetTimeout + lateAnswerTime
	}
	return forgetTimeout
}

// retransmitsDue returns how many times a caller without an answer has retransmitted its
// opening by the given time since it.
func retransmitsDue(since time.Duration) int {
	switch {
	case since < firstRetransmitTime:
		return 0
	case since < secondRetransmitTime:
		return 1
	}
	return 2
}

// bypassed reports whether several targets appear not to answer an opening while this host
// has seen no later packet of any flow since. The likely cause is then the routers, which
// send the packets to other hosts, rather than the targets.
func (p *Placer) bypassed(f *Flow) bool {
	return !f.answered && f.retransmits == 0 && len(f.tried) > 1 && p.lastProgress.Before(f.opened)
}

// rerouted reports whether the routers appear to have moved flows between hosts around the
// time of an opening. Then only a retransmission shows that the caller has had no answer.
func (p *Placer) rerouted(f *Flow) bool {
	if !p.foreignPacketAt.IsZero() && p.foreignPacketAt.Sub(f.opened).Abs() < rerouteWindow {
		return true
	}
	since := f.opened.Sub(p.joinedAt)
	return !p.joinedAt.IsZero() && since > -rerouteWindow && since < joinWindow
}

// RecordJoin records that this host or another one is about to get packets from the routers.
func (p *Placer) RecordJoin(now time.Time) {
	p.joinedAt = now
}

// retry records that a target did not answer an opening and moves the opening to another
// target if there is one.
func (p *Placer) retry(now time.Time, f *Flow) Retry {
	p.counters.Unanswered++
	p.targetState(f.target.Cookie, now).counters.Unanswered++
	p.suspect(now, f.target, suspicion.Unanswered{Opened: f.opened, Firm: len(f.tried) == 1 || f.retransmits > 0})
	r := Retry{Key: f.key, Silent: f.target, Waited: now.Sub(f.opened)}
	// If no other target can be used now, the opening counts as unanswered again after
	// this time.
	f.deadline = now.Add(idleTimeout)
	if len(f.tried) >= maxAttempts {
		p.reach.RecordUnreached(now)
		return r
	}
	m, err := p.choose(now, f.service, f.tried)
	if err != nil {
		p.reach.RecordUnreached(now)
		return r
	}
	p.markIdle(now, f)
	f.idle, f.borrowed = false, nil
	p.assign(now, f, m)
	p.announceOpening(f)
	p.counters.Retried++
	r.Target, r.Opening = m, f.opening
	return r
}
