package gossip

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/peer"
	"github.com/cornelbay/cornelbay/registry"
)

var start = time.Unix(1_700_000_000, 0)

func host(name cornelbay.HostName, dataCentre cornelbay.DataCentreName) registry.Host {
	return registry.Host{Name: name, DataCentre: dataCentre, Address: netip.MustParseAddrPort("10.0.0.1:7000")}
}

// TestOneReader checks that one host of a small fleet reads the store, and the first of the
// others as soon as that one is dead, stops, or is refused by the store.
func TestOneReader(t *testing.T) {
	hosts := []registry.Host{host("a1", "a"), host("a2", "a"), host("a3", "a"), host("b1", "b")}
	for _, c := range []struct {
		title   string
		alive   []cornelbay.HostName
		stops   cornelbay.HostName
		refused []cornelbay.HostName
		want    []cornelbay.HostName
	}{
		{"all alive", []cornelbay.HostName{"a1", "a2", "a3", "b1"}, "", nil, []cornelbay.HostName{"a1"}},
		{"reader dead", []cornelbay.HostName{"a2", "a3", "b1"}, "", nil, []cornelbay.HostName{"a2"}},
		{"data centre dead", []cornelbay.HostName{"b1"}, "", nil, []cornelbay.HostName{"b1"}},
		{"reader stops", []cornelbay.HostName{"a1", "a2", "a3", "b1"}, "a1", nil, []cornelbay.HostName{"a1", "a2"}},
		{"reader refused", []cornelbay.HostName{"a1", "a2", "a3", "b1"}, "", []cornelbay.HostName{"a1", "a2"}, []cornelbay.HostName{"a3"}},
		{"all refused", []cornelbay.HostName{"a1", "b1"}, "", []cornelbay.HostName{"a1", "b1"}, []cornelbay.HostName{"a1"}},
		{"alone", []cornelbay.HostName{"a3"}, "", nil, []cornelbay.HostName{"a3"}},
	} {
		t.Run(c.title, func(t *testing.T) {
			is := is.New(t)
			var readers []cornelbay.HostName
			for _, self := range hosts {
				if !contains(c.alive, self.Name) {
					continue
				}
				m := Members{Self: self}
				for _, other := range hosts {
					if other.Name != self.Name {
						at := start
						if !contains(c.alive, other.Name) {
							at = start.Add(-2 * silentAfterIntervals * MinInterval)
						}
						m.Observe(at, 1, Heartbeat{
							Host: other, Stopping: other.Name == c.stops, Refused: contains(c.refused, other.Name), IntervalMs: 150,
						})
					}
				}
				if m.IsReader(start, contains(c.refused, self.Name)) {
					readers = append(readers, self.Name)
				}
			}
			is.Equal(readers, c.want)
		})
	}
}

func contains(names []cornelbay.HostName, name cornelbay.HostName) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

func TestSilentHostIsReportedOnce(t *testing.T) {
	is := is.New(t)
	m := Members{Self: host("a", "x")}
	is.True(m.Observe(start, 7, Heartbeat{Host: host("b", "x"), IntervalMs: 150}))
	is.True(!m.Observe(start.Add(MinInterval), 7, Heartbeat{Host: host("b", "x"), IntervalMs: 150}))
	is.Equal(m.Incarnation("b"), cornelbay.Incarnation(7))
	reported := 0
	for i := range 20 {
		before := start.Add(time.Duration(i) * MinInterval)
		reported += len(m.FellSilent(before, before.Add(MinInterval)))
	}
	is.Equal(reported, 1)
	is.True(m.Observe(start.Add(time.Minute), 8, Heartbeat{Host: host("b", "x"), IntervalMs: 150}))
}

// filledTables returns tables at a revision, with one route and one target.
func filledTables(at registry.Revision) *registry.Tables {
	var t registry.Tables
	t.ReplaceRouting(start, at, at, registry.Routing{Policy: registry.Policy{Version: uint64(at)}, Routes: []registry.Route{{
		Name: "r", Address: netip.MustParseAddrPort("198.18.0.1:80"), Shares: []registry.Share{{Service: "s", Weight: 1}},
	}}})
	t.Targets.Replace(start, at, []registry.Record[registry.Target]{{
		Name: "i-1", Revision: at, Value: registry.Target{Name: "i-1", Number: 1, Service: "s", Address: netip.MustParseAddrPort("10.0.0.2:80")},
	}})
	t.Evacuations.Replace(start, at, nil)
	t.Hosts.Replace(start, at, nil)
	for _, confirm := range []func(time.Time) bool{t.Routes.Confirm, t.Targets.Confirm, t.Evacuations.Confirm} {
		confirm(start)
	}
	return &t
}

