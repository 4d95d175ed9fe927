// Package balancer runs one host on the platform: it forwards the packets of flows to
// targets, keeps its tables in sync with the platform's store, and exchanges state
// with the other hosts. The decisions are made by packages placement, registry and
// gossip.
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
	"github.com/cornelbay/cornelbay/loads"
	"github.com/cornelbay/cornelbay/peer"
	"github.com/cornelbay/cornelbay/placement"
	"github.com/cornelbay/cornelbay/platform"
	"github.com/cornelbay/cornelbay/readiness"
	"github.com/cornelbay/cornelbay/registry"
)

const (
	// tombstoneSlack is added to the maximum flow age to get the retention time of
	// deleted targets, so that open flows still find theirs.
	tombstoneSlack = 15 * time.Second
	// stopCheckInterval is how often a stopping host checks whether it may end.
	stopCheckInterval = 10 * time.Millisecond
	// handOverInterval is how often a stopping host tells the others which targets have the
	// ambiguous flows: datagrams may be lost.
	handOverInterval = 400 * time.Millisecond
	// readBufferBytes buffers the packets that arrive while the process isn't
	// scheduled.
	readBufferBytes = 2 << 20
	pruneInterval   = time.Second
	// connectionIdleTime is how long a connection to another host stays open without a
	// call. It is longer than pullTimeout.
	connectionIdleTime = 10 * time.Second
)

// Reload applies changed settings. They take effect immediately except for the host's
// name, its data centre, its socket addresses and the maximum flow age, which change
// only at the next start.
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

// Config holds the parameters of Start.
type Config struct {
	Settings platform.Settings
	// Key authenticates hosts to each other.
	Key []byte
	// ClockOffset is added to the system time, to test the effect of a wrong clock.
	ClockOffset time.Duration
	// DroppedLogLines returns how many lines the logger has dropped; it may be nil.
	DroppedLogLines func() uint64
}

// Balancer is one running host.
type Balancer struct {
	// settings is replaced by Reload.
	settings    atomic.Pointer[platform.Settings]
	key         []byte
	clockOffset time.Duration
	// droppedLogLines may be nil.
	droppedLogLines func() uint64

	self  registry.Host
	store *platform.Store

	packets *net.UDPConn
	// peerConn is the socket for the datagrams of other hosts.
	peerConn  *net.UDPConn
	rpcServer peer.Server
	rpcClient peer.Client

	// trafficMu guards placer and view, which the packet path uses.
	trafficMu sync.Mutex
	placer    placement.Placer
	view      *registry.View

	// stateMu guards the fields up to inMesh. Lock order: stateMu before trafficMu. The
	// packet path never takes stateMu.
	stateMu sync.Mutex
	tables  registry.Tables
	members gossip.Members
	codec   peer.Codec
	// relay adds up the loads of other hosts in the tree of heartbeats. outcomesUp and
	// outcomesDown are the outcomes to send up and down the tree.
	relay                    loads.Relay
	outcomesUp, outcomesDown loads.Sum
	// tally and decider decide whether this host is ready.
	tally   readiness.Tally
	decider readiness.Decider
	// newest holds, by kind of objects, the latest revision that another host has announced.
	newest map[string]registry.Revision
	// pushed are the revisions of this host's tables at its last push.
	pushed gossip.Revisions
	// packed is the last packed reply to a pull.
	packed packedReply
	// joinedAt is when this host told the others that it starts, with complete tables.
	joinedAt time.Time
	// bootstrapped is true once a seed has answered or this host no longer waits for one.
	bootstrapped bool
	// referrals spreads the pulls of hosts that ask this one for sources, and sources are
	// those that this host was last told of and has not used yet.
	referrals gossip.Referrals
	sources   []netip.AddrPort
	// sourcesNamed signals that sources has been set.
	sourcesNamed chan struct{}
	// latestDue is the time before which no host is told its latest incarnation.
	latestDue time.Time
	// hostsPulledAt is when this host last asked for a pull of nothing but registered hosts.
	hostsPulledAt time.Time
	// inMesh is true if the last heartbeat went to all hosts of a small fleet.
	inMesh bool

	// changed triggers a heartbeat when the tables have changed.
	changed      chan struct{}
	pullRequests chan pullRequest
	// ambiguous queues the ambiguous flows to send to other hosts.
	ambiguous chan queuedAmbiguousFlow
	// opened triggers a check for openings that are not answered in time.
	opened chan struct{}
	// recoveries queues the silent targets that have answered again.
	recoveries chan []placement.Silence
	// readWanted wakes, by kind, the goroutine that keeps a table up to date.
	readWanted map[string]chan struct{}
	// synced is closed once the tables are complete.
	synced     chan struct{}
	syncedOnce sync.Once
	// ready is true once the host can open flows.
	ready atomic.Bool
	// rotation is why the host is ready, or is not although it can open flows.
	rotation atomic.Pointer[readiness.Reason]
	stopping atomic.Bool
	// settled is closed once the host is ready, or after settleTime.
	settled     chan struct{}
	settledOnce sync.Once
	// refusedAt is when the store last failed a call of syncTable, in nanoseconds since
	// started, or 0 if the last call succeeded.
	refusedAt atomic.Int64
	// lastPacket is the arrival time of the last packet, in nanoseconds since started.
	lastPacket atomic.Int64
	started    time.Time
	// routesConfirmedAt and targetsConfirmedAt are when the tables were last
	// confirmed, in nanoseconds since started. They let the packet path log table ages
	// without taking stateMu.
	routesConfirmedAt, targetsConfirmedAt atomic.Int64

	// silent and recovered are the targets to announce that don't answer, and that do so again.
	// Only retryLoop uses them.
	silent, recovered silences

	metrics metrics
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
	// closers close the sockets and the servers and clients on them.
	closers []func() error
}

