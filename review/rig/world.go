// Package rig starts the project's program as the deploy file does, on loopback addresses, between
// stand-ins for the platform's store, its routers, endpoints and clients. The stand-ins follow the
// platform's protocol page; the store is that of package fakeplatform.
package rig

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelbay/cornelbay/fakeplatform"
)

// The bounds of the small deployments on the users' pages.
const (
	StabilityWindow = 4 * time.Second
	FlowTimeout     = 2 * time.Second
	MaxFlow         = 60 * time.Second
	IdleTimeout     = 15 * time.Second
	WarmupPerSecond = 4 // of the services in the config; the pages give no figure but 0.0 in an example
	WarmupFactor    = 1.5
	WarmupSlack     = 5
	ColdLimit       = WarmupPerSecond*WarmupFactor + WarmupSlack
	heartbeat       = 1200 * time.Millisecond
)

const (
	checkInterval = 500 * time.Millisecond
	missesAllowed = 2
	readyTimeout  = 10 * time.Second
)

// World is a deployment.
type World struct {
	Record *Record
	Store  *fakeplatform.Store
	// Lose reports whether a packet is lost that an endpoint sends to a client. It may be nil.
	Lose func(from string, syn bool, source netip.AddrPort) bool

	net      byte
	base     int
	dir      string
	binary   string
	key      string
	hosts    []*Host
	ledger   *Ledger
	services []string
	version  int

	// sent and lost count the packets of endpoints and clients.
	sent, lost atomic.Int64

	mu       sync.Mutex
	next     int
	rotation map[string][]*Host
	clients  []*Client
	ends     []*Endpoint
	stop     chan struct{}
	running  sync.WaitGroup
}

// Host is one machine with its process.
type Host struct {
	Name, Zone string

	w        *World
	at       netip.Addr
	settings string
	front    *front
	misses   int

	mu  sync.Mutex
	cmd *exec.Cmd
}

// New prepares a deployment with hosts in the given zones, and services, each on a port of one
// address of the platform. It starts no process.
func New(record *Record, binary string, zones, services []string) (*World, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	secret := make([]byte, 32)
	if _, err := rand.Read(secret); err != nil {
		return nil, err
	}
	w := &World{
		Record: record, Store: &fakeplatform.Store{}, dir: dir, binary: binary, key: hex.EncodeToString(secret),
		ledger: newLedger(record), services: services, rotation: make(map[string][]*Host), stop: make(chan struct{}),
	}
	if err := w.findPorts(len(zones)); err != nil {
		return nil, err
	}
	count := make(map[string]int)
	for i, zone := range zones {
		count[zone]++
		f, err := newFront(w.Store)
		if err != nil {
			return nil, err
		}
		h := &Host{
			Name: fmt.Sprintf("edge-%s-%d", zone, count[zone]), Zone: zone, w: w, at: w.address(1, i+1), front: f,
			settings: filepath.Join(dir, fmt.Sprintf("boot-%d.toml", i+1)),
		}
		w.hosts = append(w.hosts, h)
	}
	for _, h := range w.hosts {
		if err := os.WriteFile(h.settings, []byte(w.settings(h)), 0o600); err != nil {
			return nil, err
		}
	}
	w.PutConfig()
	return w, nil
}

// findPorts picks a network of loopback addresses, and ports that are free at those of the hosts.
func (w *World) findPorts(hosts int) error {
	for range 50 {
		w.net, w.base = byte(20+mathrand.IntN(100)), 20000+mathrand.IntN(8000)
		if w.free(hosts) {
			return nil
		}
	}
	return errors.New("no free ports")
}

func (w *World) free(hosts int) bool {
	for i := range hosts {
		for port := w.base; port < w.base+4; port++ {
			at := netip.AddrPortFrom(w.address(1, i+1), uint16(port))
			l, err := net.Listen("tcp4", at.String())
			if err != nil {
				return false
			}
			c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
			_ = l.Close()
			if err != nil {
				return false
			}
			_ = c.Close()
		}
	}
	return true
}

func (w *World) address(kind, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, w.net, byte(kind<<4 + n/250), byte(1 + n%250)})
}

func (w *World) packetPort() uint16  { return uint16(w.base) }
func (w *World) readyPort() uint16   { return uint16(w.base + 1) }
func (w *World) controlPort() uint16 { return uint16(w.base + 2) }
func (w *World) peerPort() uint16    { return uint16(w.base + 3) }

