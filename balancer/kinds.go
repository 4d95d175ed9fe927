package balancer

import (
	"time"

	"github.com/apex/log"

	"github.com/cornelbay/cornelbay/gossip"
	"github.com/cornelbay/cornelbay/platform"
	"github.com/cornelbay/cornelbay/registry"
)

// table is the part of registry.Table that syncTable uses.
type table interface {
	Revision() registry.Revision
	Confirm(at time.Time) bool
	ConfirmedAt() time.Time
}

// objectKind is a kind of objects in the store, with the table that holds them.
type objectKind struct {
	name  string
	table func(*registry.Tables) table
	// revision returns the revision of the table among those that a host announces.
	revision func(gossip.Revisions) registry.Revision
	// replace applies a full list of the objects, and apply a sequence of changes up
	// to a revision; both report whether the table changed.
	replace func(now time.Time, t *registry.Tables, revision registry.Revision, objects []platform.Object) bool
	apply   func(now time.Time, t *registry.Tables, revision registry.Revision, events []platform.Event) bool
}

var (
	targetKind = recordKind(platform.TargetKind, platform.DecodeTarget, func(r gossip.Revisions) registry.Revision { return r.Targets }, func(t *registry.Tables) *registry.Table[registry.Target] {
		return &t.Targets
	})
	evacuationKind = recordKind(platform.EvacuationKind, platform.DecodeEvacuation, func(r gossip.Revisions) registry.Revision { return r.Evacuations }, func(t *registry.Tables) *registry.Table[registry.Evacuation] {
		return &t.Evacuations
	})
	hostKind = recordKind(platform.HostKind, platform.DecodeHost, func(r gossip.Revisions) registry.Revision { return r.Hosts }, func(t *registry.Tables) *registry.Table[registry.Host] {
		return &t.Hosts
	})
	routingKind = objectKind{
		name:     platform.RoutingKind,
		table:    func(t *registry.Tables) table { return &t.Routes },
		revision: func(r gossip.Revisions) registry.Revision { return r.Routing },
		replace: func(now time.Time, t *registry.Tables, revision registry.Revision, objects []platform.Object) bool {
			changed := false
			for _, o := range objects {
				changed = applyRouting(now, t, revision, o) || changed
			}
			return changed
		},
		apply: func(now time.Time, t *registry.Tables, revision registry.Revision, events []platform.Event) bool {
			changed := false
			for _, e := range events {
				if !e.Deleted {
					changed = applyRouting(now, t, revision, e.Object) || changed
				}
			}
			return changed
		},
	}
)

// objectKinds are all kinds, in the order in which a starting host needs them.
var objectKinds = []objectKind{routingKind, targetKind, evacuationKind, hostKind}

// applyRouting applies a configuration. If it is malformed, the last one stays in
// force.
func applyRouting(now time.Time, t *registry.Tables, revision registry.Revision, o platform.Object) bool {
	r, err := platform.DecodeRouting(o)
	if err != nil {
		logSkipped(platform.RoutingKind, o, err)
		return false
	}
	return t.ReplaceRouting(now, revision, o.Revision, r)
}

// recordKind returns an objectKind whose objects correspond one to one to the records
// of a table.
func recordKind[T any](name string, decode func(platform.Object) (T, error), revision func(gossip.Revisions) registry.Revision, of func(*registry.Tables) *registry.Table[T]) objectKind {
	record := func(o platform.Object) (registry.Record[T], bool) {
		v, err := decode(o)
		if err != nil {
			logSkipped(name, o, err)
			return registry.Record[T]{Name: o.Name, Revision: o.Revision, Deleted: true}, false
		}
		return registry.Record[T]{Name: o.Name, Revision: o.Revision, Value: v}, true
	}
	return objectKind{
		name:     name,
		table:    func(t *registry.Tables) table { return of(t) },
		revision: revision,
		replace: func(now time.Time, t *registry.Tables, revision registry.Revision, objects []platform.Object) bool {
			var records []registry.Record[T]
			for _, o := range objects {
				if r, ok := record(o); ok {
					records = append(records, r)
				}
			}
			return of(t).Replace(now, revision, records)
		},
		apply: func(now time.Time, t *registry.Tables, revision registry.Revision, events []platform.Event) bool {
			var records []registry.Record[T]
			for _, e := range events {
				r, _ := record(e.Object)
				r.Deleted = r.Deleted || e.Deleted
				records = append(records, r)
			}
			return of(t).Apply(now, revision, records)
		},
	}
}

// logSkipped logs an object that another writer left malformed and that is therefore
// not used.
func logSkipped(name string, o platform.Object, err error) {
	log.WithError(err).WithFields(log.Fields{"kind": name, "name": o.Name, "revision": o.Revision.Change()}).Warn("object skipped")
}
