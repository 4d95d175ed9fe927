package configsync

import (
	"context"
	"errors"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/config"
	"github.com/cornelbay/cornelbay/examples"
	"github.com/cornelbay/cornelbay/objectstore"
	"github.com/cornelbay/cornelbay/peer"
)

// fakeGroup runs keepers on a virtual clock and answers their calls immediately.
type fakeGroup struct {
	t               *testing.T
	now             time.Time
	store           objectstore.Memory
	down            error
	corrupt         func(objectstore.Answer) objectstore.Answer
	keepers         map[cornelbay.HostName]*Keeper
	paused          cornelbay.HostName
	withoutPlatform cornelbay.HostName
	peersCut        bool
	calls           int
}

func newFakeGroup(t *testing.T, names ...cornelbay.HostName) *fakeGroup {
	f := &fakeGroup{t: t, now: time.Unix(1_800_000_000, 0), keepers: make(map[cornelbay.HostName]*Keeper)}
	var live []cornelbay.Host
	for _, n := range names {
		live = append(live, cornelbay.Host{Name: n, DataCentre: "imlil"})
	}
	for _, h := range live {
		f.keepers[h.Name] = &Keeper{Self: h}
		f.keepers[h.Name].SetMembers(live)
	}
	return f
}

// commit writes a document as the given generation.
func (f *fakeGroup) commit(generation uint64, latencyMs int) (config.Head, config.Objects) {
	f.t.Helper()
	doc, err := config.Parse(examples.Agence)
	if err != nil {
		f.t.Fatal(err)
	}
	doc.Services[0].Level.LatencyMs = latencyMs
	h, objects, err := doc.Split()
	if err != nil {
		f.t.Fatal(err)
	}
	h.Generation = generation
	for d, b := range objects {
		f.put(config.ObjectPrefix+d, b)
	}
	b, err := h.Marshal()
	if err != nil {
		f.t.Fatal(err)
	}
	f.put(config.HeadKey, b)
	return h, objects
}

func (f *fakeGroup) put(key string, b []byte) {
	f.t.Helper()
	c := objectstore.Call{Op: objectstore.Create, Key: key, Value: b}
	if a := f.store.Do(context.Background(), objectstore.Call{Key: key}); a.Err == nil {
		c.Op, c.Version = objectstore.Update, a.Object.Version
	}
	if a := f.store.Do(context.Background(), c); a.Err != nil {
		f.t.Fatal(a.Err)
	}
}

func (f *fakeGroup) do(k *Keeper, effects []cornelbay.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case objectstore.Call:
			out, _ := k.ReceivePlatformAnswer(f.now, f.platform(k, e))
			f.do(k, out)
		case peer.Call:
			a := peer.Answer{Call: e, Err: peer.ErrNoAnswer}
			if !f.peersCut {
				a.Reply, a.Err = f.keepers[e.To].Serve(f.now, e.Args.(FetchArgs))
			}
			out, _ := k.ReceivePeerAnswer(f.now, a)
			f.do(k, out)
		}
	}
}

func (f *fakeGroup) platform(k *Keeper, c objectstore.Call) objectstore.Answer {
	f.calls++
	if f.withoutPlatform == k.Self.Name {
		return objectstore.Answer{Call: c, Err: objectstore.ErrUnavailable}
	}
	if f.down != nil {
		return objectstore.Answer{Call: c, Err: f.down, RetryAfter: time.Second}
	}
	ctx := context.Background()
	a := f.store.Do(ctx, objectstore.Call{ID: c.ID, Op: objectstore.Get, Key: c.Key})
	a.Call = c
	if c.Op == objectstore.Watch && a.Object.Version == c.Version {
		a.Err = objectstore.ErrNotModified
	}
	if f.corrupt != nil {
		a = f.corrupt(a)
	}
	return a
}

// run ticks every keeper for the given time; each receives heartbeats of the others
// twice a second.
func (f *fakeGroup) run(span time.Duration) {
	for end := f.now.Add(span); f.now.Before(end); f.now = f.now.Add(100 * time.Millisecond) {
		for _, name := range slices.Sorted(maps.Keys(f.keepers)) {
			if name != f.paused {
				k := f.keepers[name]
				f.do(k, k.Tick(f.now))
				f.deliverHeartbeats(k)
			}
		}
	}
}

