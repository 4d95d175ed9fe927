package gossip

import (
	"cmp"
	"slices"
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/registry"
)

const (
	// Interval is the time between two pulses of a host.
	Interval = 150 * time.Millisecond
	// silentAfter is the silence after which another host no longer counts as
	// alive: four pulses, so that one that is lost changes nothing.
	silentAfter = 4 * Interval
	// readersPerDataCentre is the number of hosts of a data centre that read the
	// store for the others.
	readersPerDataCentre = 1
)

// member is what is known of another host.
type member struct {
	host        registry.Host
	incarnation cornelbay.Incarnation
	heard       time.Time
	stopping    bool
	reads       bool
}

// Members are the other hosts as their pulses show them; the zero value knows
// none. It is not safe for concurrent use.
type Members struct {
	Self registry.Host

	members map[cornelbay.HostName]*member
}

// Hear notes a pulse and reports whether its host was silent or unknown before.
func (m *Members) Hear(now time.Time, incarnation cornelbay.Incarnation, p Pulse) bool {
	if m.members == nil {
		m.members = make(map[cornelbay.HostName]*member)
	}
	old, ok := m.members[p.Host.Name]
	back := !ok || now.Sub(old.heard) > silentAfter
	m.members[p.Host.Name] = &member{p.Host, incarnation, now, p.Stopping, p.Reads}
	return back
}

// Incarnation returns the last incarnation that was heard of a host, or 0.
func (m *Members) Incarnation(name cornelbay.HostName) cornelbay.Incarnation {
	if o, ok := m.members[name]; ok {
		return o.incarnation
	}
	return 0
}

// Lost returns the hosts that were heard before and have been silent since a
// time ago that lies between silentAfter and one interval more.
func (m *Members) Lost(now time.Time) []registry.Host {
	var lost []registry.Host
	for _, o := range m.members {
		if silence := now.Sub(o.heard); silence > silentAfter && silence <= silentAfter+Interval {
			lost = append(lost, o.host)
		}
	}
	return lost
}

// Alive returns the other hosts that are heard, by name.
func (m *Members) Alive(now time.Time) []registry.Host {
	var alive []registry.Host
	for _, o := range m.members {
		if now.Sub(o.heard) <= silentAfter && !o.stopping {
			alive = append(alive, o.host)
		}
	}
	slices.SortFunc(alive, func(a, b registry.Host) int { return cmp.Compare(a.Name, b.Name) })
	return alive
}

// Reads reports whether the own host is one of those of its data centre that read
// the store. All hosts that hear each other agree on it without a vote; hosts
// that do not hear each other may both read, which costs calls only.
func (m *Members) Reads(now time.Time) bool {
	before := 0
	for _, h := range m.Alive(now) {
		if h.DataCentre == m.Self.DataCentre && h.Name < m.Self.Name {
			before++
		}
	}
	return before < readersPerDataCentre
}
