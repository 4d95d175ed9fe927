package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cornelbay/cornelbay"
)

// in returns a revision of the era after the first restore.
func in(change uint64) Revision { return NewRevision(1, change) }

func ExampleRevision() {
	before, after := NewRevision(0, 900), NewRevision(1, 12)
	fmt.Println(before < after, before.Era(), after.Era(), after.Change())
	// Output: true 0 1 12
}

func TestLaterEraReplacesLaterRevisionOfEarlierEra(t *testing.T) {
	is := is.New(t)
	var table Table[int]
	table.Replace(start, 20, []Record[int]{record("a", 3, 1), record("b", 15, 2)})
	is.True(table.Replace(start, in(10), []Record[int]{record("a", in(3), 1)}))
	is.Equal(table.Revision(), in(10))
	is.Equal(live(&table), map[string]int{"a": 1})

	is.True(!table.Replace(start, 25, []Record[int]{record("a", 22, 9)}))      // a late list
	is.True(!table.Apply(start, 25, []Record[int]{record("c", 24, 9)}))        // a late watch
	is.True(!table.Merge(start, Delta[int]{Revision: 25, Full: true}))         // a host that is behind
	is.True(table.Apply(start, in(11), []Record[int]{record("b", in(11), 3)})) // the number was used before
	is.Equal(live(&table), map[string]int{"a": 1, "b": 3})
}

func TestDeltaAcrossErasIsFull(t *testing.T) {
	is := is.New(t)
	var ahead, behind Table[int]
	behind.Replace(start, 20, []Record[int]{record("a", 3, 1), record("b", 15, 2)})
	ahead.Replace(start, 20, []Record[int]{record("a", 3, 1), record("b", 15, 2)})
	ahead.Replace(start, in(20), []Record[int]{record("a", in(3), 1)})
	d := ahead.DeltaSince(start, behind.DeltaBase())
	is.True(d.Full)
	is.True(behind.Merge(start, d))
	is.Equal(live(&behind), live(&ahead))
	is.Equal(behind.Digest(), ahead.Digest())
}

// TestPartialDeltaOfLaterEraIsNotApplied covers a host of an earlier version, which doesn't
// know eras and answers with the changes since a revision of another era.
func TestPartialDeltaOfLaterEraIsNotApplied(t *testing.T) {
	is := is.New(t)
	var table Table[int]
	table.Replace(start, 20, []Record[int]{record("a", 3, 1)})
	merged := Table[int]{}
	merged.Replace(start, in(5), []Record[int]{record("a", 3, 1), record("b", in(5), 1)})
	is.True(!table.Merge(start, Delta[int]{
		Since: 20, Revision: in(5), Digest: merged.Digest(), Records: []Record[int]{record("b", in(5), 1)},
	}))
	is.Equal(live(&table), map[string]int{"a": 1})
	is.Equal(table.DeltaBase(), Revision(0))
}

func TestUnchangedObjectKeepsItsTimeAcrossEras(t *testing.T) {
	is := is.New(t)
	var table Table[int]
	table.Replace(start, 20, []Record[int]{record("a", 3, 1), record("b", 3, 1)})
	later := start.Add(time.Minute)
	table.Replace(later, in(10), []Record[int]{record("a", in(3), 1), record("b", in(3), 2)})
	a, _ := table.Get("a")
	b, _ := table.Get("b")
	is.Equal(a.LearnedAt, start)
	is.Equal(b.LearnedAt, later)
}

