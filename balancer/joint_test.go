package balancer

import (
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/fakeplatform"
	"github.com/cornelbay/cornelbay/gossip"
	"github.com/cornelbay/cornelbay/peer"
	"github.com/cornelbay/cornelbay/platform"
	"github.com/cornelbay/cornelbay/registry"
)

// counter returns the value of a metric with a label, or of a gauge without one.
func (w *testEnv) counter(b *Balancer, name, label string) float64 {
	w.t.Helper()
	families, err := b.metrics.registry.Gather()
	w.is.NoErr(err)
	for _, f := range families {
		for _, m := range f.GetMetric() {
			switch l := m.GetLabel(); {
			case f.GetName() != name:
			case m.GetGauge() != nil:
				return m.GetGauge().GetValue()
			case len(l) == 1 && l[0].GetValue() == label:
				return m.GetCounter().GetValue()
			}
		}
	}
	return 0
}

// putTargets announces targets that nobody runs.
func (w *testEnv) putTargets(n int) {
	for i := range n {
		w.store.Put(platform.TargetKind, fmt.Sprintf("i-%x", 1<<16+i), map[string]any{
			"service": "s1", "address": fmt.Sprintf("10.1.%d.%d:19000", i/250, i%250), "zone": "a", "version": "v1",
			"slots": 2, "state": "ready", "warmup_left_ms": 0, "seq_no": 1, "born": 1,
		})
	}
}

// allReady waits until all hosts are ready.
func (w *testEnv) allReady() {
	w.t.Helper()
	w.eventually("all hosts are ready", func() bool {
		for _, b := range w.hosts {
			if !b.ready.Load() {
				return false
			}
		}
		return true
	})
}

// TestJointStartSpreadsPulls lets many hosts start together while only one has the tables.
// It fails if that one, the only seed, sends its tables to most of the others, or if it has
// connections to most of them.
func TestJointStartSpreadsPulls(t *testing.T) {
	const fleet, targetsPerHost = 80, 5
	w := newTestEnv(t, 130)
	w.putTargets(fleet * targetsPerHost)
	w.host(1, "a")
	w.store.Set(fakeplatform.Faults{Mode: fakeplatform.Unavailable})
	for n := 2; n <= fleet; n++ {
		w.startHost(n, []string{"a", "b", "c"}[n%3])
	}
	w.allReady()
	for _, b := range w.hosts {
		w.is.True(w.counter(b, "cornelbay_pulls_answered_total", pullWhole) < fleet/2)
		w.is.True(w.counter(b, "cornelbay_peer_connections", "") < fleet/2)
	}
}

// TestRegisteredHostsStartTogether starts all hosts of a fleet that is registered in the
// store at once, as after all were killed. It fails if one host gets connections from a
// large part of the others, be it a seed or a relay.
func TestRegisteredHostsStartTogether(t *testing.T) {
	const fleet, targetsPerHost = 100, 5
	w := newTestEnv(t, 135)
	w.putTargets(fleet * targetsPerHost)
	var all []platform.Settings
	for n := 1; n <= fleet; n++ {
		s := w.settings(n, []string{"a", "b", "c"}[n%3])
		s.Seeds = []netip.Addr{w.address(1, 1), w.address(1, 2), w.address(1, 3)}
		all = append(all, s)
		w.store.Put(platform.HostKind, string(s.Host), registry.Host{
			Name: s.Host, DataCentre: s.DataCentre, Address: netip.AddrPortFrom(s.Address, s.PeerPort),
		})
	}
	for n, s := range all {
		b, err := Start(Config{Settings: s, Key: key})
		w.is.NoErr(err)
		w.hosts[n+1] = b
		t.Cleanup(func() { _ = b.close() })
	}
	w.allReady()
	most := 0.0
	for _, b := range w.hosts {
		most = max(most, w.counter(b, "cornelbay_peer_connections", ""))
	}
	t.Logf("%v connections at the busiest of %d hosts", most, fleet)
	w.is.True(most < fleet*2/5)
}

// TestSmallFleetPullsFromTheSeed guards against a detour in a fleet of up to 13 hosts.
func TestSmallFleetPullsFromTheSeed(t *testing.T) {
	const fleet = 13
	w := newTestEnv(t, 131)
	w.target(1, "s1", "a")
	w.host(1, "a")
	w.store.Set(fakeplatform.Faults{Mode: fakeplatform.Unavailable})
	for n := 2; n <= fleet; n++ {
		w.startHost(n, "a")
	}
	w.allReady()
	for n := 2; n <= fleet; n++ {
		w.is.Equal(w.counter(w.hosts[n], "cornelbay_pulls_answered_total", pullWhole), 0.0)
	}
}

