package cornelbay

// MessageKind identifies the type of a control message on the wire.
type MessageKind uint8

// The kinds of control messages.
const (
	KindHeartbeat MessageKind = iota + 1 // member.Heartbeat
	KindLeave
	KindProposal
	KindPrepared
	KindActivate
	KindQuestion // unused; the number stays reserved
	KindAnswer   // unused; the number stays reserved
	KindRecords
	KindHint // unused; the number stays reserved
	KindReports
	KindLoad
	KindJoin
	KindJoinAnswer
	KindNotice
	KindDigest
	KindEpochs
	KindEpochsAnswer
	KindServing
	KindClear
	KindPulse    // gossip.Heartbeat
	KindNews     // gossip.Push
	KindDoubts   // gossip.AmbiguousFlows
	KindOutcomes // gossip.Outcomes
	KindSilent   // gossip.SilentTargets
)

// Message is a control message from one host to another that fits into a
// datagram. Packages that define message types register them with package peer.
type Message interface {
	// Kind returns the number of the message's type on the wire.
	Kind() MessageKind
}
