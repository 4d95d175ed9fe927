package agree

import (
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/track"
)

// regainLimit is when a host goes on by the epochs that it has, whatever the
// hosts that it hears again have not told.
const regainLimit = 1500 * time.Millisecond

// regain is the exchange of epochs with hosts that were not heard for a while
// and are heard again: either side may have changed buckets meanwhile.
type regain struct {
	since, asked time.Time
	waiting      map[cornelbay.HostName]bool
}

// hearAgain notes the live hosts that were missing until now.
func (c *Control) hearAgain(now time.Time, live []cornelbay.Host) {
	r := &c.regain
	for _, h := range live {
		if _, missing := c.missing[h.Name]; !missing || !c.deciding() {
			continue
		}
		if r.waiting == nil {
			r.waiting = make(map[cornelbay.HostName]bool)
		}
		r.waiting[h.Name] = true
		r.since, r.asked = now, time.Time{}
		c.dirty = true
	}
}

// regaining reports whether the epochs of hosts that are heard again have not
// come yet.
func (c *Control) regaining() bool { return len(c.regain.waiting) > 0 }

func (c *Control) tickRegain(now time.Time) []cornelbay.Effect {
	r := &c.regain
	if len(r.waiting) == 0 {
		return nil
	}
	if now.Sub(r.since) >= regainLimit {
		clear(r.waiting)
		c.trustAgain(now)
		return nil
	}
	if now.Sub(r.asked) < retransmitInterval {
		return nil
	}
	r.asked = now
	var names []cornelbay.HostName
	for _, h := range c.members.Live {
		if r.waiting[h.Name] {
			names = append(names, h.Name)
		}
	}
	return sendAll(names, Epochs{})
}

// regained notes a host whose epochs have all come.
func (c *Control) regained(now time.Time, from cornelbay.HostName, m EpochsAnswer) {
	if !c.regain.waiting[from] || m.Ready && c.epochCount() < m.Count {
		return
	}
	delete(c.regain.waiting, from)
	if !c.regaining() {
		c.trustAgain(now)
	}
}

// trustAgain ends the doubt; flows that were only opened meanwhile may have been
// opened again elsewhere, and other hosts know those that were not.
func (c *Control) trustAgain(now time.Time) {
	c.dirty = true
	c.updateDoubt(now)
	if !c.doubt {
		c.Plane.Table.Forget(track.Tentative)
	}
}

func (c *Control) epochCount() int {
	n := 0
	for _, s := range c.services {
		n += len(s.epochs)
	}
	return n
}
