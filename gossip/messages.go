// Package gossip is the protocol by which hosts tell each other what they know of
// routes, targets and evacuations, how fresh that is, and what flows they have
// open. Pulses are datagrams that name revisions; what a host lacks it pulls over
// net/rpc. It decides which hosts read the platform's store for the others.
package gossip

import (
	"net/netip"
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/peer"
	"github.com/cornelbay/cornelbay/registry"
)

func init() {
	peer.Register(Heartbeat{})
	peer.Register(Push{})
	peer.Register(AmbiguousFlows{})
	peer.RegisterCall[Pull, PullReply]()
}

// Revisions are the revisions of a host's tables.
type Revisions struct {
	Routing     uint64 `cbor:"1,keyasint"`
	Targets     uint64 `cbor:"2,keyasint"`
	Evacuations uint64 `cbor:"3,keyasint"`
	Hosts       uint64 `cbor:"4,keyasint"`
}

// RevisionsOf returns the revisions of tables.
func RevisionsOf(t *registry.Tables) Revisions {
	return Revisions{t.Routes.Revision(), t.Targets.Revision(), t.Evacuations.Revision(), t.Hosts.Revision()}
}

// DeltaBasesOf returns the revisions that a pull for tables builds on.
func DeltaBasesOf(t *registry.Tables) Revisions {
	return Revisions{min(t.Routes.Base(), t.Policy.Base()), t.Targets.Base(), t.Evacuations.Base(), t.Hosts.Base()}
}

// Behind reports whether r is behind other in any table.
func (r Revisions) Behind(other Revisions) bool {
	return r.Routing < other.Routing || r.Targets < other.Targets ||
		r.Evacuations < other.Evacuations || r.Hosts < other.Hosts
}

// Ages are the times in milliseconds since a host's tables were confirmed.
type Ages struct {
	Routing     uint32 `cbor:"1,keyasint"`
	Targets     uint32 `cbor:"2,keyasint"`
	Evacuations uint32 `cbor:"3,keyasint"`
}

// maxAge stands for an age that is not known.
const maxAge = uint32(1 << 30)

// AgesOf returns the ages of tables.
func AgesOf(now time.Time, t *registry.Tables) Ages {
	return Ages{age(now, t.Routes.Confirmed()), age(now, t.Targets.Confirmed()), age(now, t.Evacuations.Confirmed())}
}

func age(now, confirmed time.Time) uint32 {
	ms := now.Sub(confirmed).Milliseconds()
	if confirmed.IsZero() || ms > int64(maxAge) {
		return maxAge
	}
	return uint32(max(ms, 0))
}

// Confirm passes the confirmations of another host on to tables that are at its
// revisions.
func (a Ages) Confirm(now time.Time, r Revisions, t *registry.Tables) {
	confirm(now, a.Routing, r.Routing, &t.Routes)
	confirm(now, a.Targets, r.Targets, &t.Targets)
	confirm(now, a.Evacuations, r.Evacuations, &t.Evacuations)
}

func confirm[T any](now time.Time, age uint32, revision uint64, t *registry.Table[T]) {
	if age < maxAge && revision > 0 && t.Revision() >= revision {
		t.Confirm(now.Add(-time.Duration(age) * time.Millisecond))
	}
}

// Heartbeat is what a host tells all others at short intervals.
type Heartbeat struct {
	Host      registry.Host `cbor:"1,keyasint"`
	Revisions Revisions     `cbor:"2,keyasint"`
	Ages      Ages          `cbor:"3,keyasint"`
	// Loads are the active flows of the host at each target, in hundredths, by
	// the target's cookie.
	Loads map[uint32]uint32 `cbor:"4,keyasint,omitempty"`
	// Stopping is true when the host is about to end.
	Stopping bool `cbor:"5,keyasint,omitempty"`
	// Reader is true when the host reads the store.
	Reader bool `cbor:"6,keyasint,omitempty"`
	// IntervalMs is the time in milliseconds between two pulses of the host; it is 0 for
	// one that answers another host's and is not followed by others.
	IntervalMs uint32 `cbor:"7,keyasint"`
	// Outcomes are those of the host's flows since the last pulse that told of any,
	// by the target's cookie.
	Outcomes map[uint32]Outcome `cbor:"8,keyasint,omitempty"`
}

