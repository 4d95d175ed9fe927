package configsync

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/config"
	"github.com/cornelbay/cornelbay/objectstore"
	"github.com/cornelbay/cornelbay/peer"
)

// WatchersPerDataCentre is the number of hosts of a group that watch the
// platform in each data centre.
const WatchersPerDataCentre = 2

// Limits of a fetch.
const (
	maxReplyBytes = 256 << 10
	// callRate is the sustained rate of calls to the platform per second and host;
	// callBurst is the largest burst.
	callRate  = 4.0
	callBurst = 32.0
	// pastGenerations is the number of past generations whose digests are remembered.
	pastGenerations = 16
)

// FetchArgs asks another host for the generation that it has in force.
type FetchArgs struct {
	Group string
	// Generation, Base and Manifest describe the generation in force at the requester.
	Generation     uint64
	Base, Manifest string
	// Head is the generation that the requester is fetching, and Want lists the digests
	// of the objects of it that are still missing.
	Head uint64
	Want []string
}

// Method returns the name of the net/rpc method.
func (FetchArgs) Method() string { return "Config.Fetch" }

// FetchReply answers FetchArgs.
type FetchReply struct {
	// Generation is the generation in force at the responder.
	Generation uint64
	// Head is the encoded head. It is empty when the requester's generation is not
	// older and no objects were requested.
	Head []byte
	// Version is the platform's version of the head, or 0 when it is unknown.
	Version uint64
	// ConfirmedAgeMs is the age of the last confirmation by the platform in milliseconds,
	// at least 1; 0 means that there was none. See Keeper.ConfirmedAgeMs.
	ConfirmedAgeMs int64
	// Objects holds objects that the requester lacks, up to maxReplyBytes in total, but
	// at least one if the responder has any of them.
	Objects [][]byte
}

// fetch is the state of fetching one generation.
type fetch struct {
	// headCandidate has no generation until a head is read.
	headCandidate
	// next is a higher head to fetch afterwards.
	next    headCandidate
	objects config.Objects
	// triedPeers holds the hosts that did not answer or had nothing new.
	triedPeers map[cornelbay.HostName]bool
	// peer is the host with an outstanding request, call its call ID, or 0 when there
	// is none, and due its deadline.
	peer cornelbay.HostName
	call uint64
	due  time.Time
	// sent holds the time of each call to a host by call ID, including overdue calls,
	// whose answers are still used.
	sent map[uint64]time.Time
	// platformAt is when the platform may be called next, and peersAt when triedPeers
	// may be asked again.
	platformAt, peersAt time.Time
}

// headCandidate is a head with a higher generation than the one in force.
type headCandidate struct {
	head    config.Head
	raw     []byte
	version uint64
	// confirmedAt is a time at which the platform held no later head than this one, or
	// zero if unknown.
	confirmedAt time.Time
}

// startFetch starts fetching a head, or queues it behind a running fetch. The running
// one is finished first, so that changes in quick succession cannot keep every
// generation from coming into force.
func (k *Keeper) startFetch(c headCandidate) {
	f := k.ensureFetch()
	switch {
	case f.head.Generation == 0, f.head.Generation == c.head.Generation:
		f.headCandidate = c
	case c.head.Generation > max(f.head.Generation, f.next.head.Generation):
		f.next = c
	}
}

// ensureFetch returns the running fetch, or starts one. A new one is seeded with the
// objects in force, since a new generation shares most of them.
func (k *Keeper) ensureFetch() *fetch {
	if k.fetch == nil {
		k.fetch = &fetch{
			objects: make(config.Objects), triedPeers: make(map[cornelbay.HostName]bool), sent: make(map[uint64]time.Time),
		}
		for d, b := range k.objects {
			k.fetch.objects[d] = b
		}
	}
	return k.fetch
}

// handleObject adds an object that was read from the platform to the fetch; its digest
// identifies it.
func (k *Keeper) handleObject(now time.Time, b []byte) {
	f := k.fetch
	if f == nil {
		return
	}
	d := config.Digest(b)
	if !slices.Contains(f.objects.Missing(f.head, k.Group), d) {
		k.Stats.Refused++
		k.backOff(now, 0)
		return
	}
	f.objects[d] = b
}

// advance takes the next step towards the highest known generation.
func (k *Keeper) advance(now time.Time) []cornelbay.Effect {
	higher := k.Poll == 0 && k.highestPeerGeneration() > k.head.Generation
	if higher && k.fetch == nil && !now.Before(k.nextFetch) {
		k.ensureFetch()
	}
	f := k.fetch
	if f == nil {
		return nil
	}
	if f.head.Generation == 0 && f.call == 0 && !higher {
		k.fetch = nil // it only requested a confirmation
		return nil
	}
	if f.head.Generation > 0 && len(f.objects.Missing(f.head, k.Group)) == 0 {
		k.activate(now)
		return k.advance(now)
	}
	if f.call != 0 && now.Before(f.due) {
		return nil
	}
	if f.call != 0 {
		f.call = 0
		f.triedPeers[f.peer] = true
		f.peersAt = latest(f.peersAt, now.Add(peerRetryInterval))
	}
	if k.Poll == 0 {
		if len(f.triedPeers) > 0 && now.After(f.peersAt) {
			clear(f.triedPeers)
			f.peersAt = now.Add(peerRetryInterval + k.jitter(peerRetryInterval))
		}
		if h, ok := k.selectPeer(f); ok {
			return k.fetchFromPeer(now, f, h)
		}
	}
	return k.fetchFromPlatform(now, f)
}

