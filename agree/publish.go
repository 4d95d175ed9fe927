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

// publish builds and publishes a new snapshot if something has changed.
func (c *Control) publish(now time.Time) {
	if !c.dirty || !c.deciding() {
		return
	}
	c.dirty = false
	old := c.Plane.Snapshot()
	snap := &flow.Snapshot{
		TargetIndex: maps.Clone(c.targetIndex), Self: c.Self, Hosts: c.servingNames(),
		Isolated: c.isolated(), Partitioned: c.partitioned(), MaybeStale: c.maybeStale,
	}
	services := make(map[cornelbay.ServiceName]*flow.Service)
	for _, s := range c.services {
		c.setOverride(now, s)
		s.prune()
		svc := c.buildBuckets(now, s, snap.Hosts)
		services[s.Name] = svc
		snap.AddService(flow.KeyOf(s.Service), svc)
	}
	c.missedFlows = false
	for i := range c.targets {
		r := &c.targets[i]
		snap.Targets = append(snap.Targets, flow.Target{
			Name: r.Name, Tunnel: r.Tunnel, Service: services[r.service], Usable: r.usable(),
		})
	}
	c.Plane.Publish(snap)
	c.planHandoff(old, snap)
}

func (r *targetEntry) usable() bool { return !r.purged && !r.unreachable && r.Tunnel.IsValid() }

// servingNames returns the live hosts that decide packets, this host included,
// sorted by name.
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

// setOverride computes the table for new flows in buckets whose target is
// closed.
func (c *Control) setOverride(now time.Time, s *serviceState) {
	current, newest := s.current(), s.newest()
	if current == nil {
		return
	}
	closed := func(sh assign.Share) bool {
		i, ok := c.targetIndex[sh.Target]
		return !ok || c.targets[i].closed(now)
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
	c.buildTable(s, s.override)
}

// buildBuckets builds the buckets and routes of a service from its epochs.
func (c *Control) buildBuckets(now time.Time, s *serviceState, hosts []cornelbay.HostName) *flow.Service {
	n := 1
	for _, e := range s.epochs {
		n = max(n, e.buckets)
	}
	s.resize(n)
	out := &flow.Service{Buckets: make([]flow.Bucket, n)}
	current := s.current()
	for i := range out.Buckets {
		b := &out.Buckets[i]
		*b = flow.Bucket{NewFlowTarget: -1, OldestTarget: -1, Route: -1}
		if current != nil {
			b.NewFlowTarget = c.newFlowTarget(now, s, current, uint64(i))
		}
		b.Ambiguous = c.collectTargets(s, uint64(i), b)
		if b.Ambiguous || c.maybeStale && b.OldestTarget >= 0 {
			b.Route = int32(len(out.Routes))
			out.Routes = append(out.Routes, c.buildRoute(s, i, hosts))
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

// newFlowTarget returns the target for new flows of a bucket.
func (c *Control) newFlowTarget(now time.Time, s *serviceState, current *epoch, hash uint64) int32 {
	at := current.targetOf(hash)
	if s.override != nil && (at < 0 || c.targets[at].closed(now)) {
		return s.override.targetOf(hash)
	}
	return at
}

// collectTargets sets the oldest target of a bucket and reports whether the
// bucket has more than one target.
func (c *Control) collectTargets(s *serviceState, hash uint64, b *flow.Bucket) bool {
	ambiguous := false
	add := func(at int32) {
		if at < 0 || c.targets[at].purged {
			return
		}
		if b.OldestTarget < 0 {
			b.OldestTarget = at
		}
		ambiguous = ambiguous || at != b.OldestTarget
	}
	for _, e := range s.epochs {
		add(e.targetOf(hash))
	}
	add(b.NewFlowTarget)
	return ambiguous
}

// buildRoute builds the route of a bucket that needs one. The route is complete
// if this host is a replica of the bucket and one of two conditions holds: the
// route of the bucket was complete before, or the bucket had only one target
// until now and this host has not missed flows, is not partitioned and its
// buckets are not possibly stale.
func (c *Control) buildRoute(s *serviceState, bucket int, hosts []cornelbay.HostName) flow.Route {
	r := flow.Route{Order: flow.RankHosts(s.Name, bucket, hosts), Position: len(hosts)}
	for i, h := range r.Order {
		if hosts[h] == c.Self {
			r.Position = i
		}
	}
	// A bucket that has just become ambiguous has no flows on other targets
	// yet.
	fresh := !s.ambiguous[bucket] && !c.missedFlows && !c.maybeStale && !c.partitioned()
	s.complete[bucket] = (fresh || s.ambiguous[bucket] && s.complete[bucket]) && r.Position < flow.ReplicaCount
	r.Complete = s.complete[bucket]
	return r
}
