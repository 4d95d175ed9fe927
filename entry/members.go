package entry

import (
	"slices"
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/member"
)

func (h *Host) fill(b *member.Heartbeat) {
	b.Generation = h.keeper.Generation()
	b.Digest = h.keeper.Head().Digest
	b.ConfirmedAgeMs = h.keeper.ConfirmedAgeMs()
}

// Members returns what is known of the group at now.
func (h *Host) Members(now time.Time) cornelbay.Members {
	m := h.members.Members(now)
	m.ConfirmedAt = h.keeper.ConfirmedAt()
	return m
}

// Lookup returns what is known of the named host.
func (h *Host) Lookup(name cornelbay.HostName) (cornelbay.Host, bool) {
	return h.members.Lookup(name)
}

func (h *Host) tickMembers(now time.Time) []cornelbay.Effect {
	return append(h.members.Tick(now), h.membersChanged(now)...)
}

func (h *Host) heartbeat(now time.Time, b member.Heartbeat) []cornelbay.Effect {
	h.members.Receive(now, b)
	return append(h.heardConfig(now, b), h.membersChanged(now)...)
}

func (h *Host) membersChanged(now time.Time) []cornelbay.Effect {
	m := h.Members(now)
	h.keeper.SetMembers(m.Live)
	if slices.Equal(m.Live, h.known.Live) && slices.Equal(m.Missing, h.known.Missing) &&
		m.ConfirmedAt.Equal(h.known.ConfirmedAt) {
		return nil
	}
	h.known = m
	return append(h.flows.SetMembers(now, m), h.Requests.SetMembers(now, m)...)
}