// highestPeerGeneration returns the highest generation known to be in force at a live
// host.
func (k *Keeper) highestPeerGeneration() uint64 {
	var n uint64
	for name, g := range k.peerGenerations {
		if k.liveNames[name] {
			n = max(n, g)
		}
	}
	return n
}

// selectPeer returns the preferred host that has the wanted generation and is not in
// triedPeers. Hosts of the local data centre come first; within a data centre a hash
// of both names spreads the requesters over the hosts.
func (k *Keeper) selectPeer(f *fetch) (cornelbay.Host, bool) {
	wanted := max(f.head.Generation, k.head.Generation+1)
	var best cornelbay.Host
	var rank uint64
	for _, h := range k.live {
		if k.peerGenerations[h.Name] < wanted || f.triedPeers[h.Name] || h.Name == k.Self.Name {
			continue
		}
		r := hash(string(k.Self.Name)+"/"+string(h.Name)) >> 1
		if h.DataCentre != k.Self.DataCentre {
			r |= 1 << 63
		}
		if best.Name == "" || r < rank {
			best, rank = h, r
		}
	}
	return best, best.Name != ""
}

func (k *Keeper) fetchFromPeer(now time.Time, f *fetch, h cornelbay.Host) []cornelbay.Effect {
	k.peerCalls++
	k.Stats.PeerCalls++
	f.peer, f.call, f.due = h.Name, k.peerCalls, now.Add(peerTimeout)
	f.sent[f.call] = now
	args := FetchArgs{Group: k.Group, Generation: k.head.Generation, Base: k.head.Base, Manifest: k.head.Manifest(k.Group)}
	if f.head.Generation > 0 {
		args.Head, args.Want = f.head.Generation, f.objects.Missing(f.head, k.Group)
	}
	return []cornelbay.Effect{peer.Call{ID: f.call, To: h.Name, Address: h.RPC, Args: args}}
}

// confirmWithPeer asks a random other host, after a pause, which generation is in
// force.
func (k *Keeper) confirmWithPeer(now time.Time) []cornelbay.Effect {
	if len(k.live) < 2 {
		return nil
	}
	f := k.ensureFetch()
	if f.call != 0 && now.Before(f.due) {
		return nil
	}
	for _, h := range k.shuffledHosts() {
		if h.Name != k.Self.Name && !f.triedPeers[h.Name] {
			return k.fetchFromPeer(now, f, h)
		}
	}
	return nil
}

