// Package daemon runs an entry host as a network service. It owns the sockets, the
// clock and the goroutines, and executes the effects that package entry returns.
package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/apex/log"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/burn"
	"github.com/cornelbay/cornelbay/caller"
	"github.com/cornelbay/cornelbay/entry"
	"github.com/cornelbay/cornelbay/objectstore"
	"github.com/cornelbay/cornelbay/peer"
	"github.com/cornelbay/cornelbay/target"
	"github.com/cornelbay/cornelbay/traffic"
	"github.com/cornelbay/cornelbay/warmth"
)

// The capacities of the queues to the control goroutine.
const (
	inputQueueSize  = 1024
	signalQueueSize = 4096
)

// readHeaderTimeout is the time that a client has to send the header of a request.
const readHeaderTimeout = 5 * time.Second

// platformIdleTimeout is how long an idle connection to the platform is kept open.
const platformIdleTimeout = 30 * time.Second

// Settings configure a Daemon.
type Settings struct {
	entry.Settings
	// Platform is the URL of the platform's object store.
	Platform string
	// Keys authenticate datagrams and relayed packets. The first key signs; any key
	// verifies.
	Keys [][]byte
	// KeyPair authenticates the host to other hosts and to operators. If it is nil,
	// connections use plain TCP and every client may use the admin address, which is
	// meant for tests on loopback addresses.
	KeyPair *peer.KeyPair
	// TrafficWorkers is the number of traffic goroutines; 0 means 1.
	TrafficWorkers int
	// StopNotice is how long a stopping host, which reports that it is not ready,
	// still accepts new requests, so that the fabric has time to notice. After that it
	// refuses them.
	StopNotice time.Duration
	// StopTimeout limits the duration of a planned stop; 0 means
	// DefaultStopTimeout.
	StopTimeout time.Duration
	// Log receives the daemon's log entries; nil means the standard logger.
	Log log.Interface
}

// Daemon runs one entry host on network sockets.
type Daemon struct {
	Settings

	host     *entry.Host
	codec    syncCodec
	store    objectstore.Store
	targets  target.Client
	inputs   chan func(now time.Time) []cornelbay.Effect
	signals  chan warmth.Signal
	traffic  traffic.Forwarder
	requests pendingRequests
	metrics  metrics
	burn     burn.History // counts requests against the service levels
	peers    peerRPC

	published        atomic.Pointer[publishedState]
	stopping         atomic.Bool
	lastTickUnixNano atomic.Int64
	stopOnce         sync.Once
	stopErr          error

	datagram          *net.UDPConn
	rpc, http, admin  net.Listener
	httpServer        *http.Server
	platformTransport *http.Transport

	// ctx is cancelled when the daemon ends.
	ctx    context.Context
	cancel context.CancelFunc
	// wg counts goroutines and running HTTP handlers. No handler is added to it once
	// ended is set.
	wg    sync.WaitGroup
	mu    sync.Mutex
	ended bool
	done  chan struct{}
}

// Start binds the daemon's addresses and runs it until ctx is cancelled or a planned
// stop is complete.
func Start(ctx context.Context, s Settings) (*Daemon, error) {
	d := &Daemon{
		Settings: s,
		inputs:   make(chan func(time.Time) []cornelbay.Effect, inputQueueSize),
		signals:  make(chan warmth.Signal, signalQueueSize),
		done:     make(chan struct{}),
	}
	if d.Log == nil {
		d.Log = log.Log
	}
	if err := d.bind(); err != nil {
		d.close()
		return nil, err
	}
	d.host = entry.New(d.Settings.Settings)
	d.codec.Codec = peer.Codec{Self: s.Self.Name, Incarnation: s.Self.Incarnation, Keys: s.Keys}
	d.platformTransport = &http.Transport{IdleConnTimeout: platformIdleTimeout}
	d.store = &objectstore.Client{Base: s.Platform, HTTP: &http.Client{Transport: d.platformTransport}}
	d.traffic.Decider, d.traffic.OnHeld = &d.host.Plane, d.onHeldFlow
	d.traffic.SetKeys(s.Keys...)
	d.published.Store(&publishedState{})
	d.metrics.init(d.host)
	d.traffic.Register(d.metrics.registry)
	d.initPeers()
	d.ctx, d.cancel = context.WithCancel(ctx)
	d.run(d.ctx)
	return d, nil
}

