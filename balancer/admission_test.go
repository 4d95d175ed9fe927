package balancer

import (
	"testing"
	"time"

	"github.com/cornelbay/cornelbay/admission"
	"github.com/cornelbay/cornelbay/placement"
	"github.com/cornelbay/cornelbay/platform"
)

// TestLateRefusalIsNoReset guards against a reset that is sent after the caller has
// retransmitted its opening: it would end a flow that another host has opened.
func TestLateRefusalIsNoReset(t *testing.T) {
	w := newTestEnv(t, 131)
	b := w.host(1, "a")
	refused := placement.Admission{Opening: make([]byte, platform.HeaderBytes), Reason: admission.Expired}
	for _, c := range []struct {
		until   time.Time
		dropped float64
	}{
		{time.Now().Add(time.Minute), 0},
		{time.Now(), 1},
	} {
		refused.ResetUntil = c.until
		b.applyAdmissions([]placement.Admission{refused})
		w.is.Equal(verdictCount(t, b, "droppedLate"), c.dropped)
	}
}
