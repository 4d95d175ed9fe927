package gossip

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/registry"
)

// fleet is a fleet of hosts that exchange heartbeats in virtual time, without loads and
// tables.
type fleet struct {
	now    time.Time
	hosts  []*fleetHost
	byName map[cornelbay.HostName]*fleetHost
	// lost reports whether a heartbeat from one host to another is lost; it may be nil.
	lost func(from, to registry.Host) bool
}

type fleetHost struct {
	Members
	dead bool
	// nextAt is when the host sends its next heartbeats.
	nextAt time.Time
	// sent and received count datagrams.
	sent, received int
	incarnation    cornelbay.Incarnation
}

// newFleet returns a fleet whose hosts know each other's registrations and have started
// at about the same time.
func newFleet(dataCentres, perDataCentre int) *fleet {
	f := &fleet{now: start, byName: map[cornelbay.HostName]*fleetHost{}}
	var all []registry.Host
	for dc := range dataCentres {
		for i := range perDataCentre {
			name := cornelbay.DataCentreName(fmt.Sprintf("dc%02d", dc))
			all = append(all, host(cornelbay.HostName(fmt.Sprintf("%s-%04d", name, i)), name))
		}
	}
	for i, h := range all {
		m := &fleetHost{Members: Members{Self: h}, nextAt: start.Add(time.Duration(i%250) * time.Millisecond), incarnation: 1}
		m.SetRegistered(start, all)
		f.hosts = append(f.hosts, m)
		f.byName[h.Name] = m
	}
	return f
}

// run lets the hosts send heartbeats for a time.
func (f *fleet) run(d time.Duration) {
	for until := f.now.Add(d); f.now.Before(until); f.now = f.now.Add(10 * time.Millisecond) {
		for _, h := range f.hosts {
			if !h.dead && !h.nextAt.After(f.now) {
				f.send(h)
			}
		}
	}
}

func (f *fleet) send(h *fleetHost) {
	n := h.Neighbours(f.now)
	h.nextAt = f.now.Add(n.Interval())
	hb := Heartbeat{Host: h.Self, IntervalMs: uint32(n.Interval().Milliseconds())}
	for _, to := range n.Mesh {
		f.deliver(h, to, hb)
	}
	if n.Relay.Name != "" {
		f.deliver(h, n.Relay, hb)
	}
	hb.Lead = true
	for _, to := range n.Leads {
		f.deliver(h, to, hb)
	}
	hb.Lead, hb.Relay = false, true
	for _, to := range n.Below {
		f.deliver(h, to, hb)
	}
}

func (f *fleet) deliver(from *fleetHost, to registry.Host, hb Heartbeat) {
	from.sent++
	r, ok := f.byName[to.Name]
	if !ok || r.dead || f.lost != nil && f.lost(from.Self, to) {
		return
	}
	r.received++
	r.Observe(f.now, from.incarnation, hb)
}

func (f *fleet) resetCounts() {
	for _, h := range f.hosts {
		h.sent, h.received = 0, 0
	}
}

// readers returns the hosts that are alive and read the store.
func (f *fleet) readers() []cornelbay.HostName {
	var readers []cornelbay.HostName
	for _, h := range f.hosts {
		if !h.dead && h.IsReader(f.now, false) {
			readers = append(readers, h.Self.Name)
		}
	}
	return readers
}

// cutOff returns the hosts that are alive and hear nobody above them, other than leads. It
// lets new relays find the lead.
func (f *fleet) cutOff() []cornelbay.HostName {
	var alone []cornelbay.HostName
	for _, h := range f.hosts {
		if h.dead || h.Leads(f.now) {
			continue
		}
		above, standIn := h.relay(f.now)
		if above == nil || standIn || above.silent(f.now) || f.byName[above.host.Name].dead {
			alone = append(alone, h.Self.Name)
		}
	}
	return alone
}

// TestCostPerHostDoesNotGrowWithTheFleet counts the datagrams of each host in fleets of
// different sizes, up to the number of hosts of a data centre that the design is made for.
func TestCostPerHostDoesNotGrowWithTheFleet(t *testing.T) {
	const perSecond = float64(time.Second / RelayInterval)
	for _, c := range []struct{ dataCentres, perDataCentre int }{{3, 10}, {6, 50}, {1, 300}, {2, 950}} {
		t.Run(fmt.Sprint(c.dataCentres*c.perDataCentre), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(c.dataCentres, c.perDataCentre)
			f.run(3 * time.Second)
			f.resetCounts()
			f.run(4 * time.Second)
			most, total := 0, 0
			for _, h := range f.hosts {
				most = max(most, h.sent, h.received)
				total += h.sent + h.received
			}
			groups := (c.perDataCentre + groupSize - 1) / groupSize
			neighbours := groupSize + groups + c.dataCentres
			is.True(float64(most) <= 1.1*perSecond*4*float64(neighbours))
			// Four datagrams an interval on average: one to and from the relay, both ends counted.
			is.True(float64(total) <= 1.2*perSecond*4*4*float64(len(f.hosts)))
			is.Equal(len(f.cutOff()), 0)
			is.Equal(f.readers(), []cornelbay.HostName{"dc00-0000"})
		})
	}
}

