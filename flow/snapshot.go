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
	// services4 has the services with an IPv4 address, by a packed key.
	services4 map[uint64]*service
	services  map[serviceKey]*service
	// targets is indexed as the table's records are; an index is never reused.
	targets []target
	byName  map[cornelbay.TargetName]int32
	self    cornelbay.HostName
	hosts   []cornelbay.HostName
	// isolated is true while the host hears none of the hosts it should hear.
	isolated bool
	// split is true while so many hosts are missing that they may have placed
	// flows among themselves.
	split bool
}

type serviceKey struct {
	address  netip.AddrPort
	protocol uint8
}

// service returns the service of a flow by its destination and protocol alone.
func (s *Snapshot) service(k *cornelbay.FlowKey) *service {
	if a := k.Destination.Addr(); a.Is4() {
		return s.services4[pack(a, k.Destination.Port(), k.Protocol)]
	}
	return s.services[serviceKey{k.Destination, k.Protocol}]
}

func (s *Snapshot) addService(key serviceKey, svc *service) {
	s.services[key] = svc
	if a := key.address.Addr(); a.Is4() {
		s.services4[pack(a, key.address.Port(), key.protocol)] = svc
	}
}

func pack(a netip.Addr, port uint16, protocol uint8) uint64 {
	b := a.As4()
	return uint64(binary.BigEndian.Uint32(b[:]))<<24 | uint64(port)<<8 | uint64(protocol)
}

type target struct {
	name   cornelbay.TargetName
	tunnel netip.AddrPort
	// service is nil for a target of a service that is no longer served.
	service *service
	// usable is false when no packet may go to the target.
	usable bool
}

type service struct {
	buckets []bucket
	routes  []route
}

func (s *service) bucket(hash uint64) *bucket { return &s.buckets[hash&uint64(len(s.buckets)-1)] }

// bucket holds indices of targets, or -1 for none.
type bucket struct {
	// place is the target of new flows.
	place int32
	// first is the earliest target that may have flows.
	first int32
	// route is the index of the bucket's route when flows may have another
	// target, and -1 when the bucket alone decides.
	route int32
	// ambiguous is true when flows are known to have more than one target.
	ambiguous bool
}

// route tells which hosts know the flows of an ambiguous bucket.
type route struct {
	// order lists indices of the live hosts: the steward, the deputy, the rest.
	order []int16
	// position is the own place in order.
	position int
	// complete is true when the own host has the record of every flow that is
	// not at the bucket's first target.
	complete bool
}

// keeper returns the place of the keeper that a packet for the keepers goes to
// next after the given relays, or -1 when it has seen them.
func (r *route) keeper(hops uint8) int {
	switch {
	case hops == 0 && r.position != steward:
		return steward
	case hops <= 1 && r.position == steward && len(r.order) > deputy:
		return deputy
	}
	return -1
}

const (
	steward = 0
	deputy  = 1
	// keepers is the number of hosts that hold the records of a bucket.
	keepers = 2
)

// stewards returns the hosts in the order in which they answer for a bucket.
func stewards(service cornelbay.ServiceName, bucket int, hosts []cornelbay.HostName) []int16 {
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

// proposer returns the host that proposes the epochs of a service, and how many
// hosts come before self.
func proposer(service cornelbay.ServiceName, hosts []cornelbay.HostName, self cornelbay.HostName) (cornelbay.HostName, int) {
	order := stewards(service, -1, hosts)
	for rank, i := range order {
		if hosts[i] == self {
			return hosts[order[0]], rank
		}
	}
	return "", len(order)
}

func (s *Snapshot) live(name cornelbay.HostName) bool { return slices.Contains(s.hosts, name) }

func (s *Snapshot) usable(at int32) bool {
	return at >= 0 && int(at) < len(s.targets) && s.targets[at].usable
}

// needed reports whether a flow's target cannot be told from its bucket alone.
func (s *Snapshot) needed(fingerprint uint64, at int32) bool {
	if !s.usable(at) || s.targets[at].service == nil {
		return false
	}
	b := s.targets[at].service.bucket(fingerprint)
	return b.route >= 0 || b.first != at
}
