// Command cornelbayd runs one entry host.
package main

import (
	"context"
	"encoding/hex"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/ansel1/merry/v2"
	"github.com/apex/log"
	logjson "github.com/apex/log/handlers/json"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/daemon"
	"github.com/cornelbay/cornelbay/entry"
)

type cli struct {
	Name       string           `help:"Name of the host." required:"" env:"CORNELBAY_NAME"`
	DataCentre string           `help:"Data centre of the host." required:"" env:"CORNELBAY_DATA_CENTRE"`
	Group      string           `help:"Group of services to serve." env:"CORNELBAY_GROUP"`
	Platform   string           `help:"URL of the platform's service." required:"" env:"CORNELBAY_PLATFORM"`
	Fabric     netip.AddrPort   `help:"Address for Geneve packets." default:"127.0.0.1:0" env:"CORNELBAY_FABRIC"`
	Datagram   netip.AddrPort   `help:"Address for control datagrams." default:"127.0.0.1:0" env:"CORNELBAY_DATAGRAM"`
	RPC        netip.AddrPort   `name:"rpc" help:"Address for net/rpc." default:"127.0.0.1:0" env:"CORNELBAY_RPC"`
	HTTP       netip.AddrPort   `name:"http" help:"Address for callers' requests." default:"127.0.0.1:0" env:"CORNELBAY_HTTP"`
	Admin      netip.AddrPort   `help:"Address for metrics, health and status." default:"127.0.0.1:0" env:"CORNELBAY_ADMIN"`
	Peers      []netip.AddrPort `help:"Datagram addresses of hosts to ask first." env:"CORNELBAY_PEERS"`
	Key        []string         `help:"Keys for datagrams, in hexadecimal; the first seals." required:"" env:"CORNELBAY_KEY"`
	LogLevel   string           `help:"Least level of log entries." enum:"debug,info,warn,error" default:"info" env:"CORNELBAY_LOG_LEVEL"`
}

func main() {
	var c cli
	k := kong.Parse(&c, kong.Description("Runs one entry host of cornelbay."))
	k.FatalIfErrorf(c.run())
}

func (c *cli) run() error {
	log.SetHandler(logjson.New(os.Stderr))
	log.SetLevelFromString(c.LogLevel)
	s, err := c.settings()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	d, err := daemon.Start(ctx, s)
	if err != nil {
		return err
	}
	self := d.Self()
	log.WithFields(log.Fields{
		"host": self.Name, "fabric": self.Fabric.String(), "datagram": self.Datagram.String(),
		"http": self.HTTP.String(), "admin": self.Admin.String(),
	}).Info("started")
	<-ctx.Done()
	return nil
}

func (c *cli) settings() (daemon.Settings, error) {
	s := daemon.Settings{Platform: c.Platform}
	for _, k := range c.Key {
		b, err := hex.DecodeString(k)
		if err != nil {
			return s, merry.Prepend(err, "--key")
		}
		s.Keys = append(s.Keys, b)
	}
	now := time.Now().UnixNano()
	s.Settings = entry.Settings{
		Group: c.Group, Seed: uint64(now),
		Self: cornelbay.Host{
			Name: cornelbay.HostName(c.Name), DataCentre: cornelbay.DataCentreName(c.DataCentre),
			Incarnation: cornelbay.Incarnation(now), Fabric: c.Fabric, Datagram: c.Datagram,
			RPC: c.RPC, HTTP: c.HTTP, Admin: c.Admin,
		},
	}
	for _, p := range c.Peers {
		s.Introduce = append(s.Introduce, cornelbay.Host{Name: cornelbay.HostName(p.String()), Datagram: p})
	}
	return s, nil
}
