package caller_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/caller"
	"github.com/cornelbay/cornelbay/request"
	"github.com/cornelbay/cornelbay/ticket"
)

// host is an entry host with one target; runs counts the runs by path.
type host struct {
	d    request.Dispatcher
	mu   sync.Mutex
	runs map[string]int
	// fail may return a result other than a response for an attempt; if nil, all
	// attempts are answered.
	fail func(a request.Attempt) (request.AttemptResult, bool)
}

func newHost() *host {
	h := &host{runs: make(map[string]int)}
	h.d.Self, h.d.Incarnation, h.d.Keys = "a", 1, ticket.Keys{[]byte("key")}
	h.d.SetServices(time.Now(), []cornelbay.Service{{
		Name: "statut", Targets: []cornelbay.Target{{Name: "statut-1"}},
	}}, nil)
	return h
}

// do submits a request and carries out the resulting effects.
func (h *host) do(_ context.Context, v any) (any, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	effects := h.d.Submit(time.Now(), v.(request.Request))
	for len(effects) > 0 {
		e := effects[0]
		effects = effects[1:]
		switch e := e.(type) {
		case request.Attempt:
			effects = append(effects, h.d.AttemptEnded(time.Now(), h.attempt(e))...)
		case request.Finish:
			return e.Response, nil
		}
	}
	return nil, errors.New("no answer")
}

func (h *host) attempt(a request.Attempt) request.AttemptResult {
	if h.fail != nil {
		if res, ok := h.fail(a); ok {
			return res
		}
	}
	h.runs[a.Request.Path]++
	body := fmt.Sprintf("%s %s", a.Request.Path, a.Request.Body)
	return request.AttemptResult{
		ID: a.ID, Complete: true, Response: request.Response{Status: http.StatusOK, Body: []byte(strings.TrimSpace(body))},
	}
}

func Example() {
	s := httptest.NewServer(caller.NewServer(newHost().do))
	defer s.Close()
	c := caller.Client{Hosts: []string{s.URL}}

	a, err := c.Do(context.Background(), caller.Call{Service: "statut", Method: http.MethodGet, Path: "/routes/7"})
	fmt.Println(a.Outcome, a.Status, string(a.Body), err)

	// POST is not idempotent: the client fetches a ticket and sends it along.
	a, err = c.Do(context.Background(), caller.Call{
		Service: "statut", Method: http.MethodPost, Path: "/closures", Body: []byte("rockfall"),
	})
	fmt.Println(a.Outcome, a.Status, string(a.Body), err)
	// Output:
	// answered 200 /routes/7 <nil>
	// answered 200 /closures rockfall <nil>
}

func ExampleNewServer() {
	s := httptest.NewServer(caller.NewServer(newHost().do))
	defer s.Close()
	res, err := http.Post(s.URL+"/services/statut/closures", "text/plain", strings.NewReader("rockfall"))
	if err != nil {
		fmt.Println(err)
		return
	}
	defer res.Body.Close()
	fmt.Println(res.StatusCode, res.Header.Get(cornelbay.OutcomeHeader), res.Header.Get(request.ReasonHeader))
	// Output: 428 notRun noTicket
}

// lossy drops the first POST responses of a handler after it has run.
type lossy struct {
	http.Handler
	mu   sync.Mutex
	drop int
}

func (l *lossy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	drop := r.Method == http.MethodPost && l.drop > 0
	if drop {
		l.drop--
	}
	l.mu.Unlock()
	if !drop {
		l.Handler.ServeHTTP(w, r)
		return
	}
	l.Handler.ServeHTTP(httptest.NewRecorder(), r)
	panic(http.ErrAbortHandler)
}

func TestResendAfterLostResponseDoesNotRunAgain(t *testing.T) {
	is := is.New(t)
	h := newHost()
	s := httptest.NewServer(&lossy{Handler: caller.NewServer(h.do), drop: 2})
	defer s.Close()
	c := caller.Client{Hosts: []string{s.URL}}
	a, err := c.Do(t.Context(), caller.Call{Service: "statut", Method: http.MethodPost, Path: "/closures"})
	is.NoErr(err)
	is.Equal(a.Sends, 3)
	is.Equal(h.runs["/closures"], 1)
}

func TestClientReportsOutcome(t *testing.T) {
	tests := []struct {
		name    string
		method  string
		result  request.AttemptResult
		fails   int
		outcome cornelbay.Outcome
		err     error
	}{
		{"lost GET", http.MethodGet, request.AttemptResult{}, 1, cornelbay.Answered, nil},
		{"lost POST", http.MethodPost, request.AttemptResult{}, 1, cornelbay.Unknown, caller.ErrUnknown},
		{"refused POST", http.MethodPost, request.AttemptResult{Proof: request.Refused}, 1, cornelbay.Answered, nil},
		{"always refused POST", http.MethodPost, request.AttemptResult{Proof: request.NeverSent}, 100, cornelbay.NotRun, caller.ErrNotRun},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := newHost()
			n := 0
			h.fail = func(a request.Attempt) (request.AttemptResult, bool) {
				n++
				res := tt.result
				res.ID = a.ID
				return res, n <= tt.fails
			}
			s := httptest.NewServer(caller.NewServer(h.do))
			defer s.Close()
			c := caller.Client{Hosts: []string{s.URL}}
			a, err := c.Do(t.Context(), caller.Call{Service: "statut", Method: tt.method, Path: "/x"})
			is.Equal(a.Outcome, tt.outcome)
			is.True(errors.Is(err, tt.err))
		})
	}
}

func TestServerRejectsInvalidRequests(t *testing.T) {
	tests := []struct {
		path, ticket, body string
		status             int
		outcome            string
	}{
		{"/services/statut/x", "", strings.Repeat("x", request.MaxBodyBytes+1), http.StatusRequestEntityTooLarge, "notRun"},
		{"/services/statut/x", "abc", strings.Repeat("x", request.MaxBodyBytes+1), http.StatusRequestEntityTooLarge, "unknown"},
		{"/elsewhere", "", "", http.StatusNotFound, "notRun"},
		{"/services/statut/x", "%", "", http.StatusBadRequest, "notRun"},
		{"/services/none/x", "", "", http.StatusPreconditionRequired, "notRun"},
		{"/tickets?service=statut&count=99", "", "", http.StatusBadRequest, "notRun"},
	}
	s := httptest.NewServer(caller.NewServer(newHost().do))
	defer s.Close()
	for _, tt := range tests {
		is := is.New(t)
		r, err := http.NewRequest(http.MethodPost, s.URL+tt.path, strings.NewReader(tt.body))
		is.NoErr(err)
		if tt.ticket != "" {
			r.Header.Set(request.TicketHeader, tt.ticket)
		}
		res, err := http.DefaultClient.Do(r)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, res.Body)
		is.NoErr(err)
		is.NoErr(res.Body.Close())
		is.Equal(res.StatusCode, tt.status)
		is.Equal(res.Header.Get(cornelbay.OutcomeHeader), tt.outcome)
	}
}
