package standin

import (
	"fmt"
	"sync"
	"time"
)

// WarmupLimits is the load that a target can take while it warms up.
type WarmupLimits struct {
	// Period is the length of the warm-up.
	Period time.Duration
	// MaxRequests is the maximum number of concurrent requests.
	MaxRequests int
	// OpeningRate and OpeningBurst are the rate, in new flows per second, and the
	// size of the token bucket that limits new flows.
	OpeningRate, OpeningBurst float64
}

// outageDuration is how long a target fails HTTP requests and drops packets after
// an overload.
const outageDuration = time.Second

// warmup tracks the warm-up of a target; the zero value is a warm target.
type warmup struct {
	mu         sync.Mutex
	limits     WarmupLimits
	warmAt     time.Time
	failedAt   time.Time
	tokens     float64
	refilledAt time.Time
	overloads  int
	// report is called with a description of each overload; it may be nil.
	report func(what string)
}

// StartWarmup applies the limits c to the target for c.Period. report is called
// with a description of each overload; it may be nil.
func (t *Target) StartWarmup(now time.Time, c WarmupLimits, report func(what string)) {
	t.warmup.mu.Lock()
	defer t.warmup.mu.Unlock()
	t.warmup.report = report
	t.warmup.limits, t.warmup.warmAt = c, now.Add(c.Period)
	t.warmup.tokens, t.warmup.refilledAt = c.OpeningBurst, now
}

// Overloads returns how often the load exceeded the warm-up limits.
func (t *Target) Overloads() int {
	t.warmup.mu.Lock()
	defer t.warmup.mu.Unlock()
	return t.warmup.overloads
}

func (c *warmup) checkRequest(now time.Time, running int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Before(c.warmAt) && running > int64(c.limits.MaxRequests) {
		c.fail(now, fmt.Sprintf("%d requests at once", running))
	}
}

func (c *warmup) checkOpening(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !now.Before(c.warmAt) {
		return
	}
	c.tokens = min(c.limits.OpeningBurst, c.tokens+c.limits.OpeningRate*now.Sub(c.refilledAt).Seconds())
	c.refilledAt = now
	if c.tokens < 1 {
		c.fail(now, "too many new flows")
		return
	}
	c.tokens--
}

func (c *warmup) fail(now time.Time, what string) {
	c.overloads++
	c.failedAt = now
	if c.report != nil {
		c.report(what)
	}
}

func (c *warmup) failing(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.failedAt.IsZero() && now.Sub(c.failedAt) < outageDuration
}
