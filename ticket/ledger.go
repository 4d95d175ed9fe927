package ticket

import (
	"cmp"
	"slices"
	"time"

	"github.com/cornelbay/cornelbay"
)

// The limits of a Ledger.
const (
	// Lifetime is the time from issue to expiry of a ticket.
	Lifetime = time.Minute
	// Grace is the time after expiry for which redemptions are remembered.
	Grace = 30 * time.Second
	// MaxBatch is the most tickets that are issued at once.
	MaxBatch = 64
	// MaxOutstanding is the most issued tickets that are not past their grace,
	// so that every redemption can be remembered.
	MaxOutstanding = 1 << 16
	// MaxPerCaller is the most of those of one caller.
	MaxPerCaller = MaxOutstanding / 16
	// MaxAnswerBytes bounds the remembered answers of a ledger.
	MaxAnswerBytes = 8 << 20
)

// Digest identifies the content of a request.
type Digest [32]byte

// Record is what is remembered of a redeemed ticket.
type Record[A any] struct {
	Number   uint64
	Digest   Digest
	ExpiryMs int64
	// Settled is true when the run of the request has ended.
	Settled bool
	// Kept is true when Answer holds the answer of the settled request.
	Kept   bool
	Answer A
}

// Ledger keeps the tickets of one start of a host; one goroutine uses it.
type Ledger[A any] struct {
	Host        cornelbay.HostName
	Incarnation cornelbay.Incarnation
	// Size returns the bytes of an answer; nil counts every answer as 0.
	Size func(A) int

	issued  uint64
	batches []batch
	out     int
	callers map[string]int
	latest  time.Time
	records map[uint64]*Record[A]
	// order holds the numbers of the records by redemption.
	order  []uint64
	kept   []uint64
	bytes  int
	closed bool
}

// batch is a number of tickets that were issued to a caller with one expiry.
type batch struct {
	expiry time.Time
	caller string
	n      int
}

// Issue returns n new tickets, at most MaxBatch; none after Close, and fewer
// while MaxOutstanding are out or MaxPerCaller of the caller.
func (l *Ledger[A]) Issue(now time.Time, service cornelbay.ServiceName, caller string, n int) []Ticket {
	l.advance(now)
	if l.closed {
		return nil
	}
	n = max(0, min(n, MaxBatch, MaxOutstanding-l.out, MaxPerCaller-l.callers[caller]))
	at := l.latest.Add(Lifetime)
	if n > 0 {
		l.count(caller, n)
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

// count adds n to the outstanding tickets of a caller.
func (l *Ledger[A]) count(caller string, n int) {
	if l.callers == nil {
		l.callers = make(map[string]int)
	}
	l.out += n
	if l.callers[caller] += n; l.callers[caller] == 0 {
		delete(l.callers, caller)
	}
}

// Lookup returns the record of a redeemed ticket of this ledger.
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
// never redeemed: records are dropped only after the expiry and Grace.
func (l *Ledger[A]) Remembers(now time.Time, t Ticket) bool {
	l.advance(now)
	return l.Issued(t) && !l.latest.After(t.Expiry().Add(Grace))
}

// Redeem takes a ticket for the request with the given digest. The first time
// it returns true: the request may run. Later it returns the record.
func (l *Ledger[A]) Redeem(now time.Time, t Ticket, d Digest) (Record[A], bool, error) {
	l.advance(now)
	if !l.Issued(t) {
		return Record[A]{}, false, ErrIssuer
	}
	if r, ok := l.records[t.Number]; ok {
		if r.Digest != d {
			return *r, false, ErrDigest
		}
		return *r, false, nil
	}
	if l.latest.After(t.Expiry()) {
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
	l.order = append(l.order, t.Number)
	return *r, true, nil
}

// Settle remembers the answer of a redeemed ticket, while there is room.
func (l *Ledger[A]) Settle(number uint64, a A) {
	r, ok := l.records[number]
	if !ok || r.Settled {
		return
	}
	r.Settled, r.Kept, r.Answer = true, true, a
	l.kept = append(l.kept, number)
	l.bytes += l.size(a)
	for l.bytes > MaxAnswerBytes && len(l.kept) > 0 {
		l.forget(l.kept[0])
		l.kept = l.kept[1:]
	}
}

func (l *Ledger[A]) size(a A) int {
	if l.Size == nil {
		return 0
	}
	return l.Size(a)
}

func (l *Ledger[A]) forget(number uint64) {
	r, ok := l.records[number]
	if !ok || !r.Kept {
		return
	}
	var none A
	l.bytes -= l.size(r.Answer)
	r.Kept, r.Answer = false, none
}

// advance drops records past their grace; the ledger's time never goes back.
func (l *Ledger[A]) advance(now time.Time) {
	if now.After(l.latest) {
		l.latest = now
	}
	for len(l.batches) > 0 && l.latest.After(l.batches[0].expiry.Add(Grace)) {
		l.count(l.batches[0].caller, -l.batches[0].n)
		l.batches = l.batches[1:]
	}
	// A ticket redeemed early may expire after one redeemed late, so that the
	// records of a ledger are dropped in order of redemption, a little late.
	for len(l.order) > 0 {
		r := l.records[l.order[0]]
		if !l.latest.After(time.UnixMilli(r.ExpiryMs).Add(Grace)) {
			return
		}
		l.forget(r.Number)
		delete(l.records, r.Number)
		l.order = l.order[1:]
	}
}

// Close ends issue and redemption for good.
func (l *Ledger[A]) Close() { l.closed = true }

// Handover is a part of the final state of a closed ledger: every ticket with a
// number from First to Last that has no record was never redeemed and never
// will be.
type Handover[A any] struct {
	Host        cornelbay.HostName
	Incarnation cornelbay.Incarnation
	First, Last uint64
	// UntilMs is when the last ticket's grace ends, in milliseconds since 1970.
	UntilMs int64
	Records []Record[A]
}

// HandoverRecords is the most records of one Handover.
const HandoverRecords = 4096

// HandOver closes the ledger and returns its final state in parts, without the
// oldest answers that exceed maxBytes together.
func (l *Ledger[A]) HandOver(now time.Time, maxBytes int) []Handover[A] {
	l.Close()
	l.advance(now)
	records := l.final(maxBytes)
	var out []Handover[A]
	first := uint64(1)
	for {
		h := Handover[A]{
			Host: l.Host, Incarnation: l.Incarnation, First: first, Last: l.issued,
			UntilMs: l.latest.Add(Lifetime + Grace).UnixMilli(),
		}
		if len(records) > HandoverRecords {
			h.Records, records = records[:HandoverRecords], records[HandoverRecords:]
			h.Last = h.Records[HandoverRecords-1].Number
			first = h.Last + 1
			out = append(out, h)
			continue
		}
		h.Records = records
		return append(out, h)
	}
}

// final returns the records by number, with the newest answers up to maxBytes.
func (l *Ledger[A]) final(maxBytes int) []Record[A] {
	var out []Record[A]
	for _, n := range slices.Backward(l.order) {
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
