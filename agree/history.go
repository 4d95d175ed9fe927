package agree

import (
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/flow"
	"github.com/cornelbay/cornelbay/track"
)

const (
	clearInterval = 30 * time.Second
	// clearFresh is how long the word of a host that it is clear counts.
	clearFresh = 2 * clearInterval
)

// history is what a host knows of the flows that began under earlier epochs. An
// earlier epoch ends when no host had a packet of such a flow for the whole idle
// time. A host that started later than that cannot tell, and neither can one
// that misses another host, since that one may have had the packet.
type history struct {
	// lastOld is the number of the last sweep that met such a flow.
	lastOld int
	next    time.Time
	// clear has when hosts last said that they have none, for one epoch.
	clear map[cornelbay.HostName]time.Time
	id    EpochID
}

// ended reports whether an epoch with the ID has ended.
func (s *serviceState) ended(id EpochID) bool {
	return len(s.epochs) > 0 && s.epochs[0].base && s.epochs[0].active && id.Compare(s.epochs[0].id) < 0
}

// dropHistory forgets the epochs before a base that is in force.
func (s *serviceState) dropHistory() {
	for i := len(s.epochs) - 1; i > 0; i-- {
		if s.epochs[i].base && s.epochs[i].active {
			s.epochs = s.epochs[i:]
			return
		}
	}
}

// sweepTable forgets the idle flows of one shard and looks for flows that are
// not where their bucket would place them now.
func (c *Control) sweepTable(now time.Time) {
	snap := c.Plane.Snapshot()
	old := make(map[*flow.Service]bool)
	c.Plane.Table.Sweep(c.sweep, track.Ticks(now), func(r track.Record) {
		at := r.Target()
		if snap == nil || !snap.Usable(at) {
			return
		}
		if svc := snap.Targets[at].Service; svc != nil && svc.Bucket(r.Fingerprint).Place != at {
			old[svc] = true
		}
	})
	c.sweep++
	for _, s := range c.services {
		if snap != nil && old[snap.Services[flow.KeyOf(s.Service)]] {
			s.history.lastOld = c.sweep
		}
	}
}

func idleTime(p cornelbay.Protocol) time.Duration {
	if p == cornelbay.UDP {
		return track.IdleUDP
	}
	return track.IdleTCP
}

// clear reports whether this host had no packet of an earlier epoch's flow for
// the whole idle time.
func (c *Control) clear(now time.Time, s *serviceState) bool {
	newest, idle := s.newest(), idleTime(s.Protocol)
	return len(s.epochs) > 1 && newest.active && now.Sub(newest.heard) > idle && now.Sub(c.servedSince) > idle &&
		len(c.members.Missing) == 0 && c.sweep-s.history.lastOld > track.Shards
}

// tickClear tells the proposers of which services this host is clear.
func (c *Control) tickClear(now time.Time) []cornelbay.Effect {
	var out []cornelbay.Effect
	for _, name := range c.serviceNames() {
		s := c.services[name]
		if now.Before(s.history.next) || !c.clear(now, s) {
			continue
		}
		s.history.next = now.Add(clearInterval)
		m := Clear{Service: name, ID: s.newest().id}
		if to, rank := flow.Proposer(name, c.servingNames(), c.Self); rank > 0 {
			out = append(out, cornelbay.Send{To: to, Message: m})
		} else {
			c.cleared(now, c.Self, m)
		}
	}
	return out
}

func (c *Control) cleared(now time.Time, from cornelbay.HostName, m Clear) {
	s := c.services[m.Service]
	if s == nil {
		return
	}
	h := &s.history
	if h.clear == nil || h.id != m.ID {
		h.clear, h.id = make(map[cornelbay.HostName]time.Time), m.ID
	}
	h.clear[from] = now
}

// allClear reports whether every host is clear of the epochs before the newest.
func (c *Control) allClear(now time.Time, s *serviceState) bool {
	if !c.clear(now, s) || s.history.id != s.newest().id {
		return false
	}
	for _, h := range c.members.Live {
		if at, ok := s.history.clear[h.Name]; !ok || now.Sub(at) > clearFresh {
			return false
		}
	}
	return true
}
