package pace

import "time"

// TokenBucket limits the openings at a cold target. Only one host, the target's owner, has
// tokens for it. Rate and burst together are half of what the target can take in a second,
// so that the limit holds even while two hosts each consider themselves the owner.
type TokenBucket struct {
	// Rate is in openings per second, Burst in openings.
	Rate, Burst float64

	tokens     float64
	refilledAt time.Time
}

// Take consumes one token if there is one.
func (b *TokenBucket) Take(now time.Time) bool {
	if b.Burst < 1 {
		return false
	}
	if b.refilledAt.IsZero() {
		b.tokens = b.Burst
	} else {
		b.tokens = min(b.Burst, b.tokens+b.Rate*now.Sub(b.refilledAt).Seconds())
	}
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
