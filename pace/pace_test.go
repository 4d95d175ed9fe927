package pace

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// TestLimitOfWholeTarget guards against a share of less than a slot that nobody uses, and
// against flows for slivers of a target.
func TestLimitOfWholeTarget(t *testing.T) {
	for _, c := range []struct{ share, want float64 }{
		{0, 0}, {0.04, 0}, {0.05, 1}, {0.5, 1}, {1, 2}, {2, 4}, {8, 16},
	} {
		is := is.New(t)
		var w Window
		is.Equal(w.Limit(c.share), c.want)
		w.Answered(start, 5*usual, usual, true)
		is.Equal(w.Limit(c.share), c.want) // a whole target keeps its limit
	}
}

// TestRejectionReducesWholeLimit guards against a host that keeps overrunning a target whose
// queue others fill, and against a limit that stays low.
func TestRejectionReducesWholeLimit(t *testing.T) {
	is := is.New(t)
	var w Window
	is.Equal(w.Limit(share), 2.0*share)
	w.Answered(start, usual, usual, true)
	for range 5 { // rejections at one time count once
		w.Rejected(start)
	}
	is.Equal(w.Limit(share), 1.0*share)
	is.Equal(w.State(), Whole)
	now := start
	for range 4 { // rounds
		now = now.Add(usual)
		for range int(w.Limit(share)) {
			w.Answered(now, usual, usual, true)
		}
	}
	is.Equal(w.Limit(share), 2.0*share)
}

// TestWholeTargetRampsInRounds guards against a full load on a target at once, and a ramp
// that takes longer than doubling each round.
func TestWholeTargetRampsInRounds(t *testing.T) {
	is := is.New(t)
	var w Window
	r := ramp(&w, &backEnd{slots: always(int(share)), work: always(usual), queue: 8}, time.Second)
	is.Equal(r.limit(0), 1.0)
	is.Equal(r.limit(usual), 2.0)
	is.Equal(r.limit(2*usual), 4.0)
	is.Equal(r.limit(3*usual), 8.0)
	is.Equal(r.whole, 4*usual)
	is.Equal(r.limit(4*usual), 16.0)
	is.Equal(r.late+r.refused, 0)
}

// TestWarmingTargetIsNotOverrun guards against more flows than a target that is still
// warming up sustains, and against too few, in its warm-up and after.
func TestWarmingTargetIsNotOverrun(t *testing.T) {
	for _, in := range []time.Duration{2 * time.Second, 10 * time.Second} {
		t.Run(in.String(), func(t *testing.T) {
			is := is.New(t)
			var w Window
			b := backEnd{slots: warming(in), work: always(usual), queue: 16}
			r := ramp(&w, &b, in+time.Second)
			capacity := 0.0
			for at := time.Duration(0); at < in+time.Second; at += step {
				capacity += float64(b.slots(at)) * float64(step) / float64(usual)
			}
			t.Logf("whole after %v, %d late and %d rejected of %d answered, capacity %.0f",
				r.whole, r.late, r.refused, r.answered, capacity)
			is.True(r.whole > in/4)
			is.True(r.whole < in+time.Second/2)
			is.Equal(r.refused, 0)
			is.True(r.late < r.answered/50)
			is.True(float64(r.answered) > 0.95*capacity)
		})
	}
}

// TestRelapseHalvesRamp guards against a ramp that goes on while the target fails again, and
// one that doesn't resume.
func TestRelapseHalvesRamp(t *testing.T) {
	is := is.New(t)
	var w Window
	slots := func(at time.Duration) int {
		if at > 3*usual && at < 2*time.Second {
			return 1
		}
		return int(share)
	}
	r := ramp(&w, &backEnd{slots: slots, work: always(usual), queue: 8}, 3*time.Second)
	t.Logf("whole after %v, %d late and %d rejected of %d answered", r.whole, r.late, r.refused, r.answered)
	is.Equal(r.limit(3*usual), 8.0)
	for at := 10 * usual; at < 2*time.Second; at += step {
		is.True(r.limit(at) <= 4)
	}
	is.True(r.refused < 10)
	is.True(r.whole > 2*time.Second+4*usual) // one more flow each round, not doubled
	is.True(r.whole < 2*time.Second+20*usual)
}

// TestFastRejectionsHoldRamp guards against fast answers that hide the rejections of others.
func TestFastRejectionsHoldRamp(t *testing.T) {
	is := is.New(t)
	var w Window
	r := ramp(&w, &backEnd{slots: always(2), work: always(3 * time.Millisecond)}, 5*time.Second)
	t.Logf("%d rejected of %d answered", r.refused, r.answered)
	is.Equal(r.whole, time.Duration(0))
	most := 0.0
	for _, limit := range r.limits {
		most = max(most, limit)
	}
	is.True(most >= 2) // it tries
	is.True(most <= 4)
	is.True(r.refused < r.answered/4)
}

