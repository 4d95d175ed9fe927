package fabric_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/agree"
	"github.com/cornelbay/cornelbay/fabric"
	"github.com/cornelbay/cornelbay/flow"
)

// drawService draws a service whose address, port and protocol are selected by n
// from a few values each.
func drawService(t *rapid.T, n int) cornelbay.Service {
	s := cornelbay.Service{
		Name:     cornelbay.ServiceName(rapid.StringMatching(`s[0-9]`).Draw(t, "name")),
		Address:  netip.AddrFrom4([4]byte{192, 0, 2, byte(n % 3)}),
		Port:     uint16(443 + n/3%2),
		Protocol: []cornelbay.Protocol{cornelbay.TCP, cornelbay.UDP}[n/6%2],
	}
	if n >= 12 {
		s.Address = netip.MustParseAddr("2001:db8::1")
	}
	for i := range rapid.IntRange(1, 4).Draw(t, "targets") {
		s.Targets = append(s.Targets, cornelbay.Target{
			Name: cornelbay.TargetName(string(rune('a'+n)) + string(rune('0'+i))), DataCentre: "imlil",
			Tunnel: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n), byte(i)}), 6081),
		})
	}
	return s
}

func TestPacketNeverReachesAnotherService(t *testing.T) {
	forwarded := 0
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		var services []cornelbay.Service
		owner := make(map[netip.AddrPort]cornelbay.Service)
		for _, n := range rapid.SliceOfNDistinct(rapid.IntRange(0, 13), 1, 6, rapid.ID[int]).Draw(t, "services") {
			s := drawService(t, n)
			services = append(services, s)
			for _, tg := range s.Targets {
				owner[tg.Tunnel] = s
			}
		}
		var plane flow.Plane
		c := agree.Control{Self: "imlil-1", Plane: &plane}
		now := time.Unix(1, 0)
		c.SetServices(now, services, nil)
		var warm []cornelbay.TargetState
		for _, s := range services {
			for _, tg := range s.Targets {
				warm = append(warm, cornelbay.TargetState{Target: tg.Name, Phase: cornelbay.Warm, Permille: cornelbay.FullPermille})
			}
		}
		c.SetStates(now, warm)
		c.SetMembers(now, cornelbay.Members{Live: []cornelbay.Host{{Name: "imlil-1", DataCentre: "imlil"}}})
		for range 50 { // until the host, which has no peers, activates its own tables
			now = now.Add(100 * time.Millisecond)
			c.Tick(now)
		}

		var d fabric.Decoder
		var pk cornelbay.Packet
		for range 20 {
			s := drawService(t, rapid.IntRange(0, 13).Draw(t, "to"))
			k := cornelbay.FlowKey{
				Source:      netip.AddrPortFrom(s.Address, rapid.Uint16().Draw(t, "port")),
				Destination: netip.AddrPortFrom(s.Address, s.Port),
				Protocol:    s.Protocol.Number(),
			}
			b := fabric.Append(nil, segment(t, k, cornelbay.Opening))
			for range rapid.IntRange(0, 2).Draw(t, "changes") {
				b[rapid.IntRange(0, len(b)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "value")
			}
			if d.Decode(b, &pk) != cornelbay.NotDropped {
				continue
			}
			v := plane.Decide(now, &pk)
			if v.Action != cornelbay.Forward {
				continue
			}
			forwarded++
			to, ok := owner[v.Tunnel]
			is.True(ok)
			is.Equal(netip.AddrPortFrom(to.Address, to.Port), pk.Key.Destination)
			is.Equal(to.Protocol.Number(), pk.Key.Protocol)
		}
	})
	is.New(t).True(forwarded > 0)
}
