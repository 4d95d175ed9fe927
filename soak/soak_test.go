package soak

import (
	"os/exec"
	"path/filepath"
	"slices"
	"testing"

	"github.com/matryer/is"
)

func TestScheduleComesFromTheSeedAlone(t *testing.T) {
	is := is.New(t)
	is.Equal(Schedule(7, 3), Schedule(7, 3))
	is.True(!slices.Equal(Schedule(7, 3), Schedule(8, 3)))
	seen := map[Fault]bool{}
	for seed := range uint64(20) {
		last := Step{Number: -1}
		for _, s := range Schedule(seed, 3) {
			seen[s.Fault] = true
			is.Equal(s.Number, last.Number+1)
			is.True(s.Round > last.Round || s.At >= last.At || s.Number == 0)
			last = s
		}
	}
	is.Equal(len(seen), len(faults))
}

// TestSeeds plays a short soak, and each seed that ever failed.
func TestSeeds(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "cornelbayd")
	if out, err := exec.Command("go", "build", "-o", binary, "../cmd/cornelbayd").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	for _, c := range []struct {
		seed   uint64
		rounds int
		cause  string
	}{
		{1, 2, "two targets answered one opening, and only one host knew which had the flow"},
		{147, 2, "a host whose flows were sent elsewhere tried their openings at other targets"},
		{308, 2, "a host that started again within 0.6 s was not told of flows in doubt"},
		{4, 1, "the short soak of CI"},
	} {
		t.Run(c.cause, func(t *testing.T) {
			is := is.New(t)
			res, err := Run(t.Context(), Options{
				Seed: c.seed, Rounds: c.rounds, Hosts: 5, Targets: 12, Callers: 6, Binary: binary, Net: byte(150 + c.seed), Tell: t.Logf,
			})
			is.NoErr(err)
			is.Equal(res.Violations, []string{})
			is.True(res.Flows > 0 && res.Requests > 0)
		})
	}
}