// TestSlowTargetEndsRamp guards against a ramp that never ends at a target that is slow for
// good, from its start or from the middle of the ramp, and against one that ends before the
// target has answered.
func TestSlowTargetEndsRamp(t *testing.T) {
	for _, c := range []struct {
		times int
		from  time.Duration
	}{
		{2, 0}, {3, 0}, {5, 0}, {10, 0}, {3, 2 * usual}, {5, 2 * usual},
	} {
		t.Run(fmt.Sprintf("%d times from %v", c.times, c.from), func(t *testing.T) {
			is := is.New(t)
			var w Window
			slow := time.Duration(c.times) * usual
			work := func(at time.Duration) time.Duration {
				if at >= c.from {
					return slow
				}
				return usual
			}
			r := ramp(&w, &backEnd{slots: always(int(share)), work: work, queue: 8}, 10*time.Second)
			end := start.Add(10 * time.Second)
			t.Logf("whole after %v, time factor %.2f", r.whole, w.TimeFactor(end))
			is.Equal(r.limit(0), 1.0)
			is.True(r.limit(c.from+slow/2) <= 4)
			is.True(r.whole > 3*slow)
			is.True(r.whole < 100*slow)
			is.Equal(w.Limit(share), 16.0) // it keeps the limit of a whole target
		})
	}
}

// TestFreshTargetsAreNotStarved guards against windows that all close when one or all
// targets of a service are newly started and reject at first.
func TestFreshTargetsAreNotStarved(t *testing.T) {
	for _, n := range []int{1, 120} {
		is := is.New(t)
		var ends []time.Duration
		for i := range n {
			var w Window
			rnd := random(uint64(i))
			slots := func(at time.Duration) int {
				if at < 500*time.Millisecond {
					return -8 // not even a queue
				}
				return int(share)
			}
			work := func(time.Duration) time.Duration { return lognormal(rnd, usual) }
			r := ramp(&w, &backEnd{slots: slots, work: work, queue: 8}, 5*time.Second)
			for _, limit := range r.limits {
				is.True(limit >= 1)
			}
			is.True(r.limit(400*time.Millisecond) < 2)
			is.True(r.whole > 500*time.Millisecond)
			ends = append(ends, r.whole)
		}
		slices.Sort(ends)
		t.Logf("whole after %v to %v, median %v", ends[0], ends[n-1], ends[n/2])
		is.True(ends[n/2] < time.Second)
	}
}

// TestLimitStaysInBounds guards against a limit below one flow, or above that of a whole
// target, after any events.
func TestLimitStaysInBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var w Window
		now := start
		share := rapid.Float64Range(MinShare, 20).Draw(t, "share")
		t.Repeat(map[string]func(*rapid.T){
			"answered": func(t *rapid.T) {
				took := time.Duration(rapid.IntRange(0, 2000).Draw(t, "took")) * time.Millisecond
				usual := time.Duration(rapid.IntRange(0, 50).Draw(t, "usual")) * time.Millisecond
				w.Answered(now, took, usual, rapid.Bool().Draw(t, "contended"))
			},
			"rejected": func(*rapid.T) { w.Rejected(now) },
			"restart": func(*rapid.T) {
				w.Restart(now)
				if w.Limit(share) != 1 || w.TimeFactor(now) != 1 {
					t.Fatal("a restarted window has a limit or a time factor other than 1")
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(-50, 3000).Draw(t, "wait")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				if limit := w.Limit(share); !(limit >= 1) || limit > max(1, FlowsPerSlot*share) {
					t.Fatalf("limit %v for a share of %v", limit, share)
				}
				if f := w.TimeFactor(now); !(f >= MinTimeFactor) || f > MaxTimeFactor {
					t.Fatalf("time factor %v", f)
				}
			},
		})
	})
}

// TestAnswersFromBeforeRestartDontCount guards against a ramp slowed down, or a time factor
// raised, by requests that hung in a target until it recovered.
func TestAnswersFromBeforeRestartDontCount(t *testing.T) {
	is := is.New(t)
	var w Window
	w.Limit(share)
	now := start.Add(time.Minute)
	w.Restart(now)
	w.Answered(now.Add(usual), 10*time.Second, usual, false)
	is.Equal(w.Limit(share), 1.0)
	is.Equal(w.TimeFactor(now.Add(usual)), 1.0)
	w.Answered(now.Add(usual), usual, usual, false)
	w.Answered(now.Add(2*usual), usual, usual, false)
	is.Equal(w.Limit(share), 3.0) // it still doubles
}

func ExampleWindow() {
	var w Window
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	fmt.Println(w.State(), w.Limit(4))
	w.Restart(now)
	fmt.Println(w.State(), w.Limit(4))
	for w.State() == Ramping {
		now = now.Add(20 * time.Millisecond)
		for range int(w.Limit(4)) {
			w.Answered(now, 20*time.Millisecond, 20*time.Millisecond, false)
		}
		fmt.Println(w.State(), w.Limit(4))
	}
	// Output:
	// whole 8
	// ramping 1
	// ramping 2
	// ramping 4
	// whole 8
}
