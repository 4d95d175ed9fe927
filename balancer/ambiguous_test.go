package balancer

import (
	"errors"
	"net"
	"net/netip"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/fakeplatform"
	"github.com/cornelbay/cornelbay/gossip"
	"github.com/cornelbay/cornelbay/peer"
	"github.com/cornelbay/cornelbay/placement"
	"github.com/cornelbay/cornelbay/registry"
)

// fakePeer is another host that only sends heartbeats and counts the ambiguous flows
// that it receives.
type fakePeer struct {
	self  registry.Host
	conn  *net.UDPConn
	codec peer.Codec
}

func newFakePeer(w *testEnv, n byte, name cornelbay.HostName) *fakePeer {
	at := netip.AddrPortFrom(w.address(5, n), peerPort)
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	w.is.NoErr(err)
	w.t.Cleanup(func() { _ = c.Close() })
	return &fakePeer{
		self: registry.Host{Name: name, DataCentre: "a", Address: at}, conn: c,
		codec: peer.Codec{Self: name, Incarnation: 1, Keys: [][]byte{key}},
	}
}

func (p *fakePeer) sendHeartbeat(t *testing.T, to *Balancer) {
	t.Helper()
	datagram, err := p.codec.Seal(gossip.Heartbeat{Host: p.self, IntervalMs: 150})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := p.conn.WriteToUDPAddrPort(datagram, to.self.Address); err != nil {
		t.Fatal(err)
	}
}

// receiveAmbiguous returns the number of ambiguous flows and of datagrams with them
// that arrive until none has arrived for the time quiet.
func (p *fakePeer) receiveAmbiguous(t *testing.T, quiet time.Duration) (n, datagrams int) {
	t.Helper()
	open := peer.Codec{Self: "test", Keys: [][]byte{key}}
	buf := make([]byte, peer.MaxDatagramBytes)
	until := time.Now().Add(quiet)
	for {
		if err := p.conn.SetReadDeadline(until); err != nil {
			t.Fatal(err)
		}
		size, err := p.conn.Read(buf)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return n, datagrams
		}
		if err != nil {
			t.Fatal(err)
		}
		if _, m, err := open.Open(buf[:size]); err == nil && m.Kind() == cornelbay.KindDoubts {
			n += len(m.(gossip.AmbiguousFlows).Flows)
			datagrams++
			until = time.Now().Add(quiet)
		}
	}
}

// joinTimeOfRouters is the time after a host has joined until the routers send it packets, and
// others don't try openings at several targets for lack of packets.
const joinTimeOfRouters = 800 * time.Millisecond

// TestJoiningHostIsNoEvidenceAgainstTargets guards against a flow that is reset while its target lives:
// its packets go to a host that joins, and the host that opened it tries it at another target.
func TestJoiningHostIsNoEvidenceAgainstTargets(t *testing.T) {
	w := newTestEnv(t, 83)
	first, second := w.target(1, "s1", "a"), w.target(2, "s1", "b")
	b := w.host(1, "a")
	p := newFakePeer(w, 1, "p1")
	time.Sleep(joinTimeOfRouters)
	p.sendHeartbeat(t, b)
	w.eventually("the peer is heard", func() bool { return lastIncarnation(b, "p1") > 0 })
	f, err := w.caller().Open(t.Context(), w.at(1), service1)
	w.is.NoErr(err)
	_, err = f.Ask(t.Context(), w.at(9), 150*time.Millisecond) // no host
	w.is.True(errors.Is(err, fakeplatform.ErrNoReply))
	w.is.True(first.Openings() == 0 || second.Openings() == 0)
}

