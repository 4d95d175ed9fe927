package balancer

import (
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"github.com/cornelbay/cornelbay/gossip"
	"github.com/cornelbay/cornelbay/platform"
	"github.com/cornelbay/cornelbay/registry"
)

const (
	// watchShare is the part of the shortest bound within which a change has to be
	// in force that a watch waits: one may hear nothing, which only the next call
	// shows.
	watchShare = 2
	// readSlack is how much longer than a watch the last confirmation may be ago
	// before a host reads for itself: a pulse of the readers is overdue then.
	readSlack = 500 * time.Millisecond
	// hostsWait is how long a watch of the hosts on record waits: no promise hangs
	// on its time.
	hostsWait = 10 * time.Second
	// settle is the pause after changes, in which others that come with them are
	// collected for one call.
	settle = 60 * time.Millisecond
	// seedHeadStart is how long a host that starts waits for what others know
	// before it reads the store: some round trips.
	seedHeadStart = 15 * time.Millisecond
	// acquaintTime is how long after its start a host leaves reading to others, that
	// may not have been heard yet: some pulses. What it misses meanwhile its next
	// watch tells.
	acquaintTime = time.Second
	// firstPause and lastPause bound the pause after a call that failed.
	firstPause = 100 * time.Millisecond
	lastPause  = 800 * time.Millisecond
	// readCheck is the pace at which a host that does not read checks if it must.
	readCheck = 100 * time.Millisecond
)

// watchWait returns how long a watch waits for changes.
func (b *Balancer) watchWait(kind string) time.Duration {
	if kind == platform.HostKind {
		return hostsWait
	}
	s := b.settings.Load()
	return min(s.ConfigBound, s.DrainBound, s.EvacuationBound) / watchShare
}

// table is what follow needs of a registry.Table.
type table interface {
	Revision() uint64
	Confirm(at time.Time) bool
	Confirmed() time.Time
}

// followed is one kind of objects in the store and the table that it fills.
type followed struct {
	kind  string
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
	routing = followed{
		kind:  platform.RoutingKind,
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
func plain[T any](kind string, decode func(platform.Object) (T, error), of func(*registry.Tables) *registry.Table[T]) followed {
	record := func(o platform.Object) (registry.Record[T], bool) {
		v, err := decode(o)
		if err != nil {
			logSkipped(kind, o, err)
			return registry.Record[T]{Name: o.Name, Revision: o.Revision, Gone: true}, false
		}
		return registry.Record[T]{Name: o.Name, Revision: o.Revision, Value: v}, true
	}
	return followed{
		kind:  kind,
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
func logSkipped(kind string, o platform.Object, err error) {
	log.WithError(err).WithFields(log.Fields{"kind": kind, "name": o.Name, "revision": o.Revision}).Warn("object skipped")
}

// follow keeps a table up to date: from the store while the host is a reader or
// nobody else has confirmed the table of late, else other hosts do.
func (b *Balancer) follow(f followed) {
	select {
	case <-b.seeded:
	case <-time.After(seedHeadStart):
	}
	pause := firstPause
	lost, listed := false, false
	for b.ctx.Err() == nil {
		if !b.mustRead(f) {
			listed = false
			b.sleep(readCheck)
			continue
		}
		changed, err := b.read(f, listed)
		listed = err == nil
		switch {
		case b.ctx.Err() != nil:
		case errors.Is(err, platform.ErrHistoryGone):
			log.WithField("kind", f.kind).Info("history of the store is gone: listing anew")
		case err == nil && b.empty(f):
			listed = false // the store does not hold it yet: there is no revision to watch from
			b.sleep(firstPause)
		case err != nil:
			if !lost {
				log.WithError(err).WithField("kind", f.kind).Warn("store lost")
			}
			lost = true
			b.sleep(pause/2 + rand.N(pause))
			pause = min(2*pause, lastPause)
		default:
			if lost {
				log.WithField("kind", f.kind).Info("store regained")
			}
			lost, pause = false, firstPause
			if changed {
				b.sleep(settle)
			}
		}
	}
}

func (b *Balancer) empty(f followed) bool {
	b.stateMu.Lock()
	defer b.stateMu.Unlock()
	return f.table(&b.tables).Revision() == 0
}

// mustRead reports whether the host reads a kind itself: as a reader, or because
// nobody has confirmed the table for longer than a reader takes.
func (b *Balancer) mustRead(f followed) bool {
	b.stateMu.Lock()
	defer b.stateMu.Unlock()
	now := time.Now()
	confirmed := f.table(&b.tables).Confirmed()
	if confirmed.IsZero() || now.Sub(confirmed) > b.watchWait(f.kind)+readSlack {
		return true
	}
	return now.Sub(b.started) > acquaintTime && b.members.Reads(now)
}

func (b *Balancer) sleep(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-b.ctx.Done():
	case <-t.C:
	}
}

// read calls the store for a kind: a watch where the table has been listed, else
// a list. It reports whether the table changed.
func (b *Balancer) read(f followed, listed bool) (bool, error) {
	if !listed {
		began := time.Now()
		objects, revision, err := b.store.List(b.ctx, f.kind)
		if err != nil {
			return false, err
		}
		return b.take(f, "list", began, revision, func(now time.Time, t *registry.Tables) bool {
			return f.list(now, t, revision, objects)
		}), nil
	}
	b.stateMu.Lock()
	since := f.table(&b.tables).Revision()
	b.stateMu.Unlock()
	events, revision, err := b.store.Watch(b.ctx, f.kind, since, b.watchWait(f.kind))
	if err != nil {
		return false, err
	}
	return b.take(f, "watch", time.Now(), revision, func(now time.Time, t *registry.Tables) bool {
		// An answer without events does not move the revision: a watch that heard
		// nothing is continued where it began.
		return len(events) > 0 && f.events(now, t, revision, events)
	}), nil
}

// take changes the tables, tells the hosts of the data centre what is new, and
// reports whether anything changed.
func (b *Balancer) take(f followed, by string, confirmed time.Time, revision uint64, change func(time.Time, *registry.Tables) bool) bool {
	var before gossip.Revisions
	changed := false
	b.change(func(now time.Time, t *registry.Tables) bool {
		before = gossip.RevisionsOf(t)
		again := f.table(t).Confirm(confirmed)
		changed = change(now, t)
		return changed || again
	})
	if changed {
		log.WithFields(log.Fields{"kind": f.kind, "revision": revision, "by": by, "version": b.version()}).Info("table changed")
		b.tellNews(before)
	}
	return changed
}

// register puts the own host on record, unless others know it to be.
func (b *Balancer) register() {
	select {
	case <-b.seeded:
	case <-time.After(seedHeadStart):
	}
	if b.onRecord() {
		return
	}
	spec, err := json.Marshal(b.self)
	if err != nil {
		log.WithError(err).Error("host not put on record")
		return
	}
	for pause := firstPause; b.ctx.Err() == nil; pause = min(2*pause, lastPause) {
		err := b.store.Put(b.ctx, platform.HostKind, string(b.self.Name), spec)
		if err == nil {
			return
		}
		b.sleep(pause/2 + rand.N(pause))
	}
}

func (b *Balancer) onRecord() bool {
	b.stateMu.Lock()
	defer b.stateMu.Unlock()
	for _, r := range b.tables.Hosts.All() {
		if !r.Gone && r.Value == b.self {
			return true
		}
	}
	return false
}
