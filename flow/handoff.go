package flow

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cornelbay/cornelbay"
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
	record
}

// plan queues the records of ambiguous buckets for hosts that have become
// keepers of the bucket.
func (c *Control) plan(old, snap *Snapshot) {
	if old == nil || c.handoff.stopping || slices.Equal(old.hosts, snap.hosts) {
		return
	}
	c.queue(snap, func(svc *service, bucket int) (cornelbay.HostName, bool) {
		before := old.route(snap, svc, bucket)
		return newKeeper(old, snap, before, &svc.routes[svc.buckets[bucket].route])
	})
}

// route returns the route that a bucket had in an older snapshot, or nil.
func (s *Snapshot) route(snap *Snapshot, svc *service, bucket int) *route {
	for key, other := range snap.services {
		if other != svc {
			continue
		}
		was := s.services[key]
		if was == nil {
			return nil
		}
		if b := was.bucket(uint64(bucket)); b.route >= 0 {
			return &was.routes[b.route]
		}
	}
	return nil
}

// newKeeper returns the host that the own host has to hand a bucket's records
// to: one that was no keeper before, from the first keeper that is left.
func newKeeper(old, snap *Snapshot, before, after *route) (cornelbay.HostName, bool) {
	if before == nil || before.position >= keepers {
		return "", false
	}
	var kept []cornelbay.HostName
	for _, h := range before.order[:min(keepers, len(before.order))] {
		if snap.live(old.hosts[h]) {
			kept = append(kept, old.hosts[h])
		}
	}
	if len(kept) == 0 || kept[0] != snap.self {
		return "", false
	}
	for _, h := range after.order[:min(keepers, len(after.order))] {
		if name := snap.hosts[h]; !slices.Contains(kept, name) {
			return name, true
		}
	}
	return "", false
}

// queue queues the records of ambiguous buckets whose flows are not at the
// bucket's first target, those silent longest first.
func (c *Control) queue(snap *Snapshot, to func(svc *service, bucket int) (cornelbay.HostName, bool)) {
	hosts := make(map[*service][]cornelbay.HostName)
	found := false
	for _, svc := range snap.services {
		hosts[svc] = make([]cornelbay.HostName, len(svc.buckets))
		for i := range svc.buckets {
			if svc.buckets[i].route < 0 {
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
	c.Plane.Table.each(func(r record) {
		at := r.target()
		if r.marks()&(markFinished|markReset) != 0 || !snap.needed(r.fingerprint, at) {
			return
		}
		svc := snap.targets[at].service
		h := hosts[svc][r.fingerprint&uint64(len(svc.buckets)-1)]
		if h != "" && svc.bucket(r.fingerprint).first != at {
			c.handoff.queue = append(c.handoff.queue, handedRecord{h, r})
		}
	})
	slices.SortStableFunc(c.handoff.queue, func(a, b handedRecord) int {
		return cmp.Or(cmp.Compare(a.seen, b.seen), cmp.Compare(a.fingerprint, b.fingerprint))
	})
}

// Stop returns the effects that hand on what this host alone knows; more follow
// from Tick until Stopped reports true.
func (c *Control) Stop(now time.Time) []cornelbay.Effect {
	snap := c.Plane.snapshot.Load()
	c.handoff.stopping, c.handoff.deadline = true, now.Add(stopTimeout)
	if snap == nil {
		return nil
	}
	c.queue(snap, func(svc *service, bucket int) (cornelbay.HostName, bool) {
		r := &svc.routes[svc.buckets[bucket].route]
		if r.position >= keepers || len(r.order) <= keepers {
			return "", false
		}
		return snap.hosts[r.order[keepers]], true
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
		if !c.registry[r.target()].retired {
			m.add(r.record, index, c.registry[r.target()].Name)
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

func (m *Records) add(r record, index map[int32]byte, name cornelbay.TargetName) {
	i, ok := index[r.target()]
	if !ok {
		i = byte(len(m.Targets))
		index[r.target()] = i
		m.Targets = append(m.Targets, name)
	}
	m.Flows = binary.BigEndian.AppendUint64(m.Flows, r.fingerprint)
	m.Flows = append(m.Flows, i)
}

// takeRecords adds the records that another host hands on; a record of its own
// that the host has stays.
func (c *Control) takeRecords(now time.Time, m Records) {
	snap := c.Plane.snapshot.Load()
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
		if _, ok := c.Plane.Table.touch(fingerprint, ticks(now), 0); !ok {
			c.Plane.Table.put(fingerprint, at, ticks(now), 0, snap)
		}
	}
}
