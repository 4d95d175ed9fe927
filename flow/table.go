package flow

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
)

const (
	shardBits   = 6
	shardCount  = 1 << shardBits
	minSlots    = 64
	evictWindow = 32
	tickUnit    = 100 * time.Millisecond
)

// mark tells what was seen of a recorded flow.
type mark uint8

const (
	markFinished mark = 1 << iota
	markReset
	markUDP
)

// record is what a table keeps of one flow: no key, only its keyed fingerprint.
type record struct {
	// fingerprint is 0 in an empty slot.
	fingerprint uint64
	// seen is the time of the last packet in units of tickUnit.
	seen uint32
	// at holds the index of the target in the upper 24 bits and the marks below.
	at uint32
}

func (r *record) target() int32 { return int32(r.at >> 8) }
func (r *record) marks() mark   { return mark(r.at) }

func (r *record) idle() uint32 {
	switch m := r.marks(); {
	case m&markReset != 0:
		return uint32(IdleReset / tickUnit)
	case m&markFinished != 0:
		return uint32(IdleFinished / tickUnit)
	case m&markUDP != 0:
		return uint32(IdleUDP / tickUnit)
	}
	return uint32(IdleTCP / tickUnit)
}

func (r *record) expired(now uint32) bool { return now-r.seen > r.idle() }

// policy tells a full table which records must be kept: those of flows that the
// bucket alone does not decide.
type policy interface {
	needed(fingerprint uint64, target int32) bool
}

// Table remembers the target of each flow in bounded memory; many goroutines
// may use it. When it is full a new record replaces one that the bucket alone
// decides, the one idle longest, and is itself left out when it finds none.
type Table struct {
	// MaxFlows bounds the records; 0 stands for DefaultMaxFlows.
	MaxFlows int

	shards [shardCount]shard
}

type shard struct {
	mu    sync.Mutex
	slots []record
	used  int
	_     [24]byte
}

func ticks(now time.Time) uint32 { return uint32(now.UnixNano() / int64(tickUnit)) }

func (t *Table) shard(fingerprint uint64) *shard { return &t.shards[fingerprint>>(64-shardBits)] }

// limit returns the number of records that one shard holds at most.
func (t *Table) limit() int {
	n := t.MaxFlows
	if n == 0 {
		n = DefaultMaxFlows
	}
	return (n + shardCount - 1) / shardCount
}

func (s *shard) home(fingerprint uint64) int {
	return int(fingerprint>>24) & (len(s.slots) - 1)
}

func (s *shard) find(fingerprint uint64) int {
	if len(s.slots) == 0 {
		return -1
	}
	for i := s.home(fingerprint); ; i = (i + 1) & (len(s.slots) - 1) {
		switch s.slots[i].fingerprint {
		case fingerprint:
			return i
		case 0:
			return -1
		}
	}
}

// touch returns the record of a flow after it marked a packet of it.
func (t *Table) touch(fingerprint uint64, now uint32, m mark) (record, bool) {
	s := t.shard(fingerprint)
	s.mu.Lock()
	i := s.find(fingerprint)
	if i < 0 || s.slots[i].expired(now) {
		s.mu.Unlock()
		return record{}, false
	}
	before := s.slots[i]
	s.slots[i].seen = now
	s.slots[i].at |= uint32(m)
	s.mu.Unlock()
	return before, true
}

// put records the target of a flow, in place of what was recorded before.
func (t *Table) put(fingerprint uint64, target int32, now uint32, m mark, p policy) {
	s := t.shard(fingerprint)
	r := record{fingerprint, now, uint32(target)<<8 | uint32(m)}
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

func (s *shard) insert(r record) {
	i := s.home(r.fingerprint)
	for s.slots[i].fingerprint != 0 {
		i = (i + 1) & (len(s.slots) - 1)
	}
	s.slots[i] = r
	s.used++
}

func (s *shard) grow() {
	old := s.slots
	s.slots, s.used = make([]record, max(minSlots, 2*len(old))), 0
	for _, r := range old {
		if r.fingerprint != 0 {
			s.insert(r)
		}
	}
}

// evict removes a record near the home of r that matters less than r.
func (s *shard) evict(r record, p policy) bool {
	victim, spare := -1, -1
	home := s.home(r.fingerprint)
	for n := range evictWindow {
		i := (home + n) & (len(s.slots) - 1)
		o := &s.slots[i]
		if o.fingerprint == 0 {
			continue
		}
		if o.expired(r.seen) {
			victim = i
			break
		}
		if !p.needed(o.fingerprint, o.target()) {
			victim = s.older(victim, i, r.seen)
		} else if o.marks()&(markFinished|markReset) != 0 {
			spare = s.older(spare, i, r.seen)
		}
	}
	if victim < 0 && p.needed(r.fingerprint, r.target()) {
		victim = spare
	}
	if victim < 0 {
		return false
	}
	s.remove(victim)
	return true
}

func (s *shard) older(a, b int, now uint32) int {
	if a >= 0 && now-s.slots[a].seen >= now-s.slots[b].seen {
		return a
	}
	return b
}

// remove empties a slot and closes the gap in the probe sequences after it.
func (s *shard) remove(i int) {
	mask := len(s.slots) - 1
	s.used--
	for j := (i + 1) & mask; s.slots[j].fingerprint != 0; j = (j + 1) & mask {
		if home := s.home(s.slots[j].fingerprint); (j-home)&mask >= (j-i)&mask {
			s.slots[i] = s.slots[j]
			i = j
		}
	}
	s.slots[i] = record{}
}

// sweep forgets the idle flows of one shard.
func (t *Table) sweep(n int, now uint32) {
	s := &t.shards[n%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := 0; i < len(s.slots); {
		if s.slots[i].fingerprint != 0 && s.slots[i].expired(now) {
			s.remove(i)
			continue
		}
		i++
	}
}

// each calls f with a copy of every record, one shard at a time.
func (t *Table) each(f func(r record)) {
	var records []record
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		records = append(records[:0], s.slots...)
		s.mu.Unlock()
		for _, r := range records {
			if r.fingerprint != 0 {
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
		n += len(s.slots) * int(unsafe.Sizeof(record{}))
		s.mu.Unlock()
	}
	return n
}
