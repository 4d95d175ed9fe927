package registry

import (
	"encoding/binary"
	"maps"
	"reflect"
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
	Revision Revision `json:"revision"`
	// ChangedRevision is the table's revision at which the record got its present
	// state. For a tombstone it is the one that showed the deletion, which is later
	// than Revision.
	ChangedRevision Revision `json:"changed"`
	Deleted         bool     `json:"gone,omitempty"`
	// Lost is true for a tombstone of an object that existed when the store came back
	// from an older copy without it. Its writer may be about to write it again.
	Lost bool `json:"lost,omitempty"`
	// Returned is true for an object that was known to be deleted when the store came
	// back from an older copy that still has it.
	Returned bool `json:"returned,omitempty"`
	// Kept is true if this state differs from that in the older copy, because a host knew
	// more when the store came back. It supersedes the state in the copy, which has the same
	// revision.
	Kept  bool `json:"kept,omitempty"`
	Value T    `json:"value"`
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
	Since    Revision `json:"since"`
	Revision Revision `json:"revision"`
	Full     bool     `json:"full,omitempty"`
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

	revision Revision
	// deltaFloor is the latest revision of a pruned tombstone. A delta from an earlier
	// revision would lack that deletion.
	deltaFloor  Revision
	confirmedAt time.Time
	recoveredAt time.Time
	// diverged is true after a delta was rolled back because the digests differed. The
	// next pull then requests a full table.
	diverged bool
	records  map[string]*Record[T]
	// digest is the XOR of the hashes of the live records.
	digest uint64
	// version counts the changes of the records.
	version uint64
}

// Restorer is implemented by values that keep some of their state when the store comes
// back from an older copy.
type Restorer[T any] interface {
	// Restore returns the value to use: copied is that of the store's copy, and the
	// receiver the last one known before.
	Restore(copied T) T
}

// Revision returns the table's revision, or 0 if nothing is known yet.
func (t *Table[T]) Revision() Revision { return t.revision }

// DeltaBase returns the revision from which to request a delta, or 0 if a full one is
// needed.
func (t *Table[T]) DeltaBase() Revision {
	if t.diverged {
		return 0
	}
	return t.revision
}

// Digest returns a digest of the names and revisions of the objects, without
// tombstones.
func (t *Table[T]) Digest() uint64 { return t.digest }

