package ticket

import (
	"cmp"
	"slices"
	"time"

	"github.com/cornelbay/cornelbay"
)

// Limits of a Ledger.
const (
	// Lifetime is the time from issue to expiry of a ticket.
	Lifetime = time.Minute
	// Grace is the time after expiry for which redemption records are kept.
	Grace = 30 * time.Second
	// MaxBatch is the maximum number of tickets issued at once.
	MaxBatch = 64
	// MaxOutstanding is the maximum number of issued tickets whose grace period
	// has not ended. It bounds the memory needed to record every redemption.
	MaxOutstanding = 1 << 16
	// MaxPerCaller is the maximum number of outstanding tickets per caller.
	MaxPerCaller = MaxOutstanding / 16
	// MaxAnswerBytes bounds the total size of the stored answers of a ledger.
	MaxAnswerBytes = 8 << 20
)

// Digest is a hash of the content of a request.
type Digest [32]byte

// Record is the record of a redeemed ticket.
type Record[A any] struct {
	Number   uint64
	Digest   Digest
	ExpiryMs int64
	// Settled is true if the run of the request has ended.
	Settled bool
	// Kept is true if Answer holds the answer to the settled request. It is false
	// before that, and after the answer was dropped to bound memory.
	Kept   bool
	Answer A
}

// Ledger issues the tickets of one incarnation of a host and records their
// redemptions. It is not safe for concurrent use.
type Ledger[A any] struct {
	Host        cornelbay.HostName
	Incarnation cornelbay.Incarnation
	// Size returns the size of an answer in bytes; nil counts every answer as 0.
	Size func(A) int

	issued      uint64
	batches     []batch
	outstanding int
	callers     map[string]int
	clock       time.Time
	records     map[uint64]*Record[A]
	// redeemed holds the numbers of the records in order of redemption.
	redeemed []uint64
	// answered holds the numbers of the tickets with a stored answer, oldest
	// answer first.
	answered    []uint64
	answerBytes int
	closed      bool
}

// batch is a number of tickets issued together to one caller, with one expiry.
type batch struct {
	expiry time.Time
	caller string
	n      int
}

// Issue returns up to n new tickets, as far as MaxBatch, MaxOutstanding and
// MaxPerCaller allow, and none after Close.
func (l *Ledger[A]) Issue(now time.Time, service cornelbay.ServiceName, caller string, n int) []Ticket {
	l.advanceClock(now)
	if l.closed {
		return nil
	}
	n = max(0, min(n, MaxBatch, MaxOutstanding-l.outstanding, MaxPerCaller-l.callers[caller]))
	at := l.clock.Add(Lifetime)
	if n > 0 {
		l.addOutstanding(caller, n)
		l.batches = append(l.batches, batch{at, caller, n})
	}
	out, expiry := make([]Ticket, 0, n), at.UnixMilli()
	for range n {
		l.issued++
		out = append(out, Ticket{
			Host: l.Host, Incarnation: l.Incarnation, Number: l.issued,
			Service: service, Caller: caller, ExpiryMs: expiry,
		})
	}
	return out
}

// addOutstanding adds n, which may be negative, to the outstanding tickets of a
// caller.
func (l *Ledger[A]) addOutstanding(caller string, n int) {
	if l.callers == nil {
		l.callers = make(map[string]int)
	}
	l.outstanding += n
	if l.callers[caller] += n; l.callers[caller] == 0 {
		delete(l.callers, caller)
	}
}

// Lookup returns the record of a ticket that was redeemed from this ledger.
func (l *Ledger[A]) Lookup(t Ticket) (Record[A], bool) {
	if !l.Issued(t) {
		return Record[A]{}, false
	}
	r, ok := l.records[t.Number]
	if !ok {
		return Record[A]{}, false
	}
	return *r, true
}

// Issued reports whether the ledger issued the ticket.
func (l *Ledger[A]) Issued(t Ticket) bool {
	return t.Host == l.Host && t.Incarnation == l.Incarnation && t.Number <= l.issued
}

// Remembers reports whether the absence of a record proves that the ticket was
// never redeemed. It does until Grace after the expiry, when records are dropped.
func (l *Ledger[A]) Remembers(now time.Time, t Ticket) bool {
	l.advanceClock(now)
	return l.Issued(t) && !l.clock.After(t.Expiry().Add(Grace))
}

