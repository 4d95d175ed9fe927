package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/cornelbay/cornelbay/measure"
)

type measureCapacityCmd struct {
	Seed   uint64   `help:"Seed of all randomness." default:"1"`
	Hosts  []int    `help:"Sizes of the groups in the series hosts; all when left out."`
	Series []string `help:"Series to run (hosts, targets, services, flows, changes); all when left out."`
	Plot   string   `help:"Directory to write plots to." type:"existingdir"`
	JSON   bool     `name:"json" help:"Print JSON."`
}

type capacityReport struct {
	Experiment string                  `json:"experiment"`
	Seed       uint64                  `json:"seed"`
	Points     []measure.CapacityPoint `json:"points"`
	Fits       []measure.CapacityFit   `json:"fits"`
}

// Run measures the cost per host against the size of a deployment.
func (c *measureCapacityCmd) Run() error {
	points, fits, err := measure.Capacity(measure.CapacitySettings{
		Seed: c.Seed, Hosts: c.Hosts, Series: c.Series,
		Progress: func(p measure.CapacityPoint) {
			fmt.Fprintf(os.Stderr, "%s %d: %.0f bytes/s a host\n", p.Series, p.X, p.ControlBytes)
		},
	})
	if err != nil {
		return err
	}
	if c.Plot != "" {
		if err := measure.PlotCapacity(c.Plot, points); err != nil {
			return err
		}
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(capacityReport{"capacity", c.Seed, points, fits})
	}
	return measure.WriteCapacityTable(os.Stdout, points, fits)
}
