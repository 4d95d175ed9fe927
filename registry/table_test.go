package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

func record(name string, revision Revision, value int) Record[int] {
	return Record[int]{Name: name, Revision: revision, Value: value}
}

func tombstone(name string, revision Revision) Record[int] {
	return Record[int]{Name: name, Revision: revision, Deleted: true}
}

func live[T any](t *Table[T]) map[string]T {
	m := map[string]T{}
	for _, r := range t.All() {
		if !r.Deleted {
			m[r.Name] = r.Value
		}
	}
	return m
}

func ExampleTable() {
	var t Table[int]
	t.Replace(start, 5, []Record[int]{record("a", 3, 1), record("b", 5, 2)})
	t.Apply(start, 7, []Record[int]{record("a", 6, 10), tombstone("b", 7)})
	fmt.Println(t.Revision(), live(&t))
	// Output: 7 map[a:10]
}

func TestReplaceIgnoresOlderList(t *testing.T) {
	is := is.New(t)
	var table Table[int]
	table.Replace(start, 9, []Record[int]{record("a", 9, 2)})
	is.True(!table.Replace(start, 8, []Record[int]{record("a", 3, 1)}))
	is.Equal(live(&table), map[string]int{"a": 2})
}

func TestDeletionWithAnEarlierRevisionThanTheTable(t *testing.T) {
	is := is.New(t)
	var table Table[int]
	table.Replace(start, 9, []Record[int]{record("a", 3, 1)})
	is.True(table.Apply(start, 10, []Record[int]{tombstone("a", 3)}))
	is.Equal(live(&table), map[string]int{})
	is.True(!table.Apply(start, 10, []Record[int]{tombstone("a", 3)})) // the same event twice
}

func TestDeletionBeforeRecreationIsIgnored(t *testing.T) {
	is := is.New(t)
	var table Table[int]
	table.Replace(start, 12, []Record[int]{record("a", 12, 2)})
	is.True(!table.Apply(start, 12, []Record[int]{tombstone("a", 5)}))
	is.Equal(live(&table), map[string]int{"a": 2})
}

// TestDeletionAndRecreationInOneAnswer guards against a deletion that hides the
// recreation of the object in the same answer.
func TestDeletionAndRecreationInOneAnswer(t *testing.T) {
	is := is.New(t)
	var table Table[int]
	table.Replace(start, 2, []Record[int]{record("a", 2, 1)})
	table.Apply(start, 4, []Record[int]{tombstone("a", 2), record("a", 4, 3)})
	is.Equal(live(&table), map[string]int{"a": 3})
}

// TestDeltaWithoutTombstoneIsDetected covers a sender that listed the store after an
// object was deleted: it has no tombstone, so its delta omits the deletion.
func TestDeltaWithoutTombstoneIsDetected(t *testing.T) {
	is := is.New(t)
	var behind, sender Table[int]
	behind.Replace(start, 2, []Record[int]{record("a", 2, 1)})
	sender.Replace(start, 3, nil)
	behind.Merge(start, sender.DeltaSince(start, behind.DeltaBase()))
	is.Equal(behind.Revision(), Revision(2)) // the delta is rejected
	is.Equal(behind.DeltaBase(), Revision(0))
	is.True(behind.Merge(start, sender.DeltaSince(start, behind.DeltaBase())))
	is.Equal(live(&behind), map[string]int{})
	is.Equal(behind.DeltaBase(), Revision(3))
}

// TestRejectedDeltaLeavesTableUnchanged guards against a delta that is rejected
// because of its digest but leaves some of its records behind.
func TestRejectedDeltaLeavesTableUnchanged(t *testing.T) {
	is := is.New(t)
	var behind, sender Table[int]
	behind.Replace(start, 3, []Record[int]{record("a", 2, 2), record("b", 3, 3)})
	sender.Replace(start, 5, []Record[int]{record("a", 4, 4)})
	is.True(!behind.Merge(start, sender.DeltaSince(start, behind.DeltaBase())))
	is.Equal(live(&behind), map[string]int{"a": 2, "b": 3})
	is.True(behind.Merge(start, sender.DeltaSince(start, behind.DeltaBase())))
	is.Equal(live(&behind), map[string]int{"a": 4})
}

func TestPruneRespectsTombstoneRetention(t *testing.T) {
	is := is.New(t)
	table := Table[int]{TombstoneRetention: time.Minute}
	table.Replace(start, 2, []Record[int]{record("a", 1, 1)})
	table.Apply(start, 3, []Record[int]{tombstone("a", 3)})
	is.True(!table.Prune(start.Add(time.Minute)))
	is.Equal(len(table.All()), 1)
	is.True(table.Prune(start.Add(time.Minute + time.Second)))
	is.Equal(len(table.All()), 0)
	is.True(table.DeltaSince(start, 2).Full)  // the deletion is no longer known
	is.True(!table.DeltaSince(start, 3).Full) // later than the deletion
}

func TestMergeIgnoresDeltaOnLaterRevision(t *testing.T) {
	is := is.New(t)
	var table Table[int]
	table.Replace(start, 2, []Record[int]{record("a", 1, 1)})
	is.True(!table.Merge(start, Delta[int]{Since: 4, Revision: 5, Records: []Record[int]{record("b", 5, 1)}}))
	is.Equal(table.Revision(), Revision(2))
}

func TestRecoveredAtAfterOutage(t *testing.T) {
	is := is.New(t)
	var table Table[int]
	is.True(table.Confirm(start))
	is.True(!table.Confirm(start.Add(StaleAfter)))
	is.True(!table.Confirm(start)) // an older confirmation has no effect
	back := start.Add(3 * StaleAfter)
	is.True(table.Confirm(back))
	is.Equal(table.RecoveredAt(), back)
}

// TestTablesConverge runs random changes to a store, lists and watches of it by
// several hosts, and pulls between hosts. The revision of a table must never decrease,
// and tables at the same revision must hold the same objects.
func TestTablesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type change struct {
			record   Record[int]
			revision Revision
		}
		var history []change
		current := map[string]Record[int]{}
		revision := Revision(1)
		hosts := make([]Table[int], 3)
		at := make([]Revision, 3) // lowest revision that each host may be at
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			h := rapid.IntRange(0, 2).Draw(t, "host")
			table := &hosts[h]
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
				revision++
				old, exists := current[name]
				if exists && rapid.Bool().Draw(t, "delete") {
					delete(current, name)
					history = append(history, change{tombstone(name, old.Revision), revision})
				} else {
					r := record(name, revision, int(revision))
					current[name] = r
					history = append(history, change{r, revision})
				}
			case 2:
				var list []Record[int]
				for _, r := range current {
					list = append(list, r)
				}
				table.Replace(start, revision, list)
			case 3:
				if table.Revision() == 0 {
					continue
				}
				var events []Record[int]
				for _, c := range history {
					if c.revision > table.Revision() {
						events = append(events, c.record)
					}
				}
				if len(events) > 0 {
					table.Apply(start, revision, events)
				}
			case 4:
				from := &hosts[(h+1)%3]
				table.Merge(start, from.DeltaSince(start, table.DeltaBase()))
			}
			if table.Revision() < at[h] {
				t.Fatalf("revision of host %d decreased from %d to %d", h, at[h], table.Revision())
			}
			at[h] = table.Revision()
			for i := range hosts {
				for j := range hosts[:i] {
					a, b := &hosts[i], &hosts[j]
					if a.Revision() == b.Revision() && fmt.Sprint(live(a)) != fmt.Sprint(live(b)) {
						t.Fatalf("at %d: %v and %v", a.Revision(), live(a), live(b))
					}
				}
			}
		}
	})
}