// TestTargetsAfterRestore checks which targets get new flows, and which the packets of
// their open flows, once the store is back from an older copy.
func TestTargetsAfterRestore(t *testing.T) {
	ready := func(started int64) *Target {
		return &Target{Name: "a", Number: 1, Service: "s", DataCentre: "imlil", Address: testAddress, StartedMs: started}
	}
	draining := func(started int64) *Target {
		m := ready(started)
		m.Draining = true
		return m
	}
	for _, c := range []struct {
		title string
		// known is the last state before the restore; deleted is true if it was then
		// deleted. copied is the state in the copy, and rewritten what the target announces
		// 1 s after the restore.
		known     *Target
		deleted   bool
		copied    *Target
		rewritten *Target
		// usableAt are the times after the restore from which on, alternately, the target
		// gets new flows and gets none.
		usableAt []time.Duration
		started  int64
	}{
		{"same", ready(1), false, ready(1), nil, []time.Duration{0}, 1},
		{"draining after the copy", draining(1), false, ready(1), nil, nil, 1},
		{"draining after the copy, announced again", draining(1), false, ready(1), draining(1), nil, 1},
		{"deleted after the copy", ready(1), true, ready(1), nil, []time.Duration{LeaseTime}, 1},
		{"deleted after the copy, announced again", ready(1), true, ready(1), ready(1), []time.Duration{time.Second}, 1},
		{"drained and deleted after the copy", draining(1), true, ready(1), nil, nil, 1},
		{"new after the copy", ready(1), false, nil, nil, []time.Duration{0, ExpiryGrace}, 1},
		{"new after the copy, announced again", ready(1), false, nil, ready(1), []time.Duration{0}, 1},
		{"new after the copy, draining", draining(1), false, nil, nil, nil, 1},
		{"started again after the copy", ready(2), false, ready(1), nil, []time.Duration{0}, 2},
		{"started again after the copy, was draining", ready(2), false, draining(1), nil, []time.Duration{0}, 2},
		{"started again after the restore", draining(1), false, ready(1), ready(3), []time.Duration{time.Second}, 3},
	} {
		t.Run(c.title, func(t *testing.T) {
			is := is.New(t)
			var tables Tables
			tables.Targets.Confirm(start)
			tables.Targets.Replace(start, 20, []Record[Target]{{Name: "a", Revision: 15, Value: *c.known}})
			if c.deleted {
				tables.Targets.Apply(start, 21, []Record[Target]{{Name: "a", Revision: 21, Deleted: true}})
			}
			restored := start.Add(time.Second)
			tables.Targets.Confirm(restored)
			var list []Record[Target]
			if c.copied != nil {
				list = append(list, Record[Target]{Name: "a", Revision: in(9), Value: *c.copied})
			}
			is.True(tables.Targets.Replace(restored, in(10), list))
			for at := time.Duration(0); at < 2*RewriteTime; at += 100 * time.Millisecond {
				if c.rewritten != nil && at == time.Second {
					tables.Targets.Apply(restored.Add(at), in(11), []Record[Target]{{Name: "a", Revision: in(11), Value: *c.rewritten}})
				}
				m := tables.View().Cookies[1]
				is.True(m != nil) // open flows still reach it
				want := false
				for _, change := range c.usableAt {
					if at >= change {
						want = !want
					}
				}
				if got := m.Usable(restored.Add(at)); got != want {
					t.Fatalf("%s after the restore: usable %t, want %t", at, got, want)
				}
			}
			is.Equal(tables.View().Cookies[1].StartedMs, c.started)
		})
	}
}

func TestEvacuationAfterRestore(t *testing.T) {
	evacuation := func(at Revision) []Record[Evacuation] {
		return []Record[Evacuation]{{Name: "imlil", Revision: at, Value: Evacuation{DataCentre: "imlil"}}}
	}
	for _, c := range []struct {
		title  string
		known  []Record[Evacuation]
		copied []Record[Evacuation]
		// edit is what happens 1 s after the restore.
		edit func(t *Tables, now time.Time)
		// evacuatedFor is how long after the restore the data centre stays evacuated, up to
		// a minute.
		evacuatedFor time.Duration
	}{
		{"lost and never written again", evacuation(15), nil, func(*Tables, time.Time) {}, RewriteTime},
		{"lost and written again", evacuation(15), nil, func(tables *Tables, now time.Time) {
			tables.Evacuations.Apply(now, in(11), evacuation(in(11)))
		}, time.Minute},
		{"lost, written again and taken back", evacuation(15), nil, func(tables *Tables, now time.Time) {
			tables.Evacuations.Apply(now, in(11), evacuation(in(11)))
			tables.Evacuations.Apply(now, in(12), []Record[Evacuation]{{Name: "imlil", Revision: in(12), Deleted: true}})
		}, time.Second},
		{"in the copy", evacuation(15), evacuation(in(5)), func(*Tables, time.Time) {}, time.Minute},
		{"taken back after the copy, until that is written again", nil, evacuation(in(5)), func(tables *Tables, now time.Time) {
			tables.Evacuations.Apply(now, in(11), []Record[Evacuation]{{Name: "imlil", Revision: in(11), Deleted: true}})
		}, time.Second},
	} {
		t.Run(c.title, func(t *testing.T) {
			is := is.New(t)
			var tables Tables
			tables.Targets.Replace(start, 20, []Record[Target]{target("a", 1)})
			tables.Evacuations.Replace(start, 20, c.known)
			tables.Evacuations.Replace(start, in(10), c.copied)
			evacuatedFor := time.Duration(0)
			for at := time.Duration(0); at < time.Minute; at += 100 * time.Millisecond {
				if at == time.Second {
					c.edit(&tables, start.Add(at))
				}
				if !tables.View().Cookies[1].Usable(start.Add(at)) {
					evacuatedFor = at + 100*time.Millisecond
				}
			}
			is.Equal(evacuatedFor, c.evacuatedFor)
		})
	}
}