// deliverHeartbeats passes the due heartbeats of the other hosts to a keeper.
func (f *fakeGroup) deliverHeartbeats(k *Keeper) {
	if f.peersCut || f.now.UnixMilli()%500 != 0 {
		return
	}
	for _, from := range slices.Sorted(maps.Keys(f.keepers)) {
		if other := f.keepers[from]; from != k.Self.Name && from != f.paused {
			f.do(k, k.ReceiveHeartbeat(f.now, from, other.Generation(), other.ConfirmedAgeMs()))
		}
	}
}

func TestKeeperRejectsIncompleteGenerations(t *testing.T) {
	swap := func(b []byte) func(a objectstore.Answer) objectstore.Answer {
		return func(a objectstore.Answer) objectstore.Answer {
			if a.Call.Key != config.HeadKey {
				a.Object.Value = b
			}
			return a
		}
	}
	for _, c := range []struct {
		name    string
		corrupt func(a objectstore.Answer) objectstore.Answer
	}{
		{"shards missing", func(a objectstore.Answer) objectstore.Answer {
			if a.Call.Key != config.HeadKey {
				a.Err = objectstore.ErrNotFound
			}
			return a
		}},
		{"shards corrupted", swap([]byte(`{"services":[]}`))},
		{"shards empty", swap(nil)},
		{"head half-written", func(a objectstore.Answer) objectstore.Answer {
			if a.Call.Key == config.HeadKey {
				a.Object.Value = a.Object.Value[:len(a.Object.Value)/2]
			}
			return a
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFakeGroup(t, "a")
			k := f.keepers["a"]
			f.corrupt = c.corrupt
			f.commit(1, 100)
			f.run(3 * time.Second)
			is.True(k.Document() == nil) // nothing rather than an incomplete document
			f.corrupt = nil
			f.run(3 * time.Second)
			is.Equal(k.Generation(), uint64(1))
			f.corrupt = c.corrupt
			f.commit(2, 200)
			f.run(3 * time.Second)
			is.Equal(k.Generation(), uint64(1)) // the last complete generation
			is.Equal(k.Document().Services[1].Level.LatencyMs, 100)
			f.corrupt = nil
			f.run(3 * time.Second)
			is.Equal(k.Generation(), uint64(2))
		})
	}
}

func TestKeeperIgnoresOlderGenerations(t *testing.T) {
	is := is.New(t)
	f := newFakeGroup(t, "a")
	k := f.keepers["a"]
	f.commit(5, 100)
	f.run(2 * time.Second)
	f.commit(4, 200)
	f.run(5 * time.Second)
	is.Equal(k.Generation(), uint64(5))
	f.commit(5, 200) // the same generation with another document
	f.run(5 * time.Second)
	is.Equal(k.Document().Services[1].Level.LatencyMs, 100)
	is.True(f.now.Sub(k.ConfirmedAt()) > 9*time.Second) // neither read confirms the head
	f.commit(6, 300)
	f.run(4 * time.Second)
	is.Equal(k.Generation(), uint64(6))
}

func TestNewKeeperFetchesFromPeers(t *testing.T) {
	is := is.New(t)
	f := newFakeGroup(t, "a", "b")
	f.commit(1, 100)
	f.run(2 * time.Second)
	f.down = objectstore.ErrUnavailable
	fresh := newFakeGroup(t, "a", "b", "c").keepers["c"]
	f.keepers["c"] = fresh
	f.peersCut = true
	f.run(5 * time.Second)
	is.True(fresh.Document() == nil) // neither the platform nor a peer is reachable
	f.peersCut = false
	f.run(time.Second)
	is.Equal(fresh.Generation(), uint64(1))
	is.True(!fresh.ConfirmedAt().IsZero()) // as reported by its peers
	is.True(f.now.Sub(fresh.ConfirmedAt()) > 5*time.Second)
}

