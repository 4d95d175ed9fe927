package request

import (
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/ticket"
)

// The limits of a handover at a planned stop.
const (
	// MaxHandoverBytes bounds the remembered answers that are handed over.
	MaxHandoverBytes = 256 << 10
	// maxHeirs is the most hosts that a handover is sent to.
	maxHeirs = 8
	// handoverPatience is how long a stopping host waits for an heir.
	handoverPatience = 3 * time.Second
)

// HandOverArgs hands a part of the final state of a stopping host's tickets, or
// of those that it was handed itself, to another host.
type HandOverArgs struct {
	Handover ticket.Handover[Response]
}

// Method returns the name of the net/rpc method.
func (HandOverArgs) Method() string { return "request.handOver" }

// HandOverReply acknowledges HandOverArgs.
type HandOverReply struct{}

// part names a part of a handover at an heir.
type part struct {
	heir, issuer cornelbay.HostName
	incarnation  cornelbay.Incarnation
	first        uint64
}

// handover is the progress of handing the tickets on at a planned stop.
type handover struct {
	began time.Time
	sent  bool
	done  bool
	parts int
	// waiting counts the calls of the last round without an answer.
	waiting int
	took    map[part]bool
}

func (h *handover) answered(heir cornelbay.HostName, a HandOverArgs, err error) {
	h.waiting--
	if err == nil {
		h.took[part{heir, a.Handover.Host, a.Handover.Incarnation, a.Handover.First}] = true
	}
}

// whole reports whether some heir has taken every part.
func (h *handover) whole() bool {
	count := make(map[cornelbay.HostName]int)
	for p := range h.took {
		if count[p.heir]++; count[p.heir] >= h.parts {
			return true
		}
	}
	return false
}

// tickHandover hands the tickets on once nothing runs any more.
func (d *Dispatcher) tickHandover(now time.Time) {
	h := &d.handover
	if !d.stopping || h.done || !d.quiet() {
		return
	}
	if h.began.IsZero() {
		h.began = now
	}
	late := now.Sub(h.began) >= handoverPatience
	switch {
	case h.sent && h.waiting > 0 && !late:
	case late, h.sent && h.whole():
		h.done = true
	default:
		d.sendHandover(now)
	}
}

// sendHandover sends every part to every heir.
func (d *Dispatcher) sendHandover(now time.Time) {
	parts := append(d.archive.All(now), d.ledger.HandOver(now, MaxHandoverBytes)...)
	h := &d.handover
	h.sent, h.parts, h.waiting = true, len(parts), 0
	if h.took == nil {
		h.took = make(map[part]bool)
	}
	heirs := d.hosts.Peers(d.Rand, maxHeirs)
	h.done = len(heirs) == 0
	for _, heir := range heirs {
		for _, p := range parts {
			h.waiting++
			d.callPeer(heir.Name, HandOverArgs{Handover: p})
		}
	}
}

// takeHandover keeps what another host hands on and answers who waits for it.
func (d *Dispatcher) takeHandover(now time.Time, h ticket.Handover[Response]) {
	if h.Host == d.Self && h.Incarnation == d.Incarnation {
		return
	}
	d.archive.Add(h)
	d.issuerEnded(now, h.Host)
}
