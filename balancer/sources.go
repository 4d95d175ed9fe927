package balancer

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cornelbay/cornelbay/gossip"
	"github.com/cornelbay/cornelbay/registry"
)

const (
	// nextSeedDelay is the time after which a starting host asks another seed if one has
	// not answered.
	nextSeedDelay = 15 * time.Millisecond
	// nextSourceDelay is the same for other hosts, which may have to wait for their own
	// tables when all hosts start together.
	nextSourceDelay = 200 * time.Millisecond
	// sourcesWait is how long a starting host without tables waits for a seed to name a
	// source, which takes a round trip.
	sourcesWait = 15 * time.Millisecond
	// bootstrapHeadStart is how long after its start a host without tables leaves it to
	// bootstrap to pull them.
	bootstrapHeadStart = time.Second
	// maxSourceWait is how long a host that is asked may wait for its own tables if the one
	// that asks lacks them. Its answer after that shows that it is alive, so that no other
	// source is asked in its place.
	maxSourceWait = 150 * time.Millisecond
	// pullRetryDelay is the pause before a host asks its source again that had no tables.
	pullRetryDelay = 50 * time.Millisecond
	// maxSyncedWait limits how long a pull waits until the tables of this host are complete.
	maxSyncedWait = time.Second
)

// source is a host to pull from.
type source struct {
	at netip.AddrPort
	// patience is the time until the next source is asked, too.
	patience time.Duration
}

// askSources asks hosts from whom to pull.
func (b *Balancer) askSources(of []netip.AddrPort) {
	select {
	case <-b.sourcesNamed:
	default:
	}
	b.stateMu.Lock()
	defer b.stateMu.Unlock()
	b.sources = nil
	to := make([]netip.AddrPort, 0, len(of))
	for _, at := range of {
		if at != b.self.Address {
			to = append(to, at)
		}
	}
	b.sendToPeers(b.sealHeartbeat(time.Now(), gossip.Heartbeat{Host: b.self, AsksSources: true}), to)
}

// answerSources answers askSources of another host. The caller holds stateMu.
func (b *Balancer) answerSources(now time.Time, asker registry.Host) {
	sources := b.referrals.Refer(now, b.self.Address, asker.Address)
	b.sendToPeers(b.sealHeartbeat(now, gossip.Heartbeat{Host: b.self, Sources: sources}), []netip.AddrPort{asker.Address})
}

// nameSources keeps the first sources that are named after askSources. The caller holds
// stateMu.
func (b *Balancer) nameSources(sources []netip.AddrPort) {
	if b.sources != nil {
		return
	}
	b.sources = sources
	select {
	case b.sourcesNamed <- struct{}{}:
	default: // already signalled
	}
}

// namedSources returns the sources that another host has named since askSources.
func (b *Balancer) namedSources() []source {
	b.stateMu.Lock()
	defer b.stateMu.Unlock()
	sources := make([]source, 0, len(b.sources))
	for _, at := range b.sources {
		switch {
		case at == b.self.Address:
		case len(b.sources) == 1: // the host that was asked has named itself
			sources = append(sources, source{at, nextSeedDelay})
		default:
			sources = append(sources, source{at, nextSourceDelay})
		}
	}
	return sources
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

// startSources returns the hosts that a starting host pulls from: those of its group if the
// registered hosts are known and many, else those that a seed has named, and then the seeds
// in random order. Further attempts alternate between the group and those named, and then
// change their order, as the first ones may lack tables for long.
func (b *Balancer) startSources(attempt int) []source {
	b.stateMu.Lock()
	group, synced := b.members.PullSources(), b.tables.Synced()
	b.stateMu.Unlock()
	if !synced && len(group) == 0 {
		select {
		case <-b.sourcesNamed:
		case <-time.After(sourcesWait):
		}
	}
	named := b.namedSources()
	var sources []source
	for _, h := range group {
		sources = append(sources, source{h.Address, nextSourceDelay})
	}
	if len(group) == 0 || attempt%2 > 0 && len(named) > 0 {
		sources = named
	}
	delay := nextSeedDelay
	if len(sources) > 1 { // the fleet is large
		delay = nextSourceDelay
		if attempt/2%2 > 0 {
			sources[0], sources[1] = sources[1], sources[0]
		}
	}
	seeds := b.seedAddresses()
	rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	for _, at := range seeds {
		isSource := slices.ContainsFunc(sources, func(s source) bool { return s.at == at })
		if at != b.self.Address && !isSource {
			sources = append(sources, source{at, delay})
		}
	}
	return sources
}

// pullAny pulls from the sources in turn until one has answered. The next one is asked as soon as one has failed, or after its patience.
func (b *Balancer) pullAny(sources []source, revisions gossip.Revisions) {
	answers := make(chan bool, len(sources))
	running := 0
	for next := 0; next < len(sources) || running > 0; {
		var patience <-chan time.Time
		switch {
		case running == 0:
			b.goPull(sources[next], revisions, answers)
			next, running = next+1, 1
			continue
		case next < len(sources):
			patience = time.After(sources[next-1].patience)
		}
		select {
		case <-b.ctx.Done():
			return
		case done := <-answers:
			running--
			if done {
				return
			}
		case <-patience:
		}
		if next < len(sources) {
			b.goPull(sources[next], revisions, answers)
			next, running = next+1, running+1
		}
	}
}

// goPull pulls from a source in the background and sends whether it has answered.
func (b *Balancer) goPull(s source, revisions gossip.Revisions, answers chan<- bool) {
	b.goRun(func() {
		wait := time.Duration(0)
		select {
		case <-b.synced:
		default:
			wait = maxSourceWait
		}
		answers <- b.pullFrom(registry.Host{Address: s.at}, revisions, wait)
	})
}
