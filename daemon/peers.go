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

// peerTimeout bounds a call to another host and the serving of one.
const peerTimeout = 2 * time.Second

// errBusy is the error of a call that the control goroutine did not take in time.
var errBusy = merry.New("control goroutine does not answer")

// peers calls other hosts and serves their calls.
type peers struct {
	// credentials is nil for plain TCP.
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

// servePeer has the control goroutine answer another host's call.
func (d *Daemon) servePeer(ctx context.Context, from cornelbay.HostName, args peer.Args) (any, error) {
	type served struct {
		reply any
		err   error
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	ch := make(chan served, 1)
	d.input(ctx, func(now time.Time) []cornelbay.Effect {
		if ctx.Err() != nil {
			return nil
		}
		reply, effects, err := d.host.ServePeer(now, from, args)
		ch <- served{reply, err}
		return effects
	})
	select {
	case s := <-ch:
		return s.reply, s.err
	case <-ctx.Done():
		return nil, errBusy
	}
}

// callPeer is called by the control goroutine, which alone looks hosts up.
func (d *Daemon) callPeer(ctx context.Context, c peer.Call) {
	to, ok := d.host.Lookup(c.To)
	if !ok {
		to = cornelbay.Host{Name: c.To, RPC: c.Address}
	}
	d.goes(func() {
		callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		defer cancel()
		reply, err := d.peers.client.Call(callCtx, to, c.Args)
		d.metrics.peerCalls.WithLabelValues(c.Args.Method(), result(err)).Inc()
		d.input(ctx, func(now time.Time) []cornelbay.Effect {
			return d.host.PeerAnswer(now, peer.Answer{Call: c, Reply: reply, Err: err})
		})
	})
}

func (p *peers) close() {
	_ = p.server.Close() // calls in progress end as not answered
	_ = p.client.Close() // calls in progress end as not answered
}

// authorised lets a certificate's holder read, and change what hosts do when
// its role allows it. Without credentials everybody may, for trials on loopback.
func (d *Daemon) authorised(h http.Handler) http.Handler {
	if d.peers.credentials == nil {
		return h
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		role := peer.RoleOf(r.TLS.PeerCertificates[0])
		if role == "" || (r.Method != http.MethodGet && role != peer.RoleChanger) {
			http.Error(w, peer.ErrRole.Error(), http.StatusForbidden)
			return
		}
		h.ServeHTTP(w, r)
	})
}
