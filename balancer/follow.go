package balancer

import (
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"github.com/cornelbay/cornelbay/platform"
	"github.com/cornelbay/cornelbay/registry"
)

const (
	// watchWait is how long a watch waits for changes: half of the shortest time
	// in which a change has to be in force, since a watch may hear nothing and
	// only the next call shows it.
	watchWait = 1500 * time.Millisecond
	// readAfter is the age of the last confirmation from which a host reads for
	// itself: a watch of the readers and a pulse are overdue.
	readAfter = watchWait + 500*time.Millisecond
	// settle is the pause after changes, in which others that come with them are
	// collected for one call.
	settle = 60 * time.Millisecond
	// firstPause and lastPause bound the pause after a call that failed.
	firstPause = 100 * time.Millisecond
	lastPause  = 800 * time.Millisecond
	// readCheck is the pace at which a host that does not read checks if it must.
	readCheck = 100 * time.Millisecond
)

// followed is one kind of objects in the store and the table that it fills.
type followed[T any] struct {
	kind   string
	decode func(platform.Object) (T, error)
	table  func(*registry.Tables) *registry.Table[T]
}

var (
	routing = followed[registry.Routing]{
		platform.RoutingKind, platform.DecodeRouting,
		func(t *registry.Tables) *registry.Table[registry.Routing] { return &t.Routing },
	}
	targets = followed[registry.Target]{
		platform.TargetKind, platform.DecodeTarget,
		func(t *registry.Tables) *registry.Table[registry.Target] { return &t.Targets },
	}
	evacuations = followed[registry.Evacuation]{
		platform.EvacuationKind, platform.DecodeEvacuation,
		func(t *registry.Tables) *registry.Table[registry.Evacuation] { return &t.Evacuations },
	}
	hosts = followed[registry.Host]{
		platform.HostKind, platform.DecodeHost,
		func(t *registry.Tables) *registry.Table[registry.Host] { return &t.Hosts },
	}
)

// follow keeps a table up to date: from the store while the host is a reader or
// nobody else has confirmed the table of late, else other hosts do.
func follow[T any](b *Balancer, f followed[T]) {
	pause := firstPause
	lost := false
	listed := false
	for b.ctx.Err() == nil {
		if !b.mustRead(f.kind, confirmedOf(b, f)) {
			listed = false
			b.sleep(readCheck)
			continue
		}
		var changed bool
		var err error
		if listed {
			changed, err = watch(b, f)
		} else {
			changed, err = list(b, f)
		}
		listed = err == nil
		if err != nil && b.ctx.Err() == nil {
			if !lost && !errors.Is(err, platform.ErrHistoryGone) {
				lost = true
				log.WithError(err).WithField("kind", f.kind).Warn("store lost")
			}
			if errors.Is(err, platform.ErrHistoryGone) {
				log.WithField("kind", f.kind).Info("history of the store is gone: listing anew")
				continue
			}
			b.sleep(pause/2 + rand.N(pause))
			pause = min(2*pause, lastPause)
			continue
		}
		if lost {
			lost = false
			log.WithField("kind", f.kind).Info("store regained")
		}
		pause = firstPause
		if changed {
			b.sleep(settle)
		}
	}
}

func confirmedOf[T any](b *Balancer, f followed[T]) time.Time {
	b.stateMu.Lock()
	defer b.stateMu.Unlock()
	return f.table(&b.tables).Confirmed()
}

func (b *Balancer) mustRead(kind string, confirmed time.Time) bool {
	b.stateMu.Lock()
	defer b.stateMu.Unlock()
	now := time.Now()
	return confirmed.IsZero() || now.Sub(confirmed) > readAfter || b.members.Reads(now)
}

func (b *Balancer) sleep(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-b.ctx.Done():
	case <-t.C:
	}
}

func list[T any](b *Balancer, f followed[T]) (bool, error) {
	began := time.Now()
	objects, revision, err := b.store.List(b.ctx, f.kind)
	if err != nil {
		return false, err
	}
	var records []registry.Record[T]
	for _, o := range objects {
		if r, ok := decode(f, o); ok {
			records = append(records, r)
		}
	}
	changed := false
	b.change(func(now time.Time, t *registry.Tables) bool {
		table := f.table(t)
		again := table.Confirm(began)
		changed = table.Replace(now, revision, records)
		return changed || again
	})
	b.logChange(f.kind, revision, "list", changed)
	return changed, nil
}

func watch[T any](b *Balancer, f followed[T]) (bool, error) {
	b.stateMu.Lock()
	since := f.table(&b.tables).Revision()
	b.stateMu.Unlock()
	events, revision, err := b.store.Watch(b.ctx, f.kind, since, watchWait)
	if err != nil {
		return false, err
	}
	var records []registry.Record[T]
	for _, e := range events {
		r, ok := decode(f, e.Object)
		if !ok || e.Deleted {
			r = registry.Record[T]{Name: e.Object.Name, Revision: e.Object.Revision, Gone: true}
		}
		records = append(records, r)
	}
	changed := false
	b.change(func(now time.Time, t *registry.Tables) bool {
		table := f.table(t)
		again := table.Confirm(now)
		if len(records) > 0 {
			// An answer without events does not move the revision: a watch that
			// heard nothing is continued where it began.
			changed = table.Apply(now, revision, records)
		}
		return changed || again
	})
	b.logChange(f.kind, revision, "watch", changed)
	return changed, nil
}

func (b *Balancer) logChange(kind string, revision uint64, by string, changed bool) {
	if changed {
		log.WithFields(log.Fields{"kind": kind, "revision": revision, "by": by, "version": b.version()}).Info("table changed")
	}
}

// decode returns the record of an object; one that another writer left broken
// names nothing to use.
func decode[T any](f followed[T], o platform.Object) (registry.Record[T], bool) {
	v, err := f.decode(o)
	if err != nil {
		log.WithError(err).WithFields(log.Fields{"kind": f.kind, "name": o.Name, "revision": o.Revision}).Warn("object skipped")
		return registry.Record[T]{}, false
	}
	return registry.Record[T]{Name: o.Name, Revision: o.Revision, Value: v}, true
}

// register puts the own host on record and learns of the others.
func (b *Balancer) register() {
	spec, err := json.Marshal(b.self)
	if err != nil {
		log.WithError(err).Error("host not put on record")
		return
	}
	for pause := firstPause; b.ctx.Err() == nil; pause = min(2*pause, lastPause) {
		err := b.store.Put(b.ctx, platform.HostKind, string(b.self.Name), spec)
		if err == nil {
			_, err = list(b, hosts)
		}
		if err == nil {
			return
		}
		b.sleep(pause/2 + rand.N(pause))
	}
}
