package balancer

import (
	"time"

	"github.com/apex/log"

	"github.com/cornelbay/cornelbay/platform"
	"github.com/cornelbay/cornelbay/registry"
)

// table is what following a kind needs of a registry.Table.
type table interface {
	Revision() uint64
	Confirm(at time.Time) bool
	Confirmed() time.Time
}

// kind is one kind of objects in the store and the table that it fills.
type kind struct {
	name  string
	table func(*registry.Tables) table
	// list takes over all objects of the kind, and events changes of them, which
	// lead to a revision; both report whether the table changed.
	list   func(now time.Time, t *registry.Tables, revision uint64, objects []platform.Object) bool
	events func(now time.Time, t *registry.Tables, revision uint64, events []platform.Event) bool
}

var (
	targets = plain(platform.TargetKind, platform.DecodeTarget, func(t *registry.Tables) *registry.Table[registry.Target] {
		return &t.Targets
	})
	evacuations = plain(platform.EvacuationKind, platform.DecodeEvacuation, func(t *registry.Tables) *registry.Table[registry.Evacuation] {
		return &t.Evacuations
	})
	hosts = plain(platform.HostKind, platform.DecodeHost, func(t *registry.Tables) *registry.Table[registry.Host] {
		return &t.Hosts
	})
	routing = kind{
		name:  platform.RoutingKind,
		table: func(t *registry.Tables) table { return &t.Routes },
		list: func(now time.Time, t *registry.Tables, revision uint64, objects []platform.Object) bool {
			changed := false
			for _, o := range objects {
				changed = takeRouting(now, t, revision, o) || changed
			}
			return changed
		},
		events: func(now time.Time, t *registry.Tables, revision uint64, events []platform.Event) bool {
			changed := false
			for _, e := range events {
				if !e.Deleted {
					changed = takeRouting(now, t, revision, e.Object) || changed
				}
			}
			return changed
		},
	}
)

// takeRouting takes over a configuration; one that can't be read leaves the last.
func takeRouting(now time.Time, t *registry.Tables, revision uint64, o platform.Object) bool {
	r, err := platform.DecodeRouting(o)
	if err != nil {
		logSkipped(platform.RoutingKind, o, err)
		return false
	}
	return t.TakeRouting(now, revision, o.Revision, r)
}

// plain returns a kind whose objects are the records of a table.
func plain[T any](name string, decode func(platform.Object) (T, error), of func(*registry.Tables) *registry.Table[T]) kind {
	record := func(o platform.Object) (registry.Record[T], bool) {
		v, err := decode(o)
		if err != nil {
			logSkipped(name, o, err)
			return registry.Record[T]{Name: o.Name, Revision: o.Revision, Gone: true}, false
		}
		return registry.Record[T]{Name: o.Name, Revision: o.Revision, Value: v}, true
	}
	return kind{
		name:  name,
		table: func(t *registry.Tables) table { return of(t) },
		list: func(now time.Time, t *registry.Tables, revision uint64, objects []platform.Object) bool {
			var records []registry.Record[T]
			for _, o := range objects {
				if r, ok := record(o); ok {
					records = append(records, r)
				}
			}
			return of(t).Replace(now, revision, records)
		},
		events: func(now time.Time, t *registry.Tables, revision uint64, events []platform.Event) bool {
			var records []registry.Record[T]
			for _, e := range events {
				r, _ := record(e.Object)
				r.Gone = r.Gone || e.Deleted
				records = append(records, r)
			}
			return of(t).Apply(now, revision, records)
		},
	}
}

// logSkipped tells of an object that another writer left broken: it names nothing
// to use.
func logSkipped(name string, o platform.Object, err error) {
	log.WithError(err).WithFields(log.Fields{"kind": name, "name": o.Name, "revision": o.Revision}).Warn("object skipped")
}