// TestAmbiguousFlowsAreSentOnlyToReturningHost checks that only a host that is heard
// again gets all ambiguous flows. If all hosts got them, these datagrams would overload
// a large fleet whose hosts come back together.
func TestAmbiguousFlowsAreSentOnlyToReturningHost(t *testing.T) {
	w := newTestEnv(t, 116)
	is := is.New(t)
	tg := w.target(1, "s1", "a")
	b := w.host(1, "a")
	first, second := newFakePeer(w, 1, "p1"), newFakePeer(w, 2, "p2")
	first.sendHeartbeat(t, b)
	w.eventually("the first is heard", func() bool { return lastIncarnation(b, "p1") > 0 })
	flow := cornelbay.FlowKey{
		Source: netip.MustParseAddrPort("127.116.9.9:1"), Destination: service1, Protocol: cornelbay.TCP.Number(),
	}
	cookie := registry.Cookie(tg.Number)
	b.trafficMu.Lock()
	b.placer.MergeAmbiguousFlow(time.Now(), placement.AmbiguousFlow{Key: flow, Tried: []uint32{cookie + 1, cookie}, Chosen: cookie})
	b.trafficMu.Unlock()
	n, _ := first.receiveAmbiguous(t, 500*time.Millisecond)
	is.Equal(n, 0)

	second.sendHeartbeat(t, b)
	received := false
	for range 20 {
		n, _ := second.receiveAmbiguous(t, 500*time.Millisecond)
		if received = n > 0; received {
			break
		}
	}
	is.True(received)
	n, _ = first.receiveAmbiguous(t, 500*time.Millisecond)
	is.Equal(n, 0)
}

// TestAmbiguousFlowsAreBatched checks that queued flows share datagrams, so that they
// are reported quickly. If a host dies before it has reported them, the others send
// packets of these flows to the wrong targets.
func TestAmbiguousFlowsAreBatched(t *testing.T) {
	w := newTestEnv(t, 117)
	w.target(1, "s1", "a")
	b := w.host(1, "a")
	p := newFakePeer(w, 1, "p1")
	p.sendHeartbeat(t, b)
	w.eventually("the peer is a recipient of heartbeats", func() bool {
		b.stateMu.Lock()
		defer b.stateMu.Unlock()
		return slices.Contains(b.members.Known(), p.self)
	})
	var all []placement.AmbiguousFlow
	for port := range uint16(maxQueuedAmbiguous) {
		all = append(all, placement.AmbiguousFlow{
			Key: cornelbay.FlowKey{
				Source: netip.AddrPortFrom(w.address(9, 9), 40000+port), Destination: service1, Protocol: cornelbay.TCP.Number(),
			},
			Tried: []uint32{0xf0000001, 0xf0000002, 0xf0000003, 0xf0000004, 0xf0000005, 0xf0000006}, Chosen: 0xf0000002,
			ChosenAt: time.Now().Add(-time.Minute),
		})
	}
	b.queueAmbiguous(all, netip.AddrPort{})
	n, datagrams := p.receiveAmbiguous(t, time.Second)
	w.is.Equal(n, maxQueuedAmbiguous)
	w.is.True(datagrams <= 2*maxQueuedAmbiguous/maxAmbiguousPerDatagram)
}

// TestCallersLearnTheCookieOfTheirTarget guards against a flow that is reset while its target
// lives: another target has answered the opening late, both ends of the flow repeat the cookie of
// that answer, and a host that doesn't know the flow follows it.
func TestCallersLearnTheCookieOfTheirTarget(t *testing.T) {
	w := newTestEnv(t, 72)
	is := is.New(t)
	late, tg := w.target(1, "s1", "a"), w.target(2, "s1", "b")
	const lateBy, work = 150 * time.Millisecond, 500 * time.Millisecond
	late.Delay.Store(int64(lateBy))
	w.host(1, "a")
	time.Sleep(joinTimeOfRouters)
	f, err := w.caller().Open(t.Context(), w.at(1), service1)
	is.NoErr(err)
	tg.Work.Store(int64(work))
	_, err = f.Ask(t.Context(), w.at(1), 2*lateBy)
	is.True(errors.Is(err, fakeplatform.ErrNoReply)) // the late answer has come meanwhile
	is.Equal(late.Openings(), 1)
	name, err := f.Ask(t.Context(), w.at(1), answerTime)
	is.NoErr(err)
	is.Equal(name, tg.Name)
	w.is.NoErr(w.hosts[1].close())
	w.host(2, "a")
	name, err = f.Ask(t.Context(), w.at(2), answerTime)
	is.NoErr(err)
	is.Equal(name, tg.Name)
	is.Equal(late.Stray(), 0)
}

