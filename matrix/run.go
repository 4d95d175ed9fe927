package matrix

import (
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cornelbay/cornelbay"
)

// The times of a run.
const (
	returnAfter  = 6 * time.Second
	runLength    = 30 * time.Second
	restLength   = 4 * time.Second
	secondAfter  = 700 * time.Millisecond
	stepPatience = 10 * time.Millisecond
)

// ErrFault refuses a cell that names no known procedure or fault.
var ErrFault = merry.New("no such procedure or fault")

// Run runs one cell with a seed.
func Run(c Cell, seed uint64) (Result, error) {
	w, err := NewWorld(c.Deployment, seed)
	if err != nil {
		return Result{}, err
	}
	return w.run(c)
}

func (w *World) run(c Cell) (Result, error) {
	p, ok := procedureNamed(c.Procedure)
	if !ok {
		return Result{}, merry.Wrap(ErrFault, merry.AppendMessage(c.Procedure))
	}
	for _, f := range c.Faults {
		if _, ok := faultNamed(f); !ok {
			return Result{}, merry.Wrap(ErrFault, merry.AppendMessage(f))
		}
	}
	w.cell, w.faults, w.fired = c, c.Faults, make(map[string]int)
	w.OpenFlows()
	w.AskRequests()
	w.Run(WarmUp)
	w.started = true
	w.hooks = append(w.hooks, w.watchSteps)
	w.Every(stepPatience, func() bool { w.watchHosts(); return !w.struck })
	p.Start(w)
	w.Run(runLength)
	w.close()
	w.Run(restLength)
	for _, key := range w.Ledger.Untold() {
		w.Ledger.Break(WholeOwnAnswer, "%s was never answered", key)
	}
	return Result{Reached: w.struck, Fired: w.fired, Violations: w.Ledger.Violations}, nil
}

func procedureNamed(name string) (Procedure, bool) {
	for _, p := range Procedures {
		if p.Name == name {
			return p, true
		}
	}
	return Procedure{}, false
}

// reached notes that a step was taken; the faults strike at the cell's step, the
// second one a little after the first.
func (w *World) reached(step string, actor cornelbay.HostName) {
	if w.struck || !w.started || step != w.cell.Step {
		return
	}
	w.struck = true
	for i, name := range w.cell.Faults {
		f, _ := faultNamed(name)
		strike := func() {
			w.fired[f.Name]++
			f.Strike(w, actor)
		}
		if i == 0 {
			strike()
			continue
		}
		w.After(time.Duration(i)*secondAfter, strike)
	}
}

// close ends the load, so that what is under way comes to its end.
func (w *World) close() { w.closed = true }
