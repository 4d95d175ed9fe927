package gossip

import (
	"cmp"
	"slices"
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/registry"
)

// In a fleet of more than fullMeshLimit other hosts, heartbeats follow a tree in each data
// centre, so that what a host sends and receives does not grow with the fleet. The hosts
// of a data centre, in the order of their names, form groups. The first host of a group
// that is alive relays for it: the others send it their heartbeats, and it sends them the
// sums. The relays of the other groups do the same with that of the first group, which
// leads the data centre and exchanges heartbeats with the leads of the others.
const (
	groupSize = 32
	// RelayInterval is the time between two heartbeats of a host in the tree.
	RelayInterval = 250 * time.Millisecond
	// takeoverStep is the head start that a host has over the next one of its group when
	// their relay has fallen silent.
	takeoverStep = 50 * time.Millisecond
	// fullMeshLimit is the number of other hosts up to which every host sends heartbeats to
	// every other.
	fullMeshLimit = 12
)

// Neighbours are the hosts that a host sends heartbeats to.
type Neighbours struct {
	// Mesh holds all other hosts in a small fleet. The other fields are then empty.
	Mesh []registry.Host
	// Lead is true for the host that leads its data centre.
	Lead bool
	// Relay is the host to send reports to. Its name is empty if there is none, as for a
	// lead.
	Relay registry.Host
	// StandIn is true if Relay isn't above this host in the tree, but a seed that relays
	// for hosts that don't know their place yet.
	StandIn bool
	// Below are the hosts to send sums to.
	Below []registry.Host
	// Leads are hosts of other data centres, for a lead.
	Leads []registry.Host
}

// All returns the addresses of all neighbours.
func (n Neighbours) All() []registry.Host {
	all := slices.Concat(n.Mesh, n.Below, n.Leads)
	if n.Relay.Name != "" {
		all = append(all, n.Relay)
	}
	return all
}

// Interval returns the time between two heartbeats to the neighbours.
func (n Neighbours) Interval() time.Duration {
	if len(n.Below) == 0 && n.Relay.Name == "" {
		return IntervalFor(len(n.Mesh))
	}
	return RelayInterval
}

// Neighbours returns the hosts to send heartbeats to now.
func (m *Members) Neighbours(now time.Time) Neighbours {
	m.forget(now)
	if m.isMesh() {
		return Neighbours{Mesh: m.Known()}
	}
	n := Neighbours{Lead: m.Leads(now)}
	above, standIn := m.relay(now)
	m.guesses++
	if above != nil && !above.silent(now) {
		m.guesses = 0
	}
	if above != nil {
		n.Relay, n.StandIn = above.host, standIn
	}
	n.Below = m.below(now, above)
	if n.Lead {
		n.Leads = m.remoteLeads(now)
	}
	return n
}

// isMesh reports whether the fleet is small enough for heartbeats from all to all.
func (m *Members) isMesh() bool { return len(m.members) <= fullMeshLimit }

// index returns the known hosts of the own data centre by name, and the position of this
// host among them.
func (m *Members) index() ([]*peerState, int) {
	if m.order != nil {
		return m.order, m.position
	}
	byName := func(a, b *peerState) int { return cmp.Compare(a.host.Name, b.host.Name) }
	m.order, m.remote = []*peerState{{host: m.Self}}, make(map[cornelbay.DataCentreName][]*peerState)
	for _, o := range m.members {
		if dc := o.host.DataCentre; dc == m.Self.DataCentre {
			m.order = append(m.order, o)
		} else {
			m.remote[dc] = append(m.remote[dc], o)
		}
	}
	slices.SortFunc(m.order, byName)
	for _, hosts := range m.remote {
		slices.SortFunc(hosts, byName)
	}
	m.position = slices.IndexFunc(m.order, func(o *peerState) bool { return o.host.Name == m.Self.Name })
	return m.order, m.position
}

// Rank returns the position of this host among the known hosts of its data centre.
func (m *Members) Rank() int {
	_, position := m.index()
	return position
}

// relays reports whether this host relays for its group, since the earlier hosts of the
// group have been silent for so long that it is this host's turn.
func (m *Members) relays(now time.Time) bool {
	order, position := m.index()
	earlier := order[position/groupSize*groupSize : position]
	last := -1
	for i, o := range earlier {
		if !o.stopping && (last < 0 || o.signOfLife().After(earlier[last].signOfLife())) {
			last = i
		}
	}
	if last < 0 {
		return true
	}
	wait := earlier[last].silentAfter() + time.Duration(len(earlier)-1-last)*takeoverStep
	return now.Sub(earlier[last].signOfLife()) > wait
}

// IsAlone reports whether this host hears no host that could tell it of changes.
func (m *Members) IsAlone(now time.Time) bool {
	if m.isMesh() {
		return len(m.Alive(now)) == 0
	}
	above, _ := m.relay(now)
	return !m.Leads(now) && (above == nil || above.silent(now))
}

// Leads reports whether this host leads its data centre.
func (m *Members) Leads(now time.Time) bool {
	_, position := m.index()
	return position < groupSize && m.relays(now)
}

// relay returns the host above this one: the first relay of its data centre that it hears,
// or the host that should be. Without one it returns any relay that it hears, as a
// stand-in.
func (m *Members) relay(now time.Time) (above *peerState, standIn bool) {
	order, position := m.index()
	for _, o := range order[:position] {
		if o.relay && !o.stopping && !o.silent(now) {
			return o, false
		}
	}
	if m.Leads(now) {
		return nil, false
	}
	first := position / groupSize * groupSize
	switch {
	case m.relays(now):
		// The relay of a later group reports to the lead. Without having heard it, it tries
		// the hosts of the first group in turn.
		return order[m.guesses%groupSize], false
	case now.Sub(order[first].signOfLife()) <= order[first].silentAfter():
		return order[first], false
	}
	for _, o := range m.heard {
		if o.relay && !o.stopping && !o.silent(now) && (above == nil || o.host.Name < above.host.Name) {
			above = o
		}
	}
	return above, above != nil
}

// below returns the hosts that this one sends sums to: those of its group if it relays for
// it, and all that report to it, whatever their view of the tree.
func (m *Members) below(now time.Time, above *peerState) []registry.Host {
	order, position := m.index()
	var to []registry.Host
	if m.relays(now) {
		for _, o := range order[position+1 : min((position/groupSize+1)*groupSize, len(order))] {
			to = append(to, o.host)
		}
	}
	inGroup := len(to)
	for _, o := range m.heard {
		if o == above || o.relay || o.lead || o.silent(now) {
			continue
		}
		if !slices.ContainsFunc(to[:inGroup], func(h registry.Host) bool { return h.Name == o.host.Name }) {
			to = append(to, o.host)
		}
	}
	return to
}

// remoteLeads returns the leads of the other data centres that this host hears. Of each
// one whose lead it doesn't hear it returns the first host and one of the others in turn.
func (m *Members) remoteLeads(now time.Time) []registry.Host {
	m.index()
	if m.leadGuesses == nil {
		m.leadGuesses = make(map[cornelbay.DataCentreName]int)
	}
	var to []registry.Host
	for dc, hosts := range m.remote {
		heard := false
		for _, o := range hosts {
			if o.lead && !o.stopping && !o.silent(now) {
				to, heard = append(to, o.host), true
			}
		}
		if heard {
			m.leadGuesses[dc] = 0
			continue
		}
		to = append(to, hosts[0].host)
		if others := hosts[1:]; len(others) > 0 {
			to = append(to, others[m.leadGuesses[dc]%len(others)].host)
		}
		m.leadGuesses[dc]++
	}
	return to
}
