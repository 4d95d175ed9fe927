package warmth

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelbay/cornelbay"
)

// Times and limits of the evaluation.
const (
	// evaluationInterval is the length of a window of evidence, after which each target is
	// evaluated.
	evaluationInterval = time.Second
	// badWindowsUntilCold is the number of consecutive bad windows that make a target cold.
	badWindowsUntilCold = 2
	// minStepOnTraffic and minStepOnProbes are the minimum times at one level before the
	// next, by the kind of evidence available.
	minStepOnTraffic = 4 * time.Second
	minStepOnProbes  = 8 * time.Second
	// unreachableAfter is the number of consecutive failed probes from which a target
	// counts as unreachable by probes.
	unreachableAfter = 3
	// goodTrafficLifetime is how long good traffic outweighs failed probes.
	goodTrafficLifetime = 5 * time.Second
	// reportLifetime is how long another host's report counts.
	reportLifetime = 6 * time.Second
	// learnTime is the time after the first configuration in which this host also uses the
	// levels reported for targets that it probes itself; it always uses those reported for
	// other targets.
	learnTime = 10 * time.Second
	// probersPerTarget is the number of hosts that probe one target; topTwo, which selects
	// them, must agree.
	probersPerTarget    = 2
	probeInterval       = time.Second
	maxProbesPerSecond  = 20
	reportInterval      = 2 * time.Second
	reportFanout        = 5
	maxReportsInMessage = 20
)

// levels holds the share of its full load that a target may get at each level, in
// permille. A cold target has level 0, a warm one topLevel.
var levels = [...]uint16{100, 250, 500, cornelbay.FullPermille}

const topLevel = len(levels) - 1

// Evaluator keeps the evidence about targets and decides their levels. It is not safe for
// concurrent use.
type Evaluator struct {
	Self cornelbay.HostName

	services []cornelbay.Service
	out      map[cornelbay.DataCentreName]bool
	hosts    []cornelbay.HostName
	targets  map[cornelbay.TargetName]*target
	sorted   []*target
	started  time.Time

	nextWindow, nextReport, lastTick time.Time
	probeBudget                      float64
	nextProbe, nextReceiver          int
}

type target struct {
	cornelbay.Target
	service cornelbay.ServiceName
	level   int
	// levelSince is when the target entered its current level.
	levelSince time.Time
	// gone is true while the target is judged unreachable.
	gone bool
	// prober is true if this host is one of probers, the hosts that probe the target.
	prober      bool
	probers     []cornelbay.HostName
	probedAt    time.Time
	evidence    evidence
	peerReports map[cornelbay.HostName]peerReport
	lastSent    Report
	resends     int
}

type peerReport struct {
	Report
	at time.Time
}

// SetServices sets the services in force and the data centres that are out. A target that
// appears after the first configuration starts cold, and so do the targets of a data
// centre that returns, a target whose tunnel address has changed, and one that is no longer
// drained. Those of the first configuration count as warm until evidence or another host
// shows otherwise: either they have all been running, or they are all equally cold and
// share the load evenly.
func (ev *Evaluator) SetServices(now time.Time, services []cornelbay.Service, out map[cornelbay.DataCentreName]bool) {
	old := ev.targets
	ev.targets, ev.sorted = make(map[cornelbay.TargetName]*target), nil
	for _, s := range services {
		for _, t := range s.Targets {
			ev.add(now, s.Name, t, old[t.Name], ev.out[t.DataCentre] && !out[t.DataCentre])
		}
	}
	slices.SortFunc(ev.sorted, func(a, b *target) int { return strings.Compare(string(a.Name), string(b.Name)) })
	ev.services, ev.out = services, out
	if ev.started.IsZero() && len(services) > 0 {
		ev.started = now
	}
	ev.chooseProbers()
}

func (ev *Evaluator) add(now time.Time, service cornelbay.ServiceName, t cornelbay.Target, known *target, returned bool) {
	if known == nil || returned || known.Tunnel != t.Tunnel || (known.Drain && !t.Drain) {
		known = &target{levelSince: now, peerReports: make(map[cornelbay.HostName]peerReport)}
		if ev.started.IsZero() {
			known.level = topLevel
		}
	}
	known.Target, known.service = t, service
	ev.targets[t.Name] = known
	ev.sorted = append(ev.sorted, known)
}

// SetHosts sets the names of the live hosts.
func (ev *Evaluator) SetHosts(hosts []cornelbay.HostName) {
	ev.hosts = hosts
	ev.chooseProbers()
}

