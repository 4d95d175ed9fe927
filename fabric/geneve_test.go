package fabric_test

import (
	"bytes"
	"encoding/binary"
	"net/netip"
	"testing"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/fabric"
	"github.com/cornelbay/cornelbay/standin"
)

var (
	tcp4 = key("203.0.113.9:40000", "192.0.2.10:443", cornelbay.TCP)
	udp4 = key("203.0.113.9:40000", "192.0.2.10:53", cornelbay.UDP)
	tcp6 = key("[2001:db8::9]:40000", "[2001:db8:1::10]:443", cornelbay.TCP)
	udp6 = key("[2001:db8::9]:40000", "[2001:db8:1::10]:53", cornelbay.UDP)

	allKeys   = []cornelbay.FlowKey{tcp4, udp4, tcp6, udp6}
	relayKeys = fabric.NewRelayKeys([]byte("first key"), []byte("second key"))
)

func key(src, dst string, p cornelbay.Protocol) cornelbay.FlowKey {
	return cornelbay.FlowKey{
		Source: netip.MustParseAddrPort(src), Destination: netip.MustParseAddrPort(dst), Protocol: p.Number(),
	}
}

type fataler interface {
	Helper()
	Fatal(args ...any)
}

func segment(t fataler, k cornelbay.FlowKey, fl cornelbay.PacketFlags) []byte {
	t.Helper()
	b, err := standin.Segment(k, fl, []byte("payload"))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestDecodeProtocols(t *testing.T) {
	for _, k := range allKeys {
		is := is.New(t)
		inner := segment(t, k, cornelbay.Opening)
		var d fabric.Decoder
		var pk cornelbay.Packet
		is.Equal(d.Decode(fabric.Append(nil, inner), &pk), cornelbay.NotDropped)
		is.Equal(pk.Key, k)
		is.Equal(pk.Inner, inner)
		is.Equal(pk.Flags&cornelbay.Opening != 0, k.Protocol == cornelbay.TCP.Number())
		is.Equal(pk.Relay, cornelbay.RelayHeader{})
	}
}

// setByte returns a function that sets one byte of a datagram.
func setByte(at int, value byte) func([]byte) []byte {
	return func(b []byte) []byte {
		b[at] = value
		return b
	}
}

// insertOption returns a function that inserts an option after the fixed header.
func insertOption(critical byte, opt ...byte) func([]byte) []byte {
	return func(b []byte) []byte {
		b[0], b[1] = byte(len(opt)/4), critical
		return append(append(bytes.Clone(b[:fabric.HeaderBytes]), opt...), b[fabric.HeaderBytes:]...)
	}
}

func truncate(n int) func([]byte) []byte {
	return func(b []byte) []byte { return b[:len(b)-n] }
}

func TestDecodeDrops(t *testing.T) {
	const inner = fabric.HeaderBytes
	for _, c := range []struct {
		name   string
		key    cornelbay.FlowKey
		change func([]byte) []byte
		want   cornelbay.DropReason
	}{
		{"empty", tcp4, func([]byte) []byte { return nil }, cornelbay.Truncated},
		{"header cut", tcp4, func(b []byte) []byte { return b[:7] }, cornelbay.Truncated},
		{"no inner packet", tcp4, func(b []byte) []byte { return b[:8] }, cornelbay.Truncated},
		{"version", tcp4, setByte(0, 0x40), cornelbay.Malformed},
		{"oam", tcp4, setByte(1, 0x80), cornelbay.OAM},
		{"critical bit without option", tcp4, setByte(1, 0x40), cornelbay.CriticalOption},
		{"unknown critical option", tcp4, insertOption(0x40, 1, 2, 0x80, 0), cornelbay.CriticalOption},
		{"critical option, flag unset", tcp4, insertOption(0, 1, 2, 0x80, 0), cornelbay.CriticalOption},
		{"unknown option", tcp4, insertOption(0, 1, 2, 3, 1, 9, 9, 9, 9), cornelbay.NotDropped},
		{"option over the header", tcp4, insertOption(0, 1, 2, 3, 2, 9, 9, 9, 9), cornelbay.Malformed},
		{"longest options", tcp4, insertOption(0, longOptions()...), cornelbay.NotDropped},
		{"relay option too short", tcp4, insertOption(0x40, 0xff, 0xcb, 0x81, 0), cornelbay.Malformed},
		{"options over the datagram", tcp4, func(b []byte) []byte { b[0] = 0x3f; return b[:40] }, cornelbay.Truncated},
		{"type of IPv6 before IPv4", tcp4, setByte(2, 0x86), cornelbay.Malformed},
		{"ethernet inside", tcp4, func(b []byte) []byte { b[2], b[3] = 0x65, 0x58; return b }, cornelbay.Malformed},
		{"IP version 5", tcp4, setByte(inner, 0x55), cornelbay.Malformed},
		{"IPv4 header length", tcp4, setByte(inner, 0x44), cornelbay.Malformed},
		{"IPv4 header over the packet", udp4, setByte(inner, 0x4f), cornelbay.Malformed},
		{"IPv4 total length 0", tcp4, setByte(inner+3, 0), cornelbay.Malformed},
		{"IPv4 cut", tcp4, truncate(1), cornelbay.Truncated},
		{"IPv4 more fragments", tcp4, setByte(inner+6, 0x20), cornelbay.Fragment},
		{"IPv4 later fragment", tcp4, setByte(inner+7, 1), cornelbay.Fragment},
		{"IPv4 other transport", tcp4, setByte(inner+9, 1), cornelbay.NoService},
		{"IPv6 cut", tcp6, truncate(1), cornelbay.Truncated},
		{"IPv6 header cut", tcp6, func(b []byte) []byte { return b[:inner+39] }, cornelbay.Truncated},
		{"IPv6 payload length 0", tcp6, setByte(inner+5, 0), cornelbay.Malformed},
		{"IPv6 fragment", tcp6, setByte(inner+6, 44), cornelbay.Fragment},
		{"IPv6 hop by hop", tcp6, setByte(inner+6, 0), cornelbay.Extension},
		{"IPv6 routing", tcp6, setByte(inner+6, 43), cornelbay.Extension},
		{"IPv6 destination options", tcp6, setByte(inner+6, 60), cornelbay.Extension},
		{"IPv6 authentication", tcp6, setByte(inner+6, 51), cornelbay.Extension},
		{"TCP offset too small", tcp4, setByte(inner+32, 0x40), cornelbay.Malformed},
		{"TCP offset over the packet", tcp4, setByte(inner+32, 0xf0), cornelbay.Truncated},
		{"TCP header cut", tcp4, setByte(inner+3, 39), cornelbay.Truncated},
		{"UDP length too small", udp4, setByte(inner+25, 7), cornelbay.Malformed},
		{"UDP length over the packet", udp4, setByte(inner+24, 9), cornelbay.Truncated},
	} {
		t.Run(c.name, func(t *testing.T) {
			var d fabric.Decoder
			var pk cornelbay.Packet
			is.New(t).Equal(d.Decode(c.change(fabric.Append(nil, segment(t, c.key, 0))), &pk), c.want)
		})
	}
}

// longOptions returns options of 252 bytes, the maximum of a Geneve header.
func longOptions() []byte {
	b := make([]byte, 252)
	b[3] = 31
	b[128+3] = 30
	return b
}

func TestRelayRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		h := cornelbay.RelayHeader{
			From:   cornelbay.HostName(rapid.StringN(1, -1, fabric.MaxHostNameBytes).Draw(t, "from")),
			Hops:   rapid.Uint8Min(1).Draw(t, "hops"),
			Choice: cornelbay.TargetName(rapid.StringN(0, -1, fabric.MaxTargetNameBytes).Draw(t, "choice")),
		}
		inner := segment(t, rapid.SampledFrom(allKeys).Draw(t, "key"), 0)
		b, err := relayKeys.AppendRelay(nil, inner, h)
		is.NoErr(err)
		d := fabric.Decoder{Keys: relayKeys}
		var pk cornelbay.Packet
		is.Equal(d.Decode(b, &pk), cornelbay.NotDropped)
		is.Equal(pk.Relay, h)
		is.Equal(pk.Inner, inner)

		at := rapid.IntRange(0, len(b)-1).Draw(t, "at")
		b[at] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
		is.True(d.Decode(b, &pk) != cornelbay.NotDropped) // any flipped bit is detected
	})
}