func TestFetchSkipsToNewerGenerationOfPeers(t *testing.T) {
	is := is.New(t)
	f := newFakeGroup(t, "a", "b")
	f.commit(1, 100)
	f.run(2 * time.Second)
	f.paused = "b"
	f.corrupt = func(a objectstore.Answer) objectstore.Answer {
		if a.Call.Key != config.HeadKey {
			a.Err = objectstore.ErrNotFound
		}
		return a
	}
	f.commit(2, 200)
	f.run(2 * time.Second)
	is.Equal(f.keepers["a"].fetch.head.Generation, uint64(2)) // its shards cannot be read
	f.paused, f.corrupt, f.withoutPlatform = "", nil, "a"
	f.commit(3, 300)
	f.run(4 * time.Second)
	is.Equal(f.keepers["b"].Generation(), uint64(3)) // holds no shard of generation 2
	is.Equal(f.keepers["a"].Generation(), uint64(3))
}

func TestPlatformDownForAnHour(t *testing.T) {
	for _, c := range []struct {
		name string
		err  error
	}{{"down", objectstore.ErrUnavailable}, {"limited", objectstore.ErrLimited}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			names := []cornelbay.HostName{"a", "b", "c", "d", "e", "f", "g", "h"}
			f := newFakeGroup(t, names...)
			f.commit(1, 100)
			f.run(2 * time.Second)
			f.down, f.calls = c.err, 0
			f.run(time.Hour)
			perSecond := float64(f.calls) / time.Hour.Seconds()
			is.True(perSecond < 2*WatchersPerDataCentre+5) // two per watcher, five for the other hosts together
			f.down = nil
			f.commit(2, 200)
			f.calls = 0
			f.run(time.Second)
			is.True(f.calls < 40) // no burst of calls on recovery
			f.run(3 * time.Second)
			for _, n := range names {
				is.Equal(f.keepers[n].Generation(), uint64(2))
			}
		})
	}
}

func TestOnlyWatchersCallThePlatform(t *testing.T) {
	is := is.New(t)
	f := newFakeGroup(t, "a", "b", "c", "d", "e", "f")
	f.run(2 * time.Second)
	f.commit(1, 100)
	f.run(10 * time.Second)
	callers := 0
	for _, k := range f.keepers {
		is.Equal(k.Generation(), uint64(1))
		if k.Stats.PlatformCalls > 0 {
			callers++
		}
	}
	is.Equal(callers, WatchersPerDataCentre)
}

func TestPausedKeeperIsStaleUntilConfirmed(t *testing.T) {
	is := is.New(t)
	f := newFakeGroup(t, "a", "b")
	f.commit(1, 100)
	f.run(3 * time.Second)
	k := f.keepers["a"]
	before := k.ConfirmedAt()
	is.True(!before.IsZero())
	f.paused = "a"
	f.run(time.Minute)
	f.paused, f.down, f.peersCut = "", objectstore.ErrUnavailable, true
	is.True(k.Stale(f.now))
	is.Equal(k.ConfirmedAt(), before)
	k.ReceiveHeartbeat(f.now, "b", 1, 200) // may have been queued for a minute
	is.Equal(k.ConfirmedAt(), before)
	f.run(3 * time.Second)
	is.True(k.Stale(f.now))
	f.peersCut = false
	f.run(3 * time.Second)
	is.True(!k.Stale(f.now)) // confirmed by a peer's answer to a call made after the pause
	is.True(f.now.Sub(k.ConfirmedAt()) < 8*time.Second)
}

func TestLateAnswerIsUsed(t *testing.T) {
	is := is.New(t)
	f := newFakeGroup(t, "a")
	f.commit(1, 100)
	k := f.keepers["a"]
	var first objectstore.Call
	for first.ID == 0 {
		for _, e := range k.Tick(f.now) {
			first = e.(objectstore.Call)
		}
		f.now = f.now.Add(100 * time.Millisecond)
	}
	for range 40 {
		k.Tick(f.now) // the answer to first is four seconds late
		f.now = f.now.Add(100 * time.Millisecond)
	}
	out, _ := k.ReceivePlatformAnswer(f.now, f.platform(k, first))
	f.do(k, out)
	is.Equal(k.Generation(), uint64(1))
}

func TestFetchOfAnotherGroupIsRefused(t *testing.T) {
	is := is.New(t)
	k := &Keeper{Group: "north"}
	_, err := k.Serve(time.Unix(1_800_000_000, 0), FetchArgs{Group: "south"})
	is.True(errors.Is(err, ErrGroup))
}
