package balancer

import (
	"time"

	"github.com/apex/log"

	"github.com/cornelbay/cornelbay/gossip"
	"github.com/cornelbay/cornelbay/placement"
)

// announceSilences tells the hosts that send flows to the same targets which of these have not
// answered. It does so at once: the targets may be back within a fraction of a second.
func (b *Balancer) announceSilences(silences []placement.Silence) {
	if len(silences) == 0 {
		return
	}
	now := time.Now()
	var m gossip.SilentTargets
	for _, s := range silences {
		m.Targets = append(m.Targets, gossip.SilentTarget{Cookie: s.Cookie, MsAgo: uint32(now.Sub(s.Since).Milliseconds())})
	}
	b.stateMu.Lock()
	to := b.sharers()
	datagram, err := b.codec.Seal(m)
	b.stateMu.Unlock()
	if err != nil {
		log.WithError(err).Error("silent targets not sealed")
		return
	}
	b.sendToPeers(datagram, to)
}

// mergeSilences applies the message of another host that arrived at the given time.
func (b *Balancer) mergeSilences(now, arrived time.Time, m gossip.SilentTargets) {
	b.trafficMu.Lock()
	defer b.trafficMu.Unlock()
	for _, t := range m.Targets {
		b.placer.MergeSilence(now, placement.Silence{
			Cookie: t.Cookie, Since: arrived.Add(-time.Duration(t.MsAgo) * time.Millisecond),
		})
	}
}
