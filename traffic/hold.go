package traffic

import (
	"bytes"
	"sync"
	"time"

	"github.com/cornelbay/cornelbay"
)

// The limits of held packets: their number per flow and in total, and their age.
const (
	maxHeldPerFlow = 8
	maxHeld        = 4096
	maxHoldAge     = time.Second
)

// heldPacket is a packet that waits for the answer to a query about its flow.
type heldPacket struct {
	arrived time.Time
	packet  cornelbay.Packet
}

// holdBuffer stores held packets by flow. Its zero value is ready to use.
type holdBuffer struct {
	mu    sync.Mutex
	flows map[cornelbay.FlowKey][]heldPacket
	total int
}

// add stores a copy of pk and reports whether it is the only held packet of its
// flow. ok is false if a limit is reached and the packet was not stored.
func (h *holdBuffer) add(arrived time.Time, pk *cornelbay.Packet) (first, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	waiting := h.flows[pk.Key]
	if len(waiting) >= maxHeldPerFlow || h.total >= maxHeld {
		return false, false
	}
	if h.flows == nil {
		h.flows = make(map[cornelbay.FlowKey][]heldPacket)
	}
	p := heldPacket{arrived: arrived, packet: *pk}
	p.packet.Inner = bytes.Clone(pk.Inner)
	h.flows[pk.Key] = append(waiting, p)
	h.total++
	return len(waiting) == 0, true
}

// take removes and returns the packets of a flow in order of arrival.
func (h *holdBuffer) take(key cornelbay.FlowKey) []heldPacket {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := h.flows[key]
	delete(h.flows, key)
	h.total -= len(out)
	return out
}

// expire drops the packets that have been held for maxHoldAge or longer and returns
// their number.
func (h *holdBuffer) expire(now time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for key, waiting := range h.flows {
		keep := waiting[:0]
		for _, p := range waiting {
			if now.Sub(p.arrived) < maxHoldAge {
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
func (h *holdBuffer) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.total
}
