package agree

import (
	"maps"
	"slices"
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/assign"
	"github.com/cornelbay/cornelbay/flow"
)

// The times of the flow path's control.
const (
	// ExclusionTimeout is when a host stops placing flows on a target that the
	// configuration excludes, and sending packets to one that is out, even if
	// the other hosts have not agreed on its successor.
	ExclusionTimeout = 1800 * time.Millisecond
	// CutOffTimeout is when a host that had no confirmation of the configuration
	// and heard no host of another data centre sends nothing there any more.
	CutOffTimeout = 10 * time.Second
	// ReconnectDelay is how long a host of a data centre must be heard again before
	// packets are sent there without a confirmation of the configuration.
	ReconnectDelay = 3 * time.Second
	// StaleConfigAge is the age of the last confirmation of the configuration from
	// which a host that hears no more than half of the hosts no longer relies on
	// its buckets for flows that it does not know.
	StaleConfigAge = 2 * time.Second
	// MissingHostGrace is when a missing host no longer holds up a change.
	MissingHostGrace = 3 * time.Second
)

// Control is the control state of the flow path; one goroutine uses it. It
// publishes snapshots to its Plane.
//
// A host that had no confirmation of the configuration and heard no host of
// another data centre for CutOffAfter cannot know whether that one is out: it
// sends no packet to the targets there until it has a confirmation again, or has
// heard a host there for BackAfter. Their
// flows at this host stall meanwhile, and other hosts may serve them.
type Control struct {
	Self  cornelbay.HostName
	Plane *flow.Plane
	// Generation is that of the services in force.
	Generation uint64

	services map[cornelbay.ServiceName]*serviceState
	out      map[cornelbay.DataCentreName]bool
	// cut names the targets that are out and have lost their flows.
	cut      map[cornelbay.TargetName]bool
	registry []registered
	byName   map[cornelbay.TargetName]int32
	members  cornelbay.Members
	missing  map[cornelbay.HostName]time.Time
	// serving has the other hosts that decide packets.
	serving  map[cornelbay.HostName]bool
	contacts map[cornelbay.DataCentreName]*contact
	states   map[cornelbay.TargetName]cornelbay.TargetState

	dirty     bool
	doubt     bool
	suspended bool
	// history is true when epochs were learnt whose flows the host may have missed.
	history     bool
	sweep       int
	join        join
	servedSince time.Time
	handoff     handoff
	digest      digestState
	regain      regain
}

// SetServices takes the services in force and the data centres that are out.
func (c *Control) SetServices(now time.Time, services []cornelbay.Service, out map[cornelbay.DataCentreName]bool) []cornelbay.Effect {
	c.init()
	c.out = maps.Clone(out)
	for i := range c.registry {
		c.registry[i].listed = false
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
		c.cut = make(map[cornelbay.TargetName]bool)
		c.byName = make(map[cornelbay.TargetName]int32)
		c.serving = make(map[cornelbay.HostName]bool)
		c.missing = make(map[cornelbay.HostName]time.Time)
		c.contacts = make(map[cornelbay.DataCentreName]*contact)
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
			delete(c.cut, t.Name)
		}
		if c.cut[t.Name] {
			continue
		}
		r := &c.registry[c.register(svc.Name, t)]
		r.Target, r.listed = t, true
	}
	if c.deciding() && len(s.epochs) == 0 {
		c.bootstrap(now, s)
	}
}

// bootstrap gives a service the epoch that follows from the document alone.
func (c *Control) bootstrap(now time.Time, s *serviceState) {
	e := &epoch{
		id: EpochID{Sequence: c.Generation}, generation: c.Generation,
		buckets: bucketCount(len(s.Targets)), shares: c.documentShares(s), active: true, heard: now,
	}
	c.fill(s, e)
	s.insert(e)
	c.dirty = true
}

// documentShares gives every target that may get flows its full weight.
func (c *Control) documentShares(s *serviceState) []assign.Share {
	return c.shares(s, func(t cornelbay.Target) int { return t.FullWeight() * cornelbay.FullPermille })
}

