package demo

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/config"
	"github.com/cornelbay/cornelbay/daemon"
	"github.com/cornelbay/cornelbay/entry"
	"github.com/cornelbay/cornelbay/load"
	"github.com/cornelbay/cornelbay/objectstore"
	"github.com/cornelbay/cornelbay/operator"
	"github.com/cornelbay/cornelbay/standin"
)

// The sizes and times of the deployment.
const (
	hostCount    = 6
	stopNotice   = 500 * time.Millisecond
	readyPoll    = 100 * time.Millisecond
	startTimeout = 15 * time.Second
	// truncateEvery makes each target truncate every n-th answer.
	truncateEvery = 97
)

var freeLoopbackPort = netip.MustParseAddrPort("127.0.0.1:0")

// standinTarget is a fake target and its entry in the document.
type standinTarget struct {
	load.ServiceTarget
	standin *standin.Target
}

// host is one host; each restart gives it a new daemon.
type host struct {
	name cornelbay.HostName
	dc   cornelbay.DataCentreName

	daemon atomic.Pointer[daemon.Daemon]
	kill   context.CancelFunc
	// ready is the result of the last readiness probe.
	ready atomic.Bool
}

// world holds the hosts and the fakes around them.
type world struct {
	doc      *config.Document
	memory   objectstore.Memory
	platform objectstore.Faulty
	operator operator.Client
	base     string
	fabric   standin.Fabric
	probe    http.Client
	hosts    []*host
	standins map[cornelbay.TargetName]*standinTarget

	onPacket  func(p load.ServiceTarget, pk *cornelbay.Packet)
	onRequest func(p load.ServiceTarget, r *http.Request)

	config   configWatch
	stops    []func()
	ctx      context.Context
	cancel   context.CancelFunc
	watchers sync.WaitGroup
}

func newWorld(ctx context.Context, doc *config.Document) (*world, error) {
	w := &world{doc: doc, standins: make(map[cornelbay.TargetName]*standinTarget)}
	w.ctx, w.cancel = context.WithCancel(ctx)
	w.probe.Transport = &http.Transport{MaxIdleConnsPerHost: 1}
	w.platform.Service = &w.memory
	w.operator.Service = &w.memory // bypasses the faults injected into w.platform
	if err := w.start(); err != nil {
		w.close()
		return nil, err
	}
	return w, nil
}

func (w *world) start() error {
	at, stop, err := standin.Serve(freeLoopbackPort, &objectstore.Server{Service: &w.platform})
	if err != nil {
		return err
	}
	w.base = "http://" + at.String()
	w.stops = append(w.stops, stop)
	if err := w.fabric.Start(); err != nil {
		return err
	}
	w.stops = append(w.stops, w.fabric.Close)
	if err := w.startTargets(); err != nil {
		return err
	}
	dcs := w.doc.DataCentres
	for i := range hostCount {
		dc := dcs[i%len(dcs)].Name
		h := &host{name: cornelbay.HostName(fmt.Sprintf("%s-%d", dc, i/len(dcs)+1)), dc: dc}
		w.hosts = append(w.hosts, h)
		if err := w.startHost(h); err != nil {
			return err
		}
	}
	w.watchers.Go(w.watchHosts)
	w.watchers.Go(func() { w.config.run(w.ctx, w.hosts) })
	return nil
}

func (w *world) startTargets() error {
	for i := range w.doc.Services {
		s := &w.doc.Services[i]
		for j := range s.Targets {
			t := &s.Targets[j]
			p := &standinTarget{standin: &standin.Target{Name: t.Name, Slots: t.SlotCount(), TruncateEvery: truncateEvery}}
			p.standin.OnPacket = func(pk *cornelbay.Packet) { w.onPacket(p.ServiceTarget, pk) }
			p.standin.OnRequest = func(r *http.Request) { w.onRequest(p.ServiceTarget, r) }
			if err := p.standin.Start(freeLoopbackPort, freeLoopbackPort); err != nil {
				return err
			}
			w.stops = append(w.stops, p.standin.Close)
			t.Tunnel, t.HTTP = p.standin.Tunnel(), p.standin.HTTP()
			p.ServiceTarget = load.ServiceTarget{Target: *t, Service: *s}
			w.standins[t.Name] = p
		}
	}
	return nil
}

// startHost starts a host; its incarnation is the current time in nanoseconds.
func (w *world) startHost(h *host) error {
	ctx, kill := context.WithCancel(w.ctx)
	now := time.Now().UnixNano()
	d, err := daemon.Start(ctx, daemon.Settings{
		Settings: entry.Settings{
			Self: cornelbay.Host{
				Name: h.name, DataCentre: h.dc, Incarnation: cornelbay.Incarnation(now),
				Fabric: freeLoopbackPort, Datagram: freeLoopbackPort, RPC: freeLoopbackPort, HTTP: freeLoopbackPort, Admin: freeLoopbackPort,
			},
			Seed: uint64(now), HashKey: [2]uint64{1, 2}, TicketKeys: [][]byte{[]byte("ticket key of the demo")},
			InitialHosts: w.startedHosts(h),
		},
		Platform: w.base, Keys: [][]byte{[]byte("datagram key of the demo")},
		StopNotice: stopNotice, Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
	})
	if err != nil {
		kill()
		return err
	}
	h.kill = kill
	h.daemon.Store(d)
	return nil
}

// startedHosts returns the other hosts that have been started, including those that
// have stopped since.
func (w *world) startedHosts(own *host) []cornelbay.Host {
	var out []cornelbay.Host
	for _, h := range w.hosts {
		if d := h.daemon.Load(); d != nil && h != own {
			out = append(out, d.Self())
		}
	}
	return out
}

// watchHosts polls the hosts' readiness and sets the ready ones as the fabric's hosts.
func (w *world) watchHosts() {
	for w.ctx.Err() == nil {
		var ready []netip.AddrPort
		for _, h := range w.hosts {
			self := h.daemon.Load().Self()
			ok := standin.Ready(w.ctx, &w.probe, self.Admin)
			h.ready.Store(ok)
			if ok {
				ready = append(ready, self.Fabric)
			}
		}
		w.fabric.SetHosts(ready...)
		wait(w.ctx, readyPoll)
	}
}

// readyHosts returns the hosts whose last readiness probe succeeded.
func (w *world) readyHosts() []*host {
	var out []*host
	for _, h := range w.hosts {
		if h.ready.Load() {
			out = append(out, h)
		}
	}
	return out
}

// readyAddresses returns the HTTP addresses of the ready hosts.
func (w *world) readyAddresses() []netip.AddrPort {
	var out []netip.AddrPort
	for _, h := range w.readyHosts() {
		out = append(out, h.daemon.Load().Self().HTTP)
	}
	return out
}

func (w *world) close() {
	w.cancel()
	w.watchers.Wait()
	for _, h := range w.hosts {
		if d := h.daemon.Load(); d != nil {
			<-d.Done()
		}
	}
	for _, stop := range w.stops {
		stop()
	}
	w.probe.CloseIdleConnections()
}

// wait waits until d has passed or ctx is done, and reports whether d has passed.
func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
