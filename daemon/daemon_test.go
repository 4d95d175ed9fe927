package daemon_test

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/config"
	"github.com/cornelbay/cornelbay/daemon"
	"github.com/cornelbay/cornelbay/entry"
	"github.com/cornelbay/cornelbay/objectstore"
	"github.com/cornelbay/cornelbay/operator"
	"github.com/cornelbay/cornelbay/peer"
	"github.com/cornelbay/cornelbay/standin"
)

func TestMain(m *testing.M) {
	log.SetHandler(discard.New())
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("net/http.(*persistConn).readLoop"),
		goleak.IgnoreAnyFunction("net/http.(*persistConn).writeLoop"))
}

// testEnv provides the stand-ins for daemons that run in the test process.
type testEnv struct {
	t           *testing.T
	doc         *config.Document
	memory      objectstore.Memory
	faulty      objectstore.Faulty
	platformURL string
	fabric      standin.Fabric
	targets     []*standin.Target
}

func newTestEnv(t *testing.T) *testEnv {
	t.Helper()
	b, err := os.ReadFile("../examples/agence.json")
	if err != nil {
		t.Fatal(err)
	}
	env := &testEnv{t: t}
	if env.doc, err = config.Parse(b); err != nil {
		t.Fatal(err)
	}
	if err := env.fabric.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(env.fabric.Close)
	anyPort := netip.MustParseAddrPort("127.0.0.1:0")
	for _, s := range env.doc.Services {
		for i := range s.Targets {
			st := &standin.Target{Name: s.Targets[i].Name, ReplyTo: env.fabric.Address()}
			if err := st.Start(anyPort, anyPort); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(st.Close)
			s.Targets[i].Tunnel, s.Targets[i].HTTP = st.Tunnel(), st.HTTP()
			env.targets = append(env.targets, st)
		}
	}
	env.faulty.Service = &env.memory
	env.platformURL = env.serve(&objectstore.Server{Service: &env.faulty})
	return env
}

// serve serves h on a free port until the test ends.
func (env *testEnv) serve(h http.Handler) string {
	env.t.Helper()
	base, stop, err := standin.Serve(netip.MustParseAddrPort("127.0.0.1:0"), h)
	if err != nil {
		env.t.Fatal(err)
	}
	env.t.Cleanup(stop)
	return "http://" + base.String()
}

func (env *testEnv) start(ctx context.Context) *daemon.Daemon {
	env.t.Helper()
	return env.startWith(ctx, "imlil-1", nil)
}

func (env *testEnv) startWith(ctx context.Context, name cornelbay.HostName, pair *peer.KeyPair, others ...cornelbay.Host) *daemon.Daemon {
	env.t.Helper()
	anyPort := netip.MustParseAddrPort("127.0.0.1:0")
	d, err := daemon.Start(ctx, daemon.Settings{
		Settings: entry.Settings{Self: cornelbay.Host{
			Name: name, DataCentre: "imlil", Incarnation: 1,
			Fabric: anyPort, Datagram: anyPort, RPC: anyPort, HTTP: anyPort, Admin: anyPort,
		}, InitialHosts: others},
		Platform: env.platformURL, Keys: [][]byte{[]byte(testKey)}, TrafficWorkers: 2, KeyPair: pair,
	})
	if err != nil {
		env.t.Fatal(err)
	}
	return d
}

func (env *testEnv) apply() {
	env.t.Helper()
	s := &objectstore.Client{Base: env.platformURL}
	if _, err := operator.Apply(env.t.Context(), s, env.doc, operator.Change{ID: "first", Author: "test", Reason: "test"}); err != nil {
		env.t.Fatal(err)
	}
}

func (env *testEnv) get(d *daemon.Daemon, path string) (int, string) {
	env.t.Helper()
	res, err := http.Get("http://" + d.Self().Admin.String() + path)
	if err != nil {
		env.t.Fatal(err)
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		env.t.Fatal(err)
	}
	return res.StatusCode, string(b)
}

