package ticket

import (
	"time"

	"github.com/cornelbay/cornelbay"
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

type issuer struct {
	host        cornelbay.HostName
	incarnation cornelbay.Incarnation
}

type archived[A any] struct {
	handover Handover[A]
	records  map[uint64]Record[A]
}

// Archive keeps the handovers of hosts that have stopped; its zero value works.
type Archive[A any] struct {
	issuers map[issuer]archived[A]
}

// Add keeps a handover until its last ticket is past its grace.
func (a *Archive[A]) Add(h Handover[A]) {
	if a.issuers == nil {
		a.issuers = make(map[issuer]archived[A])
	}
	records := make(map[uint64]Record[A], len(h.Records))
	for _, r := range h.Records {
		records[r.Number] = r
	}
	a.issuers[issuer{h.Host, h.Incarnation}] = archived[A]{h, records}
}

// All returns the handovers that are kept at now, for handing them on.
func (a *Archive[A]) All(now time.Time) []Handover[A] {
	var out []Handover[A]
	for k, v := range a.issuers {
		if now.UnixMilli() > v.handover.UntilMs {
			delete(a.issuers, k)
			continue
		}
		out = append(out, v.handover)
	}
	return out
}

// Find returns what is proved of a ticket, and its record when it was redeemed.
func (a *Archive[A]) Find(t Ticket) (Proof, Record[A]) {
	v, ok := a.issuers[issuer{t.Host, t.Incarnation}]
	if !ok || t.Number > v.handover.Issued || !v.handover.covers(t) {
		return NoProof, Record[A]{}
	}
	if r, ok := v.records[t.Number]; ok {
		return Redeemed, r
	}
	return NeverRedeemed, Record[A]{}
}

// covers reports whether the closing ledger still remembered the redemption of
// the ticket, had there been one.
func (h Handover[A]) covers(t Ticket) bool {
	closed := time.UnixMilli(h.UntilMs).Add(-Lifetime - Grace)
	return !closed.After(t.Expiry().Add(Grace))
}
