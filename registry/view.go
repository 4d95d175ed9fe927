package registry

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelbay/cornelbay"
)

// Tables holds all tables of a host.
type Tables struct {
	// Policy and Routes hold the configuration. They change together; the revision of
	// Routes applies to both.
	Policy      Table[Policy]
	Routes      Table[Route]
	Targets     Table[Target]
	Evacuations Table[Evacuation]
	Hosts       Table[Host]
}

// Prune drops tombstones older than TombstoneRetention from the tables and reports
// whether there were any. It leaves out the policy, which is never deleted.
func (t *Tables) Prune(now time.Time) bool {
	routing, targets := t.Routes.Prune(now), t.Targets.Prune(now)
	evacuations, hosts := t.Evacuations.Prune(now), t.Hosts.Prune(now)
	return routing || targets || evacuations || hosts
}

// SetTombstoneRetention sets the retention of tombstones in all tables.
func (t *Tables) SetTombstoneRetention(d time.Duration) {
	t.Policy.TombstoneRetention, t.Routes.TombstoneRetention, t.Targets.TombstoneRetention, t.Evacuations.TombstoneRetention, t.Hosts.TombstoneRetention = d, d, d, d, d
}

// Synced reports whether the policy, the targets and the evacuations have been
// received, so that flows can be opened. The policy needs a record, as without a
// configuration there are no routes; there may be no targets or evacuations.
func (t *Tables) Synced() bool {
	return len(t.Policy.records) > 0 && t.Targets.Revision() > 0 && t.Evacuations.Revision() > 0
}

// policyName names the single record of the policy table.
const policyName = "policy"

// ReplaceRouting applies the configuration that was last changed at revision changed
// and read at revision. Unchanged routes keep their records, so that deltas to other
// hosts omit them. It reports whether anything changed.
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

// ExpiryGrace is the time after a recovery of the targets table in which targets that
// disappear are still used unless they were draining: their announcements may have
// expired during a store outage. Targets that are alive announce themselves again
// within that time.
const ExpiryGrace = 2 * time.Second

// Endpoint is a target with its state as the packet path uses it.
type Endpoint struct {
	Target
	// Cookie identifies the target in the packets of its flows.
	Cookie uint32
	// ColdUntil is when the target's warm-up ends.
	ColdUntil time.Time
	// GraceUntil is the end of the time in which a target that expired without
	// draining may still be used; it is zero for targets that the store lists.
	GraceUntil time.Time
	// Deleted is true for a target that the store no longer lists. It gets packets of
	// its open flows, but new flows only until GraceUntil.
	Deleted bool
	// Evacuated is true while the target's data centre is evacuated.
	Evacuated bool
	// Shadowed is true if an earlier target has the same cookie; the target then gets
	// no flows.
	Shadowed bool
	// ColdPerSecond is the rate of requests that the target can handle while cold.
	ColdPerSecond float64
}

// Usable reports whether new flows may be opened at the target.
func (m *Endpoint) Usable(now time.Time) bool {
	if m.Draining || m.Evacuated || m.Shadowed {
		return false
	}
	return !m.Deleted || now.Before(m.GraceUntil)
}

// View is an immutable snapshot of the tables for the packet path.
type View struct {
	// Version is that of the configuration.
	Version uint64
	Routes  map[netip.AddrPort]*Route
	// Services and Cookies hold unusable and deleted targets as well.
	Services map[cornelbay.ServiceName][]*Endpoint
	Cookies  map[uint32]*Endpoint
	Hosts    []Host
}

// View returns a snapshot of the tables.
func (t *Tables) View() *View {
	v := &View{
		Routes:   make(map[netip.AddrPort]*Route),
		Services: make(map[cornelbay.ServiceName][]*Endpoint),
		Cookies:  make(map[uint32]*Endpoint),
	}
	coldRates := make(map[cornelbay.ServiceName]float64)
	for _, r := range t.Policy.All() {
		v.Version = r.Value.Version
		for _, s := range r.Value.Services {
			coldRates[s.Name] = s.ColdPerSecond
		}
	}
	for _, r := range t.Routes.All() {
		if !r.Deleted {
			v.Routes[r.Value.Address] = &r.Value
		}
	}
	evacuated := make(map[cornelbay.DataCentreName]bool)
	for _, r := range t.Evacuations.All() {
		evacuated[r.Value.DataCentre] = evacuated[r.Value.DataCentre] || !r.Deleted
	}
	for _, r := range t.Targets.All() {
		m := t.endpoint(&r)
		m.Evacuated, m.ColdPerSecond = evacuated[m.DataCentre], coldRates[m.Service]
		v.add(m)
	}
	for _, r := range t.Hosts.All() {
		if !r.Deleted {
			v.Hosts = append(v.Hosts, r.Value)
		}
	}
	return v
}

func (t *Tables) endpoint(r *Record[Target]) *Endpoint {
	m := &Endpoint{Target: r.Value, Cookie: Cookie(r.Value.Number), Deleted: r.Deleted}
	if r.Value.ColdFor > 0 {
		m.ColdUntil = r.LearnedAt.Add(r.Value.ColdFor)
	}
	recovered := t.Targets.RecoveredAt()
	if r.Deleted && !r.Value.Draining && !r.LearnedAt.Before(recovered) && r.LearnedAt.Before(recovered.Add(ExpiryGrace)) {
		m.GraceUntil = recovered.Add(ExpiryGrace)
	}
	return m
}

// add indexes a target by service and by cookie. Of two targets with the same cookie,
// the one that started first keeps it, and the other gets no flows.
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

// Service returns the service for a flow on the route. The choice depends on the
// flow's source only, so that all hosts agree on it.
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

// Cookie returns the cookie of the target with a number: the number itself if it fits
// into 32 bits, else a hash of it. It is the same at every host and never 0.
func Cookie(number uint64) uint32 {
	if number > 0 && number <= 0xffffffff {
		return uint32(number)
	}
	h := uint32(xxhash.Sum64(binary.BigEndian.AppendUint64(nil, number)))
	return max(h, 1)
}
