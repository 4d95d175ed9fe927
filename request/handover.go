package request

import (
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/ticket"
)

// Limits of the ticket handover during a planned stop.
const (
	// MaxHandoverBytes bounds the total size of the stored responses in a
	// handover.
	MaxHandoverBytes = 256 << 10
	// maxSuccessors is the maximum number of hosts that receive the handover.
	maxSuccessors = 8
	// handoverTimeout bounds how long a stopping host tries to hand over.
	handoverTimeout = 3 * time.Second
)

// HandOverArgs transfers one part of a ticket handover to another host: of the
// stopping host's own ledger, or of a handover that it received earlier.
type HandOverArgs struct {
	Handover ticket.Handover[Response]
}

// Method returns the RPC method name.
func (HandOverArgs) Method() string { return "request.handOver" }

// HandOverReply acknowledges HandOverArgs.
type HandOverReply struct{}

// handoverPart identifies one part of a handover as received by one successor.
type handoverPart struct {
	successor, issuer cornelbay.HostName
	incarnation       cornelbay.Incarnation
	first             uint64
}

// handover tracks the ticket handover of a planned stop.
type handover struct {
	startedAt time.Time
	sent      bool
	done      bool
	parts     int
	// pending counts the unanswered calls of the last sendHandover.
	pending  int
	accepted map[handoverPart]bool
}

func (h *handover) recordReply(successor cornelbay.HostName, a HandOverArgs, err error) {
	h.pending--
	if err == nil {
		h.accepted[handoverPart{successor, a.Handover.Host, a.Handover.Incarnation, a.Handover.First}] = true
	}
}

// complete reports whether at least one successor has accepted every part.
func (h *handover) complete() bool {
	count := make(map[cornelbay.HostName]int)
	for p := range h.accepted {
		if count[p.successor]++; count[p.successor] >= h.parts {
			return true
		}
	}
	return false
}

// advanceHandover starts, repeats or ends the ticket handover of a stopping host
// once no request is left.
func (d *Dispatcher) advanceHandover(now time.Time) {
	h := &d.handover
	if !d.stopping || h.done || !d.drained() {
		return
	}
	if h.startedAt.IsZero() {
		h.startedAt = now
	}
	timedOut := now.Sub(h.startedAt) >= handoverTimeout
	switch {
	case h.sent && h.pending > 0 && !timedOut:
	case timedOut, h.sent && h.complete():
		h.done = true
	default:
		d.sendHandover(now)
	}
}

// sendHandover sends every part to every successor.
func (d *Dispatcher) sendHandover(now time.Time) {
	parts := append(d.archive.PruneAndList(now), d.ledger.HandOver(now, MaxHandoverBytes)...)
	h := &d.handover
	h.sent, h.parts, h.pending = true, len(parts), 0
	if h.accepted == nil {
		h.accepted = make(map[handoverPart]bool)
	}
	successors := d.hosts.Peers(d.Rand, maxSuccessors)
	h.done = len(successors) == 0
	for _, successor := range successors {
		for _, p := range parts {
			h.pending++
			d.callPeer(successor.Name, HandOverArgs{Handover: p})
		}
	}
}

// acceptHandover archives ticket state from another host and reroutes the
// ticketed requests that are relayed to the stopped host, which the archive may
// now be able to answer.
func (d *Dispatcher) acceptHandover(now time.Time, h ticket.Handover[Response]) {
	if h.Host == d.Self && h.Incarnation == d.Incarnation {
		return
	}
	d.archive.Add(h)
	d.rerouteTicketRelays(now, h.Host)
}