// hash returns the record's part of the digest.
func (r *Record[T]) hash() uint64 {
	if r.Deleted {
		return 0
	}
	b := binary.BigEndian.AppendUint64([]byte(r.Name), uint64(r.Revision))
	if r.Kept {
		b = append(b, 1)
	}
	return xxhash.Sum64(b)
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
//
// A list of a later era than the table's is that of a store that came back from an older
// copy. What the copy lacks becomes lost, and what it has although it was known to be
// deleted becomes returned; see Record and Restorer.
func (t *Table[T]) Replace(now time.Time, revision Revision, list []Record[T]) bool {
	if revision < t.revision || revision == 0 {
		return false
	}
	restored := t.revision > 0 && revision.Era() > t.revision.Era()
	changed := t.revision == 0 || restored
	listed := make(map[string]bool, len(list))
	for i := range list {
		listed[list[i].Name] = !list[i].Deleted
		if restored {
			t.restore(now, &list[i])
			continue
		}
		changed = t.upsert(now, &list[i]) || changed
	}
	for name, r := range t.records {
		switch {
		case listed[name] || r.Revision > revision:
		case !r.Deleted:
			t.remove(now, r, revision)
			r.Lost = restored
			changed = true
		case restored:
			// An object that is written again has to supersede its tombstone.
			r.Revision, r.ChangedRevision = revision, revision
		}
	}
	t.revision, t.diverged = revision, false
	return changed
}

// restore applies an object of a later era than the table's.
func (t *Table[T]) restore(now time.Time, c *Record[T]) {
	r, known := t.records[c.Name]
	if !known || c.Deleted {
		t.put(now, c)
		return
	}
	next := *c
	if v, ok := any(r.Value).(Restorer[T]); ok {
		next.Value = v.Restore(c.Value)
	}
	next.Returned = c.Returned || r.Deleted
	next.Kept = c.Kept || r.Deleted || !reflect.DeepEqual(next.Value, c.Value)
	if !r.Deleted && reflect.DeepEqual(r.Value, next.Value) {
		next.Age = now.Sub(r.LearnedAt)
	}
	t.put(now, &next)
}

// Apply applies changes up to a revision, in order, and reports whether the table
// changed. Changes of another era than the table's are ignored: after a restore of the
// store the table has to be listed.
func (t *Table[T]) Apply(now time.Time, revision Revision, changes []Record[T]) bool {
	if t.revision > 0 && revision.Era() != t.revision.Era() {
		return false
	}
	changed := false
	for i := range changes {
		changed = t.apply(now, max(revision, t.revision), &changes[i]) || changed
	}
	t.revision = max(t.revision, revision)
	return changed
}

func (t *Table[T]) apply(now time.Time, revision Revision, c *Record[T]) bool {
	if !c.Deleted {
		return t.upsert(now, c)
	}
	// A deletion may carry the revision of the object's last change before it.
	r, ok := t.records[c.Name]
	if !ok || r.Deleted || r.Revision > c.Revision {
		return false
	}
	t.remove(now, r, revision)
	return true
}

// remove turns a live record into a tombstone.
func (t *Table[T]) remove(now time.Time, r *Record[T], revision Revision) {
	t.digest ^= r.hash()
	t.version++
	r.Deleted, r.Lost, r.Returned, r.Kept, r.ChangedRevision, r.LearnedAt = true, false, false, false, revision, now
}

func (t *Table[T]) upsert(now time.Time, c *Record[T]) bool {
	if r, ok := t.records[c.Name]; ok && !c.supersedes(r) {
		return false
	}
	t.put(now, c)
	return true
}

// put stores a copy of a record in place of the one with its name.
func (t *Table[T]) put(now time.Time, c *Record[T]) {
	if t.records == nil {
		t.records = make(map[string]*Record[T])
	}
	if r, ok := t.records[c.Name]; ok {
		t.digest ^= r.hash()
	}
	r := *c
	r.LearnedAt, r.Age = now.Add(-c.Age), 0
	r.ChangedRevision = max(r.ChangedRevision, r.Revision)
	t.records[c.Name] = &r
	t.digest ^= r.hash()
	t.version++
}

// supersedes reports whether c is a later state of the object than r: a later
// revision, or the deletion of the same one, or what is known beyond a copy of it.
func (c *Record[T]) supersedes(r *Record[T]) bool {
	return c.Revision > r.Revision || c.Revision == r.Revision && !r.Deleted && (c.Deleted || c.Kept && !r.Kept)
}

// beyondCopy reports whether the record holds what a host knew when the store came back
// from an older copy, and the copy lacks.
func (r *Record[T]) beyondCopy() bool { return r.Kept || r.Lost }

// DeltaSince returns the changes since a revision, and what the last copy of the store
// lacks, which the receiver may not know at any revision. It returns the full table if the
// revision is 0 or of an earlier era, or if tombstones from after it have been pruned.
func (t *Table[T]) DeltaSince(now time.Time, revision Revision) Delta[T] {
	d := Delta[T]{
		Since: revision, Revision: t.revision, Digest: t.digest,
		Full: revision < t.deltaFloor || revision == 0 || revision.Era() < t.revision.Era(),
	}
	for _, name := range slices.Sorted(maps.Keys(t.records)) {
		if r := t.records[name]; d.Full || r.ChangedRevision > revision || r.beyondCopy() {
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
// digest, or that leads to a later era without being a full one, leaves the table
// unchanged, and the next delta has to be a full one.
func (t *Table[T]) Merge(now time.Time, d Delta[T]) bool {
	if d.Revision <= t.revision {
		return d.Revision.Era() == t.revision.Era() && t.mergeBeyondCopy(now, d.Records)
	}
	if d.Full {
		return t.Replace(now, d.Revision, d.Records)
	}
	if d.Since > t.revision {
		return false
	}
	if d.Revision.Era() != t.revision.Era() || t.digestAfter(d.Records) != d.Digest {
		t.diverged = true
		return false
	}
	changed := false
	for i := range d.Records {
		changed = t.upsert(now, &d.Records[i]) || changed
	}
	t.revision = d.Revision
	return changed
}

// mergeBeyondCopy applies what other hosts know beyond the last copy of the store.
func (t *Table[T]) mergeBeyondCopy(now time.Time, records []Record[T]) bool {
	changed := false
	for i := range records {
		if records[i].beyondCopy() {
			changed = t.upsert(now, &records[i]) || changed
		}
	}
	return changed
}

// digestAfter returns the digest that the table would have with the given records, of
// which no two have the same name.
func (t *Table[T]) digestAfter(records []Record[T]) uint64 {
	sum := t.digest
	for i := range records {
		c := &records[i]
		r, known := t.records[c.Name]
		if known && !c.supersedes(r) {
			continue
		}
		if known {
			sum ^= r.hash()
		}
		sum ^= c.hash()
	}
	return sum
}

// keep advances the table to a revision without changing its records.
func (t *Table[T]) keep(revision Revision) {
	t.revision, t.diverged = max(t.revision, revision), false
}

// adopt replaces the records by those of a full delta, whatever their revisions.
func (t *Table[T]) adopt(now time.Time, d Delta[T]) {
	revision := max(t.revision, d.Revision)
	t.records, t.digest, t.revision = nil, 0, 0
	t.Replace(now, revision, d.Records)
}

// Prune drops tombstones older than TombstoneRetention and reports whether there were
// any.
func (t *Table[T]) Prune(now time.Time) bool {
	pruned := false
	for name, r := range t.records {
		if r.Deleted && now.Sub(r.LearnedAt) > t.TombstoneRetention {
			delete(t.records, name)
			t.deltaFloor = max(t.deltaFloor, r.ChangedRevision)
			t.version++
			pruned = true
		}
	}
	return pruned
}

// Get returns the record with a name, which may be a tombstone.
func (t *Table[T]) Get(name string) (Record[T], bool) {
	if r, ok := t.records[name]; ok {
		return *r, true
	}
	return Record[T]{}, false
}

// All returns the records sorted by name, tombstones included.
func (t *Table[T]) All() []Record[T] {
	var all []Record[T]
	for _, name := range slices.Sorted(maps.Keys(t.records)) {
		all = append(all, *t.records[name])
	}
	return all
}
