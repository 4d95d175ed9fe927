package soak

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cornelbay/cornelbay/fakeplatform"
	"github.com/cornelbay/cornelbay/platform"
)

// The ports that are the same on all hosts.
const (
	packetPort = 18172
	readyPort  = 18167
	peerPort   = 17720
	targetPort = 19000
)

// dataCentres are those of every soak.
var dataCentres = []string{"a", "b", "c"}

// process is one host as a process.
type process struct {
	number   int
	settings string
	proxy    *proxy
	// restarting is held while a step ends the process and starts it again.
	restarting sync.Mutex

	mu      sync.Mutex
	cmd     *exec.Cmd
	stopped bool // SIGTERM was sent
	log     bytes.Buffer
}

// name returns the host's name.
func (p *process) name() string { return fmt.Sprintf("h%02d", p.number) }

// Write takes the process's log and keeps its end.
func (p *process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.log.Len() > maxLogBytes {
		p.log.Next(maxLogBytes / 2)
	}
	return p.log.Write(b)
}

const maxLogBytes = 1 << 20

type target struct {
	*fakeplatform.Target
	service, dataCentre string
	draining            bool
	// doubtful is true from when the target could not be reached until the end of
	// the round: flows that it holds may stall.
	doubtful bool
	ended    bool
}

// world is everything that a soak runs.
type world struct {
	o       Options
	dir     string
	store   fakeplatform.Store
	storeAt netip.AddrPort

	recordMu sync.Mutex
	records  map[netip.AddrPort]*record
	troubles map[string]trouble

	resultMu sync.Mutex
	result   Result

	mu        sync.Mutex
	hosts     []*process
	targets   []*target
	next      int
	callers   int
	version   int
	added     bool
	evacuated string
	closers   []func() error
}

func (w *world) address(kind, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, w.o.Net, byte(kind), byte(n)})
}

func newWorld(o Options) (*world, error) {
	w := &world{
		o: o, result: Result{Seed: o.Seed, Violations: []string{}},
		records: make(map[netip.AddrPort]*record), troubles: make(map[string]trouble),
	}
	var err error
	if w.dir, err = os.MkdirTemp("", "cornelbay-soak"); err != nil {
		return nil, merry.Prepend(err, "soak")
	}
	w.closers = append(w.closers, func() error { return os.RemoveAll(w.dir) })
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, merry.Prepend(err, "store")
	}
	srv := &http.Server{Handler: &w.store, ReadHeaderTimeout: time.Second}
	w.closers = append(w.closers, srv.Close)
	go func() { _ = srv.Serve(l) }() // ends when it is closed
	w.storeAt = netip.MustParseAddrPort(l.Addr().String())
	w.putRoutes()
	for n := range o.Targets {
		if _, err := w.addTarget(services[n%len(services)], dataCentres[n/len(services)%len(dataCentres)], 0); err != nil {
			return nil, err
		}
	}
	for n := range o.Hosts {
		if err := w.addHost(n + 1); err != nil {
			return nil, err
		}
	}
	return w, nil
}

var services = []string{"s1", "s2"}

// route is a route to a service, with limits.
type route struct {
	service   string
	objective time.Duration
	priority  int
}

// routes are always there. addedRoute comes and goes.
var (
	routes     = []route{{"s1", 400 * time.Millisecond, 1}, {"s1", 400 * time.Millisecond, 0}, {"s2", 1200 * time.Millisecond, 2}}
	addedRoute = route{"s1", 400 * time.Millisecond, 2}
)

func (w *world) serviceAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("198.18.0.1"), uint16(8001+i))
}

func (w *world) putRoutes() {
	w.version++
	all := routes
	if w.added {
		all = append(slices.Clone(routes), addedRoute)
	}
	var put []fakeplatform.Route
	for i, r := range all {
		put = append(put, fakeplatform.Route{
			Address: w.serviceAddress(i), Service: r.service, Objective: r.objective, Priority: r.priority,
		})
	}
	w.store.PutRoutes(w.version, put...)
}

// The capacity of a target.
const (
	slots    = 2
	maxQueue = 8
	workTime = 20 * time.Millisecond
)

// addTarget starts a target that announces a warm-up of the given length.
func (w *world) addTarget(service, dataCentre string, warmUp time.Duration) (*target, error) {
	w.next++
	number := uint64(0x1000 + w.next)
	t, err := fakeplatform.ListenTarget(netip.AddrPortFrom(w.address(2, w.next), targetPort), fmt.Sprintf("i-%x", number), number)
	if err != nil {
		return nil, merry.Prepend(err, "target")
	}
	return w.enter(t, service, dataCentre, warmUp), nil
}

