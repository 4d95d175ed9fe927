package agree

import (
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/track"
)

// resyncTimeout is how long a host waits for the epochs of hosts that are live
// again before it continues with the epochs that it has.
const resyncTimeout = 1500 * time.Millisecond

// resync is the exchange of epochs with hosts that were missing and are live
// again. Either side may have changed buckets meanwhile.
type resync struct {
	since, asked time.Time
	waiting      map[cornelbay.HostName]bool
}

// startResync starts a resync with the live hosts that were missing until now.
func (c *Control) startResync(now time.Time, live []cornelbay.Host) {
	r := &c.resync
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

// resyncing reports whether epochs of hosts that are live again are still
// outstanding.
func (c *Control) resyncing() bool { return len(c.resync.waiting) > 0 }

func (c *Control) tickResync(now time.Time) []cornelbay.Effect {
	r := &c.resync
	if len(r.waiting) == 0 {
		return nil
	}
	if now.Sub(r.since) >= resyncTimeout {
		clear(r.waiting)
		c.finishResync(now)
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
	return sendAll(names, EpochsRequest{})
}

// handleResyncAnswer marks a host as done once this host has at least as many
// epochs as the answer counts, or if the other host does not decide packets.
func (c *Control) handleResyncAnswer(now time.Time, from cornelbay.HostName, m EpochsAnswer) {
	if !c.resync.waiting[from] || m.Ready && c.epochCount() < m.Count {
		return
	}
	delete(c.resync.waiting, from)
	if !c.resyncing() {
		c.finishResync(now)
	}
}

// finishResync updates the stale state after a resync. If the buckets are
// reliable again, it removes the tentative records: such a flow may have been
// opened again on other hosts, and one that was not is also recorded there.
func (c *Control) finishResync(now time.Time) {
	c.dirty = true
	c.updateMaybeStale(now)
	if !c.maybeStale {
		c.Plane.Table.RemoveFlagged(track.Tentative)
	}
}

func (c *Control) epochCount() int {
	n := 0
	for _, s := range c.services {
		n += len(s.epochs)
	}
	return n
}
