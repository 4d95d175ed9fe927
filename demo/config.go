package demo

import (
	"context"
	"sync"
	"time"

	"github.com/cornelbay/cornelbay/daemon"
)

const configPoll = 10 * time.Millisecond

// configWatch tracks the configuration generation of each host.
type configWatch struct {
	mu sync.Mutex
	// lastGeneration holds the last generation polled from each daemon; it is keyed by daemon
	// because a restarted host has a new one. reverted counts the polls that returned
	// a lower generation than the poll before.
	lastGeneration map[*daemon.Daemon]uint64
	reverted       int
	// committed holds when each generation was committed, inForce when it was first
	// in force on all live hosts.
	committed, inForce map[uint64]time.Time
}

// commit records the time at which a generation was committed.
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
		c.poll(time.Now(), hosts)
	}
}

func (c *configWatch) poll(now time.Time, hosts []*host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastGeneration == nil {
		c.lastGeneration = make(map[*daemon.Daemon]uint64)
	}
	least := ^uint64(0)
	for _, h := range hosts {
		d := h.daemon.Load()
		if isDone(d) {
			continue
		}
		g := d.Generation()
		if g < c.lastGeneration[d] {
			c.reverted++
		}
		c.lastGeneration[d] = g
		// A host that has just started gets no traffic yet and doesn't count.
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

func isDone(d *daemon.Daemon) bool {
	select {
	case <-d.Done():
		return true
	default:
		return false
	}
}

// maxRolloutTime returns the longest time from a commit until the generation was in
// force on all hosts, and whether every committed generation came into force.
func (c *configWatch) maxRolloutTime() (time.Duration, bool) {
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
