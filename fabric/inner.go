package fabric

import (
	"encoding/binary"
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"github.com/cornelbay/cornelbay"
)

// The lengths of headers in bytes.
const (
	ipv4HeaderBytes = 20
	ipv6HeaderBytes = 40
	tcpHeaderBytes  = 20
	udpHeaderBytes  = 8
)

// innerDecoder decodes the callers' IP packets. It checks the lengths itself before
// gopacket decodes the layers.
type innerDecoder struct {
	ip4 layers.IPv4
	ip6 layers.IPv6
	udp layers.UDP
}

func (d *innerDecoder) decode(b []byte, pk *cornelbay.Packet) cornelbay.DropReason {
	*pk = cornelbay.Packet{}
	if len(b) == 0 {
		return cornelbay.Truncated
	}
	switch b[0] >> 4 {
	case 4:
		return d.decode4(b, pk)
	case 6:
		return d.decode6(b, pk)
	}
	return cornelbay.Malformed
}

func (d *innerDecoder) decode4(b []byte, pk *cornelbay.Packet) cornelbay.DropReason {
	if len(b) < ipv4HeaderBytes {
		return cornelbay.Truncated
	}
	header, total := int(b[0]&0x0f)*4, int(binary.BigEndian.Uint16(b[2:]))
	if r := checkLengths(len(b), header, total, ipv4HeaderBytes); r != cornelbay.NotDropped {
		return r
	}
	if err := d.ip4.DecodeFromBytes(b, gopacket.NilDecodeFeedback); err != nil {
		return cornelbay.Malformed
	}
	if d.ip4.Flags&layers.IPv4MoreFragments != 0 || d.ip4.FragOffset != 0 {
		return cornelbay.Fragment
	}
	src, dst := netip.AddrFrom4([4]byte(d.ip4.SrcIP)), netip.AddrFrom4([4]byte(d.ip4.DstIP))
	pk.Inner = b[:total]
	return d.decodeTransport(uint8(d.ip4.Protocol), src, dst, d.ip4.Payload, pk)
}

func (d *innerDecoder) decode6(b []byte, pk *cornelbay.Packet) cornelbay.DropReason {
	if len(b) < ipv6HeaderBytes {
		return cornelbay.Truncated
	}
	// A payload length of 0 is malformed: jumbograms are not supported.
	total := ipv6HeaderBytes + int(binary.BigEndian.Uint16(b[4:]))
	if r := checkLengths(len(b), ipv6HeaderBytes, total, ipv6HeaderBytes+1); r != cornelbay.NotDropped {
		return r
	}
	if r := checkNextHeader(layers.IPProtocol(b[6])); r != cornelbay.NotDropped {
		return r
	}
	if err := d.ip6.DecodeFromBytes(b, gopacket.NilDecodeFeedback); err != nil {
		return cornelbay.Malformed
	}
	src, dst := netip.AddrFrom16([16]byte(d.ip6.SrcIP)), netip.AddrFrom16([16]byte(d.ip6.DstIP))
	if src.Is4In6() || dst.Is4In6() {
		return cornelbay.Malformed
	}
	pk.Inner = b[:total]
	return d.decodeTransport(uint8(d.ip6.NextHeader), src, dst, d.ip6.Payload, pk)
}

// checkLengths checks the lengths given by a header against the n bytes received.
// minTotal is the minimum length of the packet; the minimum length of the header is
// the same, but at most ipv6HeaderBytes.
func checkLengths(n, header, total, minTotal int) cornelbay.DropReason {
	switch {
	case header < min(minTotal, ipv6HeaderBytes), total < minTotal, total < header:
		return cornelbay.Malformed
	case total > n:
		return cornelbay.Truncated
	}
	return cornelbay.NotDropped
}

// checkNextHeader drops packets with the IPv6 extension headers of RFC 8200, which may
// precede a fragment or another transport protocol. Other extension headers are
// dropped later as an unknown transport protocol, with the reason NoService.
func checkNextHeader(p layers.IPProtocol) cornelbay.DropReason {
	switch p {
	case layers.IPProtocolIPv6Fragment:
		return cornelbay.Fragment
	case layers.IPProtocolIPv6HopByHop, layers.IPProtocolIPv6Routing,
		layers.IPProtocolIPv6Destination, layers.IPProtocolAH, layers.IPProtocolESP:
		return cornelbay.Extension
	}
	return cornelbay.NotDropped
}

func (d *innerDecoder) decodeTransport(proto uint8, src, dst netip.Addr, b []byte, pk *cornelbay.Packet) cornelbay.DropReason {
	var sp, dp uint16
	var r cornelbay.DropReason
	switch proto {
	case cornelbay.TCP.Number():
		sp, dp, r = d.decodeTCP(b, pk)
	case cornelbay.UDP.Number():
		sp, dp, r = d.decodeUDP(b)
	default:
		r = cornelbay.NoService
	}
	pk.Key = cornelbay.FlowKey{
		Source:      netip.AddrPortFrom(src, sp),
		Destination: netip.AddrPortFrom(dst, dp),
		Protocol:    proto,
	}
	return r
}

// decodeTCP decodes only ports and flags. TCP options are left to the target: an
// option that only the target supports must not break a flow here.
func (d *innerDecoder) decodeTCP(b []byte, pk *cornelbay.Packet) (src, dst uint16, r cornelbay.DropReason) {
	if len(b) < tcpHeaderBytes {
		return 0, 0, cornelbay.Truncated
	}
	if header := int(b[12]>>4) * 4; header < tcpHeaderBytes {
		return 0, 0, cornelbay.Malformed
	} else if header > len(b) {
		return 0, 0, cornelbay.Truncated
	}
	pk.Flags = tcpFlags(b[13])
	return binary.BigEndian.Uint16(b), binary.BigEndian.Uint16(b[2:]), cornelbay.NotDropped
}

func (d *innerDecoder) decodeUDP(b []byte) (src, dst uint16, r cornelbay.DropReason) {
	if len(b) < udpHeaderBytes {
		return 0, 0, cornelbay.Truncated
	}
	if n := int(binary.BigEndian.Uint16(b[4:])); n < udpHeaderBytes {
		return 0, 0, cornelbay.Malformed
	} else if n > len(b) {
		return 0, 0, cornelbay.Truncated
	}
	if err := d.udp.DecodeFromBytes(b, gopacket.NilDecodeFeedback); err != nil {
		return 0, 0, cornelbay.Malformed
	}
	return uint16(d.udp.SrcPort), uint16(d.udp.DstPort), cornelbay.NotDropped
}

// The control bits of a TCP header.
const (
	tcpFIN = 0x01
	tcpSYN = 0x02
	tcpRST = 0x04
	tcpACK = 0x10
)

func tcpFlags(bits byte) cornelbay.PacketFlags {
	var f cornelbay.PacketFlags
	if bits&tcpSYN != 0 && bits&tcpACK == 0 {
		f |= cornelbay.Opening
	}
	if bits&tcpFIN != 0 {
		f |= cornelbay.Finishing
	}
	if bits&tcpRST != 0 {
		f |= cornelbay.Resetting
	}
	return f
}
