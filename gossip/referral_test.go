package gossip

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/registry"
)

// numbered returns a distinct address for each number.
func numbered(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)}), 7000)
}

// TestPullsAtAJointStartAreSpread fails if the whole tables that the busiest host sends, or
// the connections that it accepts, grow with the number of hosts that start together.
func TestPullsAtAJointStartAreSpread(t *testing.T) {
	const seeds = 3
	for _, hosts := range []int{30, 100, 300, 3000, 18000} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			is := is.New(t)
			pulls, depth := map[netip.AddrPort]int{}, map[netip.AddrPort]int{}
			var referrals [seeds]Referrals
			deepest := 0
			for i := range hosts {
				self, seed := numbered(seeds+i), i%seeds
				sources := referrals[seed].Refer(start, numbered(seed), self)
				from := sources[0]
				for _, s := range sources {
					_, asked := depth[s]
					is.True(s == numbered(seed) || asked && s != self) // no cycle: a source has asked earlier
				}
				pulls[from]++
				depth[self] = depth[from] + 1
				deepest = max(deepest, depth[self])
			}
			for from, n := range pulls {
				limit := referredFanOut
				if depth[from] == 0 { // a seed
					limit = pullFanOut
				}
				is.True(n <= limit)
			}
			is.True(deepest <= 7)
		})
	}
}

// TestPullsWithinGroupsAreSpread counts the pulls of hosts that know the registered ones.
func TestPullsWithinGroupsAreSpread(t *testing.T) {
	for _, perDataCentre := range []int{20, 100, 300, 950} {
		t.Run(fmt.Sprint(perDataCentre), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(2, perDataCentre)
			pulls := map[cornelbay.HostName]int{}
			withoutSource := 0
			for _, h := range f.hosts {
				sources := h.PullSources()
				for _, s := range sources {
					is.True(s.Name < h.Self.Name && s.DataCentre == h.Self.DataCentre) // no cycle
				}
				if len(sources) == 0 {
					withoutSource++
					continue
				}
				pulls[sources[0].Name]++
			}
			is.Equal(withoutSource, 2) // the first host of each data centre asks the seeds
			for _, n := range pulls {
				is.True(n <= 2*referredFanOut) // of the own group and of other groups
			}
		})
	}
}

// TestSmallFleetsAskTheSeeds guards against a detour at the start of a host in a small fleet.
func TestSmallFleetsAskTheSeeds(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, fullMeshLimit+1)
	var r Referrals
	for i, h := range f.hosts {
		is.Equal(len(h.PullSources()), 0)
		if i > 0 { // the first is the seed
			is.Equal(r.Refer(start, numbered(0), numbered(i)), []netip.AddrPort{numbered(0)})
		}
	}
	next := numbered(fullMeshLimit + 1)
	is.Equal(r.Refer(start, numbered(0), next)[0], numbered(1))
	is.Equal(r.Refer(start.Add(referralPeriod+time.Millisecond), numbered(0), next), []netip.AddrPort{numbered(0)}) // a later start
}

// TestHostsThatAskAgainKeepTheirSources guards against retries that move the whole tree.
func TestHostsThatAskAgainKeepTheirSources(t *testing.T) {
	is := is.New(t)
	var r Referrals
	for i := range 40 {
		r.Refer(start, numbered(0), numbered(1+i))
	}
	before := r.Refer(start, numbered(0), numbered(30))
	is.Equal(r.Refer(start.Add(time.Second), numbered(0), numbered(30)), before)
	is.Equal(len(before), 2)
}

// TestOnlyTheRelayAboveIsInTree covers hosts that hear a stand-in.
func TestOnlyTheRelayAboveIsInTree(t *testing.T) {
	is := is.New(t)
	f := newFleet(2, 20)
	seed := f.byName["dc01-0007"].Self
	lost := Members{Self: host("dc00-0099", "dc00")}
	lost.Observe(f.now, 1, Heartbeat{Host: seed, Relay: true, IntervalMs: 250})
	is.True(!lost.InTree(f.now, seed))
	h := f.byName["dc00-0005"]
	f.run(time.Second)
	is.True(h.InTree(f.now, f.byName["dc00-0000"].Self))
	is.True(!h.InTree(f.now, registry.Host{Name: "dc00-0001"}))
}
