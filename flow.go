package cornelbay

import "net/netip"

// FlowKey is the five-tuple of a flow as the caller sends it.
type FlowKey struct {
	Source, Destination netip.AddrPort
	// Protocol is the IP protocol number.
	Protocol uint8
}

// PacketFlags tell what a packet means for its flow.
type PacketFlags uint8

// The flags of a packet.
const (
	// Opening is set on the first packet of a TCP flow (SYN without ACK).
	Opening PacketFlags = 1 << iota
	// Finishing is set on a packet with FIN.
	Finishing
	// Resetting is set on a packet with RST.
	Resetting
)

// Packet is one packet of a flow, parsed, with the bytes it came as.
type Packet struct {
	Key   FlowKey
	Flags PacketFlags
	// Inner is the caller's IP packet, unchanged; it is only valid during the call.
	Inner []byte
	// Relay describes the relay that the packet came by; its Hops is 0 when the
	// packet came from the fabric.
	Relay RelayHeader
}

// RelayHeader goes with a packet that one host relays to another.
type RelayHeader struct {
	// From is the index-free identity of the host that relays.
	From HostName
	// Hops counts the relays so far.
	Hops uint8
	// Choice is the target that the receiver of an opening packet chose, or "".
	Choice TargetName
}

// Action says what is done with a packet.
type Action uint8

// The actions on a packet.
const (
	// Drop discards the packet and counts it under the verdict's reason.
	Drop Action = iota
	// Forward sends the packet to the verdict's target.
	Forward
	// Relay sends the packet to the verdict's host.
	Relay
	// Hold keeps the packet until a question about its flow is answered.
	Hold
)

// Verdict is the decision for one packet.
type Verdict struct {
	Action Action
	Target TargetName
	// Tunnel is the address of the target for Forward.
	Tunnel netip.AddrPort
	Host   HostName
	Relay  RelayHeader
	Reason DropReason
}

// DropReason tells why a packet was dropped.
type DropReason uint8

// The reasons for dropping a packet.
const (
	NotDropped DropReason = iota
	NoService
	NoTarget
	NoConfig
	Malformed
	Truncated
	Fragment
	HopLimit
	Unanswered
	HoldFull
	// Suspended packets came while the host did not know what is in force.
	Suspended
	OAM
	CriticalOption
	Forged
	Extension
)

var reasonNames = [...]string{
	"notDropped", "noService", "noTarget", "noConfig", "malformed",
	"truncated", "fragment", "hopLimit", "unanswered", "holdFull", "suspended",
	"oam", "criticalOption", "forged", "extension",
}

// DropReasonCount is the number of reasons, NotDropped included.
const DropReasonCount = len(reasonNames)

// String returns the reason's name in camel case, as metrics show it.
func (r DropReason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "invalid"
}
