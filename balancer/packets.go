package balancer

import (
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/platform"
	"github.com/cornelbay/cornelbay/registry"
)

// verdict is what is done with one packet.
type verdict struct {
	// target gets the packet; nil where the flow is reset or the packet dropped.
	target *registry.Member
	reset  bool
	reason string
}

// The reasons of verdicts, as logs and metrics show them.
const (
	reasonOpened        = "opened"
	reasonKnown         = "known"
	reasonNoRoute       = "noRoute"
	reasonNoTarget      = "noTarget"
	reasonNotReady      = "notReady"
	reasonNoCookie      = "noCookie"
	reasonUnknownCookie = "unknownCookie"
	reasonTruncated     = "truncated"
	reasonOverlong      = "overlong"
	reasonLength        = "length"
)

// forward reads packets until the socket is closed.
func (b *Balancer) forward() {
	// A packet that is longer than allowed still shows its length.
	buf := make([]byte, platform.AddresseeBytes+platform.MaxPacketBytes+1)
	in := buf[platform.AddresseeBytes:]
	for {
		n, _, err := b.packets.ReadFromUDPAddrPort(in)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			log.WithError(err).Warn("packet not read")
			continue
		}
		b.handle(time.Now(), buf, n)
	}
}

// handle decides one packet of n bytes, which stands in buf behind the room for
// the addressee.
func (b *Balancer) handle(now time.Time, buf []byte, n int) {
	b.lastPacket.Store(int64(now.Sub(b.started)))
	in := buf[platform.AddresseeBytes : platform.AddresseeBytes+n]
	var p platform.Packet
	if err := platform.Parse(in, &p); err != nil {
		b.metrics.count(parseReason(err))
		return
	}
	b.trafficMu.Lock()
	v := b.decide(now, &p, in)
	doubts := b.placer.AmbiguousFlows()
	b.trafficMu.Unlock()
	b.queueDoubts(doubts, netip.AddrPort{})
	b.metrics.count(v.reason)
	switch {
	case v.target != nil:
		if p.Opening {
			platform.SetCookie(in, v.target.Cookie)
		}
		b.send(buf[:platform.AddresseeBytes+n], v.target)
	case v.reset:
		b.reset(&p, v.reason)
	default:
		b.logDecision(p.Key).WithFields(log.Fields{"reason": v.reason, "cookie": p.Cookie}).Info("packet dropped")
	}
	if v.reason == reasonOpened && sampled(p.Key) {
		b.logDecision(p.Key).WithFields(log.Fields{"target": v.target.Name, "dataCentre": v.target.DataCentre}).Info("opened")
	}
}

// sampleEvery is the number of flows of which one is logged whole.
const sampleEvery = 64

// sampled reports whether a flow is logged whole: the same flows at every host.
func sampled(key cornelbay.FlowKey) bool {
	b := key.Source.Addr().As4()
	return xxhash.Sum64(append(b[:], byte(key.Source.Port()>>8), byte(key.Source.Port())))%sampleEvery == 0
}

func parseReason(err error) string {
	switch {
	case errors.Is(err, platform.ErrTruncated):
		return reasonTruncated
	case errors.Is(err, platform.ErrOverlong):
		return reasonOverlong
	}
	return reasonLength
}

// decide is called with trafficMu held.
func (b *Balancer) decide(now time.Time, p *platform.Packet, in []byte) verdict {
	if b.view == nil {
		return verdict{reason: reasonNotReady}
	}
	if p.Opening {
		return b.openFlow(now, p, in)
	}
	if p.Cookie == 0 {
		return verdict{reason: reasonNoCookie}
	}
	cookie := b.placer.RoutePacket(now, p.Key, p.Cookie, p.Acknowledged, p.Finishing || p.Resetting)
	m, ok := b.view.Cookies[cookie]
	if !ok {
		return verdict{reason: reasonUnknownCookie}
	}
	return verdict{target: m, reason: reasonKnown}
}

// openFlow decides a flow's first packet, with trafficMu held. What can't be served
// is reset at once: a flow that was never open has not run.
func (b *Balancer) openFlow(now time.Time, p *platform.Packet, in []byte) verdict {
	if !b.ready.Load() && !b.stopping.Load() {
		return verdict{reason: reasonNotReady}
	}
	r, ok := b.view.Routes[p.Key.Destination]
	if !ok {
		return verdict{reset: true, reason: reasonNoRoute}
	}
	service, ok := r.Service(p.Key.Source)
	if !ok {
		return verdict{reset: true, reason: reasonNoRoute}
	}
	m, err := b.placer.Open(now, p.Key, service, in, p.Acknowledged > 0)
	if err != nil {
		return verdict{reset: true, reason: reasonNoTarget}
	}
	return verdict{target: m, reason: reasonOpened}
}

// send sends a packet, with room for the addressee before it, to a target.
func (b *Balancer) send(datagram []byte, m *registry.Member) {
	platform.SetAddressee(datagram, m.Number)
	if _, err := b.packets.WriteToUDPAddrPort(datagram, m.Address); err != nil {
		b.metrics.count("sendFailed")
		log.WithError(err).WithField("target", m.Name).Warn("packet not sent")
	}
}

// reset tells a caller that its flow has no target.
func (b *Balancer) reset(p *platform.Packet, reason string) {
	r := platform.Reset(p)
	to := netip.AddrPortFrom(p.Key.Source.Addr(), b.settings.Load().Packets.Port())
	if _, err := b.packets.WriteToUDPAddrPort(r[:], to); err != nil {
		log.WithError(err).WithField("to", to.String()).Warn("reset not sent")
	}
	b.logDecision(p.Key).WithField("reason", reason).Info("reset")
}

func (b *Balancer) version() uint64 {
	b.trafficMu.Lock()
	defer b.trafficMu.Unlock()
	if b.view == nil {
		return 0
	}
	return b.view.Version
}

// logDecision returns an entry for a decision on a flow, with the version that it
// was taken on and how long ago routes and targets were confirmed.
func (b *Balancer) logDecision(key cornelbay.FlowKey) *log.Entry {
	now := time.Since(b.started)
	return log.WithFields(log.Fields{
		"source": key.Source.String(), "destination": key.Destination.String(), "version": b.version(),
		"routesAgeMs":  (now - time.Duration(b.routesConfirmed.Load())).Milliseconds(),
		"targetsAgeMs": (now - time.Duration(b.targetsConfirmed.Load())).Milliseconds(),
	})
}
