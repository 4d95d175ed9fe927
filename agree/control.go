// Package agree lets the hosts of a group agree on the assignment of a service's
// buckets to targets, from which package flow decides packets.
//
// The hash of a flow selects one of the service's buckets, and an epoch assigns
// each bucket to a target. flow.Proposer ranks the hosts for each service; the
// host with rank 0 is the service's proposer. It creates an epoch when the
// targets or their weights change and sends it to the other hosts as a
// Proposal, which they acknowledge with Prepared. Once all live hosts that decide
// packets have prepared the epoch, the proposer activates it with Activate, and
// from then on it places new flows. Flows that were placed under earlier epochs
// keep their targets, so these epochs stay until no such flow is left. Each host
// tells the proposer with Clear when it sees no such flow any more. When all live
// hosts have done so, the proposer creates a base epoch, and when that is active
// the earlier epochs are dropped.
//
// A bucket to which the epochs assign more than one target is ambiguous. Some
// hosts, the replicas of the bucket, record its flows; see package flow. The
// generation of an epoch is the configuration generation from which its proposer
// created it.
//
// A target is excluded if the configuration does not contain it, drains it or
// has taken its data centre out. It is closed, so that it gets no new flows,
// ExclusionTimeout after it was excluded or its data centre was cut off. An
// excluded target to which hosts with a later configuration assign buckets again
// is not closed. A target is purged when its flows are dropped because its data
// centre is out.
//
// A starting host requests the epochs of the other hosts, decides packets once
// it has them, and announces this to the other hosts with Serving.
package agree

import (
	"maps"
	"slices"
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/assign"
	"github.com/cornelbay/cornelbay/flow"
)

// Timeouts of the control loop for flows.
const (
	// ExclusionTimeout is how long after a target was excluded by the
	// configuration a host stops placing flows on it, even if the other hosts
	// have not agreed on a new epoch. If the target's data centre is out, the
	// host also stops sending it packets.
	ExclusionTimeout = 1800 * time.Millisecond
	// CutOffTimeout is how long a host keeps sending packets to another data
	// centre without a confirmation of the configuration and without a live
	// host there.
	CutOffTimeout = 10 * time.Second
	// ReconnectDelay is how long a host in a cut-off data centre must be live
	// again before packets are sent there without a confirmation of the
	// configuration.
	ReconnectDelay = 3 * time.Second
	// StaleConfigAge is the age of the last confirmation of the configuration
	// after which a host that sees no more than half of the hosts live no
	// longer uses its buckets alone to forward packets of unrecorded flows.
	StaleConfigAge = 2 * time.Second
	// MissingHostGrace is how long a missing host delays the activation of an
	// epoch.
	MissingHostGrace = 3 * time.Second
)

// Control agrees with the other hosts on the assignment of buckets to targets
// and publishes the result as snapshots to its Plane. It is not safe for
// concurrent use.
//
// A host that had no confirmation of the configuration and saw no live host of
// another data centre for CutOffTimeout cannot know whether that data centre
// was taken out. It sends no packets to the targets there until it has a
// confirmation again, or until a host there has been live for ReconnectDelay.
// Flows to these targets make no progress through this host meanwhile; other
// hosts may still serve them.
type Control struct {
	Self  cornelbay.HostName
	Plane *flow.Plane
	// Generation is the configuration generation of the services in force.
	Generation uint64

	services map[cornelbay.ServiceName]*serviceState
	out      map[cornelbay.DataCentreName]bool
	// purgedTargets holds the targets whose flows were dropped because their
	// data centre is out.
	purgedTargets map[cornelbay.TargetName]bool
	targets       []targetEntry
	targetIndex   map[cornelbay.TargetName]int32
	members       cornelbay.Members
	missing       map[cornelbay.HostName]time.Time
	// serving holds the other hosts that are known to decide packets.
	serving  map[cornelbay.HostName]bool
	contacts map[cornelbay.DataCentreName]*dataCentreContact
	states   map[cornelbay.TargetName]cornelbay.TargetState

	// dirty is true when the published snapshot is out of date.
	dirty bool
	// maybeStale is true while other hosts may have changed any bucket; see
	// updateMaybeStale.
	maybeStale bool
	suspended  bool
	// missedFlows is true when this host learnt of an epoch that was already
	// active and may lack records of its flows.
	missedFlows bool
	// sweeps counts the calls of Table.Sweep.
	sweeps int
	join   join
	// decidingSince is the time at which this host began to decide packets.
	decidingSince time.Time
	handoff       handoff
	digest        digestState
	resync        resync
}

