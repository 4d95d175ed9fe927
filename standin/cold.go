package standin

import (
	"fmt"
	"sync"
	"time"
)

// WarmupLimits is what a target bears while it is cold.
type WarmupLimits struct {
	// Period is the time from the start until the target is warm.
	Period time.Duration
	// MaxRequests is the number of requests that may run at once.
	MaxRequests int
	// OpeningRate is the number of new flows a second, and OpeningBurst how many of
	// them may come at once.
	OpeningRate, OpeningBurst float64
}

// fallenFor is how long a target that bore too much answers nothing.
const fallenFor = time.Second

// cold is the state of a cold target; the zero value is warm.
type cold struct {
	mu       sync.Mutex
	bears    WarmupLimits
	until    time.Time
	fallenAt time.Time
	tokens   float64
	filled   time.Time
	overruns int
	// report is told what came too much; nil tells nobody.
	report func(what string)
}

// StartWarmup makes the target bear only what c says until it is warm; report is
// told what comes too much, and may be nil.
func (t *Target) StartWarmup(now time.Time, c WarmupLimits, report func(what string)) {
	t.cold.mu.Lock()
	defer t.cold.mu.Unlock()
	t.cold.report = report
	t.cold.bears, t.cold.until = c, now.Add(c.Period)
	t.cold.tokens, t.cold.filled = c.OpeningBurst, now
}

// Overloads returns how often the target got more than it could bear.
func (t *Target) Overloads() int {
	t.cold.mu.Lock()
	defer t.cold.mu.Unlock()
	return t.cold.overruns
}

func (c *cold) requested(now time.Time, running int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Before(c.until) && running > int64(c.bears.MaxRequests) {
		c.fall(now, fmt.Sprintf("%d requests at once", running))
	}
}

func (c *cold) opened(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !now.Before(c.until) {
		return
	}
	c.tokens = min(c.bears.OpeningBurst, c.tokens+c.bears.OpeningRate*now.Sub(c.filled).Seconds())
	c.filled = now
	if c.tokens < 1 {
		c.fall(now, "too many new flows")
		return
	}
	c.tokens--
}

func (c *cold) fall(now time.Time, what string) {
	c.overruns++
	c.fallenAt = now
	if c.report != nil {
		c.report(what)
	}
}

func (c *cold) fallen(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.fallenAt.IsZero() && now.Sub(c.fallenAt) < fallenFor
}
