package gossip

import (
	"cmp"
	"slices"
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/registry"
)

const (
	// MinInterval is the shortest time between two heartbeats of a host.
	MinInterval = 150 * time.Millisecond
	// intervalPerRecipient limits a host to 50 datagrams a second: with more
	// recipients the interval grows.
	intervalPerRecipient = 20 * time.Millisecond
	// silentAfterIntervals is the number of heartbeat intervals without a heartbeat
	// after which a host no longer counts as alive. A single lost heartbeat has no
	// effect.
	silentAfterIntervals = 3
	// forgetAfter is the silence after which a host that isn't registered is forgotten.
	forgetAfter = 10 * time.Second
	// minReplyInterval is the shortest time between two replies to heartbeats of the
	// same host.
	minReplyInterval = 300 * time.Millisecond
)

// peerState is the last known state of another host.
type peerState struct {
	host        registry.Host
	incarnation cornelbay.Incarnation
	// knownSince is when the host became known, be it by its registration.
	knownSince time.Time
	registered bool
	// lastHeard is zero until a heartbeat arrives. The fields up to lastReply are those of
	// the last heartbeat.
	lastHeard time.Time
	stopping  bool
	relay     bool
	lead      bool
	refused   bool
	interval  time.Duration
	lastReply time.Time
}

func (o *peerState) silent(now time.Time) bool { return now.Sub(o.lastHeard) > o.silentAfter() }

func (o *peerState) silentAfter() time.Duration {
	return silentAfterIntervals * max(o.interval, MinInterval)
}

// signOfLife returns when the host was last heard. A host that was never heard counts as
// alive when it became known.
func (o *peerState) signOfLife() time.Time {
	if o.lastHeard.After(o.knownSince) {
		return o.lastHeard
	}
	return o.knownSince
}

// Members tracks the other hosts by their registrations and heartbeats. The zero value
// knows no hosts. It is not safe for concurrent use.
type Members struct {
	Self registry.Host

	members map[cornelbay.HostName]*peerState
	// heard are the members that have been heard lately. The others count as silent.
	heard map[cornelbay.HostName]*peerState
	// order are the known hosts of the own data centre, this host included, and remote
	// those of the others, all by name. They are nil after a change; see index.
	order    []*peerState
	position int // of this host in order
	remote   map[cornelbay.DataCentreName][]*peerState
	// guesses counts the calls of Neighbours since a relay was last heard, and leadGuesses
	// those since a lead of another data centre was.
	guesses     int
	leadGuesses map[cornelbay.DataCentreName]int
}

// SetRegistered replaces the registered hosts.
func (m *Members) SetRegistered(now time.Time, hosts []registry.Host) {
	for _, o := range m.members {
		o.registered = false
	}
	for _, h := range hosts {
		if h.Name == m.Self.Name {
			continue
		}
		o := m.member(now, h)
		if o.lastHeard.IsZero() {
			o.host = h
		}
		o.registered = true
	}
	for name, o := range m.members {
		if !o.registered && m.heard[name] == nil {
			delete(m.members, name)
		}
	}
	m.order = nil
}

// member returns the state of a host, which becomes known if it wasn't.
func (m *Members) member(now time.Time, h registry.Host) *peerState {
	if m.members == nil {
		m.members = make(map[cornelbay.HostName]*peerState)
	}
	o, ok := m.members[h.Name]
	if !ok {
		o = &peerState{host: h, knownSince: now}
		m.members[h.Name] = o
		m.order = nil
	}
	return o
}

// forget drops the hosts that are no longer heard, unless they are registered.
func (m *Members) forget(now time.Time) {
	for name, o := range m.heard {
		if now.Sub(o.lastHeard) <= forgetAfter {
			continue
		}
		delete(m.heard, name)
		if !o.registered {
			delete(m.members, name)
			m.order = nil
		}
	}
}