func TestRelayRequiresSharedKey(t *testing.T) {
	inner := segment(t, tcp4, 0)
	h := cornelbay.RelayHeader{From: "imlil-1", Hops: 1}
	for _, c := range []struct {
		name             string
		sender, receiver *fabric.RelayKeys
		want             cornelbay.DropReason
	}{
		{"second key verifies", fabric.NewRelayKeys([]byte("second key")), relayKeys, cornelbay.NotDropped},
		{"unknown key", fabric.NewRelayKeys([]byte("other key")), relayKeys, cornelbay.Forged},
		{"no keys", relayKeys, nil, cornelbay.Forged},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b, err := c.sender.AppendRelay(nil, inner, h)
			is.NoErr(err)
			d := fabric.Decoder{Keys: c.receiver}
			var pk cornelbay.Packet
			is.Equal(d.Decode(b, &pk), c.want)
		})
	}
}

func FuzzDecode(f *testing.F) {
	for _, k := range allKeys {
		inner := segment(f, k, cornelbay.Opening)
		f.Add(fabric.Append(nil, inner))
		b, err := relayKeys.AppendRelay(nil, inner, cornelbay.RelayHeader{From: "a", Hops: 1, Choice: "b"})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Add(insertOption(0, longOptions()...)(fabric.Append(nil, segment(f, tcp4, 0))))
	f.Fuzz(func(t *testing.T, b []byte) {
		d := fabric.Decoder{Keys: relayKeys}
		before := bytes.Clone(b)
		var pk cornelbay.Packet
		r := d.Decode(b, &pk)
		if !bytes.Equal(b, before) {
			t.Fatal("decoding changed the datagram")
		}
		if r == cornelbay.NotDropped {
			checkAgainstGopacket(t, pk)
		}
	})
}

func FuzzDecodeInner(f *testing.F) {
	for _, k := range allKeys {
		f.Add(segment(f, k, cornelbay.Finishing))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var d fabric.Decoder
		var pk cornelbay.Packet
		if d.DecodeInner(b, &pk) == cornelbay.NotDropped {
			checkAgainstGopacket(t, pk)
		}
	})
}

