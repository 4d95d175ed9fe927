// Package fabric implements Geneve (RFC 8926) over UDP. Hosts use it to exchange
// packets with the fabric, with targets and, for relayed packets, with each other.
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
	// MaxPacketBytes is the length of the largest IP packet that is read or sent.
	MaxPacketBytes = 9216
	// MaxDatagramBytes is the length of the largest datagram that is read or sent.
	MaxDatagramBytes = MaxHeaderBytes + MaxPacketBytes
)

// The protocol types of the Geneve payload.
const (
	etherTypeIPv4 = 0x0800
	etherTypeIPv6 = 0x86dd
)

// The flags in the second byte of a Geneve header.
const (
	flagOAM      = 0x80
	flagCritical = 0x40
)

// The layout of a Geneve option header.
const (
	optionHeaderBytes = 4
	typeCritical      = 0x80
	lengthMask        = 0x1f
)

// Decoder decodes Geneve datagrams. Its zero value drops relayed packets as
// forged. It is not safe for concurrent use.
type Decoder struct {
	// Keys verify relayed packets.
	Keys *RelayKeys

	inner innerDecoder
	names nameTable
}

// Decode decodes the Geneve datagram b into pk, which references b.
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
	if r := relay.parse(b, n); r != cornelbay.NotDropped {
		return r
	}
	if r := d.DecodeInner(b[n:], pk); r != cornelbay.NotDropped {
		return r
	}
	if !etherTypeMatches(b, pk.Inner) {
		return cornelbay.Malformed
	}
	if !relay.present() {
		return cornelbay.NotDropped
	}
	return d.decodeRelay(b, &relay, pk)
}

// DecodeInner decodes the IP packet b into pk, which references b.
func (d *Decoder) DecodeInner(b []byte, pk *cornelbay.Packet) cornelbay.DropReason {
	return d.inner.decode(b, pk)
}

// etherTypeMatches reports whether the protocol type of the datagram b is that of
// its IP packet.
func etherTypeMatches(b, inner []byte) bool {
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

// AppendHeader appends the Geneve header, without options, that precedes the IP
// packet inner.
func AppendHeader(dst, inner []byte) []byte {
	dst = append(dst, 0, 0)
	dst = binary.BigEndian.AppendUint16(dst, etherType(inner))
	return append(dst, 0, 0, 0, 0)
}