// TestStoppingHostHandsItsAmbiguousFlowsOver guards against a flow that is reset at a planned stop
// of its host: the announcement of its target was lost on the way to the other hosts.
func TestStoppingHostHandsItsAmbiguousFlowsOver(t *testing.T) {
	w := newTestEnv(t, 73)
	is := is.New(t)
	tg := w.target(1, "s1", "a")
	b := w.host(1, "a")
	p := newFakePeer(w, 1, "p1")
	p.sendHeartbeat(t, b)
	w.eventually("the peer is heard", func() bool { return lastIncarnation(b, "p1") > 0 })
	cookie := registry.Cookie(tg.Number)
	flow := cornelbay.FlowKey{
		Source: netip.MustParseAddrPort("127.73.9.9:1"), Destination: service1, Protocol: cornelbay.TCP.Number(),
	}
	b.trafficMu.Lock()
	b.placer.MergeAmbiguousFlow(time.Now(), placement.AmbiguousFlow{Key: flow, Tried: []uint32{cookie + 1, cookie}, Chosen: cookie})
	b.trafficMu.Unlock()
	n, _ := p.receiveAmbiguous(t, 500*time.Millisecond)
	is.Equal(n, 0)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		b.Stop()
	}()
	n, _ = p.receiveAmbiguous(t, time.Second)
	is.True(n > 1) // more than once, as datagrams may be lost
	<-stopped
}

// TestStartingHostKnowsAmbiguousFlowsOnceReady guards against a flow that is reset at the restart of
// its host: the first packet arrives before the other hosts have told it which target has the flow.
func TestStartingHostKnowsAmbiguousFlowsOnceReady(t *testing.T) {
	w := newTestEnv(t, 74)
	is := is.New(t)
	tg, late := w.target(1, "s1", "a"), w.target(2, "s1", "a")
	b := w.host(1, "a")
	cookie, wrong := registry.Cookie(tg.Number), registry.Cookie(late.Number)
	flow := cornelbay.FlowKey{
		Source: netip.MustParseAddrPort("127.74.9.9:1"), Destination: service1, Protocol: cornelbay.TCP.Number(),
	}
	b.trafficMu.Lock()
	b.placer.MergeAmbiguousFlow(time.Now(), placement.AmbiguousFlow{Key: flow, Tried: []uint32{wrong, cookie}, Chosen: cookie})
	b.trafficMu.Unlock()
	started := w.startHost(2, "a")
	for !started.ready.Load() {
		time.Sleep(time.Millisecond)
	}
	started.trafficMu.Lock()
	defer started.trafficMu.Unlock()
	is.Equal(started.placer.RoutePacket(time.Now(), flow, placement.Segment{Cookie: wrong}), cookie)
}

// TestPacketWaitsUntilTheHostKnowsAmbiguousFlows guards against a flow that is reset when its host has
// been killed and is back before the routers notice: they send it packets although it isn't ready.
func TestPacketWaitsUntilTheHostKnowsAmbiguousFlows(t *testing.T) {
	w := newTestEnv(t, 78)
	is := is.New(t)
	late, tg := w.target(1, "s1", "a"), w.target(2, "s1", "b")
	const lateBy = 150 * time.Millisecond
	late.Delay.Store(int64(lateBy))
	w.host(1, "a")
	time.Sleep(joinTimeOfRouters)
	f, err := w.caller().Open(t.Context(), w.at(1), service1)
	is.NoErr(err)
	is.NoErr(f.Acknowledge(w.at(1)))
	_, err = f.Ask(t.Context(), w.at(9), 2*lateBy) // no host
	is.True(errors.Is(err, fakeplatform.ErrNoReply))
	is.Equal(late.Openings(), 1) // its packets carry the cookie of the late answer now
	w.startHost(2, "a")
	name, err := f.Ask(t.Context(), w.at(2), answerTime) // sent once
	is.NoErr(err)
	is.Equal(name, tg.Name)
	is.Equal(late.Stray(), 0)
}

// TestHostIsNotReadyWhileOthersAnswerIt is TestStartingHostKnowsAmbiguousFlowsOnceReady without a race:
// a host has to leave the others time for their answers.
func TestHostIsNotReadyWhileOthersAnswerIt(t *testing.T) {
	w := newTestEnv(t, 76)
	w.target(1, "s1", "a")
	b := w.host(1, "a")
	w.is.NoErr(b.close())
	b.stateMu.Lock()
	defer b.stateMu.Unlock()
	b.ready.Store(false)
	b.joinedAt = time.Time{}
	now := time.Now().Add(time.Hour) // later than the host's own timer
	for _, c := range []struct {
		after time.Duration
		ready bool
	}{{0, false}, {49 * time.Millisecond, false}, {50 * time.Millisecond, true}} {
		b.checkReady(now.Add(c.after))
		w.is.Equal(b.ready.Load(), c.ready)
	}
}
