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
// the whole idle time. A host that has decided packets for less than that cannot
// tell, and neither can one that misses another host, since the missing host may
// have received such a packet.
type history struct {
	// lastOldFlowSweep is the number of the last sweep that found such a flow.
	lastOldFlowSweep int
	// nextClear is when this host may send the next Clear message.
	nextClear time.Time
	// clearedAt holds the time of each host's last Clear message for
	// clearedEpoch.
	clearedAt    map[cornelbay.HostName]time.Time
	clearedEpoch EpochID
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

// historyIdle reports whether this host can tell that it has received no packet
// of a flow from an earlier epoch for the whole idle time. The newest epoch must
// be active and older than the idle time, and this host must have decided
// packets for longer than that and miss no host. The last sweep of every shard
// must have found no flow on a target other than the one that gets its bucket's
// new flows.
func (c *Control) historyIdle(now time.Time, s *serviceState) bool {
	newest, idle := s.newest(), idleTime(s.Protocol)
	return len(s.epochs) > 1 && newest.active && now.Sub(newest.receivedAt) > idle && now.Sub(c.decidingSince) > idle &&
		len(c.members.Missing) == 0 && c.sweeps-s.history.lastOldFlowSweep > track.Shards
}

// tickClear tells each service's proposer when this host has seen no flows of
// the service's earlier epochs for the whole idle time.
func (c *Control) tickClear(now time.Time) []cornelbay.Effect {
	var out []cornelbay.Effect
	for _, name := range c.serviceNames() {
		s := c.services[name]
		if now.Before(s.history.nextClear) || !c.historyIdle(now, s) {
			continue
		}
		s.history.nextClear = now.Add(clearInterval)
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
	if h.clearedAt == nil || h.clearedEpoch != m.ID {
		h.clearedAt, h.clearedEpoch = make(map[cornelbay.HostName]time.Time), m.ID
	}
	h.clearedAt[from] = now
}

// historyIdleOnAllHosts reports whether no live host has seen flows of the
// epochs before the newest one for the whole idle time.
func (c *Control) historyIdleOnAllHosts(now time.Time, s *serviceState) bool {
	if !c.historyIdle(now, s) || s.history.clearedEpoch != s.newest().id {
		return false
	}
	for _, h := range c.members.Live {
		if at, ok := s.history.clearedAt[h.Name]; !ok || now.Sub(at) > clearTTL {
			return false
		}
	}
	return true
}
