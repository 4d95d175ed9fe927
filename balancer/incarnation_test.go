package balancer

import (
	"errors"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/gossip"
	"github.com/cornelbay/cornelbay/peer"
	"github.com/cornelbay/cornelbay/placement"
	"github.com/cornelbay/cornelbay/registry"
)

// TestHostWhoseClockWasSetBackIsHeard guards against a flow that is reset while its target lives: its
// host has started with an early clock, and the others refuse what it tells them of the flow.
func TestHostWhoseClockWasSetBackIsHeard(t *testing.T) {
	w := newTestEnv(t, 80)
	tg, late := w.target(1, "s1", "a"), w.target(2, "s1", "a")
	first, second := w.host(1, "a"), w.host(2, "b")
	w.eventually("the first hears the second", func() bool { return lastIncarnation(first, "h2") > 0 })
	cookie, wrong := registry.Cookie(tg.Number), registry.Cookie(late.Number)
	flow := cornelbay.FlowKey{
		Source: netip.MustParseAddrPort("127.80.9.9:1"), Destination: service1, Protocol: cornelbay.TCP.Number(),
	}
	a := placement.AmbiguousFlow{Key: flow, Tried: []uint32{wrong, cookie}, Chosen: cookie}
	second.stateMu.Lock()
	second.codec.Incarnation = 1 // as if it had started with an early clock
	second.trafficMu.Lock()
	second.placer.MergeAmbiguousFlow(time.Now(), a)
	second.trafficMu.Unlock()
	second.stateMu.Unlock()
	second.queueAmbiguous([]placement.AmbiguousFlow{a}, netip.AddrPort{})
	w.eventually("the first knows the flow", func() bool {
		first.trafficMu.Lock()
		defer first.trafficMu.Unlock()
		for _, f := range first.placer.OpenAmbiguousFlows(time.Now()) {
			if f.Key == flow && f.Chosen == cookie {
				return true
			}
		}
		return false
	})
}

// TestHostWhoseClockWasSetBackJoinsAgain guards against a host that gets ready before the others have
// told it of ambiguous flows, as they refused the message that asks for them.
func TestHostWhoseClockWasSetBackJoinsAgain(t *testing.T) {
	w := newTestEnv(t, 81)
	w.target(1, "s1", "a")
	b := w.host(1, "a")
	w.is.NoErr(b.close())
	b.stateMu.Lock()
	defer b.stateMu.Unlock()
	b.ready.Store(false)
	b.joinedAt = time.Time{}
	now := time.Now().Add(time.Hour) // later than the host's own timer
	b.checkReady(now)
	own := b.codec.Incarnation
	b.passIncarnation(now.Add(20*time.Millisecond), own-1, netip.AddrPort{}) // a replay was refused
	w.is.Equal(b.codec.Incarnation, own)
	b.passIncarnation(now.Add(30*time.Millisecond), own+1000, netip.AddrPort{})
	w.is.Equal(b.codec.Incarnation, own+1001)
	for _, c := range []struct {
		after time.Duration
		ready bool
	}{{50 * time.Millisecond, false}, {79 * time.Millisecond, false}, {80 * time.Millisecond, true}} {
		b.checkReady(now.Add(c.after))
		w.is.Equal(b.ready.Load(), c.ready)
	}
}

// TestEarlierIncarnationIsToldTheLatest checks the reply to a datagram that is refused for its
// incarnation, and that there is none to another replay.
func TestEarlierIncarnationIsToldTheLatest(t *testing.T) {
	w := newTestEnv(t, 82)
	w.target(1, "s1", "a")
	b := w.host(1, "a")
	p := newFakePeer(w, 1, "p1")
	p.codec.Incarnation = 1000
	p.sendHeartbeat(t, b)
	w.eventually("the peer is heard", func() bool { return lastIncarnation(b, "p1") > 0 })
	w.is.Equal(p.latest(t, 500*time.Millisecond), cornelbay.Incarnation(0))
	p.codec.Incarnation = 5
	p.sendHeartbeat(t, b)
	w.is.Equal(p.latest(t, 10*time.Second), cornelbay.Incarnation(1000))
	p.codec = peer.Codec{Self: "p1", Incarnation: 1000, Keys: [][]byte{key}} // the first datagram again
	p.sendHeartbeat(t, b)
	w.is.Equal(p.latest(t, 500*time.Millisecond), cornelbay.Incarnation(0))
}

// latest waits until a host tells the peer its latest incarnation, and returns 0 if none does.
func (p *fakePeer) latest(t *testing.T, wait time.Duration) cornelbay.Incarnation {
	t.Helper()
	is := is.New(t)
	open := peer.Codec{Self: "test", Keys: [][]byte{key}}
	buf := make([]byte, peer.MaxDatagramBytes)
	is.NoErr(p.conn.SetReadDeadline(time.Now().Add(wait)))
	for {
		n, err := p.conn.Read(buf)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return 0
		}
		is.NoErr(err)
		if _, m, err := open.Open(buf[:n]); err == nil {
			if hb, ok := m.(gossip.Heartbeat); ok && hb.Latest > 0 {
				return hb.Latest
			}
		}
	}
}
