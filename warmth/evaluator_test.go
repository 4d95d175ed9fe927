package warmth

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cornelbay/cornelbay"
)

// Use a fixed seed for generated inputs unless the command line sets one.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// simulation runs the evaluators of several hosts on a virtual clock over one service.
type simulation struct {
	now        time.Time
	service    cornelbay.Service
	out        map[cornelbay.DataCentreName]bool
	evaluators []*Evaluator
	// probe returns the result of a probe, and traffic the signals that each host observes
	// in a second.
	probe   func(t cornelbay.TargetName) Signal
	traffic func(t cornelbay.TargetName) []Signal
}

func newSimulation(hosts, targets int) *simulation {
	sim := &simulation{now: epoch, out: map[cornelbay.DataCentreName]bool{}}
	sim.service.Name = "statut"
	for i := range targets {
		sim.addTarget(i)
	}
	sim.probe = func(cornelbay.TargetName) Signal { return Signal{Kind: ProbeOK, Value: 2} }
	for range hosts {
		sim.join()
	}
	return sim
}

func (sim *simulation) addTarget(i int) {
	dc := cornelbay.DataCentreName(fmt.Sprintf("dc-%d", i%2))
	sim.service.Targets = append(sim.service.Targets, cornelbay.Target{Name: nameOf(i), DataCentre: dc})
}

func (sim *simulation) join() {
	sim.evaluators = append(sim.evaluators, &Evaluator{Self: cornelbay.HostName(fmt.Sprint("host-", len(sim.evaluators)))})
	var names []cornelbay.HostName
	for _, ev := range sim.evaluators {
		names = append(names, ev.Self)
	}
	for _, ev := range sim.evaluators {
		ev.SetHosts(names)
	}
	sim.configure()
}

func (sim *simulation) configure() {
	for _, ev := range sim.evaluators {
		out := map[cornelbay.DataCentreName]bool{}
		for dc, is := range sim.out {
			out[dc] = is
		}
		ev.SetServices(sim.now, []cornelbay.Service{sim.service}, out)
	}
}

func (sim *simulation) run(seconds int) {
	for i := range seconds * 10 {
		for _, ev := range sim.evaluators {
			if i%10 == 0 && sim.traffic != nil {
				for _, t := range sim.service.Targets {
					sim.observe(ev, t.Name, sim.traffic(t.Name)...)
				}
			}
			for _, e := range ev.Tick(sim.now) {
				sim.deliver(ev, e)
			}
		}
		sim.now = sim.now.Add(100 * time.Millisecond)
	}
}

func (sim *simulation) observe(ev *Evaluator, t cornelbay.TargetName, signals ...Signal) {
	for _, s := range signals {
		s.Target = t
		ev.Observe(sim.now, s)
	}
}

func (sim *simulation) deliver(from *Evaluator, e cornelbay.Effect) {
	switch e := e.(type) {
	case Probe:
		sim.observe(from, e.Target, sim.probe(e.Target))
	case cornelbay.Send:
		for _, ev := range sim.evaluators {
			if ev.Self == e.To {
				ev.Receive(sim.now, from.Self, e.Message)
			}
		}
	}
}

func nameOf(i int) cornelbay.TargetName { return cornelbay.TargetName(fmt.Sprintf("t-%02d", i)) }

// states returns the state of a target at every evaluator.
func (sim *simulation) states(t cornelbay.TargetName) []cornelbay.TargetState {
	var out []cornelbay.TargetState
	for _, ev := range sim.evaluators {
		out = append(out, ev.state(ev.targets[t]))
	}
	return out
}

func repeat(n int, s Signal) []Signal {
	out := make([]Signal, n)
	for i := range out {
		out[i] = s
	}
	return out
}

// onFirst gives the first target the given signals and the others fast answers.
func onFirst(first ...Signal) func(cornelbay.TargetName) []Signal {
	return func(t cornelbay.TargetName) []Signal {
		if t == nameOf(0) {
			return first
		}
		return repeat(10, Signal{Kind: AnswerOK, Value: 5})
	}
}

