package demo

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/config"
	"github.com/cornelbay/cornelbay/load"
	"github.com/cornelbay/cornelbay/objectstore"
	"github.com/cornelbay/cornelbay/operator"
	"github.com/cornelbay/cornelbay/standin"
)

// warmupLimits are the limits of the target that is started cold.
var warmupLimits = standin.WarmupLimits{Period: 4 * time.Second, MaxRequests: 1, OpeningRate: 1, OpeningBurst: 3}

// steps holds the targets and the data centre that the script's steps act on, and the
// times of the steps.
type steps struct {
	cold            *standinTarget
	reweighted      cornelbay.TargetName
	drained         *standinTarget
	drainedAt       time.Time
	outName         cornelbay.DataCentreName
	outAt           time.Time
	lastPacketAtOut time.Time
	// openingsBeforeBackIn is the number of flows opened at the data centre's targets from
	// the start of the run until it was brought back in; it only shows that the data
	// centre had traffic at all.
	openingsBeforeBackIn int
}

// step is one step of the script; it takes at least the time lasts.
type step struct {
	what  string
	lasts time.Duration
	do    func(ctx context.Context) error
}

func (r *run) script(ctx context.Context) error {
	r.pickTargets()
	if err := r.applyFirstConfig(ctx); err != nil {
		return err
	}
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	var wg sync.WaitGroup
	wg.Go(func() { r.flows.Run(loadCtx) })
	wg.Go(func() { r.requests.Run(loadCtx) })
	for _, s := range r.plan() {
		r.printf("%s", s.what)
		began := time.Now()
		if err := s.do(ctx); err != nil {
			return merry.Prepend(err, s.what)
		}
		if !wait(ctx, s.lasts-time.Since(began)) {
			return ctx.Err()
		}
		r.printCounters()
	}
	stopLoad()
	wg.Wait()
	return nil
}

func (r *run) plan() []step {
	killed, stopped := r.world.hosts[1], r.world.hosts[2]
	idle := func(context.Context) error { return nil }
	return []step{
		{"load of flows and requests", 2 * time.Second, idle},
		{"apply a change of weight", 1500 * time.Millisecond, r.changeWeight},
		{"drain " + string(r.steps.drained.Name), 2 * time.Second, r.drain},
		{"start " + string(r.steps.cold.Name) + " cold", 2500 * time.Millisecond, r.startCold},
		{"platform down; kill host " + string(killed.name), 2500 * time.Millisecond, func(context.Context) error {
			r.world.platform.Set(objectstore.Faults{Down: true})
			killed.kill()
			return nil
		}},
		{"platform up; start " + string(killed.name) + " again", time.Second, func(context.Context) error {
			r.world.platform.Set(objectstore.Faults{})
			return r.world.startHost(killed)
		}},
		{"stop host " + string(stopped.name) + " as planned", time.Second, func(ctx context.Context) error {
			return r.stopHost(ctx, stopped)
		}},
		{"start " + string(stopped.name) + " again", 1500 * time.Millisecond, func(context.Context) error {
			return r.world.startHost(stopped)
		}},
		{"take " + string(r.steps.outName) + " out", 4 * time.Second, r.takeOut},
		{"bring " + string(r.steps.outName) + " back in", 2500 * time.Millisecond, r.bringIn},
	}
}

// pickTargets picks the targets and the data centre of the script's steps.
func (r *run) pickTargets() {
	targets := r.Document.Services[0].Targets
	last := targets[len(targets)-1]
	r.steps.cold = r.world.standins[last.Name]
	r.steps.reweighted = targets[1].Name
	r.steps.drained = r.world.standins[targets[0].Name]
	dcs := r.Document.DataCentres
	r.steps.outName = dcs[len(dcs)-1].Name
}

// applyFirstConfig applies the document without the target that is added later, and
// waits until all hosts are ready.
func (r *run) applyFirstConfig(ctx context.Context) error {
	doc := r.Document.Clone()
	s := &doc.Services[0]
	s.Targets = s.Targets[:len(s.Targets)-1]
	if _, err := r.commit(func() (config.Head, error) {
		return r.world.operator.Apply(ctx, doc, change("first configuration"))
	}); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for len(r.world.readyHosts()) < len(r.world.hosts) {
		if !wait(ctx, readyPoll) {
			return merry.Errorf("%d of %d hosts are ready", len(r.world.readyHosts()), len(r.world.hosts))
		}
	}
	r.printf("%d hosts ready with %d targets of %s", len(r.world.hosts), len(r.world.standins), r.Document.Deployment)
	return nil
}

