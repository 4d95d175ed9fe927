// Command cornelbay is the operators' client, with the stand-ins for trials.
package main

import (
	"context"
	"encoding/json"
	"os"

	"github.com/alecthomas/kong"
	"github.com/ansel1/merry/v2"

	"github.com/cornelbay/cornelbay/config"
	"github.com/cornelbay/cornelbay/operator"
	"github.com/cornelbay/cornelbay/platform"
)

type cli struct {
	Validate validateCmd `cmd:"" help:"Check a document."`
	Apply    applyCmd    `cmd:"" help:"Commit a document as the next generation."`
	Keys     keysCmd     `cmd:"" help:"Write certificates and a datagram key for a trial."`
	Measure  measureCmd  `cmd:"" help:"Run an experiment."`
	Burn     burnCmd     `cmd:"" help:"Report how requests meet their service levels."`
	Demo     demoCmd     `cmd:"" help:"Run a deployment with stand-ins under load and faults."`
	Standin  standinCmd  `cmd:"" help:"Run stand-ins for the platform and the targets of a document."`
}

func main() {
	var c cli
	k := kong.Parse(&c, kong.Description("Operates a cornelbay deployment."))
	k.FatalIfErrorf(k.Run())
}

type validateCmd struct {
	Document string `arg:"" type:"existingfile" help:"Document to check."`
}

func (c *validateCmd) Run() error {
	_, err := load(c.Document)
	return err
}

func load(path string) (*config.Document, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, merry.Prepend(err, "read document")
	}
	return config.Parse(b)
}

type applyCmd struct {
	Document string `arg:"" type:"existingfile" help:"Document to commit."`
	Platform string `help:"URL of the platform's service." required:"" env:"CORNELBAY_PLATFORM"`
	Author   string `help:"Who makes the change." required:"" env:"CORNELBAY_AUTHOR"`
	Reason   string `help:"Why the change is made." required:""`
	Force    bool   `help:"Allow the removal of targets that still take new work."`
}

func (c *applyCmd) Run() error {
	doc, err := load(c.Document)
	if err != nil {
		return err
	}
	s := &platform.Client{Base: c.Platform}
	h, err := operator.Apply(context.Background(), s, doc, operator.Change{Author: c.Author, Reason: c.Reason, Force: c.Force})
	if err != nil {
		return err
	}
	return json.NewEncoder(os.Stdout).Encode(h)
}
