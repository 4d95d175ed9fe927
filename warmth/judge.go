package warmth

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelbay/cornelbay"
)

// The times and limits of the judgement.
const (
	// windowTime is the time between two judgements of a target's evidence.
	windowTime = time.Second
	// badWindows is the number of bad windows in a row that make a target cold.
	badWindows = 2
	// riseOnTraffic and riseOnProbes are the least times at one step before the
	// next, by the evidence there is.
	riseOnTraffic = 4 * time.Second
	riseOnProbes  = 8 * time.Second
	// failedProbes is the number of failed probes in a row that count.
	failedProbes = 3
	// goodFor is how long good traffic outweighs failed probes.
	goodFor = 5 * time.Second
	// opinionFor is how long another host's opinion counts.
	opinionFor = 6 * time.Second
	// learnFor is how long after its start a host takes others' word at once.
	learnFor = 10 * time.Second
	// probers is the number of hosts that probe one target.
	probers             = 2
	probeInterval       = time.Second
	maxProbesPerSecond  = 20
	reportInterval      = 2 * time.Second
	reportReceivers     = 5
	maxReportsInMessage = 20
)

// levels are the steps of a target's share in thousandths.
var levels = [...]uint16{100, 250, 500, cornelbay.FullPermille}

const topLevel = len(levels) - 1

// Evaluator keeps the evidence about targets; one goroutine uses it.
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
	probeFrom, reportFrom            int
}

type target struct {
	cornelbay.Target
	service cornelbay.ServiceName
	level   int
	// since is when the level was taken, changed when others were told last.
	since    time.Time
	gone     bool
	prober   bool
	probers  []cornelbay.HostName
	probedAt time.Time
	evidence evidence
	opinions map[cornelbay.HostName]opinion
	told     Report
	repeats  int
}

type opinion struct {
	Report
	at time.Time
}

// SetServices takes the services in force and the data centres that are out. A
// target that comes later than the first configuration starts cold, and so do
// those of a data centre that returns. Those of the first configuration count
// as warm until evidence or another host tells otherwise: they have all run
// before, or are all equally cold and share evenly.
func (j *Evaluator) SetServices(now time.Time, services []cornelbay.Service, out map[cornelbay.DataCentreName]bool) {
	old := j.targets
	j.targets, j.sorted = make(map[cornelbay.TargetName]*target), nil
	for _, s := range services {
		for _, t := range s.Targets {
			j.add(now, s.Name, t, old[t.Name], j.out[t.DataCentre] && !out[t.DataCentre])
		}
	}
	slices.SortFunc(j.sorted, func(a, b *target) int { return strings.Compare(string(a.Name), string(b.Name)) })
	j.services, j.out = services, out
	if j.started.IsZero() && len(services) > 0 {
		j.started = now
	}
	j.chooseProbers()
}

func (j *Evaluator) add(now time.Time, service cornelbay.ServiceName, t cornelbay.Target, known *target, returned bool) {
	if known == nil || returned || known.Tunnel != t.Tunnel || (known.Drain && !t.Drain) {
		known = &target{since: now, opinions: make(map[cornelbay.HostName]opinion)}
		if j.started.IsZero() {
			known.level = topLevel
		}
	}
	known.Target, known.service = t, service
	j.targets[t.Name] = known
	j.sorted = append(j.sorted, known)
}

// SetHosts takes the names of the live hosts.
func (j *Evaluator) SetHosts(hosts []cornelbay.HostName) {
	j.hosts = hosts
	j.chooseProbers()
}

// chooseProbers picks by rendezvous which hosts probe each target.
func (j *Evaluator) chooseProbers() {
	hosts := j.hosts
	if len(hosts) == 0 {
		hosts = []cornelbay.HostName{j.Self}
	}
	hashes := make([]uint64, len(hosts))
	for i, h := range hosts {
		hashes[i] = xxhash.Sum64String(string(h))
	}
	for _, t := range j.sorted {
		t.probers = t.probers[:0]
		for _, i := range topTwo(hashes, xxhash.Sum64String(string(t.Name))) {
			t.probers = append(t.probers, hosts[i])
		}
		t.prober = slices.Contains(t.probers, j.Self)
	}
}