// checkAgainstGopacket compares a decoded packet with the result of gopacket.
func checkAgainstGopacket(t *testing.T, pk cornelbay.Packet) {
	t.Helper()
	first := layers.LayerTypeIPv4
	if pk.Inner[0]>>4 == 6 {
		first = layers.LayerTypeIPv6
	}
	p := gopacket.NewPacket(pk.Inner, first, gopacket.Default)
	n := p.NetworkLayer()
	if n == nil {
		t.Fatal("gopacket sees no network layer")
	}
	src, dst := n.NetworkFlow().Endpoints()
	if !bytes.Equal(src.Raw(), pk.Key.Source.Addr().AsSlice()) || !bytes.Equal(dst.Raw(), pk.Key.Destination.Addr().AsSlice()) {
		t.Fatalf("addresses %v differ from gopacket's %v", pk.Key, n.NetworkFlow())
	}
	if n.NetworkFlow().EndpointType() == layers.EndpointIPv4 && binary.BigEndian.Uint16(pk.Inner[6:])&0x3fff != 0 {
		t.Fatal("fragment was not dropped")
	}
	tr := p.TransportLayer()
	if tr == nil {
		return // gopacket rejects some TCP options, which the decoder leaves to the target
	}
	sp, dp := tr.TransportFlow().Endpoints()
	if binary.BigEndian.Uint16(sp.Raw()) != pk.Key.Source.Port() || binary.BigEndian.Uint16(dp.Raw()) != pk.Key.Destination.Port() {
		t.Fatalf("ports %v differ from gopacket's %v", pk.Key, tr.TransportFlow())
	}
}
