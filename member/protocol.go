package member

import (
	"slices"
	"time"

	"github.com/cornelbay/cornelbay"
)

// recordEvery is the number of rounds after which heartbeats carry the
// sender's record again.
const recordEvery = 20

// answerInterval bounds how often a host is told that it is believed dead.
const answerInterval = 250 * time.Millisecond

// Receive takes a heartbeat and reports whether it was fresh: it is not when it
// is the word of an earlier start, or may have waited out a pause of this host.
func (v *View) Receive(now time.Time, b Heartbeat) bool {
	v.Check(now)
	if b.Name == v.Self.Name || (v.lapsed && now.Sub(v.pausedAt) < QueueDrain) {
		return false
	}
	if !v.heard(now, Item{b.Name, b.Incarnation, b.Counter, Alive, b.Record}) {
		return false
	}
	if b.Generation <= v.Generation {
		v.Confirm(confirmedAt(now, b.ConfirmedAgeMs))
	}
	for _, i := range b.Items {
		v.learn(now, i, true)
	}
	v.compare(now, b)
	return true
}

// heard takes a host's word about itself; false is that of an earlier start.
func (v *View) heard(now time.Time, i Item) bool {
	v.learn(now, i, true)
	p, ok := v.peers[i.Name]
	if !ok || i.Incarnation != p.host.Incarnation || p.state == Left {
		return false
	}
	if v.lapsed {
		v.lapsed, v.dirty = false, true
	}
	if p.state == Alive && i.Counter == p.counter {
		p.heard = now
		return true
	}
	// The host has to raise its counter before it counts as alive again.
	if now.Sub(p.answered) >= answerInterval {
		p.answered = now
		v.tell(p.host.Name)
	}
	return true
}

// learn takes an item of news about any host and spreads what is new if asked.
func (v *View) learn(now time.Time, i Item, spread bool) {
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
	if p.state != Introduced && !newer(p, i) {
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

// newer reports whether an item outranks what is believed of p.
func newer(p *peer, i Item) bool {
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

// refute raises the own counter above that of news which has this host suspect
// or dead.
func (v *View) refute(i Item) {
	if i.Incarnation != v.Self.Incarnation || i.State == Alive || i.Counter < v.counter || v.left {
		return
	}
	v.counter = i.Counter + 1
	v.news.add(Item{v.Self.Name, v.Self.Incarnation, v.counter, Alive, nil}, len(v.sorted))
	v.next = time.Time{}
}

func (v *View) changed(p *peer) {
	v.dirty, v.ringDirty = true, true
	v.publish(p)
}

// Tick returns the messages that are due at now.
func (v *View) Tick(now time.Time) []cornelbay.Effect {
	v.Check(now)
	v.judge(now)
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

// judge moves silent hosts on to suspect, dead and forgotten.
func (v *View) judge(now time.Time) {
	for _, p := range slices.Clone(v.sorted) {
		age := now.Sub(p.since)
		switch {
		case p.state == Alive && v.silent(now, p):
			p.setState(now, Suspect)
			v.publish(p)
			v.tell(p.host.Name)
		case p.state == Suspect && age >= v.confirmAfter():
			p.setState(now, Dead)
			v.changed(p)
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

// heartbeats returns a heartbeat to each of the named hosts.
func (v *View) heartbeats(now time.Time, names []cornelbay.HostName) []cornelbay.Effect {
	if len(names) == 0 {
		return nil
	}
	v.refresh()
	v.news.refill(now)
	b := Heartbeat{
		Name: v.Self.Name, Incarnation: v.Self.Incarnation, Counter: v.counter,
		Live: v.liveHash, Leaving: v.Leaving,
	}
	if v.Fill != nil {
		v.Fill(&b)
	}
	b.ConfirmedAgeMs = confirmedAge(now, v.confirmed)
	record := Record(v.Self)
	var out []cornelbay.Effect
	for _, name := range names {
		p, ok := v.peers[name]
		if !ok {
			continue
		}
		b.Record, b.Items = nil, v.news.take()
		if p.heard.IsZero() || p.state != Alive || v.rounds%recordEvery == 0 {
			b.Record = &record
		}
		if p.state == Suspect || p.state == Dead {
			b.Items = append(b.Items, p.item())
		}
		out = append(out, cornelbay.Send{To: name, Address: p.host.Datagram.String(), Message: b})
	}
	return out
}

// Leave ends the membership of this host and returns the messages that tell it.
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

// ReceiveLeave takes the word of a host that ends.
func (v *View) ReceiveLeave(now time.Time, l Leave) {
	v.Check(now)
	if p, ok := v.peers[l.Name]; ok && p.host.Incarnation == l.Incarnation && p.state != Left {
		p.setState(now, Left)
		v.changed(p)
	}
}
