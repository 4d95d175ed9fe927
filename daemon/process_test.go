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

const trialKey = "000102030405060708090a0b0c0d0e0f000102030405060708090a0b0c0d0e0f"

// processes runs the built commands as separate processes.
type processes struct {
	t        *testing.T
	dir      string
	platform string
	document string
}

// start builds the commands and starts the stand-in with further flags.
func start(t *testing.T, args ...string) *processes {
	t.Helper()
	p := &processes{t: t, dir: t.TempDir()}
	out, err := exec.Command("go", "build", "-o", p.dir, "../cmd/cornelbayd", "../cmd/cornelbay").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	p.document = filepath.Join(p.dir, "document.json")
	args = append([]string{"standin", "../examples/agence.json", "--listen=127.0.0.1:0", "--any-port", "--bound=" + p.document}, args...)
	p.platform = strings.TrimPrefix(<-p.run("cornelbay", args...).lines, "platform at ")
	return p
}

// process is one that the test has started.
type process struct {
	*exec.Cmd
	// lines are its lines of output.
	lines chan string
	// ended is closed when it has ended.
	ended chan struct{}
}

// run starts a process that is killed when the test ends.
func (p *processes) run(name string, args ...string) *process {
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
		_ = c.Wait() // ProcessState tells
		_ = w.Close()
	}()
	go c.scan(r)
	p.t.Cleanup(func() {
		_ = c.Process.Kill() // it may have ended
		<-c.ended
	})
	return c
}

// scan keeps the lines that there is room for.
func (c *process) scan(r io.Reader) {
	for s := bufio.NewScanner(r); s.Scan(); {
		select {
		case c.lines <- s.Text():
		default:
		}
	}
	close(c.lines)
}

type started struct {
	Fields struct {
		Fabric   netip.AddrPort `json:"fabric"`
		Datagram netip.AddrPort `json:"datagram"`
		HTTP     netip.AddrPort `json:"http"`
		Admin    netip.AddrPort `json:"admin"`
	} `json:"fields"`
	Message string `json:"message"`

	process *process
}

func (s started) admin(path string) string { return "http://" + s.Fields.Admin.String() + path }

func (s started) lookup() string {
	return "http://" + s.Fields.HTTP.String() + "/services/statut/routes/7"
}

func (p *processes) daemon(name string, peers ...string) started {
	p.t.Helper()
	args := []string{"--name=" + name, "--data-centre=imlil", "--platform=" + p.platform, "--key=" + trialKey, "--hash-key=" + trialKey[:32]}
	if len(peers) > 0 {
		args = append(args, "--peers="+strings.Join(peers, ","))
	}
	c := p.run("cornelbayd", args...)
	for line := range c.lines {
		s := started{process: c}
		if json.Unmarshal([]byte(line), &s) == nil && s.Message == "started" {
			return s
		}
	}
	p.t.Fatal("daemon ended")
	return started{}
}

func (p *processes) apply(doc string, more ...string) {
	p.t.Helper()
	args := append([]string{"apply", doc, "--platform=" + p.platform, "--author=test", "--reason=test"}, more...)
	cmd := exec.Command(filepath.Join(p.dir, "cornelbay"), args...)
	if out, err := cmd.CombinedOutput(); err != nil {
		p.t.Fatalf("apply: %v\n%s", err, out)
	}
}

