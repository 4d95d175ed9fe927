package registry

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Record is one object at one revision. The record of an object that is gone
// is kept for a while with its last value.
type Record[T any] struct {
	Name string `json:"name"`
	// Revision is that of the object's last change before it was gone.
	Revision uint64 `json:"revision"`
	// ChangedRevision is the table's revision at which the record became what it is; it
	// is later than Revision for an object that is gone.
	ChangedRevision uint64 `json:"changed"`
	Deleted         bool   `json:"gone,omitempty"`
	Value           T      `json:"value"`
	// LearnedAt is when some host learned of this revision of the object.
	LearnedAt time.Time `json:"-"`
	// Age is the time since Learned, as one host tells another.
	Age time.Duration `json:"age,omitempty"`
}

// Delta is what one host tells another of a table.
type Delta[T any] struct {
	// Since is the revision that the delta builds on; a Full one builds on none.
	Since    uint64 `json:"since"`
	Revision uint64 `json:"revision"`
	Full     bool   `json:"full,omitempty"`
	// Digest is that of the teller's table. A host that has listed the store may
	// not know of an object that has come and gone before, which another host has.
	Digest  uint64      `json:"digest"`
	Records []Record[T] `json:"records,omitempty"`
}

// Table holds the objects of one kind as they are at a revision. Its revision
// never falls. The zero value is an empty table at revision 0, which means that
// nothing is known; it is not safe for concurrent use.
type Table[T any] struct {
	// TombstoneRetention is how long the records of objects that are gone are kept.
	TombstoneRetention time.Duration

	revision  uint64
	floor     uint64
	confirmed time.Time
	regained  time.Time
	// diverged is true after a delta that did not lead to the teller's table.
	diverged bool
	records  map[string]*Record[T]
}

// Revision returns the revision that the table is at; 0 means that it is empty.
func (t *Table[T]) Revision() uint64 { return t.revision }

// DeltaBase returns the revision that a delta for the table may build on: 0 where it
// has to be a full one.
func (t *Table[T]) DeltaBase() uint64 {
	if t.diverged {
		return 0
	}
	return t.revision
}

// Digest returns a digest of the objects in the table.
func (t *Table[T]) Digest() uint64 {
	var sum uint64
	for _, r := range t.records {
		if !r.Deleted {
			sum ^= xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(r.Name), r.Revision))
		}
	}
	return sum
}

// ConfirmedAt returns when the table was last known to be up to date.
func (t *Table[T]) ConfirmedAt() time.Time { return t.confirmed }

// RecoveredAt returns the last time at which the table was confirmed again after it
// had not been for longer than staleAfter.
func (t *Table[T]) RecoveredAt() time.Time { return t.regained }

// StaleAfter is the age of its confirmation from which a table counts as cut off
// from the store: somewhat over the pace at which readers confirm.
const StaleAfter = 3 * time.Second

// Confirm notes that the table was up to date at a time, and reports whether it
// had not been confirmed for longer than StaleAfter before.
func (t *Table[T]) Confirm(at time.Time) bool {
	if !at.After(t.confirmed) {
		return false
	}
	again := at.Sub(t.confirmed) > StaleAfter
	if again {
		t.regained = at
	}
	t.confirmed = at
	return again
}

// Replace takes over a whole list at a revision; what is not on it is gone. A
// list that is older than the table is ignored. It reports whether the table
// changed.
func (t *Table[T]) Replace(now time.Time, revision uint64, list []Record[T]) bool {
	if revision < t.revision || revision == 0 {
		return false
	}
	changed := t.revision == 0
	listed := make(map[string]bool, len(list))
	for i := range list {
		listed[list[i].Name] = !list[i].Deleted
		changed = t.take(now, &list[i]) || changed
	}
	for name, r := range t.records {
		if !listed[name] && !r.Deleted && r.Revision <= revision {
			r.Deleted, r.ChangedRevision, r.LearnedAt = true, revision, now
			changed = true
		}
	}
	t.revision, t.diverged = revision, false
	return changed
}

// Apply takes over changes that lead to a revision, in their order, and reports
// whether the table changed.
func (t *Table[T]) Apply(now time.Time, revision uint64, changes []Record[T]) bool {
	changed := false
	for i := range changes {
		changed = t.apply(now, max(revision, t.revision), &changes[i]) || changed
	}
	t.revision = max(t.revision, revision)
	return changed
}

func (t *Table[T]) apply(now time.Time, revision uint64, c *Record[T]) bool {
	if !c.Deleted {
		return t.take(now, c)
	}
	// The record of a deletion may carry the revision of the change before it.
	r, ok := t.records[c.Name]
	if !ok || r.Deleted || r.Revision > c.Revision {
		return false
	}
	r.Deleted, r.ChangedRevision, r.LearnedAt = true, revision, now
	return true
}

func (t *Table[T]) take(now time.Time, c *Record[T]) bool {
	if r, ok := t.records[c.Name]; ok && !c.after(r) {
		return false
	}
	if t.records == nil {
		t.records = make(map[string]*Record[T])
	}
	r := *c
	r.LearnedAt, r.Age = now.Add(-c.Age), 0
	r.ChangedRevision = max(r.ChangedRevision, r.Revision)
	t.records[c.Name] = &r
	return true
}

// after reports whether c is later than r: a later change, or the end of the
// object that r shows.
func (c *Record[T]) after(r *Record[T]) bool {
	return c.Revision > r.Revision || c.Revision == r.Revision && c.Deleted && !r.Deleted
}

// DeltaSince returns what has changed since a revision, or the whole table where that
// is too long ago.
func (t *Table[T]) DeltaSince(now time.Time, revision uint64) Delta[T] {
	d := Delta[T]{
		Since: revision, Revision: t.revision, Digest: t.Digest(),
		Full: revision < t.floor || revision == 0,
	}
	for _, name := range slices.Sorted(maps.Keys(t.records)) {
		if r := t.records[name]; d.Full || r.ChangedRevision > revision {
			out := *r
			out.Age = now.Sub(r.LearnedAt)
			d.Records = append(d.Records, out)
		}
	}
	return d
}

// Merge takes over what another host has told and reports whether the table
// changed. A delta that builds on a later revision than the table's is ignored.
func (t *Table[T]) Merge(now time.Time, d Delta[T]) bool {
	if d.Revision <= t.revision {
		return false
	}
	if d.Full {
		return t.Replace(now, d.Revision, d.Records)
	}
	if d.Since > t.revision {
		return false
	}
	before := maps.Clone(t.records)
	changed := false
	for i := range d.Records {
		changed = t.take(now, &d.Records[i]) || changed
	}
	if t.Digest() != d.Digest {
		t.records, t.diverged = before, true
		return false
	}
	t.revision = d.Revision
	return changed
}

// Prune drops the records of objects that have been gone for longer than Keep,
// and reports whether there were any.
func (t *Table[T]) Prune(now time.Time) bool {
	pruned := false
	for name, r := range t.records {
		if r.Deleted && now.Sub(r.LearnedAt) > t.TombstoneRetention {
			delete(t.records, name)
			t.floor = max(t.floor, r.ChangedRevision)
			pruned = true
		}
	}
	return pruned
}

// All returns the records by name, those of objects that are gone included.
func (t *Table[T]) All() []Record[T] {
	var all []Record[T]
	for _, name := range slices.Sorted(maps.Keys(t.records)) {
		all = append(all, *t.records[name])
	}
	return all
}
