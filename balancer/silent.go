package balancer

import (
	"time"

	"github.com/apex/log"

	"github.com/cornelbay/cornelbay/gossip"
	"github.com/cornelbay/cornelbay/placement"
)

// maxSilences limits the silent targets that wait to be announced, so that they fit into a datagram.
const maxSilences = 64

// silences are the targets that wait to be announced, and the time before which they are not.
type silences struct {
	waiting []placement.Silence
	due     time.Time
}

// announceSilences tells the hosts that send flows to the same targets which of these have not
// answered, or answer again. It does so at once if it can, as the targets may be back within a
// fraction of a second. Many targets of a large fleet may be silent at once: like the messages on
// ambiguous flows, those on silent targets are limited to 1,000 datagrams a second, and wait for the
// next call. So are those on recovered ones, which don't wait for the others. Only retryLoop calls it.
func (b *Balancer) announceSilences(now time.Time, all []placement.Silence) {
	for _, s := range all {
		q := &b.silent
		if !s.Until.IsZero() {
			q = &b.recovered
		}
		if len(q.waiting) == maxSilences {
			b.metrics.count("silenceNotTold")
			continue
		}
		q.waiting = append(q.waiting, s)
	}
	for _, q := range []*silences{&b.silent, &b.recovered} {
		if len(q.waiting) > 0 && !now.Before(q.due) {
			q.due = now.Add(time.Duration(b.sendSilences(now, q.waiting)) * ambiguousSendInterval)
			q.waiting = nil
		}
	}
}

// sendSilences sends an announcement and returns the number of recipients.
func (b *Balancer) sendSilences(now time.Time, all []placement.Silence) int {
	var m gossip.SilentTargets
	// A packet may have been read after now.
	ago := func(at time.Time) uint32 { return uint32(max(0, now.Sub(at).Milliseconds())) }
	for _, s := range all {
		if s.Until.IsZero() {
			m.Targets = append(m.Targets, gossip.SilentTarget{Cookie: s.Cookie, MsAgo: ago(s.Since)})
			continue
		}
		m.Recovered = append(m.Recovered, gossip.RecoveredTarget{
			Cookie: s.Cookie, SilentMsAgo: ago(s.Since), AnsweredMsAgo: ago(s.Until),
		})
	}
	b.stateMu.Lock()
	to := b.sharers()
	datagram, err := b.codec.Seal(m)
	b.stateMu.Unlock()
	if err != nil {
		log.WithError(err).Error("silent targets not sealed")
		return len(to)
	}
	b.sendToPeers(datagram, to)
	return len(to)
}

// mergeSilences applies the message of another host that arrived at the given time.
func (b *Balancer) mergeSilences(now, arrived time.Time, m gossip.SilentTargets) {
	ago := func(ms uint32) time.Time { return arrived.Add(-time.Duration(ms) * time.Millisecond) }
	b.trafficMu.Lock()
	defer b.trafficMu.Unlock()
	for _, t := range m.Targets {
		b.placer.MergeSilence(now, placement.Silence{Cookie: t.Cookie, Since: ago(t.MsAgo)})
	}
	for _, t := range m.Recovered {
		b.placer.MergeSilence(now, placement.Silence{Cookie: t.Cookie, Since: ago(t.SilentMsAgo), Until: ago(t.AnsweredMsAgo)})
	}
}