// SetServices sets the services in force and the data centres that are out.
func (c *Control) SetServices(now time.Time, services []cornelbay.Service, out map[cornelbay.DataCentreName]bool) []cornelbay.Effect {
	c.init()
	c.out = maps.Clone(out)
	for i := range c.targets {
		c.targets[i].listed = false
	}
	named := make(map[cornelbay.ServiceName]bool)
	for _, svc := range services {
		named[svc.Name] = true
		c.setService(now, svc)
	}
	maps.DeleteFunc(c.services, func(n cornelbay.ServiceName, _ *serviceState) bool { return !named[n] })
	c.dirty = true
	return c.Tick(now)
}

func (c *Control) init() {
	if c.services == nil {
		c.services = make(map[cornelbay.ServiceName]*serviceState)
		c.purgedTargets = make(map[cornelbay.TargetName]bool)
		c.targetIndex = make(map[cornelbay.TargetName]int32)
		c.serving = make(map[cornelbay.HostName]bool)
		c.missing = make(map[cornelbay.HostName]time.Time)
		c.contacts = make(map[cornelbay.DataCentreName]*dataCentreContact)
		c.states = make(map[cornelbay.TargetName]cornelbay.TargetState)
	}
}

func (c *Control) setService(now time.Time, svc cornelbay.Service) {
	s := c.services[svc.Name]
	if s == nil {
		s = &serviceState{}
		c.services[svc.Name] = s
	}
	s.Service = svc
	for _, t := range svc.Targets {
		if !c.out[t.DataCentre] {
			delete(c.purgedTargets, t.Name)
		}
		if c.purgedTargets[t.Name] {
			continue
		}
		r := &c.targets[c.register(svc.Name, t)]
		r.Target, r.listed = t, true
	}
	if c.deciding() && len(s.epochs) == 0 {
		c.bootstrap(now, s)
	}
}

// bootstrap creates the first epoch of a service from the configuration alone.
func (c *Control) bootstrap(now time.Time, s *serviceState) {
	e := &epoch{
		id: EpochID{Sequence: c.Generation}, generation: c.Generation,
		buckets: bucketCount(len(s.Targets)), shares: c.fullWeightShares(s), active: true, receivedAt: now,
	}
	c.buildTable(s, e)
	s.insert(e)
	c.dirty = true
}

// fullWeightShares returns shares with the full weight of every target that may
// get flows.
func (c *Control) fullWeightShares(s *serviceState) []assign.Share {
	return c.weightedShares(s, func(t cornelbay.Target) int { return t.FullWeight() * cornelbay.FullPermille })
}

// weightedShares returns the shares of the targets that may get flows and have
// a positive weight, sorted by name.
func (c *Control) weightedShares(s *serviceState, weight func(cornelbay.Target) int) []assign.Share {
	var out []assign.Share
	for _, t := range s.Targets {
		if t.Drain || c.out[t.DataCentre] {
			continue
		}
		if w := weight(t); w > 0 {
			out = append(out, assign.Share{Target: t.Name, Weight: w})
		}
	}
	slices.SortFunc(out, func(a, b assign.Share) int { return compareNames(a.Target, b.Target) })
	return out
}

// SetMembers sets the live and the missing hosts of the group.
func (c *Control) SetMembers(now time.Time, m cornelbay.Members) []cornelbay.Effect {
	c.init()
	same := slices.EqualFunc(m.Live, c.members.Live, sameHost) && slices.EqualFunc(m.Missing, c.members.Missing, sameHost)
	for _, h := range c.members.Live {
		if !slices.ContainsFunc(m.Live, func(o cornelbay.Host) bool { return sameHost(o, h) }) &&
			slices.ContainsFunc(m.Live, func(o cornelbay.Host) bool { return o.Name == h.Name }) {
			delete(c.serving, h.Name) // the host has restarted
		}
	}
	c.members = m
	c.startResync(now, m.Live)
	for _, h := range m.Live {
		delete(c.missing, h.Name)
	}
	names := make(map[cornelbay.HostName]bool)
	for _, h := range m.Missing {
		names[h.Name] = true
		if _, ok := c.missing[h.Name]; !ok {
			c.missing[h.Name] = now
		}
	}
	maps.DeleteFunc(c.missing, func(n cornelbay.HostName, _ time.Time) bool { return !names[n] })
	if same {
		return nil
	}
	c.dirty = true
	if c.partitioned() {
		for _, s := range c.services {
			s.markIncomplete()
		}
	}
	out := c.tickResync(now)
	c.updateMaybeStale(now)
	c.publish(now)
	return out
}

