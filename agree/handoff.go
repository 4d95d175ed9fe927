package agree

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/flow"
	"github.com/cornelbay/cornelbay/track"
)

const (
	// handoffBytesPerSecond and stopBytesPerSecond limit the bandwidth on the
	// wire that a host uses to send records; the latter applies while the host
	// stops.
	handoffBytesPerSecond = 1200
	stopBytesPerSecond    = 2400
	// recordsMessageBytes limits the size of one Records message on the wire.
	recordsMessageBytes = 1200
	// recordBytes is the encoded size of one record.
	recordBytes = 9
	// messageOverheadBytes is the size of a datagram without its records and
	// target names.
	messageOverheadBytes = 200
	// stopTimeout limits how long a stopping host sends its records.
	stopTimeout = 20 * time.Second
)

// handoff holds the queue of records to send to other hosts.
type handoff struct {
	queue    []queuedRecord
	next     time.Time
	stopping bool
	deadline time.Time
}

type queuedRecord struct {
	to cornelbay.HostName
	track.Record
}

// planHandoff queues records for hosts that have become replicas of a bucket
// with a route.
func (c *Control) planHandoff(old, snap *flow.Snapshot) {
	if old == nil || c.handoff.stopping || slices.Equal(old.Hosts, snap.Hosts) {
		return
	}
	c.queueRecords(snap, func(svc *flow.Service, bucket int) (cornelbay.HostName, bool) {
		before := routeBefore(old, snap, svc, bucket)
		return newReplica(old, snap, before, &svc.Routes[svc.Buckets[bucket].Route])
	})
}

// routeBefore returns the route that a bucket had in the old snapshot, or nil.
func routeBefore(old, snap *flow.Snapshot, svc *flow.Service, bucket int) *flow.Route {
	for key, other := range snap.Services {
		if other != svc {
			continue
		}
		was := old.Services[key]
		if was == nil {
			return nil
		}
		if b := was.Bucket(uint64(bucket)); b.Route >= 0 {
			return &was.Routes[b.Route]
		}
	}
	return nil
}

// newReplica returns the host to which this host has to send a bucket's
// records: one that was not a replica before, or the first one if both replicas
// are new. Only the first remaining replica sends them.
func newReplica(old, snap *flow.Snapshot, before, after *flow.Route) (cornelbay.HostName, bool) {
	if before == nil || before.Position >= flow.ReplicaCount {
		return "", false
	}
	var kept []cornelbay.HostName
	for _, h := range before.Order[:min(flow.ReplicaCount, len(before.Order))] {
		if snap.Live(old.Hosts[h]) {
			kept = append(kept, old.Hosts[h])
		}
	}
	if len(kept) == 0 || kept[0] != snap.Self {
		return "", false
	}
	for _, h := range after.Order[:min(flow.ReplicaCount, len(after.Order))] {
		if name := snap.Hosts[h]; !slices.Contains(kept, name) {
			return name, true
		}
	}
	return "", false
}

