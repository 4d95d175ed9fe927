package soak

import (
	"fmt"
	"net/netip"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelbay/cornelbay/fakeplatform"
)

func TestScheduleComesFromTheSeedAlone(t *testing.T) {
	is := is.New(t)
	is.Equal(Schedule(7, 3), Schedule(7, 3))
	is.True(!slices.Equal(Schedule(7, 3), Schedule(8, 3)))
	seen := map[Fault]bool{}
	for seed := range uint64(20) {
		last := Step{Number: -1}
		shortages := map[int]bool{}
		for _, s := range Schedule(seed, 3) {
			seen[s.Fault] = true
			shortages[s.Round] = shortages[s.Round] || s.Fault == Shortage
			is.Equal(s.Number, last.Number+1)
			is.True(s.Round > last.Round || s.At >= last.At || s.Number == 0)
			last = s
		}
		is.Equal(shortages, map[int]bool{0: true, 1: true, 2: true})
	}
	is.Equal(len(seen), len(faults)+len(loads))
}

// TestSeedKeepsItsFaults guards the seeds of TestSeeds: the steps of load must not change which
// faults come when. The faults are those of seed 147 before there were steps of load.
func TestSeedKeepsItsFaults(t *testing.T) {
	is := is.New(t)
	var got []string
	for _, s := range Schedule(147, 1) {
		if !slices.Contains(loads, s.Fault) {
			got = append(got, fmt.Sprintf("%s on %d", s.Fault, s.On))
		}
	}
	is.Equal(got, []string{
		"route on 59049",
		"storeForgets on 65238",
		"storeForgets on 65239",
		"route on 59064",
		"route on 6718",
		"pause on 11007",
		"route on 6719",
		"route on 6720",
		"storeCut on 62811",
	})
}

func build(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "cornelbayd")
	if out, err := exec.Command("go", "build", "-o", binary, "../cmd/cornelbayd").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return binary
}

// withoutLoad returns the numbers of a schedule's steps other than those of load.
func withoutLoad(seed uint64, rounds int) []int {
	var numbers []int
	for _, s := range Schedule(seed, rounds) {
		if !slices.Contains(loads, s.Fault) {
			numbers = append(numbers, s.Number)
		}
	}
	return numbers
}

// TestSeeds plays a short soak, and each seed that ever failed. All of these did before there
// were steps of load, which would hide their causes.
func TestSeeds(t *testing.T) {
	binary := build(t)
	for _, c := range []struct {
		seed   uint64
		rounds int
		only   []int
		cause  string
	}{
		{1, 2, withoutLoad(1, 2), "two targets answered one opening, and only one host knew which had the flow"},
		{147, 2, withoutLoad(147, 2), "a host whose flows were sent elsewhere tried their openings at other targets"},
		{308, 2, withoutLoad(308, 2), "a host that started again within 0.6 s was not told of flows in doubt"},
		{4, 1, nil, "the short soak of CI"},
	} {
		t.Run(c.cause, func(t *testing.T) {
			is := is.New(t)
			res, err := Run(t.Context(), Options{
				Seed: c.seed, Rounds: c.rounds, Hosts: 5, Targets: 12, Callers: 6, Binary: binary, Net: byte(150 + c.seed), Tell: t.Logf,
				Only: c.only,
			})
			is.NoErr(err)
			holds(t, res)
			is.True(res.Flows > 0 && res.Requests > 0)
		})
	}
}

// holds fails the test for each promise that was broken, and names them again below the stories.
func holds(t *testing.T, res Result) {
	t.Helper()
	for _, v := range res.Violations {
		t.Errorf("promise broken: %s", v)
	}
	for _, v := range res.Violations {
		promise, _, _ := strings.Cut(v, "\n")
		t.Logf("seed %d: promise broken: %s", res.Seed, promise)
	}
}

