package matrix

import (
	"slices"
	"testing"

	"github.com/matryer/is"
)

// mutationSeeds is the number of seeds that a mutation is looked for in.
const mutationSeeds = 8

func breaks(r Result, p Promise) bool {
	return slices.ContainsFunc(r.Violations, func(v Violation) bool { return v.Promise == p })
}

// TestMutations switches each safety rule off: the matrix sees its promise broken
// in a cell that holds with the rule.
func TestMutations(t *testing.T) {
	for _, m := range Mutations {
		t.Run(m.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			caught := false
			for seed := uint64(1); seed <= mutationSeeds && !caught; seed++ {
				with, err := Run(m.Cell, seed)
				is.NoErr(err)
				is.True(with.Reached)
				is.True(!breaks(with, m.Breaks)) // the rule keeps its promise
				without, err := RunMutated(m.Cell, seed, m.Name)
				is.NoErr(err)
				caught = breaks(without, m.Breaks)
			}
			is.True(caught) // the matrix notices that the rule is off
		})
	}
}
