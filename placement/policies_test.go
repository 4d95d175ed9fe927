package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelbay/cornelbay"
)

// TestPoliciesAreExchanged guards against a decision of the product that stays in force beside the
// one that a trial puts in its place.
func TestPoliciesAreExchanged(t *testing.T) {
	t.Run("answer timeout", func(t *testing.T) {
		is := is.New(t)
		p := placer(view(warmTarget(1, "near"), warmTarget(2, "near")))
		p.Policies.AnswerTimeout = func(time.Duration) time.Duration { return maxAnswerTimeout }
		open(t, p, start, 1)
		is.Equal(len(tickTo(p, start, start.Add(maxAnswerTimeout))), 0)
		is.Equal(len(tickTo(p, start.Add(maxAnswerTimeout), start.Add(maxAnswerTimeout+20*time.Millisecond))), 1)
	})
	t.Run("wait", func(t *testing.T) {
		is := is.New(t)
		p := placer(limited(warmTarget(1, "near")))
		p.Policies.Wait = func(time.Duration) time.Duration { return 0 }
		fill(t, p, start)
		p.Tick(start.Add(time.Millisecond))
		is.Equal(p.Waiting(), 0)
	})
	t.Run("distance", func(t *testing.T) {
		is := is.New(t)
		p := placer(view(warmTarget(1, "near"), warmTarget(2, "far")))
		p.Policies.Distance = func(cornelbay.DataCentreName) time.Duration { return 0 }
		got := map[uint32]int{}
		for port := range 4 {
			got[open(t, p, start, port)]++
		}
		is.Equal(got, map[uint32]int{1: 2, 2: 2})
	})
}