func routing(version uint64, routes ...string) Routing {
	r := Routing{Policy: Policy{Version: version}}
	for _, name := range routes {
		r.Routes = append(r.Routes, Route{Name: name})
	}
	return r
}

// TestConfigurationIsNotUndoneByRestore covers a configuration that was written after the
// copy. A host that has it keeps it, and a host that has started since then gets it from
// others, until a later version is written.
func TestConfigurationIsNotUndoneByRestore(t *testing.T) {
	is := is.New(t)
	var kept, started Tables
	kept.ReplaceRouting(start, 20, 20, routing(7, "old", "new"))
	is.True(!kept.ReplaceRouting(start, in(10), in(5), routing(3, "old")))
	is.Equal(kept.ConfigVersion(), uint64(7))
	is.Equal(kept.Routes.Revision(), in(10))

	is.True(started.ReplaceRouting(start, in(10), in(5), routing(3, "old")))
	is.True(!kept.MergeRouting(start, started.Policy.DeltaSince(start, 0), started.Routes.DeltaSince(start, 0)))
	is.Equal(len(live(&kept.Routes)), 2)
	is.True(started.MergeRouting(start, kept.Policy.DeltaSince(start, 0), kept.Routes.DeltaSince(start, 0)))
	is.Equal(live(&started.Routes), live(&kept.Routes))
	is.Equal(started.ConfigVersion(), uint64(7))

	for _, tables := range []*Tables{&kept, &started} {
		is.True(tables.ReplaceRouting(start, in(12), in(12), routing(8, "new")))
		is.Equal(len(live(&tables.Routes)), 1)
	}
	is.Equal(kept.Routes.Digest(), started.Routes.Digest())
}

// TestHostThatReadOnlyTheCopyLearnsTheRest covers a host that has started after a restore
// and has listed the same revision as one that knew more.
func TestHostThatReadOnlyTheCopyLearnsTheRest(t *testing.T) {
	is := is.New(t)
	var kept, started Tables
	drained := target("drained", 1)
	drained.Value.Draining = true
	kept.Targets.Replace(start, 20, []Record[Target]{drained, target("lost", 2)})
	kept.Evacuations.Replace(start, 20, []Record[Evacuation]{{Name: "todra", Revision: 15, Value: Evacuation{DataCentre: "todra"}}})
	listed := func() []Record[Target] {
		r, evacuated := target("drained", 1), target("evacuated", 3)
		r.Revision, evacuated.Revision, evacuated.Value.DataCentre = in(5), in(6), "todra"
		return []Record[Target]{r, evacuated}
	}
	for _, tables := range []*Tables{&kept, &started} {
		tables.Targets.Replace(start, in(10), listed())
		tables.Evacuations.Replace(start, in(10), nil)
	}
	is.True(started.View().Cookies[1].Usable(start))
	is.True(started.View().Cookies[3].Usable(start))
	is.True(started.Targets.Merge(start, kept.Targets.DeltaSince(start, started.Targets.DeltaBase())))
	is.True(started.Evacuations.Merge(start, kept.Evacuations.DeltaSince(start, started.Evacuations.DeltaBase())))
	is.True(!started.View().Cookies[1].Usable(start))
	is.True(started.View().Cookies[2].Usable(start)) // for a while
	is.True(!started.View().Cookies[3].Usable(start))
	is.Equal(started.Targets.Digest(), kept.Targets.Digest())
	is.True(!started.Targets.Merge(start, kept.Targets.DeltaSince(start, started.Targets.DeltaBase()))) // the same again
}