func (k *Keeper) shuffledHosts() []cornelbay.Host {
	out := slices.Clone(k.live)
	k.jitter(1) // initializes k.Rand
	k.Rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// fetchFromPlatform reads the missing objects from the platform, or the head as long
// as only the number of a higher generation is known.
func (k *Keeper) fetchFromPlatform(now time.Time, f *fetch) []cornelbay.Effect {
	if now.Before(f.platformAt) {
		return nil
	}
	if f.head.Generation == 0 {
		f.platformAt = now.Add(k.probeInterval())
		if k.callPending(config.HeadKey) {
			return nil
		}
		return k.callPlatform(now, objectstore.Call{Op: objectstore.Get, Key: config.HeadKey})
	}
	var out []cornelbay.Effect
	for _, d := range f.objects.Missing(f.head, k.Group) {
		if key := config.ObjectPrefix + d; !k.callPending(key) {
			out = append(out, k.callPlatform(now, objectstore.Call{Op: objectstore.Get, Key: key})...)
		}
	}
	return out
}

// callPending reports whether a call for the key is outstanding and not overdue.
func (k *Keeper) callPending(key string) bool {
	for _, c := range k.calls {
		if c.Key == key && !c.late {
			return true
		}
	}
	return false
}

// ReceivePeerAnswer processes another host's answer to a fetch and reports whether a new
// generation came into force.
func (k *Keeper) ReceivePeerAnswer(now time.Time, a peer.Answer) ([]cornelbay.Effect, bool) {
	k.detectPause(now)
	f := k.fetch
	if f == nil {
		return nil, false
	}
	askedAt, ok := f.sent[a.Call.ID]
	if !ok {
		return nil, false
	}
	delete(f.sent, a.Call.ID)
	if a.Call.ID == f.call {
		f.call = 0
	}
	before := k.head.Generation
	r, ok := a.Reply.(FetchReply)
	if a.Err != nil || !ok || !k.handleFetchReply(f, r, askedAt) {
		f.triedPeers[a.Call.To] = true
	}
	out := k.advance(now)
	return out, k.head.Generation != before
}

// handleFetchReply merges another host's reply into the fetch and reports whether the
// reply advanced it.
func (k *Keeper) handleFetchReply(f *fetch, r FetchReply, askedAt time.Time) bool {
	age := time.Duration(r.ConfirmedAgeMs) * time.Millisecond
	if r.Generation == k.head.Generation {
		if r.ConfirmedAgeMs > 0 {
			k.confirmByCall(askedAt, askedAt.Add(-age))
		}
		return false
	}
	if r.Generation < k.head.Generation {
		return false
	}
	h, err := config.ParseHead(r.Head)
	if err != nil || h.Generation != r.Generation {
		k.Stats.Refused++
		return false
	}
	helped := f.head.Generation == 0
	for _, b := range r.Objects {
		d := config.Digest(b)
		if _, held := f.objects[d]; !held {
			f.objects[d] = b
			helped = true
		}
	}
	if h.Generation <= f.head.Generation {
		return helped
	}
	c := headCandidate{head: h, raw: r.Head, version: r.Version}
	if r.ConfirmedAgeMs > 0 {
		c.confirmedAt = askedAt.Add(-age)
	}
	if !helped || len(f.objects.Missing(h, k.Group)) == 0 {
		// The host has a later generation: either that one is complete already, or the
		// host no longer has objects of the one being fetched.
		f.headCandidate = c
		return true
	}
	k.startFetch(c)
	return true
}

// activate puts the completely fetched generation in force.
func (k *Keeper) activate(now time.Time) {
	f := k.fetch
	k.fetch = nil
	if f.head.Generation <= k.head.Generation {
		return
	}
	doc, err := f.objects.Join(f.head, k.Group)
	if err != nil {
		k.Stats.Refused++
		k.backOff(now, 0)
		k.nextFetch = k.nextHeadRead
		return
	}
	named := f.objects.References(f.head, k.Group)
	held := make(config.Objects, len(named))
	for _, d := range named {
		held[d] = f.objects[d]
	}
	k.past = append(k.past, pastGeneration{f.head.Generation, named})
	k.past = k.past[max(len(k.past)-pastGenerations, 0):]
	k.head, k.rawHead, k.version = f.head, f.raw, f.version
	k.doc, k.objects = doc, held
	if !f.confirmedAt.IsZero() {
		k.pauseEndedAt = time.Time{} // the fetch was started after any pause
		k.confirm(f.confirmedAt)
	}
	if f.next.head.Generation > 0 {
		k.ensureFetch().headCandidate = f.next
	}
}

// pastGeneration holds the digests of the objects of a generation that was in force.
type pastGeneration struct {
	generation uint64
	digests    []string
}

// serveObjects returns the objects of the head in force that the requester lacks, up
// to maxReplyBytes in total. The first one is returned even if it is larger.
func (k *Keeper) serveObjects(args FetchArgs) [][]byte {
	want := args.Want
	if args.Head != k.head.Generation {
		want = k.missingDigests(args)
	}
	var out [][]byte
	size := 0
	for _, d := range want {
		b, ok := k.objects[d]
		if ok && (size == 0 || size+len(b) <= maxReplyBytes) {
			out = append(out, b)
			size += len(b)
		}
	}
	return out
}

// missingDigests returns the digests of the objects that the requester lacks, given
// the generation it has in force. If that generation is no longer remembered, only
// the base and the manifest are considered.
func (k *Keeper) missingDigests(args FetchArgs) []string {
	named := k.objects.References(k.head, k.Group)
	if args.Generation == 0 {
		return named
	}
	has := []string{args.Base, args.Manifest}
	known := slices.IndexFunc(k.past, func(p pastGeneration) bool { return p.generation == args.Generation })
	if known >= 0 {
		has = k.past[known].digests
	} else {
		named = named[:min(len(named), 2)]
	}
	return slices.DeleteFunc(named, func(d string) bool { return slices.Contains(has, d) })
}

// isWatcher reports whether this host is one of the WatchersPerDataCentre hosts of its
// data centre that watch the platform for the group: those whose names have the
// highest hashes.
func (k *Keeper) isWatcher() bool {
	own, before := hash(string(k.Self.Name)), 0
	for _, h := range k.live {
		if h.DataCentre != k.Self.DataCentre || h.Name == k.Self.Name {
			continue
		}
		if c := cmp.Compare(hash(string(h.Name)), own); c > 0 || c == 0 && h.Name > k.Self.Name {
			before++
		}
	}
	return before < WatchersPerDataCentre
}

func hash(s string) uint64 { return xxhash.Sum64String(s) }

// tokenBucket limits calls to the platform; spent is the number of tokens in use at the
// time spentAt.
type tokenBucket struct {
	spent   float64
	spentAt time.Time
}

func (b *tokenBucket) take(now time.Time) bool {
	if !b.spentAt.IsZero() {
		b.spent = max(b.spent-now.Sub(b.spentAt).Seconds()*callRate, 0)
	}
	b.spentAt = now
	if b.spent+1 > callBurst {
		return false
	}
	b.spent++
	return true
}
