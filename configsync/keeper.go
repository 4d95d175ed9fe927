// Package configsync keeps a host's configuration up to date: it learns of committed
// generations from the platform and from other hosts, and applies each completely or
// not at all.
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

// Timing of the keeper.
const (
	// WatchWait is how long a watch waits at the platform.
	WatchWait = time.Second
	// callTimeout is the timeout of a call to the platform, in addition to the wait
	// time of a watch.
	callTimeout = time.Second
	// forgetAfter is how long after its deadline the answer to a call is still used.
	forgetAfter = 30 * time.Second
	// peerTimeout is how long a host may take to answer before another one is asked.
	peerTimeout = 250 * time.Millisecond
	// peerRetryInterval is the least time before the hosts in triedPeers are asked again.
	peerRetryInterval = 300 * time.Millisecond
	// startJitter spreads the first calls of hosts that start together.
	startJitter = 500 * time.Millisecond
	// PauseThreshold is the time without input above which a host counts as paused.
	PauseThreshold = time.Second
	// queueDrain is how long after a pause heartbeats do not confirm the head, since
	// they may have been queued during the pause.
	queueDrain = 500 * time.Millisecond
	// UnconfirmedAfter is the age of the last confirmation above which a host that is
	// not a watcher calls the platform itself.
	UnconfirmedAfter = 3 * time.Second
	// probeSpacing is the mean time between platform calls of the whole group while the
	// head is unconfirmed.
	probeSpacing = 200 * time.Millisecond
	// probeMin is the least mean time between one host's platform calls while the head is
	// unconfirmed.
	probeMin = 2 * time.Second
	// backoffMin and backoffMax are the first and the longest delay after failed calls,
	// before jitter.
	backoffMin = 100 * time.Millisecond
	backoffMax = 2 * time.Second
)

// ErrGroup is returned for a fetch by a host of another group.
var ErrGroup = merry.New("the host serves another group")

// Stats holds the counters of a keeper.
type Stats struct {
	PlatformCalls, PeerCalls int
	// Refused counts heads and objects that were rejected as corrupted or outdated.
	Refused int
	// Pauses counts the detected pauses of this host.
	Pauses int
}

// Keeper follows the highest committed generation and applies it atomically. A few
// keepers of each data centre watch the platform; the others learn of a new
// generation from heartbeats and fetch it from other hosts. A Keeper is not safe for
// concurrent use. Of its fields only Self is required.
type Keeper struct {
	Self cornelbay.Host
	// Group is the group of services that this host serves.
	Group string
	// Rand is the source of jitter; nil means a source seeded with the host's name and
	// incarnation.
	Rand *rand.Rand
	// Poll, if not 0, makes the keeper only poll the platform at this interval, without
	// watches and without other hosts.
	Poll time.Duration

	Stats Stats

	live            []cornelbay.Host
	liveNames       map[cornelbay.HostName]bool
	peerGenerations map[cornelbay.HostName]uint64

	// The generation in force. version is the platform's version of its head, or 0 when
	// it is unknown.
	head    config.Head
	rawHead []byte
	version uint64
	doc     *config.Document
	objects config.Objects
	past    []pastGeneration

	fetch *fetch
	// nextFetch is the earliest start of a fetch after a generation that could not be
	// assembled from its objects.
	nextFetch     time.Time
	calls         map[uint64]call
	lastCall      uint64
	peerCalls     uint64
	platformLimit tokenBucket

	started, lastInput time.Time
	// pauseEndedAt is the end of the last pause; it is reset once a call made after the
	// pause confirms the head.
	pauseEndedAt time.Time
	// queueDrainedAt is when heartbeats confirm the head again after a pause.
	queueDrainedAt time.Time
	confirmedAt    time.Time
	// nextHeadRead is the earliest time of the next read or watch of the head, and
	// failures the number of failed calls since the last success.
	nextHeadRead time.Time
	failures     int
}

// call is an outstanding call to the platform.
type call struct {
	objectstore.Call
	sentAt, due time.Time
	// late is set when the call has timed out; its answer is still used.
	late bool
}

// Generation returns the generation in force, or 0 when there is none.
func (k *Keeper) Generation() uint64 { return k.head.Generation }

// Head returns the head of the generation in force.
func (k *Keeper) Head() config.Head { return k.head }

// Document returns the document in force, restricted to the services of the keeper's
// group, or nil when there is none.
func (k *Keeper) Document() *config.Document { return k.doc }

