package balancer

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/fakeplatform"
	"github.com/cornelbay/cornelbay/gossip"
	"github.com/cornelbay/cornelbay/platform"
)

// Ports, the same on all hosts of a testEnv.
const (
	packetPort = 18172
	readyPort  = 18167
	peerPort   = 17720
)

var (
	key      = make([]byte, 32)
	service1 = netip.MustParseAddrPort("198.18.0.1:8080")
	service2 = netip.MustParseAddrPort("198.18.0.1:8443")
)

// testEnv is a fake store with targets and hosts on loopback addresses. Each test
// passes its own net number, so that the addresses of tests don't overlap.
type testEnv struct {
	t       *testing.T
	is      *is.I
	subnet  byte
	store   *fakeplatform.Store
	storeAt netip.AddrPort
	hosts   map[int]*Balancer
	callers int
}

func newTestEnv(t *testing.T, netNumber byte) *testEnv {
	w := &testEnv{t: t, is: is.New(t), subnet: netNumber, store: &fakeplatform.Store{}, hosts: map[int]*Balancer{}}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	w.is.NoErr(err)
	srv := &http.Server{Handler: w.store}
	go func() { _ = srv.Serve(l) }() // until it is closed
	t.Cleanup(func() { _ = srv.Close() })
	w.storeAt = netip.MustParseAddrPort(l.Addr().String())
	w.store.PutRoutes(1, route(service1, "s1"), route(service2, "s2"))
	w.store.Put(platform.EvacuationKind, "nowhere", map[string]any{}) // a data centre without targets
	return w
}

// address returns the nth address of a kind: 1 for hosts, 2 for targets, 3 for callers,
// 5 for fake peers, and 9 for callers that are only named in flows.
func (w *testEnv) address(kind, n byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, w.subnet, kind, n})
}

func route(at netip.AddrPort, service string) fakeplatform.Route {
	return fakeplatform.Route{Address: at, Service: service}
}

// target starts a target and announces it in the store.
func (w *testEnv) target(n byte, service, dataCentre string) *fakeplatform.Target {
	number := uint64(w.subnet)<<8 | uint64(n)
	tg, err := fakeplatform.ListenTarget(netip.AddrPortFrom(w.address(2, n), 19000), fmt.Sprintf("i-%x", number), number)
	w.is.NoErr(err)
	w.t.Cleanup(func() { _ = tg.Close() })
	w.store.PutTarget(tg, service, dataCentre, false)
	return tg
}

func (w *testEnv) settings(n int, dataCentre string) platform.Settings {
	at := w.address(1, byte(n))
	return platform.Settings{
		Host: cornelbay.HostName(fmt.Sprintf("h%d", n)), DataCentre: cornelbay.DataCentreName(dataCentre), Address: at,
		Packets: netip.AddrPortFrom(at, packetPort), Ready: netip.AddrPortFrom(at, readyPort), PeerPort: peerPort,
		Seeds: []netip.Addr{w.address(1, 1)}, Store: w.storeAt, Grace: 6 * time.Second,
		MaxFlowAge: time.Minute, WarmUpFactor: 1,
		ConfigBound: 3 * time.Second, DrainBound: 3 * time.Second, EvacuationBound: 5 * time.Second,
	}
}

// host starts a host and waits until it is ready.
func (w *testEnv) host(n int, dataCentre string) *Balancer {
	b := w.startHost(n, dataCentre)
	w.eventually("host is ready", func() bool { return b.ready.Load() })
	return b
}

func (w *testEnv) startHost(n int, dataCentre string) *Balancer {
	b, err := Start(Config{Settings: w.settings(n, dataCentre), Key: key})
	w.is.NoErr(err)
	w.hosts[n] = b
	w.t.Cleanup(func() { _ = b.close() })
	return b
}

// eventually waits until ok returns true. The timeout of 30 s or more is far above the
// expected time, so that a slow machine doesn't fail the test.
func (w *testEnv) eventually(what string, ok func() bool) {
	w.t.Helper()
	for range 3000 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	w.t.Fatalf("timed out waiting for: %s", what)
}

func (w *testEnv) at(n int) netip.AddrPort {
	return netip.AddrPortFrom(w.address(1, byte(n)), packetPort)
}

func (w *testEnv) caller() *fakeplatform.Caller {
	w.callers++
	c, err := fakeplatform.ListenCaller(netip.AddrPortFrom(w.address(3, byte(w.callers)), packetPort))
	w.is.NoErr(err)
	w.t.Cleanup(func() { _ = c.Close() })
	return c
}

// open opens a flow through host n and returns it with the name of the target that
// answered.
func (w *testEnv) open(n int, service netip.AddrPort) (*fakeplatform.Flow, string, error) {
	f, err := w.caller().Open(w.t.Context(), w.at(n), service)
	if err != nil {
		return nil, "", err
	}
	name, err := f.Ask(w.t.Context(), w.at(n), answerTime)
	return f, name, err
}

// answerTime is how long a test waits for the answer to a request.
const answerTime = 10 * time.Second

