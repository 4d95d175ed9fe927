package readiness

import (
	"time"

	"github.com/cornelbay/cornelbay"
)

// Census counts hosts of one data centre: a host alone, a host with those below it in the tree
// of heartbeats, or all.
type Census struct {
	// Alive is the number of hosts.
	Alive int
	// Able hosts have lately seen a target answer, Unable ones have found none that does. The
	// others have had no opening to tell by.
	Able, Unable int
}

// Plus returns the sum of two censuses of different hosts.
func (c Census) Plus(other Census) Census {
	return Census{c.Alive + other.Alive, c.Able + other.Able, c.Unable + other.Unable}
}

// mostUnable reports whether more hosts are unable to reach targets than able.
func (c Census) mostUnable() bool { return c.Unable > c.Able }

// Others is what a host knows of the other data centres. Times are zero if there was none.
type Others struct {
	// HeardAt is when a host of another data centre was last heard, and WellAt when it said
	// that its data centre can serve.
	HeardAt, WellAt time.Time
}

// Merge adds what another host knows.
func (o *Others) Merge(other Others) {
	o.HeardAt = latest(o.HeardAt, other.HeardAt)
	o.WellAt = latest(o.WellAt, other.WellAt)
}

func latest(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

// freshFor is how long a census counts: one that is missing for two heartbeat intervals in the
// tree is not merely late.
const freshFor = 500 * time.Millisecond

// dated is a census and when it was received.
type dated struct {
	census Census
	at     time.Time
}

func (d dated) fresh(now time.Time) bool { return !d.at.IsZero() && now.Sub(d.at) <= freshFor }

// Tally adds up the censuses that hosts of a data centre send each other, along the tree of
// heartbeats or from all to all. Its zero value has heard of none. It is not safe for
// concurrent use.
type Tally struct {
	// Others is what is known of the other data centres.
	Others Others
	below  map[cornelbay.HostName]dated
	above  dated
	// topSince is since when this host adds up the whole data centre, and topAt when it last
	// did.
	topSince, topAt time.Time
}

// ReceiveBelow records the census of a host below, or in a small fleet of any other host of the
// data centre.
func (t *Tally) ReceiveBelow(now time.Time, from cornelbay.HostName, c Census) {
	if t.below == nil {
		t.below = make(map[cornelbay.HostName]dated)
	}
	t.below[from] = dated{c, now}
}

// ReceiveAbove records the census of the whole data centre that the host above sends.
func (t *Tally) ReceiveAbove(now time.Time, c Census) { t.above = dated{c, now} }

// ReceiveOther records that a host of another data centre was heard, and whether that data centre
// can serve.
func (t *Tally) ReceiveOther(now time.Time, well bool) {
	o := Others{HeardAt: now}
	if well {
		o.WellAt = now
	}
	t.Others.Merge(o)
}

// Up returns the census of this host and those below it.
func (t *Tally) Up(now time.Time, own Census) Census {
	sum := own
	for name, d := range t.below {
		if !d.fresh(now) {
			delete(t.below, name)
			continue
		}
		sum = sum.Plus(d.census)
	}
	return sum
}

// Total returns the census of the data centre, and whether it is known. The host at the top of
// the tree, and each host of a small fleet, adds it up itself, which takes some heartbeats of
// the others at first.
func (t *Tally) Total(now time.Time, own Census, top bool) (Census, bool) {
	if !top {
		t.topSince = time.Time{}
		return t.above.census, t.above.fresh(now)
	}
	if t.topSince.IsZero() || now.Sub(t.topAt) > freshFor {
		t.topSince = now
	}
	t.topAt = now
	return t.Up(now, own), now.Sub(t.topSince) > freshFor
}