func TestPullFillsEmptyTables(t *testing.T) {
	is := is.New(t)
	from := filledTables(5)
	var to registry.Tables
	is.True(RevisionsOf(&to).Behind(RevisionsOf(from)))
	later := start.Add(time.Second)
	r := Pull{Since: RevisionsOf(&to)}.Answer(later, from)
	is.True(r.Merge(later, &to))
	is.True(to.Synced())
	is.Equal(to.Targets.ConfirmedAt(), start) // as fresh as the sender, not fresher
	is.Equal(len(to.View().Routes), 1)
	is.True(!RevisionsOf(&to).Behind(RevisionsOf(from)))
	is.True(!r.Merge(later, &to)) // the same again
}

func TestConfirmationRequiresItsRevision(t *testing.T) {
	is := is.New(t)
	behind, ahead := filledTables(5), filledTables(6)
	now := start.Add(time.Minute)
	Ages{Routing: 10, Targets: 10, Evacuations: 10}.Confirm(now, RevisionsOf(ahead), behind)
	is.Equal(behind.Targets.ConfirmedAt(), start)
	Ages{Routing: 10, Targets: unknownAgeMs, Evacuations: 10}.Confirm(now, RevisionsOf(behind), behind)
	is.Equal(behind.Targets.ConfirmedAt(), start) // the sender's age is unknown
	is.Equal(behind.Routes.ConfirmedAt(), now.Add(-10*time.Millisecond))
}

// TestRestartedHostIsReportedAsNew covers a host that restarts before it counts as
// silent: it has lost its state, too.
func TestRestartedHostIsReportedAsNew(t *testing.T) {
	is := is.New(t)
	m := Members{Self: host("a", "x")}
	m.Observe(start, 7, Heartbeat{Host: host("b", "x"), IntervalMs: 150})
	is.True(!m.Observe(start.Add(MinInterval), 7, Heartbeat{Host: host("b", "x"), IntervalMs: 150}))
	is.True(m.Observe(start.Add(2*MinInterval), 8, Heartbeat{Host: host("b", "x"), IntervalMs: 150}))
}

func TestReplyDoesNotMarkHostAlive(t *testing.T) {
	is := is.New(t)
	m := Members{Self: host("a", "x")}
	is.True(!m.Observe(start, 7, Heartbeat{Host: host("b", "y")}))
	is.Equal(len(m.Alive(start)), 0)
	is.True(m.Observe(start, 7, Heartbeat{Host: host("b", "y"), IntervalMs: 150}))
	m.Observe(start.Add(time.Minute), 7, Heartbeat{Host: host("b", "y")})
	is.Equal(len(m.Alive(start.Add(time.Minute))), 0)
}

func TestHeartbeatFitsDatagram(t *testing.T) {
	is := is.New(t)
	hb := Heartbeat{
		Host: host("edge-ait-bouguemez-12", "ait-bouguemez"), Loads: map[uint32]uint32{}, Outcomes: map[uint32]Outcome{},
	}
	for i := range uint32(100) {
		hb.Loads[0xf0000000+i] = 200
	}
	for i := range uint32(30) {
		hb.Outcomes[0xf0000000+i] = Outcome{Ended: 20, Failed: 2, TookMs: 700}
	}
	c := peer.Codec{Self: "edge-ait-bouguemez-12", Incarnation: 1, Keys: [][]byte{make([]byte, 32)}}
	b, err := c.Seal(hb)
	is.NoErr(err)
	_, got, err := (&peer.Codec{Self: "x", Keys: c.Keys}).Open(b)
	is.NoErr(err)
	is.Equal(got.(Heartbeat), hb)
}

