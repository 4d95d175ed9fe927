// Package gossip is the protocol by which hosts exchange routes, targets and
// evacuations, the freshness of these tables, and the load of their open flows.
// Heartbeats are datagrams that carry the revisions of the sender's tables; a host
// that is behind pulls the difference over net/rpc. The package also decides which hosts
// send heartbeats to each other, and which one reads the platform's store for the others.
//
// Metrics and log messages call a heartbeat a pulse, a push news, and an ambiguous
// flow a doubt.
package gossip

import (
	"net/netip"
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/peer"
	"github.com/cornelbay/cornelbay/readiness"
	"github.com/cornelbay/cornelbay/registry"
)

func init() {
	peer.Register(Heartbeat{})
	peer.Register(Push{})
	peer.Register(Outcomes{})
	peer.Register(AmbiguousFlows{})
	peer.Register(SilentTargets{})
	peer.RegisterCall[Pull, PullReply]()
}

// Revisions holds the revision of each of a host's tables.
type Revisions struct {
	Routing     registry.Revision `cbor:"1,keyasint"`
	Targets     registry.Revision `cbor:"2,keyasint"`
	Evacuations registry.Revision `cbor:"3,keyasint"`
	Hosts       registry.Revision `cbor:"4,keyasint"`
	// Version is that of the configuration. After a restore of the store, two hosts may
	// have different versions at the same revision.
	Version uint64 `cbor:"5,keyasint,omitempty"`
}

// RevisionsOf returns the revisions of tables.
func RevisionsOf(t *registry.Tables) Revisions {
	return Revisions{
		t.Routes.Revision(), t.Targets.Revision(), t.Evacuations.Revision(), t.Hosts.Revision(), t.ConfigVersion(),
	}
}

// DeltaBasesOf returns the revisions that a pull may request deltas from, given those of
// the host to pull from. A configuration of a later version that is not at a later
// revision has to be pulled whole.
func DeltaBasesOf(t *registry.Tables, from Revisions) Revisions {
	r := Revisions{
		Routing: min(t.Routes.DeltaBase(), t.Policy.DeltaBase()), Targets: t.Targets.DeltaBase(),
		Evacuations: t.Evacuations.DeltaBase(), Hosts: t.Hosts.DeltaBase(),
	}
	if from.Version > t.ConfigVersion() && from.Routing <= t.Routes.Revision() {
		r.Routing = 0
	}
	return r
}

// Behind reports whether r is older than other in any table.
func (r Revisions) Behind(other Revisions) bool {
	return r.Routing < other.Routing || r.Targets < other.Targets ||
		r.Evacuations < other.Evacuations || r.Hosts < other.Hosts || r.Version < other.Version
}

// Era returns the latest era of the store that any of the tables has reached.
func (r Revisions) Era() uint64 { return max(r.Routing, r.Targets, r.Evacuations, r.Hosts).Era() }

// Ages holds the milliseconds since a host's tables were last confirmed.
type Ages struct {
	Routing     uint32 `cbor:"1,keyasint"`
	Targets     uint32 `cbor:"2,keyasint"`
	Evacuations uint32 `cbor:"3,keyasint"`
	// Hosts is 0 in a heartbeat of a host that doesn't tell the age of this table.
	Hosts uint32 `cbor:"4,keyasint,omitempty"`
}

// unknownAgeMs is sent for a table that was never confirmed, and caps the other ages.
const unknownAgeMs = uint32(1 << 30)

// AgesOf returns the ages of tables.
func AgesOf(now time.Time, t *registry.Tables) Ages {
	return Ages{
		age(now, t.Routes.ConfirmedAt()), age(now, t.Targets.ConfirmedAt()), age(now, t.Evacuations.ConfirmedAt()),
		max(age(now, t.Hosts.ConfirmedAt()), 1),
	}
}

// age returns the milliseconds since a confirmation.
func age(now, confirmed time.Time) uint32 {
	ms := now.Sub(confirmed).Milliseconds()
	if confirmed.IsZero() || ms > int64(unknownAgeMs) {
		return unknownAgeMs
	}
	return uint32(max(ms, 0))
}

// Confirm applies the confirmations of another host to those tables that have reached its
// revisions.
func (a Ages) Confirm(now time.Time, r Revisions, t *registry.Tables) {
	confirmTable(now, a.Routing, r.Routing, &t.Routes)
	confirmTable(now, a.Targets, r.Targets, &t.Targets)
	confirmTable(now, a.Evacuations, r.Evacuations, &t.Evacuations)
	if a.Hosts > 0 {
		confirmTable(now, a.Hosts, r.Hosts, &t.Hosts)
	}
}

// confirmTable confirms one table; age is in milliseconds.
func confirmTable[T any](now time.Time, age uint32, revision registry.Revision, t *registry.Table[T]) {
	if age < unknownAgeMs && revision > 0 && t.Revision() >= revision {
		t.Confirm(now.Add(-time.Duration(age) * time.Millisecond))
	}
}

