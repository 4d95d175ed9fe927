package flow_test

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/agree"
	"github.com/cornelbay/cornelbay/flow"
	"github.com/cornelbay/cornelbay/track"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func makeService(name string, n int, p cornelbay.Protocol, last byte) cornelbay.Service {
	s := cornelbay.Service{
		Name: cornelbay.ServiceName(name), Protocol: p, Port: 443,
		Address: netip.AddrFrom4([4]byte{192, 0, 2, last}),
	}
	for i := range n {
		s.Targets = append(s.Targets, cornelbay.Target{
			Name: cornelbay.TargetName(fmt.Sprintf("%s-%d", name, i+1)), DataCentre: "imlil",
			Tunnel: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, last, 0, byte(i + 1)}), 6081),
		})
	}
	return s
}

// newSingleHost returns the control of a host without peers, and a time at
// which it is ready.
func newSingleHost(p *flow.Plane, services ...cornelbay.Service) (*agree.Control, time.Time) {
	c := &agree.Control{Self: "a", Plane: p, Generation: 1}
	c.SetMembers(start, cornelbay.Members{Live: []cornelbay.Host{{Name: "a"}}})
	c.SetServices(start, services, nil)
	now := start.Add(2 * time.Second)
	c.Tick(now)
	return c, now
}

func key(s cornelbay.Service, n int) cornelbay.FlowKey {
	var a [4]byte
	binary.BigEndian.PutUint32(a[:], 10<<24|uint32(n>>14))
	return cornelbay.FlowKey{
		Source:      netip.AddrPortFrom(netip.AddrFrom4(a), uint16(1024+n&(1<<14-1))),
		Destination: netip.AddrPortFrom(s.Address, s.Port), Protocol: s.Protocol.Number(),
	}
}

func TestDecideKeepsService(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var services []cornelbay.Service
		owner := make(map[cornelbay.TargetName]cornelbay.Service)
		protocols := []cornelbay.Protocol{cornelbay.TCP, cornelbay.UDP}
		for i := range rapid.IntRange(1, 4).Draw(t, "services") {
			s := makeService(fmt.Sprint("s", i), rapid.IntRange(1, 5).Draw(t, "targets"),
				rapid.SampledFrom(protocols).Draw(t, "protocol"), byte(i))
			services = append(services, s)
			for _, tg := range s.Targets {
				owner[tg.Name] = s
			}
		}
		var p flow.Plane
		_, now := newSingleHost(&p, services...)
		for range 50 {
			pk := cornelbay.Packet{
				Key: cornelbay.FlowKey{
					Source: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), rapid.Uint16().Draw(t, "port")),
					Destination: netip.AddrPortFrom(
						netip.AddrFrom4([4]byte{192, 0, 2, rapid.ByteRange(0, 5).Draw(t, "address")}),
						rapid.SampledFrom([]uint16{443, 80}).Draw(t, "to")),
					Protocol: rapid.SampledFrom([]uint8{6, 17, 1}).Draw(t, "number"),
				},
				Flags: cornelbay.PacketFlags(rapid.ByteRange(0, 7).Draw(t, "flags")),
			}
			if rapid.Bool().Draw(t, "relayed") {
				any := services[rapid.IntRange(0, len(services)-1).Draw(t, "choice")].Targets[0].Name
				from := rapid.SampledFrom([]cornelbay.HostName{"a", "b"}).Draw(t, "from")
				pk.Relay = cornelbay.RelayHeader{From: from, Hops: 1, Choice: any}
			}
			v := p.Decide(now, &pk)
			if v.Action != cornelbay.Forward {
				continue
			}
			s := owner[v.Target]
			if pk.Key.Destination != netip.AddrPortFrom(s.Address, s.Port) || pk.Key.Protocol != s.Protocol.Number() {
				t.Fatalf("packet %+v went to %s", pk.Key, v.Target)
			}
		}
	})
}

func TestDecideDropReasons(t *testing.T) {
	s := makeService("statut", 2, cornelbay.TCP, 10)
	drained := makeService("carto", 1, cornelbay.TCP, 11)
	drained.Targets[0].Drain = true
	var ready, empty flow.Plane
	_, now := newSingleHost(&ready, s, drained)
	unknown := key(s, 1)
	unknown.Protocol = cornelbay.UDP.Number()
	tests := []struct {
		name  string
		plane *flow.Plane
		key   cornelbay.FlowKey
		want  cornelbay.DropReason
	}{
		{"no snapshot", &empty, key(s, 1), cornelbay.NoConfig},
		{"other protocol", &ready, unknown, cornelbay.NoService},
		{"nothing to place on", &ready, key(drained, 1), cornelbay.NoTarget},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			v := tt.plane.Decide(now, &cornelbay.Packet{Key: tt.key, Flags: cornelbay.Opening})
			is.Equal(v.Action, cornelbay.Drop)
			is.Equal(v.Reason, tt.want)
			is.Equal(tt.plane.Counters.Dropped(tt.want), uint64(1))
		})
	}
}

func BenchmarkDecide(b *testing.B) {
	const flows = 1_000_000
	s := makeService("statut", 14, cornelbay.TCP, 10)
	p := flow.Plane{HashKey: [2]uint64{1, 2}, Table: track.Table{MaxRecords: 2 * flows}}
	_, now := newSingleHost(&p, s)
	var pk cornelbay.Packet
	for i := range flows {
		pk.Key = key(s, i)
		p.Decide(now, &pk)
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		pk.Key = key(s, i)
		if p.Decide(now, &pk).Action != cornelbay.Forward {
			b.Fatal("not forwarded")
		}
		i = (i + 1) % flows
	}
	b.ReportMetric(float64(p.Table.Bytes())/float64(p.Table.Len()), "B/flow")
}
