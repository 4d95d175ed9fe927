// Package configsync keeps the configuration in force on a host: it learns of
// committed generations from the platform and from other hosts, and takes each
// whole or not at all.
package configsync

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/config"
	"github.com/cornelbay/cornelbay/objectstore"
)

// The times of the keeper.
const (
	// WatchWait is how long a watch waits at the platform.
	WatchWait = time.Second
	// callTimeout is when a call to the platform counts as failed, besides the
	// time that it waits.
	callTimeout = time.Second
	// forgetAfter is when an answer that came too late is not taken any more.
	forgetAfter = 30 * time.Second
	// peerTimeout is when another host is asked in place of one that is silent.
	peerTimeout = 250 * time.Millisecond
	// peerRound is the least time before hosts that did not help are asked again.
	peerRound = 300 * time.Millisecond
	// startSpread spreads the first calls of hosts that start together.
	startSpread = 500 * time.Millisecond
	// PauseGap is the time without input from which a host counts as paused.
	PauseGap = time.Second
	// pauseQuiet is how long after a pause heartbeats that may have waited in a
	// queue do not confirm the head.
	pauseQuiet = 500 * time.Millisecond
	// UnconfirmedAfter is when a host that does not watch asks the platform itself.
	UnconfirmedAfter = 3 * time.Second
	// probeSpacing is the time between the calls of all hosts of a group together
	// while nobody confirms the head.
	probeSpacing = 200 * time.Millisecond
	probeLeast   = 2 * time.Second
	backoffLeast = 100 * time.Millisecond
	backoffMost  = 2 * time.Second
)

// ErrGroup refuses a fetch by a host of another group.
var ErrGroup = merry.New("the host serves another group")

// Stats counts what a keeper did.
type Stats struct {
	// PlatformCalls and PeerCalls count calls.
	PlatformCalls, PeerCalls int
	// Refused counts heads and objects that were corrupted or older.
	Refused int
	// Pauses counts the gaps in the host's own time.
	Pauses int
}

// Keeper learns the highest committed generation and takes it whole. A few
// keepers of each data centre watch the platform; the others learn of a new
// generation from heartbeats and fetch it from other hosts. It is used by one
// goroutine; its zero value needs Self only.
type Keeper struct {
	Self cornelbay.Host
	// Group names the services that the host serves.
	Group string
	// Rand spreads calls in time; nil stands for a source seeded by the name.
	Rand *rand.Rand
	// Poll makes the keeper read the head at this interval and nothing else; 0 is
	// the way with watches and peers.
	Poll time.Duration

	Stats Stats

	live  []cornelbay.Host
	names map[cornelbay.HostName]bool
	heard map[cornelbay.HostName]uint64

	// The generation in force.
	head    config.Head
	raw     []byte
	version uint64
	doc     *config.Document
	objects config.Objects
	past    []pastGeneration

	fetch     *fetch
	nextFetch time.Time
	calls     map[uint64]call
	lastCall  uint64
	peerCalls uint64
	budget    bucket

	started, lastInput time.Time
	// pausedAt is the end of the last pause until a call confirms the head.
	pausedAt    time.Time
	quietUntil  time.Time
	confirmedAt time.Time
	nextHead    time.Time
	failures    int
}

// call is a call to the platform without an answer yet.
type call struct {
	objectstore.Call
	sentAt, due time.Time
	// late is set when the call counts as failed; its answer is still taken.
	late bool
}

// Generation returns the generation in force, or 0 when there is none.
func (k *Keeper) Generation() uint64 { return k.head.Generation }

// Head returns the head of the generation in force.
func (k *Keeper) Head() config.Head { return k.head }

// Document returns the document in force with the services of the own group, or
// nil when there is none.
func (k *Keeper) Document() *config.Document { return k.doc }

// ConfirmedAt returns the last time at which the platform is known to have
// confirmed the head in force, by an own call or another host's word. After a
// pause it stays where it was until the answer to a call made since then.
func (k *Keeper) ConfirmedAt() time.Time { return k.confirmedAt }

// Stale reports whether the host was paused and has not confirmed since then
// that what it holds is in force.
func (k *Keeper) Stale(now time.Time) bool {
	k.input(now)
	return !k.pausedAt.IsZero()
}