func sameHost(a, b cornelbay.Host) bool { return a.Name == b.Name && a.Incarnation == b.Incarnation }

// partitioned reports whether half or more of the known hosts are missing. They
// may then place flows among themselves, so a flow without a record here may be
// a new flow on their side of the partition.
func (c *Control) partitioned() bool {
	return len(c.members.Missing) > 0 && len(c.members.Missing) >= len(c.members.Live)
}

// updateMaybeStale updates whether the missing hosts may have changed any
// bucket. That is so while hosts that were missing are live again but have not
// sent their epochs yet. In a partition it is so when this host is isolated or
// when the last confirmation of the configuration is older than StaleConfigAge.
func (c *Control) updateMaybeStale(now time.Time) {
	stale := c.resyncing()
	if c.partitioned() {
		stale = c.isolated() || now.Sub(c.members.ConfirmedAt) > StaleConfigAge
	}
	if stale != c.maybeStale {
		c.maybeStale, c.dirty = stale, true
	}
}

// isolated reports whether none of the other hosts is live.
func (c *Control) isolated() bool {
	return len(c.members.Live) <= 1 && len(c.members.Missing) > 0
}

// SetStates sets the target states that this host has observed itself.
func (c *Control) SetStates(now time.Time, states []cornelbay.TargetState) []cornelbay.Effect {
	c.init()
	for _, s := range states {
		c.states[s.Target] = s
	}
	return nil
}

// Receive handles a control message from another host.
func (c *Control) Receive(now time.Time, from cornelbay.HostName, m cornelbay.Message) []cornelbay.Effect {
	c.init()
	var out []cornelbay.Effect
	switch m := m.(type) {
	case Proposal:
		out = c.handleProposal(now, from, m)
	case Prepared:
		c.handlePrepared(from, m)
		out = c.propose(now)
	case Activate:
		out = c.handleActivate(from, m)
	case EpochsRequest:
		out = c.handleEpochsRequest(from)
	case EpochsAnswer:
		c.handleJoinAnswer(now, from, m)
		c.handleResyncAnswer(now, from, m)
		out = c.tickJoin(now)
	case Clear:
		c.handleClear(now, from, m)
	case Serving:
		out = c.handleServing(from, m)
	case Digest:
		out = c.handleDigest(now, from, m)
	case Records:
		c.handleRecords(now, m)
	}
	c.publish(now)
	return out
}

// Held handles a packet whose verdict was Hold. It does nothing, since package
// flow never returns Hold: it relays or drops packets of unknown flows.
func (c *Control) Held(now time.Time, key cornelbay.FlowKey) []cornelbay.Effect { return nil }

// Suspend makes the plane drop every packet while suspended is true. While
// suspended, the host cannot tell how long a change that it learns of has been
// in force.
func (c *Control) Suspend(suspended bool) {
	c.suspended = suspended
	c.Plane.Suspend(suspended)
}

// Tick advances timers and returns the effects that are due at now.
func (c *Control) Tick(now time.Time) []cornelbay.Effect {
	c.Plane.SetLastTick(now)
	c.init()
	c.sweepTable(now)
	out := c.tickJoin(now)
	if !c.deciding() {
		return out
	}
	out = append(out, c.tickResync(now)...)
	c.updateMaybeStale(now)
	c.updateClosedTargets(now)
	out = append(out, c.propose(now)...)
	c.publish(now)
	out = append(out, c.tickDigest(now)...)
	out = append(out, c.tickClear(now)...)
	return append(out, c.tickHandoff(now)...)
}

// updateClosedTargets updates which targets may get no new flows, or no packets
// at all.
func (c *Control) updateClosedTargets(now time.Time) {
	c.updateContacts(now)
	for i := range c.targets {
		r := &c.targets[i]
		if r.purged {
			continue
		}
		c.updateClosed(now, r)
		k := c.contacts[r.DataCentre]
		if unreachable := k != nil && k.cutOff; unreachable != r.unreachable {
			r.unreachable, c.dirty = unreachable, true
		}
	}
	for _, s := range c.services {
		c.purgeTargets(now, s)
	}
}

