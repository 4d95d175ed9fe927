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
func (b *Balancer) watchWait(name string) time.Duration {
	if name == platform.HostKind {
		return hostsWait
	}
	s := b.settings.Load()
	return min(s.ConfigBound, s.DrainBound, s.EvacuationBound) / watchShare
}

// follow keeps a table up to date: from the store while the host is a reader or
// nobody else has confirmed the table of late, else other hosts do.
func (b *Balancer) follow(k kind) {
	select {
	case <-b.seeded:
	case <-time.After(seedHeadStart):
	}
	pause := firstPause
	lost, listed := false, false
	for b.ctx.Err() == nil {
		if !b.mustRead(k) {
			listed = false
			b.sleep(readCheck)
			continue
		}
		changed, err := b.read(k, listed)
		listed = err == nil
		switch {
		case b.ctx.Err() != nil:
		case errors.Is(err, platform.ErrHistoryGone):
			log.WithField("kind", k.name).Info("history of the store is gone: listing anew")
		case err == nil && b.empty(k):
			listed = false // the store does not hold it yet: there is no revision to watch from
			b.sleep(firstPause)
		case err != nil:
			if !lost {
				log.WithError(err).WithField("kind", k.name).Warn("store lost")
			}
			lost = true
			b.sleep(pause/2 + rand.N(pause))
			pause = min(2*pause, lastPause)
		default:
			if lost {
				log.WithField("kind", k.name).Info("store regained")
			}
			lost, pause = false, firstPause
			if changed {
				b.sleep(settle)
			}
		}
	}
}

func (b *Balancer) empty(k kind) bool {
	b.stateMu.Lock()
	defer b.stateMu.Unlock()
	return k.table(&b.tables).Revision() == 0
}

// mustRead reports whether the host reads a kind itself: as a reader, or because
// nobody has confirmed the table for longer than a reader takes.
func (b *Balancer) mustRead(k kind) bool {
	b.stateMu.Lock()
	defer b.stateMu.Unlock()
	now := time.Now()
	confirmed := k.table(&b.tables).Confirmed()
	if confirmed.IsZero() || now.Sub(confirmed) > b.watchWait(k.name)+readSlack {
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
func (b *Balancer) read(k kind, listed bool) (bool, error) {
	if !listed {
		began := time.Now()
		objects, revision, err := b.store.List(b.ctx, k.name)
		if err != nil {
			return false, err
		}
		return b.update(k, "list", began, revision, func(now time.Time, t *registry.Tables) bool {
			return k.list(now, t, revision, objects)
		}), nil
	}
	b.stateMu.Lock()
	since := k.table(&b.tables).Revision()
	b.stateMu.Unlock()
	events, revision, err := b.store.Watch(b.ctx, k.name, since, b.watchWait(k.name))
	if err != nil {
		return false, err
	}
	return b.update(k, "watch", time.Now(), revision, func(now time.Time, t *registry.Tables) bool {
		// An answer without events does not move the revision: a watch that heard
		// nothing is continued where it began.
		return len(events) > 0 && k.events(now, t, revision, events)
	}), nil
}

// update changes the tables, tells the hosts of the data centre what is new, and
// reports whether anything changed.
func (b *Balancer) update(k kind, by string, confirmed time.Time, revision uint64, change func(time.Time, *registry.Tables) bool) bool {
	var before gossip.Revisions
	changed := false
	b.change(func(now time.Time, t *registry.Tables) bool {
		before = gossip.RevisionsOf(t)
		again := k.table(t).Confirm(confirmed)
		changed = change(now, t)
		return changed || again
	})
	if changed {
		log.WithFields(log.Fields{"kind": k.name, "revision": revision, "by": by, "version": b.version()}).Info("table changed")
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
