package main

import (
	"context"
	"encoding/json"
	"os"
	"os/signal"

	"github.com/ansel1/merry/v2"

	"github.com/cornelbay/cornelbay/config"
	"github.com/cornelbay/cornelbay/demo"
	"github.com/cornelbay/cornelbay/examples"
)

type demoCmd struct {
	Deployment string `help:"Example deployment to run." enum:"agence,depot" default:"agence"`
	Seed       uint64 `help:"Seed of the load." default:"1"`
	JSON       bool   `help:"Print the report as JSON."`
}

func (c *demoCmd) Run() error {
	doc, err := config.Parse(map[string][]byte{"agence": examples.Agence, "depot": examples.Depot}[c.Deployment])
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	r, err := demo.Run(ctx, demo.Settings{Document: doc, Seed: c.Seed, Progress: os.Stderr})
	if err != nil {
		return err
	}
	if err := c.write(r); err != nil {
		return err
	}
	if !r.Holds() {
		return merry.New("a promise was broken")
	}
	return nil
}

func (c *demoCmd) write(r *demo.Report) error {
	if !c.JSON {
		return r.WriteTable(os.Stdout)
	}
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(r)
}