// ConfirmedAt returns the last time at which the platform is known to have confirmed
// the head in force, through a call of this host or as reported by another. After a
// pause it does not change until a call made after the pause is answered.
func (k *Keeper) ConfirmedAt() time.Time { return k.confirmedAt }

// Stale reports whether the host was paused and its head has not been confirmed
// since.
func (k *Keeper) Stale(now time.Time) bool {
	k.detectPause(now)
	return !k.pauseEndedAt.IsZero()
}

// ConfirmedAgeMs returns the age of ConfirmedAt at the last input in milliseconds, at
// least 1; 0 means that the head was never confirmed. FetchReply uses the same encoding,
// member.Heartbeat another one.
func (k *Keeper) ConfirmedAgeMs() int64 {
	if k.confirmedAt.IsZero() {
		return 0
	}
	return max(k.lastInput.Sub(k.confirmedAt).Milliseconds(), 1)
}

// SetMembers sets the live hosts, including this one.
func (k *Keeper) SetMembers(live []cornelbay.Host) {
	k.live = live
	k.liveNames = make(map[cornelbay.HostName]bool, len(live))
	for _, h := range live {
		k.liveNames[h.Name] = true
	}
	for name := range k.peerGenerations {
		if !k.liveNames[name] {
			delete(k.peerGenerations, name)
		}
	}
}

// ReceiveHeartbeat processes a heartbeat of another host: the generation it has in force
// and, if ageMs is not 0, how long ago the platform confirmed it.
func (k *Keeper) ReceiveHeartbeat(now time.Time, from cornelbay.HostName, generation uint64, ageMs int64) []cornelbay.Effect {
	k.detectPause(now)
	if k.peerGenerations == nil {
		k.peerGenerations = make(map[cornelbay.HostName]uint64)
	}
	k.peerGenerations[from] = generation
	// The confirmation of a lower generation counts too: the head in force includes
	// everything that was committed before it.
	if generation > 0 && generation <= k.head.Generation && ageMs > 0 && k.pauseEndedAt.IsZero() && !now.Before(k.queueDrainedAt) {
		k.confirm(now.Add(-time.Duration(ageMs) * time.Millisecond))
	}
	return k.advance(now)
}

// Tick returns the calls that are due at now.
func (k *Keeper) Tick(now time.Time) []cornelbay.Effect {
	k.detectPause(now)
	k.expire(now)
	return append(k.advance(now), k.pollHead(now)...)
}

// detectPause detects a pause of this host, a gap of more than PauseThreshold between two
// inputs, which is longer than the time between ticks can explain. It discards the calls
// made before the pause.
func (k *Keeper) detectPause(now time.Time) {
	if k.started.IsZero() {
		k.started, k.lastInput = now, now
		k.nextHeadRead = now.Add(k.jitter(startJitter))
	}
	if now.Sub(k.lastInput) > PauseThreshold {
		k.Stats.Pauses++
		k.pauseEndedAt = now
		k.queueDrainedAt = now.Add(queueDrain)
		k.calls, k.fetch = nil, nil
		k.nextHeadRead, k.failures = now, 0
	}
	k.lastInput = now
}

// confirm records that the head in force was the platform's at the given time.
func (k *Keeper) confirm(at time.Time) {
	if k.head.Generation > 0 && at.After(k.confirmedAt) {
		k.confirmedAt = at
	}
}

// confirmByCall is confirm for the answer to a call. It ends the stale state after a
// pause and ignores calls that were made before the pause.
func (k *Keeper) confirmByCall(sentAt, at time.Time) {
	if sentAt.Before(k.pauseEndedAt) {
		return
	}
	k.pauseEndedAt = time.Time{}
	k.confirm(at)
}

// pollHead reads or watches the head when due.
func (k *Keeper) pollHead(now time.Time) []cornelbay.Effect {
	if now.Before(k.nextHeadRead) || k.callPending(config.HeadKey) {
		return nil
	}
	c := objectstore.Call{Op: objectstore.Get, Key: config.HeadKey}
	switch {
	case k.Poll > 0:
		k.nextHeadRead = now.Add(k.Poll)
	case !k.pauseEndedAt.IsZero():
		k.nextHeadRead = now.Add(queueDrain + k.jitter(queueDrain))
		return append(k.callPlatform(now, c), k.confirmWithPeer(now)...)
	case k.isWatcher() && k.failures > 0:
		// After a failure a plain read detects recovery sooner than a watch, which may
		// not answer for a while.
	case k.isWatcher():
		c = objectstore.Call{Op: objectstore.Watch, Key: config.HeadKey, Version: k.version, Wait: WatchWait}
		if k.fetch != nil && k.fetch.version != 0 {
			c.Version = max(k.fetch.version, k.fetch.next.version)
		}
	case now.Sub(latest(k.confirmedAt, k.started)) > UnconfirmedAfter:
		k.nextHeadRead = now.Add(k.probeInterval())
	default:
		return nil
	}
	return k.callPlatform(now, c)
}

