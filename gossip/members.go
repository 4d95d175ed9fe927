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
	silentAfterIntervals = 4
	// readersPerDataCentre is the number of hosts of a data centre that read the store
	// for the others.
	readersPerDataCentre = 1
	// fullMeshLimit is the number of other hosts up to which every host sends
	// heartbeats to every other.
	fullMeshLimit = 12
	// recipientsPerRemoteDataCentre is the number of hosts in each other data centre
	// that a reader sends heartbeats to in a larger fleet.
	recipientsPerRemoteDataCentre = 2
	// minReplyInterval is the shortest time between two replies to heartbeats of the
	// same host.
	minReplyInterval = 300 * time.Millisecond
)

// peerState is the last known state of another host.
type peerState struct {
	host        registry.Host
	incarnation cornelbay.Incarnation
	lastHeard   time.Time
	stopping    bool
	interval    time.Duration
	lastReply   time.Time
}

func (o *peerState) silent(now time.Time) bool {
	return now.Sub(o.lastHeard) > silentAfterIntervals*o.interval
}

// Members tracks the other hosts by their heartbeats. The zero value knows no hosts.
// It is not safe for concurrent use.
type Members struct {
	Self registry.Host

	members map[cornelbay.HostName]*peerState
}

// Observe records a heartbeat. It reports whether the host was unknown or silent
// before, or has restarted and so lost its state. A reply doesn't make its sender
// alive, as no further heartbeat may follow.
func (m *Members) Observe(now time.Time, incarnation cornelbay.Incarnation, hb Heartbeat) bool {
	if hb.IntervalMs == 0 {
		return false
	}
	if m.members == nil {
		m.members = make(map[cornelbay.HostName]*peerState)
	}
	o, ok := m.members[hb.Host.Name]
	if !ok {
		o = &peerState{}
		m.members[hb.Host.Name] = o
	}
	isNew := !ok || o.silent(now) || o.incarnation != incarnation
	o.host, o.incarnation, o.lastHeard, o.stopping = hb.Host, incarnation, now, hb.Stopping
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
	for _, o := range m.members {
		if !o.silent(before) && o.silent(now) {
			newlySilent = append(newlySilent, o.host)
		}
	}
	return newlySilent
}

// Alive returns the other hosts that are neither silent nor stopping, sorted by name.
func (m *Members) Alive(now time.Time) []registry.Host {
	var alive []registry.Host
	for _, o := range m.members {
		if !o.silent(now) && !o.stopping {
			alive = append(alive, o.host)
		}
	}
	slices.SortFunc(alive, func(a, b registry.Host) int { return cmp.Compare(a.Name, b.Name) })
	return alive
}

// IsReader reports whether this host is one of those of its data centre that read the
// store: the first ones alive by name. Hosts that hear each other agree on the readers
// without a vote. If hosts don't hear each other, several may read, which only costs
// extra calls. A stopping host still counts itself, although the others no longer do.
func (m *Members) IsReader(now time.Time) bool {
	earlier := 0
	for _, h := range m.Alive(now) {
		if h.DataCentre == m.Self.DataCentre && h.Name < m.Self.Name {
			earlier++
		}
	}
	return earlier < readersPerDataCentre
}

// Recipients returns the hosts to send heartbeats to: all others in a small fleet,
// else those of the own data centre and, for a reader, some of each other data centre.
// Registered hosts count as others even if they have not been heard.
func (m *Members) Recipients(now time.Time, registered []registry.Host, reader bool) []registry.Host {
	all := m.Alive(now)
	known := make(map[cornelbay.HostName]bool, len(all))
	for _, h := range all {
		known[h.Name] = true
	}
	for _, h := range registered {
		if !known[h.Name] && h.Name != m.Self.Name {
			all = append(all, h)
		}
	}
	if len(all) <= fullMeshLimit {
		return all
	}
	var to []registry.Host
	perDataCentre := make(map[cornelbay.DataCentreName]int)
	for _, h := range all {
		if h.DataCentre != m.Self.DataCentre {
			perDataCentre[h.DataCentre]++
			if !reader || perDataCentre[h.DataCentre] > recipientsPerRemoteDataCentre {
				continue
			}
		}
		to = append(to, h)
	}
	return to
}

// IntervalFor returns the heartbeat interval for a number of recipients.
func IntervalFor(recipients int) time.Duration {
	return max(MinInterval, time.Duration(recipients)*intervalPerRecipient)
}
