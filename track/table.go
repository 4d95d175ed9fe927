// Package track remembers the target of each flow that a host has seen.
package track

import (
	"sync"
	"time"
	"unsafe"
)

// DefaultMaxFlows is the number of flows that a table holds at most when it is
// not told otherwise.
const DefaultMaxFlows = 1 << 20

// The times after which a flow without packets is forgotten.
const (
	IdleTCP      = 2*time.Hour + 4*time.Minute
	IdleUDP      = 5 * time.Minute
	IdleFinished = 5 * time.Minute
	IdleReset    = 10 * time.Second

	idleUnknown = 3500 * time.Millisecond
)

const (
	// Shards is the number of parts that Sweep visits in turn.
	Shards      = 1 << shardBits
	shardBits   = 6
	minSlots    = 64
	evictWindow = 32
	tickUnit    = 100 * time.Millisecond
)

// FlowFlags tells what was seen of a recorded flow.
type FlowFlags uint8

// The marks of a flow.
const (
	// Finished is set when a packet with FIN was seen.
	Finished FlowFlags = 1 << iota
	// Reset is set when a packet with RST was seen.
	Reset
	// UDP is set on flows of that protocol.
	UDP
	// UnknownPacketUnit counts the packets of a flow whose target is unknown.
	UnknownPacketUnit
	// Tentative is set on a flow of which only the opening packet was seen, while
	// the host was in doubt; it may have been opened again elsewhere.
	Tentative FlowFlags = 1 << 6

	tryBits = 3
)

// UnknownTarget stands in a record of a flow whose target no host knows.
const UnknownTarget = 1<<24 - 1

// Record is what a table keeps of one flow: no key, only its keyed fingerprint.
type Record struct {
	// Fingerprint is 0 in an empty slot.
	Fingerprint uint64
	// Seen is the time of the last packet as Ticks gives it.
	Seen uint32
	// at holds the index of the target in the upper 24 bits and the marks below.
	at uint32
}

// Target returns the index of the flow's target.
func (r *Record) Target() int32 { return int32(r.at >> 8) }

// Flags returns what was seen of the flow.
func (r *Record) Flags() FlowFlags { return FlowFlags(r.at) }

// UnknownPackets returns how many packets of a flow came whose target is unknown.
func (r *Record) UnknownPackets() int {
	if r.Target() != UnknownTarget {
		return 0
	}
	return int(r.Flags() / UnknownPacketUnit & (1<<tryBits - 1))
}

func (r *Record) idle() uint32 {
	switch m := r.Flags(); {
	case r.Target() == UnknownTarget:
		return uint32(idleUnknown / tickUnit)
	case m&Reset != 0:
		return uint32(IdleReset / tickUnit)
	case m&Finished != 0:
		return uint32(IdleFinished / tickUnit)
	case m&UDP != 0:
		return uint32(IdleUDP / tickUnit)
	}
	return uint32(IdleTCP / tickUnit)
}

func (r *Record) expired(now uint32) bool { return now-r.Seen > r.idle() }

// EvictionPolicy tells a full table which records must be kept: those of flows that the
// bucket alone does not decide.
type EvictionPolicy interface {
	// MustKeep reports whether the record of the flow must be kept.
	MustKeep(fingerprint uint64, target int32) bool
}

// Table remembers the target of each flow in bounded memory; many goroutines
// may use it. When it is full a new record replaces one that the bucket alone
// decides, the one idle longest, and is itself left out when it finds none.
type Table struct {
	// MaxFlows bounds the records; 0 stands for DefaultMaxFlows.
	MaxFlows int

	shards [Shards]shard
}

type shard struct {
	mu    sync.Mutex
	slots []Record
	used  int
	_     [24]byte
}

// Ticks returns the time in units of 100 ms; differences are right across its wrap.
func Ticks(now time.Time) uint32 { return uint32(now.UnixNano() / int64(tickUnit)) }

func (t *Table) shard(fingerprint uint64) *shard { return &t.shards[fingerprint>>(64-shardBits)] }

// limit returns the number of records that one shard holds at most.
func (t *Table) limit() int {
	n := t.MaxFlows
	if n == 0 {
		n = DefaultMaxFlows
	}
	return (n + Shards - 1) / Shards
}

func (s *shard) home(fingerprint uint64) int {
	return int(fingerprint>>24) & (len(s.slots) - 1)
}

func (s *shard) find(fingerprint uint64) int {
	if len(s.slots) == 0 {
		return -1
	}
	for i := s.home(fingerprint); ; i = (i + 1) & (len(s.slots) - 1) {
		switch s.slots[i].Fingerprint {
		case fingerprint:
			return i
		case 0:
			return -1
		}
	}
}

// Touch returns the record of a flow as it was and notes a packet of it, with
// the marks to set and to clear.
func (t *Table) Touch(fingerprint uint64, now uint32, m, clear FlowFlags) (Record, bool) {
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
		s.slots[i].at = s.slots[i].at&^uint32(clear) | uint32(m)
	}
	s.mu.Unlock()
	return before, true
}

// Put records the target of a flow, in place of what was recorded before.
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
	i := s.home(r.Fingerprint)
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

// evict removes a record near the home of r that matters less than r.
func (s *shard) evict(r Record, p EvictionPolicy) bool {
	victim, spare := -1, -1
	home := s.home(r.Fingerprint)
	for n := range evictWindow {
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
			victim = s.older(victim, i, r.Seen)
		} else if o.Flags()&(Finished|Reset) != 0 {
			spare = s.older(spare, i, r.Seen)
		}
	}
	if victim < 0 && p.MustKeep(r.Fingerprint, r.Target()) {
		victim = spare
	}
	if victim < 0 {
		return false
	}
	s.remove(victim)
	return true
}

func (s *shard) older(a, b int, now uint32) int {
	if a >= 0 && now-s.slots[a].Seen >= now-s.slots[b].Seen {
		return a
	}
	return b
}

// remove empties a slot and closes the gap in the probe sequences after it.
func (s *shard) remove(i int) {
	mask := len(s.slots) - 1
	s.used--
	for j := (i + 1) & mask; s.slots[j].Fingerprint != 0; j = (j + 1) & mask {
		if home := s.home(s.slots[j].Fingerprint); (j-home)&mask >= (j-i)&mask {
			s.slots[i] = s.slots[j]
			i = j
		}
	}
	s.slots[i] = Record{}
}

// Sweep forgets the idle flows of one shard and calls f with the others.
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

// RemoveFlagged removes the records with the mark.
func (t *Table) RemoveFlagged(m FlowFlags) {
	for n := range t.shards {
		s := &t.shards[n]
		s.mu.Lock()
		for i := 0; i < len(s.slots); {
			if r := &s.slots[i]; r.Fingerprint != 0 && r.Target() != UnknownTarget && r.Flags()&m != 0 {
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

// Bytes returns the memory that the records take.
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
