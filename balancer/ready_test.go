package balancer

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cornelbay/cornelbay/platform"
	"github.com/cornelbay/cornelbay/readiness"
)

// readyAnswer asks host n whether it is ready.
func (w *testEnv) readyAnswer(n int) readyAnswer {
	res, err := http.Get("http://" + w.hosts[n].settings.Load().Ready.String() + platform.ReadyPath)
	w.is.NoErr(err)
	var a readyAnswer
	w.is.NoErr(json.NewDecoder(res.Body).Decode(&a))
	w.is.NoErr(res.Body.Close())
	w.is.Equal(a.Ready, res.StatusCode == http.StatusOK)
	return a
}

// router sends the packets of callers of data centre a to host 1, or to host 2 while host 1 is out
// of rotation after two failed checks, as routers do.
type router struct {
	w      *testEnv
	misses atomic.Int32
}

func (r *router) check(until <-chan struct{}) {
	for {
		select {
		case <-until:
			return
		case <-time.After(500 * time.Millisecond):
		}
		if r.w.readyAnswer(1).Ready {
			r.misses.Store(0)
		} else {
			r.misses.Add(1)
		}
	}
}

func (r *router) route() (netip.AddrPort, bool) {
	if r.misses.Load() < 2 {
		return r.w.at(1), true
	}
	return r.w.at(2), true
}

// TestCallersAreServedByAnotherDataCentre plays callers of a data centre whose only host is cut off
// from the targets. Once routers have had time to follow, each gets its answer; open flows keep
// their target.
func TestCallersAreServedByAnotherDataCentre(t *testing.T) {
	w := newTestEnv(t, 132)
	tg := w.target(1, "s1", "b")
	w.host(1, "a")
	w.host(2, "b")
	time.Sleep(3 * time.Second) // host 1 has heard for a while that the other data centre can serve
	r := &router{w: w}
	done := make(chan struct{})
	go r.check(done)
	defer close(done)
	open, _, err := w.open(1, service1)
	w.is.NoErr(err)

	cut := w.address(1, 1)
	tg.CutFrom.Store(&cut)
	cutAt := time.Now()
	late := 0
	for time.Since(cutAt) < 5*time.Second {
		began := time.Since(cutAt)
		_, err := w.caller().OpenVia(w.t.Context(), r.route, service1)
		if err != nil && began > 3*time.Second {
			late++
		}
		time.Sleep(50 * time.Millisecond)
	}
	w.is.Equal(late, 0)
	at, _ := r.route()
	w.is.Equal(at, w.at(2))
	_, err = open.Ask(w.t.Context(), at, answerTime)
	w.is.NoErr(err)
}

// TestCutOffHostLeavesRotation guards against callers that are kept at a data centre without
// targets that can't reach those of the others, while other hosts could serve them. A host that
// has left the rotation still forwards what it gets.
func TestCutOffHostLeavesRotation(t *testing.T) {
	w := newTestEnv(t, 131)
	tg := w.target(1, "s1", "b")
	w.host(1, "a")
	w.host(2, "b")
	f, _, err := w.open(1, service1)
	w.is.NoErr(err)
	w.is.Equal(w.readyAnswer(1), readyAnswer{true, readiness.Serving})

	tg.Silent.Store(true)
	w.is.NoErr(w.hosts[2].close())
	c := w.caller()
	w.eventually("host 1 has left the rotation", func() bool {
		go func() { _, _ = c.Open(w.t.Context(), w.at(1), service1) }() // nothing answers
		time.Sleep(20 * time.Millisecond)
		return w.readyAnswer(1) == readyAnswer{false, readiness.NoTargets}
	})

	tg.Silent.Store(false)
	_, err = f.Ask(w.t.Context(), w.at(1), answerTime)
	w.is.NoErr(err)
	w.host(2, "b")
	w.eventually("host 1 is back", func() bool { return w.readyAnswer(1).Ready })
	_, _, err = w.open(1, service1)
	w.is.NoErr(err)
}
