package balance

import (
	"math/rand/v2"
	"time"

	"github.com/cornelbay/cornelbay"
)

// scanTargets is how many targets with room are compared for one pick.
const scanTargets = 16

// latencyWeight is what a target's latency counts beside its load.
const latencyWeight = 0.05

// Pool is the set of targets of a service; one goroutine uses it.
type Pool struct {
	// Rand breaks ties between targets.
	Rand *rand.Rand

	targets []*Target
	byName  map[cornelbay.TargetName]*Target
	// latency is the smoothed latency of answers in seconds, and logLatency the
	// smoothed logarithm.
	latency, logLatency float64
	// deviation is the smoothed distance of latencies from the usual one.
	deviation float64
}

// SetTargets takes the targets in force and the data centres that are out;
// what is known of targets that stay is kept.
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

// SetState takes the agreed state of a target.
func (p *Pool) SetState(s cornelbay.TargetState) {
	t, ok := p.byName[s.Target]
	if !ok {
		return
	}
	if t.phase > s.Phase && s.Phase == cornelbay.Cold {
		// A restarted target has no past.
		t.samples, t.slow, t.limit = 0, false, float64(t.SlotCount())
	}
	t.phase, t.permille = s.Phase, s.Permille
}

// Targets returns the targets; the caller changes only Owner.
func (p *Pool) Targets() []*Target { return p.targets }

// Lookup returns the named target.
func (p *Pool) Lookup(name cornelbay.TargetName) (*Target, bool) {
	t, ok := p.byName[name]
	return t, ok
}

// SetPeerLoad takes another host's news of its attempts to a target.
func (p *Pool) SetPeerLoad(now time.Time, from cornelbay.HostName, name cornelbay.TargetName, n int) {
	if t, ok := p.byName[name]; ok {
		t.hear(now, from, n)
	}
}

// Tick forgets news that is too old.
func (p *Pool) Tick(now time.Time) {
	for _, t := range p.targets {
		if len(t.news) > 0 {
			t.sum(now)
		}
	}
}

// Pick returns the target with the most room, or nil when none has any. It
// prefers targets other than avoid; extra allows that many attempts above the
// slots of each target, which wait there.
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
		if seen++; seen == scanTargets {
			break
		}
	}
	return best
}

// admissible keeps a slow target to one request at a time, now and then.
func (p *Pool) admissible(now time.Time, t *Target) bool {
	t.judge(p.logLatency)
	return !t.slow || (t.InFlight == 0 && now.Sub(t.picked) >= ProbationInterval)
}

// score is low for targets that are little loaded and quick.
func (p *Pool) score(now time.Time, t *Target) float64 {
	load := float64(t.load(now)) / float64(t.SlotCount())
	if t.samples < minSamples {
		return load
	}
	// A quick target is preferred among equals, without letting the noise of
	// latencies outweigh a slot.
	return load + latencyWeight*max(-1, min(1, t.logLatency-p.logLatency))
}

// End takes the result of an attempt to one of the pool's targets.
func (p *Pool) End(now time.Time, t *Target, r Result, latency, retryAfter time.Duration) {
	t.End(now, r, latency, retryAfter)
	if r != Served {
		return
	}
	s := latency.Seconds()
	if p.latency == 0 {
		p.latency, p.deviation, p.logLatency = s, s/2, logSeconds(latency)
	}
	diff := s - p.latency
	const gain = 0.02
	p.latency += gain * diff
	p.logLatency += gain * (logSeconds(latency) - p.logLatency)
	p.deviation += gain * (max(diff, -diff) - p.deviation)
}

// Latency returns the usual latency of the pool's answers.
func (p *Pool) Latency() time.Duration { return time.Duration(p.latency * float64(time.Second)) }

// Deviation returns the usual distance of a latency from Latency.
func (p *Pool) Deviation() time.Duration { return time.Duration(p.deviation * float64(time.Second)) }

// Capacity returns the attempts that all targets take at once now, at least 1.
func (p *Pool) Capacity(now time.Time) int {
	n := 0
	for _, t := range p.targets {
		if c := t.capacity(now, 0); c > 0 && !t.slow {
			n += c
		}
	}
	return max(1, n)
}

// AvailableIn returns the time until some target takes work after its refusals, and
// whether any target may get work at all.
func (p *Pool) AvailableIn(now time.Time) (time.Duration, bool) {
	least, ok := time.Duration(0), false
	for _, t := range p.targets {
		if !t.Eligible() {
			continue
		}
		if wait := max(0, t.held.Sub(now)); !ok || wait < least {
			least, ok = wait, true
		}
	}
	return least, ok
}
