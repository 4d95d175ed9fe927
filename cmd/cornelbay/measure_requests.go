package main

import (
	"encoding/json"
	"os"
	"runtime"
	"time"

	"github.com/cornelbay/cornelbay/measure"
)

type measureRequestsCmd struct {
	Seed     uint64        `help:"Seed of the experiment." default:"1"`
	Hosts    int           `help:"Number of hosts." default:"6"`
	Targets  int           `help:"Number of targets of the service." default:"14"`
	Span     time.Duration `help:"Virtual time of arrivals." default:"12s"`
	Scenario []string      `help:"Scenarios to run; all when left out."`
	Policy   []string      `help:"Policies to compare; all when left out."`
	Depot    bool          `help:"Use the example deployment depot instead of agence."`
	Parallel int           `help:"Runs at the same time; 0 is half of the processors." default:"0"`
	JSON     bool          `name:"json" help:"Print JSON."`
}

type requestReport struct {
	Experiment string               `json:"experiment"`
	Seed       uint64               `json:"seed"`
	Rows       []measure.RequestRow `json:"rows"`
}

func (c *measureRequestsCmd) Run() error {
	doc := measure.Agence(c.Targets)
	if c.Depot {
		doc = measure.Depot(c.Targets)
	}
	if c.Parallel <= 0 {
		c.Parallel = max(1, runtime.GOMAXPROCS(0)/2)
	}
	rows, err := measure.RunRequests(measure.RequestOptions{
		Document: doc, Hosts: c.Hosts, Seed: c.Seed, Span: c.Span,
		Scenarios: c.Scenario, Policies: c.Policy, Parallel: c.Parallel,
	})
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(requestReport{"requests", c.Seed, rows})
	}
	return measure.WriteRequestTable(os.Stdout, rows)
}
