package entry

import (
	"time"

	"github.com/cornelbay/cornelbay"
)

// Held takes the key of a flow whose packet's verdict was Hold.
func (h *Host) Held(now time.Time, key cornelbay.FlowKey) []cornelbay.Effect {
	return h.flows.Held(now, key)
}