// chooseProbers selects the hosts that probe each target by rendezvous hashing.
func (ev *Evaluator) chooseProbers() {
	hosts := ev.hosts
	if len(hosts) == 0 {
		hosts = []cornelbay.HostName{ev.Self}
	}
	hashes := make([]uint64, len(hosts))
	for i, h := range hosts {
		hashes[i] = xxhash.Sum64String(string(h))
	}
	for _, t := range ev.sorted {
		t.probers = t.probers[:0]
		for _, i := range topTwo(hashes, xxhash.Sum64String(string(t.Name))) {
			t.probers = append(t.probers, hosts[i])
		}
		t.prober = slices.Contains(t.probers, ev.Self)
	}
}

// topTwo returns the indexes of the hosts with the highest scores for a target.
func topTwo(hosts []uint64, target uint64) []int {
	var first, second uint64
	indexes := make([]int, 0, probersPerTarget)
	for i, h := range hosts {
		score := mix(h ^ target)
		switch {
		case len(indexes) == 0 || score > first:
			indexes = append([]int{i}, indexes[:min(len(indexes), 1)]...)
			first, second = score, first
		case len(indexes) == 1:
			indexes, second = append(indexes, i), score
		case score > second:
			indexes[1], second = i, score
		}
	}
	return indexes
}

