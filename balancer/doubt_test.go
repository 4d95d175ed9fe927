package balancer

import (
	"errors"
	"net"
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

// fakePeer is another host that only sends pulses and counts the doubts it gets.
type fakePeer struct {
	self  registry.Host
	conn  *net.UDPConn
	codec peer.Codec
}

func newPeer(w *world, n byte, name cornelbay.HostName) *fakePeer {
	at := netip.AddrPortFrom(w.address(5, n), peerPort)
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	w.is.NoErr(err)
	w.t.Cleanup(func() { _ = c.Close() })
	return &fakePeer{
		self: registry.Host{Name: name, DataCentre: "a", Address: at}, conn: c,
		codec: peer.Codec{Self: name, Incarnation: 1, Keys: [][]byte{key}},
	}
}

func (p *fakePeer) pulse(t *testing.T, to *Balancer) {
	t.Helper()
	datagram, err := p.codec.Seal(gossip.Pulse{Host: p.self, EveryMs: 150})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := p.conn.WriteToUDPAddrPort(datagram, to.self.Address); err != nil {
		t.Fatal(err)
	}
}

// doubts returns the number of doubts that come until quiet passes without one.
func (p *fakePeer) doubts(t *testing.T, quiet time.Duration) int {
	t.Helper()
	open := peer.Codec{Self: "test", Keys: [][]byte{key}}
	buf := make([]byte, peer.MaxDatagramBytes)
	n := 0
	until := time.Now().Add(quiet)
	for {
		if err := p.conn.SetReadDeadline(until); err != nil {
			t.Fatal(err)
		}
		size, err := p.conn.Read(buf)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return n
		}
		if err != nil {
			t.Fatal(err)
		}
		if _, m, err := open.Open(buf[:size]); err == nil && m.Kind() == cornelbay.KindDoubt {
			n++
			until = time.Now().Add(quiet)
		}
	}
}

// TestAHostThatIsHeardAgainIsToldOfDoubtsAlone: with all hosts told, a large fleet
// whose hosts come back together drowned in them.
func TestAHostThatIsHeardAgainIsToldOfDoubtsAlone(t *testing.T) {
	w := newWorld(t, 116)
	is := is.New(t)
	tg := w.target(1, "s1", "a")
	b := w.host(1, "a")
	first, second := newPeer(w, 1, "p1"), newPeer(w, 2, "p2")
	first.pulse(t, b)
	w.eventually("the first is heard", func() bool { return heard(b, "p1") > 0 })
	flow := cornelbay.FlowKey{
		Source: netip.MustParseAddrPort("127.116.9.9:1"), Destination: service1, Protocol: cornelbay.TCP.Number(),
	}
	cookie := registry.Cookie(tg.Number)
	b.trafficMu.Lock()
	b.placer.Learn(time.Now(), placement.Doubt{Key: flow, Tried: []uint32{cookie + 1, cookie}, Chosen: cookie})
	b.trafficMu.Unlock()
	is.Equal(first.doubts(t, 500*time.Millisecond), 0)

	second.pulse(t, b)
	w.eventually("the second is told", func() bool { return second.doubts(t, 500*time.Millisecond) > 0 })
	is.Equal(first.doubts(t, 500*time.Millisecond), 0)
}
