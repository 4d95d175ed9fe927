package balancer

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/cornelbay/cornelbay/gossip"
	"github.com/cornelbay/cornelbay/registry"
)

const (
	// copyTime is how long a starting host waits for the store's copies of the tables
	// before it asks the seeds, too.
	copyTime = 60 * time.Millisecond
	// seedPatience is how long a starting host that has the store's copies waits for a seed
	// before it gets ready.
	seedPatience = 35 * time.Millisecond
	// joinTime is the time between a starting host's first message to the others and its
	// readiness: they answer with the ambiguous flows. It is some round trips within a data
	// centre.
	joinTime = 50 * time.Millisecond
	// settleTime is for how long packets wait in the socket of a starting host that is not ready.
	// It is less than the time after which callers retransmit a packet.
	settleTime = 150 * time.Millisecond
)

// bootstrap fills the tables of a starting host. It lists the store's copies, which may be
// some seconds old but cost little, and then pulls the difference to the tables of a seed,
// so that a seed sends whole tables only while the store can't be reached. In a large fleet
// it pulls from its group or from a host that a seed has named. It returns when the host
// has got what it needs to open flows.
func (b *Balancer) bootstrap() {
	for backoff := minBackoff; b.ctx.Err() == nil; backoff = min(2*backoff, maxBackoff) {
		asked := time.Now()
		b.askSources(b.seedAddresses())
		var lists sync.WaitGroup
		for _, k := range objectKinds {
			lists.Go(func() { b.listCopy(k) })
		}
		listed := make(chan struct{})
		go func() {
			lists.Wait()
			close(listed)
		}()
		select {
		case <-listed:
		case <-time.After(copyTime):
		}
		impatient := time.AfterFunc(seedPatience, b.finishBootstrap)
		b.pullUntilSynced(listed, asked)
		impatient.Stop()
		b.finishBootstrap()
		<-listed
		if b.isSynced() {
			return
		}
		b.sleep(backoff/2 + rand.N(backoff))
	}
}

// pullUntilSynced pulls until a source has answered, in a large fleet as long as the tables
// are not complete and the store's copies have not arrived. The seeds were asked for names
// at the time asked.
func (b *Balancer) pullUntilSynced(listed <-chan struct{}, asked time.Time) {
	delay := minPullRetryDelay
	for attempt := 0; b.ctx.Err() == nil; attempt++ {
		sources, large := b.startSources(asked, attempt)
		b.pullAny(sources, gossip.Revisions{})
		if !large {
			return
		}
		select {
		case <-b.synced:
			return
		case <-listed:
			return
		case <-time.After(delay):
			delay = min(2*delay, maxPullRetryDelay)
		}
	}
}

// isSynced reports whether the tables are complete.
func (b *Balancer) isSynced() bool {
	b.stateMu.Lock()
	defer b.stateMu.Unlock()
	return b.tables.Synced()
}

// finishBootstrap lets the host get ready as soon as its tables are complete.
func (b *Balancer) finishBootstrap() {
	b.stateMu.Lock()
	defer b.stateMu.Unlock()
	b.bootstrapped = true
	b.checkReady(time.Now())
}

// checkReady marks the host as ready once it has what it needs, and the other hosts have had time to
// tell it which targets have the ambiguous flows. The caller holds stateMu.
func (b *Balancer) checkReady(now time.Time) {
	if !b.bootstrapped || !b.tables.Synced() || b.stopping.Load() || b.ready.Load() {
		return
	}
	if b.joinedAt.IsZero() {
		b.joinedAt = now
		b.sendJoining(now)
		time.AfterFunc(joinTime, b.finishBootstrap)
	}
	if now.Sub(b.joinedAt) < joinTime {
		return
	}
	b.ready.Store(true)
	b.trafficMu.Lock()
	b.placer.RecordJoin(now)
	b.trafficMu.Unlock()
	b.settle()
	log.WithFields(log.Fields{
		"version": b.tables.ConfigVersion(), "afterMs": now.Sub(b.started).Milliseconds(),
	}).Info("ready")
}

// settle lets the host forward packets.
func (b *Balancer) settle() { b.settledOnce.Do(func() { close(b.settled) }) }

// listCopy fills a table that is still empty from the store's copy.
func (b *Balancer) listCopy(k objectKind) {
	if !b.neverFilled(k) {
		return
	}
	objects, revision, err := b.store.ListCopy(b.ctx, k.name)
	if err != nil {
		if b.ctx.Err() == nil {
			log.WithError(err).WithField("kind", k.name).Info("listing a copy failed")
		}
		return
	}
	b.updateTables(func(now time.Time, t *registry.Tables) bool {
		return k.table(t).Revision() == 0 && k.replace(now, t, revision, objects)
	})
}