// Heartbeat announces a host's state to other hosts: at short intervals, after changes
// of its tables, and as a reply to a host of another data centre that has older tables.
type Heartbeat struct {
	Host      registry.Host `cbor:"1,keyasint"`
	Revisions Revisions     `cbor:"2,keyasint"`
	Ages      Ages          `cbor:"3,keyasint"`
	// Loads are the mean active flows at each target, in hundredths of a flow, by the
	// target's cookie: those of the host, in a tree also those of the hosts below it, and
	// from a relay or lead those of all hosts. They are left out if they don't fit into a
	// datagram.
	Loads map[uint32]uint32 `cbor:"4,keyasint,omitempty"`
	// Stopping is true while the host is shutting down.
	Stopping bool `cbor:"5,keyasint,omitempty"`
	// Reader is true if the host reads the store for the others. Receivers don't use it.
	Reader bool `cbor:"6,keyasint,omitempty"`
	// IntervalMs is the time between two heartbeats of the host, in milliseconds. It
	// is 0 for a reply to another host's heartbeat, which isn't one of a series.
	IntervalMs uint32 `cbor:"7,keyasint"`
	// Outcomes are those of the host's flows that ended since it last reported any, by
	// the target's cookie. If they don't fit into a datagram they are left out and
	// lost.
	Outcomes map[uint32]Outcome `cbor:"8,keyasint,omitempty"`
	// Relay is true if the host sends this heartbeat to hosts below it; see Neighbours.
	Relay bool `cbor:"9,keyasint,omitempty"`
	// Lead is true if the host leads its data centre and sends this heartbeat to the lead
	// of another.
	Lead bool `cbor:"10,keyasint,omitempty"`
	// Refused is true while the store refuses or does not answer this host's calls.
	Refused bool `cbor:"11,keyasint,omitempty"`
	// Joining is true in the single heartbeat that a starting host sends to all hosts of
	// its data centre, which tell it of ambiguous flows.
	Joining bool `cbor:"12,keyasint,omitempty"`
	// AsksSources is true if the host wants to pull whole tables or what it lacks, and asks
	// from whom.
	AsksSources bool `cbor:"13,keyasint,omitempty"`
	// Sources are the addresses of hosts to pull from, in the reply to AsksSources.
	Sources []netip.AddrPort `cbor:"14,keyasint,omitempty"`
	// Census is that of the host and of those below it, and in a heartbeat of a relay or a
	// lead that of its data centre. It is nil in heartbeats that tell no loads.
	Census *Census `cbor:"15,keyasint,omitempty"`
	// Latest is the incarnation of the receiver below which the sender refuses its datagrams, in
	// the reply to one that it has refused, and otherwise 0.
	Latest cornelbay.Incarnation `cbor:"16,keyasint,omitempty"`
}

// Census counts hosts of one data centre and tells what is known of the others; see package
// readiness.
type Census struct {
	_                   struct{} `cbor:",toarray"`
	Alive, Able, Unable uint32
	// Well is true if the data centre of the sender can serve its callers.
	Well bool
	// HeardMs and WellMs are the milliseconds since another data centre was heard, and since
	// one could serve.
	HeardMs, WellMs uint32
}

// NewCensus returns the census to send at a time.
func NewCensus(now time.Time, c readiness.Census, well bool, others readiness.Others) *Census {
	return &Census{
		Alive: uint32(c.Alive), Able: uint32(c.Able), Unable: uint32(c.Unable), Well: well,
		HeardMs: age(now, others.HeardAt), WellMs: age(now, others.WellAt),
	}
}

// Hosts returns the counted hosts.
func (c *Census) Hosts() readiness.Census {
	return readiness.Census{Alive: int(c.Alive), Able: int(c.Able), Unable: int(c.Unable)}
}

// Others returns what the sender knew of the other data centres when the census was received.
func (c *Census) Others(now time.Time) readiness.Others {
	at := func(ms uint32) time.Time {
		if ms >= unknownAgeMs {
			return time.Time{}
		}
		return now.Add(-time.Duration(ms) * time.Millisecond)
	}
	return readiness.Others{HeardAt: at(c.HeardMs), WellAt: at(c.WellMs)}
}

// Outcome summarizes the flows that ended at a target.
type Outcome struct {
	_      struct{} `cbor:",toarray"`
	Ended  uint32
	Failed uint32
	// TookMs is the sum of their durations in milliseconds.
	TookMs uint32
}

// Kind returns KindPulse.
func (Heartbeat) Kind() cornelbay.MessageKind { return cornelbay.KindPulse }

// Outcomes are those of flows that ended since the last such message, by the target's
// cookie. In a tree of hosts they have a message of their own.
type Outcomes struct {
	Outcomes map[uint32]Outcome `cbor:"1,keyasint"`
	// Relay and Lead are as in Heartbeat.
	Relay bool `cbor:"2,keyasint,omitempty"`
	Lead  bool `cbor:"3,keyasint,omitempty"`
}

// Kind returns KindOutcomes.
func (Outcomes) Kind() cornelbay.MessageKind { return cornelbay.KindOutcomes }

// Push is sent by a host that has read a change from the store to its neighbours at once,
// and by these to theirs. It holds the changes since the sender's previous revisions, and
// is only sent if it fits into a datagram.
type Push struct {
	PullReply
}

