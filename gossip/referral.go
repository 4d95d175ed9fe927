package gossip

import (
	"net/netip"
	"time"

	"github.com/cornelbay/cornelbay/registry"
)

const (
	// pullFanOut is the number of hosts that are sent to one host for its tables within a
	// referralPeriod. A fleet of up to fullMeshLimit other hosts is never sent elsewhere.
	pullFanOut = fullMeshLimit
	// referredFanOut is the number of hosts that are sent to each host that has asked
	// before. It is smaller, since each seed may send some to the same host.
	referredFanOut = 4
	// referralPeriod is how long a host remembers whom it has referred. Hosts that start
	// together ask within it.
	referralPeriod = 3 * time.Second
)

// Referrals spreads the pulls of hosts that ask the same host at about the same time. The
// first pullFanOut hosts pull from the host itself, and the later ones from those that have
// asked before, referredFanOut from each, so that the pulls form a tree. The zero value has referred no host. It
// is not safe for concurrent use.
type Referrals struct {
	began time.Time
	order []netip.AddrPort
	index map[netip.AddrPort]int
}

// Refer returns the hosts that the asker should pull from, in the order in which to try
// them. A host that asks again within referralPeriod gets the same answer.
func (r *Referrals) Refer(now time.Time, self, asker netip.AddrPort) []netip.AddrPort {
	if r.index == nil || now.Sub(r.began) > referralPeriod {
		r.began, r.order, r.index = now, nil, make(map[netip.AddrPort]int)
	}
	i, known := r.index[asker]
	if !known {
		i = len(r.order)
		r.index[asker] = i
		r.order = append(r.order, asker)
	}
	if i < pullFanOut {
		return []netip.AddrPort{self}
	}
	parent := (i - pullFanOut) / referredFanOut
	return []netip.AddrPort{r.order[parent], r.order[parent+1]}
}

// PullSources returns the hosts from which a starting host pulls before it asks the
// seeds, in the order in which to try them. The hosts of a group form a tree below its
// first one, and the first ones of the groups another. It returns nothing in a small fleet,
// for the first host of a data centre, and while the registered hosts are not known.
func (m *Members) PullSources() []registry.Host {
	if m.isMesh() {
		return nil
	}
	order, position := m.index()
	first := position / groupSize * groupSize
	if position == 0 {
		return nil
	}
	parent := first + (position-first-1)/referredFanOut
	if position == first {
		parent = (position/groupSize - 1) / referredFanOut * groupSize
	}
	sources := []registry.Host{order[parent].host}
	if parent+1 < position {
		sources = append(sources, order[parent+1].host)
	}
	return sources
}

// InTree reports whether this host knows its place in the tree and the named host is next
// to it there. Another relay stands in for those above a host that it doesn't know yet.
func (m *Members) InTree(now time.Time, relay registry.Host) bool {
	if m.isMesh() {
		return false
	}
	above, standIn := m.relay(now)
	return above != nil && !standIn && above.host.Name == relay.Name
}
