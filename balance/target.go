// Package balance picks the target of an attempt and limits what each target
// is given, from what this host knows of it.
package balance

import (
	"math"
	"time"

	"github.com/cornelbay/cornelbay"
)

// The times of a Target's limit.
const (
	// MinHoldOff and MaxHoldOff bound the pause after a refusal.
	MinHoldOff = 50 * time.Millisecond
	MaxHoldOff = time.Second
	// ProbationInterval is the time between two requests to a slow target.
	ProbationInterval = time.Second
	// PeerLoadLifetime is how long the news of another host counts.
	PeerLoadLifetime = 1500 * time.Millisecond
	// ReportLifetime is how long a target's own report counts.
	ReportLifetime = 200 * time.Millisecond
	// ExtraBackoff is how long a refusal above the slots, or beside an overdue
	// attempt, forbids more requests than that.
	ExtraBackoff = 10 * time.Second
)

const (
	// latencyGain is the weight of a new latency in the smoothed one.
	latencyGain = 0.2
	// logSlow above the logarithm of the pool's usual latency, a factor of 3,
	// marks a target as slow, until it is below logWell, a factor of 1.5.
	logSlow = 1.0986
	logWell = 0.4055
	// minSamples is the number of latencies before a target can be slow.
	minSamples = 4
	// limitStep is added to the limit, divided by it, for each answer.
	limitStep = 0.25
)

// Result is what an attempt showed of its target.
type Result uint8

// The results.
const (
	// Served attempts brought a whole answer.
	Served Result = iota
	// Shed attempts were refused by the target before running.
	Shed
	// Failed attempts brought no whole answer.
	Failed
	// Cancelled attempts tell nothing of their target.
	Cancelled
)

// Target is what a host knows of one target.
type Target struct {
	cornelbay.Target
	// Owner is true on the one host that may use all slots of the target, and
	// that alone feeds it while it is cold; others send one attempt at a time.
	Owner bool
	// InFlight counts the attempts of this host.
	InFlight int
	// Overdue counts those of them that take unusually long.
	Overdue int

	out      bool
	phase    cornelbay.TargetPhase
	permille uint16
	limit    float64
	// logLatency is the smoothed logarithm of latencies in seconds, so that a few
	// long ones weigh little.
	logLatency float64
	samples    int
	slow       bool
	holdOff    time.Duration
	held       time.Time
	noExtra    time.Time
	picked     time.Time
	news       map[cornelbay.HostName]news
	others     int
	report     int
	reported   time.Time
}

type news struct {
	count int
	at    time.Time
}

// Eligible reports whether the target may get new work at all.
func (t *Target) Eligible() bool {
	return !t.out && !t.Drain && t.phase != cornelbay.Draining && t.phase != cornelbay.Gone
}

// room returns how many more attempts the target takes from this host now.
func (t *Target) room(now time.Time, extra int) int {
	return t.capacity(now, extra) - t.load(now)
}

func (t *Target) capacity(now time.Time, extra int) int {
	switch {
	case !t.Eligible() || now.Before(t.held):
		return 0
	case t.phase == cornelbay.Cold:
		return t.coldCapacity(1)
	case t.phase == cornelbay.Warming:
		return t.coldCapacity(max(1, t.SlotCount()*int(t.permille)/cornelbay.FullPermille))
	case extra > 0 && now.After(t.noExtra) && int(t.limit) >= t.SlotCount():
		return t.SlotCount() + extra
	}
	return t.share()
}

// share is the limit of this host for a warm target.
func (t *Target) share() int {
	if t.Owner {
		return int(t.limit)
	}
	return 1
}

func (t *Target) coldCapacity(n int) int {
	if !t.Owner {
		return 0
	}
	return min(n, int(t.limit))
}

// load counts the attempts of all hosts. A report of more than is known is
// believed for a short time; a report of less never is, since it may lag or lie.
func (t *Target) load(now time.Time) int {
	n := t.InFlight + t.others
	if t.Overdue > 0 && t.phase == cornelbay.Warm && now.After(t.noExtra) {
		// An answer may be lost: one overdue attempt does not count, and what
		// comes of that shows whether it holds a slot.
		n--
	}
	if t.report > n && now.Sub(t.reported) < ReportLifetime {
		// One request at a time shows whether the report is true.
		return n + min(t.report-n, t.SlotCount()-1)
	}
	return n
}

// Begin counts an attempt that starts.
func (t *Target) Begin(now time.Time) {
	t.InFlight++
	t.picked = now
}

// End takes the result of an attempt.
func (t *Target) End(now time.Time, r Result, latency, retryAfter time.Duration) {
	switch r {
	case Served:
		t.Sample(latency)
		t.holdOff = 0
		t.limit = min(float64(t.SlotCount()), t.limit+limitStep/t.limit)
	case Shed:
		t.shed(now, retryAfter)
	case Failed:
		// A failure that came quickly tells nothing of the load.
		if logSeconds(latency) > t.logLatency {
			t.Sample(latency)
		}
	}
	t.InFlight--
}

// shed believes a refusal at once.
func (t *Target) shed(now time.Time, retryAfter time.Duration) {
	extra := t.InFlight > t.SlotCount()
	if extra || t.Overdue > 0 {
		t.noExtra = now.Add(ExtraBackoff)
	}
	if extra {
		return
	}
	t.limit = max(1, min(t.limit, float64(t.InFlight-1)))
	t.holdOff = min(MaxHoldOff, max(MinHoldOff, 2*t.holdOff))
	if until := now.Add(max(t.holdOff, min(retryAfter, MaxHoldOff))); until.After(t.held) {
		t.held = until
	}
}

// Sample takes a latency, or the age of an attempt that still runs.
func (t *Target) Sample(latency time.Duration) {
	l := logSeconds(latency)
	if t.samples == 0 {
		t.logLatency = l
	}
	t.samples++
	t.logLatency += latencyGain * (l - t.logLatency)
}

func logSeconds(d time.Duration) float64 {
	return math.Log(max(d, time.Microsecond).Seconds())
}

// judge marks the target as slow or well beside the usual latency of its pool.
func (t *Target) judge(usual float64) {
	switch above := t.logLatency - usual; {
	case t.samples < minSamples:
	case above > logSlow:
		t.slow = true
	case above < logWell:
		t.slow = false
	}
}

// SetReportedLoad takes the target's own word of its running requests.
func (t *Target) SetReportedLoad(now time.Time, n int) { t.report, t.reported = n, now }

func (t *Target) hear(now time.Time, from cornelbay.HostName, n int) {
	if t.news == nil {
		t.news = make(map[cornelbay.HostName]news)
	}
	t.news[from] = news{n, now}
	t.sum(now)
}

func (t *Target) sum(now time.Time) {
	t.others = 0
	for from, n := range t.news {
		if now.Sub(n.at) >= PeerLoadLifetime {
			delete(t.news, from)
			continue
		}
		t.others += n.count
	}
}
