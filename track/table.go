// Package track implements the flow table of a host, which records the target
// of each flow that the host has seen.
package track

import (
	"sync"
	"time"
	"unsafe"
)

// DefaultMaxRecords is the maximum number of records of a table whose MaxRecords
// is 0.
const DefaultMaxRecords = 1 << 20

// Idle times after which the record of a flow expires.
const (
	IdleTCP      = 2*time.Hour + 4*time.Minute
	IdleUDP      = 5 * time.Minute
	IdleFinished = 5 * time.Minute
	IdleReset    = 10 * time.Second

	idleUnknownTarget = 3500 * time.Millisecond
)

const (
	// Shards is the number of shards of a table.
	Shards    = 1 << shardBits
	shardBits = 6
	// minSlots is the number of slots of a shard with its first record.
	minSlots = 64
	// evictionProbes is the number of slots that evict examines.
	evictionProbes = 32
	// tickUnit is the duration of one tick of Record.Seen.
	tickUnit = 100 * time.Millisecond
)

// FlowFlags describe the state of a recorded flow.
type FlowFlags uint8

// The flags of a flow.
const (
	// Finished is set when a packet with FIN was seen.
	Finished FlowFlags = 1 << iota
	// Reset is set when a packet with RST was seen.
	Reset
	// UDP is set on UDP flows.
	UDP
	// UnknownPacketUnit is the lowest bit of a counter of the packets of a flow
	// whose target is unknown.
	UnknownPacketUnit
	// Tentative is set on a flow of which only the opening packet was seen,
	// while the host's buckets may have been stale. It may have been opened
	// again on other hosts.
	Tentative FlowFlags = 1 << 6

	unknownPacketBits = 3
)

// UnknownTarget is the target in the record of a flow whose target no live host
// knows.
const UnknownTarget = 1<<24 - 1

// Record is the table entry of one flow. It holds a keyed fingerprint instead
// of the flow's key.
type Record struct {
	// Fingerprint is 0 in an empty slot.
	Fingerprint uint64
	// Seen is the time of the last packet in ticks of 100 ms. For a flow with
	// UnknownTarget it is the time of the first packet.
	Seen uint32
	// targetAndFlags holds the target index in the upper 24 bits and the flags
	// in the lower 8.
	targetAndFlags uint32
}

// Target returns the index of the flow's target.
func (r *Record) Target() int32 { return int32(r.targetAndFlags >> 8) }

// StateFlags returns the flags of the flow.
func (r *Record) StateFlags() FlowFlags { return FlowFlags(r.targetAndFlags) }

// UnknownPackets returns the number of packets counted for a flow whose target
// is unknown.
func (r *Record) UnknownPackets() int {
	if r.Target() != UnknownTarget {
		return 0
	}
	return int(r.StateFlags() / UnknownPacketUnit & (1<<unknownPacketBits - 1))
}

func (r *Record) idleTicks() uint32 {
	switch m := r.StateFlags(); {
	case r.Target() == UnknownTarget:
		return uint32(idleUnknownTarget / tickUnit)
	case m&Reset != 0:
		return uint32(IdleReset / tickUnit)
	case m&Finished != 0:
		return uint32(IdleFinished / tickUnit)
	case m&UDP != 0:
		return uint32(IdleUDP / tickUnit)
	}
	return uint32(IdleTCP / tickUnit)
}

func (r *Record) expired(now uint32) bool { return now-r.Seen > r.idleTicks() }

// EvictionPolicy tells a full table which records must be kept: those of flows
// whose bucket alone does not determine their target.
type EvictionPolicy interface {
	// MustKeep reports whether the record of the flow must be kept.
	MustKeep(fingerprint uint64, target int32) bool
}

// Table records the target of each flow in bounded memory. It is safe for
// concurrent use.
//
// When the table is full, a new record replaces a nearby one: an expired one,
// or the one idle longest among those that need not be kept. A record that must
// be kept may also replace that of a finished flow. If there is none to
// replace, the new record is discarded.
type Table struct {
	// MaxRecords limits the number of records; 0 means DefaultMaxRecords.
	MaxRecords int

	shards [Shards]shard
}

type shard struct {
	mu    sync.Mutex
	slots []Record
	used  int
	_     [24]byte
}

// Ticks returns the time in units of 100 ms. It wraps around; differences stay
// correct.
func Ticks(now time.Time) uint32 { return uint32(now.UnixNano() / int64(tickUnit)) }

func (t *Table) shard(fingerprint uint64) *shard { return &t.shards[fingerprint>>(64-shardBits)] }

// limit returns the maximum number of records per shard.
func (t *Table) limit() int {
	n := t.MaxRecords
	if n == 0 {
		n = DefaultMaxRecords
	}
	return (n + Shards - 1) / Shards
}

func (s *shard) homeSlot(fingerprint uint64) int {
	return int(fingerprint>>24) & (len(s.slots) - 1)
}

func (s *shard) find(fingerprint uint64) int {
	if len(s.slots) == 0 {
		return -1
	}
	for i := s.homeSlot(fingerprint); ; i = (i + 1) & (len(s.slots) - 1) {
		switch s.slots[i].Fingerprint {
		case fingerprint:
			return i
		case 0:
			return -1
		}
	}
}

