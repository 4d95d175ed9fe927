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
	nextSourceDelay = 300 * time.Millisecond
	// sourcesWait is how long after it has asked a starting host that doesn't know the
	// registered hosts waits for a seed to name a source, which takes a round trip.
	sourcesWait = 15 * time.Millisecond
	// bootstrapHeadStart is how long after its start a host without tables leaves it to
	// bootstrap to pull them.
	bootstrapHeadStart = time.Second
	// maxSourceWait is how long a host that is asked may wait for its own tables if the one
	// that asks lacks them. Its answer after that shows that it is alive, so that no other
	// source is asked in its place.
	maxSourceWait = 200 * time.Millisecond
	// minPullRetryDelay and maxPullRetryDelay bound the pause before a host asks again if its
	// source had no tables. It doubles, as many hosts wait while the store is slow.
	minPullRetryDelay = 50 * time.Millisecond
	maxPullRetryDelay = 200 * time.Millisecond
	// maxSyncedWait limits how long a pull waits until the tables of this host are complete.
	maxSyncedWait = time.Second
)

// source is a host to pull from.
type source struct {
	at netip.AddrPort
	// patience is the time until the next source is asked, too.
	patience time.Duration
	// wait is how long the host may wait for its own tables if this one lacks them. Seeds
	// answer at once: in a small fleet there is nobody else to wait for.
	wait time.Duration
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
			sources = append(sources, source{at, nextSeedDelay, 0})
		default:
			sources = append(sources, source{at, nextSourceDelay, maxSourceWait})
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
// in random order. It reports whether the fleet is large. The seeds were asked for names at
// the time asked. Further attempts alternate between the group and those named, and then
// change their order, as the first ones may lack tables for long.
func (b *Balancer) startSources(asked time.Time, attempt int) (sources []source, large bool) {
	b.stateMu.Lock()
	group, hostsKnown := b.members.PullSources(), b.tables.Hosts.Revision() > 0
	b.stateMu.Unlock()
	if wait := time.Until(asked.Add(sourcesWait)); !hostsKnown && wait > 0 {
		select {
		case <-b.synced:
		case <-b.sourcesNamed:
		case <-time.After(wait):
		}
	}
	named := b.namedSources()
	for _, h := range group {
		sources = append(sources, source{h.Address, nextSourceDelay, maxSourceWait})
	}
	if len(group) == 0 || attempt%2 > 0 && len(named) > 0 {
		sources = named
	}
	delay := nextSeedDelay
	if large = len(group) > 0 || len(named) > 1; large {
		delay = nextSourceDelay
	}
	if len(sources) > 1 && attempt/2%2 > 0 {
		sources[0], sources[1] = sources[1], sources[0]
	}
	seeds := b.seedAddresses()
	rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	for _, at := range seeds {
		isSource := slices.ContainsFunc(sources, func(s source) bool { return s.at == at })
		if at != b.self.Address && !isSource {
			sources = append(sources, source{at, delay, 0})
		}
	}
	return sources, large
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
		wait := s.wait
		select {
		case <-b.synced:
			wait = 0
		default:
		}
		answers <- b.pullFrom(registry.Host{Address: s.at}, revisions, wait)
	})
}
