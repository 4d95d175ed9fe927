package balancer

import (
	"maps"
	"os"
	"regexp"
	"slices"
	"testing"
	"time"

	"github.com/cornelbay/cornelbay/admission"
	"github.com/cornelbay/cornelbay/fakeplatform"
	"github.com/cornelbay/cornelbay/placement"
)

// TestMetricsAreDocumented checks that OPERATIONS.md names exactly the metrics that a
// host serves.
func TestMetricsAreDocumented(t *testing.T) {
	w := newTestEnv(t, 119)
	w.target(1, "s1", "a")
	a, b := w.host(1, "a"), w.host(2, "a")
	a.droppedLogLines = func() uint64 { return 0 }
	a.metrics.countShed(placement.Admission{Reason: admission.Overload})
	_, _ = w.mustOpen(1, service1)
	w.store.PutRoutes(2, fakeplatform.Route{Address: service1, Service: "s1", Objective: time.Second})
	w.eventually("the change has come by the other host", func() bool {
		return max(sampleCount(t, a, "cornelbay_dissemination_seconds"), sampleCount(t, b, "cornelbay_dissemination_seconds")) > 0
	})
	// Shares are divided with the first flow of a limited service.
	w.eventually("the host has the route", func() bool { return a.version() == 2 })
	_, _ = w.mustOpen(1, service1)

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

// sampleCount returns the number of samples in a histogram.
func sampleCount(t *testing.T, b *Balancer, name string) uint64 {
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
