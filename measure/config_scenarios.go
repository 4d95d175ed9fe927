package measure

import (
	"context"
	"fmt"
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/config"
	"github.com/cornelbay/cornelbay/objectstore"
)

type configScenario struct {
	name string
	run  func(c *configRun) error
}

var configScenarios = []configScenario{
	{"steady", func(c *configRun) error { return c.changesEvery(30, 2*time.Second) }},
	{"burst", func(c *configRun) error { return c.changesEvery(20, 500*time.Millisecond) }},
	{"uneven", uneven},
	{"watchesCut", watchesCut},
	{"storeSlow", func(c *configRun) error {
		c.Store.Latency = time.Second
		return c.changesEvery(20, 2*time.Second)
	}},
	{"lostAnswers", lostAnswers},
	{"racingOperators", racingOperators},
	{"hostsReplaced", hostsReplaced},
	{"dataCentreCutOff", configCutOff},
}

// uneven loses a fifth of what passes between hosts and delays the rest by 1 to
// 400 ms, by the pair; half of the hosts cannot reach the platform.
func uneven(c *configRun) error {
	type pair struct{ from, to cornelbay.HostName }
	delays := make(map[pair]time.Duration)
	c.Delay = func(from, to cornelbay.HostName) time.Duration {
		p := pair{from, to}
		if delays[p] == 0 {
			delays[p] = time.Millisecond + time.Duration(c.Rand.Int64N(int64(400*time.Millisecond)))
		}
		return delays[p]
	}
	c.Cut = func(_, _ cornelbay.HostName) bool { return c.Rand.Float64() < 0.2 }
	blind := make(map[string]bool)
	for i, h := range c.hosts {
		blind[string(h.Name)] = i%2 == 1
	}
	c.Store.Unreachable = func(caller string) bool { return blind[caller] }
	return c.changesEvery(20, 2*time.Second)
}

// watchesCut cuts all watches each second and leaves half of the new ones silent.
func watchesCut(c *configRun) error {
	c.Store.Silent = func(_ string, call objectstore.Call) bool {
		return call.Op == objectstore.Watch && c.Rand.Float64() < 0.5
	}
	c.Every(time.Second, func() bool {
		c.Store.CutWatches()
		return true
	})
	return c.changesEvery(20, 2*time.Second)
}

// lostAnswers loses the answers to three in ten writes and one in ten reads.
func lostAnswers(c *configRun) error {
	c.Store.LoseAnswer = func(call objectstore.Call) bool {
		share := 0.1
		if call.Op == objectstore.Create || call.Op == objectstore.Update {
			share = 0.3
		}
		return c.Rand.Float64() < share
	}
	return c.changesEvery(20, 2*time.Second)
}

// racingOperators lets a second operator commit whenever the first is about to.
func racingOperators(c *configRun) error {
	first, second := c.operator, c.operator
	service := &beforeCommit{Store: commitClock{c}}
	first.Service = service
	for i := range 10 {
		service.run = func() error {
			c.operator = second
			err := c.apply(fmt.Sprint("second-", i), func(doc *config.Document) error {
				t := &doc.Services[0].Targets[1]
				t.Drain = !t.Drain
				return nil
			})
			c.operator = first
			return err
		}
		c.operator = first
		if err := c.change(); err != nil {
			return err
		}
		if service.err != nil {
			return service.err
		}
		c.Run(2 * time.Second)
	}
	c.operator = second
	return nil
}

// hostsReplaced replaces a host by a new one between changes.
func hostsReplaced(c *configRun) error {
	for i := range 20 {
		if err := c.change(); err != nil {
			return err
		}
		c.Run(time.Second)
		turn := i % c.settings.Hosts
		old := c.hosts[0]
		c.Nodes[old.Name].Dead = true
		c.gone += c.Nodes[old.Name].SentBytes + c.Nodes[old.Name].RPCBytes
		delete(c.Nodes, old.Name)
		c.hosts = c.hosts[1:]
		c.startHost(fmt.Sprintf("host-%03d", c.settings.Hosts+i), turn, cornelbay.Incarnation(i+2))
		c.Run(time.Second)
	}
	return nil
}

// configCutOff cuts one data centre from the platform and all others for
// some changes, twice.
func configCutOff(c *configRun) error {
	cut := false
	gone := c.hosts[0].DataCentre
	inside := make(map[cornelbay.HostName]bool)
	for _, h := range c.hosts {
		inside[h.Name] = h.DataCentre == gone
	}
	c.Cut = func(from, to cornelbay.HostName) bool { return cut && inside[from] != inside[to] }
	c.deaf = func(name cornelbay.HostName) bool { return cut && inside[name] }
	c.Store.Unreachable = func(caller string) bool { return cut && inside[cornelbay.HostName(caller)] }
	for range 2 {
		cut = true
		if err := c.changesEvery(10, 2*time.Second); err != nil {
			return err
		}
		cut = false
		if err := c.changesEvery(5, 2*time.Second); err != nil {
			return err
		}
	}
	return nil
}

// beforeCommit runs something once, ahead of the next update of the head.
type beforeCommit struct {
	objectstore.Store
	run func() error
	err error
}

// Do does the call.
func (b *beforeCommit) Do(ctx context.Context, c objectstore.Call) objectstore.Answer {
	if run := b.run; run != nil && c.Key == config.HeadKey && c.Op == objectstore.Update {
		b.run = nil
		b.err = run()
	}
	return b.Store.Do(ctx, c)
}
