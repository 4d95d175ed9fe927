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
	// doubtPause is the time between two doubts for each host that is told: no host
	// sends more than 1,000 datagrams a second for them.
	doubtPause = time.Millisecond
)

// doubtFor is a doubt that is to be told to one host, or to all where no address
// is given.
type doubtFor struct {
	placement.Doubt
	to netip.AddrPort
}

func (b *Balancer) queueDoubts(doubts []placement.Doubt, to netip.AddrPort) {
	for _, d := range doubts {
		select {
		case b.doubts <- doubtFor{d, to}:
		default:
			b.metrics.count("doubtNotTold")
		}
	}
}

// tellDoubts tells other hosts of openings at several targets.
func (b *Balancer) tellDoubts() {
	for {
		select {
		case <-b.ctx.Done():
			return
		case d := <-b.doubts:
			b.stateMu.Lock()
			to := b.told
			datagram, err := b.codec.Seal(gossip.Doubt{
				Source: d.Key.Source, Destination: d.Key.Destination, Tried: d.Tried, Chosen: d.Chosen,
			})
			b.stateMu.Unlock()
			if err != nil {
				log.WithError(err).Error("doubt not sealed")
				continue
			}
			if d.to.IsValid() {
				to = []netip.AddrPort{d.to}
			}
			b.sendPeers(datagram, to)
			b.sleep(time.Duration(len(to)) * doubtPause)
		}
	}
}
