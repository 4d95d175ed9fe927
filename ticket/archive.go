package ticket

import (
	"slices"
	"time"
)

// Proof tells what the archived handovers prove about a ticket.
type Proof uint8

// Values of Proof.
const (
	// NotCovered means that no handover covers the ticket.
	NotCovered Proof = iota
	// NeverRedeemed means that no request ran with the ticket and none will.
	NeverRedeemed
	// Redeemed means that a request may have run with the ticket.
	Redeemed
)

// Archive stores the handovers of hosts that have stopped. The zero value is
// ready to use.
type Archive[A any] struct {
	parts []archivedPart[A]
}

type archivedPart[A any] struct {
	Handover[A]
	byNumber map[uint64]Record[A]
}

// Add stores a handover, unless it is stored already. It is kept until the first
// call of PruneAndList after the grace period of its last ticket.
func (a *Archive[A]) Add(h Handover[A]) {
	if slices.ContainsFunc(a.parts, func(p archivedPart[A]) bool { return p.samePart(h) }) {
		return
	}
	records := make(map[uint64]Record[A], len(h.Records))
	for _, r := range h.Records {
		records[r.Number] = r
	}
	a.parts = append(a.parts, archivedPart[A]{h, records})
}

func (h Handover[A]) samePart(other Handover[A]) bool {
	return h.Host == other.Host && h.Incarnation == other.Incarnation && h.First == other.First
}

// PruneAndList drops the handovers that have expired at now and returns the
// others, so that a stopping host can hand them over in turn.
func (a *Archive[A]) PruneAndList(now time.Time) []Handover[A] {
	a.parts = slices.DeleteFunc(a.parts, func(p archivedPart[A]) bool { return now.UnixMilli() > p.UntilMs })
	var out []Handover[A]
	for _, p := range a.parts {
		out = append(out, p.Handover)
	}
	return out
}

// Find returns what is proved about a ticket, and its record if it was redeemed.
func (a *Archive[A]) Find(t Ticket) (Proof, Record[A]) {
	for _, p := range a.parts {
		if !p.covers(t) {
			continue
		}
		if r, ok := p.byNumber[t.Number]; ok {
			return Redeemed, r
		}
		return NeverRedeemed, Record[A]{}
	}
	return NotCovered, Record[A]{}
}

// covers reports whether the handover would have a record of the ticket if it had
// been redeemed. Its number must be in range, and its grace period must not have
// ended when the ledger was closed, since the ledger drops records after it.
func (h Handover[A]) covers(t Ticket) bool {
	closed := time.UnixMilli(h.UntilMs).Add(-Lifetime - Grace)
	return t.Host == h.Host && t.Incarnation == h.Incarnation && t.Number >= h.First &&
		t.Number <= h.Last && !closed.After(t.Expiry().Add(Grace))
}