// Kind returns KindNews.
func (Push) Kind() cornelbay.MessageKind { return cornelbay.KindNews }

// AmbiguousFlow is a flow whose opening was sent to several targets, more than one of
// which may have answered.
type AmbiguousFlow struct {
	Source      netip.AddrPort `cbor:"1,keyasint"`
	Destination netip.AddrPort `cbor:"2,keyasint"`
	Tried       []uint32       `cbor:"3,keyasint"`
	// Chosen is the cookie of the target that has the flow, or 0 while that is
	// unknown.
	Chosen uint32 `cbor:"4,keyasint,omitempty"`
	// ChosenMsAgo is the time since the packet that showed it arrived. Hosts of earlier versions
	// leave it out.
	ChosenMsAgo uint32 `cbor:"5,keyasint,omitempty"`
}

// AmbiguousFlows reports a batch of ambiguous flows to another host.
type AmbiguousFlows struct {
	Flows []AmbiguousFlow `cbor:"1,keyasint"`
}

// Kind returns KindDoubts.
func (AmbiguousFlows) Kind() cornelbay.MessageKind { return cornelbay.KindDoubts }

// SilentTarget is a target that has not answered an opening.
type SilentTarget struct {
	Cookie uint32 `cbor:"1,keyasint"`
	// MsAgo is the time since the opening was sent.
	MsAgo uint32 `cbor:"2,keyasint,omitempty"`
}

// RecoveredTarget is a target that was silent and has answered again.
type RecoveredTarget struct {
	Cookie uint32 `cbor:"1,keyasint"`
	// SilentMsAgo is the time since the opening was sent that was not answered, AnsweredMsAgo that
	// since the answer.
	SilentMsAgo   uint32 `cbor:"2,keyasint,omitempty"`
	AnsweredMsAgo uint32 `cbor:"3,keyasint,omitempty"`
}

// SilentTargets tells other hosts that targets have not answered the sender: they may have crashed,
// and be cold when they answer again, as the recovered ones have done. Hosts of earlier versions drop
// the message.
type SilentTargets struct {
	Targets   []SilentTarget    `cbor:"1,keyasint"`
	Recovered []RecoveredTarget `cbor:"2,keyasint,omitempty"`
}

// Kind returns KindSilent.
func (SilentTargets) Kind() cornelbay.MessageKind { return cornelbay.KindSilent }

// Pull requests everything that has changed since the given revisions.
type Pull struct {
	Since Revisions `cbor:"1,keyasint"`
	// Unpacks is true if the sender understands PullReply.Packed.
	Unpacks bool `cbor:"2,keyasint,omitempty"`
	// WaitMs is how long the other host may wait, in milliseconds, until its own tables are
	// complete.
	WaitMs uint32 `cbor:"3,keyasint,omitempty"`
}

// Method returns the method's name.
func (Pull) Method() string { return "Registry.Pull" }

// PullReply is the reply to a Pull.
type PullReply struct {
	Routes      registry.Delta[registry.Route]      `cbor:"1,keyasint"`
	Policy      registry.Delta[registry.Policy]     `cbor:"7,keyasint"`
	Targets     registry.Delta[registry.Target]     `cbor:"2,keyasint"`
	Evacuations registry.Delta[registry.Evacuation] `cbor:"3,keyasint"`
	Hosts       registry.Delta[registry.Host]       `cbor:"4,keyasint"`
	Ages        Ages                                `cbor:"5,keyasint"`
	// Incarnation is the last one that the answering host has seen of the asking host.
	// A host that restarts after its clock was set back continues with a higher one.
	Incarnation cornelbay.Incarnation `cbor:"6,keyasint"`
	// Packed holds the compressed tables, whose fields are then empty; see Pack.
	Packed []byte `cbor:"8,keyasint,omitempty"`
}

// Answer returns the reply to a pull from the tables t.
func (p Pull) Answer(now time.Time, t *registry.Tables) PullReply {
	return PullReply{
		Routes:      t.Routes.DeltaSince(now, p.Since.Routing),
		Policy:      t.Policy.DeltaSince(now, p.Since.Routing),
		Targets:     t.Targets.DeltaSince(now, p.Since.Targets),
		Evacuations: t.Evacuations.DeltaSince(now, p.Since.Evacuations),
		Hosts:       t.Hosts.DeltaSince(now, p.Since.Hosts),
		Ages:        AgesOf(now, t),
	}
}

// Merge applies a reply to tables and reports whether they changed.
func (r *PullReply) Merge(now time.Time, t *registry.Tables) bool {
	revisions := Revisions{
		Routing: r.Routes.Revision, Targets: r.Targets.Revision, Evacuations: r.Evacuations.Revision, Hosts: r.Hosts.Revision,
	}
	routing := t.MergeRouting(now, r.Policy, r.Routes)
	targets := t.Targets.Merge(now, r.Targets)
	evacuations := t.Evacuations.Merge(now, r.Evacuations)
	hosts := t.Hosts.Merge(now, r.Hosts)
	r.Ages.Confirm(now, revisions, t)
	return routing || targets || evacuations || hosts
}
