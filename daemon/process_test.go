package daemon_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/config"
	"github.com/cornelbay/cornelbay/daemon"
	"github.com/cornelbay/cornelbay/standin"
)

const testKey = "000102030405060708090a0b0c0d0e0f000102030405060708090a0b0c0d0e0f"

// processEnv builds the commands and runs them as separate processes.
type processEnv struct {
	t        *testing.T
	dir      string
	platform string
	document string
}

// newProcessEnv builds the commands and starts the stand-in with the additional flags args.
func newProcessEnv(t *testing.T, args ...string) *processEnv {
	t.Helper()
	p := &processEnv{t: t, dir: t.TempDir()}
	out, err := exec.Command("go", "build", "-o", p.dir, "../cmd/cornelbayd", "../cmd/cornelbay").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	p.document = filepath.Join(p.dir, "document.json")
	args = append([]string{"standin", "../examples/agence.json", "--listen=127.0.0.1:0", "--any-port", "--bound=" + p.document}, args...)
	p.platform = strings.TrimPrefix(<-p.run("cornelbay", args...).lines, "platform at ")
	return p
}

// process is a process started by a test.
type process struct {
	*exec.Cmd
	// lines receives the lines of its output.
	lines chan string
	// ended is closed when the process has exited.
	ended chan struct{}
}

// run starts a process that is killed when the test ends.
func (p *processEnv) run(name string, args ...string) *process {
	p.t.Helper()
	c := &process{
		Cmd:   exec.Command(filepath.Join(p.dir, name), args...),
		lines: make(chan string, 1024), ended: make(chan struct{}),
	}
	r, w := io.Pipe()
	c.Stdout, c.Stderr = w, w
	if err := c.Start(); err != nil {
		p.t.Fatal(err)
	}
	go func() {
		defer close(c.ended)
		_ = c.Wait() // tests check ProcessState
		_ = w.Close()
	}()
	go c.scan(r)
	p.t.Cleanup(func() {
		_ = c.Process.Kill() // it may have exited already
		<-c.ended
	})
	return c
}

// scan sends the lines of r to c.lines and drops those that exceed its buffer.
func (c *process) scan(r io.Reader) {
	for s := bufio.NewScanner(r); s.Scan(); {
		select {
		case c.lines <- s.Text():
		default:
		}
	}
	close(c.lines)
}

// daemonProcess is a running cornelbayd with the addresses of its "started" log entry.
type daemonProcess struct {
	Fields struct {
		Fabric   netip.AddrPort `json:"fabric"`
		Datagram netip.AddrPort `json:"datagram"`
		HTTP     netip.AddrPort `json:"http"`
		Admin    netip.AddrPort `json:"admin"`
	} `json:"fields"`
	Message string `json:"message"`

	process *process
}

func (s daemonProcess) adminURL(path string) string {
	return "http://" + s.Fields.Admin.String() + path
}

func (s daemonProcess) requestURL() string {
	return "http://" + s.Fields.HTTP.String() + "/services/statut/routes/7"
}

func (p *processEnv) startDaemon(name string, peers ...string) daemonProcess {
	p.t.Helper()
	args := []string{"--name=" + name, "--data-centre=imlil", "--platform=" + p.platform, "--key=" + testKey, "--hash-key=" + testKey[:32]}
	if len(peers) > 0 {
		args = append(args, "--peers="+strings.Join(peers, ","))
	}
	c := p.run("cornelbayd", args...)
	for line := range c.lines {
		s := daemonProcess{process: c}
		if json.Unmarshal([]byte(line), &s) == nil && s.Message == "started" {
			return s
		}
	}
	p.t.Fatal("daemon ended")
	return daemonProcess{}
}

func (p *processEnv) apply(doc string, more ...string) {
	p.t.Helper()
	args := append([]string{"apply", doc, "--platform=" + p.platform, "--author=test", "--reason=test"}, more...)
	cmd := exec.Command(filepath.Join(p.dir, "cornelbay"), args...)
	if out, err := cmd.CombinedOutput(); err != nil {
		p.t.Fatalf("apply: %v\n%s", err, out)
	}
}

