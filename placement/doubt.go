package placement

import (
	"slices"
	"time"

	"github.com/cornelbay/cornelbay"
)

// AmbiguousFlow is a flow whose opening went to several targets, as one host tells the
// others: more than one may answer, and the caller then repeats the cookie of the
// last answer, though the first that it acknowledged has the flow.
type AmbiguousFlow struct {
	Key cornelbay.FlowKey
	// Tried are the cookies of the targets that got the opening.
	Tried []uint32
	// Chosen is the cookie of the target that has the flow, or 0 while that is not
	// known.
	Chosen uint32
}

// maxDoubts bounds the doubts that wait to be told; others are not told.
const maxDoubts = 256

// AmbiguousFlows returns what is to be told to other hosts since the last call.
func (p *Placer) AmbiguousFlows() []AmbiguousFlow {
	d := p.doubts
	p.doubts = nil
	return d
}

func (p *Placer) publish(d AmbiguousFlow) {
	if len(p.doubts) < maxDoubts {
		d.Tried = slices.Clone(d.Tried)
		p.doubts = append(p.doubts, d)
	}
}

// MergeAmbiguousFlow takes over an ambiguous flow of another host, so that packets of the flow that the
// routers send here reach the target that has it.
func (p *Placer) MergeAmbiguousFlow(now time.Time, d AmbiguousFlow) {
	if p.view == nil || len(d.Tried) == 0 {
		return
	}
	f, ok := p.flows[d.Key]
	if !ok || f.closed {
		m, known := p.view.Cookies[d.Tried[len(d.Tried)-1]]
		if !known || len(p.flows) >= maxFlows {
			return
		}
		f = &Flow{key: d.Key, service: m.Service, member: m, seen: now, adopted: true, idle: true}
		p.record(f)
	}
	for _, cookie := range d.Tried {
		if !slices.Contains(f.tried, cookie) {
			f.tried = append(f.tried, cookie)
		}
	}
	switch {
	case d.Chosen != 0 && !f.answered:
		p.settle(now, f, d.Chosen)
	case d.Chosen == 0 && f.answered:
		// The routers have sent the flow here: only this host knows who has it.
		p.publish(AmbiguousFlow{Key: f.key, Tried: f.tried, Chosen: f.member.Cookie})
	}
}

// ResolvedFlows returns the flows that were in doubt and are still open, for a host that
// has not been told of them.
func (p *Placer) ResolvedFlows() []AmbiguousFlow {
	var all []AmbiguousFlow
	for _, f := range p.flows {
		if len(f.tried) > 1 && f.answered && !f.closed && len(all) < maxDoubts {
			all = append(all, AmbiguousFlow{Key: f.key, Tried: slices.Clone(f.tried), Chosen: f.member.Cookie})
		}
	}
	return all
}
