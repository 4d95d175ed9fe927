package agree

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/assign"
)

// The least numbers of buckets for each target: of a service with up to
// SmallServiceTargets targets, and of a larger one.
const (
	BucketsPerTarget     = 256
	SmallServiceTargets           = 32
	BucketsPerTargetLarge = 64
)

func bucketCount(targets int) int {
	per := BucketsPerTarget
	if targets > SmallServiceTargets {
		per = BucketsPerTargetLarge
	}
	n := BucketsPerTarget
	for n < targets*per {
		n *= 2
	}
	return n
}

// epoch is one assignment of a service's buckets. While it lives, its targets
// may have flows that began under it.
type epoch struct {
	id         EpochID
	generation uint64
	buckets    int
	// shares are the targets with weight, by name.
	shares []assign.Share
	// purged names the targets that were taken out since, with their flows.
	purged map[cornelbay.TargetName]bool
	// active is true once every host has prepared it; only then are flows placed.
	active bool
	// base is true when no flow of an earlier epoch is left.
	base  bool
	heard time.Time
	// table holds the index of the target of each bucket, or -1.
	table []int32

	// acked and sent are kept by the proposer.
	acked map[cornelbay.HostName]bool
	sent  time.Time
}

func (e *epoch) has(t cornelbay.TargetName) bool {
	_, ok := slices.BinarySearchFunc(e.shares, t, func(s assign.Share, t cornelbay.TargetName) int {
		return cmp.Compare(s.Target, t)
	})
	return ok
}

func (e *epoch) at(hash uint64) int32 { return e.table[hash&uint64(len(e.table)-1)] }

func (e *epoch) purge(t cornelbay.TargetName, at int32) {
	if !e.has(t) || e.purged[t] {
		return
	}
	if e.purged == nil {
		e.purged = make(map[cornelbay.TargetName]bool)
	}
	e.purged[t] = true
	for b := range e.table {
		if e.table[b] == at {
			e.table[b] = -1
		}
	}
}

// serviceState is the control state of one service.
type serviceState struct {
	cornelbay.Service
	// epochs lists the living epochs by ID.
	epochs []*epoch
	// parts collects the proposals that came in parts.
	parts map[EpochID]map[int]Proposal
	// ambiguous and complete are kept for each bucket from one snapshot to the
	// next; see route for complete.
	ambiguous, complete []bool
	// override replaces the table where its target may get no new flow.
	override *epoch
	// urgentSince is the time since when the newest epoch has a target that the
	// document excludes.
	urgentSince time.Time
	proposedAt  time.Time
	history     history
}

func (s *serviceState) newest() *epoch {
	if len(s.epochs) == 0 {
		return nil
	}
	return s.epochs[len(s.epochs)-1]
}

func (s *serviceState) current() *epoch {
	for _, e := range slices.Backward(s.epochs) {
		if e.active {
			return e
		}
	}
	return nil
}

func (s *serviceState) find(id EpochID) *epoch {
	i, ok := slices.BinarySearchFunc(s.epochs, id, func(e *epoch, id EpochID) int { return e.id.Compare(id) })
	if !ok {
		return nil
	}
	return s.epochs[i]
}

func (s *serviceState) insert(e *epoch) {
	s.epochs = append(s.epochs, e)
	slices.SortFunc(s.epochs, func(a, b *epoch) int { return a.id.Compare(b.id) })
}

// incomplete makes the host trust no longer that it has every record.
func (s *serviceState) incomplete() { clear(s.complete) }

// prune forgets epochs whose targets are those of a neighbour.
func (s *serviceState) prune() {
	s.dropHistory()
	current := s.current()
	for i := 0; i+1 < len(s.epochs); {
		e, next := s.epochs[i], s.epochs[i+1]
		switch {
		case e.active && next.active && slices.Equal(e.table, next.table):
			s.epochs = slices.Delete(s.epochs, i, i+1)
		case e != current && e.empty():
			s.epochs = slices.Delete(s.epochs, i, i+1)
		default:
			i++
		}
	}
}

func (e *epoch) empty() bool {
	return !slices.ContainsFunc(e.table, func(at int32) bool { return at >= 0 })
}

// registered is a target that has an index; indices are never reused.
type registered struct {
	cornelbay.Target
	service cornelbay.ServiceName
	// retired targets have lost their flows: they were out.
	retired bool
	// listed is true while the document has the target.
	listed bool
	// closedSince is the time since when the target may get no new flow, or 0.
	closedSince time.Time
	unreachable bool
}

// register returns the index of a target of a service.
func (c *Control) register(service cornelbay.ServiceName, t cornelbay.Target) int32 {
	if i, ok := c.byName[t.Name]; ok && c.registry[i].service == service {
		return i
	}
	i := int32(len(c.registry))
	listed := false
	if s := c.services[service]; s != nil {
		for _, own := range s.Targets {
			if own.Name == t.Name {
				t, listed = own, true
			}
		}
	}
	c.registry = append(c.registry, registered{Target: t, service: service, listed: listed})
	c.byName[t.Name] = i
	return i
}

// fill computes the table of an epoch.
func (c *Control) fill(s *serviceState, e *epoch) {
	index := make([]int32, len(e.shares))
	for i, sh := range e.shares {
		index[i] = -1
		if !e.purged[sh.Target] {
			index[i] = c.register(s.Name, cornelbay.Target{Name: sh.Target})
		}
	}
	e.table = make([]int32, e.buckets)
	for b, i := range assign.Table(e.buckets, e.shares) {
		e.table[b] = -1
		if i >= 0 {
			e.table[b] = index[i]
		}
	}
}

// adopt takes an epoch from another host and reports whether it is new.
func (c *Control) adopt(now time.Time, s *serviceState, p Proposal) bool {
	if e := s.find(p.ID); e != nil {
		if p.Active && !e.active {
			e.active, c.dirty = true, true
		}
		return false
	}
	if s.ended(p.ID) || p.Buckets <= 0 || p.Buckets&(p.Buckets-1) != 0 {
		return false
	}
	e := &epoch{
		id: p.ID, generation: p.Generation, buckets: p.Buckets,
		active: p.Active, base: p.Base, heard: now, purged: make(map[cornelbay.TargetName]bool),
	}
	for _, t := range p.Purged {
		e.purged[t] = true
	}
	for _, w := range p.Shares {
		e.shares = append(e.shares, assign.Share{Target: w.Target, Weight: w.Weight})
		if c.cut[w.Target] && p.Generation > c.Generation {
			delete(c.cut, w.Target) // a later document has brought it back
		}
		if c.cut[w.Target] {
			e.purged[w.Target] = true
		}
		c.learnTunnel(s.Name, w)
	}
	c.fill(s, e)
	s.insert(e)
	if p.Active {
		// Flows were placed by it before this host had heard of it.
		c.history = true
	}
	c.dirty = true
	return true
}

func (c *Control) learnTunnel(service cornelbay.ServiceName, w WireShare) {
	if c.cut[w.Target] {
		return
	}
	i := c.register(service, cornelbay.Target{Name: w.Target})
	if c.registry[i].Tunnel.IsValid() {
		return
	}
	if a, err := netip.ParseAddrPort(w.Tunnel); err == nil {
		c.registry[i].Tunnel = a
	}
}
