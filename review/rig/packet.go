package rig

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// The layout of a packet, as the platform's protocol page gives it.
const (
	headBytes    = 31
	maxData      = 1200
	numberBytes  = 8
	echoOffset   = 11
	sumOffset    = 27
	flagReset    = 4
	flagAck      = 8
	flagOpen     = 16
	flagFinish   = 32
	flagBounced  = 128
	datagramSize = numberBytes + headBytes + maxData + 1
)

// key names a flow by the address of its caller and of its service.
type key struct{ source, destination netip.AddrPort }

func (k key) reversed() key { return key{k.destination, k.source} }

// packet is a decoded packet. Its key is the direction in which it travels.
type packet struct {
	key      key
	flags    byte
	seq, ack uint32
	echo     uint32
	data     []byte
}

func (p packet) opening() bool { return p.flags&(flagOpen|flagAck) == flagOpen }

// encode returns the bytes of a packet with its keyed sum.
func (p packet) encode() []byte {
	b := make([]byte, headBytes+len(p.data))
	b[0] = p.flags
	binary.BigEndian.PutUint32(b[1:], p.seq)
	binary.BigEndian.PutUint32(b[5:], p.ack)
	binary.BigEndian.PutUint16(b[9:], uint16(len(p.data)))
	binary.BigEndian.PutUint32(b[echoOffset:], p.echo)
	binary.BigEndian.PutUint16(b[15:], p.key.destination.Port())
	binary.BigEndian.PutUint16(b[17:], p.key.source.Port())
	source, destination := p.key.source.Addr().As4(), p.key.destination.Addr().As4()
	copy(b[19:], source[:])
	copy(b[23:], destination[:])
	copy(b[headBytes:], p.data)
	binary.BigEndian.PutUint32(b[sumOffset:], sum(b))
	return b
}

// sum is the keyed sum over all fields except echo, the bit for bounced packets and itself.
func sum(b []byte) uint32 {
	c := append([]byte("review"), b...)
	h := c[len("review"):]
	h[0] &^= flagBounced
	clear(h[echoOffset : echoOffset+4])
	clear(h[sumOffset : sumOffset+4])
	return uint32(xxhash.Sum64(c))
}

// decode decodes a packet and reports whether its sender wrote it so. Resets of the system have
// a sum of 0.
func decode(b []byte) (packet, bool) {
	if len(b) < headBytes || int(binary.BigEndian.Uint16(b[9:])) != len(b)-headBytes {
		return packet{}, false
	}
	addr := func(at, port int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[at:])), binary.BigEndian.Uint16(b[port:]))
	}
	p := packet{
		key: key{addr(19, 17), addr(23, 15)}, flags: b[0], seq: binary.BigEndian.Uint32(b[1:]),
		ack: binary.BigEndian.Uint32(b[5:]), echo: binary.BigEndian.Uint32(b[echoOffset:]),
		data: append([]byte(nil), b[headBytes:]...),
	}
	written := binary.BigEndian.Uint32(b[sumOffset:])
	return p, written == sum(b) || written == 0 && p.flags == flagReset && len(p.data) == 0
}
