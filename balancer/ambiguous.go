package balancer

import (
	"net/netip"
	"time"

	"github.com/apex/log"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/gossip"
	"github.com/cornelbay/cornelbay/placement"
)

const (
	// maxQueuedAmbiguous bounds the queue of ambiguous flows to send; further ones are
	// dropped and counted.
	maxQueuedAmbiguous = 2048
	// maxAmbiguousPerDatagram entries fit into a datagram even if each opening was
	// sent to the maximum number of targets, which is 6 (maxAttempts in placement).
	maxAmbiguousPerDatagram = 16
	// ambiguousSendInterval is the pause after each datagram, per recipient. It limits
	// a host to 1,000 such datagrams a second.
	ambiguousSendInterval = time.Millisecond
)

// queuedAmbiguousFlow is a flow whose opening was sent to several targets, and the
// host to report it to. Without a valid address it goes to all hosts that may get packets
// of the flow.
type queuedAmbiguousFlow struct {
	placement.AmbiguousFlow
	to netip.AddrPort
}

func (b *Balancer) queueAmbiguous(flows []placement.AmbiguousFlow, to netip.AddrPort) {
	for _, d := range flows {
		select {
		case b.ambiguous <- queuedAmbiguousFlow{d, to}:
		default:
			b.metrics.count("doubtNotTold")
		}
	}
}

// sendQueuedAmbiguous reports ambiguous flows to other hosts. Consecutive entries for
// the same recipients share a datagram.
func (b *Balancer) sendQueuedAmbiguous() {
	var next *queuedAmbiguousFlow
	for {
		if next == nil {
			select {
			case <-b.ctx.Done():
				return
			case d := <-b.ambiguous:
				next = &d
			}
		}
		var batch []queuedAmbiguousFlow
		batch, next = b.collectBatch(*next)
		recipients := b.sendAmbiguous(batch)
		b.sleep(time.Duration(recipients) * ambiguousSendInterval)
	}
}

// collectBatch returns first together with the queued entries that follow it for the
// same recipients. next is the first entry for other recipients, if one was dequeued.
func (b *Balancer) collectBatch(first queuedAmbiguousFlow) (batch []queuedAmbiguousFlow, next *queuedAmbiguousFlow) {
	batch = []queuedAmbiguousFlow{first}
	for len(batch) < maxAmbiguousPerDatagram {
		select {
		case d := <-b.ambiguous:
			if d.to != first.to {
				return batch, &d
			}
			batch = append(batch, d)
		default:
			return batch, nil
		}
	}
	return batch, nil
}

// sendAmbiguous sends a batch in one datagram and returns the number of recipients.
func (b *Balancer) sendAmbiguous(batch []queuedAmbiguousFlow) int {
	var m gossip.AmbiguousFlows
	now := time.Now()
	for _, d := range batch {
		m.Flows = append(m.Flows, ambiguousToWire(now, d.AmbiguousFlow))
	}
	b.stateMu.Lock()
	to := []netip.AddrPort{batch[0].to}
	if !batch[0].to.IsValid() {
		to = b.sharers()
	}
	datagram, err := b.codec.Seal(m)
	b.stateMu.Unlock()
	if err != nil {
		log.WithError(err).Error("doubts not sealed")
		return 0
	}
	b.sendToPeers(datagram, to)
	return len(to)
}

// sharers returns the hosts that may get packets of the same flows as this one, and that send flows
// to the same targets. The caller holds stateMu.
func (b *Balancer) sharers() []netip.AddrPort {
	if b.inMesh {
		return b.withSeeds(addresses(b.members.Known()))
	}
	return addresses(b.members.KnownInDataCentre())
}

func ambiguousToWire(now time.Time, a placement.AmbiguousFlow) gossip.AmbiguousFlow {
	w := gossip.AmbiguousFlow{Source: a.Key.Source, Destination: a.Key.Destination, Tried: a.Tried, Chosen: a.Chosen}
	if !a.ChosenAt.IsZero() {
		w.ChosenMsAgo = uint32(now.Sub(a.ChosenAt).Milliseconds())
	}
	return w
}

// ambiguousFromWire returns the announcement in a datagram that arrived at the given time.
func ambiguousFromWire(arrived time.Time, w gossip.AmbiguousFlow) placement.AmbiguousFlow {
	return placement.AmbiguousFlow{
		Key:   cornelbay.FlowKey{Source: w.Source, Destination: w.Destination, Protocol: cornelbay.TCP.Number()},
		Tried: w.Tried, Chosen: w.Chosen, ChosenAt: arrived.Add(-time.Duration(w.ChosenMsAgo) * time.Millisecond),
	}
}

// logCorrections logs the flows that another host knew better.
func (b *Balancer) logCorrections(corrections []placement.Correction) {
	for _, c := range corrections {
		b.metrics.count("flowCorrected")
		b.flowLog(c.Key).WithFields(log.Fields{
			"target": c.To.Name, "wrongTarget": c.From.Name, "laterMs": c.After.Milliseconds(),
		}).Info("flow corrected")
	}
}
