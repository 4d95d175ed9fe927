package pace

import (
	"math"
	"time"
)

// Limits of the time factor.
const (
	MinTimeFactor = 0.2
	MaxTimeFactor = 50
)

const (
	evidenceHalfLife = 2 * time.Second
	// priorWeight is the weight, in requests, of a time factor of 1.
	priorWeight = 0.5
	// maxSample is the largest sample relative to the time factor.
	maxSample = 4
	// surprising is the sample, relative to the time factor, from which a request counts as
	// surprising. From the surprisingRun-th such request in a row on, each divides the
	// weight of the earlier evidence by discount. Otherwise 2 s of evidence of its former
	// speed would hide for more than a second that a target has become five times slower.
	surprising    = 2
	surprisingRun = 2
	discount      = 2
)

// timeFactor is an exponentially weighted moving average of times relative to the usual
// time. Its zero value has no evidence.
type timeFactor struct {
	sum, weight float64
	at          time.Time
	run         int // of surprising requests
}

// remaining returns the fraction of the evidence that still counts.
func (f *timeFactor) remaining(now time.Time) float64 {
	return math.Exp2(-float64(max(0, now.Sub(f.at))) / float64(evidenceHalfLife))
}

func (f *timeFactor) value(now time.Time) float64 {
	r := f.remaining(now)
	v := (priorWeight + r*f.sum) / (priorWeight + r*f.weight)
	return min(max(v, MinTimeFactor), MaxTimeFactor)
}

func (f *timeFactor) add(now time.Time, sample float64) {
	v, r := f.value(now), f.remaining(now)
	if sample > surprising*v {
		f.run++
	} else {
		f.run = 0
	}
	if f.run >= surprisingRun {
		r /= discount
	}
	f.sum = r*f.sum + min(sample, maxSample*v)
	f.weight = r*f.weight + 1
	if now.After(f.at) {
		f.at = now
	}
}
