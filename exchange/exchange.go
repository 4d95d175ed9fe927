// Package exchange follows the requests and answers on a flow by the packets of its caller, the
// only ones that a host sees. A flow may have many, with pauses between them, so that neither its
// duration nor the number of bytes says how its target serves requests. It reads no clock.
package exchange

import "time"

// maxAdvance is more bytes than a caller sends or acknowledges between two packets that this host
// sees. A packet that acknowledges more carries no valid acknowledgement, as resets do.
const maxAdvance = 1 << 24

// Exchange is a request and its answer.
type Exchange struct {
	// Begun is when the request began, and zero if there is none.
	Begun time.Time
	// AnsweredAt is when the caller first acknowledged data of the answer.
	AnsweredAt time.Time
	// Partial is true if this host may not have seen the beginning of the request.
	Partial bool
	// ackedBefore is the caller's acknowledgement number when the request began.
	ackedBefore uint32
}

// Tracker follows the exchanges of one flow. Its zero value has seen no packet.
type Tracker struct {
	// Last is the last exchange.
	Last Exchange
	// acked is the highest acknowledgement number of the caller, and dataEnd the sequence number
	// after the last data of the caller, if it has sent any.
	acked, dataEnd uint32
	hasData        bool
}

// Start sets the acknowledgement number of the caller in the first packet that this host sees.
func (t *Tracker) Start(acknowledged uint32) { t.acked = acknowledged }

// Begin records that a request begins.
func (t *Tracker) Begin(now time.Time, partial bool) {
	t.Last = Exchange{Begun: now, Partial: partial, ackedBefore: t.acked}
}

// End forgets the last exchange.
func (t *Tracker) End() { t.Last = Exchange{} }

// Acknowledge records an acknowledgement number, and reports whether it shows the beginning of the
// answer to the last request.
func (t *Tracker) Acknowledge(now time.Time, acknowledged uint32) (answered bool) {
	advance := acknowledged - t.acked
	if advance < maxAdvance {
		t.acked = acknowledged
	}
	e := &t.Last
	if advance == 0 || advance >= maxAdvance || e.Begun.IsZero() || !e.AnsweredAt.IsZero() {
		return false
	}
	e.AnsweredAt = now
	return true
}

// AnswerBytes returns how much of the answer to the last request the caller has acknowledged.
func (t *Tracker) AnswerBytes() uint32 { return t.acked - t.Last.ackedBefore }

// SendsData records data of the caller, and reports whether the caller has not sent it before.
func (t *Tracker) SendsData(sequence uint32, n int) bool {
	end := sequence + uint32(n)
	if n == 0 || t.hasData && end-t.dataEnd-1 >= maxAdvance {
		return false
	}
	t.hasData, t.dataEnd = true, end
	return true
}
