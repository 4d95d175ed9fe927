package demo

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// promiseBound is the maximum time until an operator's change takes effect.
const promiseBound = 4 * time.Second

// promises returns the run's measurement of each promise.
func (r *run) promises() []Promise {
	f, q := r.flows.Stats(), r.requests.Stats()
	doubled, falselyRefused, lost := r.requests.Reports()
	slowest, all := r.world.config.maxRolloutTime()
	drained := since(r.steps.drainedAt, latest(f.LastOpening[r.steps.drained.Name], q.LastRequest[r.steps.drained.Name]))
	out := since(r.steps.outAt, r.steps.lastPacketAtOut)
	overloads := r.steps.cold.standin.Overloads()
	return []Promise{
		zeroCount("established flows go on", f.Moved+f.Stalled, fmt.Sprintf("broken of %d flows", f.Opened), f.Opened > 0),
		zeroCount("no packet reaches another service", f.Misrouted, fmt.Sprintf("misplaced of %d packets", f.Received), f.Received > 0),
		zeroCount("a fresh target gets what it can bear", overloads, "overruns", f.Openings[r.steps.cold.Name] > 0),
		withinBound("a data centre that is out gets no packet", out, "s until the last packet", r.steps.openingsBeforeBackIn > 0),
		zeroCount("callers get the whole answer to their own request", q.WrongAnswers, fmt.Sprintf("wrong of %d answers", q.Answered), q.Answered > 0),
		zeroCount("a refusal as not run is true", falselyRefused, fmt.Sprintf("false of %d refusals", q.NotRun), true),
		zeroCount("a report runs at most once and is not lost", doubled+lost, fmt.Sprintf("doubled or lost of %d reports", r.requests.ReportCount()), r.requests.ReportCount() > 0),
		withinBound("a draining target gets no new work", drained, "s until the last new work", f.Openings[r.steps.drained.Name] > 0),
		zeroCount("a planned stop cuts no request", q.FailedDuringStop, "requests cut", true),
		{
			Name: "a configuration is in force everywhere and stays", Holds: all && slowest <= promiseBound && r.world.config.reverted == 0,
			Figure: seconds(slowest), Unit: "s at most",
		},
	}
}

// zeroCount returns a promise that holds if n is 0. seen reports whether the run had any
// traffic to check; without it the promise doesn't hold.
func zeroCount(name string, n int, unit string, seen bool) Promise {
	return Promise{Name: name, Holds: n == 0 && seen, Figure: float64(n), Unit: unit}
}

// withinBound returns a promise that holds if d is at most promiseBound and seen is set.
func withinBound(name string, d time.Duration, unit string, seen bool) Promise {
	return Promise{Name: name, Holds: d <= promiseBound && seen, Figure: seconds(d), Unit: unit}
}

func since(from, to time.Time) time.Duration { return max(0, to.Sub(from)) }

// seconds returns d in seconds, truncated to milliseconds.
func seconds(d time.Duration) float64 { return float64(d.Milliseconds()) / 1000 }

// WriteTable writes the promises as a human-readable table.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := fmt.Fprintln(t, "PROMISE\tHOLDS\tFIGURE\tUNIT"); err != nil {
		return err
	}
	for _, p := range r.Promises {
		holds := "yes"
		if !p.Holds {
			holds = "NO"
		}
		if _, err := fmt.Fprintf(t, "%s\t%s\t%g\t%s\n", p.Name, holds, p.Figure, p.Unit); err != nil {
			return err
		}
	}
	return t.Flush()
}
