package entry

import (
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/warmth"
)

// States returns the states of the targets as this host sees them.
func (h *Host) States(now time.Time) []cornelbay.TargetState { return h.judge.States(now) }

// Observe takes a signal about a target.
func (h *Host) Observe(now time.Time, s warmth.Signal) {
	h.judge.Observe(now, s)
	h.reportLoad(now, s)
}

func (h *Host) tickTargets(now time.Time) []cornelbay.Effect {
	if h.suspended {
		return nil
	}
	out := h.judge.Tick(now)
	states := h.judge.States(now)
	out = append(out, h.flows.SetStates(now, states)...)
	return append(out, h.Requests.SetStates(now, states)...)
}
