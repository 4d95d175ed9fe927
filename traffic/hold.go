package traffic

import (
	"bytes"
	"sync"
	"time"

	"github.com/cornelbay/cornelbay"
)

// The bounds of held packets.
const (
	maxHeldPerFlow = 8
	maxHeld        = 4096
	maxHoldAge     = time.Second
)

// held is a packet that waits for an answer about its flow.
type held struct {
	since  time.Time
	packet cornelbay.Packet
}

// holds keeps held packets by flow; its zero value works.
type holds struct {
	mu    sync.Mutex
	flows map[cornelbay.FlowKey][]held
	total int
}

// add keeps a copy of pk and reports whether it is the first of its flow; ok is
// false when a bound is reached.
func (h *holds) add(since time.Time, pk *cornelbay.Packet) (first, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	waiting := h.flows[pk.Key]
	if len(waiting) >= maxHeldPerFlow || h.total >= maxHeld {
		return false, false
	}
	if h.flows == nil {
		h.flows = make(map[cornelbay.FlowKey][]held)
	}
	p := held{since: since, packet: *pk}
	p.packet.Inner = bytes.Clone(pk.Inner)
	h.flows[pk.Key] = append(waiting, p)
	h.total++
	return len(waiting) == 0, true
}

// take removes and returns the packets of a flow in the order of their coming.
func (h *holds) take(key cornelbay.FlowKey) []held {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := h.flows[key]
	delete(h.flows, key)
	h.total -= len(out)
	return out
}

// expire drops the packets that have waited too long and returns their number.
func (h *holds) expire(now time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for key, waiting := range h.flows {
		keep := waiting[:0]
		for _, p := range waiting {
			if now.Sub(p.since) < maxHoldAge {
				keep = append(keep, p)
			}
		}
		n += len(waiting) - len(keep)
		if len(keep) == 0 {
			delete(h.flows, key)
			continue
		}
		h.flows[key] = keep
	}
	h.total -= n
	return n
}

// count returns the number of held packets.
func (h *holds) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.total
}
