// Package balancer runs one host on the platform: it forwards the packets of
// flows, follows the platform's store, and exchanges what it knows with the other
// hosts. The decisions are those of packages placement, registry and gossip.
package balancer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/apex/log"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/gossip"
	"github.com/cornelbay/cornelbay/peer"
	"github.com/cornelbay/cornelbay/placement"
	"github.com/cornelbay/cornelbay/platform"
	"github.com/cornelbay/cornelbay/registry"
)

const (
	// goneSlack is how much longer than its flows can last a target that is gone
	// is remembered.
	goneSlack = 15 * time.Second
	// tickInterval is the pace at which openings without an answer are noticed.
	tickInterval = 10 * time.Millisecond
	// readBufferBytes holds the packets that come while the process has no turn.
	readBufferBytes = 2 << 20
	pruneInterval   = time.Second
)

// Reload takes over changed settings: the bounds and seeds at once. What names
// the host and its sockets holds until the next start.
func (b *Balancer) Reload(s platform.Settings) {
	b.stateMu.Lock()
	defer b.stateMu.Unlock()
	old := b.settings.Load()
	next := s
	next.Host, next.DataCentre, next.Address = old.Host, old.DataCentre, old.Address
	next.Packets, next.Ready, next.PeerPort = old.Packets, old.Ready, old.PeerPort
	b.settings.Store(&next)
	b.trafficMu.Lock()
	b.placer.WarmUpFactor, b.placer.WarmUpSlack = s.WarmUpFactor, s.WarmUpSlack
	b.trafficMu.Unlock()
	log.WithFields(log.Fields{"store": next.Store.String(), "seeds": len(next.Seeds)}).Info("settings reloaded")
}

// Config is what a Balancer is started with.
type Config struct {
	Settings platform.Settings
	// Key authenticates hosts to each other.
	Key []byte
	// ClockOffset is added to the time of day, to try what a wrong clock does.
	ClockOffset time.Duration
	// DroppedLogLines returns how many lines the log has left out; it may be nil.
	DroppedLogLines func() uint64
}

// Balancer is one running host.
type Balancer struct {
	// settings change on Reload.
	settings atomic.Pointer[platform.Settings]
	key      []byte
	offset   time.Duration
	// linesLeftOut may be nil.
	linesLeftOut func() uint64

	self  registry.Host
	store *platform.Store

	packets *net.UDPConn
	control *net.UDPConn
	rpc     peer.Server
	calls   peer.Client

	// trafficMu guards placer and view, which the packets need.
	trafficMu sync.Mutex
	placer    placement.Placer
	view      *registry.View

	// stateMu guards tables, members and codec. Where both are held it is taken
	// before trafficMu, and packets never take it.
	stateMu sync.Mutex
	tables  registry.Tables
	members gossip.Members
	codec   peer.Codec
	// told are the addresses that the last pulse went to.
	told []netip.AddrPort

	// changed wakes the pulse when the tables have changed.
	changed chan struct{}
	pulls   chan ahead
	// doubts wait to be told to other hosts.
	doubts chan doubtFor
	// seeded is closed when the seeds have answered or failed.
	seeded   chan struct{}
	ready    atomic.Bool
	stopping atomic.Bool
	// lastPacket is the time of the last packet in nanoseconds since started.
	lastPacket atomic.Int64
	started    time.Time
	// routesConfirmed and targetsConfirmed are when the tables were last confirmed,
	// in nanoseconds since started, for the log lines of the traffic.
	routesConfirmed, targetsConfirmed atomic.Int64

	metrics metrics
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
	closers []func() error
}

// Start opens the sockets of a host and starts it.
func Start(cfg Config) (*Balancer, error) {
	s := cfg.Settings
	b := &Balancer{
		key: cfg.Key, offset: cfg.ClockOffset, linesLeftOut: cfg.DroppedLogLines,
		self: registry.Host{
			Name: s.Host, DataCentre: s.DataCentre, Address: netip.AddrPortFrom(s.Address, s.PeerPort),
		},
		changed: make(chan struct{}, 1),
		pulls:   make(chan ahead, 16),
		seeded:  make(chan struct{}),
		doubts:  make(chan doubtFor, queuedDoubts),
		started: time.Now(),
	}
	b.settings.Store(&s)
	b.ctx, b.cancel = context.WithCancel(context.Background())
	b.placer = placement.Placer{
		Self: s.Host, DataCentre: s.DataCentre, WarmUpFactor: s.WarmUpFactor, WarmUpSlack: s.WarmUpSlack,
	}
	b.members.Self = b.self
	b.store = platform.NewStore(func() netip.AddrPort { return b.settings.Load().Store })
	b.store.Observe = b.observeCall
	b.metrics.init(b)
	b.tables.Keep(s.MaxFlowAge + goneSlack)
	if err := b.open(); err != nil {
		if closed := b.close(); closed != nil {
			log.WithError(closed).Warn("not all closed")
		}
		return nil, err
	}
	b.run()
	return b, nil
}

