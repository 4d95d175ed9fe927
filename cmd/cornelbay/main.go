// Command cornelbay is the operators' client, with the stand-ins for trials.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"

	"github.com/alecthomas/kong"
	"github.com/ansel1/merry/v2"

	"github.com/cornelbay/cornelbay/config"
	"github.com/cornelbay/cornelbay/operator"
	"github.com/cornelbay/cornelbay/platform"
	"github.com/cornelbay/cornelbay/standin"
)

type cli struct {
	Validate validateCmd `cmd:"" help:"Check a document."`
	Apply    applyCmd    `cmd:"" help:"Commit a document as the next generation."`
	Keys     keysCmd     `cmd:"" help:"Write certificates and a datagram key for a trial."`
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
}

func (c *applyCmd) Run() error {
	doc, err := load(c.Document)
	if err != nil {
		return err
	}
	s := &platform.Client{Base: c.Platform}
	h, err := operator.Apply(context.Background(), s, doc, operator.Change{Author: c.Author, Reason: c.Reason})
	if err != nil {
		return err
	}
	return json.NewEncoder(os.Stdout).Encode(h)
}

type standinCmd struct {
	Document string         `arg:"" type:"existingfile" help:"Document whose targets are started."`
	Listen   netip.AddrPort `help:"Address of the platform's service." default:"127.0.0.1:7400"`
	AnyPort  bool           `help:"Bind the targets to free ports of 127.0.0.1 in place of the document's."`
	Bound    string         `help:"File to write the document with the bound addresses to."`
}

func (c *standinCmd) Run() error {
	doc, err := load(c.Document)
	if err != nil {
		return err
	}
	var f standin.Fabric
	if err := f.Start(); err != nil {
		return err
	}
	defer f.Close()
	if err := c.startTargets(doc, f.Address()); err != nil {
		return err
	}
	if c.Bound != "" {
		b, err := doc.Canonical()
		if err != nil {
			return err
		}
		if err := os.WriteFile(c.Bound, b, 0o600); err != nil {
			return merry.Prepend(err, "--bound")
		}
	}
	return c.serve(&f)
}

func (c *standinCmd) startTargets(doc *config.Document, replies netip.AddrPort) error {
	anyPort := netip.MustParseAddrPort("127.0.0.1:0")
	for _, s := range doc.Services {
		for i := range s.Targets {
			t := &s.Targets[i]
			if c.AnyPort {
				t.Tunnel, t.HTTP = anyPort, anyPort
			}
			st := &standin.Target{Name: t.Name, Return: replies}
			if err := st.Start(t.Tunnel, t.HTTP); err != nil {
				return err
			}
			t.Tunnel, t.HTTP = st.Tunnel(), st.HTTP()
		}
	}
	return nil
}

func (c *standinCmd) serve(f *standin.Fabric) error {
	l, err := net.Listen("tcp", c.Listen.String())
	if err != nil {
		return merry.Prepend(err, "--listen")
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	context.AfterFunc(ctx, func() { _ = l.Close() }) // the process ends
	m := http.NewServeMux()
	objects := &platform.Server{Service: &platform.Memory{}}
	m.Handle("/objects", objects)
	m.Handle("/objects/", objects)
	m.Handle("POST /standin/packet", &standin.Control{Fabric: f})
	fmt.Printf("platform at http://%s\n", l.Addr())
	if err := http.Serve(l, m); ctx.Err() == nil {
		return err
	}
	return nil
}
