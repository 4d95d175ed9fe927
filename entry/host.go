// Package entry composes the decisions of one entry host. It performs no I/O,
// reads no clock and starts no goroutine: a shell hands it inputs with the
// time and carries out the effects that it returns.
package entry

import (
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/agree"
	"github.com/cornelbay/cornelbay/configsync"
	"github.com/cornelbay/cornelbay/flow"
	"github.com/cornelbay/cornelbay/member"
	"github.com/cornelbay/cornelbay/request"
	"github.com/cornelbay/cornelbay/warmth"
)

// TickInterval is the time between two calls of Host.Tick.
const TickInterval = 100 * time.Millisecond

// Settings are what a host is started with.
type Settings struct {
	Self cornelbay.Host
	// Group names the services that the host serves; empty is the default group.
	Group string
	// HashKey keys the hash that picks a flow's bucket; all hosts share it.
	HashKey [2]uint64
	// TicketKeys authenticate tickets: the first seals, any opens.
	TicketKeys [][]byte
	// Seed seeds the host's source of randomness.
	Seed uint64
	// Poll replaces watches and fetches from peers by a read of the platform's head
	// at this interval, as a baseline for measurements; 0 is the product's way.
	Poll time.Duration
	// Introduce lists hosts that are asked before any was heard.
	Introduce []cornelbay.Host
}

// Host is the control state of one entry host; one goroutine uses it. Plane and
// Requests may be used by traffic goroutines besides.
type Host struct {
	Settings
	Plane    flow.Plane
	Requests request.Dispatcher

	members member.View
	keeper  configsync.Keeper
	flows   agree.Control
	judge   warmth.Evaluator
	known   cornelbay.Members
	version uint64
	// confirmed is the last time of which the host knows that the platform
	// confirmed the generation in force.
	confirmed  time.Time
	staleSince time.Time
	suspended  bool
}

// New returns a host that has heard of nothing yet.
func New(s Settings) *Host {
	h := &Host{Settings: s}
	h.Plane.HashKey = s.HashKey
	h.members = member.View{Self: s.Self, Seed: s.Seed, Fill: h.fill}
	h.members.Introduce(s.Introduce...)
	h.keeper = configsync.Keeper{Self: s.Self, Group: s.Group, Poll: s.Poll}
	h.flows = agree.Control{Self: s.Self.Name, Plane: &h.Plane}
	h.judge.Self = s.Self.Name
	h.startRequests()
	return h
}

// Ready reports whether the host knows enough to serve.
func (h *Host) Ready() bool { return h.keeper.Document() != nil && h.flows.Ready() && !h.suspended }

// Tick advances the control state to now.
func (h *Host) Tick(now time.Time) []cornelbay.Effect {
	out := h.keeper.Tick(now) // first, since it notices a pause
	out = append(out, h.suspend(now)...)
	out = append(out, h.tickMembers(now)...)
	out = append(out, h.tickTargets(now)...)
	out = append(out, h.flows.Tick(now)...)
	return append(out, h.Requests.Tick(now)...)
}

// Receive takes a control message from another host.
func (h *Host) Receive(now time.Time, from cornelbay.HostName, m cornelbay.Message) []cornelbay.Effect {
	out, done := h.receiveMember(now, from, m)
	if done {
		return out
	}
	h.judge.Receive(now, from, m)
	out = append(out, h.flows.Receive(now, from, m)...)
	return append(out, h.Requests.Receive(now, from, m)...)
}

// Stop starts the planned stop; the host is done when Stopped reports true.
func (h *Host) Stop(now time.Time) []cornelbay.Effect {
	h.members.Leaving = true
	return append(h.flows.Stop(now), h.Requests.Stop(now)...)
}

// Stopped reports whether a planned stop has nothing left to do and the other
// hosts have been told of it.
func (h *Host) Stopped(now time.Time) bool {
	return h.members.Left() && h.Requests.Idle() && h.flows.Stopped(now)
}