// Outcome sums up the flows that ended at a target.
type Outcome struct {
	_      struct{} `cbor:",toarray"`
	Ended  uint32
	Failed uint32
	// TookMs is the sum of their durations in milliseconds.
	TookMs uint32
}

// Kind returns the message's kind.
func (Heartbeat) Kind() cornelbay.MessageKind { return cornelbay.KindPulse }

// Push is what a reader tells the hosts of its data centre at once, where it fits
// a datagram: the changes since the revisions that it had before.
type Push struct {
	PullReply
}

// Kind returns the message's kind.
func (Push) Kind() cornelbay.MessageKind { return cornelbay.KindNews }

// AmbiguousFlow tells of a flow whose opening went to several targets.
type AmbiguousFlow struct {
	Source      netip.AddrPort `cbor:"1,keyasint"`
	Destination netip.AddrPort `cbor:"2,keyasint"`
	Tried       []uint32       `cbor:"3,keyasint"`
	// Chosen is 0 while it is not known which target has the flow.
	Chosen uint32 `cbor:"4,keyasint,omitempty"`
}

// AmbiguousFlows tells of flows in doubt.
type AmbiguousFlows struct {
	Flows []AmbiguousFlow `cbor:"1,keyasint"`
}

// Kind returns the message's kind.
func (AmbiguousFlows) Kind() cornelbay.MessageKind { return cornelbay.KindDoubts }

// Pull asks for what the host has beyond some revisions.
type Pull struct {
	Since Revisions `cbor:"1,keyasint"`
}

// Method returns the method's name.
func (Pull) Method() string { return "Registry.Pull" }

// PullReply answers Pull.
type PullReply struct {
	Routes      registry.Delta[registry.Route]      `cbor:"1,keyasint"`
	Policy      registry.Delta[registry.Policy]     `cbor:"7,keyasint"`
	Targets     registry.Delta[registry.Target]     `cbor:"2,keyasint"`
	Evacuations registry.Delta[registry.Evacuation] `cbor:"3,keyasint"`
	Hosts       registry.Delta[registry.Host]       `cbor:"4,keyasint"`
	Ages        Ages                                `cbor:"5,keyasint"`
	// Incarnation is the last one known of the asking host; a host that starts
	// with a clock that was set back takes a later one.
	Incarnation cornelbay.Incarnation `cbor:"6,keyasint"`
}

// Answer returns the answer of a host with tables t to a pull.
func (p Pull) Answer(now time.Time, t *registry.Tables) PullReply {
	return PullReply{
		Routes:      t.Routes.Since(now, p.Since.Routing),
		Policy:      t.Policy.Since(now, p.Since.Routing),
		Targets:     t.Targets.Since(now, p.Since.Targets),
		Evacuations: t.Evacuations.Since(now, p.Since.Evacuations),
		Hosts:       t.Hosts.Since(now, p.Since.Hosts),
		Ages:        AgesOf(now, t),
	}
}

// Merge takes a reply over into tables and reports whether they changed.
func (r *PullReply) Merge(now time.Time, t *registry.Tables) bool {
	revisions := Revisions{r.Routes.Revision, r.Targets.Revision, r.Evacuations.Revision, r.Hosts.Revision}
	policy := t.Policy.Merge(now, r.Policy)
	routes := t.Routes.Merge(now, r.Routes)
	targets := t.Targets.Merge(now, r.Targets)
	evacuations := t.Evacuations.Merge(now, r.Evacuations)
	hosts := t.Hosts.Merge(now, r.Hosts)
	r.Ages.Confirm(now, revisions, t)
	return policy || routes || targets || evacuations || hosts
}
