package peer

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelbay/cornelbay"
)

type echoArgs struct{ Text string }

func (echoArgs) Method() string { return "echo" }

type echoReply struct{ From, Text string }

func init() { RegisterCall[echoArgs, echoReply]() }

var errTest = errors.New("handler failed")

func echo(from cornelbay.HostName, a Args) (any, error) {
	e := a.(echoArgs)
	if e.Text == "fail" {
		return nil, errTest
	}
	return echoReply{string(from), e.Text}, nil
}

func serve(t *testing.T, c *Credentials) (*Server, cornelbay.Host) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{Credentials: c}
	done := make(chan error, 1)
	go func() { done <- s.Serve(l, echo) }()
	t.Cleanup(func() {
		_ = l.Close()
		_ = s.Close()
		<-done
	})
	return s, cornelbay.Host{Name: "b", RPC: l.Addr().(*net.TCPAddr).AddrPort()}
}

func credentials(t *testing.T, a *Authority, name string, r Role) *Credentials {
	t.Helper()
	p, err := a.Issue(time.Now(), name, r)
	if err != nil {
		t.Fatal(err)
	}
	c := new(Credentials)
	c.Set(p)
	return c
}

func TestCallPlain(t *testing.T) {
	is := is.New(t)
	_, b := serve(t, nil)
	c := &Client{Self: "a"}
	defer c.Close()
	r, err := c.Call(t.Context(), b, echoArgs{"hello"})
	is.NoErr(err)
	is.Equal(r, echoReply{"a", "hello"})
	_, err = c.Call(t.Context(), b, echoArgs{"fail"})
	is.True(errors.Is(err, ErrRefused))
	_, err = c.Call(t.Context(), b, echoArgs{string(make([]byte, MaxCallBytes))})
	is.True(err != nil) // a frame that exceeds the limit is not sent
	_, err = c.Call(t.Context(), cornelbay.Host{RPC: netip.MustParseAddrPort("127.0.0.1:1")}, echoArgs{})
	is.True(errors.Is(err, ErrNotSent)) // nothing listens at this address
}

func TestCallTLS(t *testing.T) {
	is := is.New(t)
	a, err := NewAuthority(time.Now())
	is.NoErr(err)
	other, err := NewAuthority(time.Now())
	is.NoErr(err)
	server := credentials(t, a, "b", RoleHost)
	_, b := serve(t, server)
	tests := []struct {
		name   string
		client *Credentials
		to     cornelbay.HostName
		ok     bool
	}{
		{"host", credentials(t, a, "a", RoleHost), "b", true},
		{"host known by its address only", credentials(t, a, "a", RoleHost), "", true},
		{"another host's name", credentials(t, a, "a", RoleHost), "c", false},
		{"operator", credentials(t, a, "reader", RoleReader), "b", false},
		{"another authority", credentials(t, other, "a", RoleHost), "b", false},
		{"no certificate", new(Credentials), "b", false},
	}
	for _, tt := range tests {
		c := &Client{Self: "z", Credentials: tt.client}
		r, err := c.Call(t.Context(), cornelbay.Host{Name: tt.to, RPC: b.RPC}, echoArgs{"x"})
		is.Equal(err == nil, tt.ok) // tt.name
		if tt.ok {
			is.Equal(r, echoReply{"a", "x"}) // the certificate names the sender
		}
		is.NoErr(c.Close())
	}
}

func TestCredentialRotationWithoutRestart(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	older, err := NewAuthority(now)
	is.NoErr(err)
	newer, err := NewAuthority(now)
	is.NoErr(err)
	server := credentials(t, older, "b", RoleHost)
	_, b := serve(t, server)
	p, err := older.Issue(now, "b", RoleHost)
	is.NoErr(err)
	p.Roots.AddCert(newer.Certificate)
	server.Set(p) // both authorities are trusted during the rotation
	pair, err := newer.Issue(now, "a", RoleHost)
	is.NoErr(err)
	pair.Roots.AddCert(older.Certificate)
	client := new(Credentials)
	client.Set(pair)
	c := &Client{Self: "a", Credentials: client}
	defer c.Close()
	_, err = c.Call(t.Context(), b, echoArgs{"x"})
	is.NoErr(err)
}

