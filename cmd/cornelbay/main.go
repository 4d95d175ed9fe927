// Command cornelbay is the command-line client of operators. It also runs
// experiments and stand-ins for trials.
package main

import (
	"os"

	"github.com/alecthomas/kong"
	"github.com/ansel1/merry/v2"
	"github.com/willabides/kongplete"
)

type cli struct {
	Validate   validateCmd   `cmd:"" help:"Check that a document may be committed."`
	Check      checkCmd      `cmd:"" help:"Check a document or a routing configuration of the platform before it is sent."`
	Schema     schemaCmd     `cmd:"" help:"Print the JSON Schema of a document."`
	Apply      applyCmd      `cmd:"" help:"Commit a document, or an earlier generation's, as the next generation."`
	Get        getCmd        `cmd:"" help:"Print the document of a generation."`
	Diff       diffCmd       `cmd:"" help:"Compare a document with what is committed, or with another document."`
	History    historyCmd    `cmd:"" help:"List the changes that were committed."`
	Status     statusCmd     `cmd:"" help:"Show hosts, targets and what is in force where."`
	Target     targetCmd     `cmd:"" help:"Change one target."`
	DataCentre dataCentreCmd `cmd:"" help:"Change one data centre."`
	Host       hostCmd       `cmd:"" help:"Act on one host."`
	Completion completionCmd `cmd:"" help:"Print the line that turns on completion in bash or zsh."`
	Keys       keysCmd       `cmd:"" help:"Write certificates and a datagram key for a trial."`
	Measure    measureCmd    `cmd:"" help:"Run an experiment."`
	Burn       burnCmd       `cmd:"" help:"Report how requests meet their service levels."`
	Explain    explainCmd    `cmd:"" help:"Tell from logs what became of one flow on the platform."`
	Demo       demoCmd       `cmd:"" help:"Run a deployment with stand-ins under load and faults."`
	Soak       soakCmd       `cmd:"" help:"Run hosts as processes on loopback under random faults and check the promises."`
	Standin    standinCmd    `cmd:"" help:"Run stand-ins for the platform and the targets of a document."`
}

func main() {
	var c cli
	parser := kong.Must(&c, kong.Description("Operates a cornelbay deployment.\n\n"+exitHelp))
	kongplete.Complete(parser)
	k, err := parser.Parse(os.Args[1:])
	if err != nil {
		os.Exit(printError(os.Stderr, merry.Wrap(errUsage, merry.AppendMessage(err.Error()))))
	}
	if err := k.Run(); err != nil {
		os.Exit(printError(os.Stderr, err))
	}
}
