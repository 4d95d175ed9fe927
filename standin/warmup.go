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
	// OpeningRate is the refill rate of the token bucket that limits new flows, in new
	// flows per second; OpeningBurst is the size of the bucket, in new flows.
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

// StartWarmup applies limits to the target for limits.Period, during which it
// is cold. report is called with a description of each overload; it may be nil.
func (t *Target) StartWarmup(now time.Time, limits WarmupLimits, report func(what string)) {
	t.warmup.mu.Lock()
	defer t.warmup.mu.Unlock()
	t.warmup.report = report
	t.warmup.limits, t.warmup.warmAt = limits, now.Add(limits.Period)
	t.warmup.tokens, t.warmup.refilledAt = limits.OpeningBurst, now
}

// Overloads returns how often the load exceeded the warm-up limits.
func (t *Target) Overloads() int {
	t.warmup.mu.Lock()
	defer t.warmup.mu.Unlock()
	return t.warmup.overloads
}

func (w *warmup) checkRequest(now time.Time, running int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Before(w.warmAt) && running > int64(w.limits.MaxRequests) {
		w.fail(now, fmt.Sprintf("%d requests at once", running))
	}
}

func (w *warmup) checkOpening(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !now.Before(w.warmAt) {
		return
	}
	w.tokens = min(w.limits.OpeningBurst, w.tokens+w.limits.OpeningRate*now.Sub(w.refilledAt).Seconds())
	w.refilledAt = now
	if w.tokens < 1 {
		w.fail(now, "too many new flows")
		return
	}
	w.tokens--
}

func (w *warmup) fail(now time.Time, what string) {
	w.overloads++
	w.failedAt = now
	if w.report != nil {
		w.report(what)
	}
}

func (w *warmup) failing(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.failedAt.IsZero() && now.Sub(w.failedAt) < outageDuration
}
