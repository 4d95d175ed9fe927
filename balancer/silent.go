package balancer

import (
	"time"

	"github.com/apex/log"

	"github.com/cornelbay/cornelbay/gossip"
	"github.com/cornelbay/cornelbay/placement"
)

// maxSilences limits the silent targets that wait to be announced, so that they fit into a datagram.
const maxSilences = 64

// announceSilences tells the hosts that send flows to the same targets which of these have not
// answered. It does so at once if it can, as the targets may be back within a fraction of a second.
// Many targets of a large fleet may be silent at once: like the messages on ambiguous flows, these
// are limited to 1,000 datagrams a second, and wait for the next call. Only retryLoop calls it.
func (b *Balancer) announceSilences(now time.Time, silences []placement.Silence) {
	for _, s := range silences {
		if len(b.silences) == maxSilences {
			b.metrics.count("silenceNotTold")
			continue
		}
		b.silences = append(b.silences, s)
	}
	if len(b.silences) == 0 || now.Before(b.silencesDue) {
		return
	}
	var m gossip.SilentTargets
	for _, s := range b.silences {
		m.Targets = append(m.Targets, gossip.SilentTarget{Cookie: s.Cookie, MsAgo: uint32(now.Sub(s.Since).Milliseconds())})
	}
	b.silences = nil
	b.stateMu.Lock()
	to := b.sharers()
	datagram, err := b.codec.Seal(m)
	b.stateMu.Unlock()
	b.silencesDue = now.Add(time.Duration(len(to)) * ambiguousSendInterval)
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
