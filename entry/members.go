package entry

import (
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/agree"
	"github.com/cornelbay/cornelbay/member"
)

// minConfirmedAdvance is the smallest advance of the confirmation time that is passed
// on to other components when nothing else has changed.
const minConfirmedAdvance = 200 * time.Millisecond

// fillHeartbeat adds the generation in force to an outgoing heartbeat.
func (h *Host) fillHeartbeat(b *member.Heartbeat) {
	b.Generation = h.keeper.Generation()
	b.Digest = member.ShortDigest(h.keeper.Head().Digest)
}

// Members returns the known members of the group at now.
func (h *Host) Members(now time.Time) cornelbay.Members {
	m := h.members.Members(now)
	m.ConfirmedAt = h.confirmedAt
	return m
}

// updateConfirmedAt records the latest confirmation time that the keeper reports. It
// never moves back: after a pause, until the configuration is confirmed again, the
// last confirmation must continue to age.
func (h *Host) updateConfirmedAt() {
	if at := h.keeper.ConfirmedAt(); at.After(h.confirmedAt) {
		h.confirmedAt = at
	}
}

// updateSuspension suspends traffic after a pause of this host until it has learnt
// which configuration is in force. If it does not learn that, it resumes after
// agree.CutOffTimeout; by then it no longer sends to data centres from which it
// receives nothing.
func (h *Host) updateSuspension(now time.Time) []cornelbay.Effect {
	stale := h.keeper.Stale(now)
	switch {
	case !stale:
		h.staleSince = time.Time{}
	case h.staleSince.IsZero():
		h.staleSince = now
		h.flows.RestartJoin()
	}
	h.suspended = stale && now.Sub(h.staleSince) < agree.CutOffTimeout
	h.flows.Suspend(h.suspended)
	return h.Requests.Suspend(now, h.suspended)
}

// Lookup returns the named host, if it is known.
func (h *Host) Lookup(name cornelbay.HostName) (cornelbay.Host, bool) {
	return h.members.Lookup(name)
}

// Introduce adds hosts from an external list, such as the platform's. It never
// removes a host.
func (h *Host) Introduce(hosts ...cornelbay.Host) { h.members.Introduce(hosts...) }

func (h *Host) tickMembers(now time.Time) []cornelbay.Effect {
	h.members.Generation = h.keeper.Generation()
	h.updateConfirmedAt()
	h.members.Confirm(h.keeper.ConfirmedAt())
	out := h.members.Tick(now)
	if h.members.Leaving && h.Requests.Idle() {
		out = append(out, h.members.Leave(now)...)
	}
	return append(out, h.propagateMembers(now)...)
}

// receiveMember handles m if it is a message of the membership protocol, and reports
// whether it is.
func (h *Host) receiveMember(now time.Time, from cornelbay.HostName, m cornelbay.Message) ([]cornelbay.Effect, bool) {
	switch m := m.(type) {
	case member.Heartbeat:
		return h.receiveHeartbeat(now, m), true
	case member.Leave:
		h.members.ReceiveLeave(now, m)
		return h.propagateMembers(now), true
	case member.JoinRequest:
		return h.members.ReceiveJoin(now, m), true
	case member.JoinAnswer:
		h.members.ReceiveJoinAnswer(now, from, m)
		return nil, true
	}
	h.members.Check(now)
	return h.propagateMembers(now), false
}

func (h *Host) receiveHeartbeat(now time.Time, b member.Heartbeat) []cornelbay.Effect {
	if !h.members.Receive(now, b) {
		return nil
	}
	out := h.propagateMembers(now)
	return append(out, h.receiveConfigHeartbeat(now, b)...)
}

// propagateMembers passes the members of the group to the other components if they
// have changed, or if the confirmation time has advanced by at least
// minConfirmedAdvance.
func (h *Host) propagateMembers(now time.Time) []cornelbay.Effect {
	h.updateConfirmedAt()
	m := h.Members(now)
	if confirmed := m.ConfirmedAt; !confirmed.Before(h.lastMembers.ConfirmedAt) && confirmed.Sub(h.lastMembers.ConfirmedAt) < minConfirmedAdvance && h.lastVersion == h.members.Version() {
		return nil
	}
	h.lastMembers, h.lastVersion = m, h.members.Version()
	names := make([]cornelbay.HostName, len(m.Live))
	for i, l := range m.Live {
		names[i] = l.Name
	}
	h.targets.SetHosts(names)
	h.keeper.SetMembers(m.Live)
	return append(h.flows.SetMembers(now, m), h.Requests.SetMembers(now, m)...)
}
