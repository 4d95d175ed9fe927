package entry

import (
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/agree"
)

// ReceiveHeldFlow handles a flow of which a packet got the verdict Hold.
func (h *Host) ReceiveHeldFlow(now time.Time, key cornelbay.FlowKey) []cornelbay.Effect {
	return h.flows.Held(now, key)
}

// AgreedStates returns the target states in force for a service, as agreed with the
// other hosts.
func (h *Host) AgreedStates(service cornelbay.ServiceName) []cornelbay.TargetState {
	return h.flows.States(service)
}

// FlowStatus returns the status of the flow path, as shown to operators.
func (h *Host) FlowStatus() agree.Status { return h.flows.Status() }