func (w *World) settings(h *Host) string {
	var seeds []string
	for _, s := range w.hosts[:min(3, len(w.hosts))] {
		seeds = append(seeds, fmt.Sprintf("%q", netip.AddrPortFrom(s.at, w.controlPort())))
	}
	zones := make(map[string]bool)
	for _, o := range w.hosts {
		zones[o.Zone] = true
	}
	all := ""
	for zone := range zones {
		all += zone + " = \"r1\"\n"
	}
	at := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(h.at, port) }
	return fmt.Sprintf(`node_name = %q
role = "balancer"
machine_class = "edge"
serves = ["edge","control_plane"]
ip = %q
zone = %q
region = "r1"
internal_port_range = [%d,%d]
seeds = [%s]
bootstrap = true
in_tolerance = false
discovery = "platform"
entry = "announce"
heartbeat_ms = %d
policies = ["base","drain","config","cost","recover","flows","places","platform"]
ecmp_hash = "mod"
form = "echo"
[zones]
%s
[bind_addrs]
datagram_addr = %q
ready = %q
control = %q
[limits]
cpu_share = 0.4
cpu_cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
stability_window_ms = 4000
ack_ms = 5000
sync_s = 4
drain_ms = 3000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 3000
rollback_slack_ms = 250
max_skew_ms = 12000
warmup_factor = %v
warmup_slack = %d
evacuate_ms = 5000
recovery_s = 12
flow_timeout_ms = 2000
max_flow_s = 60
[platform]
address = %q
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
min_ttl_ms = 1000
`, h.Name, h.at, h.Zone, w.peerPort(), w.peerPort()+12, strings.Join(seeds, ","), heartbeat.Milliseconds(), all,
		at(w.packetPort()), at(w.readyPort()), at(w.controlPort()), WarmupFactor, WarmupSlack, h.front.address())
}

// PutConfig writes a version of the config with a route to each service.
func (w *World) PutConfig() {
	w.version += 3
	routes, services := []any{}, []any{}
	for i, name := range w.services {
		at := w.ServiceAddress(i)
		routes = append(routes, map[string]any{
			"name": "r-" + name, "host": at.Addr().String(), "path_prefix": fmt.Sprintf("/%d/", at.Port()),
			"route_type": "safe", "timeout_ms": 1500, "target_latency_ms": 250, "priority": 2, "service": name, "max_attempts": 2,
		})
		services = append(services, map[string]any{
			"name": name, "health_path": "/healthz", "max_flows": 2000, "protocol": "h1", "tls": false,
			"warmup_s": 2.0, "warmup_per_s": WarmupPerSecond,
		})
	}
	w.Store.Put("config", "main", map[string]any{
		"version": w.version, "routes": routes, "services": services, "limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
			"idle_timeout_ms": IdleTimeout.Milliseconds(),
		},
	})
}

// ServiceAddress returns the address of the i-th service. It stands in packets only.
func (w *World) ServiceAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 255, 0, 1}), uint16(8443+i))
}

// Evacuate orders or takes back the evacuation of a zone.
func (w *World) Evacuate(zone string, on bool) {
	if on {
		w.Store.Put("evacuations", zone, map[string]any{})
	} else {
		w.Store.Put("evacuations", zone, nil)
	}
	w.Record.Say("evacuation of %s: %v", zone, on)
}

// Hosts returns the hosts in the order of New.
func (w *World) Hosts() []*Host { return w.hosts }

// Ledger returns what endpoints and clients have seen.
func (w *World) Ledger() *Ledger { return w.ledger }

// Start starts all processes and the routers, and waits until all hosts are ready.
func (w *World) Start() error {
	for _, h := range w.hosts {
		if err := h.Start(); err != nil {
			return err
		}
	}
	w.running.Go(w.route)
	for begin := time.Now(); time.Since(begin) < readyTimeout; time.Sleep(50 * time.Millisecond) {
		n := 0
		w.mu.Lock()
		for _, hosts := range w.rotation {
			n += len(hosts)
		}
		w.mu.Unlock()
		if n == len(w.hosts) {
			w.Record.Say("all hosts are ready")
			return nil
		}
	}
	return errors.New("hosts are not ready")
}

// Packets returns how many packets endpoints and clients have sent, and how many of these were lost.
func (w *World) Packets() (sent, lost int64) { return w.sent.Load(), w.lost.Load() }

// Close ends all processes and stand-ins.
func (w *World) Close() {
	close(w.stop)
	for _, h := range w.hosts {
		h.Kill()
		h.front.close()
	}
	w.mu.Lock()
	for _, c := range w.clients {
		_ = c.conn.Close()
	}
	ends := w.ends
	w.mu.Unlock()
	for _, e := range ends {
		e.Close()
	}
	w.running.Wait()
	_ = os.RemoveAll(w.dir)
}

// Start starts the host's process.
func (h *Host) Start() error {
	logs, err := os.OpenFile(h.LogPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(h.w.binary, "platform")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CORNELBAY_CONFIG=" + h.settings, "CORNELBAY_KEY=" + h.w.key}
	cmd.Stdout, cmd.Stderr = logs, logs
	if err := cmd.Start(); err != nil {
		return err
	}
	_ = logs.Close() // the process has it open
	started.Lock()
	started.all = append(started.all, cmd.Process)
	started.Unlock()
	h.mu.Lock()
	h.cmd = cmd
	h.mu.Unlock()
	h.w.Record.Line("%s started as process %d", h.Name, cmd.Process.Pid)
	return nil
}

// started are the processes that were started, so that none is left if the program is stopped.
var started struct {
	sync.Mutex
	all []*os.Process
}

func killAll() {
	started.Lock()
	defer started.Unlock()
	for _, p := range started.all {
		_ = p.Kill() // it may have ended
	}
}

// LogPath returns the path of the host's log.
func (h *Host) LogPath() string { return filepath.Join(h.w.dir, h.Name+".log") }

// Log returns the host's log so far.
func (h *Host) Log() string {
	b, err := os.ReadFile(h.LogPath())
	if err != nil {
		return ""
	}
	return string(b)
}

// Signal sends a signal to the host's process.
func (h *Host) Signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil {
		_ = h.cmd.Process.Signal(s) // it may have ended
		h.w.Record.Say("%s gets %v", h.Name, s)
	}
}