func (c *Control) updateClosed(now time.Time, r *targetEntry) {
	closed := (!r.listed || r.Drain || c.out[r.DataCentre]) && !c.readmittedByPeers(r.service, r.Name) || r.unreachable && !c.partitioned()
	switch {
	case !closed:
		r.closedSince = time.Time{}
	case r.closedSince.IsZero() && c.suspended:
		// The target was closed while this host was suspended, so the timeout
		// counts as expired.
		r.closedSince, c.dirty = now.Add(-ExclusionTimeout), true
	case r.closedSince.IsZero():
		r.closedSince = now
	case now.Sub(r.closedSince) >= ExclusionTimeout && now.Sub(r.closedSince) < ExclusionTimeout+time.Second:
		// Publish for one second after the timeout, so that a snapshot closes
		// the target.
		c.dirty = true
	}
}

// readmittedByPeers reports whether hosts with a later configuration place
// flows on a target that this host's configuration may still exclude.
func (c *Control) readmittedByPeers(service cornelbay.ServiceName, name cornelbay.TargetName) bool {
	s := c.services[service]
	if s == nil || s.newest() == nil {
		return false
	}
	e := s.newest()
	return e.generation > c.Generation && e.has(name) && !e.purged[name]
}

func (r *targetEntry) closed(now time.Time) bool {
	return !r.closedSince.IsZero() && now.Sub(r.closedSince) >= ExclusionTimeout
}

// purgeTargets drops the flows of targets whose data centre is out, once the
// active epoch no longer contains the target or after ExclusionTimeout at the
// latest.
func (c *Control) purgeTargets(now time.Time, s *serviceState) {
	current := s.current()
	if current == nil {
		return
	}
	for _, t := range s.Targets {
		i, ok := c.targetIndex[t.Name]
		if !ok || !c.out[t.DataCentre] || c.readmittedByPeers(s.Name, t.Name) || (current.has(t.Name) && !c.targets[i].closed(now)) {
			continue
		}
		c.targets[i].purged = true
		c.purgedTargets[t.Name], c.dirty = true, true
		delete(c.targetIndex, t.Name)
		for _, e := range s.epochs {
			e.purge(t.Name, i)
		}
	}
}

// dataCentreContact tracks whether a data centre has live hosts.
type dataCentreContact struct {
	// lastLive is the last time a host there was live. backSince is the time
	// since when one is live again after the data centre was cut off.
	lastLive, backSince time.Time
	cutOff              bool
}

// updateContacts updates which data centres are cut off: this host must not
// send to them because it cannot know whether they are out.
func (c *Control) updateContacts(now time.Time) {
	live := make(map[cornelbay.DataCentreName]bool)
	for _, h := range c.members.Live {
		live[h.DataCentre] = true
		if c.contacts[h.DataCentre] == nil {
			c.contacts[h.DataCentre] = &dataCentreContact{}
		}
	}
	confirmed := c.members.ConfirmedAt.IsZero() || now.Sub(c.members.ConfirmedAt) < CutOffTimeout
	for dc, k := range c.contacts {
		k.update(now, live[dc], confirmed)
	}
}

func (k *dataCentreContact) update(now time.Time, live, confirmed bool) {
	switch {
	case !live:
		k.backSince = time.Time{}
		k.cutOff = k.cutOff || !confirmed && now.Sub(k.lastLive) >= CutOffTimeout
	case !k.cutOff:
		k.lastLive = now
	case k.backSince.IsZero():
		k.backSince = now
	case now.Sub(k.backSince) >= ReconnectDelay:
		k.cutOff, k.lastLive = false, now
	}
	if confirmed {
		k.cutOff = false
	}
}

// States returns the states of a service's targets under the active epoch.
func (c *Control) States(service cornelbay.ServiceName) []cornelbay.TargetState {
	s := c.services[service]
	if s == nil || s.current() == nil {
		return nil
	}
	weights := make(map[cornelbay.TargetName]int)
	for _, sh := range s.current().shares {
		weights[sh.Target] = sh.Weight
	}
	out := make([]cornelbay.TargetState, 0, len(s.Targets))
	for _, t := range s.Targets {
		st := cornelbay.TargetState{Target: t.Name, Permille: uint16(weights[t.Name] / t.FullWeight())}
		st.Phase = c.phase(t, st.Permille)
		out = append(out, st)
	}
	return out
}

func (c *Control) phase(t cornelbay.Target, permille uint16) cornelbay.TargetPhase {
	switch {
	case c.out[t.DataCentre]:
		return cornelbay.Gone
	case t.Drain:
		return cornelbay.Draining
	case permille >= cornelbay.FullPermille:
		return cornelbay.Warm
	case permille > 0:
		return cornelbay.Warming
	}
	return cornelbay.Cold
}
