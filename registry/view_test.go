package registry

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelbay/cornelbay"
)

var testAddress = netip.MustParseAddrPort("10.0.0.2:80")

func target(name string, number uint64) Record[Target] {
	return Record[Target]{Name: name, Revision: 1, Value: Target{
		Name: cornelbay.TargetName(name), Number: number, Service: "s", DataCentre: "imlil", Slots: 2,
		Address: testAddress,
	}}
}

func TestCookie(t *testing.T) {
	for _, c := range []struct {
		number   uint64
		isNumber bool // whether the cookie is the number
	}{{1, true}, {0xffffffff, true}, {0, false}, {1 << 32, false}, {0xabcdef0123456789, false}} {
		is := is.New(t)
		is.True(Cookie(c.number) != 0)
		is.Equal(Cookie(c.number) == uint32(c.number), c.isNumber)
		is.Equal(Cookie(c.number), Cookie(c.number))
	}
}

func TestEarlierTargetKeepsCookieOnCollision(t *testing.T) {
	clash := uint64(Cookie(1 << 40)) // a number that is its own cookie, and equal to the hash of another
	old, young := target("old", 1<<40), target("young", clash)
	old.Value.StartedMs, young.Value.StartedMs = 1, 2
	for _, list := range [][]Record[Target]{{old, young}, {young, old}} {
		is := is.New(t)
		var tables Tables
		tables.Targets.Replace(start, 1, list)
		v := tables.View()
		is.Equal(string(v.Cookies[Cookie(clash)].Name), "old")
		for _, m := range v.Services["s"] {
			is.Equal(m.Usable(start), m.Name == "old")
		}
	}
}

func TestUsable(t *testing.T) {
	for _, c := range []struct {
		title string
		edit  func(*Tables)
		want  bool
	}{
		{"ready", func(*Tables) {}, true},
		{"draining", func(tables *Tables) {
			r := target("a", 1)
			r.Revision, r.Value.Draining = 2, true
			tables.Targets.Apply(start, 2, []Record[Target]{r})
		}, false},
		{"deleted", func(tables *Tables) {
			tables.Targets.Apply(start.Add(time.Minute), 2, []Record[Target]{{Name: "a", Revision: 1, Deleted: true}})
		}, false},
		{"evacuated", func(tables *Tables) {
			tables.Evacuations.Replace(start, 2, []Record[Evacuation]{{Name: "imlil", Revision: 2, Value: Evacuation{"imlil"}}})
		}, false},
		{"another data centre evacuated", func(tables *Tables) {
			tables.Evacuations.Replace(start, 2, []Record[Evacuation]{{Name: "todra", Revision: 2, Value: Evacuation{"todra"}}})
		}, true},
		{"evacuation ended", func(tables *Tables) {
			tables.Evacuations.Replace(start, 2, []Record[Evacuation]{{Name: "imlil", Revision: 2, Value: Evacuation{"imlil"}}})
			tables.Evacuations.Apply(start, 3, []Record[Evacuation]{{Name: "imlil", Revision: 2, Deleted: true}})
		}, true},
	} {
		t.Run(c.title, func(t *testing.T) {
			is := is.New(t)
			var tables Tables
			tables.Targets.Confirm(start)
			tables.Targets.Replace(start, 1, []Record[Target]{target("a", 1)})
			c.edit(&tables)
			v := tables.View()
			is.Equal(v.Services["s"][0].Usable(start.Add(time.Minute)), c.want)
			is.Equal(string(v.Cookies[1].Name), "a") // open flows still find their target
		})
	}
}

// TestExpiredTargetsStayUsableAfterStoreOutage covers a store outage during which all
// announcements expire.
func TestExpiredTargetsStayUsableAfterStoreOutage(t *testing.T) {
	is := is.New(t)
	var tables Tables
	tables.Targets.Confirm(start)
	draining := target("b", 2)
	draining.Value.Draining = true
	tables.Targets.Replace(start, 1, []Record[Target]{target("a", 1), draining})

	back := start.Add(10 * time.Second)
	tables.Targets.Confirm(back)
	tables.Targets.Replace(back, 9, nil)
	v := tables.View()
	is.True(v.Cookies[1].Usable(back))
	is.True(v.Cookies[1].Usable(back.Add(ExpiryGrace - time.Millisecond)))
	is.True(!v.Cookies[1].Usable(back.Add(ExpiryGrace)))
	is.True(!v.Cookies[2].Usable(back)) // was draining

	// Without an outage, a target that is no longer listed is unusable at once.
	tables.Targets.Replace(back, 10, []Record[Target]{target("a", 1)})
	again := target("a", 1)
	again.Revision = 11
	tables.Targets.Apply(back, 11, []Record[Target]{again})
	later := back.Add(ExpiryGrace + time.Second)
	tables.Targets.Confirm(later)
	tables.Targets.Replace(later, 12, nil)
	is.True(!tables.View().Cookies[1].Usable(later))
}

func TestColdUntilIsTheSameAfterMerge(t *testing.T) {
	is := is.New(t)
	var first, second Tables
	r := target("a", 1)
	r.Value.ColdFor = 2 * time.Second
	first.Targets.Replace(start, 1, []Record[Target]{r})
	later := start.Add(1500 * time.Millisecond)
	second.Targets.Merge(later, first.Targets.DeltaSince(later, 0))
	is.Equal(second.View().Cookies[1].ColdUntil, first.View().Cookies[1].ColdUntil)
}

