// Package matrix runs every fault at every step of every procedure on real
// hosts, alone and in pairs, and checks the product's ten promises after every
// event.
package matrix

import (
	"fmt"
	"strings"
)

// Deployment names a deployment that the matrix runs on.
type Deployment string

// The deployments.
const (
	Agence Deployment = "agence"
	Depot  Deployment = "depot"
)

// Cell is one run of the matrix: a procedure with one or two faults that strike
// at one of its steps.
type Cell struct {
	Deployment Deployment
	Procedure  string
	Step       string
	Faults     []string
}

// Name returns the cell's name as test names show it.
func (c Cell) Name() string {
	return fmt.Sprintf("%s/%s/%s/%s", c.Deployment, c.Procedure, c.Step, strings.Join(c.Faults, "+"))
}

// Singles returns a cell for each fault at each step of each procedure.
func Singles() []Cell {
	var out []Cell
	for _, d := range []Deployment{Agence, Depot} {
		for _, p := range Procedures {
			for _, step := range p.Steps {
				for _, f := range Faults {
					out = append(out, Cell{d, p.Name, step, []string{f.Name}})
				}
			}
		}
	}
	return out
}

// Pairs returns a cell for each two faults, or one fault twice, at each step of
// each procedure. The deployments take turns, so that each sees half of them.
func Pairs() []Cell {
	var out []Cell
	for _, p := range Procedures {
		for _, step := range p.Steps {
			for i, a := range Faults {
				for _, b := range Faults[i:] {
					d := []Deployment{Agence, Depot}[len(out)%2]
					out = append(out, Cell{d, p.Name, step, []string{a.Name, b.Name}})
				}
			}
		}
	}
	return out
}

// Result is what a run of a cell brought.
type Result struct {
	// Reached is true when the procedure came to the cell's step.
	Reached bool
	// Fired counts how often each of the cell's faults struck.
	Fired map[string]int
	// Violations lists the broken promises in the order they were seen.
	Violations []Violation
}

// Violation is one broken promise.
type Violation struct {
	Promise Promise
	// AfterSeconds is the time since the start of the run.
	AfterSeconds float64
	Detail       string
}

// String returns the violation on one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s at %.3f s: %s", v.Promise, v.AfterSeconds, v.Detail)
}
