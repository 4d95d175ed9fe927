package traffic

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/fabric"
	"github.com/cornelbay/cornelbay/standin"
)

// deciderFunc adapts a function to Decider.
type deciderFunc func(pk *cornelbay.Packet) cornelbay.Verdict

func (f deciderFunc) Decide(_ time.Time, pk *cornelbay.Packet) cornelbay.Verdict { return f(pk) }

// start runs a forwarder until the test ends.
func start(t *testing.T, f *Forwarder) netip.AddrPort {
	t.Helper()
	at, err := f.Listen(netip.MustParseAddrPort("127.0.0.1:0"), 2)
	if err != nil {
		t.Fatal(err)
	}
	f.Register(prometheus.NewRegistry())
	f.SetKeys([]byte("key"))
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	f.Run(ctx, func(g func()) { wg.Go(g) })
	t.Cleanup(func() {
		cancel()
		f.Close()
		wg.Wait()
	})
	return at
}

func socket(t *testing.T) (*net.UDPConn, netip.AddrPort) {
	t.Helper()
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() }) // nothing is buffered
	return c, c.LocalAddr().(*net.UDPAddr).AddrPort()
}

func send(t *testing.T, to netip.AddrPort, payload string) []byte {
	t.Helper()
	inner, err := standin.Segment(newPacket(1, 0).Key, 0, []byte(payload))
	if err != nil {
		t.Fatal(err)
	}
	c, _ := socket(t)
	if _, err := c.WriteToUDPAddrPort(fabric.Append(nil, inner), to); err != nil {
		t.Fatal(err)
	}
	return inner
}

func receive(t *testing.T, c *net.UDPConn) []byte {
	t.Helper()
	b := make([]byte, fabric.MaxDatagramBytes)
	n, _, err := c.ReadFromUDPAddrPort(b)
	if err != nil {
		t.Fatal(err)
	}
	return b[:n]
}

func TestReleasedPacketIsForwarded(t *testing.T) {
	is := is.New(t)
	sink, at := socket(t)
	var answered atomic.Bool
	asked := make(chan cornelbay.FlowKey, 1)
	f := &Forwarder{
		Decider: deciderFunc(func(*cornelbay.Packet) cornelbay.Verdict {
			if !answered.Load() {
				return cornelbay.Verdict{Action: cornelbay.Hold}
			}
			return cornelbay.Verdict{Action: cornelbay.Forward, Tunnel: at}
		}),
		OnHeld: func(key cornelbay.FlowKey) bool {
			asked <- key
			return true
		},
	}
	inner := send(t, start(t, f), "held")
	key := <-asked
	is.Equal(key, newPacket(1, 0).Key)
	answered.Store(true)
	f.Release(key)
	is.Equal(receive(t, sink), fabric.Append(nil, inner))
	is.Equal(f.held.count(), 0)
}

func TestHeldPacketExpires(t *testing.T) {
	is := is.New(t)
	f := &Forwarder{
		Decider: deciderFunc(func(*cornelbay.Packet) cornelbay.Verdict {
			return cornelbay.Verdict{Action: cornelbay.Hold}
		}),
		OnHeld: func(cornelbay.FlowKey) bool { return true },
	}
	send(t, start(t, f), "held")
	for testutil.ToFloat64(f.metrics.drops[cornelbay.Unanswered]) < 1 {
		time.Sleep(time.Millisecond)
	}
	is.Equal(f.held.count(), 0)
}

func TestRelayCarriesHeader(t *testing.T) {
	is := is.New(t)
	other, at := socket(t)
	h := cornelbay.RelayHeader{From: "imlil-1", Hops: 1, Choice: "statut-1"}
	f := &Forwarder{Decider: deciderFunc(func(pk *cornelbay.Packet) cornelbay.Verdict {
		return cornelbay.Verdict{Action: cornelbay.Relay, Host: "imlil-2", Relay: h}
	})}
	f.SetHosts(map[cornelbay.HostName]netip.AddrPort{"imlil-2": at})
	inner := send(t, start(t, f), "relayed")
	d := fabric.Decoder{Keys: fabric.NewRelayKeys([]byte("key"))}
	var pk cornelbay.Packet
	is.Equal(d.Decode(receive(t, other), &pk), cornelbay.NotDropped)
	is.Equal(pk.Relay, h)
	is.Equal(pk.Inner, inner)
}

func TestRelayToUnknownHostIsDropped(t *testing.T) {
	f := &Forwarder{Decider: deciderFunc(func(*cornelbay.Packet) cornelbay.Verdict {
		return cornelbay.Verdict{Action: cornelbay.Relay, Host: "nobody", Relay: cornelbay.RelayHeader{From: "a", Hops: 1}}
	})}
	send(t, start(t, f), "relayed")
	for testutil.ToFloat64(f.metrics.drops[cornelbay.NoTarget]) < 1 {
		time.Sleep(time.Millisecond)
	}
}
