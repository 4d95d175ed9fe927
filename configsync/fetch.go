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

// The limits of a fetch.
const (
	maxReplyBytes = 256 << 10
	// callRate is the number of calls to the platform a second that a host may
	// make in the long run, and callBurst the number at once.
	callRate  = 4.0
	callBurst = 32.0
	// pastGenerations is the number of generations whose names are remembered.
	pastGenerations = 16
)

// FetchArgs asks another host for the generation that it has in force.
type FetchArgs struct {
	Group string
	// Generation, Base and Manifest are what the asking host holds.
	Generation     uint64
	Base, Manifest string
	// Head is the generation that is being gathered, and Want lists the digests of
	// the objects that it still lacks.
	Head uint64
	Want []string
}

// Method returns the name of the net/rpc method.
func (FetchArgs) Method() string { return "Config.Fetch" }

// FetchReply answers FetchArgs.
type FetchReply struct {
	// Generation is in force at the host that answers.
	Generation uint64
	// Head is the head as it is stored; it is empty when the asking host's
	// generation is not older.
	Head []byte
	// Version is the platform's version of the head, or 0 when it is not known.
	Version uint64
	// ConfirmedAgeMs is the age of the last confirmation by the platform, or 0.
	ConfirmedAgeMs int64
	// Objects are shards; a reply holds as many as fit.
	Objects [][]byte
}

// fetch is a generation that is being gathered.
type fetch struct {
	// found has no generation until a head is read.
	found
	// next is a higher head that is fetched afterwards.
	next    found
	objects config.Objects
	// asked holds the hosts that did not help.
	asked map[cornelbay.HostName]bool
	// peer is the host that is being asked under the number call until due.
	peer cornelbay.HostName
	call uint64
	due  time.Time
	// sent holds when each call to a host was made; a late answer is taken too.
	sent map[uint64]time.Time
	// platformAt is when the platform may be asked next, and peersAt when the hosts
	// that did not help are asked again.
	platformAt, peersAt time.Time
}

// found is a head that is higher than the one in force.
type found struct {
	head    config.Head
	raw     []byte
	version uint64
	// sentAt is a time at which the head was the platform's or older, or zero.
	sentAt time.Time
}

// take starts a fetch of a head. A fetch that runs is finished first, so that
// changes in quick succession do not keep each other from coming into force.
func (k *Keeper) take(n found) {
	f := k.fetching()
	switch {
	case f.head.Generation == 0, f.head.Generation == n.head.Generation:
		f.found = n
	case n.head.Generation > max(f.head.Generation, f.next.head.Generation):
		f.next = n
	}
}

// fetching returns the fetch that runs; a new one starts with the objects in
// force, most of which a new generation shares.
func (k *Keeper) fetching() *fetch {
	if k.fetch == nil {
		k.fetch = &fetch{
			objects: make(config.Objects), asked: make(map[cornelbay.HostName]bool), sent: make(map[uint64]time.Time),
		}
		for d, b := range k.objects {
			k.fetch.objects[d] = b
		}
	}
	return k.fetch
}

// objectRead takes the bytes of an object; what it is, is told by its digest.
func (k *Keeper) objectRead(now time.Time, b []byte) {
	f := k.fetch
	if f == nil {
		return
	}
	d := config.Digest(b)
	if !slices.Contains(f.objects.Missing(f.head, k.Group), d) {
		k.Stats.Refused++
		k.failed(now, 0)
		return
	}
	f.objects[d] = b
}

// advance does the next step towards the highest generation that was heard of.
func (k *Keeper) advance(now time.Time) []cornelbay.Effect {
	higher := k.Poll == 0 && k.highest() > k.head.Generation
	if higher && k.fetch == nil && !now.Before(k.nextFetch) {
		k.fetching()
	}
	f := k.fetch
	if f == nil {
		return nil
	}
	if f.head.Generation == 0 && f.call == 0 && !higher {
		k.fetch = nil // it asked for a confirmation and no more
		return nil
	}
	if f.head.Generation > 0 && len(f.objects.Missing(f.head, k.Group)) == 0 {
		k.adopt(now)
		return k.advance(now)
	}
	if f.call != 0 && now.Before(f.due) {
		return nil
	}
	if f.call != 0 {
		f.call = 0
		f.asked[f.peer] = true
		f.peersAt = later(f.peersAt, now.Add(peerRound))
	}
	if k.Poll == 0 {
		if len(f.asked) > 0 && now.After(f.peersAt) {
			clear(f.asked)
			f.peersAt = now.Add(peerRound + k.spread(peerRound))
		}
		if h, ok := k.source(f); ok {
			return k.askPeer(now, f, h)
		}
	}
	return k.askPlatform(now, f)
}

// highest returns the highest generation that a live host is known to have.
func (k *Keeper) highest() uint64 {
	var n uint64
	for name, g := range k.heard {
		if k.names[name] {
			n = max(n, g)
		}
	}
	return n
}

