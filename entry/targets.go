package entry

import (
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/warmth"
)

// TargetStates returns the states of the targets as observed by this host.
func (h *Host) TargetStates(now time.Time) []cornelbay.TargetState { return h.targets.States(now) }

// Observe records a signal about a target.
func (h *Host) Observe(now time.Time, s warmth.Signal) {
	h.targets.Observe(now, s)
	h.reportLoad(now, s)
}

func (h *Host) tickTargets(now time.Time) []cornelbay.Effect {
	if h.suspended {
		return nil
	}
	out := h.targets.Tick(now)
	states := h.targets.States(now)
	out = append(out, h.flows.SetStates(now, states)...)
	return append(out, h.Requests.SetStates(now, states)...)
}
