package balancer

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/cornelbay/cornelbay/fakeplatform"
	"github.com/cornelbay/cornelbay/platform"
)

// oddSpecs are specs that another writer may leave.
var oddSpecs = []string{
	strings.Repeat(`{"a":`, 50_000) + "1" + strings.Repeat("}", 50_000),
	strings.Repeat("[", 50_000) + strings.Repeat("]", 50_000),
	"\x01\xfe",
	`1e999999`,
	`{"service":"s1","address":"127.0.0.1:99999","zone":"a","version":"v1","slots":2,"state":"ready","warmup_left_ms":0,"seq_no":1,"born":1}`,
	`{"service":"s1","address":"127.0.0.1:0","zone":"a","version":"v1","slots":2,"state":"ready","warmup_left_ms":0,"seq_no":1,"born":1}`,
	`{"service":"s1","address":"127.0.0.1:9","zone":"a","version":"v1","slots":9223372036854775807,"state":"ready","warmup_left_ms":0,"seq_no":1,"born":1}`,
	`{"service":"s1","address":"127.0.0.1:9","zone":"a","version":"v1","slots":2,"state":"ready","warmup_left_ms":1e300,"seq_no":1,"born":1}`,
	`{"name":"odd","dataCentre":"a","address":"127.0.0.1:0"}`,
	`{"version":9,"routes":[{"name":"r","host":"198.18.0.1","path_prefix":"/99999/","service":"s1"}]}`,
	`{"version":99999999999999999999}`,
}

// TestOddObjectsOfEveryKindAreSkipped guards against hosts that end, or stop following the store, as
// another writer has left an odd object of some kind among the others: before they start, and
// while they watch.
func TestOddObjectsOfEveryKindAreSkipped(t *testing.T) {
	for i, spec := range oddSpecs {
		t.Run(fmt.Sprintf("%.40q", spec), func(t *testing.T) {
			w := newTestEnv(t, byte(60+i))
			putOdd := func(name string) {
				for _, kind := range []string{platform.TargetKind, platform.RoutingKind, platform.EvacuationKind, platform.HostKind} {
					w.store.PutRaw(kind, name, []byte(spec))
				}
			}
			first := w.target(1, "s1", "a")
			putOdd("i-0dd1")
			reader := w.host(1, "a")
			other := w.host(2, "a")
			for n := range []*Balancer{reader, other} {
				_, name := w.mustOpen(1+n, service1)
				w.is.Equal(name, first.Name)
			}
			putOdd("i-0dd2")
			w.store.PutRaw(platform.TargetKind, first.Name, []byte(spec)) // the entry of a good target
			second := w.target(2, "s1", "b")
			w.store.PutRoutes(2, route(service1, "s1"))
			for n := 1; n <= 2; n++ {
				w.eventually("the hosts follow the targets and routes", func() bool {
					_, name, err := w.open(n, service1)
					return err == nil && name == second.Name && w.hosts[n].version() == 2
				})
			}
			w.store.Put(platform.EvacuationKind, "b", map[string]any{})
			for n := 1; n <= 2; n++ {
				w.eventually("the hosts follow the evacuations", func() bool {
					_, _, err := w.open(n, service1)
					return errors.Is(err, fakeplatform.ErrReset)
				})
			}
		})
	}
}
