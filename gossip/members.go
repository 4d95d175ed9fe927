package gossip

import (
	"cmp"
	"slices"
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/registry"
)

const (
	// MinInterval is the least time between two pulses of a host.
	MinInterval = 150 * time.Millisecond
	// pausePerHost bounds the pulses of a host to 50 datagrams a second: with more
	// hosts to tell, the interval grows.
	pausePerHost = 20 * time.Millisecond
	// silentPulses is the number of pulses after whose loss a host no longer counts
	// as alive, so that one that is lost changes nothing.
	silentPulses = 4
	// readersPerDataCentre is the number of hosts of a data centre that read the
	// store for the others.
	readersPerDataCentre = 1
	// smallFleet is the number of other hosts up to which all tell all.
	smallFleet = 12
	// contactsPerDataCentre is the number of hosts of another data centre that a
	// reader tells in a larger fleet.
	contactsPerDataCentre = 2
	// replyPause is the least time between two answers to pulses of one host.
	replyPause = 300 * time.Millisecond
)

// member is what is known of another host.
type member struct {
	host        registry.Host
	incarnation cornelbay.Incarnation
	heard       time.Time
	stopping    bool
	every       time.Duration
	replied     time.Time
}

func (o *member) silent(now time.Time) bool { return now.Sub(o.heard) > silentPulses*o.every }

// Members are the other hosts as their pulses show them; the zero value knows
// none. It is not safe for concurrent use.
type Members struct {
	Self registry.Host

	members map[cornelbay.HostName]*member
}

// Observe notes a pulse and reports whether its host was silent or unknown before, or
// has started again and knows nothing of before. One
// that is an answer does not make its host one that is heard: none may follow.
func (m *Members) Observe(now time.Time, incarnation cornelbay.Incarnation, p Heartbeat) bool {
	if p.IntervalMs == 0 {
		return false
	}
	if m.members == nil {
		m.members = make(map[cornelbay.HostName]*member)
	}
	o, ok := m.members[p.Host.Name]
	if !ok {
		o = &member{}
		m.members[p.Host.Name] = o
	}
	back := !ok || o.silent(now) || o.incarnation != incarnation
	o.host, o.incarnation, o.heard, o.stopping = p.Host, incarnation, now, p.Stopping
	o.every = max(time.Duration(p.IntervalMs)*time.Millisecond, MinInterval)
	return back
}

// ShouldReply reports whether a pulse of a host that is not told of changes otherwise
// should be answered now.
func (m *Members) ShouldReply(now time.Time, name cornelbay.HostName) bool {
	o, ok := m.members[name]
	if !ok || o.host.DataCentre == m.Self.DataCentre || now.Sub(o.replied) < replyPause {
		return false
	}
	o.replied = now
	return true
}

// Incarnation returns the last incarnation that was heard of a host, or 0.
func (m *Members) Incarnation(name cornelbay.HostName) cornelbay.Incarnation {
	if o, ok := m.members[name]; ok {
		return o.incarnation
	}
	return 0
}

// FellSilent returns the hosts whose silence has reached its bound since before.
func (m *Members) FellSilent(before, now time.Time) []registry.Host {
	var lost []registry.Host
	for _, o := range m.members {
		if !o.silent(before) && o.silent(now) {
			lost = append(lost, o.host)
		}
	}
	return lost
}

// Alive returns the other hosts that are heard, by name.
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

// IsReader reports whether the own host is one of those of its data centre that read
// the store. All hosts that hear each other agree on it without a vote; hosts
// that do not hear each other may both read, which costs calls only.
func (m *Members) IsReader(now time.Time) bool {
	before := 0
	for _, h := range m.Alive(now) {
		if h.DataCentre == m.Self.DataCentre && h.Name < m.Self.Name {
			before++
		}
	}
	return before < readersPerDataCentre
}

// Recipients returns the hosts that are told by pulses: all others in a small
// fleet, else those of the own data centre, and for a host that reads some of each
// other data centre. The hosts on record that are not heard are told as well.
func (m *Members) Recipients(now time.Time, onRecord []registry.Host, reads bool) []registry.Host {
	all := m.Alive(now)
	known := make(map[cornelbay.HostName]bool, len(all))
	for _, h := range all {
		known[h.Name] = true
	}
	for _, h := range onRecord {
		if !known[h.Name] && h.Name != m.Self.Name {
			all = append(all, h)
		}
	}
	if len(all) <= smallFleet {
		return all
	}
	var to []registry.Host
	contacts := make(map[cornelbay.DataCentreName]int)
	for _, h := range all {
		if h.DataCentre != m.Self.DataCentre {
			contacts[h.DataCentre]++
			if !reads || contacts[h.DataCentre] > contactsPerDataCentre {
				continue
			}
		}
		to = append(to, h)
	}
	return to
}

// IntervalFor returns the interval of the pulses to a number of hosts.
func IntervalFor(recipients int) time.Duration {
	return max(MinInterval, time.Duration(recipients)*pausePerHost)
}
