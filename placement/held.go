package placement

import (
	"slices"
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/admission"
	"github.com/cornelbay/cornelbay/registry"
)

const (
	// maxHeldPackets limits the packets of a request that is held. Callers have at most 16 in
	// flight, and send those again that are dropped.
	maxHeldPackets = 16
	// queueAndWork is the time of a request at its target, in usual times: one in the queue, and
	// its work.
	queueAndWork = 2
	// maxHeld limits the requests of a service that are held at a host.
	maxHeld = 4096
)

// Release is a request on an open flow that has been held and is now sent to its target.
type Release struct {
	Key     cornelbay.FlowKey
	Target  *registry.Endpoint
	Packets [][]byte
	// Priority is that of the flow's route, and Waited the time since the request arrived.
	Priority int
	Waited   time.Duration
	// Expired is true if the request was sent on without room at its target.
	Expired bool
}

// Releases returns the requests that have been released since the last call. Their packets
// leave before the packet that was just recorded.
func (p *Placer) Releases() []Release {
	r := p.releases
	p.releases = nil
	return r
}

// Holding returns the number of requests on open flows that are held.
func (p *Placer) Holding() int {
	n := 0
	for _, s := range p.short {
		n += s.held.Len()
	}
	return n
}

// holdRequest decides on a request that begins on an open flow. While requests of a service
// wait, the less urgent ones on open flows wait too, until there is room at their targets:
// otherwise they fill the targets, and the urgent ones, which come on flows of their own, are
// refused.
func (p *Placer) holdRequest(now time.Time, f *Flow, s Segment) bool {
	sv, ok := p.services[f.service]
	r := p.view.Routes[f.key.Destination]
	if !ok || r == nil || sv.ended {
		return false
	}
	sv.furtherAt = now
	if !p.usable(now, f.target) {
		return false
	}
	p.recordDemand(now, sv, f)
	if !sv.isShort() || sv.held.Len() >= maxHeld {
		return false
	}
	usual := p.answers.UsualRouteTime(f.route())
	until := now.Add(p.objective(sv, f) - queueAndWork*usual)
	if p.hasRoom(now, sv, f.priority) || !until.After(now) {
		return false
	}
	f.heldPackets = [][]byte{slices.Clone(s.Packet)}
	sv.held.Add(admission.Held[*Flow]{
		Value: f, Priority: f.priority, Arrived: now, Until: until, Last: now.Add(max(until.Sub(now), r.Timeout/2)),
	})
	p.recordWait(now, sv)
	p.counters.Held++
	return true
}

// keepsFlows reports whether callers of the service keep flows open for further requests.
func (s *serviceState) keepsFlows(now time.Time) bool {
	return !s.furtherAt.IsZero() && now.Sub(s.furtherAt) < unusedTime
}

// recordDemand records that a request arrives on a flow.
func (p *Placer) recordDemand(now time.Time, s *serviceState, f *Flow) {
	s.demand.Record(now, f.priority, p.answers.UsualRouteTime(f.route()), p.objective(s, f))
}

// objective returns that of a flow's route, or else of the service.
func (p *Placer) objective(s *serviceState, f *Flow) time.Duration {
	if r, ok := p.view.Routes[f.key.Destination]; ok && r.Objective > 0 {
		return r.Objective
	}
	return s.objective
}

// usable reports whether a target may get new flows now, and is not suspected.
func (p *Placer) usable(now time.Time, m *registry.Endpoint) bool {
	m, ok := p.view.Cookies[m.Cookie] // it may have changed since the flow was opened
	return ok && m.Usable(now) && !p.suspected(m)
}

// hasRoom reports whether a request of a priority may be sent to a target. Those that others of
// the service go before may take what the others leave of this host's part of the slots. Which
// target it is doesn't matter: a flow stays at its target, whose slots are mostly those of other
// hosts, and these send as many requests to the targets whose slots are this host's. Until it is
// known what a request takes, as after a joint start, nobody waits for it.
func (p *Placer) hasRoom(now time.Time, s *serviceState, priority int) bool {
	if !s.isShort() || !s.keepsFlows(now) || p.answers.UsualServiceSamples(s.name) < minUsualSample {
		return true
	}
	room, limited := s.demand.Room(now, priority, &s.part, s.slots)
	return !limited || float64(s.atWork[priority]) < room
}

// holdPacket records a further packet of a flow whose request is held.
func (p *Placer) holdPacket(f *Flow, s Segment) {
	if s.Bytes > 0 && !f.exchanges.SendsData(s.Sequence, s.Bytes) || len(f.heldPackets) >= maxHeldPackets {
		return // a copy, or one that the caller will send again
	}
	f.heldPackets = append(f.heldPackets, slices.Clone(s.Packet))
}

// releaseHeld sends on the first held request if there is room.
func (p *Placer) releaseHeld(now time.Time, s *serviceState) bool {
	if s.held.Len() == 0 || !p.hasRoom(now, s, s.held.Priority()) {
		return false
	}
	r, ok := s.held.Next(now)
	if ok {
		p.release(now, r, false)
	}
	return ok
}

// expireHeld sends on the requests that may not wait for longer.
func (p *Placer) expireHeld(now time.Time, s *serviceState) {
	for _, r := range s.held.Expire(now, s.ended) {
		p.release(now, r, true)
	}
}

// releaseNow sends on the held request of a flow whose caller ends it.
func (p *Placer) releaseNow(now time.Time, f *Flow) {
	if s, ok := p.services[f.service]; ok {
		if r, ok := s.held.Remove(f); ok {
			p.release(now, r, true)
		}
	}
}

// dropHeld forgets the held request of a flow whose caller is gone.
func (p *Placer) dropHeld(f *Flow) {
	if s, ok := p.services[f.service]; ok && f.heldPackets != nil {
		s.held.Remove(f)
		f.heldPackets = nil
	}
}

func (p *Placer) release(now time.Time, r admission.Held[*Flow], expired bool) {
	f := r.Value
	p.releases = append(p.releases, Release{
		Key: f.key, Target: f.target, Packets: f.heldPackets, Priority: r.Priority, Waited: now.Sub(r.Arrived), Expired: expired,
	})
	f.heldPackets = nil
	p.startRequest(now, f, false)
}
