package warmth

import (
	"time"

	"github.com/cornelbay/cornelbay"
)

// reportResends is how often a changed report is sent again.
const reportResends = 2

// report returns the messages with the reports that are due: those that changed, which are
// resent reportResends times, and those of targets that this host probes and that are below
// the top level or fail its probes. There are none while all targets are warm and nothing
// changes. A message holds the first maxReportsInMessage of the targets that are due, by
// name; later ones are not reported while that many before them stay due.
func (ev *Evaluator) report(now time.Time) []cornelbay.Effect {
	if now.Before(ev.nextReport) || len(ev.hosts) < 2 {
		return nil
	}
	ev.nextReport = now.Add(reportInterval)
	var m Reports
	for _, t := range ev.sorted {
		if len(m.Reports) == maxReportsInMessage {
			break
		}
		if r, due := ev.ownReport(t); due {
			m.Reports = append(m.Reports, r)
		}
	}
	if len(m.Reports) == 0 {
		return nil
	}
	var effects []cornelbay.Effect
	for _, h := range ev.receivers() {
		effects = append(effects, cornelbay.Send{To: h, Message: m})
	}
	return effects
}

func (ev *Evaluator) ownReport(t *target) (Report, bool) {
	r := Report{
		Target: t.Name, Level: uint8(t.level), Bad: t.evidence.bad > 0,
		Unreachable: t.evidence.probesFailed >= unreachableAfter,
	}
	if t.Drain || ev.out[t.DataCentre] {
		return r, false
	}
	if t.lastSent == (Report{}) {
		t.lastSent = Report{Target: t.Name, Level: uint8(topLevel)}
	}
	if r != t.lastSent {
		t.lastSent, t.resends = r, reportResends
		return r, true
	}
	if t.resends > 0 {
		t.resends--
		return r, true
	}
	return r, t.prober && (t.level < topLevel || r.Unreachable)
}

// receivers returns the next hosts that reports are sent to, in round-robin order.
func (ev *Evaluator) receivers() []cornelbay.HostName {
	var next []cornelbay.HostName
	for range ev.hosts {
		ev.nextReceiver = (ev.nextReceiver + 1) % len(ev.hosts)
		if h := ev.hosts[ev.nextReceiver]; h != ev.Self {
			next = append(next, h)
		}
		if len(next) == reportFanout {
			break
		}
	}
	return next
}
