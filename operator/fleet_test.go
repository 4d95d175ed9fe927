package operator

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/config"
)

// fakeHost serves the status of one host.
type fakeHost struct {
	status     HostStatus
	generation atomic.Uint64
	stopped    atomic.Bool
	server     *httptest.Server
}

func newFakeHost(t *testing.T, name cornelbay.HostName, generation uint64) *fakeHost {
	h := &fakeHost{}
	h.generation.Store(generation)
	h.server = httptest.NewServer(h)
	t.Cleanup(h.server.Close)
	h.status.Host = cornelbay.Host{
		Name: name, DataCentre: "imlil", Admin: netip.MustParseAddrPort(h.server.Listener.Addr().String()),
	}
	h.status.Ready = true
	return h
}

func (h *fakeHost) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/stop" {
		h.stopped.Store(r.Method == http.MethodPost)
		return
	}
	s := h.status
	s.Head = config.Head{Generation: h.generation.Load()}
	_ = json.NewEncoder(w).Encode(s) // on an error the client sees a truncated response
}

// fakeFleet returns three hosts that list each other as live, and a Fleet that starts
// from the first one.
func fakeFleet(t *testing.T) ([]*fakeHost, *Fleet) {
	hosts := []*fakeHost{newFakeHost(t, "a", 7), newFakeHost(t, "b", 7), newFakeHost(t, "c", 6)}
	for _, h := range hosts {
		for _, o := range hosts {
			h.status.Live = append(h.status.Live, o.status.Host)
		}
	}
	return hosts, &Fleet{Hosts: []netip.AddrPort{hosts[0].status.Host.Admin}}
}

func TestSurveyReportsLaggingHosts(t *testing.T) {
	is := is.New(t)
	hosts, f := fakeFleet(t)
	r, answers := f.Survey(t.Context(), 0)
	is.Equal(len(answers), 3)
	is.Equal(r.Lagging, []cornelbay.HostName{"c"})
	is.True(!r.Everywhere)
	hosts[2].generation.Store(7)
	r, _ = f.Survey(t.Context(), 7)
	is.True(r.Everywhere)
	r, _ = f.Survey(t.Context(), 8)
	is.Equal(len(r.Lagging), 3) // the committed generation is not in force anywhere yet

	hosts[1].server.Close()
	hosts[0].status.Live = hosts[0].status.Live[:1]
	hosts[0].status.Missing = []cornelbay.Host{hosts[1].status.Host}
	r, _ = f.Survey(t.Context(), 7)
	is.Equal(r.Lagging, []cornelbay.HostName{"b"}) // missing in the member list, and does not answer
	is.True(strings.Contains(r.Hosts[1].Error, "host does not answer"))
}

func TestWaitReportsLaggingHosts(t *testing.T) {
	is := is.New(t)
	hosts, f := fakeFleet(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := f.Wait(ctx, 7)
	is.True(errors.Is(err, ErrNotEverywhere))
	is.True(strings.Contains(err.Error(), "generation 7 lacks at c"))
	time.AfterFunc(time.Millisecond, func() { hosts[2].generation.Store(7) })
	r, err := f.Wait(t.Context(), 7)
	is.NoErr(err)
	is.True(r.Everywhere)
	_, err = (&Fleet{}).Wait(ctx, 7)
	is.True(errors.Is(err, ErrNotEverywhere)) // not in force everywhere if no host was found
}

func TestStopNamedHost(t *testing.T) {
	is := is.New(t)
	hosts, f := fakeFleet(t)
	h, err := f.Find(t.Context(), "b")
	is.NoErr(err)
	is.NoErr(f.Stop(t.Context(), h.Admin))
	is.True(hosts[1].stopped.Load())
	is.True(!hosts[0].stopped.Load())
	_, err = f.Find(t.Context(), "z")
	is.True(errors.Is(err, ErrHost))
}

func TestTargetReports(t *testing.T) {
	is := is.New(t)
	doc := agence(t)
	doc.DataCentres[3].Out = true
	doc.Services[0].Targets[1].Drain = true
	state := func(phase cornelbay.TargetPhase, permille uint16) HostStatus {
		return HostStatus{Targets: []cornelbay.TargetState{{Target: "statut-1", Phase: phase, Permille: permille}}}
	}
	r := TargetReports(doc, []HostStatus{state(cornelbay.Warm, 1000), state(cornelbay.Warming, 300)})
	is.Equal(r[0], TargetReport{
		Service: "statut", Target: "statut-1", DataCentre: "imlil", State: "warming", Permille: 300, Disagree: true,
	})
	is.Equal(r[1].State, "draining")
	is.Equal(r[2].State, "unknown")
	is.Equal(r[3].State, "out")
}
