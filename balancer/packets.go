package balancer

import (
	"errors"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/placement"
	"github.com/cornelbay/cornelbay/platform"
	"github.com/cornelbay/cornelbay/registry"
)

// verdict is the decision on one packet.
type verdict struct {
	// target receives the packet. It is nil if the flow is reset or the packet
	// dropped.
	target *registry.Endpoint
	reset  bool
	reason string
}

// Reasons of verdicts, as shown in logs and metrics. The last three are errors of
// parsing; reasonLength means that the length field of a packet is wrong.
const (
	reasonOpened        = "opened"
	reasonWaiting       = "waiting"
	reasonHeld          = "held"
	reasonKnown         = "known"
	reasonNoRoute       = "noRoute"
	reasonNoTarget      = "noTarget"
	reasonSuperseded    = "superseded"
	reasonNotReady      = "notReady"
	reasonNoCookie      = "noCookie"
	reasonUnknownCookie = "unknownCookie"
	reasonTruncated     = "truncated"
	reasonOverlong      = "overlong"
	reasonLength        = "length"
)

// forward reads packets until the socket is closed. Routers that have not noticed the restart of a
// host send it packets before it knows which targets have the ambiguous flows; these wait in the
// socket.
func (b *Balancer) forward() {
	select {
	case <-b.ctx.Done():
	case <-b.settled:
	}
	// One more byte than allowed, so that overlong packets are detected.
	buf := make([]byte, platform.TargetNumberBytes+platform.MaxPacketBytes+1)
	packet := buf[platform.TargetNumberBytes:]
	control := make([]byte, controlBytes)
	for {
		n, c, _, _, err := b.packets.ReadMsgUDPAddrPort(packet, control)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			log.WithError(err).Warn("reading packet failed")
			continue
		}
		b.handle(time.Now(), buf, n, control[:c])
	}
}

// handle parses, decides and forwards one packet of n bytes. In buf it follows the space for
// the addressee; control tells when it arrived, which counts for openings only.
func (b *Balancer) handle(now time.Time, buf []byte, n int, control []byte) {
	b.lastPacket.Store(int64(now.Sub(b.started)))
	packet := buf[platform.TargetNumberBytes : platform.TargetNumberBytes+n]
	var p platform.Packet
	if err := platform.Parse(packet, &p); err != nil {
		b.metrics.count(parseReason(err))
		return
	}
	arrived := now
	if p.Opening {
		arrived = now.Add(-queueingTime(now, control))
	}
	b.trafficMu.Lock()
	v := b.decide(now, arrived, &p, packet)
	ambiguous, admissions, releases := b.placer.AmbiguousFlows(), b.placer.Admissions(), b.placer.Releases()
	recovered := b.placer.Silences()
	b.trafficMu.Unlock()
	b.queueAmbiguous(ambiguous, netip.AddrPort{})
	if len(recovered) > 0 {
		select {
		case b.recoveries <- recovered:
		default:
			b.metrics.count("silenceNotTold")
		}
	}
	b.metrics.count(v.reason)
	b.sendReleases(releases) // first: they may be of the same flow
	b.logReleases(releases)
	switch {
	case v.target != nil:
		// The target repeats the cookie to the caller, which may carry that of a late answer.
		platform.SetCookie(packet, v.target.Cookie)
		b.send(buf[:platform.TargetNumberBytes+n], v.target)
	case v.reset:
		b.reset(&p, v.reason)
	case v.reason != reasonWaiting && v.reason != reasonHeld:
		b.flowLog(p.Key).WithFields(log.Fields{
			"reason": v.reason, "cookie": p.Cookie, "queuedMs": now.Sub(arrived).Milliseconds(),
		}).Info("packet dropped")
	}
	b.applyAdmissions(admissions)
	if v.reason == reasonOpened || v.reason == reasonWaiting || v.reason == reasonHeld {
		select {
		case b.opened <- struct{}{}:
		default: // a check is already requested
		}
	}
	if v.reason == reasonOpened && sampled(p.Key) {
		b.flowLog(p.Key).WithFields(log.Fields{"target": v.target.Name, "dataCentre": v.target.DataCentre}).Info("opened")
	}
}

// sampleEvery is the sampling rate of openings in the log: that of one flow in 64 is
// logged. Drops, resets and retries are logged for every flow.
const sampleEvery = 64

// sampled reports whether the opening of a flow is logged. All hosts sample the same
// flows.
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