// source returns the nearest host that has the wanted generation and was not
// asked in vain: one of the own data centre before others, else by a hash that
// spreads the askers.
func (k *Keeper) source(f *fetch) (cornelbay.Host, bool) {
	wanted := max(f.head.Generation, k.head.Generation+1)
	var best cornelbay.Host
	var rank uint64
	for _, h := range k.live {
		if k.heard[h.Name] < wanted || f.asked[h.Name] || h.Name == k.Self.Name {
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

func (k *Keeper) askPeer(now time.Time, f *fetch, h cornelbay.Host) []cornelbay.Effect {
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

// askConfirmation asks another host, after a pause, what is in force.
func (k *Keeper) askConfirmation(now time.Time) []cornelbay.Effect {
	if len(k.live) < 2 {
		return nil
	}
	f := k.fetching()
	if f.call != 0 && now.Before(f.due) {
		return nil
	}
	for _, h := range k.shuffled() {
		if h.Name != k.Self.Name && !f.asked[h.Name] {
			return k.askPeer(now, f, h)
		}
	}
	return nil
}

func (k *Keeper) shuffled() []cornelbay.Host {
	out := slices.Clone(k.live)
	k.spread(1) // makes sure that there is a source
	k.Rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// askPlatform reads what is missing from the platform; when nothing is known but
// a number, that is the head.
func (k *Keeper) askPlatform(now time.Time, f *fetch) []cornelbay.Effect {
	if now.Before(f.platformAt) {
		return nil
	}
	if f.head.Generation == 0 {
		f.platformAt = now.Add(k.probeInterval())
		if k.asking(config.HeadKey) {
			return nil
		}
		return k.ask(now, objectstore.Call{Op: objectstore.Get, Key: config.HeadKey})
	}
	var out []cornelbay.Effect
	for _, d := range f.objects.Missing(f.head, k.Group) {
		if key := config.ShardPrefix + d; !k.asking(key) {
			out = append(out, k.ask(now, objectstore.Call{Op: objectstore.Get, Key: key})...)
		}
	}
	return out
}

// asking reports whether a call for the key has no answer yet and is not late.
func (k *Keeper) asking(key string) bool {
	for _, c := range k.calls {
		if c.Key == key && !c.late {
			return true
		}
	}
	return false
}

// PeerAnswer takes another host's answer to a fetch and reports whether a new
// generation came into force.
func (k *Keeper) PeerAnswer(now time.Time, a peer.Answer) ([]cornelbay.Effect, bool) {
	k.input(now)
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
	if a.Err != nil || !ok || !k.fetched(f, r, askedAt) {
		f.asked[a.Call.To] = true
	}
	out := k.advance(now)
	return out, k.head.Generation != before
}

// fetched takes the reply of another host and reports whether it helped.
func (k *Keeper) fetched(f *fetch, r FetchReply, askedAt time.Time) bool {
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
	n := found{head: h, raw: r.Head, version: r.Version}
	if r.ConfirmedAgeMs > 0 {
		n.sentAt = askedAt.Add(-age)
	}
	if !helped || len(f.objects.Missing(h, k.Group)) == 0 {
		// The host has gone on: its head is whole already, or that of the fetch is
		// not to be had from it.
		f.found = n
		return true
	}
	k.take(n)
	return true
}

// adopt puts the gathered generation in force, whole.
func (k *Keeper) adopt(now time.Time) {
	f := k.fetch
	k.fetch = nil
	if f.head.Generation <= k.head.Generation {
		return
	}
	doc, err := f.objects.Join(f.head, k.Group)
	if err != nil {
		k.Stats.Refused++
		k.failed(now, 0)
		k.nextFetch = k.nextHead
		return
	}
	named := f.objects.Named(f.head, k.Group)
	held := make(config.Objects, len(named))
	for _, d := range named {
		held[d] = f.objects[d]
	}
	k.past = append(k.past, pastGeneration{f.head.Generation, named})
	k.past = k.past[max(len(k.past)-pastGenerations, 0):]
	k.head, k.raw, k.version = f.head, f.raw, f.version
	k.doc, k.objects = doc, held
	if !f.sentAt.IsZero() {
		k.pausedAt = time.Time{} // the fetch was started after any pause
		k.confirm(f.sentAt)
	}
	if f.next.head.Generation > 0 {
		k.fetching().found = f.next
	}
}

// pastGeneration is what a generation that was in force named.
type pastGeneration struct {
	generation uint64
	named      []string
}

// serveObjects returns what an asking host lacks of the head in force.
func (k *Keeper) serveObjects(args FetchArgs) [][]byte {
	want := args.Want
	if args.Head != k.head.Generation {
		want = k.lacking(args)
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

// lacking returns the digests of what a host lacks that has the generation of
// the arguments in force; when that one is not known any more these are the base
// and the manifest.
func (k *Keeper) lacking(args FetchArgs) []string {
	named := k.objects.Named(k.head, k.Group)
	if args.Generation == 0 {
		return named
	}
	has := []string{args.Base, args.Manifest}
	known := slices.IndexFunc(k.past, func(p pastGeneration) bool { return p.generation == args.Generation })
	if known >= 0 {
		has = k.past[known].named
	} else {
		named = named[:min(len(named), 2)]
	}
	return slices.DeleteFunc(named, func(d string) bool { return slices.Contains(has, d) })
}

// watcher reports whether the host watches the platform for its group in its
// data centre.
func (k *Keeper) watcher() bool {
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

// bucket is a token bucket for calls to the platform.
type bucket struct {
	spent float64
	at    time.Time
}

func (b *bucket) take(now time.Time) bool {
	if !b.at.IsZero() {
		b.spent = max(b.spent-now.Sub(b.at).Seconds()*callRate, 0)
	}
	b.at = now
	if b.spent+1 > callBurst {
		return false
	}
	b.spent++
	return true
}
