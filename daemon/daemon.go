// Package daemon is the shell around an entry host: it owns the sockets, the
// clock and the goroutines, and carries out the effects of the host's decisions.
package daemon

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/apex/log"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/caller"
	"github.com/cornelbay/cornelbay/entry"
	"github.com/cornelbay/cornelbay/peer"
	"github.com/cornelbay/cornelbay/platform"
	"github.com/cornelbay/cornelbay/request"
	"github.com/cornelbay/cornelbay/target"
	"github.com/cornelbay/cornelbay/warmth"
)

const inputBacklog = 1024

// Settings are what a daemon is started with.
type Settings struct {
	entry.Settings
	// Platform is the URL of the platform's service.
	Platform string
	// Keys authenticate datagrams: the first seals, any opens.
	Keys [][]byte
}

// Daemon runs one entry host on real sockets.
type Daemon struct {
	Settings

	host     *entry.Host
	codec    peer.Codec
	store    platform.Service
	targets  target.Client
	inputs   chan func(now time.Time) []cornelbay.Effect
	requests requests

	fabric, datagram *net.UDPConn
	http, admin      net.Listener
}

// Start binds the daemon's addresses and runs it until ctx ends.
func Start(ctx context.Context, s Settings) (*Daemon, error) {
	d := &Daemon{Settings: s, inputs: make(chan func(time.Time) []cornelbay.Effect, inputBacklog)}
	if err := d.bind(); err != nil {
		d.close()
		return nil, err
	}
	d.host = entry.New(d.Settings.Settings)
	d.codec = peer.Codec{Self: s.Self.Name, Incarnation: s.Self.Incarnation, Keys: s.Keys}
	d.store = &platform.Client{Base: s.Platform}
	go d.control(ctx)
	go d.receiveDatagrams()
	go d.forward()
	go d.serve(ctx, d.http, caller.NewServer(d.do))
	go d.serve(ctx, d.admin, d.adminHandler())
	context.AfterFunc(ctx, d.close)
	return d, nil
}

// Self returns the host with the addresses that were bound.
func (d *Daemon) Self() cornelbay.Host { return d.Settings.Self }

func (d *Daemon) bind() error {
	var err error
	if d.fabric, err = listenUDP("fabric", &d.Settings.Self.Fabric); err != nil {
		return err
	}
	if d.datagram, err = listenUDP("datagram", &d.Settings.Self.Datagram); err != nil {
		return err
	}
	if d.http, err = listenTCP("http", &d.Settings.Self.HTTP); err != nil {
		return err
	}
	d.admin, err = listenTCP("admin", &d.Settings.Self.Admin)
	return err
}

func listenUDP(name string, at *netip.AddrPort) (*net.UDPConn, error) {
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(*at))
	if err != nil {
		return nil, merry.Prepend(err, name)
	}
	*at = c.LocalAddr().(*net.UDPAddr).AddrPort()
	return c, nil
}

func listenTCP(name string, at *netip.AddrPort) (net.Listener, error) {
	l, err := net.Listen("tcp", at.String())
	if err != nil {
		return nil, merry.Prepend(err, name)
	}
	*at = l.Addr().(*net.TCPAddr).AddrPort()
	return l, nil
}

func (d *Daemon) close() {
	for _, c := range []*net.UDPConn{d.fabric, d.datagram} {
		if c != nil {
			_ = c.Close() // nothing is buffered
		}
	}
	for _, l := range []net.Listener{d.http, d.admin} {
		if l != nil {
			_ = l.Close() // nothing is buffered
		}
	}
}

func (d *Daemon) serve(ctx context.Context, l net.Listener, h http.Handler) {
	s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	context.AfterFunc(ctx, func() { _ = s.Close() }) // the process ends
	if err := s.Serve(l); ctx.Err() == nil {
		log.WithError(err).Error("server ended")
	}
}

// control is the one goroutine that owns the control state.
func (d *Daemon) control(ctx context.Context) {
	tick := time.NewTicker(entry.TickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			d.carryOut(ctx, d.host.Tick(now))
		case in := <-d.inputs:
			d.carryOut(ctx, in(time.Now()))
		}
	}
}

func (d *Daemon) input(ctx context.Context, in func(now time.Time) []cornelbay.Effect) {
	select {
	case d.inputs <- in:
	case <-ctx.Done():
	}
}

func (d *Daemon) carryOut(ctx context.Context, effects []cornelbay.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case cornelbay.Send:
			d.send(e)
		case platform.Call:
			go d.call(ctx, e)
		case warmth.Probe:
			go d.probe(ctx, e)
		case request.Attempt:
			go d.attempt(ctx, e)
		case request.Cancel:
			d.requests.cancel(e.ID)
		case request.Finish:
			d.requests.finish(e)
		}
	}
}

func (d *Daemon) call(ctx context.Context, c platform.Call) {
	ctx, cancel := context.WithTimeout(ctx, platform.WatchTimeout+time.Second)
	defer cancel()
	a := d.store.Do(ctx, c)
	d.input(ctx, func(now time.Time) []cornelbay.Effect { return d.host.StoreAnswer(now, a) })
}

func (d *Daemon) probe(ctx context.Context, p warmth.Probe) {
	s := d.targets.Probe(ctx, p)
	d.input(ctx, func(now time.Time) []cornelbay.Effect {
		d.host.Observe(now, s)
		return nil
	})
}

func (d *Daemon) send(s cornelbay.Send) {
	h, ok := d.host.Lookup(s.To)
	if !ok {
		at, err := netip.ParseAddrPort(s.Address)
		if err != nil {
			return
		}
		h.Datagram = at
	}
	b, err := d.codec.Seal(s.Message)
	if err != nil {
		log.WithError(err).WithField("to", string(s.To)).Error("message not sent")
		return
	}
	if _, err := d.datagram.WriteToUDPAddrPort(b, h.Datagram); err != nil {
		log.WithError(err).WithField("to", string(s.To)).Debug("datagram not sent")
	}
}

func (d *Daemon) receiveDatagrams() {
	b := make([]byte, 64<<10)
	for {
		n, _, err := d.datagram.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		e, m, err := d.codec.Open(b[:n])
		if err != nil {
			log.WithError(err).Warn("datagram refused")
			continue
		}
		d.inputs <- func(now time.Time) []cornelbay.Effect { return d.host.Receive(now, e.From, m) }
	}
}
