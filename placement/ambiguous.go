package placement

import (
	"slices"
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/registry"
)

// AmbiguousFlow is a flow whose opening was sent to several targets, or may have been, as one
// host announces it to the others. More than one target may answer; the caller then repeats the
// cookie of the last answer, although the target whose answer it acknowledged first has the flow.
type AmbiguousFlow struct {
	Key cornelbay.FlowKey
	// Tried are the cookies of the targets that were sent the opening.
	Tried []uint32
	// Chosen is the cookie of the target that has the flow, or 0 while that is unknown.
	Chosen uint32
	// ChosenAt is when the packet arrived that showed it, the first one after the opening at
	// the host that saw it. The earliest such packet is the best evidence: later ones may
	// carry the cookie of a late answer. It is zero if it is not known.
	ChosenAt time.Time
}

const (
	// maxAmbiguousFlows limits the ambiguous flows that wait to be announced; any beyond it
	// are dropped.
	maxAmbiguousFlows = 2048
	// maxTried limits the targets that are recorded for one flow.
	maxTried = 2 * maxAttempts
	// announceInterval is the shortest time between two announcements of one flow whose target
	// is known, unless another host asks for it.
	announceInterval = 200 * time.Millisecond
)

// AmbiguousFlows returns the ambiguous flows to be announced to other hosts since the last
// call.
func (p *Placer) AmbiguousFlows() []AmbiguousFlow {
	a := p.ambiguous
	p.ambiguous = nil
	return a
}

func (p *Placer) queueAmbiguous(a AmbiguousFlow) {
	if len(p.ambiguous) < maxAmbiguousFlows {
		a.Tried = slices.Clone(a.Tried[:min(len(a.Tried), maxAttempts)])
		p.ambiguous = append(p.ambiguous, a)
	}
}

// isAmbiguous reports whether the opening of a flow was sent to several targets, or may have been.
func (f *Flow) isAmbiguous() bool { return f.shared || len(f.tried) > 1 }

// known returns the announcement of a flow whose target is known.
func (f *Flow) known() AmbiguousFlow {
	return AmbiguousFlow{Key: f.key, Tried: f.tried, Chosen: f.target.Cookie, ChosenAt: f.chosenAt}
}

// announceOpening tells the other hosts that this host has sent an opening to a target, as they may
// have sent another copy of it to others.
func (p *Placer) announceOpening(f *Flow) {
	f.shared = true
	p.queueAmbiguous(AmbiguousFlow{Key: f.key, Tried: f.tried})
}

// announceTarget tells the other hosts which target has a flow.
func (p *Placer) announceTarget(now time.Time, f *Flow) {
	f.announcedAt = now
	p.queueAmbiguous(f.known())
}

// announceAgain is announceTarget with an interval, for announcements that packets cause.
func (p *Placer) announceAgain(now time.Time, f *Flow) {
	if now.Sub(f.announcedAt) >= announceInterval {
		p.announceTarget(now, f)
	}
}

// MergeAmbiguousFlow applies an announcement of another host, so that packets of the flow
// that the routers send to this host reach the target that has it.
func (p *Placer) MergeAmbiguousFlow(now time.Time, a AmbiguousFlow) {
	if p.view == nil || len(a.Tried) == 0 {
		return
	}
	if a.ChosenAt.IsZero() {
		a.ChosenAt = now
	}
	if f, ok := p.flows[a.Key]; ok && f.waiting {
		p.forget(f)
	}
	f, ok := p.flows[a.Key]
	if !ok || f.closed {
		m, known := p.view.Cookies[a.Tried[len(a.Tried)-1]]
		if !known || len(p.flows) >= maxFlows {
			return
		}
		f = &Flow{key: a.Key, service: m.Service, target: m, priority: p.priority(a.Key), lastSeen: now, adopted: true, idle: true}
		p.track(f)
	}
	if a.Chosen != 0 && a.ChosenAt.Before(f.sentSince.Add(-openingTime)) {
		return // an earlier flow between the same ports
	}
	f.shared, f.heardAt = true, now
	for _, cookie := range a.Tried {
		f.addTried(cookie)
	}
	switch {
	case a.Chosen == 0 && f.answered:
		// The routers sent the flow here: only this host knows which target has it.
		p.announceTarget(now, f)
	case a.Chosen == 0:
		// The first packet after the opening shows which target has the flow.
	case !f.answered:
		p.resolve(now, f, a.Chosen)
		f.chosenAt = a.ChosenAt
		p.dispatchFreed(now)
	case a.Chosen == f.target.Cookie:
		if a.ChosenAt.Before(f.chosenAt) {
			f.chosenAt = a.ChosenAt
		}
	case a.ChosenAt.Before(f.chosenAt):
		p.correct(now, f, a)
	default:
		p.announceAgain(now, f)
	}
}

// addTried records that the opening of a flow was sent to a target.
func (f *Flow) addTried(cookie uint32) {
	if len(f.tried) < maxTried && !slices.Contains(f.tried, cookie) {
		f.tried = append(f.tried, cookie)
	}
}

// correct moves a flow to the target that another host has seen earlier evidence for.
func (p *Placer) correct(now time.Time, f *Flow, a AmbiguousFlow) {
	m, ok := p.view.Cookies[a.Chosen]
	if !ok {
		return
	}
	p.corrections = append(p.corrections, Correction{Key: f.key, From: f.target, To: m, After: f.chosenAt.Sub(a.ChosenAt)})
	f.exchanges.End() // its outcome would count for the other target
	p.resolve(now, f, a.Chosen)
	f.chosenAt = a.ChosenAt
	p.dispatchFreed(now)
}

// Correction is a flow whose packets this host has sent to the wrong target, as it followed a
// cookie of a late answer.
type Correction struct {
	Key      cornelbay.FlowKey
	From, To *registry.Endpoint
	// After is the time between the evidence for the right target and that for the wrong one.
	After time.Duration
}

// Corrections returns the flows that were corrected since the last call.
func (p *Placer) Corrections() []Correction {
	c := p.corrections
	p.corrections = nil
	return c
}

// OpenAmbiguousFlows returns the open flows that were sent to several targets, for hosts that have
// not received their announcements. Those whose target is not known are among them as long as the
// first packet after their opening may still arrive, at any host: only a host that knows that a flow
// is ambiguous tells the others which target that packet has shown.
func (p *Placer) OpenAmbiguousFlows(now time.Time) []AmbiguousFlow {
	var all []AmbiguousFlow
	for _, f := range p.flows {
		switch {
		case len(all) == maxAmbiguousFlows:
			return all
		case !f.isAmbiguous() || f.closed:
		case f.answered:
			a := f.known()
			a.Tried = slices.Clone(a.Tried)
			all = append(all, a)
		case now.Sub(f.lastSeen) <= openingTime || now.Sub(f.heardAt) <= openingTime:
			all = append(all, AmbiguousFlow{Key: f.key, Tried: slices.Clone(f.tried)})
		}
	}
	return all
}
