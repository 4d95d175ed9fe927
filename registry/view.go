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

	// view is the last snapshot, whose parts the next one shares if the tables that
	// they come from have not changed; viewOf are the states of these tables.
	view   *View
	viewOf viewState
}

// viewState identifies the states of the tables that the parts of a View come from.
type viewState struct {
	routes, hosts uint64
	targets       [3]uint64 // the versions of targets, evacuations and policy
	recoveredAt   time.Time
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

// ConfigVersion returns the version of the configuration, or 0 if there is none.
func (t *Tables) ConfigVersion() uint64 {
	if r, ok := t.Policy.records[policyName]; ok {
		return r.Value.Version
	}
	return 0
}

// ReplaceRouting applies the configuration that was last changed at revision changed
// and read at revision. Unchanged routes keep their records, so that deltas to other
// hosts omit them. A configuration of an earlier version than the present one is that
// of an older copy of the store, and has no effect. It reports whether anything changed.
func (t *Tables) ReplaceRouting(now time.Time, revision, changed Revision, r Routing) bool {
	if revision < t.Routes.Revision() {
		return false
	}
	if r.Version < t.ConfigVersion() {
		t.keepRouting(revision)
		return false
	}
	var routes []Record[Route]
	for i := range r.Routes {
		rec := Record[Route]{Name: r.Routes[i].Name, Revision: changed, Value: r.Routes[i]}
		if old, ok := t.Routes.records[rec.Name]; ok && !old.Deleted && old.Revision.Era() == changed.Era() && old.Value.equal(&rec.Value) {
			rec.Revision = old.Revision
		}
		routes = append(routes, rec)
	}
	policy := t.Policy.Replace(now, revision, []Record[Policy]{{Name: policyName, Revision: changed, Value: r.Policy}})
	return t.Routes.Replace(now, revision, routes) || policy
}

// MergeRouting applies the deltas of the configuration from another host and reports
// whether anything changed. The version of the configuration decides before the
// revisions: after a restore of the store, one host may have read an older configuration
// at a revision at which another has kept a later one.
func (t *Tables) MergeRouting(now time.Time, policy Delta[Policy], routes Delta[Route]) bool {
	own := t.ConfigVersion()
	for _, r := range policy.Records {
		if r.Value.Version < own {
			t.keepRouting(policy.Revision)
			return false
		}
		if r.Value.Version > own && policy.Full && routes.Full && policy.Revision <= t.Policy.Revision() {
			t.Policy.adopt(now, policy)
			t.Routes.adopt(now, routes)
			return true
		}
	}
	changed := t.Policy.Merge(now, policy)
	return t.Routes.Merge(now, routes) || changed
}

// keepRouting advances the tables of the configuration without changing them.
func (t *Tables) keepRouting(revision Revision) {
	t.Policy.keep(revision)
	t.Routes.keep(revision)
}

// ExpiryGrace is the time after a recovery of the targets table in which targets that
// disappear are still used unless they were draining: their announcements may have
// expired during a store outage. Targets that are alive announce themselves again
// within that time.
const ExpiryGrace = 2 * time.Second

const (
	// RewriteTime is the time after a restore of the store in which operators write again
	// what the older copy lacks. An evacuation that the copy lacks stays in force for that
	// long.
	RewriteTime = 15 * time.Second
	// LeaseTime is longer than the store keeps a target that doesn't announce itself. A
	// target that was known to be deleted, but is back with an older copy of the store, is
	// alive if the store still lists it after that time.
	LeaseTime = 5 * time.Second
)

// Restore returns the state of a target after the store came back from an older copy:
// that of the later start, and draining if it was known to be, as a target doesn't end
// its draining.
func (t Target) Restore(copied Target) Target {
	switch {
	case t.StartedMs > copied.StartedMs:
		return t
	case t.StartedMs == copied.StartedMs && t.Number == copied.Number:
		copied.Draining = copied.Draining || t.Draining
	}
	return copied
}

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
	// HeldUntil is the end of the time in which a target gets no new flows because it may
	// be deleted although the store lists it; see Record.Returned.
	HeldUntil time.Time
	// Evacuated is true while the target's data centre is evacuated.
	Evacuated bool
	// EvacuatedUntil is the end of an evacuation that the store has lost.
	EvacuatedUntil time.Time
	// Shadowed is true if an earlier target has the same cookie; the target then gets
	// no flows.
	Shadowed bool
	// ColdPerSecond is the rate of requests that the target can handle while cold.
	ColdPerSecond float64
}

// Usable reports whether new flows may be opened at the target.
func (m *Endpoint) Usable(now time.Time) bool {
	if m.Draining || m.Evacuated || m.Shadowed || now.Before(m.EvacuatedUntil) || now.Before(m.HeldUntil) {
		return false
	}
	return !m.Deleted || now.Before(m.GraceUntil)
}

