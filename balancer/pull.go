package balancer

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/apex/log"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/gossip"
	"github.com/cornelbay/cornelbay/peer"
	"github.com/cornelbay/cornelbay/registry"
)

const (
	// pullTimeout allows for a few round trips and the transfer of whole tables over a
	// slow link, at which other hosts pull, too.
	pullTimeout = 1500 * time.Millisecond
	// maxPackedAge is how long a packed reply is used for further pulls of the same changes.
	maxPackedAge = time.Second
	// localPullDelay gives a push that is on its way time to arrive, and
	// remotePullDelay a pull within the data centre time to complete.
	localPullDelay  = 20 * time.Millisecond
	remotePullDelay = 100 * time.Millisecond
)

var errUnknownCall = merry.New("call is not known")

// pushChanges sends the neighbours all changes since the given revisions. If they don't fit
// into a datagram, the neighbours pull them after the next heartbeat.
func (b *Balancer) pushChanges(since gossip.Revisions) {
	b.stateMu.Lock()
	defer b.stateMu.Unlock()
	now := time.Now()
	b.sendPush(gossip.Push{PullReply: gossip.Pull{Since: since}.Answer(now, &b.tables)}, b.members.Neighbours(now).All())
}

// forwardPush passes a push that has changed the tables on through the tree. In a small
// fleet its sender has sent it to all. The caller holds stateMu.
func (b *Balancer) forwardPush(now time.Time, from cornelbay.HostName, p gossip.Push) {
	n := b.members.Neighbours(now)
	if len(n.Mesh) > 0 {
		return
	}
	b.sendPush(p, slices.DeleteFunc(n.All(), func(h registry.Host) bool { return h.Name == from }))
}

// sendPush sends a push, if it fits into a datagram. The caller holds stateMu.
func (b *Balancer) sendPush(p gossip.Push, to []registry.Host) {
	datagram, err := b.codec.Seal(p)
	if err != nil {
		if !errors.Is(err, peer.ErrTooLarge) {
			log.WithError(err).Error("news not sealed")
		}
		return
	}
	b.sendToPeers(datagram, addresses(to))
	b.pushed = gossip.RevisionsOf(&b.tables)
}

// pullRequest names a host whose heartbeat showed newer revisions than this host's.
type pullRequest struct {
	host      registry.Host
	revisions gossip.Revisions
	// standIn is true for a relay that isn't next to this host in the tree. Many hosts may
	// hear it, so it is asked first from whom to pull.
	standIn bool
}

// pull fetches newer tables from other hosts, as their heartbeats announce them.
func (b *Balancer) pull() {
	for {
		select {
		case <-b.ctx.Done():
			return
		case req := <-b.pullRequests:
			delay := localPullDelay
			if req.host.DataCentre != b.self.DataCentre {
				delay = remotePullDelay
			}
			if req.standIn {
				b.askSources([]netip.AddrPort{req.host.Address})
			}
			b.sleep(delay)
			b.stateMu.Lock()
			behind := gossip.RevisionsOf(&b.tables).Behind(req.revisions)
			b.stateMu.Unlock()
			if behind {
				b.pullRequested(req)
			}
		}
	}
}

// merge applies a delta from another host and reports whether the tables changed. The
// caller holds stateMu.
func (b *Balancer) merge(now time.Time, r *gossip.PullReply) bool {
	before := gossip.RevisionsOf(&b.tables)
	if !r.Merge(now, &b.tables) {
		return false
	}
	b.logRestore(before, "peer")
	observeDissemination(b.metrics.disseminationSeconds, before.Routing, r.Routes)
	observeDissemination(b.metrics.disseminationSeconds, before.Targets, r.Targets)
	observeDissemination(b.metrics.disseminationSeconds, before.Evacuations, r.Evacuations)
	return true
}

// logRestore logs that the store came back from an older copy, if the tables have reached a
// later era since before. The caller holds stateMu.
func (b *Balancer) logRestore(before gossip.Revisions, by string) {
	after := gossip.RevisionsOf(&b.tables)
	if before == (gossip.Revisions{}) || before.Era() == after.Era() {
		return
	}
	log.WithFields(log.Fields{
		"by": by, "eraBefore": before.Era(), "era": after.Era(), "version": after.Version,
		"routingBefore": before.Routing.Change(), "routing": after.Routing.Change(),
		"targetsBefore": before.Targets.Change(), "targets": after.Targets.Change(),
		"evacuationsBefore": before.Evacuations.Change(), "evacuations": after.Evacuations.Change(),
	}).Warn("store came back from an older copy")
}

