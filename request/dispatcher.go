package request

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cornelbay/cornelbay"
)

// Dispatcher takes the decisions on requests; it may be used by many goroutines.
type Dispatcher struct {
	Self cornelbay.HostName

	mu       sync.Mutex
	services map[cornelbay.ServiceName]cornelbay.Service
	running  map[AttemptID]Attempt
	inFlight map[cornelbay.TargetName]int
	last     AttemptID
}

// SetServices takes the services in force and the data centres that are out.
func (d *Dispatcher) SetServices(now time.Time, services []cornelbay.Service, out map[cornelbay.DataCentreName]bool) []cornelbay.Effect {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.services = make(map[cornelbay.ServiceName]cornelbay.Service)
	for _, s := range services {
		s.Targets = slices.DeleteFunc(slices.Clone(s.Targets), func(t cornelbay.Target) bool {
			return t.Drain || out[t.DataCentre]
		})
		d.services[s.Name] = s
	}
	return nil
}

// SetMembers takes what is known of the hosts of the group.
func (d *Dispatcher) SetMembers(now time.Time, m cornelbay.Members) []cornelbay.Effect { return nil }

// SetStates takes the agreed states of the targets.
func (d *Dispatcher) SetStates(now time.Time, states []cornelbay.TargetState) []cornelbay.Effect {
	return nil
}

// Receive takes a control message of the request path from another host.
func (d *Dispatcher) Receive(now time.Time, from cornelbay.HostName, m cornelbay.Message) []cornelbay.Effect {
	return nil
}

// Tick returns the effects that are due at now.
func (d *Dispatcher) Tick(now time.Time) []cornelbay.Effect { return nil }

// Stop starts the planned stop: no new request is taken.
func (d *Dispatcher) Stop(now time.Time) []cornelbay.Effect { return nil }

// Idle reports whether nothing runs and nothing waits.
func (d *Dispatcher) Idle() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.running) == 0
}

// Submit takes a caller's request; exactly one Finish follows for it.
func (d *Dispatcher) Submit(now time.Time, r Request) []cornelbay.Effect {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.services[r.Service]
	if !ok || len(s.Targets) == 0 {
		return refuse(r.ID, http.StatusServiceUnavailable)
	}
	t := slices.MinFunc(s.Targets, func(a, b cornelbay.Target) int {
		return d.inFlight[a.Name] - d.inFlight[b.Name]
	})
	d.last++
	a := Attempt{ID: d.last, Request: r, Target: t.Name, Address: t.HTTP, Deadline: r.Deadline}
	d.start(a)
	return []cornelbay.Effect{a}
}

func (d *Dispatcher) start(a Attempt) {
	if d.running == nil {
		d.running = make(map[AttemptID]Attempt)
		d.inFlight = make(map[cornelbay.TargetName]int)
	}
	d.running[a.ID] = a
	d.inFlight[a.Target]++
}

// Ended takes the result of an attempt.
func (d *Dispatcher) Ended(now time.Time, res AttemptResult) []cornelbay.Effect {
	d.mu.Lock()
	defer d.mu.Unlock()
	a, ok := d.running[res.ID]
	if !ok {
		return nil
	}
	delete(d.running, res.ID)
	d.inFlight[a.Target]--
	f := Finish{Request: a.Request.ID, Response: res.Response}
	switch {
	case res.Whole:
		f.Response.Outcome = cornelbay.Answered
	case res.Proof != NoProof:
		f.Response = Response{Status: http.StatusServiceUnavailable, Outcome: cornelbay.NotRun, RetryAfter: time.Second}
	default:
		f.Response = Response{Status: http.StatusBadGateway, Outcome: cornelbay.Unknown}
	}
	return []cornelbay.Effect{f}
}

func refuse(id ID, status int) []cornelbay.Effect {
	r := Response{Status: status, Outcome: cornelbay.NotRun, RetryAfter: time.Second}
	return []cornelbay.Effect{Finish{Request: id, Response: r}}
}
