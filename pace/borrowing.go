package pace

import "time"

// Limits of borrowed flows.
const (
	InitialBorrowing = 2
	MaxBorrowing     = 16
)

// minBorrowing keeps the limit of a host without a share positive.
const minBorrowing = 1.0 / 64

// usedFraction is the mean number of borrowed flows in a round, relative to the limit, from
// which the limit grows. Answers to fewer flows don't show that more would be answered.
const usedFraction = 0.5

// probingTime is the time after a decrease in which the limit grows by one per round. Later
// it doubles: what was full then says nothing of the slots that are free now.
const probingTime = time.Second

const (
	// lateMean is the mean time of borrowed flows, relative to the usual time, that shows that
	// the slots are taken: the hosts whose share they are keep FlowsPerSlot flows at each.
	lateMean = 2
	// meanWeight is the weight of a new sample in that mean, and maxLateness bounds the
	// sample, so that one long request alone does not count as late.
	meanWeight  = 0.125
	maxLateness = 4
)

// Borrowing is the limit of a host's flows at all targets outside its share of a service:
// slow start, then additive increase and multiplicative decrease. Its zero value allows
// InitialBorrowing flows. It is not safe for concurrent use.
type Borrowing struct {
	// limit is 0 before the first change.
	limit, floor float64
	// decreasedAt is the time of the last decrease.
	decreasedAt time.Time
	hold        hold
	// roundFrom is the start of the current round, which lasts at least the usual time. busy
	// is the time that requests answered in time in this round have taken.
	roundFrom time.Time
	busy      time.Duration
	// excess is the smoothed time of answers relative to the usual time, less 1.
	excess float64
}

// Limit returns the number of borrowed flows. It is never below floor, the host's own share
// of the service's slots, or 1, whichever is smaller. Below 1 it is the fraction of the time
// in which one flow may be open; if none ever is, it can't grow.
func (b *Borrowing) Limit(floor float64) float64 {
	b.floor = min(max(floor, minBorrowing), 1)
	return max(b.current(), b.floor)
}

func (b *Borrowing) current() float64 {
	if b.limit == 0 {
		return InitialBorrowing
	}
	return b.limit
}

// Answered records that a borrowed flow was answered; usual is the time of a request that
// doesn't wait.
func (b *Borrowing) Answered(now time.Time, took, usual time.Duration) {
	if usual > 0 {
		b.hold.usual = usual
	}
	if usual > 0 {
		b.excess += meanWeight * (min(float64(took)/float64(usual), maxLateness) - 1 - b.excess)
		if 1+b.excess > lateMean {
			b.Rejected(now)
			return
		}
	}
	if b.hold.active(now) {
		return
	}
	if b.roundFrom.IsZero() {
		b.roundFrom = now.Add(-took)
	}
	if usual <= 0 || took <= inTime*usual {
		b.busy += took
	}
	elapsed := now.Sub(b.roundFrom)
	if elapsed < usual {
		return
	}
	if limit := b.current(); float64(b.busy) >= usedFraction*limit*float64(elapsed) {
		grown := limit + 1
		if now.Sub(b.decreasedAt) > probingTime {
			grown = 2 * limit
		}
		b.limit = min(MaxBorrowing, grown)
	}
	b.roundFrom, b.busy = now, 0
}

// Rejected records that a borrowed flow was rejected, cut short or never answered.
func (b *Borrowing) Rejected(now time.Time) {
	if b.hold.begin(now) {
		b.limit, b.decreasedAt, b.excess = max(b.current()/2, b.floor, minBorrowing), now, 0
		b.roundFrom, b.busy = b.hold.until, 0
	}
}