func (b *Balancer) run() {
	b.goRun(b.forward)
	b.goRun(b.tick)
	b.goRun(b.listen)
	b.goRun(b.pulse)
	b.goRun(b.pull)
	b.goRun(b.register)
	b.goRun(b.tellDoubts)
	for _, k := range []kind{routing, targets, evacuations, hosts} {
		b.goRun(func() { b.follow(k) })
	}
	b.goRun(b.pullSeeds)
}

func (b *Balancer) goRun(f func()) {
	b.running.Add(1)
	go func() {
		defer b.running.Done()
		f()
	}()
}

// open opens the sockets.
func (b *Balancer) open() error {
	s := b.settings.Load()
	var err error
	if b.packets, err = listenUDP(s.Packets); err != nil {
		return err
	}
	b.closers = append(b.closers, b.packets.Close)
	if b.control, err = listenUDP(b.self.Address); err != nil {
		return err
	}
	b.closers = append(b.closers, b.control.Close)
	if err := b.openPeers(); err != nil {
		return err
	}
	return b.serveReady()
}

func listenUDP(at netip.AddrPort) (*net.UDPConn, error) {
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, merry.Prepend(err, "datagram socket")
	}
	if err := c.SetReadBuffer(readBufferBytes); err != nil {
		log.WithError(err).Warn("read buffer keeps its size")
	}
	return c, nil
}

// openPeers opens the net/rpc between hosts.
func (b *Balancer) openPeers() error {
	now := time.Now().Add(b.offset)
	a, err := peer.NewSharedAuthority(now, b.key)
	if err != nil {
		return err
	}
	pair, err := a.Issue(now, string(b.self.Name), peer.RoleHost)
	if err != nil {
		return err
	}
	cred := &peer.Credentials{}
	cred.Set(pair)
	b.rpc.Credentials, b.calls.Credentials, b.calls.Self = cred, cred, b.self.Name
	b.codec = peer.Codec{
		Self: b.self.Name, Incarnation: cornelbay.Incarnation(now.UnixMilli()), Keys: [][]byte{b.key},
	}
	l, err := net.Listen("tcp4", b.self.Address.String())
	if err != nil {
		return merry.Prepend(err, "net/rpc between hosts")
	}
	b.closers = append(b.closers, l.Close, b.rpc.Close, b.calls.Close)
	b.goRun(func() {
		if err := b.rpc.Serve(l, b.answerPull); err != nil {
			log.WithError(err).Error("net/rpc between hosts ended")
		}
	})
	return nil
}

// apply publishes the tables after a change. It is called with stateMu held.
func (b *Balancer) apply(now time.Time) {
	v := b.tables.View()
	b.trafficMu.Lock()
	b.view = v
	b.placer.SetView(v)
	b.trafficMu.Unlock()
	if b.tables.Known() && !b.stopping.Load() && !b.ready.Swap(true) {
		log.WithFields(log.Fields{
			"version": v.Version, "afterMs": now.Sub(b.started).Milliseconds(),
		}).Info("ready")
	}
	select {
	case b.changed <- struct{}{}:
	default: // a pulse is due already
	}
}

// change runs f on the tables and publishes them when f says that they changed.
func (b *Balancer) change(f func(now time.Time, t *registry.Tables) bool) {
	b.stateMu.Lock()
	defer b.stateMu.Unlock()
	now := time.Now()
	changed := f(now, &b.tables)
	b.noteConfirmed()
	if changed {
		b.apply(now)
	}
}

// noteConfirmed is called with stateMu held.
func (b *Balancer) noteConfirmed() {
	b.routesConfirmed.Store(int64(b.tables.Routes.Confirmed().Sub(b.started)))
	b.targetsConfirmed.Store(int64(b.tables.Targets.Confirmed().Sub(b.started)))
}

const (
	// routerNotices is how long the platform's routers may take to leave a host
	// out that is not ready: two checks, half a second apart, and some slack.
	routerNotices = 1300 * time.Millisecond
	// quietTime without a packet shows that the routers have left the host out.
	quietTime = 300 * time.Millisecond
	// stopMargin is kept of the grace for ending.
	stopMargin = time.Second
)

// Stop ends the host as planned: it is not ready at once and forwards until the
// routers have left it out or its grace has nearly passed.
func (b *Balancer) Stop() {
	b.stopping.Store(true)
	b.ready.Store(false)
	begin := time.Now()
	for {
		time.Sleep(tickInterval)
		passed := time.Since(begin)
		quiet := time.Since(b.started) - time.Duration(b.lastPacket.Load())
		if passed > b.settings.Load().Grace-stopMargin || passed > routerNotices && quiet > quietTime {
			break
		}
	}
	log.WithField("afterMs", time.Since(begin).Milliseconds()).Info("stopped")
	if err := b.close(); err != nil {
		log.WithError(err).Warn("not all closed")
	}
}

func (b *Balancer) close() error {
	b.cancel()
	var first error
	for _, c := range b.closers {
		if err := c(); err != nil && first == nil {
			first = err
		}
	}
	b.running.Wait()
	return first
}

func (b *Balancer) prune() {
	b.change(func(now time.Time, t *registry.Tables) bool { return t.Prune(now) })
}