// TestMisleadingSignals checks, for each kind of misleading signal, the phases that the
// first of six targets and the others reach within some seconds at all of six hosts.
func TestMisleadingSignals(t *testing.T) {
	healthy := repeat(10, Signal{Kind: AnswerOK, Value: 5})
	failed := func(only bool) func(cornelbay.TargetName) Signal {
		return func(t cornelbay.TargetName) Signal {
			if t == nameOf(0) || !only {
				return Signal{Kind: ProbeFailed}
			}
			return Signal{Kind: ProbeOK, Value: 2}
		}
	}
	slowProbe := func(t cornelbay.TargetName) Signal {
		if t == nameOf(0) {
			return Signal{Kind: ProbeOK, Value: 20}
		}
		return Signal{Kind: ProbeOK, Value: 2}
	}
	all := func(s ...Signal) func(cornelbay.TargetName) []Signal {
		return func(cornelbay.TargetName) []Signal { return s }
	}
	tests := []struct {
		name    string
		traffic func(cornelbay.TargetName) []Signal
		probe   func(cornelbay.TargetName) Signal
		seconds int
		first   cornelbay.TargetPhase
		rest    cornelbay.TargetPhase
	}{
		{"all healthy", onFirst(healthy...), nil, 20, cornelbay.Warm, cornelbay.Warm},
		{"cold though probes are healthy: five times slower", onFirst(repeat(10, Signal{Kind: AnswerOK, Value: 25})...), nil, 4, cornelbay.Cold, cornelbay.Warm},
		{"cold though probes are healthy: sheds", onFirst(repeat(5, Signal{Kind: Shed})...), nil, 4, cornelbay.Cold, cornelbay.Warm},
		{"cold though probes are healthy: openings retransmitted", onFirst(repeat(5, Signal{Kind: OpeningRetransmitted})...), nil, 4, cornelbay.Cold, cornelbay.Warm},
		{"healthy probes do not warm a target that sheds", onFirst(repeat(5, Signal{Kind: Shed})...), nil, 60, cornelbay.Cold, cornelbay.Warm},
		{"failed probes do not remove a target with good traffic", onFirst(healthy...), failed(true), 30, cornelbay.Warm, cornelbay.Warm},
		{"dead", onFirst(repeat(5, Signal{Kind: AnswerFailed})...), failed(true), 10, cornelbay.Gone, cornelbay.Warm},
		{"all probes fail without traffic", nil, failed(false), 30, cornelbay.Warm, cornelbay.Warm},
		{"all fail in every way", all(repeat(5, Signal{Kind: AnswerFailed})...), failed(false), 30, cornelbay.Warm, cornelbay.Warm},
		{"slow probes against good traffic", onFirst(healthy...), slowProbe, 30, cornelbay.Warm, cornelbay.Warm},
		{"slow probes without traffic", nil, slowProbe, 20, cornelbay.Cold, cornelbay.Warm},
		{"a few failures among many answers", onFirst(append(repeat(4, Signal{Kind: AnswerFailed}), healthy...)...), nil, 30, cornelbay.Warm, cornelbay.Warm},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(6, 6)
			sim.traffic = onFirst(healthy...)
			sim.run(15)
			sim.traffic = tt.traffic
			if tt.probe != nil {
				sim.probe = tt.probe
			}
			sim.run(tt.seconds)
			for i := range 6 {
				want := tt.rest
				if i == 0 {
					want = tt.first
				}
				for _, s := range sim.states(nameOf(i)) {
					is.Equal(s.Phase, want)
				}
			}
		})
	}
}

func TestNewTargetRampsUpOnEvidence(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(6, 6)
	sim.traffic = func(cornelbay.TargetName) []Signal { return repeat(10, Signal{Kind: AnswerOK, Value: 5}) }
	sim.run(15)
	sim.addTarget(6)
	sim.configure()
	last := uint16(0)
	for range 30 {
		for _, s := range sim.states(nameOf(6)) {
			is.True(s.Permille <= 1000)
		}
		s := sim.states(nameOf(6))[0]
		is.True(s.Permille >= last) // the level never falls
		last = s.Permille
		sim.run(1)
	}
	for _, s := range sim.states(nameOf(6)) {
		is.Equal(s.Phase, cornelbay.Warm)
	}
	sim.addTarget(7)
	sim.probe = func(t cornelbay.TargetName) Signal { return Signal{Kind: ProbeFailed} }
	sim.traffic = nil
	sim.configure()
	sim.run(30)
	for _, s := range sim.states(nameOf(7)) {
		is.True(s.Permille <= levels[0]) // no ramp-up without evidence
	}
}

