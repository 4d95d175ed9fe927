package ticket

import (
	"slices"
	"time"
)

// Proof tells what a handover proves of a ticket.
type Proof uint8

// The proofs of a handover.
const (
	// NoProof means that no handover covers the ticket.
	NoProof Proof = iota
	// NeverRedeemed means that no request ran with the ticket and none will.
	NeverRedeemed
	// Redeemed means that a request may have run with the ticket.
	Redeemed
)

// Archive keeps the handovers of hosts that have stopped; its zero value works.
type Archive[A any] struct {
	parts []archived[A]
}

type archived[A any] struct {
	Handover[A]
	byNumber map[uint64]Record[A]
}

// Add keeps a handover until its last ticket is past its grace.
func (a *Archive[A]) Add(h Handover[A]) {
	if slices.ContainsFunc(a.parts, func(p archived[A]) bool { return p.same(h) }) {
		return
	}
	records := make(map[uint64]Record[A], len(h.Records))
	for _, r := range h.Records {
		records[r.Number] = r
	}
	a.parts = append(a.parts, archived[A]{h, records})
}

func (h Handover[A]) same(other Handover[A]) bool {
	return h.Host == other.Host && h.Incarnation == other.Incarnation && h.First == other.First
}

// All returns the handovers that are kept at now, for handing them on.
func (a *Archive[A]) All(now time.Time) []Handover[A] {
	a.parts = slices.DeleteFunc(a.parts, func(p archived[A]) bool { return now.UnixMilli() > p.UntilMs })
	var out []Handover[A]
	for _, p := range a.parts {
		out = append(out, p.Handover)
	}
	return out
}

// Find returns what is proved of a ticket, and its record when it was redeemed.
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
	return NoProof, Record[A]{}
}

// covers reports whether the handover would have a record of the ticket, had it
// been redeemed: the closing ledger still remembered it then.
func (h Handover[A]) covers(t Ticket) bool {
	closed := time.UnixMilli(h.UntilMs).Add(-Lifetime - Grace)
	return t.Host == h.Host && t.Incarnation == h.Incarnation && t.Number >= h.First &&
		t.Number <= h.Last && !closed.After(t.Expiry().Add(Grace))
}
