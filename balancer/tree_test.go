package balancer

import (
	"fmt"
	"testing"
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/fakeplatform"
	"github.com/cornelbay/cornelbay/gossip"
	"github.com/cornelbay/cornelbay/registry"
)

// fleetSize is large enough for heartbeats to follow a tree.
const fleetSize = 18

// startFleet starts hosts in two data centres and waits until all are in the tree.
func (w *testEnv) startFleet() {
	for n := 1; n <= fleetSize; n++ {
		w.startHost(n, []string{"a", "b"}[n%2])
	}
	w.eventually("all hosts are ready and in the tree", func() bool {
		for _, b := range w.hosts {
			if !b.ready.Load() || !inTree(b) {
				return false
			}
		}
		return true
	})
}

// inTree reports whether a host knows all others and hears a relay or leads.
func inTree(b *Balancer) bool {
	b.stateMu.Lock()
	defer b.stateMu.Unlock()
	now := time.Now()
	n := b.members.Neighbours(now)
	return len(b.members.Known()) == fleetSize-1 && len(n.Mesh) == 0 && (n.Lead || n.Relay.Name != "" && !n.StandIn)
}

func (w *testEnv) allAtVersion(version uint64) func() bool {
	return func() bool {
		for _, b := range w.hosts {
			if b.version() != version {
				return false
			}
		}
		return true
	}
}

func (w *testEnv) storeCalls() int {
	calls := 0
	for _, k := range objectKinds {
		calls += w.store.Calls(k.name)
	}
	return calls
}

// TestTreeOfHosts starts a fleet whose hosts all start together. Changes must reach all of
// them although one reads the store, also after the lead of a data centre has died.
func TestTreeOfHosts(t *testing.T) {
	w := newTestEnv(t, 126)
	tg := w.target(1, "s1", "a")
	w.startFleet()
	w.store.PutRoutes(2, route(service1, "s1"))
	w.eventually("version 2 is everywhere", w.allAtVersion(2))

	dead := w.hosts[2] // the first of data centre a by name is h10
	for n, b := range w.hosts {
		if b.self.DataCentre == "a" && b.self.Name < dead.self.Name {
			dead = w.hosts[n]
		}
	}
	for n, b := range w.hosts {
		if b == dead {
			delete(w.hosts, n)
		}
	}
	w.is.NoErr(dead.close())
	w.store.PutRoutes(3, route(service1, "s1"))
	w.eventually("version 3 is everywhere", w.allAtVersion(3))
	for n := range w.hosts {
		_, name := w.mustOpen(n, service1)
		w.is.Equal(name, tg.Name)
	}
}

// TestFleetOutlivesStore lets the store refuse all calls, and kills the reader meanwhile.
// The others must continue, and one of them must read the store when it serves again.
func TestFleetOutlivesStore(t *testing.T) {
	w := newTestEnv(t, 127)
	tg := w.target(1, "s1", "a")
	w.startFleet()
	w.store.Set(fakeplatform.Faults{Mode: fakeplatform.Unavailable})
	for n, b := range w.hosts {
		if b.self.Name == "h10" {
			w.is.NoErr(b.close())
			delete(w.hosts, n)
		}
	}
	for n := range w.hosts {
		_, name := w.mustOpen(n, service1)
		w.is.Equal(name, tg.Name)
	}
	w.store.Set(fakeplatform.Faults{})
	w.store.PutRoutes(2, route(service1, "s1"))
	w.eventually("version 2 is everywhere", w.allAtVersion(2))
}

// TestHostsStartFromCopiesAndPeers checks that a host that starts in a fleet at rest makes
// few calls: it lists each kind once and registers.
func TestHostsStartFromCopiesAndPeers(t *testing.T) {
	w := newTestEnv(t, 128)
	w.target(1, "s1", "a")
	w.startFleet()
	calls := w.storeCalls()
	w.startHost(fleetSize+1, "a")
	w.eventually("ready", func() bool { return w.hosts[fleetSize+1].ready.Load() })
	readerCalls := 10 // of the reader and its watches meanwhile
	w.is.True(w.storeCalls()-calls <= len(objectKinds)+1+readerCalls)
}

// atTheEnd returns a host that is the last of a data centre, and hears another one.
func (w *testEnv) atTheEnd() *Balancer {
	b := w.host(1, "a")
	var others []registry.Host
	for n := range fleetSize {
		others = append(others, registry.Host{Name: cornelbay.HostName(fmt.Sprintf("a%02d", n)), DataCentre: "a"})
	}
	b.stateMu.Lock()
	defer b.stateMu.Unlock()
	b.started = time.Now().Add(-time.Minute)
	b.members = gossip.Members{Self: b.self}
	b.members.SetRegistered(time.Now(), others) // all are before h1
	b.members.Observe(time.Now(), 1, gossip.Heartbeat{Host: others[0], Relay: true, IntervalMs: 250})
	return b
}

// TestHostReadsOverdueTableWithinItsBound guards against a host of a large data centre that waits for
// its turn to read the store until the bound on changes is over, while no other host tells it of them.
func TestHostReadsOverdueTableWithinItsBound(t *testing.T) {
	w := newTestEnv(t, 79)
	w.target(1, "s1", "a")
	b := w.atTheEnd()
	b.stateMu.Lock()
	defer b.stateMu.Unlock()
	for _, c := range []struct {
		kind  objectKind
		bound time.Duration
	}{
		{routingKind, b.settings.Load().ConfigBound},
		{targetKind, b.settings.Load().DrainBound},
		{evacuationKind, b.settings.Load().EvacuationBound},
	} {
		confirmed := time.Now()
		c.kind.table(&b.tables).Confirm(confirmed)
		latest := confirmed.Add(c.bound - readTime)
		b.members.Observe(latest, 1, gossip.Heartbeat{Host: registry.Host{Name: "a00", DataCentre: "a"}, Relay: true, IntervalMs: 250})
		w.is.True(!b.wantsRead(c.kind, latest.Add(-100*time.Millisecond))) // the others first
		w.is.True(b.wantsRead(c.kind, latest.Add(time.Millisecond)))
	}
}

// TestHostThatIsBehindReadsOverdueTableAtOnce guards against a host that waits for its turn
// to read the store although it can't get what others already know.
func TestHostThatIsBehindReadsOverdueTableAtOnce(t *testing.T) {
	w := newTestEnv(t, 129)
	w.target(1, "s1", "a")
	b := w.atTheEnd()
	b.stateMu.Lock()
	defer b.stateMu.Unlock()
	overdue := 2*time.Second + 100*time.Millisecond
	var confirmed registry.Table[registry.Target]
	confirmed.Replace(time.Now(), b.tables.Targets.Revision(), nil)
	confirmed.Confirm(time.Now().Add(-overdue))
	b.tables.Targets = confirmed
	w.is.True(!b.wantsRead(targetKind, time.Now()))
	b.newest[targetKind.name] = b.tables.Targets.Revision() + 1
	w.is.True(b.wantsRead(targetKind, time.Now()))
}
