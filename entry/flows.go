package entry

import (
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/agree"
)

// Held takes the key of a flow whose packet's verdict was Hold.
func (h *Host) Held(now time.Time, key cornelbay.FlowKey) []cornelbay.Effect {
	return h.flows.Held(now, key)
}

// AgreedStates returns the states of a service's targets that are in force.
func (h *Host) AgreedStates(service cornelbay.ServiceName) []cornelbay.TargetState {
	return h.flows.States(service)
}

// FlowStatus returns what the host knows of its flows.
func (h *Host) FlowStatus() agree.Status { return h.flows.Status() }
