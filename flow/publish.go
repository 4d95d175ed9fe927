package flow

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/assign"
)

func compareNames(a, b cornelbay.TargetName) int { return cmp.Compare(a, b) }

// publish gives the plane a new snapshot when something has changed.
func (c *Control) publish(now time.Time) {
	if !c.dirty || !c.deciding() {
		return
	}
	c.dirty = false
	old := c.Plane.snapshot.Load()
	snap := &Snapshot{
		services: make(map[serviceKey]*service), services4: make(map[uint64]*service),
		byName: make(map[cornelbay.TargetName]int32),
		self:   c.Self, hosts: c.servingNames(), isolated: c.isolated(), split: c.split(),
	}
	services := make(map[cornelbay.ServiceName]*service)
	for _, s := range c.services {
		c.setOverride(now, s)
		s.prune()
		svc := c.buckets(now, s, snap.hosts)
		services[s.Name] = svc
		snap.addService(serviceKey{netip.AddrPortFrom(s.Address, s.Port), s.Protocol.Number()}, svc)
	}
	c.history = false
	for i := range c.registry {
		r := &c.registry[i]
		snap.targets = append(snap.targets, target{
			name: r.Name, tunnel: r.Tunnel, service: services[r.service], usable: r.usable(),
		})
	}
	for name, i := range c.byName {
		snap.byName[name] = i
	}
	c.Plane.snapshot.Store(snap)
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
func (c *Control) buckets(now time.Time, s *serviceState, hosts []cornelbay.HostName) *service {
	n := 1
	for _, e := range s.epochs {
		n = max(n, e.buckets)
	}
	s.resize(n)
	out := &service{buckets: make([]bucket, n)}
	current := s.current()
	for i := range out.buckets {
		b := &out.buckets[i]
		*b = bucket{place: -1, first: -1, route: -1}
		if current != nil {
			b.place = c.place(now, s, current, uint64(i))
		}
		b.ambiguous = c.candidates(s, uint64(i), b)
		if b.ambiguous || c.doubt && b.first >= 0 {
			b.route = int32(len(out.routes))
			out.routes = append(out.routes, c.route(s, i, hosts))
		}
		s.ambiguous[i] = b.ambiguous
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
func (c *Control) candidates(s *serviceState, hash uint64, b *bucket) bool {
	ambiguous := false
	add := func(at int32) {
		if at < 0 || c.registry[at].retired {
			return
		}
		if b.first < 0 {
			b.first = at
		}
		ambiguous = ambiguous || at != b.first
	}
	for _, e := range s.epochs {
		add(e.at(hash))
	}
	add(b.place)
	return ambiguous
}

// route returns the route of an ambiguous bucket.
func (c *Control) route(s *serviceState, bucket int, hosts []cornelbay.HostName) route {
	r := route{order: stewards(s.Name, bucket, hosts), position: len(hosts)}
	for i, h := range r.order {
		if hosts[h] == c.Self {
			r.position = i
		}
	}
	// A bucket that has just become ambiguous has no flow elsewhere yet.
	fresh := !s.ambiguous[bucket] && !c.history && !c.split()
	s.complete[bucket] = (fresh || s.ambiguous[bucket] && s.complete[bucket]) && r.position < keepers
	r.complete = s.complete[bucket]
	return r
}
