package standin

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestOverloadedTargetFails(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name string
		do   func(c *warmup)
		want int
	}{
		{"one request", func(c *warmup) { c.checkRequest(now, 1) }, 0},
		{"two requests at once", func(c *warmup) { c.checkRequest(now, 2) }, 1},
		{"two requests when warm", func(c *warmup) { c.checkRequest(now.Add(5*time.Second), 2) }, 0},
		{"burst of openings", func(c *warmup) { c.checkOpening(now); c.checkOpening(now) }, 0},
		{"too many openings", func(c *warmup) { c.checkOpening(now); c.checkOpening(now); c.checkOpening(now) }, 1},
		{"openings at their rate", func(c *warmup) {
			for i := range 4 {
				c.checkOpening(now.Add(time.Duration(i) * time.Second))
			}
		}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var target Target
			target.StartWarmup(now, WarmupLimits{Period: 4 * time.Second, MaxRequests: 1, OpeningRate: 1, OpeningBurst: 2}, nil)
			c.do(&target.warmup)
			is.Equal(target.Overloads(), c.want)
			is.Equal(target.warmup.failing(now.Add(time.Millisecond)), c.want > 0)
		})
	}
}
