package main

import (
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/peer"
)

type keysCmd struct {
	Dir   string   `help:"Directory to write the set to." required:"" type:"path"`
	Hosts []string `help:"Names of the hosts." required:""`
}

func (c *keysCmd) Run() error {
	var hosts []cornelbay.HostName
	for _, h := range c.Hosts {
		hosts = append(hosts, cornelbay.HostName(h))
	}
	return peer.WriteKeySet(c.Dir, time.Now(), hosts)
}
