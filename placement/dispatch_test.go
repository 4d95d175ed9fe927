package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelbay/cornelbay/registry"
)

// flowsAt returns the numbers of the flows of fill that are open at a target.
func flowsAt(p *Placer, cookie uint32) []int {
	var all []int
	for n := range 100 {
		if f, ok := p.flows[key(1000+n)]; ok && f.target != nil && f.target.Cookie == cookie {
			all = append(all, n)
		}
	}
	return all
}

// TestWaitingOpeningIsNotSentToAFormerTarget guards against openings that are sent to a target
// that has started draining, or has ended, while they waited.
func TestWaitingOpeningIsNotSentToAFormerTarget(t *testing.T) {
	is := is.New(t)
	v := limited(warmTarget(1, "near"), warmTarget(2, "near"))
	p := placer(v)
	fill(t, p, start)
	p.SetView(next(v, func(m *registry.Endpoint) { m.Draining = m.Cookie == 1 }))
	now := start.Add(10 * time.Millisecond)
	for _, n := range flowsAt(p, 1) {
		serve(p, now, n)
	}
	p.Tick(now)
	for _, a := range p.Admissions() {
		is.True(a.Target == nil || a.Target.Cookie == 2)
	}
	is.Equal(p.Waiting(), 1)
	serve(p, now, flowsAt(p, 2)[0])
	is.Equal(len(p.Admissions()), 1)
}