// ConfirmedAgeMs returns the age of ConfirmedAt at the last input in
// milliseconds, at least 1, or 0 when there is none.
func (k *Keeper) ConfirmedAgeMs() int64 {
	if k.confirmedAt.IsZero() {
		return 0
	}
	return max(k.lastInput.Sub(k.confirmedAt).Milliseconds(), 1)
}

// SetMembers takes the hosts that are alive, the own one included.
func (k *Keeper) SetMembers(live []cornelbay.Host) {
	k.live = live
	k.names = make(map[cornelbay.HostName]bool, len(live))
	for _, h := range live {
		k.names[h.Name] = true
	}
	for name := range k.heard {
		if !k.names[name] {
			delete(k.heard, name)
		}
	}
}

// Heard takes what a heartbeat of another host tells: the generation it has in
// force and, where ageMs is not 0, how long ago the platform confirmed it.
func (k *Keeper) Heard(now time.Time, from cornelbay.HostName, generation uint64, ageMs int64) []cornelbay.Effect {
	k.input(now)
	if k.heard == nil {
		k.heard = make(map[cornelbay.HostName]uint64)
	}
	k.heard[from] = generation
	// What was committed before a lower generation was confirmed is in this one.
	if generation > 0 && generation <= k.head.Generation && ageMs > 0 && k.pausedAt.IsZero() && !now.Before(k.quietUntil) {
		k.confirm(now.Add(-time.Duration(ageMs) * time.Millisecond))
	}
	return k.advance(now)
}

// Tick returns the calls that are due at now.
func (k *Keeper) Tick(now time.Time) []cornelbay.Effect {
	k.input(now)
	k.expire(now)
	return append(k.advance(now), k.readHead(now)...)
}

// input notices a pause: a gap between two inputs that is longer than the time
// between ticks can explain.
func (k *Keeper) input(now time.Time) {
	if k.started.IsZero() {
		k.started, k.lastInput = now, now
		k.nextHead = now.Add(k.spread(startSpread))
	}
	if now.Sub(k.lastInput) > PauseGap {
		k.Stats.Pauses++
		k.pausedAt = now
		k.quietUntil = now.Add(pauseQuiet)
		k.calls, k.fetch = nil, nil
		k.nextHead, k.failures = now, 0
	}
	k.lastInput = now
}

// confirm notes that the head in force was the platform's at the given time.
func (k *Keeper) confirm(at time.Time) {
	if k.head.Generation > 0 && at.After(k.confirmedAt) {
		k.confirmedAt = at
	}
}

// confirmByCall notes the same from a call that was made after any pause.
func (k *Keeper) confirmByCall(sentAt, at time.Time) {
	if sentAt.Before(k.pausedAt) {
		return
	}
	k.pausedAt = time.Time{}
	k.confirm(at)
}

// readHead reads or watches the head when that is due.
func (k *Keeper) readHead(now time.Time) []cornelbay.Effect {
	if now.Before(k.nextHead) || k.asking(config.HeadKey) {
		return nil
	}
	c := objectstore.Call{Op: objectstore.Get, Key: config.HeadKey}
	switch {
	case k.Poll > 0:
		k.nextHead = now.Add(k.Poll)
	case !k.pausedAt.IsZero():
		k.nextHead = now.Add(pauseQuiet + k.spread(pauseQuiet))
		return append(k.ask(now, c), k.askConfirmation(now)...)
	case k.watcher() && k.failures > 0:
		// After a failure a plain read tells sooner than a watch that may be silent.
	case k.watcher():
		c = objectstore.Call{Op: objectstore.Watch, Key: config.HeadKey, Version: k.version, Wait: WatchWait}
		if k.fetch != nil && k.fetch.version != 0 {
			c.Version = max(k.fetch.version, k.fetch.next.version)
		}
	case now.Sub(later(k.confirmedAt, k.started)) > UnconfirmedAfter:
		k.nextHead = now.Add(k.probeInterval())
	default:
		return nil
	}
	return k.ask(now, c)
}

