package member

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cornelbay/cornelbay"
)

const (
	// step is the time between two ticks of a host, and delay the transit time of a message.
	step  = 100 * time.Millisecond
	delay = 10 * time.Millisecond
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// group simulates hosts on a virtual clock and a network that may lose datagrams.
type group struct {
	now    time.Time
	views  map[cornelbay.HostName]*View
	paused map[cornelbay.HostName]bool
	// queued holds the messages that arrived during a pause.
	queued map[cornelbay.HostName][]delivery
	// partitioned reports whether datagrams between two hosts are dropped.
	partitioned func(from, to cornelbay.HostName) bool
	loss        float64
	// platformHosts is the platform's list of hosts. It lags behind: ended hosts stay
	// on it.
	platformHosts []cornelbay.Host
	rand          *rand.Rand
	sent          int
}

type delivery struct {
	from    cornelbay.HostName
	message cornelbay.Message
}

func newGroup(n int) *group {
	g := &group{
		now: epoch, views: map[cornelbay.HostName]*View{}, paused: map[cornelbay.HostName]bool{},
		queued: map[cornelbay.HostName][]delivery{}, rand: rand.New(rand.NewPCG(1, 1)),
	}
	for i := range n {
		g.start(i, 1)
	}
	return g
}

func nameOf(i int) cornelbay.HostName { return cornelbay.HostName(fmt.Sprintf("host-%03d", i)) }

func hostOf(i int, incarnation cornelbay.Incarnation) cornelbay.Host {
	return cornelbay.Host{
		Name: nameOf(i), Incarnation: incarnation,
		Datagram: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000),
	}
}

// start starts a host that has the addresses of the first two hosts as seeds, and
// adds it to the platform's list.
func (g *group) start(i int, incarnation cornelbay.Incarnation) {
	v := &View{Self: hostOf(i, incarnation), Seed: uint64(i)}
	for seed := range 2 {
		v.Introduce(cornelbay.Host{Datagram: hostOf(seed, 1).Datagram})
	}
	g.views[v.Self.Name] = v
	g.platformHosts = append(g.platformHosts, v.Self)
}

func (g *group) names() []cornelbay.HostName {
	var out []cornelbay.HostName
	for n := range g.views {
		out = append(out, n)
	}
	slices.Sort(out)
	return out
}

func (g *group) run(d time.Duration) {
	for end := g.now.Add(d); g.now.Before(end); g.now = g.now.Add(step) {
		for _, n := range g.names() {
			if g.now.Sub(epoch)%(5*time.Second) == 0 {
				g.views[n].Introduce(g.platformHosts...)
			}
			if !g.paused[n] {
				for _, m := range g.queued[n] {
					g.receive(g.now, n, m)
				}
				delete(g.queued, n)
				g.deliver(g.now, n, g.views[n].Tick(g.now))
			}
		}
	}
}

func (g *group) deliver(now time.Time, from cornelbay.HostName, effects []cornelbay.Effect) {
	for _, e := range effects {
		s := e.(cornelbay.Send)
		g.sent++
		to := s.To
		for n, v := range g.views {
			if to == "" && v.Self.Datagram.String() == s.Address {
				to = n
			}
		}
		if g.views[to] == nil || (g.partitioned != nil && g.partitioned(from, to)) || g.rand.Float64() < g.loss {
			continue
		}
		m := delivery{from, s.Message}
		if g.paused[to] {
			g.queued[to] = append(g.queued[to], m)
			continue
		}
		g.receive(now.Add(delay), to, m)
	}
}

func (g *group) receive(now time.Time, to cornelbay.HostName, m delivery) {
	v := g.views[to]
	switch b := m.message.(type) {
	case Heartbeat:
		v.Receive(now, b)
	case Leave:
		v.ReceiveLeave(now, b)
	case JoinRequest:
		g.deliver(now, to, v.ReceiveJoin(now, b))
	case JoinAnswer:
		v.ReceiveJoinAnswer(now, m.from, b)
	}
}

func hostNames(hosts []cornelbay.Host) []cornelbay.HostName {
	var out []cornelbay.HostName
	for _, h := range hosts {
		out = append(out, h.Name)
	}
	return out
}

func (g *group) live(n cornelbay.HostName) []cornelbay.HostName {
	return hostNames(g.views[n].Members(g.now).Live)
}

func (g *group) missing(n cornelbay.HostName) []cornelbay.HostName {
	return hostNames(g.views[n].Members(g.now).Missing)
}

