package registry

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelbay/cornelbay"
)

// Tables are all tables of a host.
type Tables struct {
	// Policy and Routes hold the configuration. They change together, and Routes
	// has the revision of both.
	Policy      Table[Policy]
	Routes      Table[Route]
	Targets     Table[Target]
	Evacuations Table[Evacuation]
	Hosts       Table[Host]
}

// Prune drops what has been gone for long from every table, and reports whether
// there was anything.
func (t *Tables) Prune(now time.Time) bool {
	routing, targets := t.Routes.Prune(now), t.Targets.Prune(now)
	evacuations, hosts := t.Evacuations.Prune(now), t.Hosts.Prune(now)
	return routing || targets || evacuations || hosts
}

// SetTombstoneRetention sets how long records of objects that are gone are kept.
func (t *Tables) SetTombstoneRetention(d time.Duration) {
	t.Policy.TombstoneRetention, t.Routes.TombstoneRetention, t.Targets.TombstoneRetention, t.Evacuations.TombstoneRetention, t.Hosts.TombstoneRetention = d, d, d, d, d
}

// Synced reports whether enough is known to open flows.
func (t *Tables) Synced() bool {
	return len(t.Policy.records) > 0 && t.Targets.Revision() > 0 && t.Evacuations.Revision() > 0
}

// policyName is the name of the only record of the policy.
const policyName = "policy"

// ReplaceRouting takes over the configuration whose last change was at changed, as
// it is at a revision. Routes that are as before keep their records, so that
// other hosts are told of the others only. It reports whether anything changed.
func (t *Tables) ReplaceRouting(now time.Time, revision, changed uint64, r Routing) bool {
	if revision < t.Routes.Revision() {
		return false
	}
	var routes []Record[Route]
	for i := range r.Routes {
		rec := Record[Route]{Name: r.Routes[i].Name, Revision: changed, Value: r.Routes[i]}
		if old, ok := t.Routes.records[rec.Name]; ok && !old.Deleted && old.Value.equal(&rec.Value) {
			rec.Revision = old.Revision
		}
		routes = append(routes, rec)
	}
	policy := t.Policy.Replace(now, revision, []Record[Policy]{{Name: policyName, Revision: changed, Value: r.Policy}})
	return t.Routes.Replace(now, revision, routes) || policy
}

// ExpiryGrace is how long after the store is back targets are still used that
// have lapsed there meanwhile: those that live announce themselves within it.
const ExpiryGrace = 2 * time.Second

// Endpoint is a target as the traffic path uses it.
type Endpoint struct {
	Target
	// Cookie names the target in the packets of its flows.
	Cookie uint32
	// ColdUntil is when the target is warm.
	ColdUntil time.Time
	// GraceUntil is when a target that has lapsed without draining is no longer
	// used; it is zero for targets that the store lists.
	GraceUntil time.Time
	// Deleted is true for a target that only gets packets of flows it may still hold.
	Deleted bool
	// Evacuated is true while the target's data centre is evacuated.
	Evacuated bool
	// Shadowed is true when an earlier target has the same cookie.
	Shadowed bool
	// ColdPerSecond is the rate of requests that the target bears while cold.
	ColdPerSecond float64
}

// Usable reports whether new flows may be opened at the target.
func (m *Endpoint) Usable(now time.Time) bool {
	if m.Draining || m.Evacuated || m.Shadowed {
		return false
	}
	return !m.Deleted || now.Before(m.GraceUntil)
}

// View is an immutable picture of the tables for the traffic path.
type View struct {
	Version  uint64
	Routes   map[netip.AddrPort]*Route
	Services map[cornelbay.ServiceName][]*Endpoint
	Cookies  map[uint32]*Endpoint
	Hosts    []Host
}

// View returns a picture of the tables as they are now.
func (t *Tables) View() *View {
	v := &View{
		Routes:   make(map[netip.AddrPort]*Route),
		Services: make(map[cornelbay.ServiceName][]*Endpoint),
		Cookies:  make(map[uint32]*Endpoint),
	}
	cold := make(map[cornelbay.ServiceName]float64)
	for _, r := range t.Policy.All() {
		v.Version = r.Value.Version
		for _, s := range r.Value.Services {
			cold[s.Name] = s.ColdPerSecond
		}
	}
	for _, r := range t.Routes.All() {
		if !r.Deleted {
			v.Routes[r.Value.Address] = &r.Value
		}
	}
	out := make(map[cornelbay.DataCentreName]bool)
	for _, r := range t.Evacuations.All() {
		out[r.Value.DataCentre] = out[r.Value.DataCentre] || !r.Deleted
	}
	for _, r := range t.Targets.All() {
		m := t.member(&r)
		m.Evacuated, m.ColdPerSecond = out[m.DataCentre], cold[m.Service]
		v.add(m)
	}
	for _, r := range t.Hosts.All() {
		if !r.Deleted {
			v.Hosts = append(v.Hosts, r.Value)
		}
	}
	return v
}

func (t *Tables) member(r *Record[Target]) *Endpoint {
	m := &Endpoint{Target: r.Value, Cookie: Cookie(r.Value.Number), Deleted: r.Deleted}
	if r.Value.ColdFor > 0 {
		m.ColdUntil = r.LearnedAt.Add(r.Value.ColdFor)
	}
	back := t.Targets.RecoveredAt()
	if r.Deleted && !r.Value.Draining && !r.LearnedAt.Before(back) && r.LearnedAt.Before(back.Add(ExpiryGrace)) {
		m.GraceUntil = back.Add(ExpiryGrace)
	}
	return m
}

// add files a target under its service and its cookie. Of two targets with one
// cookie the one that started first keeps it, and the other gets no flows.
func (v *View) add(m *Endpoint) {
	if other, ok := v.Cookies[m.Cookie]; ok {
		first, second := other, m
		if second.StartedMs < first.StartedMs || second.StartedMs == first.StartedMs && second.Number < first.Number {
			first, second = second, first
		}
		second.Shadowed = true
		v.Cookies[m.Cookie] = first
	} else {
		v.Cookies[m.Cookie] = m
	}
	v.Services[m.Service] = append(v.Services[m.Service], m)
}

// Service returns the service that a flow over a route goes to: the same one at
// every host, by the flow's source.
func (r *Route) Service(source netip.AddrPort) (cornelbay.ServiceName, bool) {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total <= 0 {
		return "", false
	}
	at := int(hashAddress(source) % uint64(total))
	i := slices.IndexFunc(r.Shares, func(s Share) bool {
		at -= s.Weight
		return at < 0
	})
	return r.Shares[i].Service, true
}

func hashAddress(a netip.AddrPort) uint64 {
	b := a.Addr().As16()
	return xxhash.Sum64(binary.BigEndian.AppendUint16(b[:], a.Port()))
}

// Cookie returns the cookie of the target with a number: the number itself where
// it fits, else a hash of it. It is the same at every host and never 0.
func Cookie(number uint64) uint32 {
	if number > 0 && number <= 0xffffffff {
		return uint32(number)
	}
	h := uint32(xxhash.Sum64(binary.BigEndian.AppendUint64(nil, number)))
	return max(h, 1)
}
