package balancer

import (
	"math"
	"net/netip"
	"time"

	"github.com/apex/log"

	"github.com/cornelbay/cornelbay/placement"
	"github.com/cornelbay/cornelbay/platform"
)

// tick sends openings without an answer to other targets.
func (b *Balancer) tick() {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	datagram := make([]byte, platform.AddresseeBytes+platform.MaxPacketBytes)
	pruned := time.Now()
	for {
		select {
		case <-b.ctx.Done():
			return
		case <-t.C:
		}
		now := time.Now()
		b.trafficMu.Lock()
		retries, beliefs, doubts := b.placer.Tick(now), b.placer.StateChanges(), b.placer.AmbiguousFlows()
		b.trafficMu.Unlock()
		b.queueDoubts(doubts, netip.AddrPort{})
		for _, belief := range beliefs {
			logBelief(belief)
		}
		for _, r := range retries {
			b.retry(datagram, r)
		}
		if now.Sub(pruned) > pruneInterval {
			pruned = now
			b.prune()
		}
	}
}

// logBelief tells what a target, or this host, is taken for from now on.
func logBelief(belief placement.StateChange) {
	if belief.State == placement.Stalled {
		log.WithField("forMs", belief.Duration.Milliseconds()).Warn("stood still")
		return
	}
	line := log.WithFields(log.Fields{"target": belief.Member.Name, "dataCentre": belief.Member.DataCentre})
	switch belief.State {
	case placement.Recovered:
		line.Info("target answers again")
	case placement.Failing, placement.Slow:
		line.WithFields(log.Fields{
			"ended": math.Round(belief.Outcome.Ended), "failed": math.Round(belief.Outcome.Failed),
			"meanMs": belief.Outcome.Mean().Milliseconds(), "pauseMs": belief.Duration.Milliseconds(),
		}).Warn("target " + string(belief.State))
	default:
		line.Warn("target " + string(belief.State))
	}
}

// retry sends an opening to another target where there is one; datagram is room
// for it.
func (b *Balancer) retry(datagram []byte, r placement.Retry) {
	line := b.logDecision(r.Key).WithFields(log.Fields{
		"silent": r.Silent.Name, "silentIn": r.Silent.DataCentre, "waitedMs": r.Waited.Milliseconds(),
	})
	if r.Member == nil {
		line.Info("opening not answered, no other target")
		return
	}
	line.WithField("target", r.Member.Name).Info("opening tried elsewhere")
	n := copy(datagram[platform.AddresseeBytes:], r.Opening)
	platform.SetCookie(datagram[platform.AddresseeBytes:], r.Member.Cookie)
	b.send(datagram[:platform.AddresseeBytes+n], r.Member)
}
