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
	// proposeInterval is the minimum time between two epochs that only change
	// the weights of targets.
	proposeInterval = time.Second
	// takeOverAfter is the age after which the proposer (rank 0) replaces an
	// inactive epoch of another host.
	takeOverAfter = 1500 * time.Millisecond
	// rankInterval, multiplied by its rank, is how long a host waits for the
	// hosts ranked before it to remove an excluded target before it creates an
	// epoch without the target itself.
	rankInterval = 300 * time.Millisecond
)

// propose creates new epochs for the services whose proposer is this host. For
// other services it creates epochs that remove excluded targets if the hosts
// ranked before this one have not done so. It also advances this host's epochs.
func (c *Control) propose(now time.Time) []cornelbay.Effect {
	if !c.deciding() {
		return nil
	}
	var out []cornelbay.Effect
	for _, name := range c.serviceNames() {
		s := c.services[name]
		c.proposeNext(now, s)
		out = append(out, c.advanceEpoch(now, s)...)
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
	excluded := c.hasExcludedTarget(s, newest)
	if !excluded {
		s.excludedSince = time.Time{}
	} else if s.excludedSince.IsZero() {
		s.excludedSince = now
	}
	_, rank := flow.Proposer(s.Name, c.servingNames(), c.Self)
	if c.Generation < newest.generation {
		return
	}
	switch {
	case rank == 0:
		shares := c.desiredShares(s)
		orphaned := !newest.active && newest.id.Proposer != c.Self && now.Sub(newest.receivedAt) > takeOverAfter
		if slices.Equal(shares, newest.shares) && !orphaned {
			if c.historyIdleOnAllHosts(now, s) {
				c.startEpoch(now, s, shares, true)
			}
			return
		}
		if !excluded && !c.dropsTarget(shares, newest) && now.Sub(s.proposedAt) < proposeInterval {
			return
		}
		c.startEpoch(now, s, shares, false)
	case excluded && now.Sub(s.excludedSince) >= time.Duration(rank)*rankInterval:
		c.startEpoch(now, s, slices.DeleteFunc(slices.Clone(newest.shares), func(sh assign.Share) bool {
			return c.isExcluded(s, sh.Target)
		}), false)
	}
}

// hasExcludedTarget reports whether the epoch contains a target that the
// configuration excludes.
func (c *Control) hasExcludedTarget(s *serviceState, e *epoch) bool {
	return slices.ContainsFunc(e.shares, func(sh assign.Share) bool { return c.isExcluded(s, sh.Target) })
}

func (c *Control) isExcluded(s *serviceState, name cornelbay.TargetName) bool {
	i := slices.IndexFunc(s.Targets, func(t cornelbay.Target) bool { return t.Name == name })
	return i < 0 || s.Targets[i].Drain || c.out[s.Targets[i].DataCentre]
}

// dropsTarget reports whether a target of the epoch is not in the shares.
func (c *Control) dropsTarget(shares []assign.Share, e *epoch) bool {
	return slices.ContainsFunc(e.shares, func(old assign.Share) bool {
		return !slices.ContainsFunc(shares, func(sh assign.Share) bool { return sh.Target == old.Target })
	})
}

// desiredShares returns the shares that follow from the target states that this
// host has observed. If no target would have any weight, all targets that may
// get flows get their full weight.
func (c *Control) desiredShares(s *serviceState) []assign.Share {
	shares := c.weightedShares(s, func(t cornelbay.Target) int {
		if i, ok := c.targetIndex[t.Name]; ok && c.targets[i].unreachable && !c.partitioned() {
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
		return c.fullWeightShares(s)
	}
	return shares
}

func (c *Control) startEpoch(now time.Time, s *serviceState, shares []assign.Share, base bool) {
	newest := s.newest()
	id := EpochID{Term: newest.id.Term + 1, Proposer: c.Self}
	if newest.id.Proposer == c.Self {
		id.Term, id.Sequence = newest.id.Term, newest.id.Sequence+1
	}
	e := &epoch{
		id: id, generation: c.Generation, buckets: bucketCount(len(s.Targets)), shares: shares,
		base: base, receivedAt: now, acked: make(map[cornelbay.HostName]bool),
	}
	c.buildTable(s, e)
	s.insert(e)
	s.proposedAt, c.dirty = now, true
}

// advanceEpoch sends the newest epoch, if this host created it, to the hosts
// that have not acknowledged it, and activates it once all of them have prepared
// it.
func (c *Control) advanceEpoch(now time.Time, s *serviceState) []cornelbay.Effect {
	e := s.newest()
	if e == nil || e.id.Proposer != c.Self || e.acked == nil {
		return nil
	}
	waiting := c.unacked(e)
	if !e.active && len(waiting) == 0 && c.missingHostGraceOver(now) {
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

// missingHostGraceOver reports whether no missing host delays the activation of
// an epoch any more.
func (c *Control) missingHostGraceOver(now time.Time) bool {
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
// one that the configuration no longer contains, or one that is not in the
// oldest epoch. Otherwise it returns "".
func (c *Control) wireTunnel(s *serviceState, name cornelbay.TargetName) string {
	i, ok := c.targetIndex[name]
	if !ok || (c.targets[i].listed && s.epochs[0].has(name)) {
		return ""
	}
	return c.targets[i].Tunnel.String()
}

// handleProposal adopts an epoch of another host and acknowledges it if the
// sender is its proposer.
func (c *Control) handleProposal(now time.Time, from cornelbay.HostName, p Proposal) []cornelbay.Effect {
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

// assemble collects the parts of a proposal and returns the whole proposal once
// all parts have arrived.
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

func (c *Control) handlePrepared(from cornelbay.HostName, m Prepared) {
	s := c.services[m.Service]
	if s == nil {
		return
	}
	if e := s.find(m.ID); e != nil && e.acked != nil && e.active == m.Active {
		e.acked[from] = true
	}
}

// handleActivate activates an epoch and acknowledges it. An unknown epoch is
// not acknowledged, so the proposer sends it again as an active proposal.
func (c *Control) handleActivate(from cornelbay.HostName, m Activate) []cornelbay.Effect {
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
