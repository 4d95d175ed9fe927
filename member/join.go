package member

import (
	"slices"
	"time"

	"github.com/cornelbay/cornelbay"
)

// The times and sizes of the exchange of whole lists.
const (
	joinInterval = time.Second
	// firstPageInterval is the time between the pages of the first list.
	firstPageInterval = 500 * time.Millisecond
	// seedInterval is how often a seed that is not known as a host is asked.
	seedInterval = 10 * time.Second
	// syncAfter is how long two hosts disagree before their lists are compared.
	syncAfter    = 3 * time.Second
	pageInterval = 2 * time.Second
	pageItems    = 10
	// settledAfter is how long a host is known before its lack in another's
	// list makes it suspect.
	settledAfter = 5 * time.Second
	// agreedFor is how long a list counts as whole after another host had the same.
	agreedFor = 10 * time.Second
)

// seed is a host that is known by its datagram address only.
type seed struct {
	address string
	next    time.Time
}

// syncState is the exchange of lists with others.
type syncState struct {
	// agreedAt is when a heartbeat last agreed with the own list; differsSince
	// and differedAt are when the first and the last of those came that did not.
	agreedAt, differsSince, differedAt time.Time

	next  time.Time
	after cornelbay.HostName
	// done is true once a list was read to its end.
	done bool
	// with is the host to ask, "" when nothing is to be asked.
	with cornelbay.HostName
}

func (v *View) addSeed(address string) {
	if !slices.ContainsFunc(v.seeds, func(s seed) bool { return s.address == address }) {
		v.seeds = append(v.seeds, seed{address: address})
	}
}

// compare looks whether the sender of a heartbeat knows other hosts.
func (v *View) compare(now time.Time, b Heartbeat) {
	if b.Live == v.liveHash {
		v.sync.agreedAt = now
		return
	}
	if now.Sub(v.sync.differedAt) >= syncAfter {
		v.sync.differsSince = now
	}
	v.sync.differedAt = now
	if now.Sub(v.sync.differsSince) >= syncAfter && v.sync.with == "" {
		v.sync.with = b.Name
	}
}

// tickSync returns the requests for lists that are due at now.
func (v *View) tickSync(now time.Time) []cornelbay.Effect {
	var out []cornelbay.Effect
	request := JoinRequest{Host: Record(v.Self), Counter: v.counter}
	for i := range v.seeds {
		s := &v.seeds[i]
		if now.Before(s.next) || v.left || v.knows(s.address) {
			continue
		}
		s.next = now.Add(joinInterval)
		if len(v.members.Live) > 1 {
			s.next = now.Add(seedInterval)
		}
		out = append(out, cornelbay.Send{Address: s.address, Message: request})
	}
	if v.sync.with != "" && !now.Before(v.sync.next) && !v.left {
		v.sync.next = now.Add(pageInterval)
		if !v.sync.done {
			v.sync.next = now.Add(firstPageInterval)
		}
		request.After = v.sync.after
		out = append(out, cornelbay.Send{To: v.sync.with, Message: request})
		v.sync.with = ""
	}
	return out
}

func (v *View) knows(address string) bool {
	return address == v.Self.Datagram.String() || slices.ContainsFunc(v.sorted, func(p *peer) bool {
		return p.live() && p.host.Datagram.String() == address
	})
}

// ReceiveJoin answers a host that asks for the others.
func (v *View) ReceiveJoin(now time.Time, r JoinRequest) []cornelbay.Effect {
	v.Check(now)
	if r.Host.Name == v.Self.Name || v.left {
		return nil
	}
	v.heard(now, Item{r.Host.Name, r.Host.Incarnation, r.Counter, Alive, &r.Host})
	a := JoinAnswer{After: r.After, Settled: v.settled(now)}
	if r.After == "" {
		own := Record(v.Self)
		a.Items = append(a.Items, Item{v.Self.Name, v.Self.Incarnation, v.counter, Alive, &own})
	}
	at, _ := slices.BinarySearchFunc(v.sorted, r.After+"\x00", compareName)
	for _, p := range v.sorted[at:] {
		if len(a.Items) == pageItems {
			a.More = true
			break
		}
		if p.live() && p.host.Name != r.Host.Name {
			i, record := p.item(), Record(p.host)
			i.Record = &record
			a.Items = append(a.Items, i)
		}
	}
	return []cornelbay.Effect{cornelbay.Send{To: r.Host.Name, Address: r.Host.Datagram.String(), Message: a}}
}

// ReceiveJoinAnswer takes a page of another host's list.
func (v *View) ReceiveJoinAnswer(now time.Time, from cornelbay.HostName, a JoinAnswer) {
	v.Check(now)
	for _, i := range a.Items {
		v.learn(now, i, false)
	}
	if a.Settled {
		v.suspectAbsent(now, from, a)
	}
	v.sync.after = ""
	v.sync.done = v.sync.done || !a.More
	if a.More && len(a.Items) > 0 {
		v.sync.after = a.Items[len(a.Items)-1].Name
		v.sync.with = from
		if name, ok := v.mates.take(v.random(), v.sorted, (*peer).live); ok {
			v.sync.with = name
		}
	}
}

// settled reports whether the own list is likely to be whole.
func (v *View) settled(now time.Time) bool {
	return !v.lapsed && now.Sub(v.sync.agreedAt) < agreedFor
}

// suspectAbsent makes hosts suspect that a page leaves out: they refute it, or
// the news of their end had been missed.
func (v *View) suspectAbsent(now time.Time, from cornelbay.HostName, a JoinAnswer) {
	last := cornelbay.HostName("")
	if len(a.Items) > 0 {
		last = a.Items[len(a.Items)-1].Name
	}
	for _, p := range v.sorted {
		name := p.host.Name
		inPage := name > a.After && (!a.More || name <= last)
		if !inPage || name == from || p.state != Alive || p.expected || now.Sub(p.since) < settledAfter {
			continue
		}
		if !slices.ContainsFunc(a.Items, func(i Item) bool { return i.Name == name }) {
			p.setState(now, Suspect)
			v.publish(p)
			v.tell(name)
		}
	}
}