// waitGeneration returns when the daemon serves by the generation.
func (p *processes) waitGeneration(s started, generation uint64) {
	p.t.Helper()
	for {
		var st daemon.Status
		p.getJSON(s.admin("/status"), &st)
		if st.Ready && st.Head.Generation >= generation {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (p *processes) getJSON(url string, v any) {
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

func (p *processes) packet(pk standin.SendPacketRequest) (standin.Reply, int) {
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

func TestThinPathOverProcesses(t *testing.T) {
	is := is.New(t)
	p := start(t)
	first := p.daemon("imlil-1")
	second := p.daemon("imlil-2", first.Fields.Datagram.String())
	p.apply(p.document)
	p.waitGeneration(first, 1)
	p.waitGeneration(second, 1)

	res, err := http.Get(second.lookup())
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
	opened, status := p.packet(pk)
	is.Equal(status, http.StatusOK)
	is.True(strings.HasPrefix(string(opened.Target), "statut-"))
	pk.Opening = false
	for range 8 {
		next, status := p.packet(pk)
		is.Equal(status, http.StatusOK)
		is.Equal(next.Target, opened.Target) // every packet of a flow meets one target
	}

	b, err := os.ReadFile(p.document)
	is.NoErr(err)
	doc, err := config.Parse(b)
	is.NoErr(err)
	doc.Services = doc.Services[1:]
	b, err = doc.Canonical()
	is.NoErr(err)
	is.NoErr(os.WriteFile(p.document, b, 0o600))
	p.apply(p.document, "--force") // the targets of the service do not drain
	p.waitGeneration(first, 2)
	p.waitGeneration(second, 2)
	_, status = p.packet(pk)
	is.Equal(status, http.StatusGatewayTimeout) // the service is gone from the document
}

// ready asks as the fabric does whether to send to the daemon.
func (s started) ready() bool {
	res, err := http.Get(s.admin("/readyz"))
	if err != nil {
		return false
	}
	_ = res.Body.Close() // the status has come
	return res.StatusCode == http.StatusOK
}

// load asks lookups of whichever daemons are ready until stop is closed.
type load struct {
	stop     chan struct{}
	wg       sync.WaitGroup
	answered atomic.Int64
	// cut counts requests without an answer or with an unknown outcome.
	cut atomic.Int64
}

func startLoad(daemons []started, callers int) *load {
	l := &load{stop: make(chan struct{})}
	for i := range callers {
		l.wg.Go(func() {
			for n := i; ; n++ {
				select {
				case <-l.stop:
					return
				default:
					l.ask(daemons[n%len(daemons)])
				}
			}
		})
	}
	return l
}

func (l *load) ask(s started) {
	if !s.ready() {
		return
	}
	res, err := http.Get(s.lookup())
	if err != nil {
		l.cut.Add(1)
		return
	}
	_, err = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close() // read whole
	switch {
	case err != nil || res.Header.Get(cornelbay.OutcomeHeader) == cornelbay.Unknown.String():
		l.cut.Add(1)
	case res.Header.Get(cornelbay.OutcomeHeader) == cornelbay.Answered.String():
		l.answered.Add(1)
	}
}

// end stops the load and waits for its last answers.
func (l *load) end() {
	close(l.stop)
	l.wg.Wait()
}

// waitAnswered returns when n more requests were answered.
func (l *load) waitAnswered(n int64) {
	for want := l.answered.Load() + n; l.answered.Load() < want; {
		time.Sleep(time.Millisecond)
	}
}

func (p *processes) three() []started {
	p.t.Helper()
	first := p.daemon("imlil-1")
	peers := first.Fields.Datagram.String()
	all := []started{first, p.daemon("imlil-2", peers), p.daemon("imlil-3", peers)}
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

func TestPlannedStopCutsNoRequest(t *testing.T) {
	is := is.New(t)
	p := start(t, "--answer-delay=50ms")
	all := p.three()
	l := startLoad(all, 12)
	l.waitAnswered(30)
	is.NoErr(all[0].process.Process.Signal(syscall.SIGTERM))
	<-all[0].process.ended
	l.waitAnswered(30)
	l.end()
	is.Equal(all[0].process.ProcessState.ExitCode(), 0)
	is.Equal(l.cut.Load(), int64(0)) // no request was cut
}

func TestSecondSignalEndsAtOnce(t *testing.T) {
	is := is.New(t)
	p := start(t)
	s := p.daemon("imlil-1")
	is.NoErr(s.process.Process.Signal(syscall.SIGTERM))
	for line := range s.process.lines {
		if strings.Contains(line, "planned stop begins") {
			break
		}
	}
	is.NoErr(s.process.Process.Signal(syscall.SIGTERM))
	<-s.process.ended
	is.Equal(s.process.ProcessState.ExitCode(), 3)
}

func TestKilledDaemonUnderLoad(t *testing.T) {
	is := is.New(t)
	p := start(t)
	all := p.three()
	var hosts []netip.AddrPort
	for _, s := range all {
		hosts = append(hosts, s.Fields.Fabric)
	}
	flows := make(map[uint16]cornelbay.TargetName)
	pk := standin.SendPacketRequest{Hosts: hosts, Destination: netip.MustParseAddrPort("192.0.2.10:443"), Opening: true}
	for port := uint16(40000); port < 40020; port++ {
		pk.Source = netip.AddrPortFrom(netip.MustParseAddr("203.0.113.9"), port)
		r, status := p.packet(pk)
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
			p.getJSON(s.admin("/status"), &st)
			live = len(st.Live)
		}
	}
	l.waitAnswered(30)
	l.end()
	pk.Hosts, pk.Opening = hosts[:2], false
	for port, want := range flows {
		pk.Source = netip.AddrPortFrom(netip.MustParseAddr("203.0.113.9"), port)
		r, status := p.packet(pk)
		is.Equal(status, http.StatusOK)
		is.Equal(r.Target, want) // the flow goes on at its target
	}
}
