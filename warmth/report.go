package warmth

import (
	"time"

	"github.com/cornelbay/cornelbay"
)

// reportRepeats is how often a changed opinion is sent again.
const reportRepeats = 2

// report returns the opinions that are due: those that changed, again a few
// times, and those of targets that are not warm. In steady state there are none.
func (j *Evaluator) report(now time.Time) []cornelbay.Effect {
	if now.Before(j.nextReport) || len(j.hosts) < 2 {
		return nil
	}
	j.nextReport = now.Add(reportInterval)
	var m Reports
	for _, t := range j.sorted {
		if len(m.Reports) == maxReportsInMessage {
			break
		}
		if r, due := j.opinion(t); due {
			m.Reports = append(m.Reports, r)
		}
	}
	if len(m.Reports) == 0 {
		return nil
	}
	var out []cornelbay.Effect
	for _, h := range j.receivers() {
		out = append(out, cornelbay.Send{To: h, Message: m})
	}
	return out
}

func (j *Evaluator) opinion(t *target) (Report, bool) {
	r := Report{
		Target: t.Name, Level: uint8(t.level), Bad: t.evidence.bad > 0,
		Unreachable: t.evidence.probesFailed >= failedProbes,
	}
	if t.Drain || j.out[t.DataCentre] {
		return r, false
	}
	if t.told == (Report{}) {
		t.told = Report{Target: t.Name, Level: uint8(topLevel)}
	}
	if r != t.told {
		t.told, t.repeats = r, reportRepeats
		return r, true
	}
	if t.repeats > 0 {
		t.repeats--
		return r, true
	}
	return r, t.prober && (t.level < topLevel || r.Unreachable)
}

// receivers returns the next hosts in turn that opinions go to.
func (j *Evaluator) receivers() []cornelbay.HostName {
	var out []cornelbay.HostName
	for range j.hosts {
		j.reportFrom = (j.reportFrom + 1) % len(j.hosts)
		if h := j.hosts[j.reportFrom]; h != j.Self {
			out = append(out, h)
		}
		if len(out) == reportReceivers {
			break
		}
	}
	return out
}
