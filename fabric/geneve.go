// Package fabric speaks Geneve (RFC 8926) over UDP with the fabric, with
// targets and, for relayed packets, with other hosts.
package fabric

import (
	"encoding/binary"

	"github.com/cornelbay/cornelbay"
)

// The sizes of Geneve datagrams in bytes.
const (
	// HeaderBytes is the length of a Geneve header without options.
	HeaderBytes = 8
	// MaxHeaderBytes is the length of the longest Geneve header.
	MaxHeaderBytes = HeaderBytes + 63*4
	// MaxPacketBytes is the largest IP packet that is read or sent.
	MaxPacketBytes = 9216
	// MaxDatagramBytes is the largest datagram that is read or sent.
	MaxDatagramBytes = MaxHeaderBytes + MaxPacketBytes
)

// The protocol types of Geneve's payload.
const (
	etherTypeIPv4 = 0x0800
	etherTypeIPv6 = 0x86dd
)

// The flags in the second byte of a Geneve header.
const (
	flagOAM      = 0x80
	flagCritical = 0x40
)

// The parts of a Geneve option's header.
const (
	optionHeaderBytes = 4
	typeCritical      = 0x80
	lengthMask        = 0x1f
)

// Decoder reads Geneve datagrams; its zero value takes no relayed packets. One
// goroutine uses it.
type Decoder struct {
	// Keys authenticate relayed packets.
	Keys *RelayKeys

	inner innerDecoder
	names names
}

// Decode reads the Geneve datagram b into pk, which refers to b.
func (d *Decoder) Decode(b []byte, pk *cornelbay.Packet) cornelbay.DropReason {
	*pk = cornelbay.Packet{}
	if len(b) < HeaderBytes {
		return cornelbay.Truncated
	}
	n := HeaderBytes + int(b[0]&0x3f)*4
	switch {
	case b[0]>>6 != 0:
		return cornelbay.Malformed
	case b[1]&flagOAM != 0:
		return cornelbay.OAM
	case n > len(b):
		return cornelbay.Truncated
	}
	var relay relayOptions
	if r := relay.read(b, n); r != cornelbay.NotDropped {
		return r
	}
	if r := d.DecodeInner(b[n:], pk); r != cornelbay.NotDropped {
		return r
	}
	if !matches(b, pk.Inner) {
		return cornelbay.Malformed
	}
	if !relay.present() {
		return cornelbay.NotDropped
	}
	return d.relayed(b, &relay, pk)
}

// DecodeInner reads an IP packet into pk, which refers to b.
func (d *Decoder) DecodeInner(b []byte, pk *cornelbay.Packet) cornelbay.DropReason {
	return d.inner.decode(b, pk)
}

// matches reports whether the protocol type of the datagram b is that of its
// IP packet.
func matches(b, inner []byte) bool {
	return binary.BigEndian.Uint16(b[2:]) == etherType(inner)
}

func etherType(inner []byte) uint16 {
	if len(inner) > 0 && inner[0]>>4 == 6 {
		return etherTypeIPv6
	}
	return etherTypeIPv4
}

// Append appends the Geneve datagram that carries the IP packet inner.
func Append(dst, inner []byte) []byte {
	return append(AppendHeader(dst, inner), inner...)
}

// AppendHeader appends the Geneve header, without options, that goes before
// the IP packet inner.
func AppendHeader(dst, inner []byte) []byte {
	dst = append(dst, 0, 0)
	dst = binary.BigEndian.AppendUint16(dst, etherType(inner))
	return append(dst, 0, 0, 0, 0)
}