// TestStepsOfLoad plays each kind of step of load alone. Callers must be answered, and a shortage must
// refuse some of them.
func TestStepsOfLoad(t *testing.T) {
	binary := build(t)
	for i, c := range []struct {
		load Fault
		on   int
	}{{Shortage, 0}, {Uneven, 1}, {Fresh, 0}, {Fresh, 2}} {
		t.Run(fmt.Sprintf("%s on %d", c.load, c.on), func(t *testing.T) {
			is := is.New(t)
			o := Options{Hosts: 3, Targets: 12, Callers: 4, Binary: binary, Net: byte(140 + i), Tell: t.Logf}
			o.Steps = []Step{{Fault: c.load, On: c.on, For: 2 * time.Second}}
			res, err := Run(t.Context(), o)
			is.NoErr(err)
			holds(t, res)
			is.True(res.Requests > 100)
			is.True(res.Refused > 0 || c.load != Shortage)
		})
	}
}

// TestChecks feeds the checks with what targets and callers see, without hosts.
func TestChecks(t *testing.T) {
	source := netip.MustParseAddrPort("127.0.0.1:1")
	reset := func(r *run) {
		r.notOpened(trip{source: source, service: "s1", begun: time.Now()}, fakeplatform.ErrReset)
	}
	silence := func(r *run) {
		r.notOpened(trip{source: source, service: "s1", begun: time.Now(), via: []string{"h"}}, fakeplatform.ErrNoReply)
	}
	accept := func(r *run) { r.onAccept(source, "i-1") }
	packetAt := func(at string, stray bool) func(*run) {
		return func(r *run) { r.onPacket(at, fakeplatform.Event{Source: source, Stray: stray}) }
	}
	resetOpen := func(r *run) { r.onReset(source, "") }
	for _, c := range []struct {
		name  string
		do    []func(*run)
		wants int
	}{
		{"refused in a shortage", []func(*run){load, reset}, 0},
		{"refused within a second of a shortage", []func(*run){func(r *run) { r.begin(loaded + "s1")() }, reset}, 0},
		{"refused without a shortage", []func(*run){reset}, 1},
		{"refused while the other service is short", []func(*run){func(r *run) { r.begin(loaded + "s2") }, reset}, 1},
		{"refused, then accepted", []func(*run){load, reset, accept}, 1},
		{"accepted, then refused", []func(*run){load, accept, reset}, 1},
		{"no reply in a shortage", []func(*run){load, silence}, 1},
		{"no reply while a target is harmed", []func(*run){func(r *run) { r.begin(harmed + "s1") }, silence}, 0},
		{"no reply from a host that was killed", []func(*run){func(r *run) { r.begin("h")() }, silence}, 0},
		{"reset before any target had a packet", []func(*run){accept, resetOpen}, 0},
		{"reset by another target before its own had a packet", []func(*run){accept, packetAt("i-2", true), resetOpen}, 0},
		{"reset after its target had a packet", []func(*run){accept, packetAt("i-1", false), packetAt("i-2", true), resetOpen}, 1},
		{"reset while a target lives that only accepted it", []func(*run){accept, packetAt("i-3", false), resetOpen}, 0},
		{"reset after an answer", []func(*run){func(r *run) { r.onReset(source, "i-1") }}, 1},
		{"two requests run", []func(*run){accept, ranAt(source, 1), ranAt(source, 2)}, 0},
		{"a request runs twice", []func(*run){accept, ranAt(source, 1), ranAt(source, 1)}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := &run{world: &world{
				troubles: make(map[string]trouble), records: map[netip.AddrPort]*record{source: {runs: make(map[uint32]bool)}},
				targets: []*target{named("i-1"), named("i-2")}, // i-3 has ended
			}}
			for _, do := range c.do {
				do(r)
			}
			is.Equal(len(r.violations()), c.wants)
		})
	}
}

func named(name string) *target { return &target{Target: &fakeplatform.Target{Name: name}} }

func load(r *run) { r.begin(loaded + "s1") }

func ranAt(source netip.AddrPort, sequence uint32) func(*run) {
	return func(r *run) { r.onRun(source, sequence, "i-1") }
}
