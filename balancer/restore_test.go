package balancer

import (
	"errors"
	"testing"

	"github.com/cornelbay/cornelbay/fakeplatform"
	"github.com/cornelbay/cornelbay/gossip"
	"github.com/cornelbay/cornelbay/platform"
)

// era returns the era that all tables of a host have reached.
func era(b *Balancer) uint64 {
	b.stateMu.Lock()
	defer b.stateMu.Unlock()
	r := gossip.RevisionsOf(&b.tables)
	return min(r.Routing, r.Targets, r.Evacuations).Era()
}

// restore brings the store back from a copy and waits until all hosts have reached an era.
func (w *testEnv) restore(c fakeplatform.Copy, reached uint64) {
	w.t.Helper()
	w.store.Restore(c)
	w.eventually("all hosts have noticed the restore", func() bool {
		for _, b := range w.hosts {
			if era(b) < reached {
				return false
			}
		}
		return true
	})
}

// TestStoreRestoredFromOlderCopy lets the store come back without a configuration, a
// draining target, an evacuation and a new target that hosts know of. Flows and openings
// must go on as before, also at a host that starts afterwards, and changes that use the
// same revisions once more must arrive.
func TestStoreRestoredFromOlderCopy(t *testing.T) {
	w := newTestEnv(t, 121)
	leaving := w.target(1, "s1", "a")
	evacuated := w.target(2, "s1", "b")
	w.host(1, "a")
	w.host(2, "a")
	old := w.store.Copy()

	staying := w.target(3, "s1", "a")
	w.store.PutTarget(leaving, "s1", "a", true)
	w.store.Put(platform.EvacuationKind, "b", map[string]any{})
	w.store.PutRoutes(2, route(service1, "s1"))
	onlyStaying := func(n int) func() bool {
		return func() bool {
			_, name, err := w.open(n, service1)
			return err == nil && name == staying.Name
		}
	}
	w.eventually("the changes are in force", func() bool {
		return w.hosts[1].version() == 2 && w.hosts[2].version() == 2 && onlyStaying(1)() && onlyStaying(2)()
	})
	f, name := w.mustOpen(1, service1)
	w.is.Equal(name, staying.Name)

	openings := leaving.Openings() + evacuated.Openings()
	w.restore(old, 1)
	w.store.PutTarget(staying, "s1", "a", false) // targets announce themselves first
	w.host(3, "a")
	for range 10 {
		for n := range w.hosts {
			_, name := w.mustOpen(n, service1)
			w.is.Equal(name, staying.Name)
			_, _, err := w.open(n, service2) // the configuration of version 2 has no such route
			w.is.True(errors.Is(err, fakeplatform.ErrReset))
		}
	}
	w.is.Equal(leaving.Openings()+evacuated.Openings(), openings)
	again, err := f.Ask(t.Context(), w.at(2), answerTime)
	w.is.NoErr(err)
	w.is.Equal(again, staying.Name)

	w.store.Put(platform.EvacuationKind, "b", map[string]any{})
	w.store.PutTarget(leaving, "s1", "a", true)
	w.store.PutRoutes(2, route(service1, "s1"))
	w.store.PutRoutes(3, route(service1, "s1"), route(service2, "s1"))
	w.eventually("the next configuration is in force", func() bool {
		for _, b := range w.hosts {
			if b.version() != 3 {
				return false
			}
		}
		return true
	})
	w.store.Put(platform.EvacuationKind, "b", nil)
	w.eventually("the evacuation is taken back", func() bool {
		_, _, err := w.open(1, service1)
		w.is.NoErr(err)
		return evacuated.Openings() > 0
	})
}

// TestRestoreAgainDuringRewriting lets the store come back twice, the second time from a
// copy that is even older, and with the same number of writes after each restore.
func TestRestoreAgainDuringRewriting(t *testing.T) {
	w := newTestEnv(t, 122)
	w.target(1, "s1", "a")
	older := w.store.Copy()
	w.host(1, "a")
	w.host(2, "b")
	w.store.PutRoutes(2, route(service1, "s1"))
	w.eventually("version 2", func() bool { return w.hosts[1].version() == 2 && w.hosts[2].version() == 2 })
	old := w.store.Copy()
	w.store.PutRoutes(4, route(service1, "s1"))
	w.eventually("version 4", func() bool { return w.hosts[1].version() == 4 && w.hosts[2].version() == 4 })
	w.restore(old, 1)
	w.restore(older, 2)
	w.is.Equal(w.hosts[1].version(), uint64(4))
	w.is.Equal(w.hosts[2].version(), uint64(4))
	w.store.PutRoutes(4, route(service1, "s1"))
	w.store.PutRoutes(5, route(service1, "s1"))
	w.eventually("version 5", func() bool { return w.hosts[1].version() == 5 && w.hosts[2].version() == 5 })
}

// TestHostRegistersAgainAfterRestore checks that a host whose record the store has lost
// writes it again.
func TestHostRegistersAgainAfterRestore(t *testing.T) {
	w := newTestEnv(t, 123)
	w.target(1, "s1", "a")
	old := w.store.Copy()
	b := w.host(1, "a")
	registered := func() bool {
		objects, _, err := b.store.List(t.Context(), platform.HostKind)
		return err == nil && len(objects) == 1 && objects[0].Name == string(b.self.Name)
	}
	w.eventually("registered", registered)
	w.restore(old, 1)
	w.eventually("registered again", registered)
}
