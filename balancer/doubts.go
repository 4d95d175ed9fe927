package balancer

import (
	"net/netip"
	"time"

	"github.com/apex/log"

	"github.com/cornelbay/cornelbay/gossip"
	"github.com/cornelbay/cornelbay/placement"
)

const (
	// queuedDoubts is the number of doubts that wait to be told; others are left
	// out and counted.
	queuedDoubts = 256
	// doubtsPerDatagram fit a datagram with the most targets that an opening is tried
	// at.
	doubtsPerDatagram = 16
	// doubtPause is the time between two datagrams for each host that is told: no host
	// sends more than 1,000 a second for doubts.
	doubtPause = time.Millisecond
)

// doubtFor is a doubt that is to be told to one host, or to all where no address
// is given.
type doubtFor struct {
	placement.AmbiguousFlow
	to netip.AddrPort
}

func (b *Balancer) queueDoubts(doubts []placement.AmbiguousFlow, to netip.AddrPort) {
	for _, d := range doubts {
		select {
		case b.doubts <- doubtFor{d, to}:
		default:
			b.metrics.count("doubtNotTold")
		}
	}
}

// tellDoubts tells other hosts of openings at several targets, those that wait for
// the same hosts in one datagram.
func (b *Balancer) tellDoubts() {
	var next *doubtFor
	for {
		if next == nil {
			select {
			case <-b.ctx.Done():
				return
			case d := <-b.doubts:
				next = &d
			}
		}
		var batch []doubtFor
		batch, next = b.batch(*next)
		to := b.sendDoubts(batch)
		b.sleep(time.Duration(to) * doubtPause)
	}
}

// batch returns the doubts that wait behind a first one for the same hosts, with it,
// and the one after them where there is one.
func (b *Balancer) batch(first doubtFor) (batch []doubtFor, next *doubtFor) {
	batch = []doubtFor{first}
	for len(batch) < doubtsPerDatagram {
		select {
		case d := <-b.doubts:
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

// sendDoubts returns the number of hosts that are told.
func (b *Balancer) sendDoubts(batch []doubtFor) int {
	var m gossip.Doubts
	for _, d := range batch {
		m.All = append(m.All, gossip.Doubt{
			Source: d.Key.Source, Destination: d.Key.Destination, Tried: d.Tried, Chosen: d.Chosen,
		})
	}
	b.stateMu.Lock()
	to := b.told
	datagram, err := b.codec.Seal(m)
	b.stateMu.Unlock()
	if err != nil {
		log.WithError(err).Error("doubts not sealed")
		return 0
	}
	if batch[0].to.IsValid() {
		to = []netip.AddrPort{batch[0].to}
	}
	b.sendPeers(datagram, to)
	return len(to)
}
