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
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cornelbay/cornelbay/config"
	"github.com/cornelbay/cornelbay/objectstore"
	"github.com/cornelbay/cornelbay/standin"
)

type standinCmd struct {
	Document string         `arg:"" type:"existingfile" help:"Document whose targets are started."`
	Listen   netip.AddrPort `help:"Address of the platform's service." default:"127.0.0.1:7400"`
	AnyPort  bool           `help:"Bind the targets to free ports of 127.0.0.1 in place of the document's."`
	Bound    string         `help:"File to write the document with the bound addresses to."`

	AnswerDelay time.Duration `help:"Time that a target takes for a request."`
}

func (c *standinCmd) Run() error {
	doc, err := loadDocument(c.Document)
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
		b, err := json.Marshal(doc)
		if err != nil {
			return merry.Prepend(err, "--bound")
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
			st := &standin.Target{Name: t.Name, ReplyTo: replies}
			if c.AnswerDelay > 0 {
				st.OnRequest = func(*http.Request) { time.Sleep(c.AnswerDelay) }
			}
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
	context.AfterFunc(ctx, func() { _ = l.Close() }) // the process exits next
	m := http.NewServeMux()
	faulty := &objectstore.Faulty{Service: &objectstore.Memory{}}
	objects := &objectstore.Server{Service: faulty}
	m.Handle("/standin/platform/faults", faulty)
	m.Handle("/objects", objects)
	m.Handle("/objects/", objects)
	m.Handle("POST /standin/packet", &standin.Control{Fabric: f})
	fmt.Printf("platform at http://%s\n", l.Addr())
	if err := http.Serve(l, m); ctx.Err() == nil {
		return err
	}
	return nil
}