func (w *testEnv) mustOpen(n int, service netip.AddrPort) (*fakeplatform.Flow, string) {
	w.t.Helper()
	f, name, err := w.open(n, service)
	w.is.NoErr(err)
	return f, name
}

func TestFlowsReachTheTargetsOfTheirRoute(t *testing.T) {
	w := newTestEnv(t, 101)
	t1, t2 := w.target(1, "s1", "a"), w.target(2, "s2", "a")
	w.host(1, "a")
	for range 5 {
		_, name := w.mustOpen(1, service1)
		w.is.Equal(name, t1.Name)
		_, name = w.mustOpen(1, service2)
		w.is.Equal(name, t2.Name)
	}
	_, _, err := w.open(1, netip.MustParseAddrPort("198.18.0.1:99"))
	w.is.True(errors.Is(err, fakeplatform.ErrReset)) // no route
}

func TestFlowContinuesThroughAnotherHost(t *testing.T) {
	w := newTestEnv(t, 102)
	tg := w.target(1, "s1", "a")
	w.target(2, "s1", "a")
	w.target(3, "s1", "b")
	w.host(1, "a")
	f, name := w.mustOpen(1, service1)
	w.host(2, "b") // has not seen the flow before
	w.is.NoErr(w.hosts[1].close())
	for range 3 {
		again, err := f.Ask(t.Context(), w.at(2), answerTime)
		w.is.NoErr(err)
		w.is.Equal(again, name)
	}
	w.is.Equal(tg.Stray(), 0)
}

func TestOpenFlowSurvivesDrainDeletionAndEvacuation(t *testing.T) {
	w := newTestEnv(t, 103)
	tg := w.target(1, "s1", "a")
	w.host(1, "a")
	f, _ := w.mustOpen(1, service1)
	w.store.PutTarget(tg, "s1", "a", true)
	other := w.target(2, "s1", "a")
	w.eventually("new flows leave the draining target", func() bool {
		_, name := w.mustOpen(1, service1)
		return name == other.Name
	})
	w.store.Put(platform.TargetKind, tg.Name, nil)
	w.store.Put(platform.EvacuationKind, "a", map[string]any{})
	w.eventually("evacuated", func() bool {
		_, _, err := w.open(1, service1)
		return errors.Is(err, fakeplatform.ErrReset)
	})
	name, err := f.Ask(t.Context(), w.at(1), answerTime)
	w.is.NoErr(err)
	w.is.Equal(name, tg.Name)
	w.store.Put(platform.EvacuationKind, "a", nil)
	w.eventually("evacuation ended", func() bool {
		_, name, err := w.open(1, service1)
		return err == nil && name == other.Name
	})
}

func TestOpeningIsRetriedAtAnotherTarget(t *testing.T) {
	w := newTestEnv(t, 104)
	dead, alive := w.target(1, "s1", "a"), w.target(2, "s1", "b")
	w.host(1, "a")
	dead.Silent.Store(true)
	_, name := w.mustOpen(1, service1)
	w.is.Equal(name, alive.Name)
	b := w.hosts[1]
	b.trafficMu.Lock()
	defer b.trafficMu.Unlock()
	w.is.True(b.placer.Counters().Retried > 0)
}

// TestHostStartsFromSeedWhileStoreRefuses starts a host while the store refuses its
// calls in various ways: the host must get its tables from its seed, and read the
// store again once it serves.
func TestHostStartsFromSeedWhileStoreRefuses(t *testing.T) {
	for i, refusal := range []fakeplatform.FailureMode{fakeplatform.Unavailable, fakeplatform.RateLimited, fakeplatform.ConnectionReset, fakeplatform.NoResponse} {
		t.Run(fmt.Sprint(refusal), func(t *testing.T) {
			w := newTestEnv(t, byte(110+i))
			w.target(1, "s1", "a")
			w.target(2, "s2", "a")
			w.host(1, "a")
			w.store.Set(fakeplatform.Faults{Mode: refusal})
			w.host(2, "b") // gets all its tables from the first host
			_, _ = w.mustOpen(2, service1)

			w.store.Set(fakeplatform.Faults{})
			w.eventually("the store serves again", func() bool {
				w.store.PutRoutes(2, route(service2, "s2"))
				_, _, err := w.open(2, service1)
				return errors.Is(err, fakeplatform.ErrReset)
			})
		})
	}
}

func TestTableIsRelistedAfterHistoryLoss(t *testing.T) {
	w := newTestEnv(t, 105)
	w.target(1, "s1", "a")
	w.target(2, "s2", "a")
	w.host(1, "a")
	w.store.Set(fakeplatform.Faults{DropEvents: true})
	w.store.PutRoutes(2, route(service2, "s2"))
	w.store.DropHistory()
	w.eventually("the route is gone", func() bool {
		_, _, err := w.open(1, service1)
		return errors.Is(err, fakeplatform.ErrReset)
	})
}