// Kill kills the host's process and waits for its end.
func (h *Host) Kill() {
	h.mu.Lock()
	cmd := h.cmd
	h.cmd = nil
	h.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
		_ = cmd.Wait() // a signal ended it
	}
}

// Stop stops the process as the platform does, and waits for its end: SIGTERM, and SIGKILL after
// the grace time of 6 s.
func (h *Host) Stop() {
	h.Signal(syscall.SIGTERM)
	h.mu.Lock()
	cmd := h.cmd
	h.cmd = nil
	h.mu.Unlock()
	if cmd == nil {
		return
	}
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait() // a signal ended it
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(6 * time.Second):
		_ = cmd.Process.Kill()
		<-done
	}
	h.w.Record.Say("%s has ended", h.Name)
}

// Silence lets the host's open channels to the store go silent for good on which a call waits
// that matches.
func (h *Host) Silence(match func(kind string, watch bool) bool) int { return h.front.silence(match) }

// Cut partitions the host from the store until Heal: open and new channels are silent.
func (h *Host) Cut() {
	h.front.cut.Store(true)
	h.front.silence(func(string, bool) bool { return true })
	h.w.Record.Say("%s is cut off from the store", h.Name)
}

// Heal ends Cut for new channels.
func (h *Host) Heal() {
	h.front.cut.Store(false)
	h.w.Record.Say("%s reaches the store again", h.Name)
}

// WaitForWatch waits until a host begins a watch of a kind at the store, and returns the host.
func (w *World) WaitForWatch(kind string) *Host {
	count := func(h *Host) int {
		h.front.mu.Lock()
		defer h.front.mu.Unlock()
		return h.front.watches[kind]
	}
	before := make(map[*Host]int)
	for _, h := range w.hosts {
		before[h] = count(h)
	}
	for ; ; time.Sleep(time.Millisecond) {
		for _, h := range w.hosts {
			if count(h) > before[h] {
				return h
			}
		}
	}
}

// route keeps the rotation of the platform's routers.
func (w *World) route() {
	t := time.NewTicker(checkInterval)
	defer t.Stop()
	for {
		w.check()
		select {
		case <-w.stop:
			return
		case <-t.C:
		}
	}
}

func (w *World) check() {
	ok := make([]bool, len(w.hosts))
	var asked sync.WaitGroup
	for i, h := range w.hosts {
		asked.Go(func() { ok[i] = w.ready(h) })
	}
	asked.Wait()
	rotation := make(map[string][]*Host)
	size := make(map[string]int)
	for i, h := range w.hosts {
		size[h.Zone]++
		h.misses++
		if ok[i] {
			h.misses = 0
		}
		if h.misses < missesAllowed {
			rotation[h.Zone] = append(rotation[h.Zone], h)
		}
	}
	for zone, n := range size {
		if in := len(rotation[zone]); in > 0 && 2*in < n {
			rotation[zone] = nil
			for _, h := range w.hosts {
				if h.Zone == zone {
					rotation[zone] = append(rotation[zone], h)
				}
			}
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for zone := range size {
		if before, after := names(w.rotation[zone]), names(rotation[zone]); before != after {
			w.Record.Line("rotation of %s: %s", zone, after)
		}
	}
	w.rotation = rotation
}

func names(hosts []*Host) string {
	var all []string
	for _, h := range hosts {
		all = append(all, h.Name)
	}
	return strings.Join(all, " ")
}

func (w *World) ready(h *Host) bool {
	c := http.Client{Timeout: checkInterval - 20*time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := c.Get(fmt.Sprintf("http://%s/v1/readyz", netip.AddrPortFrom(h.at, w.readyPort())))
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// hostOf returns the host that gets a packet of a flow now: by a hash over the hosts in rotation
// in the client's zone, or in another one if it has none.
func (w *World) hostOf(zone string, k key) *Host {
	w.mu.Lock()
	defer w.mu.Unlock()
	hosts := w.rotation[zone]
	for _, h := range w.hosts {
		if len(hosts) > 0 {
			break
		}
		hosts = w.rotation[h.Zone]
	}
	if len(hosts) == 0 {
		return nil
	}
	return hosts[xxhash.Sum64String(k.source.String()+k.destination.String())%uint64(len(hosts))]
}
