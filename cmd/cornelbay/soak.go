package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cornelbay/cornelbay/soak"
)

// The second bytes of the loopback addresses that soaks use. The seed selects one,
// so that soaks whose seeds differ modulo soakNets can run at the same time.
const (
	firstSoakNet = 160
	soakNets     = 80
)

type soakCmd struct {
	outputFlags
	Seed    uint64        `help:"Seed of the schedule." default:"1"`
	Rounds  int           `help:"Number of rounds of faults, each of some 10 s; without --for." default:"3"`
	For     time.Duration `help:"Time after which no further round begins, such as 2m."`
	Hosts   int           `help:"Number of hosts, from 2 to 200." default:"6"`
	Targets int           `help:"Number of targets, from 6 to 100." default:"12"`
	Clients int           `help:"Number of callers at work at once." default:"8"`
	Only    []int         `help:"Numbers of the steps to take; the others are left out."`
	Daemon  string        `help:"Program of the daemon." default:"bin/cornelbayd"`
}

// Run runs a soak and returns an error if a promise was broken.
func (c *soakCmd) Run() error {
	if c.Hosts < 2 || c.Hosts > 200 || c.Targets < 6 || c.Targets > 100 || c.Clients < 1 || c.Rounds < 1 {
		return merry.Wrap(errUsage, merry.AppendMessage("2 to 200 hosts, 6 to 100 targets, and at least one client and round are required"))
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	rounds := c.Rounds
	if c.For > 0 {
		// For ends the soak. RoundTime, within which the faults of a round begin, only
		// yields enough rounds.
		rounds = int(c.For/soak.RoundTime) + 1
	}
	o := soak.Options{
		Seed: c.Seed, Rounds: rounds, For: c.For, Hosts: c.Hosts, Targets: c.Targets, Callers: c.Clients, Only: c.Only,
		Binary: c.Daemon, Net: byte(firstSoakNet + c.Seed%soakNets),
	}
	if !c.JSON {
		o.Tell = func(line string, args ...any) { fmt.Printf(line+"\n", args...) }
	}
	res, err := soak.Run(ctx, o)
	if err != nil {
		return err
	}
	if err := c.print(res, func(w io.Writer) {
		fmt.Fprintf(w, "seed %d: %d steps, %d flows, %d requests, %d refused, %d rejected, %d stalled, %d promises broken\n",
			res.Seed, res.Steps, res.Flows, res.Requests, res.Refused, res.Rejected, res.Stalled, len(res.Violations))
		for _, v := range res.Violations {
			fmt.Fprintln(w, v)
		}
	}); err != nil {
		return err
	}
	if len(res.Violations) > 0 {
		return merry.Errorf("%d promises broken: seed %d", len(res.Violations), res.Seed)
	}
	return nil
}
