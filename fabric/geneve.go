// Package fabric speaks Geneve (RFC 8926) over UDP with the fabric, with
// targets and, for relayed packets, with other hosts.
package fabric

import (
	"encoding/binary"
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"github.com/cornelbay/cornelbay"
)

// HeaderBytes is the length of a Geneve header without options.
const HeaderBytes = 8

// MaxPacketBytes is the largest packet that is read or sent.
const MaxPacketBytes = 9216

// Decoder reads Geneve datagrams; its zero value works. One goroutine uses it.
type Decoder struct {
	geneve layers.Geneve
	ip4    layers.IPv4
	ip6    layers.IPv6
	tcp    layers.TCP
	udp    layers.UDP
}

// Decode reads the Geneve datagram b into pk, which refers to b.
func (d *Decoder) Decode(b []byte, pk *cornelbay.Packet) cornelbay.DropReason {
	if err := d.geneve.DecodeFromBytes(b, gopacket.NilDecodeFeedback); err != nil {
		return cornelbay.Malformed
	}
	return d.DecodeInner(d.geneve.LayerPayload(), pk)
}

// DecodeInner reads an IP packet into pk, which refers to b.
func (d *Decoder) DecodeInner(b []byte, pk *cornelbay.Packet) cornelbay.DropReason {
	if len(b) == 0 {
		return cornelbay.Truncated
	}
	*pk = cornelbay.Packet{Inner: b}
	if b[0]>>4 == 6 {
		return d.decode6(b, pk)
	}
	return d.decode4(b, pk)
}

func (d *Decoder) decode4(b []byte, pk *cornelbay.Packet) cornelbay.DropReason {
	if err := d.ip4.DecodeFromBytes(b, gopacket.NilDecodeFeedback); err != nil {
		return cornelbay.Malformed
	}
	if d.ip4.Flags&layers.IPv4MoreFragments != 0 || d.ip4.FragOffset != 0 {
		return cornelbay.Fragment
	}
	src, _ := netip.AddrFromSlice(d.ip4.SrcIP)
	dst, _ := netip.AddrFromSlice(d.ip4.DstIP)
	return d.transport(uint8(d.ip4.Protocol), src, dst, d.ip4.Payload, pk)
}

func (d *Decoder) decode6(b []byte, pk *cornelbay.Packet) cornelbay.DropReason {
	if err := d.ip6.DecodeFromBytes(b, gopacket.NilDecodeFeedback); err != nil {
		return cornelbay.Malformed
	}
	src, _ := netip.AddrFromSlice(d.ip6.SrcIP)
	dst, _ := netip.AddrFromSlice(d.ip6.DstIP)
	return d.transport(uint8(d.ip6.NextHeader), src, dst, d.ip6.Payload, pk)
}

func (d *Decoder) transport(proto uint8, src, dst netip.Addr, b []byte, pk *cornelbay.Packet) cornelbay.DropReason {
	var sp, dp uint16
	switch proto {
	case cornelbay.TCP.Number():
		if err := d.tcp.DecodeFromBytes(b, gopacket.NilDecodeFeedback); err != nil {
			return cornelbay.Truncated
		}
		sp, dp = uint16(d.tcp.SrcPort), uint16(d.tcp.DstPort)
		pk.Flags = flags(&d.tcp)
	case cornelbay.UDP.Number():
		if err := d.udp.DecodeFromBytes(b, gopacket.NilDecodeFeedback); err != nil {
			return cornelbay.Truncated
		}
		sp, dp = uint16(d.udp.SrcPort), uint16(d.udp.DstPort)
	default:
		return cornelbay.NoService
	}
	pk.Key = cornelbay.FlowKey{
		Source:      netip.AddrPortFrom(src, sp),
		Destination: netip.AddrPortFrom(dst, dp),
		Protocol:    proto,
	}
	return cornelbay.NotDropped
}

func flags(t *layers.TCP) cornelbay.PacketFlags {
	var f cornelbay.PacketFlags
	if t.SYN && !t.ACK {
		f |= cornelbay.Opening
	}
	if t.FIN {
		f |= cornelbay.Finishing
	}
	if t.RST {
		f |= cornelbay.Resetting
	}
	return f
}

// The protocol types of Geneve's payload.
const (
	etherTypeIPv4 = 0x0800
	etherTypeIPv6 = 0x86dd
)

// Append appends the Geneve datagram that carries the IP packet inner.
func Append(dst, inner []byte) []byte {
	t := uint16(etherTypeIPv4)
	if len(inner) > 0 && inner[0]>>4 == 6 {
		t = etherTypeIPv6
	}
	dst = append(dst, 0, 0)
	dst = binary.BigEndian.AppendUint16(dst, t)
	dst = append(dst, 0, 0, 0, 0)
	return append(dst, inner...)
}
