package cornelbay

import "net/netip"

// FlowKey is the five-tuple of a flow as the caller sends it.
type FlowKey struct {
	Source, Destination netip.AddrPort
	// Protocol is the IP protocol number.
	Protocol uint8
}

// PacketFlags describe the role of a packet in its flow.
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

// Packet is one parsed packet of a flow, with its original bytes.
type Packet struct {
	Key   FlowKey
	Flags PacketFlags
	// Inner is the caller's IP packet, unchanged. It is only valid until the
	// packet's verdict has been carried out, since it refers to the datagram
	// that was read.
	Inner []byte
	// Relay describes how the packet was relayed. Its Hops is 0 if the packet
	// came from the fabric.
	Relay RelayHeader
}

// RelayHeader accompanies a packet that one host relays to another.
type RelayHeader struct {
	// From is the name of the host that received the packet from the fabric and
	// relayed it first. It is a name because host indices differ between hosts.
	From HostName
	// Hops is the number of relays so far.
	Hops uint8
	// Choice is the target that a host on the packet's path has chosen or has a
	// record of, or "".
	Choice TargetName
}

// Action is what is done with a packet.
type Action uint8

// The actions on a packet.
const (
	// Drop discards the packet and counts it under the verdict's reason.
	Drop Action = iota
	// Forward sends the packet to the verdict's target.
	Forward
	// Relay sends the packet to the verdict's host.
	Relay
	// Hold keeps the packet until its flow is released. Package flow does not
	// return it at present.
	Hold
)

// Verdict is the decision for one packet.
type Verdict struct {
	Action Action
	Target TargetName
	// Tunnel is the target's tunnel address; it is set for Forward.
	Tunnel netip.AddrPort
	Host   HostName
	Relay  RelayHeader
	Reason DropReason
}

// DropReason is the reason why a packet was dropped.
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
	// Unanswered is the reason for packets of flows whose target could not be
	// determined with the hosts that are live.
	Unanswered
	// HoldFull is the reason for packets that could not be held, for example
	// because too many are held.
	HoldFull
	// Suspended is the reason for packets that arrived while the host did not
	// know which configuration is in force, or when the last tick of its control
	// loop was older than flow.MaxTickAge.
	Suspended
	// OAM is the reason for Geneve datagrams with the OAM flag.
	OAM
	// CriticalOption is the reason for Geneve datagrams with an unknown critical
	// option.
	CriticalOption
	// Forged is the reason for relayed packets without a valid MAC.
	Forged
	// Extension is the reason for IPv6 packets with an extension header, other
	// than a fragment header.
	Extension
)

var reasonNames = [...]string{
	"notDropped", "noService", "noTarget", "noConfig", "malformed",
	"truncated", "fragment", "hopLimit", "unanswered", "holdFull", "suspended",
	"oam", "criticalOption", "forged", "extension",
}

// DropReasonCount is the number of drop reasons, NotDropped included.
const DropReasonCount = len(reasonNames)

// String returns the reason's name in camel case, as used in metrics.
func (r DropReason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "invalid"
}
