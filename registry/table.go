package registry

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Record is one object at one revision. A deleted object leaves a tombstone with its
// last value for a while.
type Record[T any] struct {
	Name string `json:"name"`
	// Revision is the store revision of the last change of the object, not counting
	// its deletion.
	Revision uint64 `json:"revision"`
	// ChangedRevision is the table's revision at which the record got its present
	// state. For a tombstone it is the one that showed the deletion, which is later
	// than Revision.
	ChangedRevision uint64 `json:"changed"`
	Deleted         bool   `json:"gone,omitempty"`
	Value           T      `json:"value"`
	// LearnedAt is when the host that read this state of the object from the store
	// learned of it. Age carries the time from host to host.
	LearnedAt time.Time `json:"-"`
	// Age is the time since LearnedAt, as sent between hosts.
	Age time.Duration `json:"age,omitempty"`
}

// Delta is the difference between two revisions of a table, sent from one host to
// another.
type Delta[T any] struct {
	// Since is the revision that the delta starts from; it has no meaning if Full is
	// set.
	Since    uint64 `json:"since"`
	Revision uint64 `json:"revision"`
	Full     bool   `json:"full,omitempty"`
	// Digest is the digest of the sender's table. A sender that has listed the store
	// after an object was deleted has no tombstone for it, so its delta omits the
	// deletion; the receiver detects this by the digest.
	Digest  uint64      `json:"digest"`
	Records []Record[T] `json:"records,omitempty"`
}

// Table holds the objects of one kind at a revision, which never decreases. The zero
// value is an empty table at revision 0, which means that nothing is known yet. It is
// not safe for concurrent use.
type Table[T any] struct {
	// TombstoneRetention is how long the records of deleted objects are kept.
	TombstoneRetention time.Duration

	revision uint64
	// deltaFloor is the latest revision of a pruned tombstone. A delta from an earlier
	// revision would lack that deletion.
	deltaFloor  uint64
	confirmedAt time.Time
	recoveredAt time.Time
	// diverged is true after a delta was rolled back because the digests differed. The
	// next pull then requests a full table.
	diverged bool
	records  map[string]*Record[T]
}

// Revision returns the table's revision, or 0 if nothing is known yet.
func (t *Table[T]) Revision() uint64 { return t.revision }

// DeltaBase returns the revision from which to request a delta, or 0 if a full one is
// needed.
func (t *Table[T]) DeltaBase() uint64 {
	if t.diverged {
		return 0
	}
	return t.revision
}

// Digest returns a digest of the names and revisions of the objects, without
// tombstones.
func (t *Table[T]) Digest() uint64 {
	var sum uint64
	for _, r := range t.records {
		if !r.Deleted {
			sum ^= xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(r.Name), r.Revision))
		}
	}
	return sum
}

// ConfirmedAt returns the time at which the table was last known to be up to date.
func (t *Table[T]) ConfirmedAt() time.Time { return t.confirmedAt }

// RecoveredAt returns the time at which the table was last confirmed again after it
// had gone unconfirmed for longer than StaleAfter. The first confirmation counts, too.
func (t *Table[T]) RecoveredAt() time.Time { return t.recoveredAt }

// StaleAfter is the time without a confirmation after which a table counts as cut off
// from the store. Readers confirm all tables but Hosts at intervals of half of the
// shortest bound in the settings, 1.5 s by default. Where the interval is longer than
// StaleAfter, as for Hosts, every confirmation counts as a recovery.
const StaleAfter = 3 * time.Second

// Confirm records that the table was up to date at a time. It reports whether the
// table had gone unconfirmed for longer than StaleAfter before, or had never been
// confirmed.
func (t *Table[T]) Confirm(at time.Time) bool {
	if !at.After(t.confirmedAt) {
		return false
	}
	recovered := at.Sub(t.confirmedAt) > StaleAfter
	if recovered {
		t.recoveredAt = at
	}
	t.confirmedAt = at
	return recovered
}

// Replace applies a full list at a revision; objects that are not on it are deleted. A
// list older than the table is ignored. It reports whether the table changed.
func (t *Table[T]) Replace(now time.Time, revision uint64, list []Record[T]) bool {
	if revision < t.revision || revision == 0 {
		return false
	}
	changed := t.revision == 0
	listed := make(map[string]bool, len(list))
	for i := range list {
		listed[list[i].Name] = !list[i].Deleted
		changed = t.upsert(now, &list[i]) || changed
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

// Apply applies changes up to a revision, in order, and reports whether the table
// changed.
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
		return t.upsert(now, c)
	}
	// A deletion may carry the revision of the object's last change before it.
	r, ok := t.records[c.Name]
	if !ok || r.Deleted || r.Revision > c.Revision {
		return false
	}
	r.Deleted, r.ChangedRevision, r.LearnedAt = true, revision, now
	return true
}

func (t *Table[T]) upsert(now time.Time, c *Record[T]) bool {
	if r, ok := t.records[c.Name]; ok && !c.supersedes(r) {
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

// supersedes reports whether c is a later state of the object than r: a later
// revision, or the deletion of the same one.
func (c *Record[T]) supersedes(r *Record[T]) bool {
	return c.Revision > r.Revision || c.Revision == r.Revision && c.Deleted && !r.Deleted
}

// DeltaSince returns the changes since a revision. It returns the full table if the
// revision is 0 or if tombstones from after it have been pruned.
func (t *Table[T]) DeltaSince(now time.Time, revision uint64) Delta[T] {
	d := Delta[T]{
		Since: revision, Revision: t.revision, Digest: t.Digest(),
		Full: revision < t.deltaFloor || revision == 0,
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

// Merge applies a delta from another host and reports whether the table changed. A
// delta to the table's own or an earlier revision is ignored, and so is one that
// starts from a later revision than the table's. One that doesn't lead to the sender's
// digest is rolled back, and the next delta has to be a full one.
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
		changed = t.upsert(now, &d.Records[i]) || changed
	}
	if t.Digest() != d.Digest {
		t.records, t.diverged = before, true
		return false
	}
	t.revision = d.Revision
	return changed
}

// Prune drops tombstones older than TombstoneRetention and reports whether there were
// any.
func (t *Table[T]) Prune(now time.Time) bool {
	pruned := false
	for name, r := range t.records {
		if r.Deleted && now.Sub(r.LearnedAt) > t.TombstoneRetention {
			delete(t.records, name)
			t.deltaFloor = max(t.deltaFloor, r.ChangedRevision)
			pruned = true
		}
	}
	return pruned
}

// All returns the records sorted by name, tombstones included.
func (t *Table[T]) All() []Record[T] {
	var all []Record[T]
	for _, name := range slices.Sorted(maps.Keys(t.records)) {
		all = append(all, *t.records[name])
	}
	return all
}