// Touch returns the previous record of a flow and updates it for a packet: its
// time, and the flags to set and to clear. It does not change a record with
// UnknownTarget, and it treats an expired record as absent.
func (t *Table) Touch(fingerprint uint64, now uint32, setFlags, clearFlags FlowFlags) (Record, bool) {
	s := t.shard(fingerprint)
	s.mu.Lock()
	i := s.find(fingerprint)
	if i < 0 || s.slots[i].expired(now) {
		s.mu.Unlock()
		return Record{}, false
	}
	before := s.slots[i]
	if before.Target() != UnknownTarget {
		s.slots[i].Seen = now
		s.slots[i].targetAndFlags = s.slots[i].targetAndFlags&^uint32(clearFlags) | uint32(setFlags)
	}
	s.mu.Unlock()
	return before, true
}

// Put records the target of a flow and replaces an earlier record of it.
func (t *Table) Put(fingerprint uint64, target int32, now uint32, m FlowFlags, p EvictionPolicy) {
	s := t.shard(fingerprint)
	r := Record{fingerprint, now, uint32(target)<<8 | uint32(m)}
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := s.find(fingerprint); i >= 0 {
		s.slots[i] = r
		return
	}
	if s.used >= t.limit() && !s.evict(r, p) {
		return
	}
	if s.used >= len(s.slots)*7/8 {
		s.grow()
	}
	s.insert(r)
}

func (s *shard) insert(r Record) {
	i := s.homeSlot(r.Fingerprint)
	for s.slots[i].Fingerprint != 0 {
		i = (i + 1) & (len(s.slots) - 1)
	}
	s.slots[i] = r
	s.used++
}

func (s *shard) grow() {
	old := s.slots
	s.slots, s.used = make([]Record, max(minSlots, 2*len(old))), 0
	for _, r := range old {
		if r.Fingerprint != 0 {
			s.insert(r)
		}
	}
}

// evict removes a less important record near the home slot of r and reports
// whether it found one.
func (s *shard) evict(r Record, p EvictionPolicy) bool {
	victim, finished := -1, -1
	home := s.homeSlot(r.Fingerprint)
	for n := range evictionProbes {
		i := (home + n) & (len(s.slots) - 1)
		o := &s.slots[i]
		if o.Fingerprint == 0 {
			continue
		}
		if o.expired(r.Seen) {
			victim = i
			break
		}
		if !p.MustKeep(o.Fingerprint, o.Target()) {
			victim = s.longerIdle(victim, i, r.Seen)
		} else if o.StateFlags()&(Finished|Reset) != 0 {
			finished = s.longerIdle(finished, i, r.Seen)
		}
	}
	if victim < 0 && p.MustKeep(r.Fingerprint, r.Target()) {
		victim = finished
	}
	if victim < 0 {
		return false
	}
	s.remove(victim)
	return true
}

func (s *shard) longerIdle(a, b int, now uint32) int {
	if a >= 0 && now-s.slots[a].Seen >= now-s.slots[b].Seen {
		return a
	}
	return b
}

// remove empties a slot and shifts later records back to close the gap in their
// probe sequences.
func (s *shard) remove(i int) {
	mask := len(s.slots) - 1
	s.used--
	for j := (i + 1) & mask; s.slots[j].Fingerprint != 0; j = (j + 1) & mask {
		if home := s.homeSlot(s.slots[j].Fingerprint); (j-home)&mask >= (j-i)&mask {
			s.slots[i] = s.slots[j]
			i = j
		}
	}
	s.slots[i] = Record{}
}

// Sweep removes the expired records of one shard and calls f with the others.
func (t *Table) Sweep(n int, now uint32, f func(r Record)) {
	s := &t.shards[n%Shards]
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := 0; i < len(s.slots); {
		if s.slots[i].Fingerprint != 0 && s.slots[i].expired(now) {
			s.remove(i)
			continue
		}
		if s.slots[i].Fingerprint != 0 {
			f(s.slots[i])
		}
		i++
	}
}

// RemoveFlagged removes the records with any of the flags.
func (t *Table) RemoveFlagged(m FlowFlags) {
	for n := range t.shards {
		s := &t.shards[n]
		s.mu.Lock()
		for i := 0; i < len(s.slots); {
			if r := &s.slots[i]; r.Fingerprint != 0 && r.Target() != UnknownTarget && r.StateFlags()&m != 0 {
				s.remove(i)
				continue
			}
			i++
		}
		s.mu.Unlock()
	}
}

// Each calls f with a copy of every record, one shard at a time.
func (t *Table) Each(f func(r Record)) {
	var records []Record
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		records = append(records[:0], s.slots...)
		s.mu.Unlock()
		for _, r := range records {
			if r.Fingerprint != 0 {
				f(r)
			}
		}
	}
}

// Len returns the number of records.
func (t *Table) Len() int {
	n := 0
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		n += s.used
		s.mu.Unlock()
	}
	return n
}

// Bytes returns the memory that the table uses.
func (t *Table) Bytes() int {
	n := int(unsafe.Sizeof(*t))
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		n += len(s.slots) * int(unsafe.Sizeof(Record{}))
		s.mu.Unlock()
	}
	return n
}
