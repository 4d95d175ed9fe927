// Package stall tells by late ticks that a process has not run, or is short of processor time, and
// how old the packets may be that it reads then. It reads no clock.
package stall

import "time"

const (
	// threshold is the delay of a tick from which the process counts as stalled.
	threshold = 90 * time.Millisecond
	// lateTick is the delay of a tick beyond which packets may have waited to be read, from the
	// tick before until backlogTime after it.
	lateTick    = 30 * time.Millisecond
	backlogTime = 100 * time.Millisecond
)

// Detector watches the ticks of one process. Its zero value has seen none. It is not safe for
// concurrent use.
type Detector struct {
	// ResumedAt is when the process last resumed after a stall.
	ResumedAt time.Time
	// lastTick is the time of the last tick, and interval the time until the next one was due.
	lastTick time.Time
	interval time.Duration
	// Packets that are read before backlogUntil may have been sent since backlogSince.
	backlogSince, backlogUntil time.Time
}

// Tick records a tick. It returns the time since the last one, and whether the process was
// stalled in it.
func (d *Detector) Tick(now time.Time) (gap time.Duration, stalled bool) {
	gap = now.Sub(d.lastTick)
	if d.isLate(now) {
		d.backlogSince, d.backlogUntil = d.lastTick, now.Add(backlogTime)
	}
	stalled = !d.lastTick.IsZero() && gap > d.interval+threshold
	if stalled {
		d.ResumedAt = now
	}
	return gap, stalled
}

// Next records when the next tick is due: after an interval from now.
func (d *Detector) Next(now time.Time, interval time.Duration) {
	d.lastTick, d.interval = now, interval
}

func (d *Detector) isLate(now time.Time) bool {
	return !d.lastTick.IsZero() && now.Sub(d.lastTick) > d.interval+lateTick
}

// SentSince returns the earliest time at which a packet that has just been read may have been
// sent. The time at which it arrived is zero if it is not known.
func (d *Detector) SentSince(now, arrived time.Time) time.Time {
	since := now
	switch {
	case d.isLate(now):
		since = d.lastTick
	case now.Before(d.backlogUntil):
		since = d.backlogSince
	}
	if !arrived.IsZero() && arrived.Before(since) {
		return arrived
	}
	return since
}