func change(reason string) operator.Change { return operator.Change{Author: "demo", Reason: reason} }

// commit runs apply and records the time at which its change was committed.
func (r *run) commit(apply func() (config.Head, error)) (config.Head, error) {
	h, err := apply()
	if err == nil {
		r.world.config.commit(h.Generation, time.Now())
	}
	return h, err
}

// edit commits a change of the document and waits until it is in force on all hosts.
func (r *run) edit(ctx context.Context, reason string, edit func(*config.Document) error) error {
	h, err := r.commit(func() (config.Head, error) { return r.world.operator.Edit(ctx, change(reason), edit) })
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if !r.world.config.waitInForce(ctx, h.Generation) {
		return merry.Errorf("generation %d did not come into force", h.Generation)
	}
	return nil
}

func (r *run) changeWeight(ctx context.Context) error {
	return r.edit(ctx, "weight", func(doc *config.Document) error {
		target(doc, r.steps.reweighted).Weight = 2
		return nil
	})
}

func (r *run) drain(ctx context.Context) error {
	r.steps.drainedAt = time.Now()
	return r.edit(ctx, "drain", func(doc *config.Document) error {
		target(doc, r.steps.drained.Name).Drain = true
		return nil
	})
}

func (r *run) startCold(ctx context.Context) error {
	r.steps.cold.standin.StartWarmup(time.Now(), warmupLimits, func(what string) {
		r.printf("  %s: %s", r.steps.cold.Name, what)
	})
	return r.edit(ctx, "new target", func(doc *config.Document) error {
		for i := range doc.Services {
			if s := &doc.Services[i]; s.Name == r.steps.cold.Service.Name {
				s.Targets = append(s.Targets, r.steps.cold.Target)
			}
		}
		return nil
	})
}

// target returns the named target of a document; it panics if there is none.
func target(doc *config.Document, name cornelbay.TargetName) *cornelbay.Target {
	for _, s := range doc.Services {
		for i := range s.Targets {
			if s.Targets[i].Name == name {
				return &s.Targets[i]
			}
		}
	}
	panic("no target " + name) // the script uses only targets of the document
}

func (r *run) stopHost(ctx context.Context, h *host) error {
	r.requests.SetStopping(h.daemon.Load().Self().HTTP)
	defer r.requests.SetStopping(netip.AddrPort{})
	return h.daemon.Load().Stop(ctx)
}

func (r *run) setOut(ctx context.Context, out bool) error {
	return r.edit(ctx, "data centre", func(doc *config.Document) error {
		for i := range doc.DataCentres {
			if dc := &doc.DataCentres[i]; dc.Name == r.steps.outName {
				dc.Out = out
			}
		}
		return nil
	})
}

func (r *run) takeOut(ctx context.Context) error {
	names := make(load.TargetNames)
	for _, p := range r.world.standins {
		if p.DataCentre == r.steps.outName {
			names[p.Name] = true
		}
	}
	r.steps.outAt = time.Now()
	r.flows.Abandon(r.steps.outAt, names)
	return r.setOut(ctx, true)
}

// bringIn records the number of flows opened at the data centre's targets so far and the
// time of the last packet or request there, then brings the data centre back in.
func (r *run) bringIn(ctx context.Context) error {
	f, q := r.flows.Stats(), r.requests.Stats()
	for _, p := range r.world.standins {
		if p.DataCentre == r.steps.outName {
			r.steps.openingsBeforeBackIn += f.Openings[p.Name]
			r.steps.lastPacketAtOut = latest(r.steps.lastPacketAtOut, f.LastPacket[p.Name], q.LastRequest[p.Name])
		}
	}
	r.flows.Abandon(time.Now(), nil)
	return r.setOut(ctx, false)
}

func latest(times ...time.Time) time.Time {
	var out time.Time
	for _, t := range times {
		if t.After(out) {
			out = t
		}
	}
	return out
}

func (r *run) printCounters() {
	f, q := r.flows.Stats(), r.requests.Stats()
	open, all := r.flows.OpenFlows()
	r.printf("  flows %d of %d open, %d moved, %d stalled; packets %d sent, %d arrived; requests %d answered, %d faults, %d not run, %d unknown, %d failed",
		open, all, f.Moved, f.Stalled, f.Sent, f.Received, q.Answered, q.ErrorAnswers, q.NotRun, q.Unknown, q.Failed)
}
