package balancer

import (
	"context"
	"math/rand/v2"
	"net/netip"
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
	// nextSeedDelay is the time after which a starting host asks another seed if one has
	// not answered.
	nextSeedDelay = 15 * time.Millisecond
)

// bootstrap fills the tables of a starting host. It lists the store's copies, which may be
// some seconds old but cost little, and then pulls the difference to the tables of a seed,
// so that a seed sends whole tables only while the store can't be reached. It returns when
// the host has got what it needs to open flows.
func (b *Balancer) bootstrap() {
	for backoff := minBackoff; b.ctx.Err() == nil; backoff = min(2*backoff, maxBackoff) {
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
		b.pullAnySeed()
		impatient.Stop()
		b.finishBootstrap()
		<-listed
		b.stateMu.Lock()
		synced := b.tables.Synced()
		b.stateMu.Unlock()
		if synced {
			return
		}
		b.sleep(backoff/2 + rand.N(backoff))
	}
}

// finishBootstrap lets the host get ready as soon as its tables are complete.
func (b *Balancer) finishBootstrap() {
	b.stateMu.Lock()
	defer b.stateMu.Unlock()
	b.bootstrapped = true
	b.checkReady(time.Now())
}

// checkReady marks the host as ready once it has what it needs. The caller holds stateMu.
func (b *Balancer) checkReady(now time.Time) {
	if b.bootstrapped && b.tables.Synced() && !b.stopping.Load() && !b.ready.Swap(true) {
		log.WithFields(log.Fields{
			"version": b.tables.ConfigVersion(), "afterMs": now.Sub(b.started).Milliseconds(),
		}).Info("ready")
	}
}

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

// seedAddresses returns the addresses of the seeds in the settings.
func (b *Balancer) seedAddresses() []netip.AddrPort {
	s := b.settings.Load()
	seeds := make([]netip.AddrPort, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		seeds = append(seeds, netip.AddrPortFrom(seed, s.PeerPort))
	}
	return seeds
}

// pullAnySeed pulls the tables of the seeds in random order until one has answered.
func (b *Balancer) pullAnySeed() {
	seeds := b.seedAddresses()
	rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	ctx, cancel := context.WithCancel(b.ctx)
	defer cancel()
	var pulls sync.WaitGroup
	asked := 0
	for _, at := range seeds {
		if at == b.self.Address {
			continue
		}
		delay := time.Duration(asked) * nextSeedDelay
		asked++
		pulls.Go(func() {
			t := time.NewTimer(delay)
			defer t.Stop()
			select {
			case <-ctx.Done():
				return
			case <-t.C:
			}
			if b.pullFrom(registry.Host{Address: at}, gossip.Revisions{}) {
				cancel()
			}
		})
	}
	pulls.Wait()
}
