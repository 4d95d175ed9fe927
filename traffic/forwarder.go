// Package traffic forwards the packets of flows: its goroutines read packets from
// the fabric in batches, ask for a verdict on each and carry it out.
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
	releaseQueueSize = 4096
	expireInterval   = 100 * time.Millisecond
)

// ReadRetryDelay is the delay after a failed read from a socket that is still open.
const ReadRetryDelay = 10 * time.Millisecond

// Decider decides what happens to a packet. It must be safe for concurrent use.
type Decider interface {
	Decide(now time.Time, pk *cornelbay.Packet) cornelbay.Verdict
}

// Forwarder forwards the packets that reach one host.
type Forwarder struct {
	Decider Decider
	// OnHeld is called when the first packet of a flow is held, to start a query about
	// the flow. It must not block and reports whether the query was accepted; if not,
	// the packet is dropped. If OnHeld is nil, no packet is held.
	OnHeld func(cornelbay.FlowKey) bool

	conns    []*net.UDPConn
	keys     atomic.Pointer[fabric.RelayKeys]
	hosts    atomic.Pointer[map[cornelbay.HostName]netip.AddrPort]
	held     holdBuffer
	released chan cornelbay.FlowKey
	metrics  metrics
}

// Listen binds one socket for each of n traffic goroutines to the same address and
// returns the bound address.
func (f *Forwarder) Listen(at netip.AddrPort, n int) (netip.AddrPort, error) {
	var err error
	if f.conns, err = fabric.Listen(at, max(n, 1)); err != nil {
		return at, err
	}
	f.released = make(chan cornelbay.FlowKey, releaseQueueSize)
	return f.conns[0].LocalAddr().(*net.UDPAddr).AddrPort(), nil
}

// Run starts the traffic goroutines with start. They end after ctx is done and
// Close is called.
func (f *Forwarder) Run(ctx context.Context, start func(func())) {
	for _, c := range f.conns {
		start(newWorker(f, c).run)
	}
	start(func() { f.runReleases(ctx) })
}

// Close closes the sockets.
func (f *Forwarder) Close() {
	for _, c := range f.conns {
		_ = c.Close() // nothing is buffered
	}
}

// SetKeys sets the keys of relayed packets: the first key signs, any key verifies.
func (f *Forwarder) SetKeys(keys ...[]byte) { f.keys.Store(fabric.NewRelayKeys(keys...)) }

// SetHosts sets the fabric addresses of the hosts that packets are relayed to. The
// map must not be changed afterwards.
func (f *Forwarder) SetHosts(hosts map[cornelbay.HostName]netip.AddrPort) { f.hosts.Store(&hosts) }

// Release requests a new verdict on the held packets of a flow. If the queue of
// releases is full, the request is dropped and the packets expire.
func (f *Forwarder) Release(key cornelbay.FlowKey) {
	select {
	case f.released <- key:
	default:
		f.metrics.droppedReleases.Inc()
	}
}

// runReleases processes released packets and drops held packets that have expired.
func (f *Forwarder) runReleases(ctx context.Context) {
	w := newReleaser(f)
	tick := time.NewTicker(expireInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			f.metrics.drops[cornelbay.Unanswered].Add(float64(f.held.expire(now)))
		case key := <-f.released:
			w.processReleased(time.Now(), f.held.take(key))
		}
	}
}
