package balancer

import (
	"encoding/json"
	"errors"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/cornelbay/cornelbay/gossip"
	"github.com/cornelbay/cornelbay/platform"
	"github.com/cornelbay/cornelbay/registry"
)

const (
	// watchDivisor divides the shortest bound on the time until a change must be in
	// force; the result is the timeout of a watch. A watch may miss a change
	// without an error; with half of the bound the next call still delivers it in time.
	watchDivisor = 2
	// readReserve is the part of the bound that a host needs to read the store itself. A
	// table that has not been confirmed for the rest of the bound, less half of it for the
	// watch of the reader, is overdue.
	readReserve = time.Second
	// hostsWatchTimeout is the timeout of a watch of the registered hosts, to which
	// none of the bounds applies.
	hostsWatchTimeout = 10 * time.Second
	// overdueStep is the head start that a host with an overdue table has over the next one
	// of its data centre. Its answer confirms the tables of the others, too.
	overdueStep = 150 * time.Millisecond
	// readTime is for how long a read of the store takes. A host of a large data centre reads that
	// much before a bound is over, although it is not its turn yet.
	readTime = 400 * time.Millisecond
	// changeDebounce is the pause after a change, so that changes in quick succession
	// are fetched by one call. Changes of the registered hosts are less urgent.
	changeDebounce      = 60 * time.Millisecond
	hostsChangeDebounce = time.Second
	// electionDelay is how long after its start a host doesn't consider itself the reader
	// unless it is a seed, since it may not have heard the other hosts yet. Seeds wait for
	// seedElectionDelay.
	electionDelay     = 3 * time.Second
	seedElectionDelay = 100 * time.Millisecond
	// refusedTime is how long after a failed call the host counts as refused by the store,
	// and leaves it to others to read.
	refusedTime = 5 * time.Second
	// minBackoff and maxBackoff bound the pause after a failed call.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// registrationCheckInterval is how often a host checks that the tables hold its record,
	// on average. The variation spreads the writes of all hosts after a restore of the store.
	registrationCheckInterval = 3 * time.Second
)

// watchTimeout returns how long a watch waits for changes.
func (b *Balancer) watchTimeout(name string) time.Duration {
	if name == platform.HostKind {
		return hostsWatchTimeout
	}
	s := b.settings.Load()
	return min(s.ConfigBound, s.DrainBound, s.EvacuationBound) / watchDivisor
}

// syncTable keeps a table up to date. It reads the store while the host is the reader or
// no other host has confirmed the table for too long; otherwise the reader sends the
// changes.
func (b *Balancer) syncTable(k objectKind) {
	backoff := minBackoff
	storeLost, listed := false, false
	for b.ctx.Err() == nil {
		if !b.shouldReadStore(k) {
			listed = false
			select {
			case <-b.ctx.Done():
			case <-b.readWanted[k.name]:
			}
			continue
		}
		changed, err := b.readStore(k, listed)
		listed = err == nil
		switch {
		case b.ctx.Err() != nil:
		case errors.Is(err, platform.ErrHistoryGone):
			log.WithField("kind", k.name).Info("history of the store is gone: listing anew")
		case err == nil && b.neverFilled(k):
			listed = false // there is no valid configuration in the store yet, so no revision to watch from
			b.sleep(minBackoff)
		case err != nil:
			if !storeLost {
				log.WithError(err).WithField("kind", k.name).Warn("store lost")
			}
			storeLost = true
			b.refusedAt.Store(int64(time.Since(b.started)))
			b.sleep(backoff/2 + rand.N(backoff))
			backoff = min(2*backoff, maxBackoff)
		default:
			if storeLost {
				log.WithField("kind", k.name).Info("store regained")
			}
			storeLost, backoff = false, minBackoff
			b.refusedAt.Store(0)
			if changed {
				b.sleep(debounce(k))
			}
		}
	}
}

func debounce(k objectKind) time.Duration {
	if k.name == platform.HostKind {
		return hostsChangeDebounce
	}
	return changeDebounce
}

// refused reports whether the store has recently failed a call of this host.
func (b *Balancer) refused() bool {
	at := b.refusedAt.Load()
	return at > 0 && time.Since(b.started)-time.Duration(at) < refusedTime
}

// wakeReaders wakes the goroutines that have to read the store.
func (b *Balancer) wakeReaders() {
	for _, k := range objectKinds {
		if b.shouldReadStore(k) {
			select {
			case b.readWanted[k.name] <- struct{}{}:
			default: // already woken
			}
		}
	}
}

// neverFilled reports whether a table is still at revision 0. After a list that is only
// the table of routes, as its objectKind ignores an empty list; the others then have
// the revision of the store.
func (b *Balancer) neverFilled(k objectKind) bool {
	b.stateMu.Lock()
	defer b.stateMu.Unlock()
	return k.table(&b.tables).Revision() == 0
}

// bound returns the time within which a change of a kind of objects has to be in force.
func (b *Balancer) bound(name string) time.Duration {
	s := b.settings.Load()
	switch name {
	case platform.RoutingKind:
		return s.ConfigBound
	case platform.TargetKind:
		return s.DrainBound
	case platform.EvacuationKind:
		return s.EvacuationBound
	}
	return math.MaxInt64 // none applies
}

