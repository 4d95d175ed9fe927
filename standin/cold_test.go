package standin

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestColdTargetFallsOver(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name string
		do   func(c *cold)
		want int
	}{
		{"one request", func(c *cold) { c.requested(now, 1) }, 0},
		{"two requests at once", func(c *cold) { c.requested(now, 2) }, 1},
		{"two requests when warm", func(c *cold) { c.requested(now.Add(5*time.Second), 2) }, 0},
		{"burst of openings", func(c *cold) { c.opened(now); c.opened(now) }, 0},
		{"too many openings", func(c *cold) { c.opened(now); c.opened(now); c.opened(now) }, 1},
		{"openings at their rate", func(c *cold) {
			for i := range 4 {
				c.opened(now.Add(time.Duration(i) * time.Second))
			}
		}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var target Target
			target.StartWarmup(now, WarmupLimits{Period: 4 * time.Second, MaxRequests: 1, OpeningRate: 1, OpeningBurst: 2}, nil)
			c.do(&target.cold)
			is.Equal(target.Overloads(), c.want)
			is.Equal(target.cold.fallen(now.Add(time.Millisecond)), c.want > 0)
		})
	}
}
