package member

import (
	"math/bits"
	"slices"
	"strings"
	"time"

	"github.com/cornelbay/cornelbay"
)

// The limits of the news that heartbeats carry.
const (
	newsBytesPerSecond  = 300
	newsBurstBytes      = 4000
	newsBytesPerMessage = 700
	// extraSends is added to the logarithm of the group for each item of news.
	extraSends = 4
)

// news is a queue of items that heartbeats carry a number of times each.
type news struct {
	items  []queued
	budget float64
	at     time.Time
}

type queued struct {
	item Item
	left int
}

// add queues an item in place of an older one about the same host.
func (n *news) add(i Item, group int) {
	n.items = slices.DeleteFunc(n.items, func(q queued) bool { return q.item.Name == i.Name })
	n.items = append(n.items, queued{i, extraSends + bits.Len(uint(group))})
}

// refill adds the budget of the time since the last call.
func (n *news) refill(now time.Time) {
	if n.at.IsZero() {
		n.budget = newsBurstBytes
	} else {
		n.budget = min(n.budget+now.Sub(n.at).Seconds()*newsBytesPerSecond, newsBurstBytes)
	}
	n.at = now
}

// take returns the items for one heartbeat, those sent least often first.
func (n *news) take() []Item {
	if len(n.items) == 0 {
		return nil
	}
	slices.SortStableFunc(n.items, func(a, b queued) int {
		if a.left != b.left {
			return b.left - a.left
		}
		return strings.Compare(string(a.item.Name), string(b.item.Name))
	})
	var out []Item
	total := 0
	for i := range n.items {
		q := &n.items[i]
		size := q.item.size()
		if total+size > newsBytesPerMessage || float64(size) > n.budget {
			break
		}
		total += size
		n.budget -= float64(size)
		q.left--
		out = append(out, q.item)
	}
	n.items = slices.DeleteFunc(n.items, func(q queued) bool { return q.left <= 0 })
	return out
}

// publish queues what this host believes of p.
func (v *View) publish(p *peer) {
	i := p.item()
	if p.state == Alive && p.counter == 0 {
		r := Record(p.host)
		i.Record = &r
	}
	v.news.add(i, len(v.sorted))
}

// tell makes the next tick send a heartbeat to a host at once.
func (v *View) tell(name cornelbay.HostName) {
	if !slices.Contains(v.urgent, name) {
		v.urgent = append(v.urgent, name)
	}
}