// TestNextSourceIsAskedInPlaceOfASilentOne covers sources whose link is cut, which refuse
// connections, or which are alive without tables.
func TestNextSourceIsAskedInPlaceOfASilentOne(t *testing.T) {
	w := newTestEnv(t, 132)
	w.target(1, "s1", "a")
	seed := w.host(1, "a")
	silent, err := net.Listen("tcp4", netip.AddrPortFrom(w.address(5, 1), peerPort).String())
	w.is.NoErr(err)
	t.Cleanup(func() { _ = silent.Close() })
	for i, c := range []struct {
		title string
		first netip.AddrPort
	}{
		{"accepts connections and is silent", netip.MustParseAddrPort(silent.Addr().String())},
		{"refuses connections", netip.AddrPortFrom(w.address(5, 2), peerPort)},
	} {
		t.Run(c.title, func(t *testing.T) {
			b := w.host(2+i, "a")
			b.stateMu.Lock()
			b.tables = registry.Tables{}
			b.stateMu.Unlock()
			begin := time.Now()
			b.pullAny([]source{{at: c.first, patience: nextSourceDelay}, {at: seed.self.Address}}, gossip.Revisions{})
			w.is.True(b.isSynced())
			w.is.True(time.Since(begin) < pullTimeout)
		})
	}
}

// TestHostPullsFromNamedSources checks the order of sources: those named, then the seeds,
// which are also asked if no host names any, as hosts of earlier versions don't.
func TestHostPullsFromNamedSources(t *testing.T) {
	w := newTestEnv(t, 133)
	b := w.startHost(2, "a")
	w.is.NoErr(b.close())
	seed := netip.AddrPortFrom(w.address(1, 1), peerPort)
	named := []netip.AddrPort{netip.AddrPortFrom(w.address(1, 7), peerPort), netip.AddrPortFrom(w.address(1, 8), peerPort)}
	for _, c := range []struct {
		named   []netip.AddrPort
		attempt int
		want    []source
	}{
		{nil, 0, []source{{seed, nextSeedDelay, 0}}},
		{[]netip.AddrPort{seed}, 0, []source{{seed, nextSeedDelay, 0}}},
		{named, 0, []source{{named[0], nextSourceDelay, maxSourceWait}, {named[1], nextSourceDelay, maxSourceWait}, {seed, nextSourceDelay, 0}}},
		{named, 2, []source{{named[1], nextSourceDelay, maxSourceWait}, {named[0], nextSourceDelay, maxSourceWait}, {seed, nextSourceDelay, 0}}},
	} {
		b.sources = c.named
		sources, large := b.startSources(time.Time{}, c.attempt)
		w.is.Equal(sources, c.want)
		w.is.Equal(large, len(c.named) > 1)
	}
}

// TestChangesDoNotMultiplyReports guards against reports to all neighbours after every
// change: in a large fleet targets change many times a second, and a relay has up to a
// hundred neighbours.
func TestChangesDoNotMultiplyReports(t *testing.T) {
	const others, changes, pause = 18, 20, 100 * time.Millisecond
	w := newTestEnv(t, 134)
	w.target(1, "s1", "a")
	sink, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(w.address(5, 1), peerPort)))
	w.is.NoErr(err)
	t.Cleanup(func() { _ = sink.Close() })
	for n := range others { // all are below the host in the order of names
		h := registry.Host{
			Name: cornelbay.HostName(fmt.Sprintf("z%02d", n)), DataCentre: "a", Address: sink.LocalAddr().(*net.UDPAddr).AddrPort(),
		}
		w.store.Put(platform.HostKind, string(h.Name), h)
	}
	b := w.host(1, "a")
	var reports, pushes, announcements atomic.Int64 // the codec takes one datagram to all others for one
	go func() {
		c := peer.Codec{Self: "sink", Keys: [][]byte{key}}
		buf := make([]byte, peer.MaxDatagramBytes)
		for {
			n, _, err := sink.ReadFromUDPAddrPort(buf)
			if err != nil {
				return
			}
			switch _, m, _ := c.Open(buf[:n]); m := m.(type) {
			case gossip.Push:
				pushes.Add(1)
			case gossip.Heartbeat:
				if m.IntervalMs > 0 {
					reports.Add(1)
				} else {
					announcements.Add(1)
				}
			}
		}
	}()
	w.eventually("the host reads the store and relays", func() bool {
		b.stateMu.Lock()
		defer b.stateMu.Unlock()
		return len(b.members.Neighbours(time.Now()).Below) == others && b.isReader(time.Now())
	})
	w.eventually("reports arrive", func() bool { return reports.Load() > 0 })
	reports.Store(0)
	pushes.Store(0)
	begin := time.Now()
	for n := range changes {
		w.store.PutRoutes(2+n, route(service1, "s1"))
		time.Sleep(pause)
	}
	w.eventually("the last change is in force", func() bool { return b.version() == changes+1 })
	intervals := int64(time.Since(begin)/gossip.RelayInterval) + 2
	t.Logf("%d reports, %d pushes, %d announcements in %d intervals", reports.Load(), pushes.Load(), announcements.Load(), intervals)
	w.is.True(reports.Load() <= intervals)
	w.is.True(pushes.Load() >= changes/4) // changes in quick succession are read together
}
