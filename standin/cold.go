package standin

import (
	"fmt"
	"sync"
	"time"
)

// Coldness is what a target bears while it is cold.
type Coldness struct {
	// For is the time from the start until the target is warm.
	For time.Duration
	// Requests is the number of requests that may run at once.
	Requests int
	// Openings is the number of new flows a second, and OpeningBurst how many of
	// them may come at once.
	Openings, OpeningBurst float64
}

// fallenFor is how long a target that bore too much answers nothing.
const fallenFor = time.Second

// cold is the state of a cold target; the zero value is warm.
type cold struct {
	mu       sync.Mutex
	bears    Coldness
	until    time.Time
	fallenAt time.Time
	tokens   float64
	filled   time.Time
	overruns int
	// report is told what came too much; nil tells nobody.
	report func(what string)
}

// TurnCold makes the target bear only what c says until it is warm; report is
// told what comes too much, and may be nil.
func (t *Target) TurnCold(now time.Time, c Coldness, report func(what string)) {
	t.cold.mu.Lock()
	defer t.cold.mu.Unlock()
	t.cold.report = report
	t.cold.bears, t.cold.until = c, now.Add(c.For)
	t.cold.tokens, t.cold.filled = c.OpeningBurst, now
}

// Overruns returns how often the target got more than it could bear.
func (t *Target) Overruns() int {
	t.cold.mu.Lock()
	defer t.cold.mu.Unlock()
	return t.cold.overruns
}

func (c *cold) requested(now time.Time, running int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Before(c.until) && running > int64(c.bears.Requests) {
		c.fall(now, fmt.Sprintf("%d requests at once", running))
	}
}

func (c *cold) opened(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !now.Before(c.until) {
		return
	}
	c.tokens = min(c.bears.OpeningBurst, c.tokens+c.bears.Openings*now.Sub(c.filled).Seconds())
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
