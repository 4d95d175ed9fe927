package agree

import (
	"slices"
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/assign"
	"github.com/cornelbay/cornelbay/flow"
)

const (
	// retransmitInterval is the time after which an unacknowledged message is
	// sent again.
	retransmitInterval = 300 * time.Millisecond
	// proposeInterval is the least time between two epochs that only change
	// the weights of targets.
	proposeInterval = time.Second
	// takeOverAfter is when a host finishes the change of another proposer, and
	// the time by which each rank waits for the one before it.
	takeOverAfter = 1500 * time.Millisecond
	rankInterval  = 300 * time.Millisecond
)

// propose makes new epochs of the services that this host proposes for, and
// moves its own on.
func (c *Control) propose(now time.Time) []cornelbay.Effect {
	if !c.deciding() {
		return nil
	}
	var out []cornelbay.Effect
	for _, name := range c.serviceNames() {
		s := c.services[name]
		c.proposeNext(now, s)
		out = append(out, c.advance(now, s)...)
	}
	return out
}

func (c *Control) serviceNames() []cornelbay.ServiceName {
	var out []cornelbay.ServiceName
	for name := range c.services {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

func (c *Control) proposeNext(now time.Time, s *serviceState) {
	newest := s.newest()
	if newest == nil || c.isolated() {
		return
	}
	excluded := c.excluded(s, newest)
	if !excluded {
		s.urgentSince = time.Time{}
	} else if s.urgentSince.IsZero() {
		s.urgentSince = now
	}
	_, rank := flow.Proposer(s.Name, c.servingNames(), c.Self)
	if c.Generation < newest.generation {
		return
	}
	switch {
	case rank == 0:
		shares := c.desired(s)
		orphaned := !newest.active && newest.id.Proposer != c.Self && now.Sub(newest.heard) > takeOverAfter
		if slices.Equal(shares, newest.shares) && !orphaned {
			if c.allClear(now, s) {
				c.start(now, s, shares, true)
			}
			return
		}
		if !excluded && !c.excludes(shares, newest) && now.Sub(s.proposedAt) < proposeInterval {
			return
		}
		c.start(now, s, shares, false)
	case excluded && now.Sub(s.urgentSince) >= time.Duration(rank)*rankInterval:
		c.start(now, s, slices.DeleteFunc(slices.Clone(newest.shares), func(sh assign.Share) bool {
			return c.shutOut(s, sh.Target)
		}), false)
	}
}

// excluded reports whether the epoch has a target that the document excludes.
func (c *Control) excluded(s *serviceState, e *epoch) bool {
	return slices.ContainsFunc(e.shares, func(sh assign.Share) bool { return c.shutOut(s, sh.Target) })
}

func (c *Control) shutOut(s *serviceState, name cornelbay.TargetName) bool {
	i := slices.IndexFunc(s.Targets, func(t cornelbay.Target) bool { return t.Name == name })
	return i < 0 || s.Targets[i].Drain || c.out[s.Targets[i].DataCentre]
}

// excludes reports whether a target of the epoch has lost all its weight.
func (c *Control) excludes(shares []assign.Share, e *epoch) bool {
	return slices.ContainsFunc(e.shares, func(old assign.Share) bool {
		return !slices.ContainsFunc(shares, func(sh assign.Share) bool { return sh.Target == old.Target })
	})
}

// desired returns the shares that the targets should have as this host sees
// them; when none is thought to bear anything, all get their full weight.
func (c *Control) desired(s *serviceState) []assign.Share {
	shares := c.shares(s, func(t cornelbay.Target) int {
		if i, ok := c.byName[t.Name]; ok && c.registry[i].unreachable && !c.split() {
			return 0
		}
		st, ok := c.states[t.Name]
		switch {
		case !ok:
			return t.FullWeight() * cornelbay.FullPermille
		case st.Phase >= cornelbay.Draining:
			return 0
		}
		return t.FullWeight() * int(st.Permille)
	})
	if len(shares) == 0 {
		return c.documentShares(s)
	}
	return shares
}

func (c *Control) start(now time.Time, s *serviceState, shares []assign.Share, base bool) {
	newest := s.newest()
	id := EpochID{Term: newest.id.Term + 1, Proposer: c.Self}
	if newest.id.Proposer == c.Self {
		id.Term, id.Sequence = newest.id.Term, newest.id.Sequence+1
	}
	e := &epoch{
		id: id, generation: c.Generation, buckets: bucketCount(len(s.Targets)), shares: shares,
		base: base, heard: now, acked: make(map[cornelbay.HostName]bool),
	}
	c.fill(s, e)
	s.insert(e)
	s.proposedAt, c.dirty = now, true
}

// advance sends what the hosts have not acknowledged of the own newest epoch,
// and puts it into force when all have prepared it.
func (c *Control) advance(now time.Time, s *serviceState) []cornelbay.Effect {
	e := s.newest()
	if e == nil || e.id.Proposer != c.Self || e.acked == nil {
		return nil
	}
	waiting := c.unacked(e)
	if !e.active && len(waiting) == 0 && c.missingGone(now) {
		e.active, e.sent, c.dirty = true, time.Time{}, true
		clear(e.acked)
		c.publish(now)
		if waiting = c.unacked(e); len(waiting) > 0 {
			e.sent = now
			return sendAll(waiting, Activate{Service: s.Name, ID: e.id})
		}
	}
	if len(waiting) == 0 || now.Sub(e.sent) < retransmitInterval {
		return nil
	}
	e.sent = now
	var out []cornelbay.Effect
	for _, p := range c.proposal(s, e).split() {
		out = append(out, sendAll(waiting, p)...)
	}
	return out
}

func sendAll(to []cornelbay.HostName, m cornelbay.Message) []cornelbay.Effect {
	out := make([]cornelbay.Effect, len(to))
	for i, h := range to {
		out[i] = cornelbay.Send{To: h, Message: m}
	}
	return out
}

func (c *Control) unacked(e *epoch) []cornelbay.HostName {
	var out []cornelbay.HostName
	for _, h := range c.servingNames() {
		if h != c.Self && !e.acked[h] {
			out = append(out, h)
		}
	}
	return out
}

// missingGone reports whether no missing host holds up a change any more.
func (c *Control) missingGone(now time.Time) bool {
	for _, since := range c.missing {
		if now.Sub(since) < MissingHostGrace {
			return false
		}
	}
	return true
}

func (c *Control) proposal(s *serviceState, e *epoch) Proposal {
	p := Proposal{
		Service: s.Name, ID: e.id, Generation: e.generation, Buckets: e.buckets, Active: e.active, Base: e.base,
		Shares: toWire(e.shares, func(t cornelbay.TargetName) string { return c.wireTunnel(s, t) }),
	}
	for t := range e.purged {
		p.Purged = append(p.Purged, t)
	}
	slices.Sort(p.Purged)
	return p
}

// wireTunnel returns the address of a target that the receiver may not know:
// one that only the newest epoch has, or one that the document no longer has.
func (c *Control) wireTunnel(s *serviceState, name cornelbay.TargetName) string {
	i, ok := c.byName[name]
	if !ok || (c.registry[i].listed && s.epochs[0].has(name)) {
		return ""
	}
	return c.registry[i].Tunnel.String()
}

// proposed takes an epoch of another host and acknowledges it.
func (c *Control) proposed(now time.Time, from cornelbay.HostName, p Proposal) []cornelbay.Effect {
	s := c.services[p.Service]
	if s == nil {
		return nil
	}
	p, whole := s.assemble(p)
	if !whole {
		return nil
	}
	c.adopt(now, s, p)
	c.publish(now)
	if from != p.ID.Proposer {
		return nil
	}
	return []cornelbay.Effect{cornelbay.Send{To: from, Message: Prepared{Service: p.Service, ID: p.ID, Active: p.Active}}}
}

// assemble returns the whole proposal when its last part has come.
func (s *serviceState) assemble(p Proposal) (Proposal, bool) {
	if p.Parts <= 1 {
		return p, true
	}
	if s.parts == nil {
		s.parts = make(map[EpochID]map[int]Proposal)
	}
	if s.parts[p.ID] == nil {
		s.parts[p.ID] = make(map[int]Proposal)
	}
	got := s.parts[p.ID]
	got[p.Part] = p
	if len(got) < p.Parts {
		return p, false
	}
	p.Shares = nil
	for i := range p.Parts {
		p.Shares = append(p.Shares, got[i].Shares...)
	}
	delete(s.parts, p.ID)
	return p, true
}

func (c *Control) prepared(from cornelbay.HostName, m Prepared) {
	s := c.services[m.Service]
	if s == nil {
		return
	}
	if e := s.find(m.ID); e != nil && e.acked != nil && e.active == m.Active {
		e.acked[from] = true
	}
}

// activated puts an epoch into force; one that is not known comes again whole.
func (c *Control) activated(from cornelbay.HostName, m Activate) []cornelbay.Effect {
	s := c.services[m.Service]
	if s == nil {
		return nil
	}
	e := s.find(m.ID)
	if e == nil {
		return nil
	}
	if !e.active {
		e.active, c.dirty = true, true
	}
	return []cornelbay.Effect{cornelbay.Send{To: from, Message: Prepared{Service: m.Service, ID: m.ID, Active: true}}}
}