// decide chooses what to do with a packet. The caller holds trafficMu.
func (b *Balancer) decide(now, arrived time.Time, p *platform.Packet, packet []byte) verdict {
	if b.view == nil {
		return verdict{reason: reasonNotReady}
	}
	if p.Opening {
		return b.openFlow(now, arrived, p, packet)
	}
	if p.Cookie == 0 {
		return verdict{reason: reasonNoCookie}
	}
	cookie := b.placer.RoutePacket(now, p.Key, placement.Segment{
		Cookie: p.Cookie, Sequence: p.Sequence, Bytes: len(packet) - platform.HeaderBytes,
		Acknowledged: p.Acknowledged, Finishing: p.Finishing || p.Resetting, Packet: packet,
	})
	if cookie == 0 {
		return verdict{reason: reasonHeld}
	}
	m, ok := b.view.Cookies[cookie]
	if !ok {
		return verdict{reason: reasonUnknownCookie}
	}
	return verdict{target: m, reason: reasonKnown}
}

// openFlow decides on the first packet of a flow. The caller holds trafficMu. A flow
// that can't be served is reset at once, which tells its caller that no target has run
// it: it was never open. An opening of which another host may have a copy is dropped instead,
// as that host may have opened the flow.
func (b *Balancer) openFlow(now, arrived time.Time, p *platform.Packet, packet []byte) verdict {
	// A stopping host isn't ready, but opens flows until the routers have removed it.
	if !b.ready.Load() && !b.stopping.Load() {
		return verdict{reason: reasonNotReady}
	}
	o := placement.Opening{
		Key: p.Key, Packet: packet, Copy: int(p.Acknowledged), Arrived: arrived,
	}
	refused := verdict{reset: b.placer.MayRefuse(now, o), reason: reasonNoRoute}
	r, ok := b.view.Routes[p.Key.Destination]
	if !ok {
		return refused
	}
	if o.Service, ok = r.Service(p.Key.Source); !ok {
		return refused
	}
	m, err := b.placer.Open(now, o)
	if errors.Is(err, placement.ErrWaiting) {
		return verdict{reason: reasonWaiting}
	}
	if errors.Is(err, placement.ErrSuperseded) {
		return verdict{reason: reasonSuperseded}
	}
	if err != nil {
		refused.reason = reasonNoTarget
		return refused
	}
	return verdict{target: m, reason: reasonOpened}
}

// send sends a packet, preceded by space for the addressee, to a target.
func (b *Balancer) send(datagram []byte, m *registry.Endpoint) {
	platform.SetTargetNumber(datagram, m.Number)
	if _, err := b.packets.WriteToUDPAddrPort(datagram, m.Address); err != nil {
		b.metrics.count("sendFailed")
		log.WithError(err).WithField("target", m.Name).Warn("sending packet failed")
	}
}

// reset sends the caller a reset for a flow that has no route or no target. It goes to
// the port at which hosts receive packets, which is the same for callers; the source
// port in the key is that of the flow inside the packet.
func (b *Balancer) reset(p *platform.Packet, reason string) {
	b.sendReset(p)
	b.flowLog(p.Key).WithField("reason", reason).Info("reset")
}

func (b *Balancer) sendReset(p *platform.Packet) {
	r := platform.Reset(p)
	to := netip.AddrPortFrom(p.Key.Source.Addr(), b.settings.Load().Packets.Port())
	if _, err := b.packets.WriteToUDPAddrPort(r[:], to); err != nil {
		log.WithError(err).WithField("to", to.String()).Warn("sending reset failed")
	}
}

func (b *Balancer) version() uint64 {
	b.trafficMu.Lock()
	defer b.trafficMu.Unlock()
	if b.view == nil {
		return 0
	}
	return b.view.Version
}

// flowLog returns a log entry for a decision on a flow, with the version of the
// configuration in use and the ages of the confirmations of routes and targets, if there were any.
func (b *Balancer) flowLog(key cornelbay.FlowKey) *log.Entry {
	fields := log.Fields{"source": key.Source.String(), "destination": key.Destination.String(), "version": b.version()}
	now := time.Since(b.started)
	for name, at := range map[string]*atomic.Int64{"routesAgeMs": &b.routesConfirmedAt, "targetsAgeMs": &b.targetsConfirmedAt} {
		if confirmed := at.Load(); confirmed != 0 {
			fields[name] = (now - time.Duration(confirmed)).Milliseconds()
		}
	}
	return log.WithFields(fields)
}
