package matrix

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/config"
	"github.com/cornelbay/cornelbay/measure"
	"github.com/cornelbay/cornelbay/objectstore"
	"github.com/cornelbay/cornelbay/operator"
)

const (
	checkInterval = 100 * time.Millisecond
	// transitSlack is what a packet or call may be under way.
	transitSlack = 50 * time.Millisecond
)

// commit is one committed generation.
type commit struct {
	generation uint64
	// learnable is when a host could first learn of it.
	learnable time.Time
	learnt    bool
	// adopted is when each host had it in force.
	adopted map[cornelbay.HostName]time.Time
	late    map[cornelbay.HostName]bool
	drained map[cornelbay.TargetName]bool
	out     map[cornelbay.DataCentreName]bool
}

func (w *World) headVersion() uint64 {
	a := w.Store.Memory.Do(context.Background(), objectstore.Call{Op: objectstore.Get, Key: config.HeadKey})
	return a.Object.Version
}

// committed notes the generation that the head names now.
func (w *World) committed() {
	c := &operator.Client{Service: &w.Store.Memory}
	head, doc, err := c.Load(context.Background())
	if err != nil {
		w.Ledger.Break(ChangeInForce, "the head names what cannot be read: %v", err)
		return
	}
	n := commit{
		generation: head.Generation, learnable: w.Now, adopted: make(map[cornelbay.HostName]time.Time),
		late: make(map[cornelbay.HostName]bool), drained: make(map[cornelbay.TargetName]bool),
		out: make(map[cornelbay.DataCentreName]bool),
	}
	if k := len(w.commits); k > 0 && w.commits[k-1].generation >= head.Generation {
		w.Ledger.Break(ChangeInForce, "the head went from generation %d to %d", w.commits[k-1].generation, head.Generation)
	}
	for _, dc := range doc.DataCentres {
		n.out[dc.Name] = dc.Out
	}
	for _, s := range doc.Services {
		for _, t := range s.Targets {
			n.drained[t.Name] = t.Drain
			if _, ok := w.targets[t.Name]; !ok {
				w.addTarget(s.Name, t, w.Now)
			}
		}
	}
	w.leaveAndReturn(n)
	w.commits = append(w.commits, n)
}

// leaveAndReturn excuses the flows of data centres that are taken out, and makes
// the targets of those that return cold.
func (w *World) leaveAndReturn(n commit) {
	if len(w.commits) == 0 {
		return
	}
	before := w.commits[len(w.commits)-1].out
	for _, name := range w.names {
		t := w.targets[name]
		switch {
		case n.out[t.DataCentre] && !before[t.DataCentre]:
			w.Ledger.Excuse(name)
		case !n.out[t.DataCentre] && before[t.DataCentre]:
			t.coldAt = w.Now
		}
	}
}

// check compares what every host has in force with what is committed.
func (w *World) check() {
	for _, name := range w.Names() {
		n := w.Nodes[name]
		if !n.Alive() {
			continue
		}
		g := n.Head().Generation
		w.Ledger.InForce(n.Self, g)
		for i := range w.commits {
			w.checkCommit(&w.commits[i], n, g)
		}
	}
	for i := range w.commits {
		if c := &w.commits[i]; !c.learnt && w.Store.Down {
			c.learnable = w.Now
		}
	}
}

func (w *World) checkCommit(c *commit, n *measure.Node, g uint64) {
	name := n.Self.Name
	if g >= c.generation {
		c.learnt = true
		if _, ok := c.adopted[name]; !ok {
			c.adopted[name] = w.Now
		}
		return
	}
	b := w.blocked[name]
	if b.now() {
		return
	}
	from := c.learnable
	for _, t := range []time.Time{b.since, b.wokeAt} {
		if t.After(from) {
			from = t
		}
	}
	if w.Now.Sub(from) > InForceWithin && !c.late[name] {
		c.late[name] = true
		w.Ledger.Break(ChangeInForce, "%s has generation %d and not %d after %s", name, g, c.generation, w.Now.Sub(from))
	}
}

// sentTo checks a packet, probe or request from a host to a target's data centre.
func (w *World) sentTo(n *measure.Node, t *target) {
	c, out := w.outSince(t.DataCentre)
	if !out {
		return
	}
	b := w.blocked[n.Self.Name]
	limit := c.learnable.Add(OutWithin)
	if after := b.since.Add(OutWithin); after.After(limit) {
		limit = after
	}
	if cut := b.cutAt.Add(CutOffOutWithin); b.cut && cut.After(limit) {
		limit = cut
	}
	if w.Now.After(limit.Add(transitSlack)) && !c.late[outKey(n)] {
		c.late[outKey(n)] = true
		w.Ledger.Break(OutIsSilent, "%s sent to %s of %s, %s after it could know", n.Self.Name, t.Name, t.DataCentre, w.Now.Sub(limit))
	}
}

func outKey(n *measure.Node) cornelbay.HostName { return "out " + n.Self.Name }

// outSince returns the commit that took a data centre out which is out now.
func (w *World) outSince(dc cornelbay.DataCentreName) (*commit, bool) {
	var since *commit
	for i := len(w.commits) - 1; i >= 0 && w.commits[i].out[dc]; i-- {
		since = &w.commits[i]
	}
	return since, since != nil
}

// newWork checks new work from a host on a target that may be leaving.
func (w *World) newWork(n *measure.Node, t *target) {
	var since *commit
	for i := len(w.commits) - 1; i >= 0 && w.commits[i].drained[t.Name]; i-- {
		since = &w.commits[i]
	}
	if since == nil {
		return
	}
	adopted, ok := since.adopted[n.Self.Name]
	if ok && w.Now.Sub(adopted) > NoNewWithin+transitSlack && !since.late[drainKey(n)] {
		since.late[drainKey(n)] = true
		w.Ledger.Break(LeavingGetsNoNew, "%s placed new work on %s, %s after it knew", n.Self.Name, t.Name, w.Now.Sub(adopted))
	}
}

func drainKey(n *measure.Node) cornelbay.HostName { return "drain " + n.Self.Name }

// callsAt returns the calls that wait at a host, in order.
func (w *World) callsAt(name cornelbay.HostName) []callKey {
	var out []callKey
	for key := range w.calls {
		if key.host == name {
			out = append(out, key)
		}
	}
	slices.SortFunc(out, func(a, b callKey) int {
		if a.id != b.id {
			return int(a.id) - int(b.id)
		}
		return strings.Compare(string(a.host), string(b.host))
	})
	return out
}

// mayBeUnknown reports whether a fault of the cell leaves an outcome open.
func (w *World) mayBeUnknown() bool {
	for _, f := range []string{"hostDies", "leaseLapsedInPause", "connectionsSilent", "dataCentreCutOff"} {
		if slices.Contains(w.faults, f) {
			return true
		}
	}
	return false
}