// View is an immutable snapshot of the tables for the packet path. Views share the parts
// that have not changed between them.
type View struct {
	// Version is that of the configuration.
	Version uint64
	Routes  map[netip.AddrPort]*Route
	// Services and Cookies hold unusable and deleted targets as well.
	Services map[cornelbay.ServiceName][]*Endpoint
	Cookies  map[uint32]*Endpoint
	Hosts    []Host
	// HostsChanged is true if the registered hosts are not those of the view before.
	HostsChanged bool
}

// View returns a snapshot of the tables.
func (t *Tables) View() *View {
	now := viewState{
		routes: t.Routes.version, hosts: t.Hosts.version,
		targets:     [3]uint64{t.Targets.version, t.Evacuations.version, t.Policy.version},
		recoveredAt: t.Targets.recoveredAt,
	}
	v, last := &View{Version: t.ConfigVersion()}, t.view
	if last != nil && now.routes == t.viewOf.routes {
		v.Routes = last.Routes
	} else {
		v.Routes = t.viewRoutes()
	}
	if last != nil && now.hosts == t.viewOf.hosts {
		v.Hosts = last.Hosts
	} else {
		v.Hosts, v.HostsChanged = t.viewHosts(), true
	}
	if last != nil && now.targets == t.viewOf.targets && now.recoveredAt.Equal(t.viewOf.recoveredAt) {
		v.Services, v.Cookies = last.Services, last.Cookies
	} else {
		t.viewTargets(v)
	}
	t.view, t.viewOf = v, now
	return v
}

func (t *Tables) viewRoutes() map[netip.AddrPort]*Route {
	routes := make(map[netip.AddrPort]*Route, len(t.Routes.records))
	for _, r := range t.Routes.All() {
		if !r.Deleted {
			routes[r.Value.Address] = &r.Value
		}
	}
	return routes
}

// viewHosts returns the registered hosts by name. Those whose records the store has lost
// are about to register again.
func (t *Tables) viewHosts() []Host {
	var hosts []Host
	for _, r := range t.Hosts.All() {
		if (!r.Deleted || r.Lost) && r.Value.Check() == nil {
			hosts = append(hosts, r.Value)
		}
	}
	return hosts
}

func (t *Tables) viewTargets(v *View) {
	v.Services = make(map[cornelbay.ServiceName][]*Endpoint)
	v.Cookies = make(map[uint32]*Endpoint, len(t.Targets.records))
	coldRates := make(map[cornelbay.ServiceName]float64)
	if r, ok := t.Policy.records[policyName]; ok {
		for _, s := range r.Value.Services {
			coldRates[s.Name] = s.ColdPerSecond
		}
	}
	evacuated := make(map[cornelbay.DataCentreName]bool)
	lostEvacuations := make(map[cornelbay.DataCentreName]time.Time)
	for _, r := range t.Evacuations.records {
		switch dc := r.Value.DataCentre; {
		case !r.Deleted:
			evacuated[dc] = true
		case r.Lost:
			lostEvacuations[dc] = r.LearnedAt.Add(RewriteTime)
		}
	}
	for _, r := range t.Targets.All() {
		if r.Value.Check() != nil {
			continue // from a host of an earlier version, which checks less
		}
		m := t.endpoint(&r)
		m.Evacuated, m.EvacuatedUntil = evacuated[m.DataCentre], lostEvacuations[m.DataCentre]
		m.ColdPerSecond = coldRates[m.Service]
		v.add(m)
	}
}

func (t *Tables) endpoint(r *Record[Target]) *Endpoint {
	m := &Endpoint{Target: r.Value, Cookie: Cookie(r.Value.Number), Deleted: r.Deleted}
	if r.Value.ColdFor > 0 {
		m.ColdUntil = r.LearnedAt.Add(r.Value.ColdFor)
	}
	recovered := t.Targets.RecoveredAt()
	switch {
	case r.Returned:
		m.HeldUntil = r.LearnedAt.Add(LeaseTime)
	case !r.Deleted || r.Value.Draining:
	case r.Lost:
		m.GraceUntil = r.LearnedAt.Add(ExpiryGrace)
	case !r.LearnedAt.Before(recovered) && r.LearnedAt.Before(recovered.Add(ExpiryGrace)):
		m.GraceUntil = recovered.Add(ExpiryGrace)
	}
	return m
}

// add indexes a target by service and by cookie. Of two targets with the same cookie,
// the one that started first keeps it, and the other gets no flows. One that doesn't say when it
// started counts as the last.
func (v *View) add(m *Endpoint) {
	if other, ok := v.Cookies[m.Cookie]; ok {
		first, second := other, m
		if second.startsBefore(first) {
			first, second = second, first
		}
		second.Shadowed = true
		v.Cookies[m.Cookie] = first
	} else {
		v.Cookies[m.Cookie] = m
	}
	v.Services[m.Service] = append(v.Services[m.Service], m)
}

func (m *Endpoint) startsBefore(o *Endpoint) bool {
	switch {
	case m.StartedMs == o.StartedMs:
		return m.Number < o.Number
	case m.StartedMs == 0 || o.StartedMs == 0:
		return o.StartedMs == 0
	}
	return m.StartedMs < o.StartedMs
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