func TestServiceChoiceIsDeterministic(t *testing.T) {
	is := is.New(t)
	r := Route{Shares: []Share{{"a", 90}, {"b", 10}}}
	n := map[cornelbay.ServiceName]int{}
	for port := range uint16(10000) {
		from := netip.AddrPortFrom(netip.MustParseAddr("100.64.0.1"), port)
		first, ok := r.Service(from)
		is.True(ok)
		again, _ := r.Service(from)
		is.Equal(first, again)
		n[first]++
	}
	is.True(n["a"] > 8500 && n["a"] < 9500)
	_, ok := (&Route{Shares: []Share{{"a", 0}}}).Service(netip.AddrPort{})
	is.True(!ok)
}

// TestDeltaOmitsUnchangedRoutes replaces a configuration of several routes by later
// versions, in each of which only some routes change.
func TestDeltaOmitsUnchangedRoutes(t *testing.T) {
	is := is.New(t)
	var from, to Tables
	routes := func(timeout time.Duration, names ...string) Routing {
		r := Routing{Policy: Policy{Version: uint64(timeout)}}
		for i, name := range names {
			at := netip.AddrPortFrom(netip.MustParseAddr("198.18.0.1"), uint16(i+1))
			r.Routes = append(r.Routes, Route{Name: name, Address: at, Shares: []Share{{"s", 1}}})
		}
		r.Routes[0].Timeout = timeout
		return r
	}
	merge := func() int {
		d := from.Routes.DeltaSince(start, to.Routes.Revision())
		to.Routes.Merge(start, d)
		to.Policy.Merge(start, from.Policy.DeltaSince(start, to.Policy.Revision()))
		return len(d.Records)
	}
	is.True(from.ReplaceRouting(start, 5, 5, routes(1, "a", "b", "c")))
	is.Equal(merge(), 3)
	is.True(from.ReplaceRouting(start, 9, 8, routes(2, "a", "b", "c")))
	is.Equal(merge(), 1)
	is.True(from.ReplaceRouting(start, 12, 12, routes(2, "a", "c")))
	is.Equal(merge(), 2) // one route is deleted, one has moved to another address
	is.True(from.ReplaceRouting(start, 14, 14, routes(2, "a", "b", "c")))
	is.Equal(merge(), 2)
	is.Equal(to.View(), from.View())
	is.True(!from.ReplaceRouting(start, 13, 13, routes(3, "a"))) // older
	is.True(!from.ReplaceRouting(start, 15, 14, routes(2, "a", "b", "c")))
}

// TestValuesOutOfRangeAreNotUsed guards against targets and hosts of another writer that a host of an
// earlier version has accepted and sent to this one.
func TestValuesOutOfRangeAreNotUsed(t *testing.T) {
	for _, c := range []struct {
		title string
		edit  func(*Target, *Host)
	}{
		{"number 0", func(t *Target, _ *Host) { t.Number = 0 }},
		{"negative slots", func(t *Target, _ *Host) { t.Slots = -1 }},
		{"enormous slots", func(t *Target, _ *Host) { t.Slots = 1 << 40 }},
		{"negative warm-up", func(t *Target, _ *Host) { t.ColdFor = -1 }},
		{"endless warm-up", func(t *Target, _ *Host) { t.ColdFor = 1 << 62 }},
		{"negative start", func(t *Target, _ *Host) { t.StartedMs = -1 }},
		{"no service", func(t *Target, _ *Host) { t.Service = "" }},
		{"port 0", func(t *Target, h *Host) {
			t.Address = netip.AddrPortFrom(testAddress.Addr(), 0)
			h.Address = t.Address
		}},
		{"no address", func(t *Target, h *Host) { t.Address, h.Address = netip.AddrPort{}, netip.AddrPort{} }},
		{"no data centre", func(t *Target, h *Host) { t.DataCentre, h.DataCentre = "", "" }},
	} {
		t.Run(c.title, func(t *testing.T) {
			is := is.New(t)
			odd, good := target("odd", 7), target("good", 8)
			h := Host{Name: "h1", DataCentre: "imlil", Address: testAddress}
			oddHost := h
			c.edit(&odd.Value, &oddHost)
			var tables Tables
			tables.Targets.Replace(start, 1, []Record[Target]{odd, good})
			tables.Hosts.Replace(start, 1, []Record[Host]{{Name: "h0", Revision: 1, Value: oddHost}, {Name: "h1", Revision: 1, Value: h}})
			v := tables.View()
			for service, targets := range v.Services {
				is.Equal(string(service), "s")
				is.Equal(len(targets), 1)
				is.Equal(string(targets[0].Name), "good")
			}
			is.Equal(len(v.Cookies), 1)
			is.Equal(len(v.Hosts) == 1, oddHost != h)
		})
	}
}

// TestTargetWithoutAStartKeepsNoCookie guards against an entry of another writer that takes the
// flows of a target away from it: of two with the same cookie the one that started first has it.
func TestTargetWithoutAStartKeepsNoCookie(t *testing.T) {
	is := is.New(t)
	odd, good := target("i-01", 1), target("i-1", 1)
	good.Value.StartedMs = 1_700_000_000_000
	var tables Tables
	tables.Targets.Replace(start, 1, []Record[Target]{odd, good})
	is.Equal(string(tables.View().Cookies[1].Name), "i-1")
}
