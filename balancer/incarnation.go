package balancer

import (
	"net/netip"
	"time"

	"github.com/apex/log"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/gossip"
)

// latestInterval is the shortest time between two replies to datagrams of earlier incarnations. It
// limits what a host sends if another replays datagrams to it.
const latestInterval = time.Millisecond

// tellLatest tells a host which of its incarnations this one listens to. The other host has started
// with a clock that was set back, and would be refused until its clock has passed the incarnation
// before, or until it pulls. A replay makes this host send a reply that has no effect. The caller
// holds stateMu.
func (b *Balancer) tellLatest(now time.Time, name cornelbay.HostName, at netip.AddrPort) {
	if now.Before(b.latestDue) {
		return
	}
	b.latestDue = now.Add(latestInterval)
	hb := gossip.Heartbeat{Host: b.self, Relay: !b.inMesh, Latest: b.codec.Latest(name)}
	b.sendToPeers(b.sealHeartbeat(now, hb), []netip.AddrPort{at})
}

// passIncarnation makes this host's incarnation later than the one that another host has seen of
// it, if that is a later one, as the other hosts refuse what it tells them. They have not heard that
// it has started, nor of its ambiguous flows: it tells them again, and if it is not ready it leaves
// them time to answer. The caller holds stateMu.
func (b *Balancer) passIncarnation(now time.Time, latest cornelbay.Incarnation, from netip.AddrPort) {
	if latest <= b.codec.Incarnation {
		return
	}
	log.WithFields(log.Fields{
		"incarnation": latest + 1, "refused": b.codec.Incarnation, "from": from.String(),
		"afterMs": now.Sub(b.started).Milliseconds(), "ready": b.ready.Load(),
	}).Warn("clock was set back")
	b.codec.Incarnation = latest + 1
	switch {
	case b.ready.Load():
		b.sendJoining(now)
	case !b.joinedAt.IsZero():
		b.joinedAt = time.Time{}
		b.checkReady(now) // joins again
	}
	b.trafficMu.Lock()
	ambiguous := b.placer.OpenAmbiguousFlows(now)
	b.trafficMu.Unlock()
	b.queueAmbiguous(ambiguous, netip.AddrPort{})
}
