package agree

import (
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/flow"
	"github.com/cornelbay/cornelbay/track"
)

const (
	clearInterval = 30 * time.Second
	// clearTTL is how long a Clear message of a host counts.
	clearTTL = 2 * clearInterval
)

// history tracks whether flows that began under earlier epochs still have
// packets. Earlier epochs end when no host has seen a packet of such a flow for
// the whole idle time. A host that has served for less than that cannot tell,
// and neither can one that misses another host, since the missing host may have
// received such a packet.
type history struct {
	// lastOldFlowSweep is the number of the last sweep that found such a flow.
	lastOldFlowSweep int
	next             time.Time
	// clear holds the time of each host's last Clear message for the epoch id.
	clear map[cornelbay.HostName]time.Time
	id    EpochID
}

// ended reports whether the epoch with the ID has ended.
func (s *serviceState) ended(id EpochID) bool {
	return len(s.epochs) > 0 && s.epochs[0].base && s.epochs[0].active && id.Compare(s.epochs[0].id) < 0
}

// dropEpochsBeforeBase drops the epochs before the newest active base epoch.
func (s *serviceState) dropEpochsBeforeBase() {
	for i := len(s.epochs) - 1; i > 0; i-- {
		if s.epochs[i].base && s.epochs[i].active {
			s.epochs = s.epochs[i:]
			return
		}
	}
}

// sweepTable removes the idle flows of one shard and looks for flows on a
// target other than the one that gets their bucket's new flows.
func (c *Control) sweepTable(now time.Time) {
	snap := c.Plane.Snapshot()
	old := make(map[*flow.Service]bool)
	c.Plane.Table.Sweep(c.sweeps, track.Ticks(now), func(r track.Record) {
		at := r.Target()
		if snap == nil || !snap.Usable(at) {
			return
		}
		if svc := snap.Targets[at].Service; svc != nil && svc.Bucket(r.Fingerprint).NewFlowTarget != at {
			old[svc] = true
		}
	})
	c.sweeps++
	for _, s := range c.services {
		if snap != nil && old[snap.Services[flow.KeyOf(s.Service)]] {
			s.history.lastOldFlowSweep = c.sweeps
		}
	}
}

func idleTime(p cornelbay.Protocol) time.Duration {
	if p == cornelbay.UDP {
		return track.IdleUDP
	}
	return track.IdleTCP
}

// historyIdle reports whether this host has seen no packet of a flow from an
// earlier epoch for the whole idle time.
func (c *Control) historyIdle(now time.Time, s *serviceState) bool {
	newest, idle := s.newest(), idleTime(s.Protocol)
	return len(s.epochs) > 1 && newest.active && now.Sub(newest.receivedAt) > idle && now.Sub(c.servedSince) > idle &&
		len(c.members.Missing) == 0 && c.sweeps-s.history.lastOldFlowSweep > track.Shards
}

// tickClear tells each service's proposer when this host has seen no flows of
// the service's earlier epochs for the whole idle time.
func (c *Control) tickClear(now time.Time) []cornelbay.Effect {
	var out []cornelbay.Effect
	for _, name := range c.serviceNames() {
		s := c.services[name]
		if now.Before(s.history.next) || !c.historyIdle(now, s) {
			continue
		}
		s.history.next = now.Add(clearInterval)
		m := Clear{Service: name, ID: s.newest().id}
		if to, rank := flow.Proposer(name, c.servingNames(), c.Self); rank > 0 {
			out = append(out, cornelbay.Send{To: to, Message: m})
		} else {
			c.handleClear(now, c.Self, m)
		}
	}
	return out
}

func (c *Control) handleClear(now time.Time, from cornelbay.HostName, m Clear) {
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

// historyIdleOnAllHosts reports whether no live host has seen flows of the
// epochs before the newest one for the whole idle time.
func (c *Control) historyIdleOnAllHosts(now time.Time, s *serviceState) bool {
	if !c.historyIdle(now, s) || s.history.id != s.newest().id {
		return false
	}
	for _, h := range c.members.Live {
		if at, ok := s.history.clear[h.Name]; !ok || now.Sub(at) > clearTTL {
			return false
		}
	}
	return true
}
