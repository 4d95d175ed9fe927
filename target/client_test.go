package target

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelbay/cornelbay/request"
)

func attempt(t *testing.T, l net.Addr, method string) request.Attempt {
	t.Helper()
	return request.Attempt{
		ID: 7, Target: "t", Address: netip.MustParseAddrPort(l.String()), Deadline: time.Now().Add(time.Minute),
		Request: request.Request{Method: method, Path: "/x", Body: []byte("body"), Header: http.Header{
			"Connection": {"X-Hop"}, "X-Hop": {"1"}, "Idempotency-Key": {"k"}, "X-Kept": {"1"},
		}},
	}
}

// serveRaw answers every connection with the given bytes and closes it. It returns
// the address and the number of connections.
func serveRaw(t *testing.T, answer string) (net.Addr, *atomic.Int32) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	var n atomic.Int32
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n.Add(1)
			b := make([]byte, 4096)
			if _, err := c.Read(b); err == nil {
				_, _ = io.WriteString(c, answer)
			}
			_ = c.Close()
		}
	}()
	return l.Addr(), &n
}

func digestOf(s string) string {
	sum := sha256.Sum256([]byte(s))
	return "sha-256=:" + base64.StdEncoding.EncodeToString(sum[:]) + ":"
}

func TestOnlyCompleteResponsesOfTheAttemptPass(t *testing.T) {
	tests := []struct {
		name, answer string
		complete     bool
		proof        request.Proof
	}{
		{"whole", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true, request.NoProof},
		{"digest", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Digest: " + digestOf("ok") + "\r\n\r\nok", true, request.NoProof},
		{"other digest", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Digest: " + digestOf("no") + "\r\n\r\nok", false, request.NoProof},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", true, request.NoProof},
		{"cut chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", false, request.NoProof},
		{"cut body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", false, request.NoProof},
		{"no length", "HTTP/1.1 200 OK\r\n\r\nok", false, request.NoProof},
		{"foreign", "HTTP/1.1 200 OK\r\nCornelbay-Attempt: 8\r\nContent-Length: 2\r\n\r\nok", false, request.NoProof},
		{"own", "HTTP/1.1 200 OK\r\nCornelbay-Attempt: 7\r\nContent-Length: 2\r\n\r\nok", true, request.NoProof},
		{"refused", "HTTP/1.1 503 No\r\nCornelbay-Refused: 1\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n", false, request.Refused},
		{"plain 503", "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", true, request.NoProof},
		{"foreign refusal", "HTTP/1.1 503 No\r\nCornelbay-Attempt: 8\r\nCornelbay-Refused: 1\r\nContent-Length: 0\r\n\r\n", false, request.NoProof},
		{"broken", "", false, request.NoProof},
	}
	for _, tt := range tests {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(tt.name+method, func(t *testing.T) {
				is := is.New(t)
				at, connections := serveRaw(t, tt.answer)
				var c Client
				defer c.Close()
				res := c.Do(t.Context(), attempt(t, at, method))
				is.Equal(res.Complete, tt.complete)
				is.Equal(res.Proof, tt.proof)
				is.Equal(connections.Load(), int32(1)) // the request was sent only once
			})
		}
	}
}

func TestUnsentRequestIsReportedAsNeverSent(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(l.Close())
	var c Client
	defer c.Close()
	is.Equal(c.Do(t.Context(), attempt(t, l.Addr(), http.MethodPost)).Proof, request.NeverSent)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	at, _ := serveRaw(t, "")
	is.Equal(c.Do(ctx, attempt(t, at, http.MethodPost)).Proof, request.NeverSent)
}

func TestHopByHopHeadersAreRemoved(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, r.Header.Get("X-Hop"), r.Header.Get("Idempotency-Key"), r.Header.Get("X-Kept"), r.Header.Get(request.AttemptHeader))
	}))
	defer s.Close()
	var c Client
	defer c.Close()
	res := c.Do(t.Context(), attempt(t, s.Listener.Addr(), http.MethodPost))
	is.True(res.Complete)
	is.Equal(string(res.Response.Body), "17")

	at, _ := serveRaw(t, "HTTP/1.1 200 OK\r\nConnection: X-Back\r\nX-Back: 1\r\nX-Kept: 1\r\nContent-Length: 2\r\n\r\nok")
	res = c.Do(t.Context(), attempt(t, at, http.MethodGet))
	is.True(res.Complete)
	is.Equal(res.Response.Header.Get("X-Back"), "")
	is.Equal(res.Response.Header.Get("X-Kept"), "1")
}

// TestSilentConnectionIsReplaced guards against a connection whose state a
// middlebox has dropped being taken for a fault of the target. The target does
// not respond on a connection after its first response.
func TestSilentConnectionIsReplaced(t *testing.T) {
	is := is.New(t)
	var connections atomic.Int32
	var first sync.Map
	release := make(chan struct{})
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, again := first.LoadOrStore(r.RemoteAddr, true); again {
			<-release
			return
		}
		_, _ = io.Copy(w, strings.NewReader("ok"))
	}))
	s.Config.ConnState = func(_ net.Conn, st http.ConnState) {
		if st == http.StateNew {
			connections.Add(1)
		}
	}
	s.Start()
	defer s.Close()
	defer close(release)
	var c Client
	defer c.Close()
	is.True(c.Do(t.Context(), attempt(t, s.Listener.Addr(), http.MethodGet)).Complete)
	res := c.Do(t.Context(), attempt(t, s.Listener.Addr(), http.MethodGet))
	is.True(res.Complete && res.Silent) // the connection failed, not the target
	is.Equal(connections.Load(), int32(2))
}
