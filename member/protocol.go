package member

import (
	"slices"
	"time"

	"github.com/cornelbay/cornelbay"
)

// recordEvery is the interval, in rounds, at which heartbeats include the sender's
// record.
const recordEvery = 20

// notifyInterval is the least time between two heartbeats that tell a host that it
// is believed suspect or dead.
const notifyInterval = 250 * time.Millisecond

// Receive processes a heartbeat and reports whether it was fresh. It is not fresh
//   - when it has this host's own name,
//   - when it may have been queued while this host was paused,
//   - when its sender is unknown and it has no Record,
//   - when it comes from an incarnation other than the known one, unless that is a
//     later one and the heartbeat has a Record, or
//   - when its sender has left.
func (v *View) Receive(now time.Time, hb Heartbeat) bool {
	v.Check(now)
	if hb.Name == v.Self.Name || (v.stale && now.Sub(v.pauseEndedAt) < QueueDrain) {
		return false
	}
	if !v.receiveAlive(now, Item{hb.Name, hb.Incarnation, hb.Counter, Alive, hb.Record}) {
		return false
	}
	if hb.Generation <= v.Generation {
		v.Confirm(confirmedAt(now, hb.ConfirmedAgeMs))
	}
	for _, i := range hb.Items {
		v.applyItem(now, i, true)
	}
	v.compareLiveHash(now, hb)
	return true
}

// receiveAlive processes a host's own report that it is alive. It returns false when
// the report is not from the incarnation known here, or when the host has left.
func (v *View) receiveAlive(now time.Time, i Item) bool {
	v.applyItem(now, i, true)
	p, ok := v.peers[i.Name]
	if !ok || i.Incarnation != p.host.Incarnation || p.state == Left {
		return false
	}
	if v.stale {
		v.stale, v.dirty = false, true
	}
	if p.state == Alive && i.Counter == p.counter {
		p.heard = now
		return true
	}
	// The host must raise its counter before it counts as alive again; a heartbeat
	// tells it so.
	if now.Sub(p.notifiedAt) >= notifyInterval {
		p.notifiedAt = now
		v.sendSoon(p.host.Name)
	}
	return true
}

// applyItem merges a membership update into the view. With spread set, an update
// that changed the view is gossiped on.
func (v *View) applyItem(now time.Time, i Item, spread bool) {
	if i.Name == v.Self.Name {
		v.refute(i)
		return
	}
	p, ok := v.peers[i.Name]
	if !ok {
		if i.Record == nil {
			return
		}
		p = v.add(cornelbay.Host(*i.Record))
	}
	if p.state != Introduced && !supersedes(p, i) {
		return
	}
	if i.Incarnation != p.host.Incarnation {
		if i.Record == nil {
			return
		}
		p.host = cornelbay.Host(*i.Record)
		p.heard, p.expected = time.Time{}, false
	} else if i.Record != nil {
		p.host = cornelbay.Host(*i.Record)
	}
	p.counter = i.Counter
	p.setState(now, i.State)
	v.dirty, v.ringDirty = true, true
	if spread {
		v.publish(p)
	}
}

// supersedes reports whether an update takes precedence over the local state of p: the
// later incarnation does, then Left, then the higher counter, then the higher state.
func supersedes(p *peer, i Item) bool {
	switch {
	case i.Incarnation != p.host.Incarnation:
		return i.Incarnation > p.host.Incarnation
	case p.state == Left || i.State == Left:
		return p.state != Left
	case i.Counter != p.counter:
		return i.Counter > p.counter
	}
	return i.State > p.state
}

// refute raises this host's counter above that of an update which reports it
// suspect or dead, and gossips that it is alive.
func (v *View) refute(i Item) {
	if i.Incarnation != v.Self.Incarnation || i.State == Alive || i.Counter < v.counter || v.left {
		return
	}
	v.counter = i.Counter + 1
	v.gossip.add(Item{v.Self.Name, v.Self.Incarnation, v.counter, Alive, nil}, len(v.sorted))
	v.next = time.Time{}
}

