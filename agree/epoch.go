package agree

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/assign"
)

// Minimum numbers of buckets per target: BucketsPerTarget for a service with up
// to SmallServiceTargets targets, BucketsPerTargetLarge for a larger one.
const (
	BucketsPerTarget      = 256
	SmallServiceTargets   = 32
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

// epoch is one assignment of a service's buckets to targets. Until it is
// dropped, its targets may have flows that were placed under it.
type epoch struct {
	id         EpochID
	generation uint64
	buckets    int
	// shares holds the targets with a positive weight, sorted by name.
	shares []assign.Share
	// purged holds the targets whose flows were dropped after the epoch began.
	purged map[cornelbay.TargetName]bool
	// active is true once every live host that decides packets has prepared the
	// epoch; only then does it place new flows. Missing hosts delay this for
	// MissingHostGrace. A bootstrap epoch is active at once.
	active bool
	// base is true when no flows of earlier epochs are left.
	base       bool
	receivedAt time.Time
	// table holds the target index of each bucket, or -1.
	table []int32

	// acked and sent are only set on the proposer. acked holds the hosts that
	// have acknowledged the epoch or, after its activation, the activation. sent
	// is the time of the last transmission.
	acked map[cornelbay.HostName]bool
	sent  time.Time
}

func (e *epoch) has(t cornelbay.TargetName) bool {
	_, ok := slices.BinarySearchFunc(e.shares, t, func(s assign.Share, t cornelbay.TargetName) int {
		return cmp.Compare(s.Target, t)
	})
	return ok
}

func (e *epoch) targetOf(hash uint64) int32 { return e.table[hash&uint64(len(e.table)-1)] }

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

// serviceState holds the epochs and the related state of one service.
type serviceState struct {
	cornelbay.Service
	// epochs lists the epochs that may still have flows, sorted by ID.
	epochs []*epoch
	// parts collects the parts of proposals that are not complete yet.
	parts map[EpochID]map[int]Proposal
	// ambiguous and complete are indexed by bucket and carried over from one
	// snapshot to the next; see buildRoute for complete.
	ambiguous, complete []bool
	// override assigns new flows in buckets whose target is closed.
	override *epoch
	// excludedSince is the time since when the newest epoch contains a target
	// that the configuration excludes.
	excludedSince time.Time
	proposedAt    time.Time
	history       history
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

// markIncomplete marks this host's records as incomplete for every bucket.
func (s *serviceState) markIncomplete() { clear(s.complete) }

// prune drops the epochs before an active base, active epochs with the same
// table as their successor, and empty epochs other than the current one.
func (s *serviceState) prune() {
	s.dropEpochsBeforeBase()
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

// targetEntry is a target with an index; indices are never reused.
type targetEntry struct {
	cornelbay.Target
	service cornelbay.ServiceName
	// purged is true for a target whose flows were dropped because its data
	// centre was out.
	purged bool
	// listed is true while the configuration contains the target.
	listed bool
	// closedSince is the time since when the target is to get no new flows, or
	// zero; the target counts as closed ExclusionTimeout later.
	closedSince time.Time
	unreachable bool
}

// register returns the index of a service's target and assigns one if the
// target has none.
func (c *Control) register(service cornelbay.ServiceName, t cornelbay.Target) int32 {
	if i, ok := c.targetIndex[t.Name]; ok && c.targets[i].service == service {
		return i
	}
	i := int32(len(c.targets))
	listed := false
	if s := c.services[service]; s != nil {
		for _, own := range s.Targets {
			if own.Name == t.Name {
				t, listed = own, true
			}
		}
	}
	c.targets = append(c.targets, targetEntry{Target: t, service: service, listed: listed})
	c.targetIndex[t.Name] = i
	return i
}

// buildTable computes the bucket table of an epoch.
func (c *Control) buildTable(s *serviceState, e *epoch) {
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

// adopt adds an epoch from another host and reports whether it is new.
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
		active: p.Active, base: p.Base, receivedAt: now, purged: make(map[cornelbay.TargetName]bool),
	}
	for _, t := range p.Purged {
		e.purged[t] = true
	}
	for _, w := range p.Shares {
		e.shares = append(e.shares, assign.Share{Target: w.Target, Weight: w.Weight})
		if c.purgedTargets[w.Target] && p.Generation > c.Generation {
			delete(c.purgedTargets, w.Target) // a later configuration has readmitted it
		}
		if c.purgedTargets[w.Target] {
			e.purged[w.Target] = true
		}
		c.learnTunnel(s.Name, w)
	}
	c.buildTable(s, e)
	s.insert(e)
	if p.Active {
		// Other hosts placed flows under it before this host knew of it.
		c.missedFlows = true
	}
	c.dirty = true
	return true
}

func (c *Control) learnTunnel(service cornelbay.ServiceName, w WireShare) {
	if c.purgedTargets[w.Target] {
		return
	}
	i := c.register(service, cornelbay.Target{Name: w.Target})
	if c.targets[i].Tunnel.IsValid() {
		return
	}
	if a, err := netip.ParseAddrPort(w.Tunnel); err == nil {
		c.targets[i].Tunnel = a
	}
}
