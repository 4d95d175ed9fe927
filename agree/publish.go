package agree

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/assign"
	"github.com/cornelbay/cornelbay/flow"
)

func compareNames(a, b cornelbay.TargetName) int { return cmp.Compare(a, b) }

// publish gives the plane a new snapshot when something has changed.
func (c *Control) publish(now time.Time) {
	if !c.dirty || !c.deciding() {
		return
	}
	c.dirty = false
	old := c.Plane.Snapshot()
	snap := &flow.Snapshot{
		ByName: maps.Clone(c.byName), Self: c.Self, Hosts: c.servingNames(),
		Isolated: c.isolated(), Split: c.split(), Doubt: c.doubt,
	}
	services := make(map[cornelbay.ServiceName]*flow.Service)
	for _, s := range c.services {
		c.setOverride(now, s)
		s.prune()
		svc := c.buckets(now, s, snap.Hosts)
		services[s.Name] = svc
		snap.AddService(flow.KeyOf(s.Service), svc)
	}
	c.history = false
	for i := range c.registry {
		r := &c.registry[i]
		snap.Targets = append(snap.Targets, flow.Target{
			Name: r.Name, Tunnel: r.Tunnel, Service: services[r.service], Usable: r.usable(),
		})
	}
	c.Plane.Publish(snap)
	c.plan(old, snap)
}

func (r *registered) usable() bool { return !r.retired && !r.unreachable && r.Tunnel.IsValid() }

// servingNames returns the live hosts that decide packets, with the own one.
func (c *Control) servingNames() []cornelbay.HostName {
	out := []cornelbay.HostName{c.Self}
	for _, h := range c.members.Live {
		if c.serving[h.Name] && h.Name != c.Self {
			out = append(out, h.Name)
		}
	}
	slices.Sort(out)
	return out
}

// setOverride computes the table for buckets whose target is closed.
func (c *Control) setOverride(now time.Time, s *serviceState) {
	current, newest := s.current(), s.newest()
	if current == nil {
		return
	}
	closed := func(sh assign.Share) bool {
		i, ok := c.byName[sh.Target]
		return !ok || c.registry[i].closed(now)
	}
	if !slices.ContainsFunc(current.shares, closed) {
		s.override = nil
		return
	}
	shares := slices.DeleteFunc(slices.Clone(newest.shares), closed)
	if s.override != nil && slices.Equal(s.override.shares, shares) {
		return
	}
	s.override = &epoch{buckets: newest.buckets, shares: shares}
	c.fill(s, s.override)
}

// buckets builds the buckets and routes of a service from its living epochs.
func (c *Control) buckets(now time.Time, s *serviceState, hosts []cornelbay.HostName) *flow.Service {
	n := 1
	for _, e := range s.epochs {
		n = max(n, e.buckets)
	}
	s.resize(n)
	out := &flow.Service{Buckets: make([]flow.Bucket, n)}
	current := s.current()
	for i := range out.Buckets {
		b := &out.Buckets[i]
		*b = flow.Bucket{Place: -1, First: -1, Route: -1}
		if current != nil {
			b.Place = c.place(now, s, current, uint64(i))
		}
		b.Ambiguous = c.candidates(s, uint64(i), b)
		if b.Ambiguous || c.doubt && b.First >= 0 {
			b.Route = int32(len(out.Routes))
			out.Routes = append(out.Routes, c.route(s, i, hosts))
		}
		s.ambiguous[i] = b.Ambiguous
	}
	return out
}

func (s *serviceState) resize(n int) {
	old := len(s.ambiguous)
	for i := old; i < n; i++ {
		s.ambiguous = append(s.ambiguous, old > 0 && s.ambiguous[i&(old-1)])
		s.complete = append(s.complete, old > 0 && s.complete[i&(old-1)])
	}
	s.ambiguous, s.complete = s.ambiguous[:n], s.complete[:n]
}

// place returns the target of new flows.
func (c *Control) place(now time.Time, s *serviceState, current *epoch, hash uint64) int32 {
	at := current.at(hash)
	if s.override != nil && (at < 0 || c.registry[at].closed(now)) {
		return s.override.at(hash)
	}
	return at
}

// candidates sets the earliest target of a bucket and reports whether it has
// another one.
func (c *Control) candidates(s *serviceState, hash uint64, b *flow.Bucket) bool {
	ambiguous := false
	add := func(at int32) {
		if at < 0 || c.registry[at].retired {
			return
		}
		if b.First < 0 {
			b.First = at
		}
		ambiguous = ambiguous || at != b.First
	}
	for _, e := range s.epochs {
		add(e.at(hash))
	}
	add(b.Place)
	return ambiguous
}

// route returns the route of an ambiguous bucket.
func (c *Control) route(s *serviceState, bucket int, hosts []cornelbay.HostName) flow.Route {
	r := flow.Route{Order: flow.Stewards(s.Name, bucket, hosts), Position: len(hosts)}
	for i, h := range r.Order {
		if hosts[h] == c.Self {
			r.Position = i
		}
	}
	// A bucket that has just become ambiguous has no flow elsewhere yet.
	fresh := !s.ambiguous[bucket] && !c.history && !c.doubt && !c.split()
	s.complete[bucket] = (fresh || s.ambiguous[bucket] && s.complete[bucket]) && r.Position < flow.Keepers
	r.Complete = s.complete[bucket]
	return r
}
