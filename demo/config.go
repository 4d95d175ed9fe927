package demo

import (
	"context"
	"sync"
	"time"

	"github.com/cornelbay/cornelbay/daemon"
)

const configPoll = 10 * time.Millisecond

// configWatch follows the generations of the hosts.
type configWatch struct {
	mu sync.Mutex
	// seen holds the highest generation that each start of a host has shown.
	seen     map[*daemon.Daemon]uint64
	reverted int
	// committed and inForce hold the times of each generation.
	committed, inForce map[uint64]time.Time
}

// commit notes that a generation was committed at a time.
func (c *configWatch) commit(generation uint64, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.committed == nil {
		c.committed, c.inForce = make(map[uint64]time.Time), make(map[uint64]time.Time)
	}
	c.committed[generation] = at
}

func (c *configWatch) run(ctx context.Context, hosts []*host) {
	for wait(ctx, configPoll) {
		c.look(time.Now(), hosts)
	}
}

func (c *configWatch) look(now time.Time, hosts []*host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.seen == nil {
		c.seen = make(map[*daemon.Daemon]uint64)
	}
	least := ^uint64(0)
	for _, h := range hosts {
		d := h.daemon.Load()
		if ended(d) {
			continue
		}
		g := d.Generation()
		if g < c.seen[d] {
			c.reverted++
		}
		c.seen[d] = g
		// A host that has just started takes no traffic yet.
		if h.ready.Load() || g > 0 {
			least = min(least, g)
		}
	}
	for g := range c.committed {
		if _, ok := c.inForce[g]; !ok && g <= least && least != ^uint64(0) {
			c.inForce[g] = now
		}
	}
}

func ended(d *daemon.Daemon) bool {
	select {
	case <-d.Done():
		return true
	default:
		return false
	}
}

// slowest returns the longest time from a commit to its force everywhere, and
// whether every committed generation came into force.
func (c *configWatch) slowest() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var most time.Duration
	for g, at := range c.committed {
		in, ok := c.inForce[g]
		if !ok {
			return 0, false
		}
		most = max(most, in.Sub(at))
	}
	return most, len(c.committed) > 0
}

// waitInForce waits until a generation is in force on every live host.
func (c *configWatch) waitInForce(ctx context.Context, generation uint64) bool {
	for ctx.Err() == nil {
		c.mu.Lock()
		_, ok := c.inForce[generation]
		c.mu.Unlock()
		if ok {
			return true
		}
		wait(ctx, configPoll)
	}
	return false
}