// Observe records a heartbeat. It reports whether the host was unknown or silent
// before, or has restarted and so lost its state. A reply doesn't make its sender
// alive, as no further heartbeat may follow.
func (m *Members) Observe(now time.Time, incarnation cornelbay.Incarnation, hb Heartbeat) bool {
	if hb.IntervalMs == 0 {
		return false
	}
	o := m.member(now, hb.Host)
	if m.heard == nil {
		m.heard = make(map[cornelbay.HostName]*peerState)
	}
	m.heard[hb.Host.Name] = o
	isNew := o.lastHeard.IsZero() || o.silent(now) || o.incarnation != incarnation
	if o.host.DataCentre != hb.Host.DataCentre {
		m.order = nil
	}
	o.host, o.incarnation, o.lastHeard = hb.Host, incarnation, now
	o.stopping, o.relay, o.lead, o.refused = hb.Stopping, hb.Relay, hb.Lead, hb.Refused
	o.interval = max(time.Duration(hb.IntervalMs)*time.Millisecond, MinInterval)
	return isNew
}

// AllowReply reports whether to reply to a heartbeat of a host now. Hosts of the own
// data centre get no replies, since the regular heartbeats and pushes reach them. It
// records the reply: until minReplyInterval has passed it returns false for the host.
func (m *Members) AllowReply(now time.Time, name cornelbay.HostName) bool {
	o, ok := m.members[name]
	if !ok || o.host.DataCentre == m.Self.DataCentre || now.Sub(o.lastReply) < minReplyInterval {
		return false
	}
	o.lastReply = now
	return true
}

// Incarnation returns the last observed incarnation of a host, or 0.
func (m *Members) Incarnation(name cornelbay.HostName) cornelbay.Incarnation {
	if o, ok := m.members[name]; ok {
		return o.incarnation
	}
	return 0
}

// FellSilent returns the hosts that became silent between before and now.
func (m *Members) FellSilent(before, now time.Time) []registry.Host {
	var newlySilent []registry.Host
	for _, o := range m.heard {
		if !o.silent(before) && o.silent(now) {
			newlySilent = append(newlySilent, o.host)
		}
	}
	return newlySilent
}

// Alive returns the other hosts that are neither silent nor stopping, sorted by name.
func (m *Members) Alive(now time.Time) []registry.Host {
	var alive []registry.Host
	for _, o := range m.heard {
		if !o.silent(now) && !o.stopping {
			alive = append(alive, o.host)
		}
	}
	slices.SortFunc(alive, func(a, b registry.Host) int { return cmp.Compare(a.Name, b.Name) })
	return alive
}

// Known returns the other hosts that are registered or heard, sorted by name.
func (m *Members) Known() []registry.Host {
	known := make([]registry.Host, 0, len(m.members))
	for _, o := range m.members {
		known = append(known, o.host)
	}
	slices.SortFunc(known, func(a, b registry.Host) int { return cmp.Compare(a.Name, b.Name) })
	return known
}

// KnownInDataCentre returns the other hosts of the own data centre that are registered or
// heard, sorted by name.
func (m *Members) KnownInDataCentre() []registry.Host {
	return slices.DeleteFunc(m.Known(), func(h registry.Host) bool { return h.DataCentre != m.Self.DataCentre })
}

// CountInDataCentre returns the number of known hosts of the own data centre, this one included.
func (m *Members) CountInDataCentre() int {
	order, _ := m.index()
	return len(order)
}

// IsReader reports whether this host is the one that reads the store for all: the first
// one alive by data centre and name, in a large fleet among the leads. Those whose calls
// the store refuses come last. Hosts that hear each other agree on the reader without a
// vote. If hosts don't hear each other, several may read, which only costs extra calls. A
// stopping host still counts itself, although the others no longer do.
func (m *Members) IsReader(now time.Time, refused bool) bool {
	mesh := m.isMesh()
	if !mesh && !m.Leads(now) {
		return false
	}
	for _, o := range m.heard {
		if o.stopping || o.silent(now) || !mesh && (!o.lead || o.host.DataCentre == m.Self.DataCentre) {
			continue
		}
		if o.refused != refused {
			if refused {
				return false
			}
			continue
		}
		if cmp.Or(cmp.Compare(o.host.DataCentre, m.Self.DataCentre), cmp.Compare(o.host.Name, m.Self.Name)) < 0 {
			return false
		}
	}
	return true
}

// Relay returns the name of the host above this one in the tree, or "" if there is none.
func (m *Members) Relay(now time.Time) cornelbay.HostName {
	if m.isMesh() {
		return ""
	}
	if o, _ := m.relay(now); o != nil {
		return o.host.Name
	}
	return ""
}

// IntervalFor returns the heartbeat interval for a number of recipients.
func IntervalFor(recipients int) time.Duration {
	return max(MinInterval, time.Duration(recipients)*intervalPerRecipient)
}
