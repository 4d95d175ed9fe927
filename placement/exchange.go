package placement

import "time"

func (p *Placer) beginExchange(now time.Time, f *Flow, partial bool) {
	f.exchanges.Begin(now, partial)
	p.markActive(now, f)
}

// follow updates the exchange of a flow by a packet of the caller. It reports whether the
// packet is held.
func (p *Placer) follow(now time.Time, f *Flow, s Segment) (held bool) {
	if f.exchanges.Acknowledge(now, s.Acknowledged) {
		p.markIdle(now, f)
		if e := &f.exchanges.Last; !e.Partial {
			p.answers.RecordDuration(f.service, now.Sub(e.Begun))
		}
	}
	if f.heldPackets != nil {
		p.holdPacket(f, s)
		return true
	}
	if !f.exchanges.SendsData(s.Sequence, s.Bytes) {
		return false
	}
	// Data after an answer is the next request. Data before one belongs to the same.
	last := f.exchanges.Last
	if answered := !last.AnsweredAt.IsZero(); answered || last.Begun.IsZero() {
		p.endExchange(f)
		if answered && p.holdRequest(now, f, s) {
			return true
		}
		p.startRequest(now, f, !answered)
	}
	return false
}

// startRequest records that a request on an open flow is sent to the flow's target.
func (p *Placer) startRequest(now time.Time, f *Flow, partial bool) {
	f.contended = p.contended(now, f)
	p.beginExchange(now, f, partial)
}

// endExchange records the outcome of the last exchange of a flow.
func (p *Placer) endExchange(f *Flow) {
	if e := &f.exchanges.Last; !e.Begun.IsZero() && !e.Partial {
		p.recordOutcome(f, p.truncated(f))
	}
	f.exchanges.End()
}
