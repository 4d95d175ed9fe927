package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/peer"
)

// peerTimeout is the timeout of a call to another host and of serving such a call.
const peerTimeout = 2 * time.Second

// errNoControlAnswer is returned for a call that the control goroutine did not answer
// within peerTimeout.
var errNoControlAnswer = merry.New("control goroutine does not answer")

// peerRPC is the client and the server for net/rpc calls between hosts.
type peerRPC struct {
	// credentials is nil if connections use plain TCP.
	credentials *peer.Credentials
	client      peer.Client
	server      peer.Server
}

func (d *Daemon) initPeers() {
	if d.KeyPair != nil {
		d.peers.credentials = &peer.Credentials{}
		d.peers.credentials.Set(*d.KeyPair)
	}
	d.peers.client = peer.Client{Self: d.Settings.Self.Name, Credentials: d.peers.credentials}
	d.peers.server.Credentials = d.peers.credentials
	d.peers.server.OnRefused = func(remote net.Addr, err error) {
		d.metrics.refusedConnections.Inc()
		d.Log.WithError(err).WithField("remote", remote.String()).Debug("connection of a host refused")
	}
}

func (d *Daemon) servePeers(ctx context.Context) {
	h := func(from cornelbay.HostName, args peer.Args) (any, error) { return d.servePeer(ctx, from, args) }
	if err := d.peers.server.Serve(d.rpc, h); err != nil && ctx.Err() == nil {
		d.Log.WithError(err).Error("server ended")
	}
}

// servePeer serves a call of another host in the control goroutine.
func (d *Daemon) servePeer(ctx context.Context, from cornelbay.HostName, args peer.Args) (any, error) {
	type result struct {
		reply any
		err   error
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	ch := make(chan result, 1)
	d.enqueue(ctx, func(now time.Time) []cornelbay.Effect {
		if ctx.Err() != nil {
			return nil
		}
		reply, effects, err := d.host.ServePeer(now, from, args)
		ch <- result{reply, err}
		return effects
	})
	select {
	case r := <-ch:
		return r.reply, r.err
	case <-ctx.Done():
		return nil, errNoControlAnswer
	}
}

// callPeer makes a call to another host and queues its answer. It must run in the
// control goroutine, since it looks up the host; the call runs in its own goroutine.
func (d *Daemon) callPeer(ctx context.Context, c peer.Call) {
	to, ok := d.host.Lookup(c.To)
	if !ok {
		to = cornelbay.Host{Name: c.To, RPC: c.Address}
	}
	d.spawn(func() {
		callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		defer cancel()
		reply, err := d.peers.client.Call(callCtx, to, c.Args)
		d.metrics.peerCalls.WithLabelValues(c.Args.Method(), resultLabel(err)).Inc()
		d.enqueue(ctx, func(now time.Time) []cornelbay.Effect {
			return d.host.ReceivePeerAnswer(now, peer.Answer{Call: c, Reply: reply, Err: err})
		})
	})
}

func (p *peerRPC) close() {
	_ = p.server.Close() // the callers of calls in progress get ErrNoAnswer
	_ = p.client.Close() // calls in progress return ErrNoAnswer
}

// requireRole allows GET requests to clients whose certificate has any known role, and
// other methods only to RoleChanger. Without credentials every client is allowed, for
// tests on loopback addresses.
func (d *Daemon) requireRole(h http.Handler) http.Handler {
	if d.peers.credentials == nil {
		return h
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		role := peer.RoleOf(r.TLS.PeerCertificates[0])
		if role == "" || (r.Method != http.MethodGet && role != peer.RoleChanger) {
			http.Error(w, peer.ErrWrongRole.Error(), http.StatusForbidden)
			return
		}
		h.ServeHTTP(w, r)
	})
}
