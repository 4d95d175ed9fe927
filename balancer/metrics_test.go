package balancer

import (
	"maps"
	"os"
	"regexp"
	"slices"
	"testing"
)

// TestMetricsAreDocumented: OPERATIONS.md names the metrics that a host serves, all
// of them and no others.
func TestMetricsAreDocumented(t *testing.T) {
	w := newWorld(t, 119)
	w.target(1, "s1", "a")
	a, b := w.host(1, "a"), w.host(2, "a")
	a.linesLeftOut = func() uint64 { return 0 }
	_, _ = w.mustOpen(1, service1)
	w.store.PutRoutes(2, route(service1, "s1"))
	w.eventually("the change has come by the other host", func() bool {
		return max(samples(t, a, "cornelbay_dissemination_seconds"), samples(t, b, "cornelbay_dissemination_seconds")) > 0
	})

	families, err := a.metrics.registry.Gather()
	w.is.NoErr(err)
	served := map[string]bool{}
	for _, f := range families {
		served[f.GetName()] = true
	}
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	w.is.NoErr(err)
	documented := map[string]bool{}
	for _, name := range regexp.MustCompile(`cornelbay_[a-z_]+`).FindAllString(string(page), -1) {
		documented[name] = true
	}
	w.is.Equal(slices.Sorted(maps.Keys(served)), slices.Sorted(maps.Keys(documented)))
}

// samples returns how many values a histogram has.
func samples(t *testing.T, b *Balancer, name string) uint64 {
	t.Helper()
	families, err := b.metrics.registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range families {
		if f.GetName() == name {
			return f.GetMetric()[0].GetHistogram().GetSampleCount()
		}
	}
	return 0
}