// Redeem redeems a ticket for the request with the given digest. On first use it
// returns true, and the request may run. Later it returns the record and false.
func (l *Ledger[A]) Redeem(now time.Time, t Ticket, d Digest) (Record[A], bool, error) {
	l.advanceClock(now)
	if !l.Issued(t) {
		return Record[A]{}, false, ErrIssuer
	}
	if r, ok := l.records[t.Number]; ok {
		if r.Digest != d {
			return *r, false, ErrDigest
		}
		return *r, false, nil
	}
	if l.clock.After(t.Expiry()) {
		return Record[A]{}, false, ErrExpired
	}
	if l.closed {
		return Record[A]{}, false, ErrClosed
	}
	r := &Record[A]{Number: t.Number, Digest: d, ExpiryMs: t.ExpiryMs}
	if l.records == nil {
		l.records = make(map[uint64]*Record[A])
	}
	l.records[t.Number] = r
	l.redeemed = append(l.redeemed, t.Number)
	return *r, true, nil
}

// Settle stores the answer to the request of a redeemed ticket. It drops the
// oldest answers while the total exceeds MaxAnswerBytes.
func (l *Ledger[A]) Settle(number uint64, a A) {
	r, ok := l.records[number]
	if !ok || r.Settled {
		return
	}
	r.Settled, r.Kept, r.Answer = true, true, a
	l.answered = append(l.answered, number)
	l.answerBytes += l.size(a)
	for l.answerBytes > MaxAnswerBytes && len(l.answered) > 0 {
		l.dropAnswer(l.answered[0])
		l.answered = l.answered[1:]
	}
}

func (l *Ledger[A]) size(a A) int {
	if l.Size == nil {
		return 0
	}
	return l.Size(a)
}

func (l *Ledger[A]) dropAnswer(number uint64) {
	r, ok := l.records[number]
	if !ok || !r.Kept {
		return
	}
	var none A
	l.answerBytes -= l.size(r.Answer)
	r.Kept, r.Answer = false, none
}

// advanceClock moves the ledger's clock to now, but never back, and drops the
// records whose grace period has ended.
func (l *Ledger[A]) advanceClock(now time.Time) {
	if now.After(l.clock) {
		l.clock = now
	}
	for len(l.batches) > 0 && l.clock.After(l.batches[0].expiry.Add(Grace)) {
		l.addOutstanding(l.batches[0].caller, -l.batches[0].n)
		l.batches = l.batches[1:]
	}
	// Records are dropped in order of redemption. A ticket redeemed later may
	// expire sooner; its record is then kept a little longer than needed.
	for len(l.redeemed) > 0 {
		r := l.records[l.redeemed[0]]
		if !l.clock.After(time.UnixMilli(r.ExpiryMs).Add(Grace)) {
			return
		}
		l.dropAnswer(r.Number)
		delete(l.records, r.Number)
		l.redeemed = l.redeemed[1:]
	}
}

// Close permanently ends the issue and redemption of tickets.
func (l *Ledger[A]) Close() { l.closed = true }

// Handover is one part of the final state of a closed ledger. A ticket with a
// number from First to Last that has no record, and whose grace period had not
// ended when the ledger was closed, was never redeemed and never will be.
type Handover[A any] struct {
	Host        cornelbay.HostName
	Incarnation cornelbay.Incarnation
	First, Last uint64
	// UntilMs is the end of the last ticket's grace period, as a Unix time in
	// milliseconds.
	UntilMs int64
	Records []Record[A]
}

// MaxHandoverRecords is the maximum number of records in one Handover.
const MaxHandoverRecords = 4096

// HandOver closes the ledger and returns its final state in parts. The newest
// answers up to a total of maxBytes are included.
func (l *Ledger[A]) HandOver(now time.Time, maxBytes int) []Handover[A] {
	l.Close()
	l.advanceClock(now)
	records := l.finalRecords(maxBytes)
	var out []Handover[A]
	first := uint64(1)
	for {
		h := Handover[A]{
			Host: l.Host, Incarnation: l.Incarnation, First: first, Last: l.issued,
			UntilMs: l.clock.Add(Lifetime + Grace).UnixMilli(),
		}
		if len(records) > MaxHandoverRecords {
			h.Records, records = records[:MaxHandoverRecords], records[MaxHandoverRecords:]
			h.Last = h.Records[MaxHandoverRecords-1].Number
			first = h.Last + 1
			out = append(out, h)
			continue
		}
		h.Records = records
		return append(out, h)
	}
}

// finalRecords returns the records ordered by number. Answers are kept from the
// latest redemption backwards until their total exceeds maxBytes.
func (l *Ledger[A]) finalRecords(maxBytes int) []Record[A] {
	var out []Record[A]
	for _, n := range slices.Backward(l.redeemed) {
		r := *l.records[n]
		if r.Kept {
			maxBytes -= l.size(r.Answer)
		}
		if maxBytes < 0 {
			var none A
			r.Kept, r.Answer = false, none
		}
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b Record[A]) int { return cmp.Compare(a.Number, b.Number) })
	return out
}
