package entry

import (
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/agree"
	"github.com/cornelbay/cornelbay/member"
)

// confirmedStep is the least advance of the last confirmation that is handed on.
const confirmedStep = 200 * time.Millisecond

func (h *Host) fill(b *member.Heartbeat) {
	b.Generation = h.keeper.Generation()
	b.Digest = member.ShortDigest(h.keeper.Head().Digest)
}

// Members returns what is known of the group at now.
func (h *Host) Members(now time.Time) cornelbay.Members {
	m := h.members.Members(now)
	m.ConfirmedAt = h.confirmed
	return m
}

// confirm keeps the last confirmation that the keeper has known: after a pause
// the keeper has none, and what was confirmed before goes on to age.
func (h *Host) confirm() {
	if at := h.keeper.ConfirmedAt(); at.After(h.confirmed) {
		h.confirmed = at
	}
}

// suspend stops the traffic of a host that has woken from a pause until it has
// learnt what is in force. One that nobody tells goes on after CutOffTimeout, by
// then without the data centres of which it hears nothing.
func (h *Host) suspend(now time.Time) []cornelbay.Effect {
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

// Lookup returns what is known of the named host.
func (h *Host) Lookup(name cornelbay.HostName) (cornelbay.Host, bool) {
	return h.members.Lookup(name)
}

// Introduce takes hosts that a list from elsewhere names; it ends none.
func (h *Host) Introduce(hosts ...cornelbay.Host) { h.members.Introduce(hosts...) }

func (h *Host) tickMembers(now time.Time) []cornelbay.Effect {
	h.members.Generation = h.keeper.Generation()
	h.confirm()
	h.members.Confirm(h.keeper.ConfirmedAt())
	out := h.members.Tick(now)
	if h.members.Leaving && h.Requests.Idle() {
		out = append(out, h.members.Leave(now)...)
	}
	return append(out, h.membersChanged(now)...)
}

// receiveMember takes a message of the membership protocol and reports whether
// m is one.
func (h *Host) receiveMember(now time.Time, from cornelbay.HostName, m cornelbay.Message) ([]cornelbay.Effect, bool) {
	switch m := m.(type) {
	case member.Heartbeat:
		return h.heartbeat(now, m), true
	case member.Leave:
		h.members.ReceiveLeave(now, m)
		return h.membersChanged(now), true
	case member.JoinRequest:
		return h.members.ReceiveJoin(now, m), true
	case member.JoinAnswer:
		h.members.ReceiveJoinAnswer(now, from, m)
		return nil, true
	}
	h.members.Check(now)
	return h.membersChanged(now), false
}

func (h *Host) heartbeat(now time.Time, b member.Heartbeat) []cornelbay.Effect {
	if !h.members.Receive(now, b) {
		return nil
	}
	out := h.membersChanged(now)
	return append(out, h.heardConfig(now, b)...)
}

// membersChanged hands on what is known of the group when it has changed.
func (h *Host) membersChanged(now time.Time) []cornelbay.Effect {
	h.confirm()
	m := h.Members(now)
	if confirmed := m.ConfirmedAt; !confirmed.Before(h.known.ConfirmedAt) && confirmed.Sub(h.known.ConfirmedAt) < confirmedStep && h.version == h.members.Version() {
		return nil
	}
	h.known, h.version = m, h.members.Version()
	names := make([]cornelbay.HostName, len(m.Live))
	for i, l := range m.Live {
		names[i] = l.Name
	}
	h.judge.SetHosts(names)
	h.keeper.SetMembers(m.Live)
	return append(h.flows.SetMembers(now, m), h.Requests.SetMembers(now, m)...)
}