// probeInterval is the time between a host's own reads of the head while nobody
// confirms it; it grows with the group, so that the group's rate does not.
func (k *Keeper) probeInterval() time.Duration {
	d := max(probeLeast, time.Duration(len(k.live))*probeSpacing)
	return d/2 + k.spread(d)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// ask returns the call to the platform, or nothing when the budget is spent.
func (k *Keeper) ask(now time.Time, c objectstore.Call) []cornelbay.Effect {
	if !k.budget.take(now) {
		return nil
	}
	k.lastCall++
	k.Stats.PlatformCalls++
	c.ID = k.lastCall
	if k.calls == nil {
		k.calls = make(map[uint64]call)
	}
	due := now.Add(callTimeout)
	if c.Op == objectstore.Watch {
		due = due.Add(c.WaitTime())
	}
	k.calls[c.ID] = call{Call: c, sentAt: now, due: due}
	return []cornelbay.Effect{c}
}

// expire fails the calls that were not answered in time, and forgets them later.
func (k *Keeper) expire(now time.Time) {
	for id, c := range k.calls {
		switch {
		case now.Sub(c.due) > forgetAfter:
			delete(k.calls, id)
		case now.After(c.due) && !c.late:
			c.late = true
			k.calls[id] = c
			k.failed(now, 0)
		}
	}
}

// failed puts off the next call, by more after each failure.
func (k *Keeper) failed(now time.Time, atLeast time.Duration) {
	d := min(backoffLeast<<min(k.failures, 8), backoffMost)
	k.failures++
	next := now.Add(max(d/2+k.spread(d), atLeast+k.spread(atLeast/2)))
	k.nextHead = later(k.nextHead, next)
	if k.fetch != nil {
		k.fetch.platformAt = next
	}
}

// StoreAnswer takes the answer to a call and reports whether a new generation
// came into force.
func (k *Keeper) StoreAnswer(now time.Time, a objectstore.Answer) ([]cornelbay.Effect, bool) {
	k.input(now)
	c, ok := k.calls[a.Call.ID]
	if !ok {
		return nil, false // it was asked before a pause, or long ago
	}
	delete(k.calls, a.Call.ID)
	before := k.head.Generation
	switch {
	case errors.Is(a.Err, objectstore.ErrNotModified):
		k.failures = 0
		if c.Version == k.version && c.Version != 0 {
			k.confirmByCall(c.sentAt, c.sentAt)
		}
	case a.Err != nil:
		k.failed(now, a.RetryAfter)
	case c.Key == config.HeadKey:
		k.headRead(now, c, a.Object)
	default:
		k.objectRead(now, a.Object.Value)
	}
	out := k.advance(now)
	return out, k.head.Generation != before
}

// headRead takes a head that the platform answered.
func (k *Keeper) headRead(now time.Time, c call, o objectstore.Object) {
	h, err := config.ParseHead(o.Value)
	if err != nil {
		k.Stats.Refused++
		k.failed(now, 0)
		return
	}
	switch {
	case h.Generation < k.head.Generation, h.Generation == k.head.Generation && h.Digest != k.head.Digest:
		// An older read; a watch on it would answer at once, time and again.
		k.Stats.Refused++
		k.failed(now, 0)
	case h.Generation == k.head.Generation:
		k.failures = 0
		k.version = o.Version
		k.confirmByCall(c.sentAt, c.sentAt)
	default:
		k.failures = 0
		k.take(found{head: h, raw: o.Value, version: o.Version, sentAt: c.sentAt})
	}
}

// Serve answers another host that fetches a generation.
func (k *Keeper) Serve(now time.Time, args FetchArgs) (FetchReply, error) {
	k.input(now)
	if args.Group != k.Group {
		return FetchReply{}, ErrGroup
	}
	r := FetchReply{Generation: k.head.Generation, Version: k.version, ConfirmedAgeMs: k.ConfirmedAgeMs()}
	if k.head.Generation <= args.Generation && len(args.Want) == 0 {
		return r, nil
	}
	r.Head = k.raw
	r.Objects = k.serveObjects(args)
	return r, nil
}

// spread returns a random time below d.
func (k *Keeper) spread(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	if k.Rand == nil {
		k.Rand = rand.New(rand.NewPCG(hash(string(k.Self.Name)), uint64(k.Self.Incarnation)))
	}
	return time.Duration(k.Rand.Int64N(int64(d)))
}
