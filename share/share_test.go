package share

import (
	"flag"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/registry"
)

// tolerance is the allowed rounding error of a sum, in slots.
const tolerance = 1e-9

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// deployment is a number of hosts and targets, of perTarget slots, in each data centre.
type deployment struct {
	name      string
	hosts     []int
	targets   []int
	perTarget float64
}

var deployments = []deployment{
	{"one host", []int{1}, []int{14}, 2},
	{"six hosts", []int{6}, []int{14}, 2},
	{"six hosts in two data centres", []int{4, 2}, []int{3, 11}, 2},
	{"four data centres", []int{19, 19, 19, 19}, []int{30, 30, 30, 30}, 2},
	{"four uneven data centres", []int{40, 9, 12, 15}, []int{20, 55, 34, 11}, 2},
	{"data centre without targets", []int{10, 10, 5}, []int{12, 0, 30}, 2},
	{"data centre without hosts", []int{10, 0, 5}, []int{12, 17, 1}, 2},
	{"hosts and targets apart", []int{7, 0}, []int{0, 9}, 3},
	{"more hosts than slots", []int{30, 20}, []int{2, 1}, 1},
	{"fractions", []int{3, 8}, []int{13, 5}, 0.7},
	{"no targets", []int{3}, []int{0}, 2},
}

func (d deployment) build() ([]registry.Host, []Target[cornelbay.TargetName]) {
	var hosts []registry.Host
	var targets []Target[cornelbay.TargetName]
	for dc, n := range d.hosts {
		for i := range n {
			hosts = append(hosts, registry.Host{Name: cornelbay.HostName(fmt.Sprintf("h%d-%d", dc, i)), DataCentre: centre(dc)})
		}
	}
	for dc, n := range d.targets {
		for i := range n {
			key := cornelbay.TargetName(fmt.Sprintf("t%d-%d", dc, i))
			targets = append(targets, Target[cornelbay.TargetName]{key, centre(dc), d.perTarget})
		}
	}
	return hosts, targets
}

func centre(dc int) cornelbay.DataCentreName { return cornelbay.DataCentreName(fmt.Sprint("dc", dc)) }

type shares = map[cornelbay.HostName]map[cornelbay.TargetName]float64

func divideAll(hosts []registry.Host, targets []Target[cornelbay.TargetName]) shares {
	all := make(shares)
	for _, h := range hosts {
		all[h.Name] = Divide(h, hosts, targets)
	}
	return all
}

func sum(m map[cornelbay.TargetName]float64) float64 {
	total := 0.0
	for _, n := range m {
		total += n
	}
	return total
}

// check returns a fault of the division, or "".
func check(hosts []registry.Host, targets []Target[cornelbay.TargetName], all shares) string {
	given := make(map[cornelbay.TargetName]float64)
	slots := make(map[cornelbay.DataCentreName]float64)
	members := make(map[cornelbay.DataCentreName]float64)
	where := make(map[cornelbay.TargetName]cornelbay.DataCentreName)
	total := 0.0
	for _, t := range targets {
		if t.Slots > 0 {
			total += t.Slots
			slots[t.DataCentre] += t.Slots
			where[t.Key] = t.DataCentre
		}
	}
	for _, h := range hosts {
		members[h.DataCentre]++
		for key, n := range all[h.Name] {
			given[key] += n
		}
	}
	for _, t := range targets {
		if math.Abs(given[t.Key]-max(t.Slots, 0)) > tolerance*max(1, t.Slots) {
			return fmt.Sprintf("%v of %v slots of %s are handed out", given[t.Key], t.Slots, t.Key)
		}
	}
	quota := total / float64(len(hosts))
	for _, h := range hosts {
		if n := sum(all[h.Name]); math.Abs(n-quota) > tolerance*max(1, quota) {
			return fmt.Sprintf("%s has %v slots, want %v", h.Name, n, quota)
		}
		own := 0.0
		for key, n := range all[h.Name] {
			if where[key] == h.DataCentre {
				own += n
			}
		}
		if want := min(quota, slots[h.DataCentre]/members[h.DataCentre]); math.Abs(own-want) > tolerance*max(1, quota) {
			return fmt.Sprintf("%s has %v slots in its own data centre, want %v", h.Name, own, want)
		}
	}
	return ""
}