// shares returns the targets with weight that may get flows, by name.
func (c *Control) shares(s *serviceState, weight func(cornelbay.Target) int) []assign.Share {
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

// SetMembers takes what is known of the hosts of the group.
func (c *Control) SetMembers(now time.Time, m cornelbay.Members) []cornelbay.Effect {
	c.init()
	same := slices.EqualFunc(m.Live, c.members.Live, sameName) && slices.EqualFunc(m.Missing, c.members.Missing, sameName)
	for _, h := range c.members.Live {
		if !slices.ContainsFunc(m.Live, func(o cornelbay.Host) bool { return sameName(o, h) }) &&
			slices.ContainsFunc(m.Live, func(o cornelbay.Host) bool { return o.Name == h.Name }) {
			delete(c.serving, h.Name) // it has started again
		}
	}
	c.members = m
	c.hearAgain(now, m.Live)
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
	if c.split() {
		for _, s := range c.services {
			s.incomplete()
		}
	}
	out := c.tickRegain(now)
	c.updateDoubt(now)
	c.publish(now)
	return out
}

func sameName(a, b cornelbay.Host) bool { return a.Name == b.Name && a.Incarnation == b.Incarnation }

// split reports whether as many hosts as are heard may place flows among
// themselves, so that a flow without a record here may well be new there.
func (c *Control) split() bool {
	return len(c.members.Missing) > 0 && len(c.members.Missing) >= len(c.members.Live)
}

// updateDoubt notes whether the hosts that are not heard may have changed any
// bucket: they were so until a moment ago and their epochs have not come yet, or
// they are as many as those that are, and the host is alone or nobody has
// confirmed lately that the configuration is the newest.
func (c *Control) updateDoubt(now time.Time) {
	doubt := c.regaining()
	if c.split() {
		doubt = c.isolated() || now.Sub(c.members.ConfirmedAt) > StaleConfigAge
	}
	if doubt != c.doubt {
		c.doubt, c.dirty = doubt, true
	}
}

// isolated reports whether none of the other hosts is heard.
func (c *Control) isolated() bool {
	return len(c.members.Live) <= 1 && len(c.members.Missing) > 0
}

// SetStates takes what this host itself observes of the targets.
func (c *Control) SetStates(now time.Time, states []cornelbay.TargetState) []cornelbay.Effect {
	c.init()
	for _, s := range states {
		c.states[s.Target] = s
	}
	return nil
}

// Receive takes a control message of the flow path from another host.
func (c *Control) Receive(now time.Time, from cornelbay.HostName, m cornelbay.Message) []cornelbay.Effect {
	c.init()
	var out []cornelbay.Effect
	switch m := m.(type) {
	case Proposal:
		out = c.proposed(now, from, m)
	case Prepared:
		c.prepared(from, m)
		out = c.propose(now)
	case Activate:
		out = c.activated(from, m)
	case Epochs:
		out = c.joining(from)
	case EpochsAnswer:
		c.joinAnswered(now, from, m)
		c.regained(now, from, m)
		out = c.tickJoin(now)
	case Clear:
		c.cleared(now, from, m)
	case Serving:
		out = c.announced(from, m)
	case Digest:
		out = c.compareDigest(now, from, m)
	case Records:
		c.takeRecords(now, m)
	}
	c.publish(now)
	return out
}

// Held takes the key of a packet whose verdict was Hold. No verdict of this
// package is Hold: a packet whose flow is not known is relayed or dropped.
func (c *Control) Held(now time.Time, key cornelbay.FlowKey) []cornelbay.Effect { return nil }

// Suspend makes the plane decide nothing for as long as suspended is true. The
// host does not know then since when a change that it learns of is in force.
func (c *Control) Suspend(suspended bool) {
	c.suspended = suspended
	c.Plane.Suspend(suspended)
}

// Tick returns the effects that are due at now.
func (c *Control) Tick(now time.Time) []cornelbay.Effect {
	c.Plane.Ticked(now)
	c.init()
	c.sweepTable(now)
	out := c.tickJoin(now)
	if !c.deciding() {
		return out
	}
	out = append(out, c.tickRegain(now)...)
	c.updateDoubt(now)
	c.closeTargets(now)
	out = append(out, c.propose(now)...)
	c.publish(now)
	out = append(out, c.tickDigest(now)...)
	out = append(out, c.tickClear(now)...)
	return append(out, c.tickHandoff(now)...)
}

// closeTargets notes which targets may get no new flows or no packets at all.
func (c *Control) closeTargets(now time.Time) {
	c.updateContacts(now)
	for i := range c.registry {
		r := &c.registry[i]
		if r.retired {
			continue
		}
		c.closeTarget(now, r)
		k := c.contacts[r.DataCentre]
		if unreachable := k != nil && k.cutOff; unreachable != r.unreachable {
			r.unreachable, c.dirty = unreachable, true
		}
	}
	for _, s := range c.services {
		c.cutTargets(now, s)
	}
}

func (c *Control) closeTarget(now time.Time, r *registered) {
	closed := (!r.listed || r.Drain || c.out[r.DataCentre]) && !c.readmitted(r.service, r.Name) || r.unreachable && !c.split()
	switch {
	case !closed:
		r.closedSince = time.Time{}
	case r.closedSince.IsZero() && c.suspended:
		// The target was closed before the host woke.
		r.closedSince, c.dirty = now.Add(-ExclusionTimeout), true
	case r.closedSince.IsZero():
		r.closedSince = now
	case now.Sub(r.closedSince) >= ExclusionTimeout && now.Sub(r.closedSince) < ExclusionTimeout+time.Second:
		c.dirty = true
	}
}

// readmitted reports whether hosts with a later document place flows on a target,
// whatever the own document says of it.
func (c *Control) readmitted(service cornelbay.ServiceName, name cornelbay.TargetName) bool {
	s := c.services[service]
	if s == nil || s.newest() == nil {
		return false
	}
	e := s.newest()
	return e.generation > c.Generation && e.has(name) && !e.purged[name]
}

func (r *registered) closed(now time.Time) bool {
	return !r.closedSince.IsZero() && now.Sub(r.closedSince) >= ExclusionTimeout
}

// cutTargets takes away the flows of targets that are out: when the epoch in
// force is without them, or at the latest after CloseAfter.
func (c *Control) cutTargets(now time.Time, s *serviceState) {
	current := s.current()
	if current == nil {
		return
	}
	for _, t := range s.Targets {
		i, ok := c.byName[t.Name]
		if !ok || !c.out[t.DataCentre] || c.readmitted(s.Name, t.Name) || (current.has(t.Name) && !c.registry[i].closed(now)) {
			continue
		}
		c.registry[i].retired = true
		c.cut[t.Name], c.dirty = true, true
		delete(c.byName, t.Name)
		for _, e := range s.epochs {
			e.purge(t.Name, i)
		}
	}
}

// contact is what a host hears of a data centre.
type contact struct {
	// heard is when a host there was last alive, and back since when one is
	// alive again after the data centre was cut off.
	heard, back time.Time
	cutOff      bool
}

// updateContacts notes which data centres the host must not send to because it
// cannot know whether they are out.
func (c *Control) updateContacts(now time.Time) {
	live := make(map[cornelbay.DataCentreName]bool)
	for _, h := range c.members.Live {
		live[h.DataCentre] = true
		if c.contacts[h.DataCentre] == nil {
			c.contacts[h.DataCentre] = &contact{}
		}
	}
	confirmed := c.members.ConfirmedAt.IsZero() || now.Sub(c.members.ConfirmedAt) < CutOffTimeout
	for dc, k := range c.contacts {
		k.update(now, live[dc], confirmed)
	}
}

func (k *contact) update(now time.Time, live, confirmed bool) {
	switch {
	case !live:
		k.back = time.Time{}
		k.cutOff = k.cutOff || !confirmed && now.Sub(k.heard) >= CutOffTimeout
	case !k.cutOff:
		k.heard = now
	case k.back.IsZero():
		k.back = now
	case now.Sub(k.back) >= ReconnectDelay:
		k.cutOff, k.heard = false, now
	}
	if confirmed {
		k.cutOff = false
	}
}

// States returns the agreed states of a service's targets that are in force.
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
