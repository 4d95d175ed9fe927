package member

import (
	"math/bits"
	"slices"
	"strings"
	"time"

	"github.com/cornelbay/cornelbay"
)

// Limits of the membership updates that are piggybacked on heartbeats.
const (
	gossipBytesPerSecond  = 300
	gossipBurstBytes      = 4000
	gossipBytesPerMessage = 700
	// extraSends is added to the bit length of the group size, which grows with its
	// logarithm, to get the number of transmissions of an update.
	extraSends = 4
)

// gossipQueue holds membership updates; heartbeats carry each of them a limited
// number of times. budget is the number of bytes that may be sent, as of refilledAt.
type gossipQueue struct {
	items      []queuedItem
	budget     float64
	refilledAt time.Time
}

type queuedItem struct {
	item      Item
	sendsLeft int
}

// add queues an item and replaces any queued item about the same host.
func (n *gossipQueue) add(i Item, group int) {
	n.items = slices.DeleteFunc(n.items, func(q queuedItem) bool { return q.item.Name == i.Name })
	n.items = append(n.items, queuedItem{i, extraSends + bits.Len(uint(group))})
}

// refill adds the byte budget accrued since the last call.
func (n *gossipQueue) refill(now time.Time) {
	if n.refilledAt.IsZero() {
		n.budget = gossipBurstBytes
	} else {
		n.budget = min(n.budget+now.Sub(n.refilledAt).Seconds()*gossipBytesPerSecond, gossipBurstBytes)
	}
	n.refilledAt = now
}

// take returns the items for one heartbeat, least transmitted first, within the
// message limit and the byte budget.
func (n *gossipQueue) take() []Item {
	if len(n.items) == 0 {
		return nil
	}
	slices.SortStableFunc(n.items, func(a, b queuedItem) int {
		if a.sendsLeft != b.sendsLeft {
			return b.sendsLeft - a.sendsLeft
		}
		return strings.Compare(string(a.item.Name), string(b.item.Name))
	})
	var out []Item
	total := 0
	for i := range n.items {
		q := &n.items[i]
		size := q.item.size()
		if total+size > gossipBytesPerMessage || float64(size) > n.budget {
			break
		}
		total += size
		n.budget -= float64(size)
		q.sendsLeft--
		out = append(out, q.item)
	}
	n.items = slices.DeleteFunc(n.items, func(q queuedItem) bool { return q.sendsLeft <= 0 })
	return out
}

// publish queues the local state of p for gossip.
func (v *View) publish(p *peer) {
	i := p.item()
	if p.state == Alive && p.counter == 0 {
		r := Record(p.host)
		i.Record = &r
	}
	v.gossip.add(i, len(v.sorted))
}

// sendSoon makes the next tick send a heartbeat to the host, without waiting for the
// next round.
func (v *View) sendSoon(name cornelbay.HostName) {
	if !slices.Contains(v.urgent, name) {
		v.urgent = append(v.urgent, name)
	}
}
