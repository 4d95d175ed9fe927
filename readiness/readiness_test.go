package readiness

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cornelbay/cornelbay"
)

var start = time.Unix(1_700_000_000, 0)

func ExampleDecider() {
	var d Decider
	now := start
	others := Others{HeardAt: now, WellAt: now}
	now = now.Add(100 * time.Millisecond)
	// Callers are served.
	d.Decide(now, Evidence{Own: Census{1, 1, 0}, DataCentre: Census{4, 4, 0}, Others: others})
	fmt.Println(d.Reason())
	// No host reaches targets, and no other data centre is heard any more.
	for range 2 {
		now = now.Add(silentTime)
		d.Decide(now, Evidence{Own: Census{1, 0, 1}, DataCentre: Census{4, 0, 4}, Others: others})
	}
	fmt.Println(d.Reason())
	// The others are heard again.
	now = now.Add(hysteresis)
	d.Decide(now, Evidence{Own: Census{1, 0, 0}, DataCentre: Census{4, 0, 0}, Others: Others{HeardAt: now}})
	fmt.Println(d.Reason())
	// Output:
	// serving
	// noTargets
	// serving
}

func ExampleReach() {
	var r Reach
	fmt.Println(r.Census(start))
	r.RecordAnswered(start)
	fmt.Println(r.Census(start))
	r.RecordUnreached(start.Add(memory))
	fmt.Println(r.Census(start.Add(memory)))
	// Output:
	// {1 0 0}
	// {1 1 0}
	// {1 0 1}
}

// span is a time in which what a host is told does not change: its own census and that of its data
// centre, which is empty if its neighbours are not heard, and whether another data centre is heard
// and well.
type span struct {
	ms              int
	own, dataCentre Census
	heard, well     bool
}

// play runs spans through a decider in steps of 50 ms, and returns what it decided after each.
func play(spans []span) (reasons []Reason) {
	var d Decider
	var others Others
	now := start
	for _, s := range spans {
		for end := now.Add(time.Duration(s.ms) * time.Millisecond); now.Before(end); now = now.Add(50 * time.Millisecond) {
			if s.heard {
				others.HeardAt = now
			}
			if s.well {
				others.WellAt = now
			}
			d.Decide(now, Evidence{Own: s.own, DataCentre: s.dataCentre, Others: others})
		}
		reasons = append(reasons, d.Reason())
	}
	return reasons
}

// TestDecide guards against callers that are kept at a data centre that can't serve them, and
// against withdrawals that serve none of them better.
func TestDecide(t *testing.T) {
	able, unable, untold := Census{1, 1, 0}, Census{1, 0, 1}, Census{1, 0, 0}
	all, none, few, unheard := Census{8, 8, 0}, Census{8, 0, 8}, Census{3, 3, 0}, Census{}
	calm := span{2000, able, all, true, true}
	for _, tc := range []struct {
		name  string
		spans []span
		want  []Reason
	}{
		{
			"emptied and cut off, then healed",
			[]span{calm, {500, unable, Census{8, 1, 7}, false, false}, {7000, untold, Census{8, 0, 0}, false, false}, {100, untold, Census{8, 0, 0}, true, false}},
			[]Reason{Serving, NoTargets, NoTargets, Serving},
		},
		{
			"cut off without an opening of its own: it follows its neighbours",
			[]span{calm, {500, untold, Census{8, 1, 4}, false, false}},
			[]Reason{Serving, NoTargets},
		},
		{"alone cut off from all hosts and targets", []span{calm, {500, unable, unheard, false, false}}, []Reason{Serving, NoTargets}},
		{"the only data centre, with all targets dead", []span{{2000, able, all, false, false}, {9000, unable, none, false, false}}, []Reason{Serving, Serving}},
		{"cut off, with targets of its own", []span{calm, {20000, able, Census{8, 6, 2}, false, false}}, []Reason{Serving, Serving}},
		{"a moment without answers", []span{calm, {250, unable, none, false, false}, calm}, []Reason{Serving, Serving, Serving}},
		{
			"all targets are dead, and the others find some again first",
			[]span{calm, {4000, unable, none, true, false}, {1000, unable, none, true, true}, calm},
			[]Reason{Serving, Serving, Serving, Serving},
		},
		{
			"the others reach targets: it returns in time to find out by openings",
			[]span{calm, {1000, unable, none, true, true}, {5000, untold, Census{8, 0, 0}, true, true}},
			[]Reason{Serving, NoTargets, Serving},
		},
		{"most hosts are dead, then back", []span{calm, {1000, able, few, true, true}, calm}, []Reason{Serving, Minority, Serving}},
		{
			"most hosts are dead, the one that adds up among them",
			[]span{calm, {2000, able, unheard, true, true}, {1000, able, few, true, true}},
			[]Reason{Serving, Serving, Minority},
		},
		{"half of the hosts are dead", []span{calm, {9000, able, Census{4, 4, 0}, true, true}}, []Reason{Serving, Serving}},
		{
			"most hosts are dead, and the other data centres are silent or not well",
			[]span{calm, {5000, able, few, false, false}, {5000, able, few, true, false}},
			[]Reason{Serving, Serving, Serving},
		},
		{"most hosts were removed for good", []span{calm, {16000, able, few, true, true}}, []Reason{Serving, Serving}},
		{"the neighbours are not heard", []span{calm, {5000, able, unheard, true, true}}, []Reason{Serving, Serving}},
	} {
		t.Run(tc.name, func(t *testing.T) { is.New(t).Equal(play(tc.spans), tc.want) })
	}
}

