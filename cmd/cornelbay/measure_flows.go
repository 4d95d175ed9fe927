package main

import (
	"encoding/json"
	"fmt"
	"os"
	"runtime"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cornelbay/cornelbay/measure"
)

type measureFlowsCmd struct {
	Seed         uint64   `help:"Seed of the experiment." default:"1"`
	Hosts        int      `help:"Number of hosts." default:"6"`
	Targets      int      `help:"Number of targets of the first service." default:"14"`
	Flows        int      `help:"Number of flows open at first." default:"100000"`
	NewPerSecond int      `name:"newPerSecond" help:"New flows a second and host." default:"2000"`
	Scenario     []string `help:"Scenarios to run; all when left out."`
	Policy       []string `help:"Policies to compare; all when left out."`
	Depot        bool     `help:"Use the example deployment depot instead of agence."`
	Parallel     int      `help:"Runs at the same time; 0 is half of the processors." default:"0"`
	JSON         bool     `name:"json" help:"Print JSON."`
}

type flowReport struct {
	Experiment string            `json:"experiment"`
	Seed       uint64            `json:"seed"`
	Rows       []measure.FlowRow `json:"rows"`
}

func (c *measureFlowsCmd) Run() error {
	doc := measure.Agence(c.Targets)
	if c.Depot {
		doc = measure.Depot(c.Targets)
	}
	o := measure.FlowOptions{Seed: c.Seed, Deployment: doc, Hosts: c.Hosts, Flows: c.Flows, NewPerSecond: c.NewPerSecond}
	runs, err := measure.FlowRuns(o, c.Scenario, c.Policy)
	if err != nil {
		return err
	}
	report := flowReport{"flows", c.Seed, runParallel(runs, c.Parallel)}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(report)
	}
	return printFlows(report.Rows)
}

// runParallel runs the experiments, at most parallel at a time, and returns their
// rows in order.
func runParallel(runs []measure.FlowRun, parallel int) []measure.FlowRow {
	if parallel <= 0 {
		parallel = max(1, runtime.GOMAXPROCS(0)/2)
	}
	rows := make([]measure.FlowRow, len(runs))
	var wg sync.WaitGroup
	slots := make(chan struct{}, parallel)
	for i, run := range runs {
		slots <- struct{}{}
		wg.Go(func() {
			start := time.Now()
			rows[i] = run.Run()
			fmt.Fprintf(os.Stderr, "%s %s: %.1f s\n", rows[i].Scenario, rows[i].Policy, time.Since(start).Seconds())
			<-slots
		})
	}
	wg.Wait()
	return rows
}

func printFlows(rows []measure.FlowRow) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "scenario\tpolicy\tflows\tbroken\twrong service\timbalance\toverrun\tcontrol B/s\trelayed\tlast to out s\tlast new to draining s\t")
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%.3f\t%d\t%.0f\t%.4f\t%.2f\t%.2f\t\n", r.Scenario, r.Policy, r.Flows, r.Broken,
			r.WrongService, r.Imbalance, r.Overrun, r.ControlBytes, r.RelayedShare, r.LastToOut, r.LastToDraining)
	}
	if err := w.Flush(); err != nil {
		return merry.Prepend(err, "write table")
	}
	return nil
}

type measureBalanceCmd struct {
	Seed     uint64   `help:"Seed of the experiment." default:"1"`
	Scenario []string `help:"Scenarios to run; steady, drainTarget and addColdTarget when left out."`
	JSON     bool     `name:"json" help:"Print JSON."`
}

// flowsPerTarget is the number of open flows per target at which balance is measured.
const flowsPerTarget = 1000

func (c *measureBalanceCmd) Run() error {
	if len(c.Scenario) == 0 {
		c.Scenario = []string{"steady", "drainTarget", "addColdTarget"}
	}
	report := flowReport{Experiment: "balance", Seed: c.Seed}
	for _, doc := range []string{"agence", "depot"} {
		o := measure.FlowOptions{Seed: c.Seed, Hosts: 6, Deployment: measure.Agence(14)}
		if doc == "depot" {
			o.Deployment = measure.Depot(14)
		}
		o.SetFlowsPerTarget(flowsPerTarget)
		runs, err := measure.FlowRuns(o, c.Scenario, nil)
		if err != nil {
			return err
		}
		report.Rows = append(report.Rows, runParallel(runs, 0)...)
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(report)
	}
	return printFlows(report.Rows)
}