// TestEverySlotHasOneHost guards against slots that no host or two hosts use, unequal
// quotas, and remote slots for a host while its own data centre has some for it.
func TestEverySlotHasOneHost(t *testing.T) {
	for _, d := range deployments {
		t.Run(d.name, func(t *testing.T) {
			is := is.New(t)
			hosts, targets := d.build()
			is.Equal(check(hosts, targets, divideAll(hosts, targets)), "")
		})
	}
}

// TestRandomDeployments is as TestEverySlotHasOneHost, with random sizes and slots, and
// guards against a result that depends on the order of the input, which differs by host.
func TestRandomDeployments(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		centres := rapid.IntRange(1, 5).Draw(t, "data centres")
		d := deployment{
			hosts:   rapid.SliceOfN(rapid.IntRange(0, 12), centres, centres).Draw(t, "hosts"),
			targets: rapid.SliceOfN(rapid.IntRange(0, 20), centres, centres).Draw(t, "targets"),
		}
		d.hosts[0]++
		hosts, targets := d.build()
		for i := range targets {
			targets[i].Slots = rapid.OneOf(rapid.Float64Range(-1, 64), rapid.Just(2.0)).Draw(t, "slots")
		}
		all := divideAll(hosts, targets)
		if fault := check(hosts, targets, all); fault != "" {
			t.Fatal(fault)
		}
		shuffledHosts := rapid.Permutation(hosts).Draw(t, "order of hosts")
		shuffledTargets := rapid.Permutation(targets).Draw(t, "order of targets")
		for name, m := range divideAll(shuffledHosts, shuffledTargets) {
			if !maps.Equal(m, all[name]) {
				t.Fatalf("%s has %v, in another order %v", name, all[name], m)
			}
		}
	})
}

// TestRoundingLeavesNoGaps guards against a small target that is lost between two hosts, as
// the positions after large targets are rounded.
func TestRoundingLeavesNoGaps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := deployment{hosts: make([]int, 4), targets: make([]int, 4)}
		for i := range d.hosts {
			d.hosts[i] = rapid.IntRange(1, 9).Draw(t, "hosts")
			d.targets[i] = rapid.IntRange(0, 12).Draw(t, "targets")
		}
		hosts, targets := d.build()
		for i := range targets {
			targets[i].Slots = rapid.SampledFrom([]float64{0.3, 1e9 + 0.7}).Draw(t, "slots")
		}
		if fault := check(hosts, targets, divideAll(hosts, targets)); fault != "" {
			t.Fatal(fault)
		}
	})
}

// TestUnregisteredSelfCounts guards against a host that gets nothing, or divides by too few
// hosts, until its registration is read.
func TestUnregisteredSelfCounts(t *testing.T) {
	is := is.New(t)
	hosts, targets := deployments[2].build()
	for i, self := range hosts {
		others := slices.Delete(slices.Clone(hosts), i, i+1)
		is.Equal(Divide(self, others, targets), Divide(self, hosts, targets))
		is.Equal(Divide(self, append(others, self, self), targets), Divide(self, hosts, targets)) // listed twice
	}
	is.Equal(sum(Divide(hosts[0], nil, targets)), 28.0) // alone
}

// TestTargetsWithoutSlotsAreLeftOut guards against flows to a target that serves none.
func TestTargetsWithoutSlotsAreLeftOut(t *testing.T) {
	is := is.New(t)
	self := registry.Host{Name: "a", DataCentre: "x"}
	got := Divide(self, nil, []Target[int]{{1, "x", 0}, {2, "x", -3}, {3, "y", 2}, {4, "x", math.NaN()}})
	is.Equal(got, map[int]float64{3: 2})
}

// moved returns the fraction of the slots whose host is another one in after.
func moved(before, after shares, total float64) float64 {
	kept := 0.0
	for host, m := range before {
		for key, n := range m {
			kept += min(n, after[host][key])
		}
	}
	return 1 - kept/total
}

