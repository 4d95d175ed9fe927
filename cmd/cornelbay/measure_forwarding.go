package main

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/cornelbay/cornelbay/measure"
)

type measureForwardingCmd struct {
	Seed   uint64        `help:"Seed of the flows." default:"1"`
	Flows  int           `help:"Number of flows." default:"10000"`
	Rounds int           `help:"Number of measurements of each." default:"5"`
	Span   time.Duration `help:"Time of each measurement." default:"1s"`
	JSON   bool          `help:"Print the result as JSON."`
}

func (c *measureForwardingCmd) Run() error {
	r, err := measure.MeasureForwarding(context.Background(), measure.ForwardingSettings{
		Seed: c.Seed, Flows: c.Flows, Rounds: c.Rounds, Span: c.Span,
	})
	if err != nil {
		return err
	}
	if !c.JSON {
		return r.WriteTable(os.Stdout)
	}
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(r)
}
