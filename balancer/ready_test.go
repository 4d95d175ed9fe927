package balancer

import (
	"encoding/json"
	"net/http"
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
