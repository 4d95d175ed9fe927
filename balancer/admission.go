package balancer

import (
	"time"

	"github.com/apex/log"

	"github.com/cornelbay/cornelbay/placement"
	"github.com/cornelbay/cornelbay/platform"
)

// applyAdmissions sends openings that have waited to their targets, and resets those that
// are refused: no target has got them.
func (b *Balancer) applyAdmissions(admissions []placement.Admission) {
	if len(admissions) == 0 {
		return // most packets, which need no buffer
	}
	var buf [platform.TargetNumberBytes + platform.MaxPacketBytes]byte
	for _, a := range admissions {
		n := copy(buf[platform.TargetNumberBytes:], a.Opening)
		if a.Target != nil {
			b.admit(buf[:platform.TargetNumberBytes+n], a)
		} else {
			b.refuse(buf[platform.TargetNumberBytes:platform.TargetNumberBytes+n], a)
		}
	}
}

// admit sends an opening that has waited to its target.
func (b *Balancer) admit(datagram []byte, a placement.Admission) {
	b.metrics.count("admitted")
	platform.SetCookie(datagram[platform.TargetNumberBytes:], a.Target.Cookie)
	b.send(datagram, a.Target)
	if sampled(a.Key) {
		b.flowLog(a.Key).WithFields(log.Fields{
			"target": a.Target.Name, "dataCentre": a.Target.DataCentre, "waitedMs": a.Waited.Milliseconds(),
		}).Info("opened")
	}
}

// sendReleases sends on requests on open flows that have been held, in the order in which their
// packets came.
func (b *Balancer) sendReleases(releases []placement.Release) {
	if len(releases) == 0 {
		return // most packets, which need no buffer
	}
	var buf [platform.TargetNumberBytes + platform.MaxPacketBytes]byte
	for _, r := range releases {
		for _, packet := range r.Packets {
			n := copy(buf[platform.TargetNumberBytes:], packet)
			platform.SetCookie(buf[platform.TargetNumberBytes:], r.Target.Cookie)
			b.send(buf[:platform.TargetNumberBytes+n], r.Target)
		}
	}
}

func (b *Balancer) logReleases(releases []placement.Release) {
	for _, r := range releases {
		b.metrics.count("released")
		if r.Expired || sampled(r.Key) {
			b.flowLog(r.Key).WithFields(log.Fields{
				"target": r.Target.Name, "dataCentre": r.Target.DataCentre, "priority": r.Priority,
				"waitedMs": r.Waited.Milliseconds(), "expired": r.Expired,
			}).Info("held request sent on")
		}
	}
}

// refuse resets a flow whose opening has waited. It drops the opening if another host may
// have opened the flow: this host may have stood still since the decision.
func (b *Balancer) refuse(packet []byte, a placement.Admission) {
	b.metrics.countShed(a)
	line := b.flowLog(a.Key).WithFields(log.Fields{
		"reason": a.Reason, "priority": a.Priority, "waitedMs": a.Waited.Milliseconds(),
		"expectedMs": a.ExpectedWait.Milliseconds(),
	})
	var p platform.Packet
	if err := platform.Parse(packet, &p); err != nil {
		line.WithError(err).Error("waiting opening is malformed")
		return
	}
	if time.Now().After(a.ResetUntil) {
		b.metrics.count("droppedLate")
		line.Info("opening dropped")
		return
	}
	b.sendReset(&p)
	line.Info("reset")
}

// logShortage logs the begin or end of a time in which openings of a service wait.
func logShortage(s placement.Shortage) {
	line := log.WithFields(log.Fields{
		"service": s.Service, "slots": s.Slots, "limit": s.Limit, "borrowed": s.Borrowed, "usualMs": s.Usual.Milliseconds(),
	})
	if s.Begins {
		line.Warn("service short of slots")
		return
	}
	line.WithField("lastedMs", s.Lasted.Milliseconds()).Info("service no longer short of slots")
}
