package measure

import "time"

// scenario is a load with a fault. ends is when the fault is over; zero stands
// for never, and no recovery is measured.
type scenario struct {
	name  string
	load  float64
	ends  time.Duration
	start func(r *requestRun, w world)
}

// world is what a fault can touch besides the targets.
type world interface {
	// killHost ends the host that matters most to the service.
	killHost()
	// stopHost starts the planned stop of that host.
	stopHost()
	// drain tells operators' wish that the target gets nothing new.
	drain(t *FakeTarget)
	// silence makes half of the open connections to targets silent for good.
	silence()
	// loseAnswers makes callers lose the first answer to half of their requests
	// that are not idempotent; they send those again through other hosts.
	loseAnswers()
	// lieAboutLoad makes the targets report that they are idle.
	lieAboutLoad()
}

var scenarios = []scenario{
	{name: "steady", load: 0.5},
	{name: "steady", load: 0.7},
	{name: "steady", load: 0.85},
	{name: "steady", load: 0.95},
	{name: "overload", load: 1.5},
	{name: "targetTurnsCold", load: 0.7, ends: faultAt + faultFor, start: turnCold},
	{name: "targetSheds", load: 0.7, ends: faultAt + faultFor, start: shedAll},
	{name: "loadReportLies", load: 0.7, ends: faultAt + faultFor, start: func(r *requestRun, w world) {
		w.lieAboutLoad()
		turnCold(r, w)
	}},
	{name: "lateAnswers", load: 0.7, start: func(r *requestRun, _ world) { r.share(0.05, 0) }},
	{name: "truncatedAnswers", load: 0.7, start: func(r *requestRun, _ world) { r.share(0, 0.05) }},
	{name: "silentConnections", load: 0.7, start: func(_ *requestRun, w world) { w.silence() }},
	{name: "hostDies", load: 0.7, ends: faultAt, start: func(_ *requestRun, w world) { w.killHost() }},
	{name: "hostStops", load: 0.7, ends: faultAt, start: func(_ *requestRun, w world) { w.stopHost() }},
	{name: "targetDrains", load: 0.7, start: func(r *requestRun, w world) {
		t := r.targets[0]
		t.Closed = r.Now.Add(drainBound)
		w.drain(t)
	}},
	{name: "callerResubmits", load: 0.7, start: func(r *requestRun, w world) {
		w.loseAnswers()
		r.After(time.Second, w.killHost)
	}},
	{name: "retryStorm", load: 0.7, ends: faultAt + faultFor, start: func(r *requestRun, _ world) {
		for _, t := range r.targets {
			t.Speed = 0.2
		}
		r.After(faultFor, r.speedUp)
	}},
}

// turnCold slows the first target to a fifth; it bears one request at a time,
// counted from a second later on, when there is evidence.
func turnCold(r *requestRun, _ world) {
	t := r.targets[0]
	t.Speed, t.Bears, t.BearsFrom = 0.2, 1, r.Now.Add(time.Second)
	r.After(faultFor, r.speedUp)
}

func shedAll(r *requestRun, _ world) {
	r.targets[0].Sheds = true
	r.After(faultFor, func() { r.targets[0].Sheds = false })
}

func (r *requestRun) speedUp() {
	for _, t := range r.targets {
		t.Speed, t.Bears = 1, 0
	}
}

func (r *requestRun) share(late, truncated float64) {
	for _, t := range r.targets {
		t.LateShare, t.CutShare = late, truncated
	}
}