// Start opens the sockets of a host and starts its goroutines.
func Start(cfg Config) (*Balancer, error) {
	s := cfg.Settings
	b := &Balancer{
		key: cfg.Key, clockOffset: cfg.ClockOffset, droppedLogLines: cfg.DroppedLogLines,
		self: registry.Host{
			Name: s.Host, DataCentre: s.DataCentre, Address: netip.AddrPortFrom(s.Address, s.PeerPort),
		},
		changed:      make(chan struct{}, 1),
		pullRequests: make(chan pullRequest, 16),
		opened:       make(chan struct{}, 1),
		recoveries:   make(chan []placement.Silence, maxSilences),
		readWanted:   make(map[string]chan struct{}),
		newest:       make(map[string]registry.Revision),
		ambiguous:    make(chan queuedAmbiguousFlow, maxQueuedAmbiguous),
		synced:       make(chan struct{}),
		settled:      make(chan struct{}),
		sourcesNamed: make(chan struct{}, 1),
		started:      time.Now(),
	}
	for _, k := range objectKinds {
		b.readWanted[k.name] = make(chan struct{}, 1)
	}
	b.settings.Store(&s)
	serving := readiness.Serving
	b.rotation.Store(&serving)
	b.ctx, b.cancel = context.WithCancel(context.Background())
	b.placer = placement.Placer{
		Self: s.Host, DataCentre: s.DataCentre, WarmUpFactor: s.WarmUpFactor, WarmUpSlack: s.WarmUpSlack,
	}
	b.members.Self = b.self
	b.store = platform.NewStore(func() netip.AddrPort { return b.settings.Load().Store })
	b.store.Observe = b.observeCall
	b.metrics.init(b)
	b.tables.SetTombstoneRetention(s.MaxFlowAge + tombstoneSlack)
	if err := b.open(); err != nil {
		if closed := b.close(); closed != nil {
			log.WithError(closed).Warn("closing failed")
		}
		return nil, err
	}
	b.run()
	return b, nil
}

func (b *Balancer) run() {
	time.AfterFunc(settleTime, b.settle)
	b.goRun(b.forward)
	b.goRun(b.retryLoop)
	b.goRun(b.receiveGossip)
	b.goRun(b.sendHeartbeats)
	b.goRun(b.pull)
	b.goRun(b.sendQueuedAmbiguous)
	for _, k := range objectKinds {
		b.goRun(func() { b.syncTable(k) })
	}
	b.goRun(func() {
		b.bootstrap()
		b.announce()
		b.registerSelf()
	})
}

func (b *Balancer) goRun(f func()) {
	b.running.Add(1)
	go func() {
		defer b.running.Done()
		f()
	}()
}

// open opens the sockets and the readiness endpoint.
func (b *Balancer) open() error {
	s := b.settings.Load()
	var err error
	if b.packets, err = listenUDP(s.Packets); err != nil {
		return err
	}
	b.closers = append(b.closers, b.packets.Close)
	if b.peerConn, err = listenUDP(b.self.Address); err != nil {
		return err
	}
	b.closers = append(b.closers, b.peerConn.Close)
	if err := b.openRPC(); err != nil {
		return err
	}
	return b.serveReady()
}

func listenUDP(at netip.AddrPort) (*net.UDPConn, error) {
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, merry.Prepend(err, "datagram socket")
	}
	if err := stampArrivals(c); err != nil {
		log.WithError(err).Warn("arrivals are not stamped")
	}
	if err := c.SetReadBuffer(readBufferBytes); err != nil {
		log.WithError(err).Warn("setting the socket read buffer size failed")
	}
	return c, nil
}

