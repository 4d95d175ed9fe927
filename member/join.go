package member

import (
	"slices"
	"time"

	"github.com/cornelbay/cornelbay"
)

// Intervals and limits of the full member-list exchange (anti-entropy).
const (
	// joinInterval is the time between requests to a seed while this host knows no other
	// live host.
	joinInterval = time.Second
	// firstPageInterval is the time between page requests until the first list has
	// been read completely.
	firstPageInterval = 500 * time.Millisecond
	// seedInterval is the time between requests to a seed that is not a known live
	// host, once this host knows other live hosts.
	seedInterval = 10 * time.Second
	// syncAfter is how long a run of heartbeats that disagree with the local live list
	// lasts before a list is requested; see syncState.
	syncAfter = 3 * time.Second
	// pageInterval is the time between page requests once a list has been read
	// completely.
	pageInterval = 2 * time.Second
	// pageItems is the maximum number of hosts in a page.
	pageItems = 10
	// settledAfter is how long a host must have been alive before its absence from
	// another host's list makes it suspect.
	settledAfter = 5 * time.Second
	// agreementTTL is how long the local list counts as complete after another host
	// reported the same one.
	agreementTTL = 10 * time.Second
)

// seed is a host of which only the datagram address is known.
type seed struct {
	address string
	// next is the time of the next request.
	next time.Time
}

// syncState is the state of the member-list exchange with other hosts.
type syncState struct {
	// agreedAt is when a heartbeat last agreed with the local live list. differsSince
	// and differedAt are when the first and the latest heartbeat of the current run
	// of disagreeing ones arrived. A run ends when none disagrees for syncAfter;
	// agreeing ones in between do not end it.
	agreedAt, differsSince, differedAt time.Time

	// next is the earliest time of the next page request, and cursor the last name of the
	// page read last, or "" to start from the beginning.
	next   time.Time
	cursor cornelbay.HostName
	// completed is true once a list has been read to its last page.
	completed bool
	// partner is the host to request a page from, or "" when none is due.
	partner cornelbay.HostName
}

func (v *View) addSeed(address string) {
	if !slices.ContainsFunc(v.seeds, func(s seed) bool { return s.address == address }) {
		v.seeds = append(v.seeds, seed{address: address})
	}
}

// compareLiveHash compares the sender's live list with the local one by hash and
// schedules a list exchange when the current run of disagreeing heartbeats has lasted
// syncAfter.
func (v *View) compareLiveHash(now time.Time, hb Heartbeat) {
	if hb.Live == v.liveHash {
		v.sync.agreedAt = now
		return
	}
	if now.Sub(v.sync.differedAt) >= syncAfter {
		v.sync.differsSince = now
	}
	v.sync.differedAt = now
	if now.Sub(v.sync.differsSince) >= syncAfter && v.sync.partner == "" {
		v.sync.partner = hb.Name
	}
}

// tickSync returns the list requests that are due at now.
func (v *View) tickSync(now time.Time) []cornelbay.Effect {
	var out []cornelbay.Effect
	request := JoinRequest{Host: Record(v.Self), Counter: v.counter}
	for i := range v.seeds {
		s := &v.seeds[i]
		if now.Before(s.next) || v.left || v.knowsLiveAddress(s.address) {
			continue
		}
		s.next = now.Add(joinInterval)
		if len(v.members.Live) > 1 {
			s.next = now.Add(seedInterval)
		}
		out = append(out, cornelbay.Send{Address: s.address, Message: request})
	}
	if v.sync.partner != "" && !now.Before(v.sync.next) && !v.left {
		v.sync.next = now.Add(pageInterval)
		if !v.sync.completed {
			v.sync.next = now.Add(firstPageInterval)
		}
		request.After = v.sync.cursor
		out = append(out, cornelbay.Send{To: v.sync.partner, Message: request})
		v.sync.partner = ""
	}
	return out
}

func (v *View) knowsLiveAddress(address string) bool {
	return address == v.Self.Datagram.String() || slices.ContainsFunc(v.sorted, func(p *peer) bool {
		return p.live() && p.host.Datagram.String() == address
	})
}

// ReceiveJoin answers a request for a page of the member list. The request also counts
// as its sender's report that it is alive, which ends the stale state of this host, even
// within QueueDrain after the pause.
func (v *View) ReceiveJoin(now time.Time, r JoinRequest) []cornelbay.Effect {
	v.Check(now)
	if r.Host.Name == v.Self.Name || v.left {
		return nil
	}
	v.receiveAlive(now, Item{r.Host.Name, r.Host.Incarnation, r.Counter, Alive, &r.Host})
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

// ReceiveJoinAnswer merges a page of another host's list and schedules the request for
// the next page, to a random live host.
func (v *View) ReceiveJoinAnswer(now time.Time, from cornelbay.HostName, a JoinAnswer) {
	v.Check(now)
	for _, i := range a.Items {
		v.applyItem(now, i, false)
	}
	if a.Settled {
		v.suspectAbsent(now, from, a)
	}
	v.sync.cursor = ""
	v.sync.completed = v.sync.completed || !a.More
	if a.More && len(a.Items) > 0 {
		v.sync.cursor = a.Items[len(a.Items)-1].Name
		v.sync.partner = from
		if name, ok := v.livePeers.next(v.random(), v.sorted, (*peer).live); ok {
			v.sync.partner = name
		}
	}
}

// settled reports whether the local list is likely to be complete.
func (v *View) settled(now time.Time) bool {
	return !v.stale && now.Sub(v.sync.agreedAt) < agreementTTL
}

// suspectAbsent marks hosts suspect that a page should list but does not: either
// they refute the suspicion, or they have ended and this host missed the update.
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
			v.sendSoon(name)
		}
	}
}
