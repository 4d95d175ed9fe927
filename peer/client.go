package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cornelbay/cornelbay"
)

// Timeouts of a connection and its liveness check.
const (
	// pingAfter is how long a connection may receive nothing before it is checked
	// with a ping.
	pingAfter   = 250 * time.Millisecond
	pingTimeout = 500 * time.Millisecond
	dialTimeout = time.Second
)

// Client calls other hosts over one connection per host. It is safe for concurrent
// use.
type Client struct {
	Self cornelbay.HostName
	// Credentials authenticate both ends with certificates. If it is nil, connections
	// use plain TCP.
	Credentials *Credentials

	mu    sync.Mutex
	conns map[netip.AddrPort]*conn
}

type conn struct {
	*rpc.Client
	// lastReceived is the time of the last received frame in nanoseconds since
	// clockOrigin.
	lastReceived atomic.Int64
}

// clockOrigin is the origin of monotonic timestamps. The wall clock is not used since
// it may jump.
var clockOrigin = time.Now()

// sinceReceived returns the time since the last received frame.
func (c *conn) sinceReceived() time.Duration {
	return time.Since(clockOrigin) - time.Duration(c.lastReceived.Load())
}

// Call sends args to a host and returns its typed reply. The call is sent at most once:
// an idle connection is checked with a ping before it is used, and replaced if the host
// does not answer. ErrNotSent means that the host has not received the call. If to.Name
// is empty, any host that the credentials authenticate is accepted.
func (c *Client) Call(ctx context.Context, to cornelbay.Host, args Args) (any, error) {
	f, err := encodeArgs(c.Self, args)
	if err != nil {
		return nil, merry.Wrap(ErrNotSent, merry.WithCause(err))
	}
	cn, err := c.connection(ctx, to)
	if err != nil {
		return nil, merry.Wrap(ErrNotSent, merry.WithCause(err))
	}
	var reply Frame
	call := cn.Go(callMethod, f, &reply, make(chan *rpc.Call, 1))
	if err := c.wait(ctx, to, cn, call); err != nil {
		return nil, err
	}
	return decode(reply.Body, methods[args.Method()].reply)
}

// wait returns when the call is answered, ctx ends, or the connection receives nothing
// for pingAfter and a ping fails.
func (c *Client) wait(ctx context.Context, to cornelbay.Host, cn *conn, call *rpc.Call) error {
	check := time.NewTicker(pingAfter)
	defer check.Stop()
	for {
		select {
		case <-call.Done:
			return c.callError(to, cn, call.Error)
		case <-ctx.Done():
			return merry.Wrap(ErrNoAnswer, merry.WithCause(ctx.Err()))
		case <-check.C:
			if cn.sinceReceived() < pingAfter {
				continue
			}
			if err := cn.ping(ctx); err != nil && !completed(call) {
				c.closeConn(to, cn)
				return merry.Wrap(ErrNoAnswer, merry.WithCause(err))
			}
		}
	}
}

func completed(call *rpc.Call) bool { return len(call.Done) > 0 }

func (c *Client) callError(to cornelbay.Host, cn *conn, err error) error {
	if err == nil {
		return nil
	}
	var remote rpc.ServerError
	if errors.As(err, &remote) {
		return merry.Wrap(ErrRefused, merry.WithCause(err))
	}
	c.closeConn(to, cn)
	if errors.Is(err, rpc.ErrShutdown) {
		return merry.Wrap(ErrNoAnswer, merry.WithCause(err))
	}
	// write returns ErrTooLarge before it sends anything. read also returns it, but only
	// for a frame of more than MaxCallBytes, which write never sends.
	if errors.Is(err, ErrTooLarge) {
		return merry.Wrap(ErrNotSent, merry.WithCause(err))
	}
	return merry.Wrap(ErrNoAnswer, merry.WithCause(err))
}

func (cn *conn) ping(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	var reply Frame
	call := cn.Go(pingMethod, Frame{}, &reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return call.Error
	case <-ctx.Done():
		return merry.Prepend(ctx.Err(), "ping")
	}
}

// connection returns a connection that is known to work: one that received a frame
// within pingAfter, answered a ping, or was just opened.
func (c *Client) connection(ctx context.Context, to cornelbay.Host) (*conn, error) {
	c.mu.Lock()
	cn, ok := c.conns[to.RPC]
	c.mu.Unlock()
	if ok && (cn.sinceReceived() < pingAfter || cn.ping(ctx) == nil) {
		return cn, nil
	}
	if ok {
		c.closeConn(to, cn)
	}
	cn, err := c.dial(ctx, to)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if other, ok := c.conns[to.RPC]; ok {
		_ = cn.Close() // a concurrent call has opened one already
		return other, nil
	}
	if c.conns == nil {
		c.conns = make(map[netip.AddrPort]*conn)
	}
	c.conns[to.RPC] = cn
	return cn, nil
}

func (c *Client) dial(ctx context.Context, to cornelbay.Host) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", to.RPC.String())
	if err != nil {
		return nil, merry.Prepend(err, "dial")
	}
	if c.Credentials != nil {
		t := tls.Client(nc, c.Credentials.ClientConfig(to.Name))
		if err := t.HandshakeContext(ctx); err != nil {
			_ = nc.Close() // the handshake error is the one to report
			return nil, merry.Prepend(err, "handshake")
		}
		nc = t
	}
	cn := &conn{}
	onReceive := func() { cn.lastReceived.Store(int64(time.Since(clockOrigin))) }
	onReceive()
	cn.Client = rpc.NewClientWithCodec(clientCodec{newFrameConn(nc), onReceive})
	return cn, nil
}

// closeConn closes a connection and removes it, unless it was replaced already.
func (c *Client) closeConn(to cornelbay.Host, cn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[to.RPC] == cn {
		delete(c.conns, to.RPC)
	}
	_ = cn.Close() // its calls return ErrNoAnswer
}

// Close closes all connections.
func (c *Client) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for at, cn := range c.conns {
		_ = cn.Close() // its calls return ErrNoAnswer
		delete(c.conns, at)
	}
	return nil
}

// CloseIdle closes the connections that have received nothing for a time.
func (c *Client) CloseIdle(idle time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for at, cn := range c.conns {
		if cn.sinceReceived() > idle {
			_ = cn.Close() // its calls return ErrNoAnswer
			delete(c.conns, at)
		}
	}
}
