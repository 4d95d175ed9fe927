// Package entry combines the components of one entry host into a single state
// machine. It performs no I/O, does not read the clock and starts no goroutines:
// its caller, such as package daemon, passes inputs together with the current time
// and executes the effects that are returned.
//
// A pause is a time in which the host's process did not run. It shows as a gap between
// two inputs, after which the host may have missed a change of the configuration.
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

// TickInterval is the interval between calls of Host.Tick.
const TickInterval = 100 * time.Millisecond

// Settings configure a Host.
type Settings struct {
	Self cornelbay.Host
	// Group is the group of services that the host serves. The empty string is the
	// default group.
	Group string
	// HashKey is the key of the hash that maps a flow to a bucket. It must be the
	// same on all hosts.
	HashKey [2]uint64
	// TicketKeys authenticate tickets. The first key signs; any key verifies.
	TicketKeys [][]byte
	// Seed seeds the host's random number generators.
	Seed uint64
	// PollInterval, if not 0, makes the host poll the platform's head at this interval
	// instead of using watches and fetches from other hosts. It is a baseline for
	// measurements; production hosts leave it 0.
	PollInterval time.Duration
	// InitialHosts lists the hosts that are contacted first, before any heartbeat was
	// received.
	InitialHosts []cornelbay.Host
}

// Host is the control state of one entry host. It is not safe for concurrent use,
// except for Plane and Requests, which traffic goroutines may use concurrently.
type Host struct {
	Settings
	Plane    flow.Plane
	Requests request.Dispatcher

	members     member.View
	keeper      configsync.Keeper
	flows       agree.Control
	targets     warmth.Evaluator
	lastMembers cornelbay.Members
	lastVersion uint64
	// confirmedAt is the latest time at which the platform is known to have confirmed
	// the generation in force. It never moves back.
	confirmedAt time.Time
	// staleSince is when Tick first found the keeper stale: this host was paused, and
	// its configuration has not been confirmed since. It is zero otherwise.
	staleSince time.Time
	// suspended is whether traffic is suspended after a pause; see updateSuspension.
	suspended bool
}

// New returns a host without a configuration that knows only itself and s.InitialHosts.
func New(s Settings) *Host {
	h := &Host{Settings: s}
	h.Plane.HashKey = s.HashKey
	h.members = member.View{Self: s.Self, Seed: s.Seed, Fill: h.fillHeartbeat}
	h.members.Introduce(s.InitialHosts...)
	h.keeper = configsync.Keeper{Self: s.Self, Group: s.Group, Poll: s.PollInterval}
	h.flows = agree.Control{Self: s.Self.Name, Plane: &h.Plane}
	h.targets.Self = s.Self.Name
	h.initRequests()
	return h
}

// Ready reports whether the host can serve: it has a configuration, its flow path is
// ready and it is not suspended after a pause.
func (h *Host) Ready() bool { return h.keeper.Document() != nil && h.flows.Ready() && !h.suspended }

// Tick advances the control state to now and returns the effects that are due.
func (h *Host) Tick(now time.Time) []cornelbay.Effect {
	out := h.keeper.Tick(now) // first: it detects a pause of this host
	out = append(out, h.updateSuspension(now)...)
	out = append(out, h.tickMembers(now)...)
	out = append(out, h.tickTargets(now)...)
	out = append(out, h.flows.Tick(now)...)
	return append(out, h.Requests.Tick(now)...)
}

// Receive handles a control message from another host.
func (h *Host) Receive(now time.Time, from cornelbay.HostName, m cornelbay.Message) []cornelbay.Effect {
	out, done := h.receiveMember(now, from, m)
	if done {
		return out
	}
	h.targets.Receive(now, from, m)
	out = append(out, h.flows.Receive(now, from, m)...)
	return append(out, h.Requests.Receive(now, from, m)...)
}

// Stop begins a planned stop. It is complete when Stopped reports true.
func (h *Host) Stop(now time.Time) []cornelbay.Effect {
	h.members.Leaving = true
	return append(h.flows.Stop(now), h.Requests.Stop(now)...)
}

// Stopped reports whether a planned stop is complete: the other hosts have been
// notified, no request is in progress, and the tickets and the flow records are handed
// over.
func (h *Host) Stopped(now time.Time) bool {
	return h.members.Left() && h.Requests.Idle() && h.flows.Stopped(now)
}