// TestLeavingHostMovesFewSlots guards against a division that is drawn anew when one host
// leaves. Boundaries move by at most the quota of the host that left, so a host keeps most
// of its slots.
func TestLeavingHostMovesFewSlots(t *testing.T) {
	for _, d := range []struct {
		deployment
		most, mean float64
	}{
		{deployments[3], 0.25, 0.2},
		{deployments[4], 0.45, 0.3},
	} {
		t.Run(d.name, func(t *testing.T) {
			is := is.New(t)
			hosts, targets := d.build()
			total := d.perTarget * float64(len(targets))
			before := divideAll(hosts, targets)
			most, mean := 0.0, 0.0
			for i := range hosts {
				rest := slices.Delete(slices.Clone(hosts), i, i+1)
				n := moved(before, divideAll(rest, targets), total)
				most, mean = max(most, n), mean+n/float64(len(hosts))
			}
			t.Logf("moved slots: at most %.3f, mean %.3f", most, mean)
			is.True(most < d.most)
			is.True(mean < d.mean)
		})
	}
}

// TestTargetsHaveFewHosts guards against shares too small to open a flow: the slots of a
// target are split between the hosts whose quotas they make up and two at the edges.
func TestTargetsHaveFewHosts(t *testing.T) {
	is := is.New(t)
	for _, d := range deployments[3:5] {
		hosts, targets := d.build()
		count := make(map[cornelbay.TargetName]int)
		for _, m := range divideAll(hosts, targets) {
			is.True(len(m) <= 7) // 3.2 slots make up four targets, the surplus of two data centres more
			for key := range m {
				count[key]++
			}
		}
		for _, n := range count {
			is.True(n <= 4)
		}
	}
}

// TestNeighboursByNameAreApart guards against shares of targets on one machine, which fail
// together.
func TestNeighboursByNameAreApart(t *testing.T) {
	is := is.New(t)
	hosts := []registry.Host{{Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "d"}}
	var targets []Target[int]
	for i := range 400 {
		targets = append(targets, Target[int]{i, "", 1})
	}
	for _, h := range hosts {
		adjacent := 0
		got := Divide(h, hosts, targets)
		for key := range got {
			if _, ok := got[key+1]; ok {
				adjacent++
			}
		}
		is.True(adjacent < 50) // of 100; a random quarter has 25
	}
}

func ExampleDivide() {
	hosts := []registry.Host{
		{Name: "host1", DataCentre: "north"},
		{Name: "host2", DataCentre: "north"},
		{Name: "host3", DataCentre: "south"},
	}
	targets := []Target[string]{
		{"north1", "north", 2},
		{"south1", "south", 2},
		{"south2", "south", 2},
	}
	for _, h := range hosts {
		fmt.Println(h.Name, Divide(h, hosts, targets))
	}
	// Output:
	// host1 map[north1:1 south1:1]
	// host2 map[north1:1 south1:1]
	// host3 map[south2:2]
}

func BenchmarkDivide(b *testing.B) {
	d := deployment{hosts: make([]int, 19), targets: make([]int, 19), perTarget: 2}
	r := rand.New(rand.NewPCG(1, 1))
	for range 18_000 {
		d.hosts[r.IntN(19)]++
	}
	for range 150_000 {
		d.targets[r.IntN(19)]++
	}
	hosts, targets := d.build()
	for b.Loop() {
		Divide(hosts[0], hosts, targets)
	}
}

// BenchmarkSort is the yardstick for BenchmarkDivide.
func BenchmarkSort(b *testing.B) {
	d := deployment{hosts: []int{18_000}, targets: []int{150_000}, perTarget: 2}
	hosts, targets := d.build()
	for b.Loop() {
		names := make(map[cornelbay.HostName]uint64, len(hosts))
		for _, h := range hosts {
			names[h.Name] = hash(h.Name)
		}
		keys := make([]ranked[cornelbay.TargetName], len(targets))
		for i, t := range targets {
			keys[i] = ranked[cornelbay.TargetName]{t.Key, hash(t.Key), t.Slots}
		}
		slices.SortFunc(keys, byHash)
	}
}
