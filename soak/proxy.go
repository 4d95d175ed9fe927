package soak

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
)

// proxy passes the connections of one host on to the store and can let those
// that are open go silent for good.
type proxy struct {
	to netip.AddrPort
	l  net.Listener

	mu    sync.Mutex
	conns []*silenced
	// cut is true while new connections are silent as well.
	cut atomic.Bool
}

// silenced is one connection that may pass nothing on.
type silenced struct {
	net.Conn
	silent atomic.Bool
}

// Write drops the bytes of a silent connection.
func (c *silenced) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func newProxy(to netip.AddrPort) (*proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, merry.Prepend(err, "proxy")
	}
	p := &proxy{to: to, l: l}
	go p.serve()
	return p, nil
}

// Address returns where the proxy listens.
func (p *proxy) Address() string { return p.l.Addr().String() }

// Close ends the proxy and its connections.
func (p *proxy) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.Close() // may have ended
	}
	return p.l.Close()
}

// silence lets all open connections go silent for good, in both directions.
func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.silent.Store(true)
	}
}

func (p *proxy) serve() {
	for {
		in, err := p.l.Accept()
		if err != nil {
			return // closed
		}
		go p.pass(in)
	}
}

const dialTimeout = time.Second

func (p *proxy) pass(in net.Conn) {
	out, err := net.DialTimeout("tcp4", p.to.String(), dialTimeout)
	if err != nil {
		_ = in.Close() // the host sees a reset or an end, as without the proxy
		return
	}
	a, b := &silenced{Conn: in}, &silenced{Conn: out}
	a.silent.Store(p.cut.Load())
	b.silent.Store(p.cut.Load())
	p.mu.Lock()
	p.conns = append(p.conns, a, b)
	p.mu.Unlock()
	go func() {
		_, _ = io.Copy(a, b) // ends with either connection
		_ = in.Close()
	}()
	_, _ = io.Copy(b, a)
	_ = out.Close()
}