// run starts the daemon's goroutines. Done is closed when all of them have returned.
func (d *Daemon) run(ctx context.Context) {
	d.spawn(func() { d.controlLoop(ctx) })
	d.spawn(func() { d.receiveDatagrams(ctx) })
	d.traffic.Run(ctx, d.spawn)
	d.spawn(func() { d.servePeers(ctx) })
	d.httpServer = d.serveHTTP(ctx, d.http, caller.NewServer(d.serveRequest))
	if c := d.peers.credentials; c != nil {
		d.admin = tls.NewListener(d.admin, c.ServerConfig())
	}
	d.serveHTTP(ctx, d.admin, d.requireRole(d.adminHandler()))
	context.AfterFunc(ctx, d.close)
	go func() {
		<-ctx.Done()
		d.mu.Lock()
		d.ended = true
		d.mu.Unlock()
		d.wg.Wait()
		close(d.done)
	}()
}

// trackRequests makes Done wait for the requests that h is serving.
func (d *Daemon) trackRequests(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !d.beginRequest() {
			http.Error(w, "host has ended", http.StatusServiceUnavailable)
			return
		}
		defer d.wg.Done()
		h.ServeHTTP(w, r)
	})
}

// beginRequest adds a request to wg. It returns false if the daemon has ended.
func (d *Daemon) beginRequest() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ended {
		return false
	}
	d.wg.Add(1)
	return true
}

// spawn runs f in a goroutine that Done waits for.
func (d *Daemon) spawn(f func()) { d.wg.Go(f) }

// Self returns the host with the addresses that it is bound to.
func (d *Daemon) Self() cornelbay.Host { return d.Settings.Self }

// Done returns a channel that is closed when the daemon has ended and its addresses
// are free.
func (d *Daemon) Done() <-chan struct{} { return d.done }

// bind opens the daemon's sockets and stores the bound addresses in Settings.Self.
func (d *Daemon) bind() error {
	var err error
	self := &d.Settings.Self
	if self.Fabric, err = d.traffic.Listen(self.Fabric, d.TrafficWorkers); err != nil {
		return merry.Prepend(err, "fabric")
	}
	if d.datagram, err = listenUDP("datagram", &self.Datagram); err != nil {
		return err
	}
	if d.rpc, err = listenTCP("rpc", &self.RPC); err != nil {
		return err
	}
	if d.http, err = listenTCP("http", &self.HTTP); err != nil {
		return err
	}
	d.admin, err = listenTCP("admin", &self.Admin)
	return err
}

func listenUDP(name string, at *netip.AddrPort) (*net.UDPConn, error) {
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(*at))
	if err != nil {
		return nil, merry.Prepend(err, name)
	}
	*at = c.LocalAddr().(*net.UDPAddr).AddrPort()
	return c, nil
}

func listenTCP(name string, at *netip.AddrPort) (net.Listener, error) {
	l, err := net.Listen("tcp", at.String())
	if err != nil {
		return nil, merry.Prepend(err, name)
	}
	*at = l.Addr().(*net.TCPAddr).AddrPort()
	return l, nil
}

func (d *Daemon) close() {
	d.traffic.Close()
	if d.datagram != nil {
		_ = d.datagram.Close() // no buffered data to lose
	}
	for _, l := range []net.Listener{d.rpc, d.http, d.admin} {
		if l != nil {
			_ = l.Close() // no buffered data to lose
		}
	}
	d.targets.Close()
	if d.platformTransport != nil {
		d.platformTransport.CloseIdleConnections()
	}
	d.peers.close()
}

func (d *Daemon) serveHTTP(ctx context.Context, l net.Listener, h http.Handler) *http.Server {
	s := &http.Server{
		Handler: d.trackRequests(h), ReadHeaderTimeout: readHeaderTimeout,
		BaseContext: func(net.Listener) context.Context { return ctx },
	}
	context.AfterFunc(ctx, func() { _ = s.Close() }) // the daemon ends, so the error does not matter
	d.spawn(func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) && ctx.Err() == nil {
			d.Log.WithError(err).Error("server ended")
		}
	})
	return s
}
