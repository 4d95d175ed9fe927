package balancer

import (
	"github.com/apex/log"

	"github.com/cornelbay/cornelbay/placement"
	"github.com/cornelbay/cornelbay/platform"
)

// applyAdmissions sends openings that have waited to their targets, and resets those that
// are refused: no target has got them.
func (b *Balancer) applyAdmissions(admissions []placement.Admission) {
	var buf [platform.TargetNumberBytes + platform.MaxPacketBytes]byte
	for _, a := range admissions {
		packet := buf[platform.TargetNumberBytes:]
		n := copy(packet, a.Opening)
		if a.Target != nil {
			b.metrics.count("admitted")
			platform.SetCookie(packet, a.Target.Cookie)
			b.send(buf[:platform.TargetNumberBytes+n], a.Target)
			if sampled(a.Key) {
				b.flowLog(a.Key).WithFields(log.Fields{
					"target": a.Target.Name, "dataCentre": a.Target.DataCentre, "waitedMs": a.Waited.Milliseconds(),
				}).Info("opened")
			}
			continue
		}
		b.metrics.countShed(a)
		var p platform.Packet
		if err := platform.Parse(packet[:n], &p); err != nil {
			log.WithError(err).Error("waiting opening is malformed")
			continue
		}
		b.sendReset(&p)
		b.flowLog(a.Key).WithFields(log.Fields{
			"reason": a.Reason, "priority": a.Priority, "waitedMs": a.Waited.Milliseconds(),
			"expectedMs": a.ExpectedWait.Milliseconds(),
		}).Info("reset")
	}
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