// probeInterval returns the time between this host's reads of the head while it is
// unconfirmed. It grows with the group size so that the group's total rate does not.
func (k *Keeper) probeInterval() time.Duration {
	d := max(probeMin, time.Duration(len(k.live))*probeSpacing)
	return d/2 + k.jitter(d)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// callPlatform returns the call as an effect, or nothing when the rate limit is
// reached.
func (k *Keeper) callPlatform(now time.Time, c objectstore.Call) []cornelbay.Effect {
	if !k.platformLimit.take(now) {
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

// expire marks overdue calls as failed and drops them after forgetAfter.
func (k *Keeper) expire(now time.Time) {
	for id, c := range k.calls {
		switch {
		case now.Sub(c.due) > forgetAfter:
			delete(k.calls, id)
		case now.After(c.due) && !c.late:
			c.late = true
			k.calls[id] = c
			k.backOff(now, 0)
		}
	}
}

// backOff delays the next call by an exponential backoff with jitter, and by at least
// the given time.
func (k *Keeper) backOff(now time.Time, atLeast time.Duration) {
	d := min(backoffMin<<min(k.failures, 8), backoffMax)
	k.failures++
	next := now.Add(max(d/2+k.jitter(d), atLeast+k.jitter(atLeast/2)))
	k.nextHeadRead = latest(k.nextHeadRead, next)
	if k.fetch != nil {
		k.fetch.platformAt = next
	}
}

// ReceivePlatformAnswer processes the platform's answer to a call and reports whether a new
// generation came into force.
func (k *Keeper) ReceivePlatformAnswer(now time.Time, a objectstore.Answer) ([]cornelbay.Effect, bool) {
	k.detectPause(now)
	c, ok := k.calls[a.Call.ID]
	if !ok {
		return nil, false // the call was made before a pause, or has expired
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
		k.backOff(now, a.RetryAfter)
	case c.Key == config.HeadKey:
		k.handleHead(now, c, a.Object)
	default:
		k.handleObject(now, a.Object.Value)
	}
	out := k.advance(now)
	return out, k.head.Generation != before
}

// handleHead processes a head that was read from the platform.
func (k *Keeper) handleHead(now time.Time, c call, o objectstore.Object) {
	h, err := config.ParseHead(o.Value)
	if err != nil {
		k.Stats.Refused++
		k.backOff(now, 0)
		return
	}
	switch {
	case h.Generation < k.head.Generation, h.Generation == k.head.Generation && h.Digest != k.head.Digest:
		// A stale read, or a second head with the same generation. A watch for a change
		// from its version would return immediately every time.
		k.Stats.Refused++
		k.backOff(now, 0)
	case h.Generation == k.head.Generation:
		k.failures = 0
		k.version = o.Version
		k.confirmByCall(c.sentAt, c.sentAt)
	default:
		k.failures = 0
		k.startFetch(headCandidate{head: h, raw: o.Value, version: o.Version, confirmedAt: c.sentAt})
	}
}

// Serve answers the fetch of another host.
func (k *Keeper) Serve(now time.Time, args FetchArgs) (FetchReply, error) {
	k.detectPause(now)
	if args.Group != k.Group {
		return FetchReply{}, merry.Wrap(ErrGroup, merry.AppendMessagef("%q, not %q", k.Group, args.Group))
	}
	r := FetchReply{Generation: k.head.Generation, Version: k.version, ConfirmedAgeMs: k.ConfirmedAgeMs()}
	if k.head.Generation <= args.Generation && len(args.Want) == 0 {
		return r, nil
	}
	r.Head = k.rawHead
	r.Objects = k.serveObjects(args)
	return r, nil
}

// jitter returns a random duration less than d.
func (k *Keeper) jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	if k.Rand == nil {
		k.Rand = rand.New(rand.NewPCG(hash(string(k.Self.Name)), uint64(k.Self.Incarnation)))
	}
	return time.Duration(k.Rand.Int64N(int64(d)))
}
