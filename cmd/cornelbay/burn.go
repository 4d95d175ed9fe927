package main

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cornelbay/cornelbay/burn"
)

// burnTimeout bounds the reading of all hosts.
const burnTimeout = 10 * time.Second

// exitAlert is the exit code while an alert fires.
const exitAlert = 4

type burnCmd struct {
	Hosts []netip.AddrPort `help:"Admin addresses of the hosts." required:"" env:"CORNELBAY_HOSTS"`
	JSON  bool             `help:"Print the report as JSON."`
	Plot  string           `help:"File to write a plot to, such as burn.svg." type:"path"`
	Check bool             `help:"Exit with 4 while an alert fires."`
}

func (c *burnCmd) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), burnTimeout)
	defer cancel()
	var urls []string
	for _, h := range c.Hosts {
		urls = append(urls, "http://"+h.String())
	}
	r := burn.Read(ctx, http.DefaultClient, urls)
	if len(r.Unread) == len(urls) {
		return merry.Errorf("no host answered: %s", r.Unread[0])
	}
	if err := c.write(r); err != nil {
		return err
	}
	for _, s := range r.Services {
		if c.Check && len(s.Alerts) > 0 {
			os.Exit(exitAlert)
		}
	}
	return nil
}

func (c *burnCmd) write(r *burn.Report) error {
	if c.Plot != "" {
		if err := r.Plot(c.Plot); err != nil {
			return err
		}
	}
	if !c.JSON {
		return r.WriteTable(os.Stdout)
	}
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(r)
}
