package cornelbay

// MessageKind numbers the control messages between hosts on the wire.
type MessageKind uint8

// The kinds of control messages.
const (
	KindHeartbeat MessageKind = iota + 1
	KindLeave
	KindProposal
	KindPrepared
	KindActivate
	KindQuestion
	KindAnswer
	KindRecords
	KindHint
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
	KindPulse
	KindNews
	KindDoubts
)

// Message is a control message from one host to another, small enough for a
// datagram. Packages that define one register it with package peer.
type Message interface {
	// Kind returns the number that the message has on the wire.
	Kind() MessageKind
}
