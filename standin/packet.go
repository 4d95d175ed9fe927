package standin

import (
	"github.com/ansel1/merry/v2"
	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"github.com/cornelbay/cornelbay"
)

const hopLimit = 64

// Segment returns an IP packet of a flow that carries payload in a TCP segment or
// UDP datagram. The key determines the protocol and the IP version.
func Segment(key cornelbay.FlowKey, fl cornelbay.PacketFlags, payload []byte) ([]byte, error) {
	ip := network(key)
	t, err := transport(key, fl, ip.(gopacket.NetworkLayer))
	if err != nil {
		return nil, err
	}
	buf := gopacket.NewSerializeBuffer()
	opts := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	if err := gopacket.SerializeLayers(buf, opts, ip, t, gopacket.Payload(payload)); err != nil {
		return nil, merry.Prepend(err, "segment")
	}
	return buf.Bytes(), nil
}

func network(key cornelbay.FlowKey) gopacket.SerializableLayer {
	src, dst := key.Source.Addr().AsSlice(), key.Destination.Addr().AsSlice()
	if key.Destination.Addr().Is6() {
		return &layers.IPv6{
			Version: 6, HopLimit: hopLimit, NextHeader: layers.IPProtocol(key.Protocol), SrcIP: src, DstIP: dst,
		}
	}
	return &layers.IPv4{
		Version: 4, TTL: hopLimit, Protocol: layers.IPProtocol(key.Protocol), SrcIP: src, DstIP: dst,
	}
}

func transport(key cornelbay.FlowKey, fl cornelbay.PacketFlags, ip gopacket.NetworkLayer) (gopacket.SerializableLayer, error) {
	src, dst := key.Source.Port(), key.Destination.Port()
	if key.Protocol == cornelbay.UDP.Number() {
		u := &layers.UDP{SrcPort: layers.UDPPort(src), DstPort: layers.UDPPort(dst)}
		return u, u.SetNetworkLayerForChecksum(ip)
	}
	t := &layers.TCP{
		SrcPort: layers.TCPPort(src), DstPort: layers.TCPPort(dst),
		SYN: fl&cornelbay.Opening != 0, ACK: fl&cornelbay.Opening == 0,
		FIN: fl&cornelbay.Finishing != 0, RST: fl&cornelbay.Resetting != 0, Window: 65535,
	}
	return t, t.SetNetworkLayerForChecksum(ip)
}