// openRPC starts the net/rpc server and client for calls between hosts. It also sets up
// the codec of the datagrams, with this host's incarnation.
func (b *Balancer) openRPC() error {
	now := time.Now().Add(b.clockOffset)
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
	b.rpcServer.Credentials, b.rpcClient.Credentials, b.rpcClient.Self = cred, cred, b.self.Name
	b.codec = peer.Codec{
		Self: b.self.Name, Incarnation: cornelbay.Incarnation(now.UnixMilli()), Keys: [][]byte{b.key},
	}
	l, err := net.Listen("tcp4", b.self.Address.String())
	if err != nil {
		return merry.Prepend(err, "net/rpc between hosts")
	}
	b.closers = append(b.closers, l.Close, b.rpcServer.Close, b.rpcClient.Close)
	b.goRun(func() {
		if err := b.rpcServer.Serve(l, b.answerPull); err != nil {
			log.WithError(err).Error("net/rpc between hosts ended")
		}
	})
	return nil
}

// publishTables gives the packet path a new view of the tables, marks the host as
// ready once the tables are complete, and triggers a heartbeat. The caller holds
// stateMu.
func (b *Balancer) publishTables(now time.Time) {
	v := b.tables.View()
	if v.HostsChanged {
		b.members.SetRegistered(now, v.Hosts)
	}
	b.trafficMu.Lock()
	b.view = v
	b.placer.SetView(v)
	b.trafficMu.Unlock()
	if b.tables.Synced() {
		b.syncedOnce.Do(func() { close(b.synced) })
	}
	b.checkReady(now)
	select {
	case b.changed <- struct{}{}:
	default: // a heartbeat is already pending
	}
}

// updateTables runs f on the tables and publishes them if f reports a change.
func (b *Balancer) updateTables(f func(now time.Time, t *registry.Tables) bool) {
	b.stateMu.Lock()
	defer b.stateMu.Unlock()
	now := time.Now()
	changed := f(now, &b.tables)
	if changed {
		b.publishTables(now)
	}
	b.cacheConfirmedTimes()
}

// cacheConfirmedTimes copies the tables' confirmation times for the packet path. The
// caller holds stateMu. publishTables comes first if the tables have changed: the packet path
// must not take its earlier view for confirmed.
func (b *Balancer) cacheConfirmedTimes() {
	since := func(t time.Time) int64 {
		if t.IsZero() {
			return 0 // never
		}
		return int64(t.Sub(b.started))
	}
	b.routesConfirmedAt.Store(since(b.tables.Routes.ConfirmedAt()))
	confirmed := b.tables.Targets.ConfirmedAt()
	b.targetsConfirmedAt.Store(since(confirmed))
	b.trafficMu.Lock()
	b.placer.SetTargetsConfirmed(confirmed)
	b.trafficMu.Unlock()
}

const (
	// routerDetectionTime is how long the platform's routers may take to remove a host
	// that isn't ready: two checks, half a second apart, and some slack.
	routerDetectionTime = 1300 * time.Millisecond
	// routerIdleTime without a packet indicates that the routers have removed the
	// host.
	routerIdleTime = 300 * time.Millisecond
	// stopMargin is the part of the grace period reserved for closing down.
	stopMargin = time.Second
)

// Stop shuts the host down gracefully: it reports not ready at once and keeps
// forwarding until the routers have removed it or its grace period is almost over.
func (b *Balancer) Stop() {
	b.stopping.Store(true)
	b.ready.Store(false)
	begin := time.Now()
	var handedOver time.Time
	for {
		if time.Since(handedOver) >= handOverInterval {
			handedOver = time.Now()
			b.handOver()
		}
		time.Sleep(stopCheckInterval)
		elapsed := time.Since(begin)
		idle := time.Since(b.started) - time.Duration(b.lastPacket.Load())
		if elapsed > b.settings.Load().Grace-stopMargin || elapsed > routerDetectionTime && idle > routerIdleTime {
			break
		}
	}
	log.WithField("afterMs", time.Since(begin).Milliseconds()).Info("stopped")
	if err := b.close(); err != nil {
		log.WithError(err).Warn("closing failed")
	}
}

// handOver tells the other hosts which targets have the ambiguous flows of this host.
func (b *Balancer) handOver() {
	b.trafficMu.Lock()
	flows := b.placer.OpenAmbiguousFlows(time.Now())
	b.trafficMu.Unlock()
	b.queueAmbiguous(flows, netip.AddrPort{})
}

// close closes everything, waits for the goroutines, and returns the first error.
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

// prune drops old tombstones and idle connections.
func (b *Balancer) prune() {
	b.rpcClient.CloseIdle(connectionIdleTime)
	b.updateTables(func(now time.Time, t *registry.Tables) bool { return t.Prune(now) })
}
