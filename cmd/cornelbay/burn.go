package main

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cornelbay/cornelbay/burn"
)

// burnTimeout is the time limit for reading all hosts.
const burnTimeout = 10 * time.Second

// errAlert is returned by --check while an alert fires.
var errAlert = merry.New("an alert fires")

type burnCmd struct {
	outputFlags
	hostFlags
	Plot  string `help:"File to write a plot to, such as burn.svg." type:"path"`
	Check bool   `help:"Fail with exit code 5 while an alert fires."`
}

// Run reports the service levels of the given hosts only; it doesn't discover
// others. Each host counts the requests that it has served itself.
func (c *burnCmd) Run() error {
	f, err := c.fleet()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), burnTimeout)
	defer cancel()
	hc, scheme := http.DefaultClient, "http://"
	if f.TLS {
		hc, scheme = f.HTTP, "https://"
	}
	var urls []string
	for _, h := range c.Hosts {
		urls = append(urls, scheme+h.String())
	}
	r := burn.Read(ctx, hc, urls)
	if len(r.Unread) == len(urls) {
		return merry.Errorf("no host answered: %s", r.Unread[0])
	}
	if c.Plot != "" {
		if err := r.Plot(c.Plot); err != nil {
			return err
		}
	}
	var tableErr error
	if err := c.print(r, func(w io.Writer) { tableErr = r.WriteTable(w) }); err != nil {
		return err
	}
	if tableErr != nil {
		return tableErr
	}
	return c.check(r)
}

func (c *burnCmd) check(r *burn.Report) error {
	for _, s := range r.Services {
		if c.Check && len(s.Alerts) > 0 {
			return errAlert
		}
	}
	return nil
}
