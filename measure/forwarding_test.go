package measure

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestForwardingArrivesBothWays(t *testing.T) {
	is := is.New(t)
	f, err := MeasureForwarding(t.Context(), ForwardingSettings{Seed: 1, Flows: 300, Rounds: 1, Span: 100 * time.Millisecond})
	is.NoErr(err)
	is.True(f.BareMedian > 0)
	is.True(f.ShellMedian > 0)
	is.True(f.ShellOffered > 0 && f.BareOffered > 0)
}
