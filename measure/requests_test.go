package measure

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRequestsKeepTheirPromises runs every scenario on real hosts.
func TestRequestsKeepTheirPromises(t *testing.T) {
	is := is.New(t)
	rows, err := RunRequests(RequestOptions{
		Document: Agence(14), Hosts: 6, Seed: 1, Span: 10 * time.Second, Parallel: 2,
		Policies: []string{"central", "cornelbay"},
	})
	is.NoErr(err)
	is.Equal(len(rows), 2*len(scenarios))
	for i := 0; i < len(rows); i += 2 {
		central, r := rows[i], rows[i+1]
		if r.Lost+r.Doubled+r.FalseNotRun+r.Overrun > 0 {
			t.Errorf("%s: lost %d, doubled %d, falseNotRun %d, overrun %d", r.Scenario, r.Lost, r.Doubled, r.FalseNotRun, r.Overrun)
		}
		if r.Scenario == "steady" && r.Load <= 0.85 && r.P99Ms > 1.3*central.P99Ms {
			t.Errorf("steady %.2f: p99 %.1f ms, central %.1f ms", r.Load, r.P99Ms, central.P99Ms)
		}
		if r.Scenario == "overload" && r.Goodput < 0.97*central.Goodput {
			t.Errorf("overload: goodput %.1f, central %.1f", r.Goodput, central.Goodput)
		}
		if r.Scenario == "retryStorm" && (r.AttemptsPerRequest > 1.1 || r.RecoverySeconds > central.RecoverySeconds+2) {
			t.Errorf("retryStorm: %.3f attempts, recovery %.1f s", r.AttemptsPerRequest, r.RecoverySeconds)
		}
	}
}