// waitGeneration waits until the daemon is ready with at least the generation.
func (p *processEnv) waitGeneration(s daemonProcess, generation uint64) {
	p.t.Helper()
	for {
		var st daemon.Status
		p.getJSON(s.adminURL("/status"), &st)
		if st.Ready && st.Head.Generation >= generation {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (p *processEnv) getJSON(url string, v any) {
	p.t.Helper()
	res, err := http.Get(url)
	if err != nil {
		p.t.Fatal(err)
	}
	defer res.Body.Close()
	if err := json.NewDecoder(res.Body).Decode(v); err != nil {
		p.t.Fatal(err)
	}
}

func (p *processEnv) sendPacket(pk standin.SendPacketRequest) (standin.Reply, int) {
	p.t.Helper()
	b, err := json.Marshal(pk)
	if err != nil {
		p.t.Fatal(err)
	}
	res, err := http.Post(p.platform+"/standin/packet", "application/json", bytes.NewReader(b))
	if err != nil {
		p.t.Fatal(err)
	}
	defer res.Body.Close()
	var r standin.Reply
	if res.StatusCode == http.StatusOK {
		if err := json.NewDecoder(res.Body).Decode(&r); err != nil {
			p.t.Fatal(err)
		}
	}
	return r, res.StatusCode
}

func TestFlowAndRequestAcrossProcesses(t *testing.T) {
	is := is.New(t)
	p := newProcessEnv(t)
	first := p.startDaemon("imlil-1")
	second := p.startDaemon("imlil-2", first.Fields.Datagram.String())
	p.apply(p.document)
	p.waitGeneration(first, 1)
	p.waitGeneration(second, 1)

	res, err := http.Get(second.requestURL())
	is.NoErr(err)
	body, err := io.ReadAll(res.Body)
	is.NoErr(err)
	is.NoErr(res.Body.Close())
	is.Equal(res.StatusCode, http.StatusOK)
	is.Equal(res.Header.Get("Cornelbay-Outcome"), "answered")
	is.True(strings.Contains(string(body), "answer of statut-"))

	hosts := []netip.AddrPort{first.Fields.Fabric, second.Fields.Fabric}
	pk := standin.SendPacketRequest{
		Hosts: hosts, Source: netip.MustParseAddrPort("203.0.113.9:40000"),
		Destination: netip.MustParseAddrPort("192.0.2.10:443"), Opening: true,
	}
	opened, status := p.sendPacket(pk)
	is.Equal(status, http.StatusOK)
	is.True(strings.HasPrefix(string(opened.Target), "statut-"))
	pk.Opening = false
	for range 8 {
		next, status := p.sendPacket(pk)
		is.Equal(status, http.StatusOK)
		is.Equal(next.Target, opened.Target) // all packets of a flow reach the same target
	}

	b, err := os.ReadFile(p.document)
	is.NoErr(err)
	doc, err := config.Parse(b)
	is.NoErr(err)
	doc.Services = doc.Services[1:]
	b, err = doc.Canonical()
	is.NoErr(err)
	is.NoErr(os.WriteFile(p.document, b, 0o600))
	p.apply(p.document, "--force") // --force, since the targets of the removed service are not drained
	p.waitGeneration(first, 2)
	p.waitGeneration(second, 2)
	_, status = p.sendPacket(pk)
	is.Equal(status, http.StatusGatewayTimeout) // the service was removed from the document
}

// ready checks the daemon's readiness endpoint, as the fabric does.
func (s daemonProcess) ready() bool {
	res, err := http.Get(s.adminURL("/readyz"))
	if err != nil {
		return false
	}
	_ = res.Body.Close() // only the status is needed
	return res.StatusCode == http.StatusOK
}

// load sends requests to the daemons that are ready, until stop is closed.
type load struct {
	stop     chan struct{}
	wg       sync.WaitGroup
	answered atomic.Int64
	// lost counts requests that got no complete response or an unknown outcome.
	lost atomic.Int64
}

func startLoad(daemons []daemonProcess, callers int) *load {
	l := &load{stop: make(chan struct{})}
	for i := range callers {
		l.wg.Go(func() {
			for n := i; ; n++ {
				select {
				case <-l.stop:
					return
				default:
					l.request(daemons[n%len(daemons)])
				}
			}
		})
	}
	return l
}

func (l *load) request(s daemonProcess) {
	if !s.ready() {
		return
	}
	res, err := http.Get(s.requestURL())
	if err != nil {
		l.lost.Add(1)
		return
	}
	_, err = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close() // the body was read to the end
	switch {
	case err != nil || res.Header.Get(cornelbay.OutcomeHeader) == cornelbay.Unknown.String():
		l.lost.Add(1)
	case res.Header.Get(cornelbay.OutcomeHeader) == cornelbay.Answered.String():
		l.answered.Add(1)
	}
}

// stopAndWait stops the load and waits for the requests in flight.
func (l *load) stopAndWait() {
	close(l.stop)
	l.wg.Wait()
}

// waitAnswered waits until n more requests have been answered.
func (l *load) waitAnswered(n int64) {
	for want := l.answered.Load() + n; l.answered.Load() < want; {
		time.Sleep(time.Millisecond)
	}
}

func (p *processEnv) startThree() []daemonProcess {
	p.t.Helper()
	first := p.startDaemon("imlil-1")
	peers := first.Fields.Datagram.String()
	all := []daemonProcess{first, p.startDaemon("imlil-2", peers), p.startDaemon("imlil-3", peers)}
	p.apply(p.document)
	for _, s := range all {
		p.waitGeneration(s, 1)
	}
	for _, s := range all {
		for !s.ready() {
			time.Sleep(20 * time.Millisecond)
		}
	}
	return all
}

func TestPlannedStopLosesNoRequest(t *testing.T) {
	is := is.New(t)
	p := newProcessEnv(t, "--answer-delay=50ms")
	all := p.startThree()
	l := startLoad(all, 12)
	l.waitAnswered(30)
	is.NoErr(all[0].process.Process.Signal(syscall.SIGTERM))
	<-all[0].process.ended
	l.waitAnswered(30)
	l.stopAndWait()
	is.Equal(all[0].process.ProcessState.ExitCode(), 0)
	is.Equal(l.lost.Load(), int64(0)) // no request was lost
}

func TestSecondSignalExitsImmediately(t *testing.T) {
	is := is.New(t)
	p := newProcessEnv(t)
	s := p.startDaemon("imlil-1")
	is.NoErr(s.process.Process.Signal(syscall.SIGTERM))
	for line := range s.process.lines {
		if strings.Contains(line, "planned stop begins") {
			break
		}
	}
	is.NoErr(s.process.Process.Signal(syscall.SIGTERM))
	<-s.process.ended
	is.Equal(s.process.ProcessState.ExitCode(), 3) // exitSecondSignal of cmd/cornelbayd
}

func TestKilledDaemonUnderLoad(t *testing.T) {
	is := is.New(t)
	p := newProcessEnv(t)
	all := p.startThree()
	var hosts []netip.AddrPort
	for _, s := range all {
		hosts = append(hosts, s.Fields.Fabric)
	}
	flows := make(map[uint16]cornelbay.TargetName)
	pk := standin.SendPacketRequest{Hosts: hosts, Destination: netip.MustParseAddrPort("192.0.2.10:443"), Opening: true}
	for port := uint16(40000); port < 40020; port++ {
		pk.Source = netip.AddrPortFrom(netip.MustParseAddr("203.0.113.9"), port)
		r, status := p.sendPacket(pk)
		is.Equal(status, http.StatusOK)
		flows[port] = r.Target
	}
	l := startLoad(all, 6)
	l.waitAnswered(30)
	is.NoErr(all[2].process.Process.Kill())
	<-all[2].process.ended
	for _, s := range all[:2] {
		for live := 0; live != 2; {
			var st daemon.Status
			p.getJSON(s.adminURL("/status"), &st)
			live = len(st.Live)
		}
	}
	l.waitAnswered(30)
	l.stopAndWait()
	pk.Hosts, pk.Opening = hosts[:2], false
	for port, want := range flows {
		pk.Source = netip.AddrPortFrom(netip.MustParseAddr("203.0.113.9"), port)
		r, status := p.sendPacket(pk)
		is.Equal(status, http.StatusOK)
		is.Equal(r.Target, want) // the flow stays on its target
	}
}
