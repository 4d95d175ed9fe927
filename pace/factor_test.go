package pace

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	seeds    = 1000
	interval = 100 * time.Millisecond // at 10 requests a second
)

// observe records requests of a mean time, and returns the time of the last.
func observe(w *Window, seed uint64, now time.Time, n int, mean time.Duration) time.Time {
	r := random(seed)
	for range n {
		now = now.Add(interval)
		w.Answered(now, lognormal(r, mean), usual, false)
	}
	return now
}

// TestSpeedIsFoundWithinSecond guards against a time factor that follows single requests, or
// needs long to differ from 1. Ten random times are too few to find it at every target.
func TestSpeedIsFoundWithinSecond(t *testing.T) {
	for _, speed := range []float64{0.7, 1.7} {
		t.Run(fmt.Sprint(speed), func(t *testing.T) {
			is := is.New(t)
			var found []float64
			within := 0
			for seed := range uint64(seeds) {
				var w Window
				now := observe(&w, seed, start, 10, time.Duration(speed*float64(usual)))
				f := w.TimeFactor(now) / speed
				found = append(found, f)
				if math.Abs(f-1) <= 0.25 {
					within++
				}
			}
			slices.Sort(found)
			t.Logf("within 25%%: %d of %d, median %.3f of the speed", within, seeds, found[seeds/2])
			is.True(within >= seeds*80/100)
			is.True(math.Abs(found[seeds/2]-1) < 0.05)
		})
	}
}

// TestSlowdownIsFoundWithinSecond guards against a target that keeps its flows while it has
// become five times slower, as long evidence of its former speed hides that.
func TestSlowdownIsFoundWithinSecond(t *testing.T) {
	is := is.New(t)
	found, calm := 0, 0
	for seed := range uint64(seeds) {
		var w Window
		now := observe(&w, seed, start, 300, usual)
		if f := w.TimeFactor(now); f > 0.6 && f < 1.5 {
			calm++
		}
		now = observe(&w, seeds+seed, now, 10, 5*usual)
		if w.TimeFactor(now) > 2 {
			found++
		}
	}
	t.Logf("above 2: %d of %d; between 0.6 and 1.5 before: %d", found, seeds, calm)
	is.True(found >= seeds*99/100)
	is.True(calm >= seeds*99/100)
}

// TestOneSlowRequestIsNoEvidence guards against a target that loses its flows because one
// request was unusually long.
func TestOneSlowRequestIsNoEvidence(t *testing.T) {
	for _, n := range []int{0, 1, 3, 30} {
		is := is.New(t)
		var w Window
		now := start
		for range n {
			now = now.Add(interval)
			w.Answered(now, usual, usual, false)
		}
		w.Answered(now, 50*usual, usual, false)
		is.True(w.TimeFactor(now) < 4)
		is.True(w.TimeFactor(now) > 1)
	}
}

// TestContendedRequestsAreNoEvidence guards against a time factor that grows with the host's
// own load.
func TestContendedRequestsAreNoEvidence(t *testing.T) {
	is := is.New(t)
	var w Window
	for i := range 20 {
		w.Answered(start.Add(time.Duration(i)*interval), 3*usual, usual, true)
	}
	is.Equal(w.TimeFactor(start.Add(time.Second)), 1.0)
	w.Answered(start.Add(time.Second), 3*usual, usual, false)
	is.True(w.TimeFactor(start.Add(time.Second)) > 1.5)
}

// TestEvidenceExpires guards against a target that is avoided for good after it was slow.
func TestEvidenceExpires(t *testing.T) {
	is := is.New(t)
	var w Window
	now := observe(&w, 1, start, 100, 5*usual)
	is.True(w.TimeFactor(now) > 3.5)
	is.True(w.TimeFactor(now.Add(evidenceHalfLife)) > 3)
	is.True(w.TimeFactor(now.Add(30*time.Second)) < 1.1)
}

// TestTimeFactorIsBounded guards against a factor that no later evidence can correct.
func TestTimeFactorIsBounded(t *testing.T) {
	is := is.New(t)
	var w Window
	now := observe(&w, 1, start, 200, 200*usual)
	is.Equal(w.TimeFactor(now), float64(MaxTimeFactor))
	now = observe(&w, 1, now, 200, usual/100)
	is.Equal(w.TimeFactor(now), MinTimeFactor)
}
