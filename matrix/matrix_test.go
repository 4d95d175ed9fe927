package matrix

import (
	"flag"
	"sync"
	"testing"
)

var seed = flag.Uint64("seed", 1, "seed of every cell's run")

// fired counts over all cells how often each fault struck.
type fired struct {
	mu     sync.Mutex
	counts map[string]int
}

func (f *fired) add(counts map[string]int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.counts == nil {
		f.counts = make(map[string]int)
	}
	for name, n := range counts {
		f.counts[name] += n
	}
}

func runCells(t *testing.T, cells []Cell) {
	var all fired
	t.Run("cells", func(t *testing.T) {
		for _, c := range cells {
			t.Run(c.Name(), func(t *testing.T) {
				t.Parallel()
				r, err := Run(c, *seed)
				if err != nil {
					t.Fatal(err)
				}
				if !r.Reached {
					t.Errorf("step %s was never reached", c.Step)
				}
				all.add(r.Fired)
				for _, v := range r.Violations {
					t.Error(v)
				}
			})
		}
	})
	t.Logf("%d cells", len(cells))
	for _, f := range Faults {
		t.Logf("%s struck %d times", f.Name, all.counts[f.Name])
	}
}

// TestMatrix runs each fault alone at each step of each procedure.
func TestMatrix(t *testing.T) { runCells(t, Singles()) }

// TestPairs runs each two faults at each step of each procedure.
func TestPairs(t *testing.T) {
	if testing.Short() {
		t.Skip("the pairs run without the race detector")
	}
	runCells(t, Pairs())
}
