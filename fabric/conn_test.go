package fabric_test

import (
	"net"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/fabric"
)

var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

func address(c *net.UDPConn) netip.AddrPort { return c.LocalAddr().(*net.UDPAddr).AddrPort() }

func listen(t testing.TB, n int) []*net.UDPConn {
	t.Helper()
	conns, err := fabric.Listen(anyPort, n)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		for _, c := range conns {
			_ = c.Close() // the test has ended
		}
	})
	return conns
}

func TestWriterToReader(t *testing.T) {
	is := is.New(t)
	in, out := listen(t, 1)[0], listen(t, 1)[0]
	w := fabric.NewWriter(out)
	w.Keys = relayKeys
	first, second := segment(t, tcp4, cornelbay.Opening), segment(t, udp6, 0)
	h := cornelbay.RelayHeader{From: "imlil-1", Hops: 1, Choice: "statut-1"}
	w.Forward(first, address(in))
	is.NoErr(w.Relay(second, h, address(in)))
	w.Flush()
	is.Equal(w.Failed, 0)

	r := fabric.NewReader(in)
	d := fabric.Decoder{Keys: relayKeys}
	var got []cornelbay.Packet
	for len(got) < 2 {
		n, err := r.Read()
		is.NoErr(err)
		for i := range n {
			b, complete := r.Datagram(i)
			is.True(complete)
			var pk cornelbay.Packet
			is.Equal(d.Decode(b, &pk), cornelbay.NotDropped)
			pk.Inner = append([]byte(nil), pk.Inner...)
			got = append(got, pk)
		}
	}
	is.Equal(got[0].Key, tcp4)
	is.Equal(got[0].Inner, first)
	is.Equal(got[1].Key, udp6)
	is.Equal(got[1].Relay, h)
}

func TestReaderReportsTruncatedDatagram(t *testing.T) {
	is := is.New(t)
	in, out := listen(t, 1)[0], listen(t, 1)[0]
	_, err := out.WriteToUDPAddrPort(make([]byte, fabric.MaxDatagramBytes+1), address(in))
	is.NoErr(err)
	r := fabric.NewReader(in)
	n, err := r.Read()
	is.NoErr(err)
	is.Equal(n, 1)
	_, complete := r.Datagram(0)
	is.True(!complete)
}

func TestWriterCountsFailures(t *testing.T) {
	is := is.New(t)
	in, out := listen(t, 1)[0], listen(t, 1)[0]
	w := fabric.NewWriter(out)
	w.Forward(segment(t, tcp4, 0), netip.MustParseAddrPort("[2001:db8::1]:6081")) // an IPv4 socket cannot send there
	w.Forward(segment(t, tcp4, 0), address(in))
	w.Flush()
	is.Equal(w.Failed, 1)
	n, err := fabric.NewReader(in).Read()
	is.NoErr(err)
	is.Equal(n, 1) // the rest of the batch was sent
}

func TestListenIsExclusive(t *testing.T) {
	is := is.New(t)
	at := address(listen(t, 3)[0])
	_, err := fabric.Listen(at, 3)
	is.True(err != nil) // a second process would receive some of the packets
}

// BenchmarkForward measures reading, decoding and sending one packet, and the writer
// that feeds it, which signs every second packet. Packets are processed in batches;
// done is the number of processed packets that are not yet counted as iterations.
func BenchmarkForward(b *testing.B) {
	in, out, sink := listen(b, 1)[0], listen(b, 1)[0], listen(b, 1)[0]
	feed, w, r := fabric.NewWriter(out), fabric.NewWriter(in), fabric.NewReader(in)
	w.Keys = relayKeys
	d := fabric.Decoder{Keys: relayKeys}
	packets := [][]byte{segment(b, tcp4, 0), segment(b, udp6, 0)}
	h := cornelbay.RelayHeader{From: "imlil-1", Hops: 1, Choice: "statut-1"}
	feed.Keys = relayKeys
	var pk cornelbay.Packet
	b.ReportAllocs()
	for done := 0; b.Loop(); {
		if done == 0 {
			for i := range fabric.BatchSize / 2 {
				feed.Forward(packets[i%2], address(in))
				if err := feed.Relay(packets[i%2], h, address(in)); err != nil {
					b.Fatal(err)
				}
			}
			feed.Flush()
			for done < fabric.BatchSize {
				n, err := r.Read()
				if err != nil {
					b.Fatal(err)
				}
				for i := range n {
					dg, _ := r.Datagram(i)
					if reason := d.Decode(dg, &pk); reason != cornelbay.NotDropped {
						b.Fatal(reason)
					}
					w.Forward(pk.Inner, address(sink))
				}
				w.Flush()
				done += n
			}
		}
		done--
	}
}