func (env *testEnv) waitReady(d *daemon.Daemon) {
	env.t.Helper()
	for {
		if status, _ := env.get(d, "/readyz"); status == http.StatusOK {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func TestAdminEndpoints(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	ctx, cancel := context.WithCancel(t.Context())
	d := env.start(ctx)
	status, body := env.get(d, "/readyz")
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(body, "no configuration in force\n")
	env.apply()
	env.waitReady(d)
	status, _ = env.get(d, "/healthz")
	is.Equal(status, http.StatusOK)
	_, body = env.get(d, "/status")
	var st daemon.Status
	is.NoErr(json.Unmarshal([]byte(body), &st))
	is.Equal(st.Head.Author, "test")
	is.Equal(len(st.Targets), 18)
	_, body = env.get(d, "/metrics")
	for _, want := range []string{
		"cornelbay_generation 1", `cornelbay_dropped_packets_total{reason="forged"} 0`,
		`cornelbay_packets_total{verdict="forward"} 0`, "cornelbay_live_hosts 1",
	} {
		is.True(strings.Contains(body, want)) // the metric is exported
	}
	cancel()
	<-d.Done()
}

func TestDroppedPacketsAreCounted(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	ctx, cancel := context.WithCancel(t.Context())
	d := env.start(ctx)
	env.apply()
	env.waitReady(d)
	env.fabric.SetHosts(d.Self().Fabric)
	key := cornelbay.FlowKey{
		Source: netip.MustParseAddrPort("203.0.113.9:40000"), Destination: netip.MustParseAddrPort("192.0.2.10:444"),
		Protocol: cornelbay.TCP.Number(),
	}
	wrongPort, err := standin.Segment(key, cornelbay.Opening, nil)
	is.NoErr(err)
	is.NoErr(env.fabric.Send(wrongPort))
	is.NoErr(env.fabric.Send(wrongPort[:30]))
	for _, want := range []string{"noService", "truncated"} {
		line := fmt.Sprintf("cornelbay_dropped_packets_total{reason=%q} 1\n", want)
		for {
			if _, body := env.get(d, "/metrics"); strings.Contains(body, line) {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	cancel()
	<-d.Done()
}

func TestPlannedStopFinishesRequests(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	arrived, answer := make(chan struct{}), make(chan struct{})
	for _, st := range env.targets {
		st.OnRequest = func(*http.Request) {
			close(arrived)
			<-answer
		}
	}
	d := env.start(context.Background())
	env.apply()
	env.waitReady(d)
	outcome := make(chan string, 1)
	go func() {
		res, err := http.Get("http://" + d.Self().HTTP.String() + "/services/statut/routes/7")
		if err != nil {
			outcome <- err.Error()
			return
		}
		_ = res.Body.Close() // only the header is needed
		outcome <- res.Header.Get(cornelbay.OutcomeHeader)
	}()
	<-arrived
	stopped := make(chan error, 1)
	go func() { stopped <- d.Stop(context.Background()) }()
	for {
		if status, _ := env.get(d, "/readyz"); status == http.StatusServiceUnavailable {
			break
		}
	}
	close(answer)
	is.Equal(<-outcome, "answered")
	is.NoErr(<-stopped)
	_, err := http.Get("http://" + d.Self().HTTP.String() + "/services/statut/routes/7")
	is.True(err != nil) // the address is free
}

func TestAdminRolesOverTLS(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	a, err := peer.NewAuthority(time.Now())
	is.NoErr(err)
	pair := func(name string, role peer.Role) *peer.KeyPair {
		p, err := a.Issue(time.Now(), name, role)
		is.NoErr(err)
		return &p
	}
	ctx, cancel := context.WithCancel(t.Context())
	d := env.startWith(ctx, "imlil-1", pair("imlil-1", peer.RoleHost))
	env.apply()
	for d.Generation() == 0 {
		time.Sleep(10 * time.Millisecond)
	}
	for _, c := range []struct {
		role   peer.Role
		method string
		want   int
	}{
		{peer.RoleReader, http.MethodGet, http.StatusOK},
		{peer.RoleReader, http.MethodPost, http.StatusForbidden},
		{peer.RoleHost, http.MethodPost, http.StatusForbidden},
		{"stranger", http.MethodGet, http.StatusForbidden},
		{peer.RoleChanger, http.MethodPost, http.StatusOK},
	} {
		p := pair("someone", c.role)
		hc := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, TLSClientConfig: &tls.Config{
			Certificates: []tls.Certificate{p.Certificate}, RootCAs: p.Roots, ServerName: "imlil-1",
		}}}
		path := map[string]string{http.MethodGet: "/healthz", http.MethodPost: "/loglevel?level=info"}[c.method]
		r, err := http.NewRequest(c.method, "https://"+d.Self().Admin.String()+path, nil)
		is.NoErr(err)
		res, err := hc.Do(r)
		is.NoErr(err)
		is.NoErr(res.Body.Close())
		is.Equal(res.StatusCode, c.want)
	}
	_, err = http.Get("https://" + d.Self().Admin.String() + "/healthz")
	is.True(err != nil) // no certificate
	cancel()
	<-d.Done()
}

func TestNewHostFetchesConfigFromPeerWhilePlatformIsDown(t *testing.T) {
	for _, secure := range []bool{false, true} {
		t.Run(fmt.Sprintf("tls=%t", secure), func(t *testing.T) {
			is := is.New(t)
			env := newTestEnv(t)
			ctx, cancel := context.WithCancel(t.Context())
			pairs := make(map[cornelbay.HostName]*peer.KeyPair)
			a, err := peer.NewAuthority(time.Now())
			is.NoErr(err)
			for _, name := range []cornelbay.HostName{"imlil-1", "imlil-2"} {
				p, err := a.Issue(time.Now(), string(name), peer.RoleHost)
				is.NoErr(err)
				if secure {
					pairs[name] = &p
				}
			}
			first := env.startWith(ctx, "imlil-1", pairs["imlil-1"])
			env.apply()
			for !first.Ready() {
				time.Sleep(10 * time.Millisecond)
			}
			env.faulty.Set(objectstore.Faults{Down: true})
			second := env.startWith(ctx, "imlil-2", pairs["imlil-2"], first.Self())
			for !second.Ready() {
				time.Sleep(10 * time.Millisecond)
			}
			is.Equal(second.Generation(), uint64(1))
			cancel()
			<-first.Done()
			<-second.Done()
		})
	}
}