// TestTablesConvergeAcrossRestores runs random changes to a store, restores of it from older
// copies, lists and watches by several hosts, late answers among them, and pulls between
// hosts. No table may step back, two tables at the same revision must hold the same objects,
// and all must converge to the store once it has been written and listed again.
func TestTablesConvergeAcrossRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type state struct {
			era, change uint64
			objects     map[string]Record[int]
		}
		clone := func(s state) state {
			objects := map[string]Record[int]{}
			for name, r := range s.objects {
				objects[name] = r
			}
			return state{s.era, s.change, objects}
		}
		type answer struct {
			revision Revision
			list     []Record[int]
		}
		store := state{change: 1, objects: map[string]Record[int]{}}
		list := func() answer {
			a := answer{revision: NewRevision(store.era, store.change)}
			for _, r := range store.objects {
				r.Revision = NewRevision(store.era, uint64(r.Revision))
				a.list = append(a.list, r)
			}
			return a
		}
		write := func() {
			store.change++
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
			if rapid.Bool().Draw(t, "delete") {
				delete(store.objects, name)
				return
			}
			store.objects[name] = record(name, Revision(store.change), rapid.Int().Draw(t, "value"))
		}
		copies := []state{clone(store)}
		var late []answer
		hosts := make([]Table[int], 3)
		at := make([]Revision, 3)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			h := rapid.IntRange(0, 2).Draw(t, "host")
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				write()
			case 2:
				copies = append(copies, clone(store))
			case 3:
				era := store.era
				store = clone(rapid.SampledFrom(copies).Draw(t, "copy"))
				store.era = era + 1
			case 4:
				late = append(late, list())
			case 5:
				a := list()
				if len(late) > 0 && rapid.Bool().Draw(t, "late") {
					a = rapid.SampledFrom(late).Draw(t, "answer")
				}
				hosts[h].Replace(start, a.revision, a.list)
			case 6:
				hosts[h].Merge(start, hosts[(h+1)%3].DeltaSince(start, hosts[h].DeltaBase()))
			}
			if hosts[h].Revision() < at[h] {
				t.Fatalf("revision of host %d decreased from %d to %d", h, at[h], hosts[h].Revision())
			}
			at[h] = hosts[h].Revision()
			for i := range hosts {
				for j := range hosts[:i] {
					a, b := &hosts[i], &hosts[j]
					if a.Revision() == b.Revision() && fmt.Sprint(live(a)) != fmt.Sprint(live(b)) {
						t.Fatalf("at %d: %v and %v", a.Revision(), live(a), live(b))
					}
				}
			}
		}
		write()
		final := list()
		hosts[0].Replace(start, final.revision, final.list)
		for h := 1; h < 3; h++ {
			for range 2 { // a rejected delta is followed by a full one
				hosts[h].Merge(start, hosts[0].DeltaSince(start, hosts[h].DeltaBase()))
			}
			if fmt.Sprint(live(&hosts[h])) != fmt.Sprint(live(&hosts[0])) {
				t.Fatalf("host %d: %v, the store: %v", h, live(&hosts[h]), live(&hosts[0]))
			}
		}
	})
}

// TestHostsThatTheStoreLostStayInView guards against cold targets whose owner changes
// because a restore has taken some hosts from the table until they register again.
func TestHostsThatTheStoreLostStayInView(t *testing.T) {
	is := is.New(t)
	var tables Tables
	h := func(name string, at Revision) Record[Host] {
		return Record[Host]{Name: name, Revision: at, Value: Host{Name: cornelbay.HostName(name), DataCentre: "imlil", Address: testAddress}}
	}
	tables.Hosts.Replace(start, 20, []Record[Host]{h("a", 3), h("b", 15)})
	tables.Hosts.Replace(start, in(10), []Record[Host]{h("a", in(3))})
	is.Equal(len(tables.View().Hosts), 2)
	tables.Hosts.Apply(start, in(12), []Record[Host]{h("b", in(11)), {Name: "a", Revision: in(12), Deleted: true}})
	is.Equal(len(tables.View().Hosts), 1) // deleted by its owner, not lost
}
