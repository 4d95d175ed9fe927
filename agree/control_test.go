package agree

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/flow"
	"github.com/cornelbay/cornelbay/peer"
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
func newSingleHost(p *flow.Plane, services ...cornelbay.Service) (*Control, time.Time) {
	c := &Control{Self: "a", Plane: p, Generation: 1}
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

// cluster runs several hosts whose messages arrive immediately, except those to
// and from isolated hosts.
type cluster struct {
	t        *testing.T
	now      time.Time
	hosts    map[cornelbay.HostName]*Control
	names    []cornelbay.HostName
	live     []cornelbay.Host
	isolated map[cornelbay.HostName]bool
	// services are the services given to hosts that start.
	services []cornelbay.Service
	out      map[cornelbay.DataCentreName]bool
}

func newCluster(t *testing.T, n int, services ...cornelbay.Service) *cluster {
	r := &cluster{
		t: t, now: start, hosts: make(map[cornelbay.HostName]*Control),
		isolated: make(map[cornelbay.HostName]bool), services: services,
	}
	for i := range n {
		r.start(cornelbay.HostName(fmt.Sprint("host-", i)))
	}
	r.run(5 * time.Second)
	for _, name := range r.names {
		if !r.hosts[name].Ready() {
			t.Fatalf("%s is not ready", name)
		}
	}
	return r
}

func (r *cluster) start(name cornelbay.HostName) {
	c := &Control{Self: name, Plane: &flow.Plane{HashKey: [2]uint64{1, 2}}, Generation: 1}
	r.hosts[name] = c
	r.names = append(r.names, name)
	r.live = append(r.live, cornelbay.Host{Name: name, DataCentre: "imlil", Incarnation: 1})
	r.members(nil)
	r.applyEffects(name, c.SetServices(r.now, r.services, r.out))
}

// members sets the live and the missing hosts on every host.
func (r *cluster) members(missing []cornelbay.Host) {
	for name, c := range r.hosts {
		r.applyEffects(name, c.SetMembers(r.now, cornelbay.Members{Live: r.live, Missing: missing}))
	}
}

// killHost stops a host abruptly; it becomes missing for the others.
func (r *cluster) killHost(at int) {
	h := r.live[at]
	delete(r.hosts, h.Name)
	r.names = append(r.names[:at:at], r.names[at+1:]...)
	r.live = append(r.live[:at:at], r.live[at+1:]...)
	r.members([]cornelbay.Host{h})
}

func (r *cluster) applyEffects(from cornelbay.HostName, effects []cornelbay.Effect) {
	for _, e := range effects {
		s, ok := e.(cornelbay.Send)
		if to := r.hosts[s.To]; ok && to != nil && !r.isolated[from] && !r.isolated[s.To] {
			r.applyEffects(s.To, to.Receive(r.now, from, s.Message))
		}
	}
}

func (r *cluster) run(span time.Duration) {
	for end := r.now.Add(span); r.now.Before(end); {
		r.now = r.now.Add(100 * time.Millisecond)
		for _, name := range r.names {
			r.applyEffects(name, r.hosts[name].Tick(r.now))
		}
	}
}

// apply sets the changed services on the named hosts, or on all.
func (r *cluster) apply(names ...cornelbay.HostName) {
	if len(names) == 0 {
		names = r.names
	}
	for _, name := range names {
		c := r.hosts[name]
		c.Generation++
		r.applyEffects(name, c.SetServices(r.now, r.services, r.out))
	}
}

// send delivers a packet to a host and follows its relays.
func (r *cluster) send(at int, k cornelbay.FlowKey, f cornelbay.PacketFlags) cornelbay.Verdict {
	pk := cornelbay.Packet{Key: k, Flags: f}
	c := r.hosts[r.names[at]]
	for {
		v := c.Plane.Decide(r.now, &pk)
		if v.Action != cornelbay.Relay {
			return v
		}
		if c = r.hosts[v.Host]; c == nil {
			return cornelbay.Verdict{}
		}
		pk.Relay = v.Relay
	}
}

func withDrainedTarget(s cornelbay.Service, at int) cornelbay.Service {
	s.Targets = append([]cornelbay.Target(nil), s.Targets...)
	s.Targets[at].Drain = true
	return s
}

const flowCount = 400

func TestDrainKeepsFlows(t *testing.T) {
	tests := []struct {
		name string
		// fault is injected between the start of the flows and their next
		// packets.
		fault func(r *cluster)
	}{
		{"no fault", func(*cluster) {}},
		{"a host dies", func(r *cluster) { r.killHost(2) }},
		{"a host joins", func(r *cluster) { r.start("host-9"); r.run(5 * time.Second) }},
		{"a host dies and another joins", func(r *cluster) { r.killHost(1); r.start("host-9"); r.run(5 * time.Second) }},
		{"a planned stop", func(r *cluster) {
			c := r.hosts[r.names[0]]
			r.applyEffects(c.Self, c.Stop(r.now))
			for !c.Stopped(r.now) {
				r.run(time.Second)
			}
			r.killHost(0)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := makeService("statut", 6, cornelbay.TCP, 10)
			r := newCluster(t, 5, s)
			first := make(map[int]cornelbay.TargetName)
			for i := range flowCount {
				first[i] = r.send(i%5, key(s, i), cornelbay.Opening).Target
			}
			r.services = []cornelbay.Service{withDrainedTarget(s, 0)}
			r.apply()
			r.run(time.Second)
			for i := flowCount; i < 2*flowCount; i++ {
				first[i] = r.send(i%5, key(s, i), cornelbay.Opening).Target
				is.True(first[i] != s.Targets[0].Name) // a draining target gets no new flows
			}
			tt.fault(r)
			for i := range 2 * flowCount {
				v := r.send((i+1)%len(r.names), key(s, i), 0)
				is.Equal(v.Target, first[i]) // an established flow keeps its target
			}
		})
	}
}

func TestChangeWaitsForEveryHost(t *testing.T) {
	is := is.New(t)
	s := makeService("statut", 6, cornelbay.TCP, 10)
	r := newCluster(t, 4, s)
	r.isolated["host-3"] = true
	r.services = []cornelbay.Service{withDrainedTarget(s, 0)}
	r.apply("host-0", "host-1", "host-2")
	r.run(ExclusionTimeout - 500*time.Millisecond)
	on := func(from int) int {
		n := 0
		for i := from; i < from+flowCount; i++ {
			if r.send(i%3, key(s, i), cornelbay.Opening).Target == s.Targets[0].Name {
				n++
			}
		}
		return n
	}
	is.True(on(0) > 0) // no epoch is activated while a live host has not prepared it
	r.run(time.Second)
	is.Equal(on(flowCount), 0) // the draining target still gets no new flows after ExclusionTimeout
}

func TestOldEpochsEndWhenTheirFlowsAreIdle(t *testing.T) {
	is := is.New(t)
	s := makeService("probe", 6, cornelbay.UDP, 10)
	r := newCluster(t, 3, s)
	var old cornelbay.FlowKey
	for i := 0; ; i++ {
		old = key(s, i)
		if r.send(0, old, 0).Target == s.Targets[0].Name {
			break
		}
	}
	r.services = []cornelbay.Service{withDrainedTarget(s, 0)}
	r.apply()
	epochs := func() int { return r.hosts["host-1"].Status().Services[0].Epochs }
	for range 4 {
		r.run(track.IdleUDP / 3)
		is.Equal(r.send(1, old, 0).Target, s.Targets[0].Name)
		is.True(epochs() > 1) // an active flow keeps the earlier epochs
	}
	r.run(track.IdleUDP + time.Minute)
	is.Equal(epochs(), 1)
	is.Equal(r.hosts["host-2"].Status().Services[0].Ambiguous, 0)
}

func TestOldEpochsStayUntilNewHostWasUpForIdleTime(t *testing.T) {
	is := is.New(t)
	s := makeService("probe", 6, cornelbay.UDP, 10)
	r := newCluster(t, 3, s)
	r.services = []cornelbay.Service{withDrainedTarget(s, 0)}
	r.apply()
	r.run(track.IdleUDP - time.Minute)
	r.start("host-9")
	r.run(track.IdleUDP - 10*time.Second)
	is.True(r.hosts["host-1"].Status().Services[0].Epochs > 1) // the new host was not up for the idle time
	r.run(2 * time.Minute)
	is.Equal(r.hosts["host-1"].Status().Services[0].Epochs, 1)
}

func TestUDPFlowsOfAmbiguousBuckets(t *testing.T) {
	is := is.New(t)
	s := makeService("probe", 6, cornelbay.UDP, 10)
	r := newCluster(t, 4, s)
	before := make(map[int]cornelbay.TargetName)
	for i := range flowCount {
		before[i] = r.send(i%4, key(s, i), 0).Target
	}
	r.services = []cornelbay.Service{withDrainedTarget(s, 0)}
	r.apply()
	r.run(time.Second)
	for i := range flowCount {
		is.Equal(r.send((i+1)%4, key(s, i), 0).Target, before[i]) // some host has a record of the flow
	}
	for i := flowCount; i < 2*flowCount; i++ {
		v := r.send(i%4, key(s, i), 0)
		is.True(v.Target != "" && v.Target != s.Targets[0].Name) // an unrecorded flow is treated as new
		is.Equal(r.send((i+1)%4, key(s, i), 0).Target, v.Target)
	}
}

func TestTargetInDataCentreThatIsOutGetsNoPackets(t *testing.T) {
	is := is.New(t)
	s := makeService("statut", 6, cornelbay.TCP, 10)
	s.Targets[1].DataCentre = "todra"
	r := newCluster(t, 3, s)
	gone := make(map[int]bool)
	for i := range flowCount {
		gone[i] = r.send(i%3, key(s, i), cornelbay.Opening).Target == s.Targets[1].Name
	}
	r.out = map[cornelbay.DataCentreName]bool{"todra": true}
	r.apply()
	r.run(ExclusionTimeout + 200*time.Millisecond)
	for i := range 2 * flowCount {
		is.True(r.send(i%3, key(s, i), 0).Target != s.Targets[1].Name)
	}
	r.out = nil
	r.apply()
	r.run(3 * time.Second)
	n := 0
	for i := range flowCount {
		if r.send(i%3, key(s, 10000+i), cornelbay.Opening).Target == s.Targets[1].Name {
			n++
		}
		if gone[i] {
			is.True(r.send(0, key(s, i), 0).Target != s.Targets[1].Name) // dropped flows do not resume
		}
	}
	is.True(n > 0)
}

func TestCutOffHostSendsNothingToOtherDataCentre(t *testing.T) {
	is := is.New(t)
	s := makeService("statut", 2, cornelbay.TCP, 10)
	s.Targets[1].DataCentre = "todra"
	var p flow.Plane
	c, now := newSingleHost(&p, s)
	other := cornelbay.Host{Name: "b", DataCentre: "todra"}
	self := cornelbay.Host{Name: "a", DataCentre: "imlil"}
	c.SetMembers(now, cornelbay.Members{Live: []cornelbay.Host{self, other}, ConfirmedAt: now})
	c.Tick(now)
	k := key(s, 0)
	for i := 1; p.Decide(now, &cornelbay.Packet{Key: k, Flags: cornelbay.Opening}).Target != s.Targets[1].Name; i++ {
		k = key(s, i)
	}
	m := cornelbay.Members{Live: []cornelbay.Host{self}, Missing: []cornelbay.Host{other}, ConfirmedAt: now}
	c.SetMembers(now, m)
	after := func(d time.Duration) cornelbay.Action {
		c.Tick(now.Add(d))
		return p.Decide(now.Add(d), &cornelbay.Packet{Key: k}).Action
	}
	is.Equal(after(CutOffTimeout-time.Second), cornelbay.Forward)
	is.Equal(after(CutOffTimeout), cornelbay.Drop)
	m.Live, m.Missing = []cornelbay.Host{self, other}, nil
	c.SetMembers(now.Add(CutOffTimeout), m)
	is.Equal(after(CutOffTimeout+time.Second), cornelbay.Drop) // the data centre may be out by now
	is.Equal(after(CutOffTimeout+time.Second+ReconnectDelay), cornelbay.Forward)
}

func TestProposalsFitDatagrams(t *testing.T) {
	is := is.New(t)
	s := makeService("a-service-with-a-long-name", 200, cornelbay.TCP, 10)
	r := newCluster(t, 2, s)
	c := r.hosts["host-0"]
	parts := c.proposal(c.services[s.Name], c.services[s.Name].newest()).split()
	is.True(len(parts) > 1)
	codec := peer.Codec{Self: "host-0", Keys: [][]byte{[]byte("key")}}
	var whole Proposal
	got := &serviceState{}
	for i, part := range parts {
		_, err := codec.Seal(part)
		is.NoErr(err)
		var done bool
		whole, done = got.assemble(part)
		is.Equal(done, i == len(parts)-1)
	}
	is.Equal(len(whole.Shares), 200)
}