func (v *View) markChanged(p *peer) {
	v.dirty, v.ringDirty = true, true
	v.publish(p)
}

// Tick returns the messages that are due at now.
func (v *View) Tick(now time.Time) []cornelbay.Effect {
	v.Check(now)
	v.advanceStates(now)
	if v.ringDirty {
		v.ringDirty = false
		v.setRing(now)
	}
	out := v.tickSync(now)
	if v.left {
		return out
	}
	if !now.Before(v.next) {
		v.next = now.Add(HeartbeatInterval)
		v.rounds++
		return append(out, v.heartbeats(now, v.receivers())...)
	}
	names := v.urgent
	v.urgent = nil
	return append(out, v.heartbeats(now, names)...)
}

// advanceStates marks silent hosts suspect, confirms suspects as dead after their
// time to refute, and forgets hosts that ended long ago.
func (v *View) advanceStates(now time.Time) {
	for _, p := range slices.Clone(v.sorted) {
		age := now.Sub(p.since)
		switch {
		case p.state == Alive && v.silent(now, p):
			p.setState(now, Suspect)
			v.publish(p)
			v.sendSoon(p.host.Name)
		case p.state == Suspect && age >= v.confirmAfter():
			p.setState(now, Dead)
			v.markChanged(p)
		case p.state == Dead && age >= MissingFor && age < MissingFor+HeartbeatInterval:
			v.dirty = true
		case (p.state == Dead || p.state == Left) && age >= ForgetAfter:
			v.remove(p)
		}
	}
}

func (v *View) silent(now time.Time, p *peer) bool {
	if !p.expected {
		return false
	}
	from := p.expectedAt
	for _, t := range []time.Time{p.heard, p.since} {
		if t.After(from) {
			from = t
		}
	}
	return now.Sub(from) >= SuspectAfter
}

// heartbeats returns a heartbeat for each of the named hosts.
func (v *View) heartbeats(now time.Time, names []cornelbay.HostName) []cornelbay.Effect {
	if len(names) == 0 {
		return nil
	}
	v.refresh()
	v.gossip.refill(now)
	hb := Heartbeat{
		Name: v.Self.Name, Incarnation: v.Self.Incarnation, Counter: v.counter,
		Live: v.liveHash, Leaving: v.Leaving,
	}
	if v.Fill != nil {
		v.Fill(&hb)
	}
	hb.ConfirmedAgeMs = confirmedAge(now, v.confirmed)
	record := Record(v.Self)
	var out []cornelbay.Effect
	for _, name := range names {
		p, ok := v.peers[name]
		if !ok {
			continue
		}
		hb.Record, hb.Items = nil, v.gossip.take()
		if p.heard.IsZero() || p.state != Alive || v.rounds%recordEvery == 0 {
			hb.Record = &record
		}
		if p.state == Suspect || p.state == Dead {
			hb.Items = append(hb.Items, p.item())
		}
		out = append(out, cornelbay.Send{To: name, Address: p.host.Datagram.String(), Message: hb})
	}
	return out
}

// Leave ends the membership of this host and returns the messages that announce it.
func (v *View) Leave(time.Time) []cornelbay.Effect {
	if v.left {
		return nil
	}
	v.left, v.Leaving = true, true
	var out []cornelbay.Effect
	for _, name := range v.receivers() {
		if p, ok := v.peers[name]; ok && p.live() {
			out = append(out, cornelbay.Send{To: name, Message: Leave{v.Self.Name, v.Self.Incarnation}})
		}
	}
	return out
}

// Left reports whether Leave was called.
func (v *View) Left() bool { return v.left }

// ReceiveLeave marks a host that announces its planned stop as left.
func (v *View) ReceiveLeave(now time.Time, l Leave) {
	v.Check(now)
	if p, ok := v.peers[l.Name]; ok && p.host.Incarnation == l.Incarnation && p.state != Left {
		p.setState(now, Left)
		v.markChanged(p)
	}
}
