// Package flow decides where each packet of a flow goes: a flow table, the
// table of buckets, and what hosts tell each other of ambiguous buckets.
package flow

import (
	"encoding/binary"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/dchest/siphash"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/assign"
)

// BucketsPerTarget is the least number of buckets for each target.
const BucketsPerTarget = 64

// Snapshot is what traffic goroutines read; it never changes once published.
type Snapshot struct {
	services map[serviceKey]*service
}

type serviceKey struct {
	address  netip.AddrPort
	protocol uint8
}

type service struct {
	targets []cornelbay.Target
	buckets []int
}

// Plane takes the decision for each packet; it may be used by many goroutines.
type Plane struct {
	// HashKey keys the hash that picks the bucket of a flow.
	HashKey [2]uint64

	snapshot atomic.Pointer[Snapshot]
}

// Decide returns the verdict for one packet.
func (p *Plane) Decide(_ time.Time, pk *cornelbay.Packet) cornelbay.Verdict {
	snap := p.snapshot.Load()
	if snap == nil {
		return cornelbay.Verdict{Reason: cornelbay.NoConfig}
	}
	svc, ok := snap.services[serviceKey{pk.Key.Destination, pk.Key.Protocol}]
	if !ok {
		return cornelbay.Verdict{Reason: cornelbay.NoService}
	}
	at := svc.buckets[p.hash(&pk.Key)&uint64(len(svc.buckets)-1)]
	if at < 0 {
		return cornelbay.Verdict{Reason: cornelbay.NoTarget}
	}
	t := svc.targets[at]
	return cornelbay.Verdict{Action: cornelbay.Forward, Target: t.Name, Tunnel: t.Tunnel}
}

func (p *Plane) hash(k *cornelbay.FlowKey) uint64 {
	var b [37]byte
	src, dst := k.Source.Addr().As16(), k.Destination.Addr().As16()
	copy(b[0:], src[:])
	copy(b[16:], dst[:])
	binary.BigEndian.PutUint16(b[32:], k.Source.Port())
	binary.BigEndian.PutUint16(b[34:], k.Destination.Port())
	b[36] = k.Protocol
	return siphash.Hash(p.HashKey[0], p.HashKey[1], b[:])
}

func bucketCount(targets int) int {
	n := 1
	for n < targets*BucketsPerTarget {
		n *= 2
	}
	return n
}

func newService(s cornelbay.Service, weight func(cornelbay.Target) int) *service {
	shares := make([]assign.Share, len(s.Targets))
	for i, t := range s.Targets {
		shares[i] = assign.Share{Target: t.Name, Weight: weight(t)}
	}
	return &service{targets: s.Targets, buckets: assign.Table(bucketCount(len(s.Targets)), shares)}
}
