package balance

import (
	"math/rand/v2"
	"time"

	"github.com/cornelbay/cornelbay"
)

// maxScannedTargets is the number of targets with room that are compared for one pick.
const maxScannedTargets = 16

// latencyWeight is the load, in attempts per slot, that a difference of 1 in the logarithm
// of the latency counts as. Larger differences count as 1.
const latencyWeight = 0.05

// Pool is the set of targets of a service. It is not safe for concurrent use.
type Pool struct {
	// Rand selects the target at which the scan for a pick starts.
	Rand *rand.Rand

	targets []*Target
	byName  map[cornelbay.TargetName]*Target
	// meanLatency is the smoothed latency of answers in seconds, and meanLogLatency the
	// smoothed logarithm of the latency.
	meanLatency, meanLogLatency float64
	// meanDeviation is the smoothed absolute deviation of latencies from meanLatency, in
	// seconds.
	meanDeviation float64
}

// SetTargets sets the configured targets and the data centres that are out. The state of
// targets that remain is kept.
func (p *Pool) SetTargets(targets []cornelbay.Target, out map[cornelbay.DataCentreName]bool) {
	old := p.byName
	p.byName = make(map[cornelbay.TargetName]*Target, len(targets))
	p.targets = nil
	for _, c := range targets {
		t, ok := old[c.Name]
		if !ok || t.HTTP != c.HTTP {
			t = &Target{phase: cornelbay.Warm, limit: float64(c.SlotCount())}
		}
		t.Target, t.out = c, out[c.DataCentre]
		t.limit = min(t.limit, float64(c.SlotCount()))
		p.byName[c.Name] = t
		p.targets = append(p.targets, t)
	}
	for name, t := range old {
		if p.byName[name] != t {
			t.out = true
		}
	}
}

// SetState sets the agreed state of a target.
func (p *Pool) SetState(s cornelbay.TargetState) {
	t, ok := p.byName[s.Target]
	if !ok {
		return
	}
	if t.phase > s.Phase && s.Phase == cornelbay.Cold {
		// A target that has become cold, such as a restarted one, is judged afresh.
		t.samples, t.slow, t.limit = 0, false, float64(t.SlotCount())
	}
	t.phase, t.permille = s.Phase, s.Permille
}

// Targets returns the targets. The caller may change only Owner.
func (p *Pool) Targets() []*Target { return p.targets }

// Lookup returns the target with the given name.
func (p *Pool) Lookup(name cornelbay.TargetName) (*Target, bool) {
	t, ok := p.byName[name]
	return t, ok
}

// SetPeerLoad records the number of running attempts that another host announced for a
// target.
func (p *Pool) SetPeerLoad(now time.Time, from cornelbay.HostName, name cornelbay.TargetName, n int) {
	if t, ok := p.byName[name]; ok {
		t.setPeerLoad(now, from, n)
	}
}

// Tick drops the loads of other hosts that are too old.
func (p *Pool) Tick(now time.Time) {
	for _, t := range p.targets {
		if len(t.peerLoads) > 0 {
			t.sumPeerLoads(now)
		}
	}
}

// Pick returns the target with the lowest score, by load and latency, of those scanned
// that have room, or nil if none has. It never returns avoid. Extra allows that many
// attempts above the slots of each target, which queue there.
func (p *Pool) Pick(now time.Time, avoid *Target, extra int) *Target {
	n := len(p.targets)
	if n == 0 {
		return nil
	}
	var best *Target
	var bestScore float64
	at, seen := p.Rand.IntN(n), 0
	for range n {
		t := p.targets[at]
		if at++; at == n {
			at = 0
		}
		if t == avoid || t.room(now, extra) <= 0 || !p.admissible(now, t) {
			continue
		}
		if s := p.score(now, t); best == nil || s < bestScore {
			best, bestScore = t, s
		}
		if seen++; seen == maxScannedTargets {
			break
		}
	}
	return best
}

// admissible limits a slow target to one attempt at a time, at intervals of at least
// ProbationInterval.
func (p *Pool) admissible(now time.Time, t *Target) bool {
	t.updateSlow(p.meanLogLatency)
	return !t.slow || (t.InFlight == 0 && now.Sub(t.lastPicked) >= ProbationInterval)
}

// score is lower for targets with less load and latency.
func (p *Pool) score(now time.Time, t *Target) float64 {
	load := float64(t.load(now)) / float64(t.SlotCount())
	if t.samples < minSamples {
		return load
	}
	// A fast target is preferred among equally loaded ones, but noise in the
	// latency must not outweigh a slot.
	return load + latencyWeight*max(-1, min(1, t.logLatency-p.meanLogLatency))
}

// End records the result of an attempt to one of the pool's targets.
func (p *Pool) End(now time.Time, t *Target, r Result, latency, retryAfter time.Duration) {
	t.End(now, r, latency, retryAfter)
	if r != Served {
		return
	}
	s := latency.Seconds()
	if p.meanLatency == 0 {
		p.meanLatency, p.meanDeviation, p.meanLogLatency = s, s/2, logSeconds(latency)
	}
	diff := s - p.meanLatency
	// gain is the weight of a new sample in the averages of the pool.
	const gain = 0.02
	p.meanLatency += gain * diff
	p.meanLogLatency += gain * (logSeconds(latency) - p.meanLogLatency)
	p.meanDeviation += gain * (max(diff, -diff) - p.meanDeviation)
}

// Latency returns the mean latency of the pool's answers.
func (p *Pool) Latency() time.Duration { return time.Duration(p.meanLatency * float64(time.Second)) }

// Deviation returns the mean absolute deviation of latencies from Latency.
func (p *Pool) Deviation() time.Duration {
	return time.Duration(p.meanDeviation * float64(time.Second))
}

// Capacity returns the number of attempts that this host may have running at once now, at
// all targets that are not slow, at least 1.
func (p *Pool) Capacity(now time.Time) int {
	n := 0
	for _, t := range p.targets {
		if c := t.capacity(now, 0); c > 0 && !t.slow {
			n += c
		}
	}
	return max(1, n)
}

// AvailableIn returns the time until some target takes work again after a refusal, and
// whether any target is eligible at all.
func (p *Pool) AvailableIn(now time.Time) (time.Duration, bool) {
	least, ok := time.Duration(0), false
	for _, t := range p.targets {
		if !t.Eligible() {
			continue
		}
		if wait := max(0, t.heldUntil.Sub(now)); !ok || wait < least {
			least, ok = wait, true
		}
	}
	return least, ok
}
