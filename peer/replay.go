package peer

import "github.com/cornelbay/cornelbay"

// Refusals counts refused datagrams by reason.
type Refusals struct {
	MAC, Malformed, Replay uint64
}

const (
	// windowBits is the size of the replay window, within which datagrams may arrive
	// out of order. A datagram whose sequence number is this far or further below the
	// highest one is refused.
	windowBits = 64
	// maxSenders is the maximum number of senders with a replay window.
	maxSenders = 4096
)

// replayWindow tracks the received sequence numbers of one incarnation of a host.
// Bit i of received is set if the sequence number highest-i was received.
type replayWindow struct {
	incarnation       cornelbay.Incarnation
	highest, received uint64
	lastUsed          uint64
}

// replayWindows holds a replayWindow for the latest incarnation of each sender. datagrams
// counts the datagrams and orders the windows by last use.
type replayWindows struct {
	bySender  map[cornelbay.HostName]*replayWindow
	datagrams uint64
}

// accept records a datagram and reports whether it is not a replay.
func (r *replayWindows) accept(e Envelope) bool {
	r.datagrams++
	w, ok := r.bySender[e.From]
	if !ok {
		w = r.add(e.From)
	}
	w.lastUsed = r.datagrams
	if e.Incarnation < w.incarnation {
		return false
	}
	if e.Incarnation > w.incarnation {
		w.incarnation, w.highest, w.received = e.Incarnation, 0, 0
	}
	if e.Sequence > w.highest {
		w.received = w.received<<(e.Sequence-w.highest) | 1
		w.highest = e.Sequence
		return true
	}
	back := w.highest - e.Sequence
	if back >= windowBits || w.received>>back&1 == 1 {
		return false
	}
	w.received |= 1 << back
	return true
}

// add adds a window for a sender. At maxSenders it evicts the least recently used one.
func (r *replayWindows) add(name cornelbay.HostName) *replayWindow {
	if r.bySender == nil {
		r.bySender = make(map[cornelbay.HostName]*replayWindow)
	}
	if len(r.bySender) >= maxSenders {
		var oldest cornelbay.HostName
		least := r.datagrams
		for n, w := range r.bySender {
			if w.lastUsed < least {
				oldest, least = n, w.lastUsed
			}
		}
		delete(r.bySender, oldest)
	}
	w := &replayWindow{}
	r.bySender[name] = w
	return w
}
