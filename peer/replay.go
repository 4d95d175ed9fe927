package peer

import "github.com/cornelbay/cornelbay"

// Refusals counts refused datagrams by reason.
type Refusals struct {
	MAC, Malformed, Replay uint64
}

const (
	// windowBits is the number of sequence numbers below the highest that may
	// still come, out of order.
	windowBits = 64
	// maxWindows bounds the senders that are remembered.
	maxWindows = 4096
)

// replayWindow remembers the sequence numbers of one start of a host.
type replayWindow struct {
	incarnation cornelbay.Incarnation
	top, seen   uint64
	used        uint64
}

// replayWindows remembers the latest start of each sender.
type replayWindows struct {
	of    map[cornelbay.HostName]*replayWindow
	clock uint64
}

// accept reports whether a datagram comes for the first time.
func (r *replayWindows) accept(e Envelope) bool {
	r.clock++
	w, ok := r.of[e.From]
	if !ok {
		w = r.add(e.From)
	}
	w.used = r.clock
	if e.Incarnation < w.incarnation {
		return false
	}
	if e.Incarnation > w.incarnation {
		w.incarnation, w.top, w.seen = e.Incarnation, 0, 0
	}
	if e.Sequence > w.top {
		w.seen = w.seen<<(e.Sequence-w.top) | 1
		w.top = e.Sequence
		return true
	}
	back := w.top - e.Sequence
	if back >= windowBits || w.seen>>back&1 == 1 {
		return false
	}
	w.seen |= 1 << back
	return true
}

// add makes room for a sender by forgetting the one not heard for longest.
func (r *replayWindows) add(name cornelbay.HostName) *replayWindow {
	if r.of == nil {
		r.of = make(map[cornelbay.HostName]*replayWindow)
	}
	if len(r.of) >= maxWindows {
		var oldest cornelbay.HostName
		least := r.clock
		for n, w := range r.of {
			if w.used < least {
				oldest, least = n, w.used
			}
		}
		delete(r.of, oldest)
	}
	w := &replayWindow{}
	r.of[name] = w
	return w
}