// mix spreads the bits of x over the whole word (the finalizer of MurmurHash3).
func mix(x uint64) uint64 {
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Observe records a signal.
func (ev *Evaluator) Observe(now time.Time, s Signal) {
	if t, ok := ev.targets[s.Target]; ok {
		t.evidence.add(now, s)
	}
}

// Receive handles a control message about targets from another host.
func (ev *Evaluator) Receive(now time.Time, from cornelbay.HostName, m cornelbay.Message) {
	reports, ok := m.(Reports)
	if !ok {
		return
	}
	for _, r := range reports.Reports {
		if t, ok := ev.targets[r.Target]; ok && int(r.Level) <= topLevel {
			t.peerReports[from] = peerReport{r, now}
		}
	}
}

// Tick returns the effects that are due at now.
func (ev *Evaluator) Tick(now time.Time) []cornelbay.Effect {
	effects := ev.probe(now)
	if !now.Before(ev.nextWindow) {
		ev.nextWindow = now.Add(evaluationInterval)
		ev.evaluate(now)
	}
	return append(effects, ev.report(now)...)
}

func (ev *Evaluator) probe(now time.Time) []cornelbay.Effect {
	if !ev.lastTick.IsZero() {
		ev.probeBudget += now.Sub(ev.lastTick).Seconds() * maxProbesPerSecond
	}
	ev.probeBudget = min(max(ev.probeBudget, 0), maxProbesPerSecond)
	ev.lastTick = now
	var effects []cornelbay.Effect
	for i := range ev.sorted {
		t := ev.sorted[(ev.nextProbe+i)%len(ev.sorted)]
		if !t.prober || t.Drain || ev.out[t.DataCentre] || now.Sub(t.probedAt) < probeInterval {
			continue
		}
		if ev.probeBudget < 1 {
			ev.nextProbe = (ev.nextProbe + i) % len(ev.sorted)
			break
		}
		ev.probeBudget--
		t.probedAt = now
		effects = append(effects, Probe{Target: t.Name, Address: t.HTTP})
	}
	return effects
}

// evaluate closes the current window and evaluates the evidence for every target.
func (ev *Evaluator) evaluate(now time.Time) {
	for at := 0; at < len(ev.services); at++ {
		ev.evaluateService(now, ev.services[at])
	}
}

// evaluateService evaluates the targets of one service, except those that are drained or
// whose data centre is out. When more than half of them look unreachable or bad at once,
// this host is the more likely cause. If they look unreachable, none is considered gone,
// and any that was comes back at level 0. If they look bad, all keep their level, unless
// there is only one target, which becomes cold.
func (ev *Evaluator) evaluateService(now time.Time, s cornelbay.Service) {
	var badTargets, unreachable, eligible []*target
	median := ev.medianProbe(s)
	for i := range s.Targets {
		t := ev.targets[s.Targets[i].Name]
		if t.Drain || ev.out[t.DataCentre] {
			continue
		}
		eligible = append(eligible, t)
		t.evidence.closeWindow(now, t.level == topLevel, median)
		if ev.shouldBeCold(now, t) {
			badTargets = append(badTargets, t)
		}
		if ev.isUnreachable(now, t) {
			unreachable = append(unreachable, t)
		}
	}
	if 2*len(unreachable) > len(eligible) {
		unreachable = nil
	}
	for _, t := range eligible {
		gone := slices.Contains(unreachable, t)
		if t.gone && !gone {
			t.level, t.levelSince = 0, now
		}
		t.gone = gone
	}
	if 2*len(badTargets) > len(eligible) && len(eligible) > 1 {
		return
	}
	for _, t := range eligible {
		switch level, reported := ev.reportedLevel(now, t); {
		case slices.Contains(badTargets, t):
			t.level, t.levelSince = 0, now
		case reported && level < t.level && !t.evidence.recentlyGood(now):
			t.level, t.levelSince = level, now
		case t.prober && t.level > 0 && t.evidence.slowProbes >= slowWindows && !t.evidence.recentlyGood(now):
			t.level, t.levelSince = t.level-1, now
		case t.evidence.bad == 0:
			ev.rampUp(now, t)
		}
	}
}

// reportedLevel returns the highest level recently reported by the hosts that probe a
// target. A host that probes the target itself uses reports only during learnTime. A level
// lower than the host's own is adopted at once unless its traffic was recently good; a
// higher one is approached one level at a time, for targets that the host does not probe.
func (ev *Evaluator) reportedLevel(now time.Time, t *target) (level int, reported bool) {
	if t.prober && now.Sub(ev.started) > learnTime {
		return 0, false
	}
	for _, h := range t.probers {
		if o, ok := t.peerReports[h]; ok && now.Sub(o.at) < reportLifetime && o.at.After(t.levelSince) {
			level, reported = max(level, int(o.Level)), true
		}
	}
	return level, reported
}

// shouldBeCold reports whether a target should become cold: its traffic was bad in several
// consecutive windows at this host, at this host and another, or at two other hosts while
// this host has seen no recent good traffic.
func (ev *Evaluator) shouldBeCold(now time.Time, t *target) bool {
	votes := 0
	for _, o := range t.peerReports {
		if o.Bad && now.Sub(o.at) < reportLifetime {
			votes++
		}
	}
	return t.evidence.bad >= badWindowsUntilCold || (t.evidence.bad > 0 && votes > 0) || (votes >= 2 && !t.evidence.recentlyGood(now))
}

// isUnreachable reports whether a target appears dead. This host must have seen no recent
// good traffic to it, and either its own probes fail and bad traffic or another host's
// probes confirm it (or there is no other host), or the probes of probersPerTarget other
// hosts fail.
func (ev *Evaluator) isUnreachable(now time.Time, t *target) bool {
	if t.evidence.probesFailed < unreachableAfter || t.evidence.recentlyGood(now) {
		return ev.unreachableVotes(now, t) >= probersPerTarget && !t.evidence.recentlyGood(now)
	}
	return t.evidence.bad > 0 || ev.unreachableVotes(now, t) > 0 || len(ev.hosts) < 2
}

func (ev *Evaluator) unreachableVotes(now time.Time, t *target) int {
	n := 0
	for _, o := range t.peerReports {
		if o.Unreachable && now.Sub(o.at) < reportLifetime {
			n++
		}
	}
	return n
}

// rampUp raises a target by one level when there is evidence that it is warm.
func (ev *Evaluator) rampUp(now time.Time, t *target) {
	if t.level == topLevel || t.gone {
		return
	}
	age := now.Sub(t.levelSince)
	e := &t.evidence
	byTraffic := e.goodAt.After(t.levelSince) && age >= minStepOnTraffic
	byProbes := e.probesFailed == 0 && e.probeAt.After(t.levelSince) && age >= minStepOnProbes
	level, reported := ev.reportedLevel(now, t)
	switch {
	case (byTraffic || byProbes) && !e.probesForbid(t.level+1):
		t.level, t.levelSince = t.level+1, now
	case !t.prober && reported && level > t.level:
		t.level, t.levelSince = t.level+1, now
	}
}

// medianProbe returns the median probe latency of a service's targets.
func (ev *Evaluator) medianProbe(s cornelbay.Service) float64 {
	var all []float64
	for i := range s.Targets {
		if t := ev.targets[s.Targets[i].Name]; t.evidence.probeMs > 0 {
			all = append(all, t.evidence.probeMs)
		}
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[(len(all)-1)/2]
}

// States returns the state of every target, sorted by name.
func (ev *Evaluator) States(now time.Time) []cornelbay.TargetState {
	states := make([]cornelbay.TargetState, 0, len(ev.sorted))
	for _, t := range ev.sorted {
		states = append(states, ev.state(t))
	}
	return states
}

func (ev *Evaluator) state(t *target) cornelbay.TargetState {
	s := cornelbay.TargetState{Target: t.Name, Permille: levels[t.level]}
	switch {
	case ev.out[t.DataCentre], t.gone:
		return cornelbay.TargetState{Target: t.Name, Phase: cornelbay.Gone}
	case t.Drain:
		return cornelbay.TargetState{Target: t.Name, Phase: cornelbay.Draining}
	case t.level == topLevel:
		s.Phase = cornelbay.Warm
	case t.level > 0:
		s.Phase = cornelbay.Warming
	default:
		s.Phase = cornelbay.Cold
	}
	return s
}