// TestHostIsNotReadyWithoutConfiguration guards against a host that becomes ready
// before it has any routes and then resets flows that have one.
func TestHostIsNotReadyWithoutConfiguration(t *testing.T) {
	w := newTestEnv(t, 115)
	w.store.RemoveRoutes()
	tg := w.target(1, "s1", "a")
	b := w.startHost(1, "a")
	w.eventually("targets are known", func() bool {
		b.stateMu.Lock()
		defer b.stateMu.Unlock()
		return b.tables.Targets.Revision() > 0
	})
	w.is.True(!b.ready.Load())
	w.store.PutRoutes(1, route(service1, "s1"))
	w.eventually("ready", func() bool { return b.ready.Load() })
	_, name := w.mustOpen(1, service1)
	w.is.Equal(name, tg.Name)
}

func TestMalformedObjectsAreSkipped(t *testing.T) {
	w := newTestEnv(t, 106)
	tg := w.target(1, "s1", "a")
	w.store.Put(platform.TargetKind, "i-99", map[string]any{"service": 3})
	w.store.Put(platform.TargetKind, "what", "text")
	w.host(1, "a")
	_, name := w.mustOpen(1, service1)
	w.is.Equal(name, tg.Name)
}

func TestPlannedStop(t *testing.T) {
	w := newTestEnv(t, 107)
	w.target(1, "s1", "a")
	b := w.host(1, "a")
	ready := "http://" + b.settings.Load().Ready.String() + platform.ReadyPath
	w.is.Equal(status(t, ready), http.StatusOK)
	f, _ := w.mustOpen(1, service1)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		b.Stop()
	}()
	w.eventually("not ready", func() bool { return status(t, ready) == http.StatusServiceUnavailable })
	_, err := f.Ask(t.Context(), w.at(1), answerTime) // it still forwards
	w.is.NoErr(err)
	_, _ = w.mustOpen(1, service1)
	<-stopped
}

func status(t *testing.T, url string) int {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	_ = res.Body.Close()
	return res.StatusCode
}

// TestIncarnationAdvancesAfterClockSetBack covers a host that restarts after its clock
// was set back. With an incarnation below its last one, the other hosts would reject
// its heartbeats as replays.
func TestIncarnationAdvancesAfterClockSetBack(t *testing.T) {
	w := newTestEnv(t, 108)
	w.target(1, "s1", "a")
	first := w.host(1, "a")
	second := w.host(2, "a")
	w.eventually("the first hears the second", func() bool { return lastIncarnation(first, "h2") > 0 })
	before := lastIncarnation(first, "h2")
	second.stateMu.Lock()
	second.codec.Incarnation = 1 // as if it had started with an early clock
	second.stateMu.Unlock()
	second.pullFrom(first.self, gossip.Revisions{}, 0)
	w.eventually("the second is heard again", func() bool { return lastIncarnation(first, "h2") > before })
}

func lastIncarnation(b *Balancer, name cornelbay.HostName) cornelbay.Incarnation {
	b.stateMu.Lock()
	defer b.stateMu.Unlock()
	return b.members.Incarnation(name)
}

func TestOneReader(t *testing.T) {
	w := newTestEnv(t, 109)
	w.target(1, "s1", "a")
	for n := 1; n <= 4; n++ {
		w.host(n, "a")
	}
	w.eventually("all hear each other", func() bool {
		for _, b := range w.hosts {
			b.stateMu.Lock()
			n := len(b.members.Alive(time.Now()))
			b.stateMu.Unlock()
			if n < len(w.hosts)-1 {
				return false
			}
		}
		return true
	})
	reads := 0
	for _, b := range w.hosts {
		b.stateMu.Lock()
		if b.members.IsReader(time.Now(), false) {
			reads++
		}
		b.stateMu.Unlock()
	}
	w.is.Equal(reads, 1)
	w.store.PutRoutes(2, route(service2, "s2"))
	w.eventually("all know of the change", func() bool {
		for _, b := range w.hosts {
			if b.version() != 2 {
				return false
			}
		}
		return true
	})
}

func TestMalformedPacketsAreDroppedAndCounted(t *testing.T) {
	w := newTestEnv(t, 114)
	w.target(1, "s1", "a")
	w.host(1, "a")
	c, err := net.Dial("udp4", w.at(1).String())
	w.is.NoErr(err)
	defer func() { _ = c.Close() }()
	// A header has 31 bytes, the longest packet 1231.
	for _, n := range []int{0, 1, 30, 32, 1231, 1232, 1400} {
		_, err := c.Write(make([]byte, n))
		w.is.NoErr(err)
	}
	want := map[string]float64{reasonTruncated: 3, reasonLength: 0, reasonOverlong: 2}
	// The length field of a packet of 32 to 1231 zero bytes is wrong.
	want[reasonLength] = 2
	for reason, n := range want {
		w.eventually(reason, func() bool { return verdictCount(t, w.hosts[1], reason) == n })
	}
}

// verdictCount returns the counter of a verdict.
func verdictCount(t *testing.T, b *Balancer, verdict string) float64 {
	t.Helper()
	families, err := b.metrics.registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range families {
		for _, m := range f.GetMetric() {
			for _, l := range m.GetLabel() {
				if f.GetName() == "cornelbay_packets_total" && l.GetValue() == verdict {
					return m.GetCounter().GetValue()
				}
			}
		}
	}
	return 0
}
