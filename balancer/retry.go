package balancer

import (
	"math"
	"net/netip"
	"time"

	"github.com/apex/log"

	"github.com/cornelbay/cornelbay/placement"
	"github.com/cornelbay/cornelbay/platform"
)

// retryLoop sends unanswered openings to other targets, and prunes the tables once
// every pruneInterval.
func (b *Balancer) retryLoop() {
	due := time.Now()
	t := time.NewTimer(0)
	defer t.Stop()
	datagram := make([]byte, platform.TargetNumberBytes+platform.MaxPacketBytes)
	pruned, decided := due, due
	for {
		select {
		case <-b.ctx.Done():
			return
		case <-t.C:
		case <-b.opened:
			b.trafficMu.Lock()
			at := time.Now().Add(b.placer.TickInterval())
			b.trafficMu.Unlock()
			if at.Before(due) {
				due = at
				t.Reset(time.Until(due))
			}
			continue
		case recovered := <-b.recoveries:
			b.announceSilences(time.Now(), recovered)
			continue
		}
		now := time.Now()
		b.trafficMu.Lock()
		retries, changes, ambiguous := b.placer.Tick(now), b.placer.StateChanges(), b.placer.AmbiguousFlows()
		admissions, releases, shortages := b.placer.Admissions(), b.placer.Releases(), b.placer.Shortages()
		silences := b.placer.Silences()
		due = now.Add(b.placer.TickInterval())
		b.sendReleases(releases) // before the lock lets later packets of these flows pass
		b.trafficMu.Unlock()
		t.Reset(time.Until(due))
		b.applyAdmissions(admissions) // first: resets must not be late
		b.logReleases(releases)
		b.queueAmbiguous(ambiguous, netip.AddrPort{})
		b.announceSilences(now, silences)
		for _, change := range changes {
			logTargetState(change)
		}
		for _, s := range shortages {
			logShortage(s)
		}
		for _, r := range retries {
			b.retry(datagram, r)
		}
		if now.Sub(decided) >= decideInterval {
			decided = now
			b.decideReadiness(now)
		}
		if now.Sub(pruned) > pruneInterval {
			pruned = now
			b.prune()
		}
	}
}

// logTargetState logs a change of state of a target, or a stall of this host's
// process.
func logTargetState(change placement.StateChange) {
	if change.State == placement.Stalled {
		log.WithField("forMs", change.Duration.Milliseconds()).Warn("stood still")
		return
	}
	line := log.WithFields(log.Fields{"target": change.Target.Name, "dataCentre": change.Target.DataCentre})
	switch change.State {
	case placement.Recovered, placement.Doubted:
		if change.Duration > 0 {
			line = line.WithField("targetsAgeMs", change.Duration.Milliseconds())
		}
		line.Info("target " + string(change.State))
	case placement.RampBegun, placement.RampEnded, placement.SpeedChanged:
		line.WithField("timeFactor", math.Round(100*change.TimeFactor)/100).Info("target " + string(change.State))
	case placement.Failing, placement.Slow:
		line.WithFields(log.Fields{
			"ended": math.Round(change.Outcome.Ended), "failed": math.Round(change.Outcome.Failed),
			"meanMs": change.Outcome.Mean().Milliseconds(), "pauseMs": change.Duration.Milliseconds(),
		}).Warn("target " + string(change.State))
	default:
		line.Warn("target " + string(change.State))
	}
}

// retry sends an opening to another target if there is one; datagram is a scratch
// buffer.
func (b *Balancer) retry(datagram []byte, r placement.Retry) {
	line := b.flowLog(r.Key).WithFields(log.Fields{
		"silent": r.Silent.Name, "silentIn": r.Silent.DataCentre, "waitedMs": r.Waited.Milliseconds(),
	})
	if r.Target == nil {
		line.Info("opening not answered, no other target")
		return
	}
	line.WithField("target", r.Target.Name).Info("opening tried elsewhere")
	n := copy(datagram[platform.TargetNumberBytes:], r.Opening)
	platform.SetCookie(datagram[platform.TargetNumberBytes:], r.Target.Cookie)
	b.send(datagram[:platform.TargetNumberBytes+n], r.Target)
}