// disagreement describes a host whose live list differs from the running hosts, or
// returns "".
func (g *group) disagreement() string {
	for _, n := range g.names() {
		if !slices.Equal(g.live(n), g.names()) {
			return fmt.Sprintf("%s at %s: live %v, running %v", n, g.now.Sub(epoch), g.live(n), g.names())
		}
	}
	return ""
}

func TestJoin(t *testing.T) {
	for _, tt := range []struct {
		hosts  int
		within time.Duration
	}{{1, time.Second}, {6, 3 * time.Second}, {7, 4 * time.Second}, {40, 20 * time.Second}, {120, time.Minute}} {
		g := newGroup(tt.hosts)
		g.run(tt.within)
		is.New(t).Equal(g.disagreement(), "")
	}
}

func TestKilledHost(t *testing.T) {
	is := is.New(t)
	g := newGroup(6)
	g.run(10 * time.Second)
	for _, offsetMs := range []time.Duration{0, 100, 200, 300, 400} {
		g.run(offsetMs * time.Millisecond) // kills at several moments of the interval
		dead := nameOf(5)
		delete(g.views, dead)
		g.run(2500 * time.Millisecond)
		for _, n := range g.names() {
			is.True(!slices.Contains(g.live(n), dead))
			is.Equal(g.missing(n), []cornelbay.HostName{dead})
		}
		g.run(MissingFor)
		for _, n := range g.names() {
			is.Equal(len(g.missing(n)), 0)
		}
		g.start(5, cornelbay.Incarnation(offsetMs+2))
		g.run(5 * time.Second)
		is.Equal(g.disagreement(), "")
	}
}

func TestPlannedStopAndRestartLeaveNothingMissing(t *testing.T) {
	tests := []struct {
		name string
		end  func(g *group, last cornelbay.HostName)
		live int
	}{
		{"planned stop", func(g *group, last cornelbay.HostName) {
			g.deliver(g.now, last, g.views[last].Leave(g.now))
			delete(g.views, last)
		}, 5},
		{"replaced by a later start", func(g *group, last cornelbay.HostName) { g.start(5, 2) }, 6},
	}
	for _, tt := range tests {
		is := is.New(t)
		g := newGroup(6)
		g.run(10 * time.Second)
		tt.end(g, nameOf(5))
		for range 30 {
			g.run(step)
			for _, n := range g.names() {
				is.Equal(len(g.missing(n)), 0) // tt.name
			}
		}
		is.Equal(len(g.live(nameOf(0))), tt.live)
		is.Equal(g.disagreement(), "")
	}
}

func TestIntroduceDoesNotChangeState(t *testing.T) {
	is := is.New(t)
	g := newGroup(6)
	g.run(10 * time.Second)
	dead := nameOf(5)
	delete(g.views, dead)
	for range 50 {
		for _, v := range g.views {
			v.Introduce(hostOf(5, 1), hostOf(9, 1)) // the list still contains the dead host
		}
		g.run(step)
	}
	for _, n := range g.names() {
		is.Equal(g.live(n), g.names())
	}
}

func TestSeedIsNotAMember(t *testing.T) {
	is := is.New(t)
	v := View{Self: hostOf(3, 1)}
	at := netip.MustParseAddrPort("10.9.9.9:1")
	v.Introduce(cornelbay.Host{Name: cornelbay.HostName(at.String()), Datagram: at})
	is.Equal(v.Tick(epoch), []cornelbay.Effect{
		cornelbay.Send{Address: at.String(), Message: JoinRequest{Host: Record(v.Self)}},
	})
	m := v.Members(epoch)
	is.Equal(len(m.Live)+len(m.Missing), 1)
}

func TestPause(t *testing.T) {
	is := is.New(t)
	g := newGroup(6)
	g.run(10 * time.Second)
	slow := nameOf(2)
	for _, v := range g.views {
		v.Confirm(g.now)
	}
	g.run(time.Second)
	confirmed := g.views[slow].Members(g.now).ConfirmedAt
	g.paused[slow] = true
	g.run(5 * time.Second)
	is.True(!slices.Contains(g.live(nameOf(0)), slow))
	g.paused[slow] = false
	v := g.views[slow]
	v.Check(g.now)
	is.True(v.Stale())
	is.Equal(v.Pauses(), uint64(1))
	is.Equal(len(g.live(slow)), 0)
	is.Equal(len(g.missing(slow)), 5)
	g.run(step) // delivers the heartbeats queued during the pause
	is.True(v.Stale())
	is.Equal(v.Members(g.now).ConfirmedAt, confirmed)
	g.run(3 * time.Second)
	is.Equal(g.disagreement(), "")
}

