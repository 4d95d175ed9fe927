package flow

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelbay/cornelbay"
)

// Snapshot is what traffic goroutines read; it never changes once published.
type Snapshot struct {
	// Services has the services by their address; AddService adds one.
	Services map[ServiceKey]*Service
	// Targets is indexed as the table's records are; an index is never reused.
	Targets     []Target
	TargetIndex map[cornelbay.TargetName]int32
	Self        cornelbay.HostName
	// Hosts lists the live hosts that decide packets, the own one included.
	Hosts []cornelbay.HostName
	// Isolated is true while the host hears none of the hosts it should hear.
	Isolated bool
	// MaybeStale is true while the other hosts may have changed any bucket.
	MaybeStale bool
	// Partitioned is true while so many hosts are missing that they may have placed
	// flows among themselves.
	Partitioned bool

	// services4 has the services with an IPv4 address, by a packed key.
	services4 map[uint64]*Service
}

// ServiceKey is what tells services apart: their destination and protocol.
type ServiceKey struct {
	Address  netip.AddrPort
	Protocol uint8
}

// KeyOf returns the key of a service.
func KeyOf(s cornelbay.Service) ServiceKey {
	return ServiceKey{netip.AddrPortFrom(s.Address, s.Port), s.Protocol.Number()}
}

// Lookup returns the service of a flow by its destination and protocol alone, or nil.
func (s *Snapshot) Lookup(k *cornelbay.FlowKey) *Service {
	if a := k.Destination.Addr(); a.Is4() {
		return s.services4[pack(a, k.Destination.Port(), k.Protocol)]
	}
	return s.Services[ServiceKey{k.Destination, k.Protocol}]
}

// AddService adds a service to a snapshot that is not published yet.
func (s *Snapshot) AddService(key ServiceKey, svc *Service) {
	if s.Services == nil {
		s.Services = make(map[ServiceKey]*Service)
		s.services4 = make(map[uint64]*Service)
	}
	s.Services[key] = svc
	if a := key.Address.Addr(); a.Is4() {
		s.services4[pack(a, key.Address.Port(), key.Protocol)] = svc
	}
}

func pack(a netip.Addr, port uint16, protocol uint8) uint64 {
	b := a.As4()
	return uint64(binary.BigEndian.Uint32(b[:]))<<24 | uint64(port)<<8 | uint64(protocol)
}

// Target is a target that has an index.
type Target struct {
	Name   cornelbay.TargetName
	Tunnel netip.AddrPort
	// Service is nil for a target of a service that is no longer served.
	Service *Service
	// Usable is false when no packet may go to the target.
	Usable bool
}

// Service holds the buckets of one service; their number is a power of two.
type Service struct {
	Buckets []Bucket
	Routes  []Route
}

// Bucket returns the bucket of a flow with the hash.
func (s *Service) Bucket(hash uint64) *Bucket { return &s.Buckets[hash&uint64(len(s.Buckets)-1)] }

// Bucket holds indices of targets, or -1 for none.
type Bucket struct {
	// NewFlowTarget is the target of new flows.
	NewFlowTarget int32
	// OldestTarget is the earliest target that may have flows.
	OldestTarget int32
	// Route is the index of the bucket's route when flows may have another
	// target, and -1 when the bucket alone decides.
	Route int32
	// Ambiguous is true when flows are known to have more than one target.
	Ambiguous bool
}

// Route tells which hosts know the flows of an ambiguous bucket.
type Route struct {
	// Order lists indices of the live hosts: the steward, the deputy, the rest.
	Order []int16
	// Position is the own place in order.
	Position int
	// Complete is true when the own host has the record of every flow that is
	// not at the bucket's first target.
	Complete bool
}

// keeper returns the place of the keeper that a packet for the keepers goes to
// next after the given relays, or -1 when it has seen them.
func (r *Route) keeper(hops uint8) int {
	switch {
	case hops == 0 && r.Position != steward:
		return steward
	case hops <= 1 && r.Position == steward && len(r.Order) > deputy:
		return deputy
	}
	return -1
}

const (
	steward = 0
	deputy  = 1

	// ReplicaCount is the number of hosts that hold the records of a bucket.
	ReplicaCount = 2
)

// RankHosts returns the hosts in the order in which they answer for a bucket.
func RankHosts(service cornelbay.ServiceName, bucket int, hosts []cornelbay.HostName) []int16 {
	scores := make([]uint64, len(hosts))
	out := make([]int16, len(hosts))
	b := binary.BigEndian.AppendUint32([]byte(service), uint32(bucket))
	n := len(b)
	for i, h := range hosts {
		b = append(b[:n], h...)
		scores[i], out[i] = xxhash.Sum64(b), int16(i)
	}
	slices.SortFunc(out, func(a, b int16) int {
		return cmp.Or(cmp.Compare(scores[b], scores[a]), cmp.Compare(a, b))
	})
	return out
}

// Proposer returns the host that proposes the epochs of a service, and how many
// hosts come before self.
func Proposer(service cornelbay.ServiceName, hosts []cornelbay.HostName, self cornelbay.HostName) (cornelbay.HostName, int) {
	order := RankHosts(service, -1, hosts)
	for rank, i := range order {
		if hosts[i] == self {
			return hosts[order[0]], rank
		}
	}
	return "", len(order)
}

// Live reports whether the host is live and decides packets.
func (s *Snapshot) Live(name cornelbay.HostName) bool { return slices.Contains(s.Hosts, name) }

// Usable reports whether packets may go to the target with the index.
func (s *Snapshot) Usable(at int32) bool {
	return at >= 0 && int(at) < len(s.Targets) && s.Targets[at].Usable
}

// Needed reports whether a flow's target cannot be told from its bucket alone.
func (s *Snapshot) Needed(fingerprint uint64, at int32) bool {
	if !s.Usable(at) || s.Targets[at].Service == nil {
		return false
	}
	b := s.Targets[at].Service.Bucket(fingerprint)
	return b.Route >= 0 || b.OldestTarget != at
}
