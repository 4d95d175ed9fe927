package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cornelbay/cornelbay/objectstore"
	"github.com/cornelbay/cornelbay/operator"
	"github.com/cornelbay/cornelbay/peer"
)

// statusPlatformTimeout is the time limit for reading the committed generation. It
// is short because the hosts report what is in force even when the platform is down.
const statusPlatformTimeout = 2 * time.Second

// hostFlags holds the flags of commands that call hosts.
type hostFlags struct {
	Hosts   []netip.AddrPort `help:"Admin addresses of hosts; all commands but burn discover the other hosts from them." env:"CORNELBAY_HOSTS"`
	KeysDir string           `help:"Directory with ca.pem and the operator's certificate and key, for hosts that use TLS." type:"path" env:"CORNELBAY_KEYS_DIR"`
	Role    string           `help:"Certificate to show: reader or changer." enum:"reader,changer" default:"changer"`
}

// fleet returns a client of the hosts.
func (h hostFlags) fleet() (*operator.Fleet, error) {
	if len(h.Hosts) == 0 {
		return nil, merry.Wrap(errUsage, merry.AppendMessage("--hosts is required"))
	}
	f := &operator.Fleet{Hosts: h.Hosts}
	if h.KeysDir == "" {
		return f, nil
	}
	pair, err := peer.LoadKeyPair(h.KeysDir, h.Role)
	if err != nil {
		return nil, err
	}
	var c peer.Credentials
	c.Set(pair)
	f.TLS, f.HTTP = true, &http.Client{Transport: &http.Transport{TLSClientConfig: c.ClientConfig("")}}
	return f, nil
}

type statusCmd struct {
	outputFlags
	Platform string `help:"URL of the platform's service, for what is committed." env:"CORNELBAY_PLATFORM"`
	hostFlags
}

// Run prints the state of hosts and targets. It fails if the committed generation, or
// a higher one that a host has, is not in force at every host. If the platform is not
// read, it compares with the highest generation that a host has.
func (c *statusCmd) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), statusPlatformTimeout)
	defer cancel()
	client := &operator.Client{Service: &objectstore.Client{Base: c.Platform}, Attempts: 2}
	h, doc, err := client.Load(ctx)
	unknown := c.Platform == "" || err != nil
	f, ferr := c.fleet()
	if ferr != nil {
		return ferr
	}
	r, statuses := f.Survey(context.Background(), h.Generation)
	if !unknown {
		r.Committed, r.Targets = h, operator.TargetReports(doc, statuses)
	}
	if err := c.print(r, func(w io.Writer) { writeStatus(w, r, unknown) }); err != nil {
		return err
	}
	if !r.Everywhere {
		return operator.ErrNotEverywhere
	}
	return nil
}

func writeStatus(w io.Writer, r *operator.Report, unknown bool) {
	if unknown {
		fmt.Fprintln(w, "committed: not known, the platform was not read")
	} else {
		fmt.Fprintf(w, "committed: generation %d by %s: %s\n", r.Committed.Generation, r.Committed.Author, r.Committed.Reason)
	}
	fmt.Fprintln(w, "\nHOST\tDATA CENTRE\tGENERATION\tSTATE\tADMIN")
	for _, h := range r.Hosts {
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\n", h.Name, h.DataCentre, h.Generation, hostState(h), h.Admin)
	}
	if len(r.Targets) == 0 {
		return
	}
	fmt.Fprintln(w, "\nSERVICE\tTARGET\tDATA CENTRE\tSTATE\tSHARE\t")
	for _, t := range r.Targets {
		note := ""
		if t.Disagree {
			note = "hosts disagree"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%.1f%%\t%s\n", t.Service, t.Target, t.DataCentre, t.State, float64(t.Permille)/10, note)
	}
}

func hostState(h operator.HostReport) string {
	switch {
	case h.Error != "":
		return "no answer"
	case h.Stopping:
		return "stopping"
	case !h.Ready:
		return "not ready"
	}
	return "ready"
}

type hostCmd struct {
	Stop hostStopCmd `cmd:"" help:"Begin the planned stop of a host."`
}

type hostStopCmd struct {
	outputFlags
	hostFlags
	Host string `arg:"" help:"Name of the host, or its admin address."`
}

// Run begins the planned stop of the host, which exits when its last request is
// done.
func (c *hostStopCmd) Run() error {
	ctx := context.Background()
	f, err := c.fleet()
	if err != nil {
		return err
	}
	h, err := f.Find(ctx, c.Host)
	if err != nil {
		return err
	}
	if err := f.Stop(ctx, h.Admin); err != nil {
		return err
	}
	return c.print(h, func(w io.Writer) { fmt.Fprintf(w, "%s is stopping\n", h.Name) })
}
