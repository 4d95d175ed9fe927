package main

import (
	"encoding/json"
	"os"
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/measure"
)

type measureRequestsCmd struct {
	Document string        `arg:"" type:"existingfile" help:"Document whose targets are imitated."`
	Service  string        `help:"Service that is measured." default:"statut"`
	Seed     uint64        `help:"Seed of all randomness." default:"1"`
	Span     time.Duration `help:"Virtual time of arrivals." default:"12s"`
	Scenario []string      `help:"Scenarios to run; all by default."`
	Policy   []string      `help:"Policies to run; all by default."`
	JSON     bool          `help:"Write JSON in place of a table."`
}

func (c *measureRequestsCmd) Run() error {
	doc, err := load(c.Document)
	if err != nil {
		return err
	}
	rows, err := measure.RunRequests(measure.RequestOptions{
		Document: doc, Service: cornelbay.ServiceName(c.Service), Seed: c.Seed, Span: c.Span,
		Scenarios: c.Scenario, Policies: c.Policy,
	})
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(rows)
	}
	return measure.WriteRequestTable(os.Stdout, rows)
}
