package matrix

import (
	"context"
	"errors"
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/config"
	"github.com/cornelbay/cornelbay/configsync"
	"github.com/cornelbay/cornelbay/measure"
	"github.com/cornelbay/cornelbay/objectstore"
	"github.com/cornelbay/cornelbay/operator"
	"github.com/cornelbay/cornelbay/peer"
)

// blocked is what keeps a host from hearing of changes.
type blocked struct {
	// cut hosts exchange nothing with other data centres nor the platform; deaf
	// ones hear nothing of the configuration.
	cut, deaf, paused bool
	// since is the last time at which the host was kept from hearing, or started.
	since time.Time
	// cutAt is the start of the last cut.
	cutAt time.Time
	// wokeAt is the end of the last pause.
	wokeAt   time.Time
	buffered []packet
}

func (b *blocked) now() bool { return b.cut || b.deaf || b.paused }

// Kill ends a host without warning; its targets' flows are not excused.
func (w *World) Kill(actor cornelbay.HostName) {
	name := w.pick(actor)
	if name == "" {
		return
	}
	w.Nodes[name].Dead = true
	w.dropCalls(name)
}

// Join starts a host that was not there before.
func (w *World) Join() {
	name := hostName(len(w.settings))
	w.start(name, w.centres[len(w.settings)%len(w.centres)], 1)
}

// Pause stops a host for a while without its knowledge.
func (w *World) Pause(actor cornelbay.HostName, length time.Duration) {
	name := w.pick(actor)
	if name == "" {
		return
	}
	n, b := w.Nodes[name], w.blocked[name]
	n.Paused, b.paused = true, true
	w.After(length, func() {
		n.Paused, b.paused, b.wokeAt = false, false, w.Now
		w.wake(n)
	})
}

// Deafen keeps a host from hearing of the configuration for a while.
func (w *World) Deafen(actor cornelbay.HostName, length time.Duration) {
	name := w.pick(actor)
	if name == "" {
		return
	}
	b := w.blocked[name]
	b.deaf = true
	w.After(length, func() { b.deaf, b.since = false, w.Now })
}

// deafened reports whether an effect is lost to a deaf host.
func (w *World) deafened(n *measure.Node, e cornelbay.Effect) bool {
	c, ok := e.(peer.Call)
	if !ok || !w.blocked[n.Self.Name].deaf {
		return false
	}
	_, fetch := c.Args.(configsync.FetchArgs)
	return fetch
}

// CutOff cuts the data centre of a host off from the others and the platform.
func (w *World) CutOff(actor cornelbay.HostName, length time.Duration) {
	name := w.pick(actor)
	if name == "" {
		return
	}
	dc := w.Nodes[name].Self.DataCentre
	var struck []*blocked
	for name, s := range w.settings {
		if b := w.blocked[name]; s.Self.DataCentre == dc && !b.cut {
			b.cut, b.cutAt = true, w.Now
			struck = append(struck, b)
		}
	}
	w.After(length, func() {
		for _, b := range struck {
			b.cut, b.since = false, w.Now
		}
		w.healed[dc] = w.Now
	})
}

func (w *World) cutCentre(dc cornelbay.DataCentreName) bool {
	for name, s := range w.settings {
		if s.Self.DataCentre == dc && w.blocked[name].cut {
			return true
		}
	}
	return false
}

func (w *World) isCut(from, to cornelbay.HostName) bool {
	a, b := w.settings[from].Self.DataCentre, w.settings[to].Self.DataCentre
	return a != b && (w.blocked[from].cut || w.blocked[to].cut)
}

// reaches reports whether a host reaches a data centre's targets.
func (w *World) reaches(from cornelbay.HostName, dc cornelbay.DataCentreName) bool {
	own := w.settings[from].Self.DataCentre
	return own == dc || !w.blocked[from].cut && !w.cutCentre(dc)
}

// DrainSpare has an operator drain a target that no procedure uses.
func (w *World) DrainSpare() {
	w.edit(func(c *operator.Client, ch operator.Change) error {
		_, err := operator.SetDrain(context.Background(), c, w.spare(), true, ch)
		return err
	})
}

// spare returns the target of the first service that faults drain.
func (w *World) spare() cornelbay.TargetName { return w.services[0].Targets[5].Name }

// TurnCold makes a warm target cold for a while though its probes say it is well.
func (w *World) TurnCold(length time.Duration) {
	t := w.targets[w.services[0].Targets[6].Name]
	t.coldAt, t.surprise = w.Now, true
	w.After(length, func() { t.coldAt = time.Time{} })
}

// LoseNextAnswer loses the answer to the next write that takes effect, and has
// an operator make one.
func (w *World) LoseNextAnswer() {
	lost := false
	w.Store.LoseAnswer = func(c objectstore.Call) bool {
		if lost || (c.Op != objectstore.Create && c.Op != objectstore.Update) {
			return false
		}
		lost = true
		return true
	}
	w.After(200*time.Millisecond, func() { w.reweigh("storeAnswerLost") })
}

// Race has two other operators commit changes at the same moment.
func (w *World) Race() {
	w.reweigh("operatorsRace")
	w.After(0, func() { w.reweigh("operatorsRace") })
}

// reweigh commits a harmless change: the level of the second service.
func (w *World) reweigh(reason string) {
	w.edit(func(c *operator.Client, ch operator.Change) error {
		ch.Reason = reason
		_, err := c.Edit(context.Background(), ch, func(doc *config.Document) error {
			s := &doc.Services[1]
			if s.Level == nil {
				s.Level = &cornelbay.ServiceLevel{Objective: 0.99, LatencyMs: 100, WindowHours: 24}
			}
			s.Level.LatencyMs++
			return nil
		})
		return err
	})
}

// edit has an operator make a change and count it when it was not accepted.
func (w *World) edit(do func(c *operator.Client, ch operator.Change) error) {
	err := do(w.Operator, w.change())
	if err != nil && !errors.Is(err, operator.ErrNoChange) {
		w.Errors++
	}
}

// SilenceConnections makes every attempt that is under way go silent for good.
func (w *World) SilenceConnections() {
	for _, a := range w.attempts {
		a.silent = true
	}
	w.silent = true
	w.After(time.Second, func() { w.silent = false })
}

// recorder sees the operators' calls and notes committed heads.
type recorder struct{ w *World }

// Do does the call at once.
func (r recorder) Do(ctx context.Context, c objectstore.Call) objectstore.Answer {
	r.w.hooked(stepBefore, c)
	before := r.w.headVersion()
	if r.w.mutation == blindUpdate && c.Key == config.HeadKey && c.Op == objectstore.Update {
		c.Version = before
	}
	a := r.w.Store.Do(ctx, c)
	if v := r.w.headVersion(); v != before {
		r.w.committed()
	}
	r.w.hooked(stepAfter, c)
	return a
}