// queueRecords queues the records of unfinished flows that are not on their
// bucket's oldest target, longest idle first. It takes only buckets with a
// route for which the function to returns a receiving host.
func (c *Control) queueRecords(snap *flow.Snapshot, to func(svc *flow.Service, bucket int) (cornelbay.HostName, bool)) {
	hosts := make(map[*flow.Service][]cornelbay.HostName)
	found := false
	for _, svc := range snap.Services {
		hosts[svc] = make([]cornelbay.HostName, len(svc.Buckets))
		for i := range svc.Buckets {
			if svc.Buckets[i].Route < 0 {
				continue
			}
			if h, ok := to(svc, i); ok {
				hosts[svc][i], found = h, true
			}
		}
	}
	if !found {
		return
	}
	c.Plane.Table.Each(func(r track.Record) {
		at := r.Target()
		if r.StateFlags()&(track.Finished|track.Reset) != 0 || !snap.MustKeep(r.Fingerprint, at) {
			return
		}
		svc := snap.Targets[at].Service
		h := hosts[svc][r.Fingerprint&uint64(len(svc.Buckets)-1)]
		if h != "" && svc.Bucket(r.Fingerprint).OldestTarget != at {
			c.handoff.queue = append(c.handoff.queue, queuedRecord{h, r})
		}
	})
	slices.SortStableFunc(c.handoff.queue, func(a, b queuedRecord) int {
		return cmp.Or(cmp.Compare(a.Seen, b.Seen), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
}

// Stop starts to send this host's records to the hosts that become replicas in
// its place and returns the first effects. Tick returns the rest until Stopped
// reports true.
func (c *Control) Stop(now time.Time) []cornelbay.Effect {
	snap := c.Plane.Snapshot()
	c.handoff.stopping, c.handoff.deadline = true, now.Add(stopTimeout)
	if snap == nil {
		return nil
	}
	c.queueRecords(snap, func(svc *flow.Service, bucket int) (cornelbay.HostName, bool) {
		r := &svc.Routes[svc.Buckets[bucket].Route]
		if r.Position >= flow.ReplicaCount || len(r.Order) <= flow.ReplicaCount {
			return "", false
		}
		return snap.Hosts[r.Order[flow.ReplicaCount]], true
	})
	return c.tickHandoff(now)
}

// Stopped reports whether a stopping host has sent its records or has run out
// of time.
func (c *Control) Stopped(now time.Time) bool {
	return c.handoff.stopping && (len(c.handoff.queue) == 0 || now.After(c.handoff.deadline))
}

// tickHandoff sends queued records within the bandwidth limit.
func (c *Control) tickHandoff(now time.Time) []cornelbay.Effect {
	h := &c.handoff
	if len(h.queue) == 0 || now.Before(h.next) {
		return nil
	}
	to := h.queue[0].to
	var m Records
	index := make(map[int32]byte)
	var rest []queuedRecord
	for _, r := range h.queue {
		// A target name is assumed to take 16 bytes.
		if r.to != to || len(m.Flows)+recordBytes > recordsMessageBytes-messageOverheadBytes-len(m.Targets)*16 {
			rest = append(rest, r)
			continue
		}
		if !c.targets[r.Target()].purged {
			m.appendRecord(r.Record, index, c.targets[r.Target()].Name)
		}
	}
	h.queue = rest
	if len(m.Flows) == 0 {
		return nil
	}
	rate := handoffBytesPerSecond
	if h.stopping {
		rate = stopBytesPerSecond
	}
	size := len(m.Flows) + len(m.Targets)*16 + messageOverheadBytes
	h.next = now.Add(time.Second * time.Duration(size) / time.Duration(rate))
	return []cornelbay.Effect{cornelbay.Send{To: to, Message: m}}
}

func (m *Records) appendRecord(r track.Record, index map[int32]byte, name cornelbay.TargetName) {
	i, ok := index[r.Target()]
	if !ok {
		i = byte(len(m.Targets))
		index[r.Target()] = i
		m.Targets = append(m.Targets, name)
	}
	m.Flows = binary.BigEndian.AppendUint64(m.Flows, r.Fingerprint)
	m.Flows = append(m.Flows, i)
}

// handleRecords adds the records that another host sent. If this host already
// has a record of the flow, it keeps that record's target and only refreshes
// its time.
func (c *Control) handleRecords(now time.Time, m Records) {
	snap := c.Plane.Snapshot()
	if snap == nil {
		return
	}
	for f := m.Flows; len(f) >= recordBytes; f = f[recordBytes:] {
		fingerprint, i := binary.BigEndian.Uint64(f), int(f[8])
		if i >= len(m.Targets) {
			continue
		}
		at, ok := c.targetIndex[m.Targets[i]]
		if !ok {
			continue
		}
		if _, ok := c.Plane.Table.Touch(fingerprint, track.Ticks(now), 0, 0); !ok {
			c.Plane.Table.Put(fingerprint, at, track.Ticks(now), 0, snap)
		}
	}
}
