package flow

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelbay/cornelbay"
)

// Snapshot is the state that packet decisions read. It is immutable once
// published.
type Snapshot struct {
	// Services holds the services by destination and protocol; AddService adds
	// one.
	Services map[ServiceKey]*Service
	// Targets is indexed by the target indices of the flow table's records; an
	// index is never reused.
	Targets     []Target
	TargetIndex map[cornelbay.TargetName]int32
	Self        cornelbay.HostName
	// Hosts lists the live hosts that decide packets, this host included.
	Hosts []cornelbay.HostName
	// Isolated is true while hosts are missing and no other host is live.
	Isolated bool
	// MaybeStale is true while other hosts may have changed any bucket without
	// this host's knowledge.
	MaybeStale bool
	// Partitioned is true while half or more of the known hosts, live and
	// missing, are missing, so that they may have placed flows among themselves.
	Partitioned bool

	// services4 holds the services with an IPv4 address by a packed key.
	services4 map[uint64]*Service
}

// ServiceKey identifies a service by its destination and protocol.
type ServiceKey struct {
	Address  netip.AddrPort
	Protocol uint8
}

// KeyOf returns the key of a service.
func KeyOf(s cornelbay.Service) ServiceKey {
	return ServiceKey{netip.AddrPortFrom(s.Address, s.Port), s.Protocol.Number()}
}

// Lookup returns the service of a flow by its destination and protocol, or nil.
func (s *Snapshot) Lookup(k *cornelbay.FlowKey) *Service {
	if a := k.Destination.Addr(); a.Is4() {
		return s.services4[packIPv4Key(a, k.Destination.Port(), k.Protocol)]
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
		s.services4[packIPv4Key(a, key.Address.Port(), key.Protocol)] = svc
	}
}

func packIPv4Key(a netip.Addr, port uint16, protocol uint8) uint64 {
	b := a.As4()
	return uint64(binary.BigEndian.Uint32(b[:]))<<24 | uint64(port)<<8 | uint64(protocol)
}

// Target is a target as referenced by its index.
type Target struct {
	Name   cornelbay.TargetName
	Tunnel netip.AddrPort
	// Service is nil for a target of a service that is no longer served.
	Service *Service
	// Usable is false when no packets may be sent to the target.
	Usable bool
}

// Service holds the buckets and routes of one service. The number of buckets is
// a power of two.
type Service struct {
	Buckets []Bucket
	Routes  []Route
}

// Bucket returns the bucket of the flows with the hash.
func (s *Service) Bucket(hash uint64) *Bucket { return &s.Buckets[hash&uint64(len(s.Buckets)-1)] }

// Bucket holds the target indices of one bucket, or -1 for none.
type Bucket struct {
	// NewFlowTarget is the target of new flows.
	NewFlowTarget int32
	// OldestTarget is the target of the oldest epoch that may have flows.
	OldestTarget int32
	// Route is the index of the bucket's route if its flows may have more than
	// one target, and -1 if the bucket alone determines the target.
	Route int32
	// Ambiguous is true when flows of the bucket may have different targets
	// according to the epochs.
	Ambiguous bool
}

// Route is the order in which hosts are asked for the flows of a bucket.
type Route struct {
	// Order lists indices into Snapshot.Hosts: the primary, the secondary, then
	// the other hosts.
	Order []int16
	// Position is the position of this host in Order.
	Position int
	// Complete is true when this host has a record of every flow of the bucket
	// that is not on the oldest target.
	Complete bool
}

// nextReplica returns the position in Order of the replica to which a packet is
// relayed next after the given number of hops, or -1 if it has visited all
// replicas.
func (r *Route) nextReplica(hops uint8) int {
	switch {
	case hops == 0 && r.Position != primary:
		return primary
	case hops <= 1 && r.Position == primary && len(r.Order) > secondary:
		return secondary
	}
	return -1
}

const (
	primary   = 0
	secondary = 1

	// ReplicaCount is the number of replicas of a bucket: the primary and the
	// secondary. They record every new flow of an ambiguous bucket, besides the
	// host that received its packets.
	ReplicaCount = 2
)

// RankHosts returns the indices of the hosts ordered by rendezvous hashing for
// the bucket; the first ReplicaCount are its replicas.
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

// Proposer returns the host that proposes the epochs of a service, and the
// number of hosts ranked before self.
func Proposer(service cornelbay.ServiceName, hosts []cornelbay.HostName, self cornelbay.HostName) (cornelbay.HostName, int) {
	// -1 is not a bucket; it ranks the hosts for the service as a whole.
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

// Usable reports whether packets may be sent to the target with the index.
func (s *Snapshot) Usable(at int32) bool {
	return at >= 0 && int(at) < len(s.Targets) && s.Targets[at].Usable
}

// MustKeep reports whether a flow's record must be kept because its bucket
// alone does not determine its target.
func (s *Snapshot) MustKeep(fingerprint uint64, at int32) bool {
	if !s.Usable(at) || s.Targets[at].Service == nil {
		return false
	}
	b := s.Targets[at].Service.Bucket(fingerprint)
	return b.Route >= 0 || b.OldestTarget != at
}
