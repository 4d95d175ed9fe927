package daemon_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

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

func start(t *testing.T) *processes {
	t.Helper()
	p := &processes{t: t, dir: t.TempDir()}
	out, err := exec.Command("go", "build", "-o", p.dir, "../cmd/cornelbayd", "../cmd/cornelbay").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	p.document = filepath.Join(p.dir, "document.json")
	lines := p.run("cornelbay", "standin", "../examples/agence.json", "--listen=127.0.0.1:0", "--any-port", "--bound="+p.document)
	p.platform = strings.TrimPrefix(<-lines, "platform at ")
	return p
}

// run starts a process and returns its lines of output.
func (p *processes) run(name string, args ...string) <-chan string {
	p.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	cmd := exec.CommandContext(ctx, filepath.Join(p.dir, name), args...)
	r, w := io.Pipe()
	cmd.Stdout, cmd.Stderr = w, w
	if err := cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() {
		cancel()
		_ = cmd.Wait() // killed by the cancel
		_ = w.Close()
	})
	lines := make(chan string, 1024)
	go func() {
		for s := bufio.NewScanner(r); s.Scan(); {
			lines <- s.Text()
		}
		close(lines)
	}()
	return lines
}

type started struct {
	Fields struct {
		Fabric   netip.AddrPort `json:"fabric"`
		Datagram netip.AddrPort `json:"datagram"`
		HTTP     netip.AddrPort `json:"http"`
		Admin    netip.AddrPort `json:"admin"`
	} `json:"fields"`
	Message string `json:"message"`
}

func (p *processes) daemon(name string, peers ...string) started {
	p.t.Helper()
	args := []string{"--name=" + name, "--data-centre=imlil", "--platform=" + p.platform, "--key=" + trialKey}
	if len(peers) > 0 {
		args = append(args, "--peers="+strings.Join(peers, ","))
	}
	for line := range p.run("cornelbayd", args...) {
		var s started
		if json.Unmarshal([]byte(line), &s) == nil && s.Message == "started" {
			return s
		}
	}
	p.t.Fatal("daemon ended")
	return started{}
}

func (p *processes) apply(doc string) {
	p.t.Helper()
	cmd := exec.Command(filepath.Join(p.dir, "cornelbay"), "apply", doc,
		"--platform="+p.platform, "--author=test", "--reason=test")
	if out, err := cmd.CombinedOutput(); err != nil {
		p.t.Fatalf("apply: %v\n%s", err, out)
	}
}

// waitGeneration returns when the daemon serves by the generation.
func (p *processes) waitGeneration(s started, generation uint64) {
	p.t.Helper()
	for {
		var st daemon.Status
		p.getJSON("http://"+s.Fields.Admin.String()+"/status", &st)
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

func (p *processes) packet(pk standin.SendPacket) (standin.Reply, int) {
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

	res, err := http.Get("http://" + second.Fields.HTTP.String() + "/services/statut/routes/7")
	is.NoErr(err)
	body, err := io.ReadAll(res.Body)
	is.NoErr(err)
	is.NoErr(res.Body.Close())
	is.Equal(res.StatusCode, http.StatusOK)
	is.Equal(res.Header.Get("Cornelbay-Outcome"), "answered")
	is.True(strings.Contains(string(body), "answer of statut-"))

	hosts := []netip.AddrPort{first.Fields.Fabric, second.Fields.Fabric}
	pk := standin.SendPacket{
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
	p.apply(p.document)
	p.waitGeneration(first, 2)
	p.waitGeneration(second, 2)
	_, status = p.packet(pk)
	is.Equal(status, http.StatusGatewayTimeout) // the service is gone from the document
}