// TestRelaysDieOneAfterTheOther kills the relays and leads of a fleet in turn. Others must
// take over within about a second, and new relays find the lead after one more interval for
// each host before it that is dead. No second host may read the store for long.
func TestRelaysDieOneAfterTheOther(t *testing.T) {
	is := is.New(t)
	f := newFleet(3, 70)
	f.run(3 * time.Second)
	for i := range 4 {
		for _, group := range []int{0, groupSize, 2 * groupSize} {
			f.byName[cornelbay.HostName(fmt.Sprintf("dc00-%04d", group+i))].dead = true
		}
		f.run(silentAfterIntervals*RelayInterval + 2*RelayInterval + takeoverStep + time.Duration(i+1)*RelayInterval)
		is.Equal(f.cutOff(), nil)
		is.Equal(f.readers(), []cornelbay.HostName{cornelbay.HostName(fmt.Sprintf("dc00-%04d", i+1))})
	}
	for i := range 4 {
		h := f.byName[cornelbay.HostName(fmt.Sprintf("dc00-%04d", i))]
		h.dead, h.incarnation, h.nextAt = false, 2, f.now
	}
	f.run(2 * time.Second)
	is.Equal(f.cutOff(), nil)
	is.Equal(f.readers(), []cornelbay.HostName{"dc00-0000"}) // the first is back
}

// TestManyHostsDieAtOnce kills more than half of the hosts, relays among them.
func TestManyHostsDieAtOnce(t *testing.T) {
	is := is.New(t)
	f := newFleet(6, 50)
	f.run(3 * time.Second)
	for i, h := range f.hosts {
		h.dead = i%50 < 5 || i%2 == 0
	}
	f.run(silentAfterIntervals*RelayInterval + 2*RelayInterval + 6*takeoverStep + 6*RelayInterval)
	is.Equal(f.cutOff(), nil)
	is.Equal(f.readers(), []cornelbay.HostName{"dc00-0005"})
}

// TestCutDataCentreGoesOnByItself cuts one data centre off from the others. It needs a
// reader of its own, and gives it up after the cut.
func TestCutDataCentreGoesOnByItself(t *testing.T) {
	is := is.New(t)
	f := newFleet(4, 40)
	f.run(3 * time.Second)
	f.lost = func(from, to registry.Host) bool { return (from.DataCentre == "dc02") != (to.DataCentre == "dc02") }
	f.run(2 * time.Second)
	is.Equal(f.cutOff(), nil)
	is.Equal(f.readers(), []cornelbay.HostName{"dc00-0000", "dc02-0000"})
	f.lost = nil
	f.run(time.Second)
	is.Equal(f.readers(), []cornelbay.HostName{"dc00-0000"})
}

// TestHostsOutsideTheTreeAreServed covers hosts that start before their registrations are
// known: they report to a seed, which answers them.
func TestHostsOutsideTheTreeAreServed(t *testing.T) {
	is := is.New(t)
	f := newFleet(2, 20)
	seed := f.byName["dc01-0007"]
	lost := host("dc00-0099", "dc00")
	for range 5 {
		f.run(RelayInterval)
		seed.Observe(f.now, 1, Heartbeat{Host: lost, IntervalMs: 150})
	}
	served := false
	for _, h := range seed.Neighbours(f.now).Below {
		served = served || h == lost
	}
	is.True(served)
	m := Members{Self: lost}
	m.Observe(f.now, 1, Heartbeat{Host: seed.Self, Relay: true, IntervalMs: 250})
	is.Equal(len(m.Neighbours(f.now).Mesh), 1)
	m.SetRegistered(f.now, f.byName["dc00-0000"].Known())
	n := m.Neighbours(f.now)
	is.Equal(n.Relay.Name, cornelbay.HostName("dc00-0001")) // the first that it knows of
	is.True(!n.StandIn)
}

// TestTreeHasNoCycles checks that reports of sums only go to hosts that are earlier in the
// order, also while hosts disagree about who is alive. A cycle would add up without end.
func TestTreeHasNoCycles(t *testing.T) {
	f := newFleet(2, 70)
	n := 0
	f.lost = func(registry.Host, registry.Host) bool {
		n++
		return n%3 == 0
	}
	for i := range 40 {
		f.hosts[(i*37)%len(f.hosts)].dead = i%3 == 0
		f.run(100 * time.Millisecond)
		for _, h := range f.hosts {
			if above, standIn := h.relay(f.now); above != nil && !standIn && above.host.Name >= h.Self.Name {
				t.Fatalf("%s reports to %s", h.Self.Name, above.host.Name)
			}
		}
	}
}

// TestRelayLaterInTheOrderIsNotAbove covers a host that hears a relay behind it in the order
// before it hears the one that is above it.
func TestRelayLaterInTheOrderIsNotAbove(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 20)
	h, later := f.byName["dc00-0003"], f.byName["dc00-0010"]
	h.Observe(f.now, 1, Heartbeat{Host: later.Self, Relay: true, IntervalMs: 250})
	above, standIn := h.relay(f.now)
	is.Equal(above.host.Name, cornelbay.HostName("dc00-0000"))
	is.True(!standIn)
}
