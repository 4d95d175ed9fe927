// Package daemon is the shell around an entry host: it owns the sockets, the
// clock and the goroutines, and carries out the effects of the host's decisions.
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

// The lengths of the daemon's queues.
const (
	inputBacklog  = 1024
	signalBacklog = 4096
)

// headerTimeout bounds the time in which a client sends a request's header.
const headerTimeout = 5 * time.Second

// platformIdle is how long an unused connection to the platform is kept.
const platformIdle = 30 * time.Second

// Settings are what a daemon is started with.
type Settings struct {
	entry.Settings
	// Platform is the URL of the platform's service.
	Platform string
	// Keys authenticate datagrams and relayed packets: the first seals, any opens.
	Keys [][]byte
	// KeyPair authenticates the host towards other hosts and operators; nil is
	// plain TCP.
	KeyPair *peer.KeyPair
	// TrafficWorkers is the number of traffic goroutines; 0 stands for 1.
	TrafficWorkers int
	// StopNotice is the time that the fabric has to notice that a stopping host
	// is not ready, before the host refuses new requests.
	StopNotice time.Duration
	// StopTimeout bounds a planned stop; 0 stands for DefaultStopTimeout.
	StopTimeout time.Duration
	// Log receives the daemon's log entries; nil stands for the standard logger.
	Log log.Interface
}

// Daemon runs one entry host on real sockets.
type Daemon struct {
	Settings

	host     *entry.Host
	codec    codec
	store    objectstore.Service
	targets  target.Client
	inputs   chan func(now time.Time) []cornelbay.Effect
	signals  chan warmth.Signal
	traffic  traffic.Forwarder
	requests requests
	metrics  metrics
	burn     burn.Ring
	peers    peers

	view     atomic.Pointer[view]
	stopping atomic.Bool
	lastTick atomic.Int64
	stopOnce sync.Once
	stopErr  error

	datagram         *net.UDPConn
	rpc, http, admin net.Listener
	httpServer       *http.Server
	toPlatform       *http.Transport

	// ctx ends with the daemon.
	ctx    context.Context
	cancel context.CancelFunc
	// wg counts goroutines and handlers; none joins once ended is set.
	wg    sync.WaitGroup
	mu    sync.Mutex
	ended bool
	done  chan struct{}
}

// Start binds the daemon's addresses and runs it until ctx ends or a planned
// stop is done.
func Start(ctx context.Context, s Settings) (*Daemon, error) {
	d := &Daemon{
		Settings: s,
		inputs:   make(chan func(time.Time) []cornelbay.Effect, inputBacklog),
		signals:  make(chan warmth.Signal, signalBacklog),
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
	d.toPlatform = &http.Transport{IdleConnTimeout: platformIdle}
	d.store = &objectstore.Client{Base: s.Platform, HTTP: &http.Client{Transport: d.toPlatform}}
	d.traffic.Decider, d.traffic.OnHeld = &d.host.Plane, d.held
	d.traffic.SetKeys(s.Keys...)
	d.view.Store(&view{})
	d.metrics.init(d.host)
	d.traffic.Register(d.metrics.registry)
	d.initPeers()
	d.ctx, d.cancel = context.WithCancel(ctx)
	d.run(d.ctx)
	return d, nil
}

// run starts the daemon's goroutines; Done tells when all have ended.
func (d *Daemon) run(ctx context.Context) {
	d.goes(func() { d.control(ctx) })
	d.goes(func() { d.receiveDatagrams(ctx) })
	d.traffic.Run(ctx, d.goes)
	d.goes(func() { d.servePeers(ctx) })
	d.httpServer = d.serve(ctx, d.http, caller.NewServer(d.do))
	if c := d.peers.credentials; c != nil {
		d.admin = tls.NewListener(d.admin, c.ServerConfig())
	}
	d.serve(ctx, d.admin, d.authorised(d.adminHandler()))
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

// tracked makes Done wait for the handler's requests.
func (d *Daemon) tracked(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !d.enter() {
			http.Error(w, "host has ended", http.StatusServiceUnavailable)
			return
		}
		defer d.wg.Done()
		h.ServeHTTP(w, r)
	})
}

func (d *Daemon) enter() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ended {
		return false
	}
	d.wg.Add(1)
	return true
}

func (d *Daemon) goes(f func()) { d.wg.Go(f) }

// Self returns the host with the addresses that were bound.
func (d *Daemon) Self() cornelbay.Host { return d.Settings.Self }

// Done is closed when the daemon has ended and its addresses are free.
func (d *Daemon) Done() <-chan struct{} { return d.done }

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
		_ = d.datagram.Close() // nothing is buffered
	}
	for _, l := range []net.Listener{d.rpc, d.http, d.admin} {
		if l != nil {
			_ = l.Close() // nothing is buffered
		}
	}
	d.targets.Close()
	if d.toPlatform != nil {
		d.toPlatform.CloseIdleConnections()
	}
	d.peers.close()
}

func (d *Daemon) serve(ctx context.Context, l net.Listener, h http.Handler) *http.Server {
	s := &http.Server{
		Handler: d.tracked(h), ReadHeaderTimeout: headerTimeout,
		BaseContext: func(net.Listener) context.Context { return ctx },
	}
	context.AfterFunc(ctx, func() { _ = s.Close() }) // the process ends
	d.goes(func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) && ctx.Err() == nil {
			d.Log.WithError(err).Error("server ended")
		}
	})
	return s
}