// TestNeverAllWithdrawn lets data centres fail in any order, each hearing the others except in a
// cut: whenever one has been able to serve for a while, not all are withdrawn, they never all
// withdraw in favour of each other, and none changes more often than routers follow.
func TestNeverAllWithdrawn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 4).Draw(t, "dataCentres")
		deciders, others := make([]Decider, n), make([]Others, n)
		changed, ableSince := make([]time.Time, n), make([]time.Time, n)
		now := start
		for range rapid.IntRange(1, 12).Draw(t, "phases") {
			censuses, cut := make([]Census, n), make([]bool, n)
			for i := range n {
				alive := rapid.IntRange(1, 9).Draw(t, "alive")
				unable := rapid.IntRange(0, alive).Draw(t, "unable")
				censuses[i], cut[i] = Census{alive, alive - unable, unable}, rapid.Bool().Draw(t, "cut")
			}
			for range rapid.IntRange(1, 100).Draw(t, "steps") {
				now = now.Add(50 * time.Millisecond)
				ready, serving, minorities := false, false, 0
				for i := range n {
					for j := range n {
						if i == j || cut[i] || cut[j] {
							continue
						}
						others[i].Merge(Others{HeardAt: now})
						if deciders[j].Well() {
							others[i].Merge(Others{WellAt: now})
						}
					}
					c := censuses[i]
					if deciders[i].Reason() != Serving {
						c.Able, c.Unable = 0, 0 // no openings tell
					}
					if deciders[i].Decide(now, Evidence{Own: Census{1, 0, 0}, DataCentre: c, Others: others[i]}) {
						if !changed[i].IsZero() && now.Sub(changed[i]) < hysteresis {
							t.Fatalf("data centre %d changed twice within %s", i, now.Sub(changed[i]))
						}
						changed[i] = now
					}
					since(&ableSince[i], now, !cut[i] && !censuses[i].mostUnable() && deciders[i].minoritySince.IsZero())
					// A data centre that has withdrawn finds out after cutOffTime at the latest.
					serving = serving || lasts(now, ableSince[i], cutOffTime+hysteresis)
					ready = ready || deciders[i].Reason() == Serving
					if deciders[i].Reason() == Minority {
						minorities++
					}
				}
				if serving && !ready || minorities == n {
					t.Fatalf("all data centres are withdrawn; one can serve: %v, in favour of each other: %v", serving, minorities == n)
				}
			}
		}
	})
}

// TestTally guards against censuses that count hosts that are no longer heard, and against a new
// host at the top of the tree that takes those that have not reported to it yet for dead.
func TestTally(t *testing.T) {
	is := is.New(t)
	var tally Tally
	own := Census{1, 1, 0}
	_, adding := tally.Total(start, own, true)
	is.True(!adding)
	now := start
	for now.Before(start.Add(2 * freshFor)) {
		now = now.Add(freshFor / 4)
		tally.ReceiveBelow(now, "a", Census{3, 2, 1})
		tally.Total(now, own, true)
	}
	c, known := tally.Total(now, own, true)
	is.True(known)
	is.Equal(c, Census{4, 3, 1})
	c, known = tally.Total(now.Add(freshFor+time.Millisecond), own, true)
	is.True(!known) // it stood still
	is.Equal(c.Alive, 1)
	tally.ReceiveAbove(now, Census{9, 9, 0})
	c, known = tally.Total(now, own, false)
	is.True(known)
	is.Equal(c.Alive, 9)
	_, known = tally.Total(now.Add(freshFor+time.Millisecond), own, false)
	is.True(!known)
}

// TestAllTargetsDead guards against data centres that withdraw in favour of each other because each
// notices a moment before the others that all targets are dead. Hosts hear each other every 150 ms.
func TestAllTargetsDead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const hosts, step = 6, 10 * time.Millisecond
		var deciders [hosts]Decider
		var tallies [hosts]Tally
		var unableAt, beatAt [hosts]time.Time
		for i := range hosts {
			unableAt[i] = start.Add(time.Second + time.Duration(rapid.IntRange(0, 200).Draw(t, "unable"))*time.Millisecond)
			beatAt[i] = start.Add(time.Duration(rapid.IntRange(0, 150).Draw(t, "beat")) * time.Millisecond)
		}
		dataCentre := func(i int) int { return i % 2 }
		for now := start; now.Before(start.Add(4 * time.Second)); now = now.Add(step) {
			for i := range hosts {
				own := Census{1, 1, 0}
				if !now.Before(unableAt[i]) {
					own = Census{1, 0, 1}
				}
				e := Evidence{Own: own, Others: tallies[i].Others}
				if total, known := tallies[i].Total(now, own, true); known {
					e.DataCentre = total
				}
				deciders[i].Decide(now, e)
				if deciders[i].Reason() != Serving {
					t.Fatalf("host %d withdrew %s after the targets died", i, now.Sub(start)-time.Second)
				}
				if now.Before(beatAt[i]) {
					continue
				}
				beatAt[i] = now.Add(150 * time.Millisecond)
				for j := range hosts {
					switch {
					case dataCentre(j) != dataCentre(i):
						tallies[j].ReceiveOther(now, deciders[i].Well())
					case j != i:
						tallies[j].ReceiveBelow(now, cornelbay.HostName(fmt.Sprint(i)), own)
					}
				}
			}
		}
	})
}