// shouldReadStore reports whether the host reads a kind of objects itself: because it
// is the reader, or because the table is overdue and it is this host's turn.
func (b *Balancer) shouldReadStore(k objectKind) bool {
	b.stateMu.Lock()
	defer b.stateMu.Unlock()
	return b.wantsRead(k, time.Now())
}

// wantsRead is shouldReadStore at a given time. The caller holds stateMu.
func (b *Balancer) wantsRead(k objectKind, now time.Time) bool {
	t := k.table(&b.tables)
	confirmed := t.ConfirmedAt()
	if confirmed.Before(b.started) {
		confirmed = b.started
	}
	watch := b.watchTimeout(k.name)
	overdue := watch + max((watchDivisor-1)*watch-readReserve, gossip.MinInterval)
	// While others are no better off, those before this host read first. A host that others
	// are ahead of, or that hears none, has to meet the bound by itself.
	if t.Revision() >= b.newest[k.name] && !b.members.IsAlone(now) {
		headStart := time.Duration(b.members.Rank()) * overdueStep
		overdue += max(0, min(headStart, b.bound(k.name)-readTime-overdue))
	}
	return now.Sub(confirmed) > overdue || b.isReader(now)
}

// isReader reports whether this host reads the store for all. The caller holds stateMu.
func (b *Balancer) isReader(now time.Time) bool {
	age := now.Sub(b.started)
	if age < electionDelay {
		return age > seedElectionDelay && b.firstSeed(now)
	}
	return b.members.IsReader(now, b.refused())
}

// firstSeed reports whether this host is the first seed that is alive. The caller holds
// stateMu.
func (b *Balancer) firstSeed(now time.Time) bool {
	seeds := b.seedAddresses()
	if !slices.Contains(seeds, b.self.Address) {
		return false
	}
	for _, h := range b.members.Alive(now) {
		if h.Name < b.self.Name && slices.Contains(seeds, h.Address) {
			return false
		}
	}
	return true
}

func (b *Balancer) sleep(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-b.ctx.Done():
	case <-t.C:
	}
}

// readStore fetches a kind of objects from the store: by a watch if the table has been
// listed, else by a list. It reports whether the table changed. A list confirms the
// table as of the start of the call, a watch as of its end.
func (b *Balancer) readStore(k objectKind, listed bool) (bool, error) {
	if !listed {
		began := time.Now()
		objects, revision, err := b.store.List(b.ctx, k.name)
		if err != nil {
			return false, err
		}
		return b.updateFromStore(k, "list", began, revision, func(now time.Time, t *registry.Tables) bool {
			return k.replace(now, t, revision, objects)
		}), nil
	}
	b.stateMu.Lock()
	since := k.table(&b.tables).Revision()
	b.stateMu.Unlock()
	events, revision, err := b.store.Watch(b.ctx, k.name, since, b.watchTimeout(k.name))
	if err != nil {
		return false, err
	}
	return b.updateFromStore(k, "watch", time.Now(), revision, func(now time.Time, t *registry.Tables) bool {
		// An answer without events doesn't advance the revision, so the next watch
		// continues from the same one.
		return len(events) > 0 && k.apply(now, t, revision, events)
	}), nil
}

// updateFromStore applies an answer of the store to the tables, pushes the changes to the
// neighbours, and reports whether there were any.
func (b *Balancer) updateFromStore(k objectKind, by string, confirmed time.Time, revision registry.Revision, change func(time.Time, *registry.Tables) bool) bool {
	var before gossip.Revisions
	changed := false
	b.updateTables(func(now time.Time, t *registry.Tables) bool {
		before = gossip.RevisionsOf(t)
		// A late answer from before a restore of the store confirms nothing.
		recovered := revision.Era() >= k.table(t).Revision().Era() && k.table(t).Confirm(confirmed)
		changed = change(now, t)
		b.logRestore(before, by)
		return changed || recovered
	})
	if changed {
		log.WithFields(log.Fields{
			"kind": k.name, "era": revision.Era(), "revision": revision.Change(), "by": by, "version": b.version(),
		}).Info("table changed")
		b.pushChanges(before)
	}
	return changed
}

// registerSelf puts this host's record into the store, unless the tables already hold
// it, and again whenever the store has lost it. Failures show only in the metrics of store
// calls.
func (b *Balancer) registerSelf() {
	spec, err := json.Marshal(b.self)
	if err != nil {
		log.WithError(err).Error("encoding host record failed")
		return
	}
	done, doneEra := false, uint64(0)
	backoff := minBackoff
	for wait := time.Duration(0); b.ctx.Err() == nil; b.sleep(wait) {
		registered, era := b.selfRegistered()
		if registered {
			done, doneEra = true, era
		}
		if !done || era > doneEra {
			if err := b.store.Put(b.ctx, platform.HostKind, string(b.self.Name), spec); err != nil {
				wait = backoff/2 + rand.N(backoff)
				backoff = min(2*backoff, maxBackoff)
				continue
			}
			done, doneEra = true, era
		}
		wait, backoff = registrationCheckInterval/2+rand.N(registrationCheckInterval), minBackoff
	}
}

// selfRegistered reports whether the tables hold this host's record, and the era of the
// table of hosts.
func (b *Balancer) selfRegistered() (bool, uint64) {
	b.stateMu.Lock()
	defer b.stateMu.Unlock()
	r, ok := b.tables.Hosts.Get(string(b.self.Name))
	return ok && !r.Deleted && r.Value == b.self, b.tables.Hosts.Revision().Era()
}
