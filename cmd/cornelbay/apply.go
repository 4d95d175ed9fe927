package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/config"
	"github.com/cornelbay/cornelbay/lint"
	"github.com/cornelbay/cornelbay/operator"
)

// commitFlags holds the flags of commands that commit a change.
type commitFlags struct {
	platformFlags
	outputFlags
	hostFlags
	Author  string        `help:"Who makes the change." required:"" env:"CORNELBAY_AUTHOR"`
	Reason  string        `help:"Why the change is made." required:""`
	Change  string        `help:"Id of the change; a retry with the same id commits it only once."`
	Wait    bool          `help:"Return when the change is in force at every host."`
	Timeout time.Duration `help:"How long --wait waits." default:"10s"`
}

func (c *commitFlags) operatorChange() operator.Change {
	return operator.Change{ID: c.Change, Author: c.Author, Reason: c.Reason}
}

// commitResult is the output of a command that commits a change.
type commitResult struct {
	Head       config.Head          `json:"head"`
	Everywhere *bool                `json:"everywhere,omitempty"`
	Lagging    []cornelbay.HostName `json:"lagging,omitempty"`
}

// printCommit prints the committed head, after waiting with --wait until it is in
// force at every host. If nothing had to change, it prints the current head.
func (c *commitFlags) printCommit(h config.Head, err error) error {
	if errors.Is(err, operator.ErrNoChange) {
		h, err = c.client().Head(context.Background())
	}
	if err != nil {
		return err
	}
	out := commitResult{Head: h}
	if c.Wait {
		ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
		defer cancel()
		f, ferr := c.fleet()
		if ferr != nil {
			return ferr
		}
		var r *operator.Report
		r, err = f.Wait(ctx, h.Generation)
		out.Everywhere, out.Lagging = &r.Everywhere, r.Lagging
	}
	printErr := c.print(out, func(w io.Writer) {
		fmt.Fprintf(w, "generation %d, change %s\n", h.Generation, h.Change)
		if out.Everywhere != nil && *out.Everywhere {
			fmt.Fprintln(w, "in force everywhere")
		}
	})
	return errors.Join(err, printErr)
}

// checkHosts validates the flags needed by --wait, which would otherwise fail only
// after the commit.
func (c *commitFlags) checkHosts() error {
	if !c.Wait {
		return nil
	}
	_, err := c.fleet()
	return err
}

type applyCmd struct {
	commitFlags
	Document   string `arg:"" optional:"" help:"File of the document to commit."`
	RollbackTo uint64 `help:"Commit the document of this generation again."`
	Base       uint64 `help:"Generation that the document was made from; nothing is changed if another has been committed since."`
	Force      bool   `help:"Allow the removal of targets that still take new work."`
}

// Run commits a document, or that of an earlier generation.
func (c *applyCmd) Run() error {
	if (c.Document == "") == (c.RollbackTo == 0) {
		return merry.Wrap(errUsage, merry.AppendMessage("either a document or --rollback-to is required"))
	}
	if err := c.checkHosts(); err != nil {
		return err
	}
	ch, client, ctx := c.commitFlags.operatorChange(), c.client(), context.Background()
	ch.Force, ch.Base = c.Force, c.Base
	if c.RollbackTo > 0 {
		return c.printCommit(client.Rollback(ctx, c.RollbackTo, ch))
	}
	doc, text, err := readDocument(c.Document)
	if err != nil {
		return err
	}
	// On standard error, since standard output may be JSON.
	printFindings(os.Stderr, c.Document, lint.CheckDocument(doc, text))
	return c.printCommit(client.Apply(ctx, doc, ch))
}

type historyCmd struct {
	platformFlags
	outputFlags
	Limit int `help:"Number of changes to list, the latest ones." default:"20"`
}

// Run lists committed changes, the latest first.
func (c *historyCmd) Run() error {
	all, err := c.client().History(context.Background())
	if err != nil {
		return err
	}
	heads := []config.Head{}
	for i := len(all) - 1; i >= 0 && len(heads) < c.Limit; i-- {
		heads = append(heads, all[i])
	}
	return c.print(heads, func(w io.Writer) {
		fmt.Fprintln(w, "GENERATION\tTIME\tAUTHOR\tREASON\tCHANGE")
		for _, h := range heads {
			fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", h.Generation, h.Time, h.Author, h.Reason, h.Change)
		}
	})
}

type targetCmd struct {
	Drain   drainCmd   `cmd:"" help:"Give a target no new work."`
	Undrain undrainCmd `cmd:"" help:"Give a target new work again."`
}

type drainCmd struct {
	commitFlags
	Target cornelbay.TargetName `arg:"" help:"Name of the target."`
}

// Run drains the target.
func (c *drainCmd) Run() error { return c.setDrain(c.Target, true) }

type undrainCmd struct {
	commitFlags
	Target cornelbay.TargetName `arg:"" help:"Name of the target."`
}

// Run ends the drain of the target.
func (c *undrainCmd) Run() error { return c.setDrain(c.Target, false) }

func (c *commitFlags) setDrain(name cornelbay.TargetName, drain bool) error {
	if err := c.checkHosts(); err != nil {
		return err
	}
	return c.printCommit(operator.SetDrain(context.Background(), c.client(), name, drain, c.operatorChange()))
}

type dataCentreCmd struct {
	Out outCmd `cmd:"" help:"Take a data centre out; the flows to its targets are dropped."`
	In  inCmd  `cmd:"" help:"Bring a data centre back."`
}

type outCmd struct {
	commitFlags
	DataCentre cornelbay.DataCentreName `arg:"" help:"Name of the data centre."`
}

// Run takes the data centre out.
func (c *outCmd) Run() error { return c.setOut(c.DataCentre, true) }

type inCmd struct {
	commitFlags
	DataCentre cornelbay.DataCentreName `arg:"" help:"Name of the data centre."`
}

// Run brings the data centre back.
func (c *inCmd) Run() error { return c.setOut(c.DataCentre, false) }

func (c *commitFlags) setOut(name cornelbay.DataCentreName, out bool) error {
	if err := c.checkHosts(); err != nil {
		return err
	}
	return c.printCommit(operator.SetDataCentreOut(context.Background(), c.client(), name, out, c.operatorChange()))
}
