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
	// handoffBytes and stopBytes bound what a host spends on records in a
	// second, on the wire; the second while it stops.
	handoffBytes = 1200
	stopBytes    = 2400
	// handoffBurst is the size of one message with records on the wire.
	handoffBurst = 1200
	// recordBytes is the size of one record in a message.
	recordBytes = 9
	// messageBytes is what a datagram has besides its records.
	messageBytes = 200
	// stopTimeout bounds the time that a stopping host hands on records.
	stopTimeout = 20 * time.Second
)

// handoff is the queue of records that other hosts are to have.
type handoff struct {
	queue    []handedRecord
	next     time.Time
	stopping bool
	deadline time.Time
}

type handedRecord struct {
	to cornelbay.HostName
	track.Record
}

// plan queues the records of ambiguous buckets for hosts that have become
// keepers of the bucket.
func (c *Control) plan(old, snap *flow.Snapshot) {
	if old == nil || c.handoff.stopping || slices.Equal(old.Hosts, snap.Hosts) {
		return
	}
	c.queue(snap, func(svc *flow.Service, bucket int) (cornelbay.HostName, bool) {
		before := routeBefore(old, snap, svc, bucket)
		return newKeeper(old, snap, before, &svc.Routes[svc.Buckets[bucket].Route])
	})
}

// routeBefore returns the route that a bucket had in an older snapshot, or nil.
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

// newKeeper returns the host that the own host has to hand a bucket's records
// to: one that was no keeper before, from the first keeper that is left.
func newKeeper(old, snap *flow.Snapshot, before, after *flow.Route) (cornelbay.HostName, bool) {
	if before == nil || before.Position >= flow.Keepers {
		return "", false
	}
	var kept []cornelbay.HostName
	for _, h := range before.Order[:min(flow.Keepers, len(before.Order))] {
		if snap.Live(old.Hosts[h]) {
			kept = append(kept, old.Hosts[h])
		}
	}
	if len(kept) == 0 || kept[0] != snap.Self {
		return "", false
	}
	for _, h := range after.Order[:min(flow.Keepers, len(after.Order))] {
		if name := snap.Hosts[h]; !slices.Contains(kept, name) {
			return name, true
		}
	}
	return "", false
}

// queue queues the records of ambiguous buckets whose flows are not at the
// bucket's first target, those silent longest first.
func (c *Control) queue(snap *flow.Snapshot, to func(svc *flow.Service, bucket int) (cornelbay.HostName, bool)) {
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
		if r.Marks()&(track.Finished|track.Reset) != 0 || !snap.Needed(r.Fingerprint, at) {
			return
		}
		svc := snap.Targets[at].Service
		h := hosts[svc][r.Fingerprint&uint64(len(svc.Buckets)-1)]
		if h != "" && svc.Bucket(r.Fingerprint).First != at {
			c.handoff.queue = append(c.handoff.queue, handedRecord{h, r})
		}
	})
	slices.SortStableFunc(c.handoff.queue, func(a, b handedRecord) int {
		return cmp.Or(cmp.Compare(a.Seen, b.Seen), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
}

// Stop returns the effects that hand on what this host alone knows; more follow
// from Tick until Stopped reports true.
func (c *Control) Stop(now time.Time) []cornelbay.Effect {
	snap := c.Plane.Snapshot()
	c.handoff.stopping, c.handoff.deadline = true, now.Add(stopTimeout)
	if snap == nil {
		return nil
	}
	c.queue(snap, func(svc *flow.Service, bucket int) (cornelbay.HostName, bool) {
		r := &svc.Routes[svc.Buckets[bucket].Route]
		if r.Position >= flow.Keepers || len(r.Order) <= flow.Keepers {
			return "", false
		}
		return snap.Hosts[r.Order[flow.Keepers]], true
	})
	return c.tickHandoff(now)
}

// Stopped reports whether a stopping host has handed on its records.
func (c *Control) Stopped(now time.Time) bool {
	return c.handoff.stopping && (len(c.handoff.queue) == 0 || now.After(c.handoff.deadline))
}

// tickHandoff sends queued records within the budget.
func (c *Control) tickHandoff(now time.Time) []cornelbay.Effect {
	h := &c.handoff
	if len(h.queue) == 0 || now.Before(h.next) {
		return nil
	}
	to := h.queue[0].to
	var m Records
	index := make(map[int32]byte)
	var rest []handedRecord
	for _, r := range h.queue {
		if r.to != to || len(m.Flows)+recordBytes > handoffBurst-messageBytes-len(m.Targets)*16 {
			rest = append(rest, r)
			continue
		}
		if !c.registry[r.Target()].retired {
			m.add(r.Record, index, c.registry[r.Target()].Name)
		}
	}
	h.queue = rest
	if len(m.Flows) == 0 {
		return nil
	}
	rate := handoffBytes
	if h.stopping {
		rate = stopBytes
	}
	size := len(m.Flows) + len(m.Targets)*16 + messageBytes
	h.next = now.Add(time.Second * time.Duration(size) / time.Duration(rate))
	return []cornelbay.Effect{cornelbay.Send{To: to, Message: m}}
}

func (m *Records) add(r track.Record, index map[int32]byte, name cornelbay.TargetName) {
	i, ok := index[r.Target()]
	if !ok {
		i = byte(len(m.Targets))
		index[r.Target()] = i
		m.Targets = append(m.Targets, name)
	}
	m.Flows = binary.BigEndian.AppendUint64(m.Flows, r.Fingerprint)
	m.Flows = append(m.Flows, i)
}

// takeRecords adds the records that another host hands on; a record of its own
// that the host has stays.
func (c *Control) takeRecords(now time.Time, m Records) {
	snap := c.Plane.Snapshot()
	if snap == nil {
		return
	}
	for f := m.Flows; len(f) >= recordBytes; f = f[recordBytes:] {
		fingerprint, i := binary.BigEndian.Uint64(f), int(f[8])
		if i >= len(m.Targets) {
			continue
		}
		at, ok := c.byName[m.Targets[i]]
		if !ok {
			continue
		}
		if _, ok := c.Plane.Table.Touch(fingerprint, track.Ticks(now), 0, 0); !ok {
			c.Plane.Table.Put(fingerprint, at, track.Ticks(now), 0, snap)
		}
	}
}
