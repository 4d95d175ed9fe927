package balancer

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/apex/log"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/gossip"
	"github.com/cornelbay/cornelbay/peer"
	"github.com/cornelbay/cornelbay/registry"
)

const (
	// pullTimeout is some round trips, and the transfer of whole tables over a slow
	// link.
	pullTimeout = 600 * time.Millisecond
	// nearPullDelay lets news come that are on their way, and farPullDelay a pull
	// within the data centre.
	nearPullDelay = 20 * time.Millisecond
	farPullDelay  = 100 * time.Millisecond
)

var errUnknownCall = merry.New("call is not known")

// tellNews tells the hosts of the data centre what has changed since some
// revisions. What does not fit a datagram they pull when the next pulse comes.
func (b *Balancer) tellNews(since gossip.Revisions) {
	b.stateMu.Lock()
	now := time.Now()
	news := gossip.News{PullReply: gossip.Pull{Since: since}.Answer(now, &b.tables)}
	var to []netip.AddrPort
	for _, h := range b.members.Alive(now) {
		if h.DataCentre == b.self.DataCentre {
			to = append(to, h.Address)
		}
	}
	datagram, err := b.codec.Seal(news)
	b.stateMu.Unlock()
	if err != nil {
		if !errors.Is(err, peer.ErrTooLarge) {
			log.WithError(err).Error("news not sealed")
		}
		return
	}
	b.sendPeers(datagram, to)
}

// ahead is a host whose pulse showed revisions that this one lacks.
type ahead struct {
	host      registry.Host
	revisions gossip.Revisions
}

// pull fetches from other hosts what their pulses show this one to lack.
func (b *Balancer) pull() {
	for {
		select {
		case <-b.ctx.Done():
			return
		case a := <-b.pulls:
			delay := nearPullDelay
			if a.host.DataCentre != b.self.DataCentre {
				delay = farPullDelay
			}
			b.sleep(delay)
			b.stateMu.Lock()
			lacks := gossip.RevisionsOf(&b.tables).Lacks(a.revisions)
			b.stateMu.Unlock()
			if lacks {
				b.pullFrom(a.host)
			}
		}
	}
}

// pullSeeds asks the hosts that the settings name, which may know what the store
// cannot tell now.
func (b *Balancer) pullSeeds() {
	defer close(b.seeded)
	var all sync.WaitGroup
	for _, seed := range b.settings.Load().Seeds {
		at := netip.AddrPortFrom(seed, b.settings.Load().PeerPort)
		if at != b.self.Address {
			all.Go(func() { b.pullFrom(registry.Host{Address: at}) })
		}
	}
	all.Wait()
}

// merge takes over what another host has told, with stateMu held, and reports
// whether the tables changed.
func (b *Balancer) merge(now time.Time, r *gossip.PullReply) bool {
	before := gossip.RevisionsOf(&b.tables)
	if !r.Merge(now, &b.tables) {
		return false
	}
	observeAges(b.metrics.learned, before.Routing, r.Routes)
	observeAges(b.metrics.learned, before.Targets, r.Targets)
	observeAges(b.metrics.learned, before.Evacuations, r.Evacuations)
	return true
}

func (b *Balancer) pullFrom(h registry.Host) {
	b.stateMu.Lock()
	since := gossip.BasesOf(&b.tables)
	b.stateMu.Unlock()
	ctx, cancel := context.WithTimeout(b.ctx, pullTimeout)
	defer cancel()
	answer, err := b.calls.Call(ctx, cornelbay.Host{Name: h.Name, RPC: h.Address}, gossip.Pull{Since: since})
	if err != nil {
		b.metrics.count("pullFailed")
		if b.ctx.Err() == nil {
			log.WithError(err).WithField("from", h.Address.String()).Info("pull failed")
		}
		return
	}
	r := answer.(gossip.PullReply)
	changed := false
	b.change(func(now time.Time, _ *registry.Tables) bool {
		if r.Incarnation >= b.codec.Incarnation {
			b.codec.Incarnation = r.Incarnation + 1
		}
		changed = b.merge(now, &r)
		return changed
	})
	if changed {
		log.WithFields(log.Fields{
			"from": h.Address.String(), "routing": r.Routes.Revision, "targets": r.Targets.Revision,
			"evacuations": r.Evacuations.Revision, "version": b.version(),
		}).Info("tables pulled")
	}
}

func (b *Balancer) answerPull(from cornelbay.HostName, args peer.Args) (any, error) {
	p, ok := args.(gossip.Pull)
	if !ok {
		return nil, errUnknownCall
	}
	b.stateMu.Lock()
	defer b.stateMu.Unlock()
	r := p.Answer(time.Now(), &b.tables)
	r.Incarnation = b.members.Incarnation(from)
	return r, nil
}
