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

// The times of a connection's liveness check.
const (
	// pingAfter is the silence after which a connection is checked.
	pingAfter   = 250 * time.Millisecond
	pingTimeout = 500 * time.Millisecond
	dialTimeout = time.Second
)

// Client calls other hosts over one connection to each; it may be used by many
// goroutines.
type Client struct {
	Self cornelbay.HostName
	// Credentials authenticate both ends by certificates; nil is plain TCP.
	Credentials *Credentials

	mu    sync.Mutex
	conns map[netip.AddrPort]*conn
}

type conn struct {
	*rpc.Client
	// heard is the time of the last frame in nanoseconds since begin.
	heard atomic.Int64
}

// begin is where steady time is counted from: the time of day may jump.
var begin = time.Now()

func (c *conn) silentFor() time.Duration {
	return time.Since(begin) - time.Duration(c.heard.Load())
}

// Call sends args to a host and returns its typed reply. The call is sent at
// most once: a connection that has been silent is checked first and replaced
// when it does not answer. ErrNotSent proves that the host did not take it. An
// empty to.Name accepts any host that the credentials vouch for.
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

// wait returns when the call is answered, ctx ends, or the connection is silent.
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
			if cn.silentFor() < pingAfter {
				continue
			}
			if err := cn.ping(ctx); err != nil && !answered(call) {
				c.drop(to, cn)
				return merry.Wrap(ErrNoAnswer, merry.WithCause(err))
			}
		}
	}
}

func answered(call *rpc.Call) bool { return len(call.Done) > 0 }

func (c *Client) callError(to cornelbay.Host, cn *conn, err error) error {
	if err == nil {
		return nil
	}
	var remote rpc.ServerError
	if errors.As(err, &remote) {
		return merry.Wrap(ErrRefused, merry.WithCause(err))
	}
	c.drop(to, cn)
	if errors.Is(err, rpc.ErrShutdown) {
		return merry.Wrap(ErrNoAnswer, merry.WithCause(err))
	}
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

// connection returns a connection that has just been heard.
func (c *Client) connection(ctx context.Context, to cornelbay.Host) (*conn, error) {
	c.mu.Lock()
	cn, ok := c.conns[to.RPC]
	c.mu.Unlock()
	if ok && (cn.silentFor() < pingAfter || cn.ping(ctx) == nil) {
		return cn, nil
	}
	if ok {
		c.drop(to, cn)
	}
	cn, err := c.dial(ctx, to)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if other, ok := c.conns[to.RPC]; ok {
		_ = cn.Close() // another call was faster
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
	heard := func() { cn.heard.Store(int64(time.Since(begin))) }
	heard()
	cn.Client = rpc.NewClientWithCodec(clientCodec{newWire(nc), heard})
	return cn, nil
}

func (c *Client) drop(to cornelbay.Host, cn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[to.RPC] == cn {
		delete(c.conns, to.RPC)
	}
	_ = cn.Close() // its calls end as not answered
}

// Close drops all connections.
func (c *Client) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for at, cn := range c.conns {
		_ = cn.Close() // its calls end as not answered
		delete(c.conns, at)
	}
	return nil
}
