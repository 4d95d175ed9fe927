package traffic

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelbay/cornelbay"
)

func newPacket(port int, payload byte) *cornelbay.Packet {
	return &cornelbay.Packet{
		Key: cornelbay.FlowKey{
			Source:      netip.AddrPortFrom(netip.MustParseAddr("203.0.113.9"), uint16(port)),
			Destination: netip.MustParseAddrPort("192.0.2.10:443"), Protocol: cornelbay.TCP.Number(),
		},
		Inner: []byte{payload},
	}
}

func TestHoldBufferKeepsOrderAndCopies(t *testing.T) {
	is := is.New(t)
	var h holdBuffer
	now := time.Unix(1, 0)
	b := newPacket(1, 1)
	first, ok := h.add(now, b)
	is.True(first && ok)
	b.Inner[0] = 9 // the reader reuses its buffer
	first, ok = h.add(now, newPacket(1, 2))
	is.True(!first && ok)
	got := h.take(b.Key)
	is.Equal(len(got), 2)
	is.Equal(got[0].packet.Inner[0], byte(1))
	is.Equal(got[1].packet.Inner[0], byte(2))
	is.Equal(h.count(), 0)
	is.Equal(len(h.take(b.Key)), 0)
}

func TestHoldBufferIsBounded(t *testing.T) {
	is := is.New(t)
	var h holdBuffer
	now := time.Unix(1, 0)
	for i := range maxHeldPerFlow + 3 {
		_, ok := h.add(now, newPacket(1, 1))
		is.Equal(ok, i < maxHeldPerFlow)
	}
	for i := range maxHeld {
		h.add(now, newPacket(2+i, 1))
	}
	is.Equal(h.count(), maxHeld)
}

func TestHoldBufferExpiresByAge(t *testing.T) {
	is := is.New(t)
	var h holdBuffer
	now := time.Unix(1, 0)
	h.add(now, newPacket(1, 1))
	h.add(now.Add(maxHoldAge/2), newPacket(1, 2))
	h.add(now, newPacket(2, 3))
	is.Equal(h.expire(now.Add(maxHoldAge-1)), 0)
	is.Equal(h.expire(now.Add(maxHoldAge)), 2)
	is.Equal(h.count(), 1)
	is.Equal(h.take(newPacket(1, 0).Key)[0].packet.Inner[0], byte(2))
}
