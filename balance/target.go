// Package balance selects the target of each request attempt and limits the attempts per
// target, based on what this host knows of it.
package balance

import (
	"math"
	"time"

	"github.com/cornelbay/cornelbay"
)

// Times that govern the limit of a Target.
const (
	// MinHoldOff and MaxHoldOff bound the pause after a refusal.
	MinHoldOff = 50 * time.Millisecond
	MaxHoldOff = time.Second
	// ProbationInterval is the minimum time between two attempts at a slow target.
	ProbationInterval = time.Second
	// PeerLoadLifetime is how long the load announced by another host counts.
	PeerLoadLifetime = 1500 * time.Millisecond
	// ReportedLoadLifetime is how long a target's own report of its load counts.
	ReportedLoadLifetime = 200 * time.Millisecond
	// After a refusal while this host has more attempts running at the target than that
	// has slots, or an overdue one, the host sends no attempts above the slots and counts
	// overdue ones in full for ExtraBackoff.
	ExtraBackoff = 10 * time.Second
)

const (
	// latencyGain is the weight of a new sample in the smoothed latency.
	latencyGain = 0.2
	// A target becomes slow when the logarithm of its latency exceeds that of the pool by
	// slowLogRatio, a factor of 3, and recovers below recoveredLogRatio, a factor of 1.5.
	slowLogRatio      = 1.0986
	recoveredLogRatio = 0.4055
	// minSamples is the number of latency samples below which a target is not marked slow.
	minSamples = 4
	// limitStep, divided by the limit, is added to the limit on each answer.
	limitStep = 0.25
)

// Result is how an attempt ended.
type Result uint8

// The results of an attempt.
const (
	// Served attempts received a complete answer.
	Served Result = iota
	// Shed attempts were refused by the target before running; this is a refusal.
	Shed
	// Failed attempts received no complete answer.
	Failed
	// Cancelled attempts say nothing about their target.
	Cancelled
)

// Target is this host's state of one target.
type Target struct {
	cornelbay.Target
	// Owner is true on the one host that may use all slots of the target, and that alone
	// sends it attempts while it is cold or warming up. Other hosts send one attempt at a
	// time, and only while it is warm.
	Owner bool
	// InFlight counts the running attempts of this host.
	InFlight int
	// Overdue counts the running attempts that take unusually long.
	Overdue int

	out      bool
	phase    cornelbay.TargetPhase
	permille uint16
	limit    float64
	// logLatency is the smoothed logarithm of the latency in seconds, in which a few long
	// latencies weigh little.
	logLatency   float64
	samples      int
	slow         bool
	holdOff      time.Duration
	heldUntil    time.Time
	noExtraUntil time.Time
	lastPicked   time.Time
	peerLoads    map[cornelbay.HostName]peerLoad
	peerInFlight int
	reportedLoad int
	reportedAt   time.Time
}

type peerLoad struct {
	count int
	at    time.Time
}

// Eligible reports whether the target may get new work at all.
func (t *Target) Eligible() bool {
	return !t.out && !t.Drain && t.phase != cornelbay.Draining && t.phase != cornelbay.Gone
}

// room returns how many more attempts this host may send to the target now.
func (t *Target) room(now time.Time, extra int) int {
	return t.capacity(now, extra) - t.load(now)
}

func (t *Target) capacity(now time.Time, extra int) int {
	switch {
	case !t.Eligible() || now.Before(t.heldUntil):
		return 0
	case t.phase == cornelbay.Cold:
		return t.coldCapacity(1)
	case t.phase == cornelbay.Warming:
		return t.coldCapacity(max(1, t.SlotCount()*int(t.permille)/cornelbay.FullPermille))
	case extra > 0 && now.After(t.noExtraUntil) && int(t.limit) >= t.SlotCount():
		return t.SlotCount() + extra
	}
	return t.share()
}

// share returns this host's limit for a warm target.
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

// load counts the attempts of all hosts. A target's report of a higher load is used for a
// short time; one of a lower load never is, since it may be delayed or wrong.
func (t *Target) load(now time.Time) int {
	n := t.InFlight + t.peerInFlight
	if t.Overdue > 0 && t.phase == cornelbay.Warm && now.After(t.noExtraUntil) {
		// An answer may be lost: one overdue attempt is not counted, and the result
		// of the next attempt shows whether it still holds a slot.
		n--
	}
	if t.reportedLoad > n && now.Sub(t.reportedAt) < ReportedLoadLifetime {
		// If no attempt is counted, leave room for one, which shows whether the
		// report is true. Otherwise the report may fill all slots.
		return n + min(t.reportedLoad-n, t.SlotCount()-1)
	}
	return n
}

// Begin records the start of an attempt.
func (t *Target) Begin(now time.Time) {
	t.InFlight++
	t.lastPicked = now
}

// End records the result of an attempt.
func (t *Target) End(now time.Time, r Result, latency, retryAfter time.Duration) {
	switch r {
	case Served:
		t.Sample(latency)
		t.holdOff = 0
		t.limit = min(float64(t.SlotCount()), t.limit+limitStep/t.limit)
	case Shed:
		t.shed(now, retryAfter)
	case Failed:
		// A fast failure says nothing about the load.
		if logSeconds(latency) > t.logLatency {
			t.Sample(latency)
		}
	}
	t.InFlight--
}

// shed reduces the limit and holds off new attempts after a refusal. A refusal above the
// slots only stops further attempts above them.
func (t *Target) shed(now time.Time, retryAfter time.Duration) {
	aboveSlots := t.InFlight > t.SlotCount()
	if aboveSlots || t.Overdue > 0 {
		t.noExtraUntil = now.Add(ExtraBackoff)
	}
	if aboveSlots {
		return
	}
	t.limit = max(1, min(t.limit, float64(t.InFlight-1)))
	t.holdOff = min(MaxHoldOff, max(MinHoldOff, 2*t.holdOff))
	if until := now.Add(max(t.holdOff, min(retryAfter, MaxHoldOff))); until.After(t.heldUntil) {
		t.heldUntil = until
	}
}

// Sample records a latency, or the age of an attempt that is still running.
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

// updateSlow updates the slow mark by comparing the target's latency with the mean of its
// pool.
func (t *Target) updateSlow(usual float64) {
	switch above := t.logLatency - usual; {
	case t.samples < minSamples:
	case above > slowLogRatio:
		t.slow = true
	case above < recoveredLogRatio:
		t.slow = false
	}
}

// SetReportedLoad records the target's own report of its running requests.
func (t *Target) SetReportedLoad(now time.Time, n int) { t.reportedLoad, t.reportedAt = n, now }

func (t *Target) setPeerLoad(now time.Time, from cornelbay.HostName, n int) {
	if t.peerLoads == nil {
		t.peerLoads = make(map[cornelbay.HostName]peerLoad)
	}
	t.peerLoads[from] = peerLoad{n, now}
	t.sumPeerLoads(now)
}

func (t *Target) sumPeerLoads(now time.Time) {
	t.peerInFlight = 0
	for from, n := range t.peerLoads {
		if now.Sub(n.at) >= PeerLoadLifetime {
			delete(t.peerLoads, from)
			continue
		}
		t.peerInFlight += n.count
	}
}