func (w *world) enter(t *fakeplatform.Target, service, dataCentre string, warmUp time.Duration) *target {
	t.Configure(fakeplatform.TargetConfig{
		Slots: slots, MaxQueue: maxQueue, WarmUp: warmUp,
		OnAccept: func(source netip.AddrPort) { w.onAccept(source, t.Name) },
		OnRun:    func(source netip.AddrPort, sequence uint32) { w.onRun(source, sequence, t.Name) },
		OnPacket: func(e fakeplatform.Event) { w.onPacket(t.Name, e) },
	})
	t.Work.Store(int64(workTime))
	tg := &target{Target: t, service: service, dataCentre: dataCentre}
	w.targets = append(w.targets, tg)
	w.announce(tg)
	return tg
}

func (w *world) announce(t *target) { w.store.PutTarget(t.Target, t.service, t.dataCentre, t.draining) }

func (w *world) addHost(n int) error {
	x, err := newProxy(w.storeAt)
	if err != nil {
		return err
	}
	w.closers = append(w.closers, x.Close)
	p := &process{number: n, settings: filepath.Join(w.dir, fmt.Sprintf("host-%d.toml", n)), proxy: x}
	w.hosts = append(w.hosts, p)
	if err := w.writeSettings(p, usualDrainMs); err != nil {
		return err
	}
	return w.start(p, 0)
}

// The bounds that the settings name.
const (
	graceSeconds = 4
	usualDrainMs = 3000
)

func (w *world) writeSettings(p *process, drainMs int) error {
	s := fakeplatform.Settings{
		Host: p.name(), DataCentre: dataCentres[p.number%len(dataCentres)],
		Address: w.address(1, p.number), PacketPort: packetPort, ReadyPort: readyPort, PeerPort: peerPort,
		Seeds: []netip.Addr{w.address(1, 1), w.address(1, 2)}, Store: p.proxy.Address(),
		GraceSeconds: graceSeconds, DrainMs: drainMs,
	}
	if err := os.WriteFile(p.settings, []byte(s.String()), 0o600); err != nil {
		return merry.Prepend(err, "settings")
	}
	return nil
}

// soakKey authenticates the hosts of a soak.
var soakKey = strings.Repeat("5a", 32)

func (w *world) start(p *process, clock time.Duration) error {
	cmd := exec.Command(w.o.Binary, "platform", fmt.Sprintf("--clock-offset=%s", clock))
	cmd.Env = []string{platform.SettingsVariable + "=" + p.settings, "CORNELBAY_KEY=" + soakKey}
	cmd.Stdout, cmd.Stderr = p, p
	if err := cmd.Start(); err != nil {
		return merry.Prepend(err, "host")
	}
	p.mu.Lock()
	p.cmd, p.stopped = cmd, false
	p.mu.Unlock()
	return nil
}

// signal sends a signal to the process if it runs.
func (p *process) signal(s os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	p.stopped = p.stopped || s == syscall.SIGTERM
	_ = p.cmd.Process.Signal(s) // it may have ended
}

// end waits for the process to end after a signal, and kills it when it does not.
func (p *process) end(patience time.Duration) {
	p.mu.Lock()
	cmd := p.cmd
	p.cmd = nil
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = cmd.Wait() // a signal ended it
	}()
	select {
	case <-done:
	case <-time.After(patience):
		_ = cmd.Process.Kill()
		<-done
	}
}

func (w *world) packets(p *process) netip.AddrPort {
	return netip.AddrPortFrom(w.address(1, p.number), packetPort)
}

// ready asks a host for its readiness.
func (w *world) ready(p *process) bool {
	c := http.Client{Timeout: checkInterval}
	res, err := c.Get(fmt.Sprintf("http://%s:%d%s", w.address(1, p.number), readyPort, platform.ReadyPath))
	if err != nil {
		return false
	}
	_ = res.Body.Close() // read or not, the status is known
	return res.StatusCode == http.StatusOK
}

func (w *world) caller() (*fakeplatform.Caller, error) {
	w.mu.Lock()
	w.callers++
	n := w.callers
	w.mu.Unlock()
	at := netip.AddrPortFrom(w.address(3+n/250%200, 1+n%250), packetPort)
	w.recordMu.Lock()
	w.records[at] = &record{runs: make(map[uint32]bool)}
	w.recordMu.Unlock()
	c, err := fakeplatform.ListenCaller(at)
	if err != nil {
		return nil, err
	}
	c.OnPacket = func(e fakeplatform.Event) { w.onPacket(callerEnd, e) }
	return c, nil
}

func (w *world) targetNamed(name string) *target {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.targets {
		if t.Name == name {
			return t
		}
	}
	return nil
}

func (w *world) close() error {
	for _, p := range w.hosts {
		p.signal(syscall.SIGKILL)
		p.end(time.Second)
	}
	var errs []error
	for _, t := range w.targets {
		if !t.ended {
			errs = append(errs, t.Close())
		}
	}
	for _, c := range w.closers {
		errs = append(errs, c())
	}
	return errors.Join(errs...)
}
