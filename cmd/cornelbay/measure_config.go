package main

import (
	"encoding/json"
	"os"

	"github.com/cornelbay/cornelbay/config"
	"github.com/cornelbay/cornelbay/examples"
	"github.com/cornelbay/cornelbay/measure"
)

type measureConfigCmd struct {
	Document string `help:"Document of the deployment; the example agence by default." type:"existingfile"`
	Hosts    int    `help:"Number of hosts." default:"6"`
	Seed     uint64 `help:"Seed of all randomness." default:"1"`
	JSON     bool   `name:"json" help:"Print JSON."`
}

// Run measures every scenario and compares it with the baseline.
func (c *measureConfigCmd) Run() error {
	b := examples.Agence
	if c.Document != "" {
		var err error
		if b, err = os.ReadFile(c.Document); err != nil {
			return err
		}
	}
	doc, err := config.Parse(b)
	if err != nil {
		return err
	}
	results, err := measure.ConfigExperiment(measure.ConfigSettings{Document: doc, Hosts: c.Hosts, Seed: c.Seed})
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(results)
	}
	return measure.WriteConfigTable(os.Stdout, results)
}
