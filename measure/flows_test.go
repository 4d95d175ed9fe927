package measure

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// smallFlows are the sizes of the flow experiment in tests.
func smallFlows() FlowOptions {
	return FlowOptions{Seed: 1, Deployment: Agence(14), Hosts: 6, Flows: 2000, NewPerSecond: 40, Span: 20 * time.Second}
}

func TestFlowsUnbroken(t *testing.T) {
	names := []string{
		"steady", "drainTarget", "addColdTarget", "hostDies", "hostJoins", "hostDiesDuringDrain",
		"unevenUpdate", "rollAllHosts", "dataCentreOutAndBack",
	}
	for _, name := range names {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			runs, err := FlowRuns(smallFlows(), []string{name}, []string{"cornelbay"})
			is.NoErr(err)
			row := runs[0].Run()
			is.True(row.Flows > 5000)
			is.Equal(row.Broken, 0)
			is.Equal(row.WrongService, 0)
			is.Equal(runs[0].Run(), row) // a seed gives the same row each time
		})
	}
}

func TestFlowsBaselineBreaks(t *testing.T) {
	for _, policy := range []string{"modulo", "maglev"} {
		t.Run(policy, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			runs, err := FlowRuns(smallFlows(), []string{"drainTarget"}, []string{policy})
			is.NoErr(err)
			is.True(runs[0].Run().Broken > 0) // the experiment can see a broken flow
		})
	}
}