func TestPauseWithoutPeersEnds(t *testing.T) {
	is := is.New(t)
	g := newGroup(1)
	g.run(time.Second)
	g.now = g.now.Add(time.Minute)
	g.run(step)
	is.Equal(len(g.live(nameOf(0))), 0)
	g.run(StaleTimeout)
	is.Equal(len(g.live(nameOf(0))), 1)
}

func TestConfirmationSpreads(t *testing.T) {
	is := is.New(t)
	g := newGroup(6)
	g.run(5 * time.Second)
	at := g.now
	g.views[nameOf(3)].Confirm(at)
	g.run(2 * time.Second)
	for _, n := range g.names() {
		late := g.views[n].Members(g.now).ConfirmedAt.Sub(at)
		is.True(late <= 0 && late >= -2*TransitAllowance) // never later than the confirmation
	}
	for _, age := range []time.Duration{0, time.Millisecond, 400 * time.Hour} {
		is.Equal(confirmedAt(at, confirmedAge(at, at.Add(-age))), at.Add(-age-TransitAllowance))
	}
	is.True(confirmedAt(at, confirmedAge(at, time.Time{})).IsZero())
}

// TestConverges injects generated faults into a group, ends them and checks that all
// hosts then agree on the running hosts.
func TestConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGroup(rapid.IntRange(2, 12).Draw(t, "hosts"))
		next, incarnations := len(g.views), map[cornelbay.HostName]cornelbay.Incarnation{}
		g.run(8 * time.Second)
		for range rapid.IntRange(1, 6).Draw(t, "faults") {
			i := rapid.IntRange(0, next-1).Draw(t, "host")
			n := nameOf(i)
			switch rapid.SampledFrom([]string{"kill", "start", "restart", "leave", "cut", "loss", "pause"}).Draw(t, "fault") {
			case "kill":
				if len(g.views) > 1 {
					delete(g.views, n)
				}
			case "start":
				g.start(next, 1)
				next++
			case "restart":
				incarnations[n]++
				g.start(i, 1+incarnations[n])
				delete(g.paused, n)
			case "leave":
				if len(g.views) > 1 && g.views[n] != nil && !g.paused[n] {
					g.deliver(g.now, n, g.views[n].Leave(g.now))
					delete(g.views, n)
				}
			case "cut":
				side := rapid.Uint32().Draw(t, "side")
				g.partitioned = func(from, to cornelbay.HostName) bool {
					return side>>(position(from)%32)&1 != side>>(position(to)%32)&1
				}
			case "loss":
				g.loss = rapid.Float64Range(0, 0.5).Draw(t, "loss")
			case "pause":
				g.paused[n] = true
			}
			g.run(time.Duration(rapid.IntRange(1, 60).Draw(t, "tenths")) * step)
		}
		g.partitioned, g.loss = nil, 0
		clear(g.paused)
		g.run(15 * time.Second)
		if d := g.disagreement(); d != "" {
			t.Fatal(d)
		}
		for range 20 {
			g.run(time.Second)
			if d := g.disagreement(); d != "" {
				t.Fatal("not stable: ", d)
			}
		}
	})
}

// TestSupersedes compares supersedes with a rank written out in full: incarnation,
// left, counter, state.
func TestSupersedes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(label string) Item {
			return Item{
				Incarnation: cornelbay.Incarnation(rapid.IntRange(1, 2).Draw(t, label)),
				Counter:     uint32(rapid.IntRange(0, 2).Draw(t, label)),
				State:       State(rapid.IntRange(int(Alive), int(Left)).Draw(t, label)),
			}
		}
		old, item := draw("old"), draw("item")
		rank := func(i Item) [4]int {
			left := 0
			if i.State == Left {
				left, i.Counter = 1, 0
			}
			return [4]int{int(i.Incarnation), left, int(i.Counter), int(i.State)}
		}
		a, b := rank(item), rank(old)
		p := &peer{host: cornelbay.Host{Incarnation: old.Incarnation}, counter: old.Counter, state: old.State}
		if supersedes(p, item) != (slices.CompareFunc(a[:], b[:], cmp.Compare) > 0) {
			t.Fatalf("item %+v, current state %+v", item, old)
		}
	})
}