func FuzzOpenHeartbeat(f *testing.F) {
	c := peer.Codec{Self: "a", Incarnation: 1, Keys: [][]byte{make([]byte, 32)}}
	b, err := c.Seal(Heartbeat{Host: host("a", "x"), Loads: map[uint32]uint32{1: 2}, Outcomes: map[uint32]Outcome{1: {Ended: 2}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		open := peer.Codec{Self: "b", Keys: [][]byte{make([]byte, 32)}}
		if e, m, err := open.Open(b); err == nil && m.Kind() != e.Kind {
			t.Fatalf("a message of kind %d in an envelope of kind %d", m.Kind(), e.Kind)
		}
	})
}

func TestRepliesToRemoteHostsAreRateLimited(t *testing.T) {
	is := is.New(t)
	m := Members{Self: host("a", "a")}
	m.Observe(start, 1, Heartbeat{Host: host("b", "b"), IntervalMs: 150})
	m.Observe(start, 1, Heartbeat{Host: host("c", "a"), IntervalMs: 150})
	is.True(m.AllowReply(start, "b"))
	is.True(!m.AllowReply(start, "b"))
	is.True(!m.AllowReply(start, "c")) // gets heartbeats anyway
	is.True(m.AllowReply(start.Add(minReplyInterval), "b"))
}

// TestEraDecidesBeforeRevision covers hosts of which one has noticed that the store came
// back from an older copy.
func TestEraDecidesBeforeRevision(t *testing.T) {
	is := is.New(t)
	ahead, behind := filledTables(registry.NewRevision(1, 5)), filledTables(900)
	is.True(RevisionsOf(behind).Behind(RevisionsOf(ahead)))
	// The later configuration version of the one behind is no reason to step back.
	is.Equal(RevisionsOf(ahead).Targets.Era(), uint64(1))
	r := Pull{Since: DeltaBasesOf(behind, RevisionsOf(ahead))}.Answer(start, ahead)
	is.True(r.Merge(start, behind))
	is.Equal(behind.Targets.Revision(), ahead.Targets.Revision())

	late := Pull{}.Answer(start, filledTables(901))
	is.True(!late.Merge(start, ahead))
	is.Equal(ahead.Targets.Revision(), registry.NewRevision(1, 5))
}

// TestLaterConfigurationAtSameRevisionIsPulled covers a host that has kept a configuration
// that the store has lost, and one that has started since and read the older one.
func TestLaterConfigurationAtSameRevisionIsPulled(t *testing.T) {
	is := is.New(t)
	config := func(version uint64) registry.Routing {
		return registry.Routing{Policy: registry.Policy{Version: version}}
	}
	var kept, started registry.Tables
	kept.ReplaceRouting(start, 20, 20, config(7))
	kept.ReplaceRouting(start, registry.NewRevision(1, 10), registry.NewRevision(1, 5), config(3))
	started.ReplaceRouting(start, registry.NewRevision(1, 10), registry.NewRevision(1, 5), config(3))
	is.Equal(kept.Routes.Revision(), started.Routes.Revision())
	is.True(RevisionsOf(&started).Behind(RevisionsOf(&kept)))
	is.True(!RevisionsOf(&kept).Behind(RevisionsOf(&started)))
	r := Pull{Since: DeltaBasesOf(&started, RevisionsOf(&kept))}.Answer(start, &kept)
	is.True(r.Merge(start, &started))
	is.Equal(started.ConfigVersion(), uint64(7))
}

// TestHeartbeatOfEarlierVersionIsReadable checks that the revisions of a host that doesn't
// know eras compare as those of era 0, and that it reads those of this version.
func TestHeartbeatOfEarlierVersionIsReadable(t *testing.T) {
	is := is.New(t)
	type earlierRevisions struct {
		Routing     uint64 `cbor:"1,keyasint"`
		Targets     uint64 `cbor:"2,keyasint"`
		Evacuations uint64 `cbor:"3,keyasint"`
		Hosts       uint64 `cbor:"4,keyasint"`
	}
	b, err := cbor.Marshal(earlierRevisions{1, 2, 3, 4})
	is.NoErr(err)
	var now Revisions
	is.NoErr(cbor.Unmarshal(b, &now))
	is.Equal(now, Revisions{Routing: 1, Targets: 2, Evacuations: 3, Hosts: 4})
	b, err = cbor.Marshal(Revisions{Routing: registry.NewRevision(1, 7), Targets: 2, Version: 9})
	is.NoErr(err)
	var earlier earlierRevisions
	is.NoErr(cbor.Unmarshal(b, &earlier))
	is.Equal(earlier.Routing, uint64(registry.NewRevision(1, 7)))
}

// TestLargeReplyIsPacked packs a configuration of 1,400 routes, which many hosts pull at
// once over a link of 20 Mbit/s.
func TestLargeReplyIsPacked(t *testing.T) {
	is := is.New(t)
	var from, to registry.Tables
	r := registry.Routing{Policy: registry.Policy{Version: 3}}
	for i := range uint16(1400) {
		r.Routes = append(r.Routes, registry.Route{
			Name: fmt.Sprintf("route-%x", xxhash.Sum64([]byte{byte(i), byte(i >> 8)})), Address: netip.AddrPortFrom(netip.MustParseAddr("198.18.0.1"), i),
			Shares: []registry.Share{{Service: "statut", Weight: 1}}, Timeout: 2 * time.Second, Objective: 400 * time.Millisecond,
		})
	}
	from.ReplaceRouting(start, 9, 9, r)
	plain := Pull{}.Answer(start, &from)
	packed, err := plain.Pack()
	is.NoErr(err)
	is.True(len(packed.Packed) > 0 && len(packed.Packed) < 64<<10)
	b, err := cbor.Marshal(plain)
	is.NoErr(err)
	is.True(len(packed.Packed) < len(b)/4)
	got, err := packed.Unpack()
	is.NoErr(err)
	is.True(got.Merge(start, &to))
	is.Equal(to.Routes.Digest(), from.Routes.Digest())
	is.Equal(to.ConfigVersion(), uint64(3))

	small, err := Pull{Since: RevisionsOf(&from)}.Answer(start, &from).Pack()
	is.NoErr(err)
	is.Equal(len(small.Packed), 0)
	_, err = PullReply{Packed: []byte("no flate")}.Unpack()
	is.True(err != nil)
}
