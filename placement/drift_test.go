package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/registry"
)

// checkCounts fails unless the counts of open, borrowed and waiting flows are those of the
// recorded flows.
func checkCounts(p *Placer) error {
	open, lent, waiting := make(map[uint32]int), make(map[*borrowed]int), 0
	for key, f := range p.flows {
		if f.key != key {
			return fmt.Errorf("flow %v is recorded as %v", f.key, key)
		}
		if !f.idle && !f.closed {
			open[f.target.Cookie]++
			if f.borrowed != nil {
				lent[f.borrowed]++
			}
		}
		if f.waiting {
			waiting++
			if _, ok := p.pending[key]; ok || f.target != nil || f.answered || !f.idle {
				return fmt.Errorf("flow %v waits but is open", key)
			}
		}
	}
	for cookie, t := range p.targets {
		if t.open != open[cookie] {
			return fmt.Errorf("target %d has %d open flows, not %d", cookie, open[cookie], t.open)
		}
		delete(open, cookie)
	}
	if len(open) > 0 {
		return fmt.Errorf("targets without state have open flows: %v", open)
	}
	for name, s := range p.services {
		held := 0
		for _, r := range s.held.Expire(start, true) {
			f := r.Value
			if f.heldPackets == nil || !f.idle || f.closed || p.flows[f.key] != f {
				return fmt.Errorf("flow %v is held but not at rest", f.key)
			}
			s.held.Add(r)
			held++
		}
		for key, f := range p.flows {
			if f.service == name && f.heldPackets != nil {
				held--
			}
			if f.heldPackets != nil && !f.idle {
				return fmt.Errorf("flow %v is held and at work", key)
			}
		}
		if held != 0 {
			return fmt.Errorf("service %s has %d requests held that no flow has", name, held)
		}
		for _, b := range []*borrowed{&s.borrowedNear, &s.borrowedFar} {
			if b.open != lent[b] {
				return fmt.Errorf("service %s has %d borrowed flows, not %d", name, lent[b], b.open)
			}
		}
	}
	if p.Waiting() != waiting {
		return fmt.Errorf("%d flows wait, not %d", waiting, p.Waiting())
	}
	for key, f := range p.pending {
		if p.flows[key] != f {
			return fmt.Errorf("pending flow %v is not recorded", key)
		}
	}
	return nil
}

// driftViews returns views between which TestCountsDoNotDrift changes: with other targets,
// hosts, objectives or routes.
func driftViews() []*registry.View {
	base := func() *registry.View {
		v := limited(warmTarget(1, "near"), warmTarget(2, "near"), warmTarget(3, "far"), warmTarget(4, "far"))
		v.Hosts = append(v.Hosts, registry.Host{Name: "near2", DataCentre: "near"}, registry.Host{Name: "far", DataCentre: "far"})
		return v
	}
	unlimited, noRoute, noTargets, alone := base(), base(), base(), base()
	for _, r := range unlimited.Routes {
		r.Objective = 0
	}
	delete(noRoute.Routes, key(0).Destination)
	noTargets.Services, noTargets.Cookies = map[cornelbay.ServiceName][]*registry.Endpoint{}, map[uint32]*registry.Endpoint{}
	alone.Hosts = alone.Hosts[:1]
	draining := next(base(), func(m *registry.Endpoint) { m.Draining = m.Cookie%2 == 0 })
	restarted := next(base(), func(m *registry.Endpoint) { m.StartedMs = 5 })
	return []*registry.View{base(), base(), base(), alone, unlimited, noRoute, noTargets, draining, restarted}
}

// TestCountsDoNotDrift guards against counts of flows that go wrong on some path by which a
// flow ends, is retried, goes to another target, is taken over, falls silent or is refused:
// the host would then use too few or too many slots for good. Each opening that waits gets
// one decision, unless its retransmission or another host decides.
func TestCountsDoNotDrift(t *testing.T) {
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 1))
		views := driftViews()
		p := placer(views[0])
		now, ports := start, 60
		undecided := make(map[cornelbay.FlowKey]bool)
		for step := range 4000 {
			now = now.Add(time.Duration(rng.IntN(4)) * time.Millisecond)
			k := key(rng.IntN(ports))
			if rng.IntN(2) == 0 {
				k.Destination = urgentAddress
			}
			cookie := uint32(1 + rng.IntN(4))
			if f, ok := p.flows[k]; ok && f.target != nil && rng.IntN(8) > 0 {
				cookie = f.target.Cookie
			}
			switch op := rng.IntN(100); {
			case op < 40:
				retransmitted := rng.IntN(8) == 0
				if retransmitted {
					delete(undecided, k)
				}
				if _, err := p.Open(now, Opening{Key: k, Service: service, Packet: []byte("opening"), Copy: copyNumber(retransmitted)}); err == ErrWaiting {
					undecided[k] = true
				}
			case op < 85:
				p.RoutePacket(now, k, Segment{
					Cookie: cookie, Sequence: uint32(step), Bytes: rng.IntN(2), Acknowledged: uint32(step * rng.IntN(3)), Finishing: rng.IntN(4) == 0,
				})
			case op < 88:
				chosen := uint32(0)
				if rng.IntN(2) == 0 {
					chosen = cookie
				}
				delete(undecided, k)
				p.MergeAmbiguousFlow(now, AmbiguousFlow{Key: k, Tried: []uint32{cookie, 1 + cookie%4}, Chosen: chosen})
			case op < 89:
				p.SetView(views[rng.IntN(len(views))])
			case op < 90:
				p.Report(now, now.Add(-time.Second))
			case rng.IntN(100) == 0:
				now = now.Add(time.Duration(rng.IntN(25)) * time.Second)
			default:
				p.Tick(now)
			}
			if err := checkCounts(p); err != nil {
				t.Fatalf("seed %d, step %d: %v", seed, step, err)
			}
			for _, a := range p.Admissions() {
				if !undecided[a.Key] || len(a.Opening) == 0 {
					t.Fatalf("seed %d, step %d: decision on an opening that doesn't wait: %+v", seed, step, a)
				}
				delete(undecided, a.Key)
			}
			if len(undecided) != p.Waiting() {
				t.Fatalf("seed %d, step %d: %d openings without a decision, %d wait", seed, step, len(undecided), p.Waiting())
			}
		}
	}
}
