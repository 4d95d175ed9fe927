// Package traffic forwards packets of flows: its goroutines read the fabric's
// address in batches, take the verdict for each packet and carry it out.
package traffic

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/fabric"
)

const (
	releaseBacklog = 4096
	expireInterval = 100 * time.Millisecond
)

// ReadRetryDelay is the wait after a failed read of a socket that is still open.
const ReadRetryDelay = 10 * time.Millisecond

// Decider takes the verdict for a packet; many goroutines use it.
type Decider interface {
	Decide(now time.Time, pk *cornelbay.Packet) cornelbay.Verdict
}

// Forwarder forwards the packets that reach one host.
type Forwarder struct {
	Decider Decider
	// OnHeld is told of a flow whose packet's verdict was Hold; it does not block
	// and reports whether the question was taken. Without it nothing is held.
	OnHeld func(cornelbay.FlowKey) bool

	conns    []*net.UDPConn
	keys     atomic.Pointer[fabric.RelayKeys]
	hosts    atomic.Pointer[map[cornelbay.HostName]netip.AddrPort]
	holds    holds
	released chan cornelbay.FlowKey
	metrics  metrics
}

// Listen binds a socket for each of n traffic goroutines to one address and
// returns the address that was bound.
func (f *Forwarder) Listen(at netip.AddrPort, n int) (netip.AddrPort, error) {
	var err error
	if f.conns, err = fabric.Listen(at, max(n, 1)); err != nil {
		return at, err
	}
	f.released = make(chan cornelbay.FlowKey, releaseBacklog)
	return f.conns[0].LocalAddr().(*net.UDPAddr).AddrPort(), nil
}

// Run starts the traffic goroutines with the given function; they end with ctx
// and Close.
func (f *Forwarder) Run(ctx context.Context, start func(func())) {
	for _, c := range f.conns {
		start(newWorker(f, c).run)
	}
	start(func() { f.release(ctx) })
}

// Close frees the address.
func (f *Forwarder) Close() {
	for _, c := range f.conns {
		_ = c.Close() // nothing is buffered
	}
}

// SetKeys makes keys authenticate relayed packets: the first seals, any opens.
func (f *Forwarder) SetKeys(keys ...[]byte) { f.keys.Store(fabric.NewRelayKeys(keys...)) }

// SetHosts tells the fabric addresses of the hosts that packets are relayed to;
// the map must not change any more.
func (f *Forwarder) SetHosts(hosts map[cornelbay.HostName]netip.AddrPort) { f.hosts.Store(&hosts) }

// Release asks for the held packets of a flow to be decided again. When it is
// asked for too much at once they wait until they expire.
func (f *Forwarder) Release(key cornelbay.FlowKey) {
	select {
	case f.released <- key:
	default:
		f.metrics.droppedReleases.Inc()
	}
}

// release decides released packets again and drops those that waited too long.
func (f *Forwarder) release(ctx context.Context) {
	w := newReleaser(f)
	tick := time.NewTicker(expireInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			f.metrics.drops[cornelbay.Unanswered].Add(float64(f.holds.expire(now)))
		case key := <-f.released:
			w.again(time.Now(), f.holds.take(key))
		}
	}
}
