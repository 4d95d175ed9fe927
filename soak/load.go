package soak

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// shortageCallers and loadCallers are the callers of a shortage and of other steps of
	// load, per slot of the service, up to maxLoadCallers.
	shortageCallers = 24
	loadCallers     = 2
	maxLoadCallers  = 300
	refusedPause    = 200 * time.Millisecond // the longest, after a flow that wasn't answered
	// warmUpTime is the warm-up that fresh targets announce. The configuration allows no
	// openings at them before its end.
	warmUpTime = 800 * time.Millisecond
	outageTime = 500 * time.Millisecond // of the targets that recover under load
)

// slowFactors are the times of requests at uneven targets, relative to workTime.
var slowFactors = []time.Duration{1, 3, 1, 8}

// load takes a step of load.
func (r *run) load(s Step) {
	service, callers := services[s.On%len(services)], loadCallers
	targets := r.live(service)
	if s.Fault == Shortage {
		callers = shortageCallers
	}
	callers = min(callers*slots*len(targets), maxLoadCallers)
	var step sync.WaitGroup
	defer step.Wait()
	step.Go(func() { r.burst(s, service, callers) })
	switch {
	case s.Fault == Uneven:
		for i, t := range targets {
			t.Work.Store(int64(workTime * slowFactors[(s.On+i)%len(slowFactors)]))
		}
		r.wait(s.For)
		for _, t := range targets {
			t.Work.Store(int64(workTime))
		}
	case s.Fault == Fresh && s.On/2%2 == 0:
		defer r.begin(harmed + service)()
		half := targets[:len(targets)/2]
		r.world.mu.Lock()
		for _, t := range half {
			t.doubtful = true
			t.Silent.Store(true)
		}
		r.world.mu.Unlock()
		r.wait(outageTime)
		for _, t := range half {
			t.Silent.Store(false)
		}
	case s.Fault == Fresh:
		t := r.replace(targets[s.On%len(targets)], false, warmUpTime)
		r.wait(warmUpTime)
		if t != nil && t.Openings() > 0 {
			r.violate("%s got %d openings in its warm-up", t.Name, t.Openings())
		}
	}
}

// live returns the targets of a service that get new flows.
func (r *run) live(service string) []*target {
	r.world.mu.Lock()
	defer r.world.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(r.targets), func(t *target) bool {
		return t.service != service || t.ended || t.draining
	})
}

// burst lets callers open flows one after the other until the step ends.
func (r *run) burst(s Step, service string, callers int) {
	var answered, other atomic.Int64
	until := time.Now().Add(s.For)
	var running sync.WaitGroup
	for n := range callers {
		running.Go(func() {
			rng := rand.New(rand.NewPCG(r.o.Seed, uint64((s.Number+2)<<16|n)))
			for time.Now().Before(until) && r.ctx.Err() == nil {
				on := rng.IntN(len(routes))
				if routes[on].service != service {
					continue
				}
				if r.flow(rng, on, 1, 0) {
					answered.Add(1)
					continue
				}
				other.Add(1)
				r.wait(time.Duration(rng.Int64N(int64(refusedPause))))
			}
		})
	}
	running.Wait()
	r.o.Tell("%3d %s of %s ended: %d flows answered, %d not", s.Number, s.Fault, service, answered.Load(), other.Load())
}

// wait waits unless the run ends.
func (r *run) wait(d time.Duration) {
	select {
	case <-r.ctx.Done():
	case <-time.After(d):
	}
}

// troubled returns what a step puts into trouble.
func (r *run) troubled(s Step, p *process) []string {
	switch s.Fault {
	case Kill, SetBack, Stop, Pause:
		return []string{r.packets(p).String()}
	case Shortage, Uneven, Fresh:
		return []string{loaded + services[s.On%len(services)]}
	case TargetSlow, TargetDrains, Evacuate:
		return []string{loaded + services[0], loaded + services[1]}
	case TargetSilent, TargetCrashes:
		return []string{harmed + services[0], harmed + services[1]}
	}
	return nil
}