func TestConfigurationTakesEffectAtOnce(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(3, 6)
	sim.run(15)
	sim.service.Targets[1].Drain = true
	sim.out["dc-0"] = true
	sim.configure()
	for i, want := range []cornelbay.TargetPhase{cornelbay.Gone, cornelbay.Draining, cornelbay.Gone, cornelbay.Warm} {
		for _, s := range sim.states(nameOf(i)) {
			is.Equal(s.Phase, want)
			is.Equal(s.Permille == 0, want >= cornelbay.Draining)
		}
	}
	sim.run(5)
	sim.out["dc-0"] = false
	sim.configure()
	for _, s := range sim.states(nameOf(0)) {
		is.Equal(s.Phase, cornelbay.Cold) // targets of a data centre that returns are cold
	}
}

func TestLateHostLearnsFromPeers(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(5, 6)
	sim.traffic = onFirst(repeat(5, Signal{Kind: Shed})...)
	sim.run(20)
	sim.traffic = nil // the new host observes no traffic
	sim.probe = func(t cornelbay.TargetName) Signal { return Signal{Kind: ProbeOK} }
	sim.join()
	sim.run(4)
	s := sim.states(nameOf(0))
	is.True(s[5].Permille < cornelbay.FullPermille)
	is.Equal(sim.states(nameOf(1))[5].Phase, cornelbay.Warm)
}

// TestServiceAlwaysHasATarget checks that no sequence of signals leaves a service without
// a target.
func TestServiceAlwaysHasATarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.IntRange(1, 4).Draw(t, "hosts"), rapid.IntRange(1, 5).Draw(t, "targets"))
		signal := rapid.Custom(func(t *rapid.T) Signal {
			return Signal{
				Kind:  SignalKind(rapid.IntRange(int(ProbeOK), int(LoadReported)).Draw(t, "kind")),
				Value: rapid.Float64Range(0, 1000).Draw(t, "value"),
			}
		})
		for range rapid.IntRange(1, 8).Draw(t, "phases") {
			signals := rapid.MapOf(rapid.IntRange(0, 4), rapid.SliceOfN(signal, 0, 12)).Draw(t, "signals")
			probes := rapid.MapOf(rapid.IntRange(0, 4), signal).Draw(t, "probes")
			sim.traffic = func(t cornelbay.TargetName) []Signal {
				var i int
				_, _ = fmt.Sscanf(string(t), "t-%d", &i) // names are of this form
				return signals[i]
			}
			sim.probe = func(t cornelbay.TargetName) Signal {
				var i int
				_, _ = fmt.Sscanf(string(t), "t-%d", &i) // names are of this form
				return probes[i]
			}
			sim.run(rapid.IntRange(1, 10).Draw(t, "seconds"))
			for _, ev := range sim.evaluators {
				total := 0
				for _, s := range ev.States(sim.now) {
					total += int(s.Permille)
				}
				if total == 0 {
					t.Fatalf("%s has no target with a share", ev.Self)
				}
			}
		}
	})
}

func TestProbesAreBounded(t *testing.T) {
	is := is.New(t)
	ev := &Evaluator{Self: "a"}
	sim := newSimulation(0, 400)
	sim.evaluators = []*Evaluator{ev}
	ev.SetHosts([]cornelbay.HostName{"a"})
	sim.configure()
	seen := map[cornelbay.TargetName]bool{}
	probes := 0
	sim.probe = func(t cornelbay.TargetName) Signal {
		seen[t] = true
		probes++
		return Signal{Kind: ProbeOK}
	}
	sim.run(30)
	is.True(probes <= 31*maxProbesPerSecond)
	is.Equal(len(seen), 400) // each target is probed
}