// topTwo returns the indexes of the hosts with the highest scores for a target.
func topTwo(hosts []uint64, target uint64) []int {
	var first, second uint64
	out := make([]int, 0, probers)
	for i, h := range hosts {
		score := mix(h ^ target)
		switch {
		case len(out) == 0 || score > first:
			out = append([]int{i}, out[:min(len(out), 1)]...)
			first, second = score, first
		case len(out) == 1:
			out, second = append(out, i), score
		case score > second:
			out[1], second = i, score
		}
	}
	return out
}

// mix spreads the bits of x over the whole word (the finalizer of MurmurHash3).
func mix(x uint64) uint64 {
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Observe takes a signal.
func (j *Evaluator) Observe(now time.Time, s Signal) {
	if t, ok := j.targets[s.Target]; ok {
		t.evidence.add(now, s)
	}
}

// Receive takes a control message about targets from another host.
func (j *Evaluator) Receive(now time.Time, from cornelbay.HostName, m cornelbay.Message) {
	reports, ok := m.(Reports)
	if !ok {
		return
	}
	for _, r := range reports.Reports {
		if t, ok := j.targets[r.Target]; ok && int(r.Level) <= topLevel {
			t.opinions[from] = opinion{r, now}
		}
	}
}

// Tick returns the effects that are due at now.
func (j *Evaluator) Tick(now time.Time) []cornelbay.Effect {
	out := j.probe(now)
	if !now.Before(j.nextWindow) {
		j.nextWindow = now.Add(windowTime)
		j.judge(now)
	}
	return append(out, j.report(now)...)
}

func (j *Evaluator) probe(now time.Time) []cornelbay.Effect {
	if !j.lastTick.IsZero() {
		j.probeBudget += now.Sub(j.lastTick).Seconds() * maxProbesPerSecond
	}
	j.probeBudget = min(max(j.probeBudget, 0), maxProbesPerSecond)
	j.lastTick = now
	var out []cornelbay.Effect
	for i := range j.sorted {
		t := j.sorted[(j.probeFrom+i)%len(j.sorted)]
		if !t.prober || t.Drain || j.out[t.DataCentre] || now.Sub(t.probedAt) < probeInterval {
			continue
		}
		if j.probeBudget < 1 {
			j.probeFrom = (j.probeFrom + i) % len(j.sorted)
			break
		}
		j.probeBudget--
		t.probedAt = now
		out = append(out, Probe{Target: t.Name, Address: t.HTTP})
	}
	return out
}

// judge weighs the evidence of the last window for every target.
func (j *Evaluator) judge(now time.Time) {
	for at := 0; at < len(j.services); at++ {
		j.judgeService(now, j.services[at])
	}
}

// judgeService judges the targets of one service. When more than half of them
// look bad at once, the observer is the likelier cause and all stay as they are.
func (j *Evaluator) judgeService(now time.Time, s cornelbay.Service) {
	var fell, lost, eligible []*target
	usual := j.usualProbe(s)
	for i := range s.Targets {
		t := j.targets[s.Targets[i].Name]
		if t.Drain || j.out[t.DataCentre] {
			continue
		}
		eligible = append(eligible, t)
		t.evidence.close(now, t.level == topLevel, usual)
		if j.looksBad(now, t) {
			fell = append(fell, t)
		}
		if j.looksGone(now, t) {
			lost = append(lost, t)
		}
	}
	if 2*len(lost) > len(eligible) {
		lost = nil
	}
	for _, t := range eligible {
		gone := slices.Contains(lost, t)
		if t.gone && !gone {
			t.level, t.since = 0, now
		}
		t.gone = gone
	}
	if 2*len(fell) > len(eligible) && len(eligible) > 1 {
		return
	}
	for _, t := range eligible {
		switch level, told := j.toldLevel(now, t); {
		case slices.Contains(fell, t):
			t.level, t.since = 0, now
		case told && level < t.level && !t.evidence.goodLately(now):
			t.level, t.since = level, now
		case t.prober && t.level > 0 && t.evidence.slowProbes >= slowWindows && !t.evidence.goodLately(now):
			t.level, t.since = t.level-1, now
		case t.evidence.bad == 0:
			j.rise(now, t)
		}
	}
}

// toldLevel returns the highest step that the hosts that probe a target lately
// gave it; a host that probes it itself goes by that only when it has just
// started.
func (j *Evaluator) toldLevel(now time.Time, t *target) (level int, told bool) {
	if t.prober && now.Sub(j.started) > learnFor {
		return 0, false
	}
	for _, h := range t.probers {
		if o, ok := t.opinions[h]; ok && now.Sub(o.at) < opinionFor && o.at.After(t.since) {
			level, told = max(level, int(o.Level)), true
		}
	}
	return level, told
}

// looksBad reports whether a target should be cold: its traffic went badly for
// some windows here, or here and at another host, or at two others.
func (j *Evaluator) looksBad(now time.Time, t *target) bool {
	votes := 0
	for _, o := range t.opinions {
		if o.Bad && now.Sub(o.at) < opinionFor {
			votes++
		}
	}
	return t.evidence.bad >= badWindows || (t.evidence.bad > 0 && votes > 0) || (votes >= 2 && !t.evidence.goodLately(now))
}

// looksGone reports whether a target seems dead: probes fail here, no traffic
// succeeds, and bad traffic or another host's probes agree.
func (j *Evaluator) looksGone(now time.Time, t *target) bool {
	if t.evidence.probesFailed < failedProbes || t.evidence.goodLately(now) {
		return j.othersLoseIt(now, t) >= probers && !t.evidence.goodLately(now)
	}
	return t.evidence.bad > 0 || j.othersLoseIt(now, t) > 0 || len(j.hosts) < 2
}

func (j *Evaluator) othersLoseIt(now time.Time, t *target) int {
	n := 0
	for _, o := range t.opinions {
		if o.Unreachable && now.Sub(o.at) < opinionFor {
			n++
		}
	}
	return n
}

// rise moves a target a step up when there is evidence of warmth.
func (j *Evaluator) rise(now time.Time, t *target) {
	if t.level == topLevel || t.gone {
		return
	}
	age := now.Sub(t.since)
	e := &t.evidence
	byTraffic := e.goodAt.After(t.since) && age >= riseOnTraffic
	byProbes := e.probesFailed == 0 && e.probeAt.After(t.since) && age >= riseOnProbes
	level, told := j.toldLevel(now, t)
	switch {
	case (byTraffic || byProbes) && !e.caps(t.level+1):
		t.level, t.since = t.level+1, now
	case !t.prober && told && level > t.level:
		t.level, t.since = t.level+1, now
	}
}

// usualProbe returns the median latency of the probes of a service's targets.
func (j *Evaluator) usualProbe(s cornelbay.Service) float64 {
	var all []float64
	for i := range s.Targets {
		if t := j.targets[s.Targets[i].Name]; t.evidence.probeMs > 0 {
			all = append(all, t.evidence.probeMs)
		}
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[(len(all)-1)/2]
}

// States returns the state of every target, by name.
func (j *Evaluator) States(now time.Time) []cornelbay.TargetState {
	out := make([]cornelbay.TargetState, 0, len(j.sorted))
	for _, t := range j.sorted {
		out = append(out, j.state(t))
	}
	return out
}

func (j *Evaluator) state(t *target) cornelbay.TargetState {
	s := cornelbay.TargetState{Target: t.Name, Permille: levels[t.level]}
	switch {
	case j.out[t.DataCentre], t.gone:
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