// startProxy starts a TCP proxy. Each call of blackhole makes it discard all further
// data of the connections that are open at that time.
func startProxy(t *testing.T, to netip.AddrPort) (at netip.AddrPort, blackhole func(), connections *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	var blackholes, accepted atomic.Int64
	pass := func(in, out net.Conn, blackholesAtAccept int64) {
		b := make([]byte, 4096)
		for {
			n, err := in.Read(b)
			if err != nil {
				_ = out.Close()
				return
			}
			if blackholes.Load() == blackholesAtAccept {
				_, _ = out.Write(b[:n])
			}
		}
	}
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", to.String())
			if err != nil {
				_ = in.Close()
				continue
			}
			accepted.Add(1)
			blackholesAtAccept := blackholes.Load()
			go pass(in, out, blackholesAtAccept)
			go pass(out, in, blackholesAtAccept)
		}
	}()
	return l.Addr().(*net.TCPAddr).AddrPort(), func() { blackholes.Add(1) }, &accepted
}

func TestSilentConnectionIsReplaced(t *testing.T) {
	is := is.New(t)
	_, b := serve(t, nil)
	at, blackhole, accepted := startProxy(t, b.RPC)
	b.RPC = at
	c := &Client{Self: "a"}
	defer c.Close()
	_, err := c.Call(t.Context(), b, echoArgs{"1"})
	is.NoErr(err)
	blackhole()
	c.mu.Lock()
	c.conns[at].lastReceived.Store(int64(time.Since(clockOrigin) - time.Minute)) // as if the connection had been idle
	c.mu.Unlock()
	_, err = c.Call(t.Context(), b, echoArgs{"2"})
	is.NoErr(err)
	is.Equal(accepted.Load(), int64(2))
	blackhole()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	c.mu.Lock()
	c.conns[at].lastReceived.Store(int64(time.Since(clockOrigin) + time.Second)) // as if a frame had just been received
	c.mu.Unlock()
	_, err = c.Call(ctx, b, echoArgs{"3"}) // it may have been received, so it is not sent again
	is.True(errors.Is(err, ErrNoAnswer))
	_, err = c.Call(ctx, b, echoArgs{"4"})
	is.NoErr(err)
}

func TestKeySet(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	is.NoErr(WriteKeySet(dir, time.Now(), []cornelbay.HostName{"a", "b"}))
	tests := []struct {
		name string
		role Role
	}{{"a", RoleHost}, {"b", RoleHost}, {"reader", RoleReader}, {"changer", RoleChanger}}
	for _, tt := range tests {
		p, err := LoadKeyPair(dir, tt.name)
		is.NoErr(err)
		is.Equal(RoleOf(p.Certificate.Leaf), tt.role)
	}
	is.Equal(RoleOf(nil), Role(""))
}

// TestIdleConnectionsAreClosed guards against connections that stay open to all hosts that
// were ever called. A call after that opens a new one.
func TestIdleConnectionsAreClosed(t *testing.T) {
	is := is.New(t)
	s, b := serve(t, nil)
	c := &Client{Self: "a"}
	defer c.Close()
	_, err := c.Call(t.Context(), b, echoArgs{"hello"})
	is.NoErr(err)
	c.CloseIdle(time.Minute)
	is.Equal(s.Connections(), 1)
	time.Sleep(2 * time.Millisecond)
	c.CloseIdle(time.Millisecond)
	for i := 0; s.Connections() > 0 && i < 3000; i++ {
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(s.Connections(), 0)
	_, err = c.Call(t.Context(), b, echoArgs{"again"})
	is.NoErr(err)
}