// pullRequested pulls from the host of a request, or from those that it has named instead.
func (b *Balancer) pullRequested(req pullRequest) {
	if !req.standIn {
		b.pullFrom(req.host, req.revisions, 0)
		return
	}
	sources := b.namedSources()
	if !slices.ContainsFunc(sources, func(s source) bool { return s.at == req.host.Address }) {
		sources = append(sources, source{req.host.Address, nextSourceDelay, 0})
	}
	b.pullAny(sources, req.revisions)
}

// pullFrom pulls the tables of one host, which has announced revisions, or the zero value
// if it has announced none. The other host may wait that long until its tables are
// complete. It also advances this host's incarnation past the last one that the other host
// has seen. It reports whether the other host has answered.
func (b *Balancer) pullFrom(h registry.Host, revisions gossip.Revisions, wait time.Duration) bool {
	b.stateMu.Lock()
	since := gossip.DeltaBasesOf(&b.tables, revisions)
	b.stateMu.Unlock()
	ctx, cancel := context.WithTimeout(b.ctx, pullTimeout)
	defer cancel()
	answer, err := b.rpcClient.Call(ctx, cornelbay.Host{Name: h.Name, RPC: h.Address}, gossip.Pull{Since: since, Unpacks: true, WaitMs: uint32(wait.Milliseconds())})
	if err != nil {
		b.metrics.count("pullFailed")
		if b.ctx.Err() == nil {
			log.WithError(err).WithField("from", h.Address.String()).Info("pull failed")
		}
		return false
	}
	r, err := answer.(gossip.PullReply).Unpack()
	if err != nil {
		log.WithError(err).WithField("from", h.Address.String()).Warn("pull failed")
		return false
	}
	changed := false
	b.updateTables(func(now time.Time, _ *registry.Tables) bool {
		if r.Incarnation == b.codec.Incarnation && b.joinedAt.IsZero() {
			b.codec.Incarnation++ // the process before may have had the same one
		}
		b.passIncarnation(now, r.Incarnation, h.Address)
		changed = b.merge(now, &r)
		return changed
	})
	if changed {
		log.WithFields(log.Fields{
			"from": h.Address.String(), "routing": r.Routes.Revision.Change(), "targets": r.Targets.Revision.Change(),
			"evacuations": r.Evacuations.Revision.Change(), "version": b.version(),
		}).Info("tables pulled")
	}
	return true
}

// packedReply is a reply to pulls with the same revisions, kept for the next hosts that
// pull the same changes.
type packedReply struct {
	since, revisions gossip.Revisions
	at               time.Time
	reply            gossip.PullReply
}

// answerPull serves pulls of other hosts.
func (b *Balancer) answerPull(from cornelbay.HostName, args peer.Args) (any, error) {
	p, ok := args.(gossip.Pull)
	if !ok {
		return nil, errUnknownCall
	}
	b.waitSynced(time.Duration(p.WaitMs) * time.Millisecond)
	b.stateMu.Lock()
	defer b.stateMu.Unlock()
	now := time.Now()
	r, err := b.pullReply(now, p)
	if err != nil {
		return nil, err
	}
	r.Ages, r.Incarnation = gossip.AgesOf(now, &b.tables), b.members.Incarnation(from)
	b.metrics.countPull(p, r)
	return r, nil
}

// waitSynced waits until the tables are complete, but no longer than a caller asks for.
func (b *Balancer) waitSynced(wait time.Duration) {
	select {
	case <-b.synced:
		return
	default:
	}
	if wait <= 0 {
		return
	}
	t := time.NewTimer(min(wait, maxSyncedWait))
	defer t.Stop()
	select {
	case <-b.synced:
	case <-t.C:
	case <-b.ctx.Done():
	}
}

// pullReply returns the reply to a pull, packed if its sender understands that. The caller
// holds stateMu.
func (b *Balancer) pullReply(now time.Time, p gossip.Pull) (gossip.PullReply, error) {
	if !p.Unpacks {
		return p.Answer(now, &b.tables), nil
	}
	revisions := gossip.RevisionsOf(&b.tables)
	if last := &b.packed; last.since == p.Since && last.revisions == revisions && now.Sub(last.at) < maxPackedAge {
		return last.reply, nil
	}
	r, err := p.Answer(now, &b.tables).Pack()
	if err != nil {
		return r, err
	}
	b.packed = packedReply{p.Since, revisions, now, r}
	return r, nil
}
