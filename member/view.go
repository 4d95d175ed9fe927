package member

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelbay/cornelbay"
)

// Timing of the membership protocol.
const (
	HeartbeatInterval = 500 * time.Millisecond
	// SuspectAfter is how long a host may be silent before it becomes suspect.
	SuspectAfter = 1250 * time.Millisecond
	// ConfirmAfter is how long a suspect may refute in a group of up to fullMesh
	// hosts.
	ConfirmAfter = 750 * time.Millisecond
	// MissingFor is how long a dead host is listed in Members.Missing, since it may
	// still be handling packets.
	MissingFor = 30 * time.Second
	// ForgetAfter is how long a dead or left host is remembered.
	ForgetAfter = 10 * time.Minute
	// PauseThreshold is the time between two inputs above which this host counts as
	// having been paused.
	PauseThreshold = time.Second
	// QueueDrain is how long after a pause received heartbeats may have been queued
	// during it.
	QueueDrain = 250 * time.Millisecond
	// TransitAllowance is added to the confirmation age in a received heartbeat. The age
	// is not understated as long as transit takes no longer than this.
	TransitAllowance = 100 * time.Millisecond
	// StaleTimeout is how long after a pause the view counts as stale when no peer is
	// heard.
	StaleTimeout = 2 * time.Second
)

// View is one host's view of the group. It is not safe for concurrent use.
type View struct {
	Self cornelbay.Host
	// Seed seeds the random choice of heartbeat recipients.
	Seed uint64
	// Fill, if not nil, adds data of other components to an outgoing heartbeat.
	Fill func(*Heartbeat)
	// Generation is the generation of the configuration in force. The confirmation of
	// a higher one does not confirm it.
	Generation uint64
	// Leaving marks this host's heartbeats during a planned stop.
	Leaving bool

	counter   uint32
	peers     map[cornelbay.HostName]*peer
	sorted    []*peer
	seeds     []seed
	gossip    gossipQueue
	confirmed time.Time
	rand      *rand.Rand

	// dirty is set when members, version and liveHash have to be recomputed from peers.
	// heartbeatTo holds the hosts that get a heartbeat in every round; it is recomputed
	// when ringDirty is set.
	dirty       bool
	members     cornelbay.Members
	version     uint64
	heartbeatTo []*peer
	liveHash    uint32

	// lastInput is the time of the last input, next that of the next heartbeat round,
	// and pauseEndedAt the end of the last pause.
	lastInput, next, pauseEndedAt time.Time
	stale, left                   bool
	ringDirty                     bool
	pauses                        uint64
	// urgent lists hosts that get a heartbeat at the next tick, and rounds is the number
	// of heartbeat rounds so far.
	urgent []cornelbay.HostName
	rounds int
	// Rotations for the choice of further heartbeat recipients by state. livePeers also
	// gives the hosts to request list pages from.
	livePeers, deadPeers, introducedPeers rotation
	sync                                  syncState
}

type peer struct {
	host cornelbay.Host
	// position is the hash of the host's name, its position on the ring.
	position uint64
	state    State
	counter  uint32
	// since is when the host entered its state; heard is when this host last received
	// a current message from it directly.
	since, heard time.Time
	// expected is true when the host must send its heartbeats to this one, which it
	// has had to do since expectedAt.
	expected   bool
	expectedAt time.Time
	// notifiedAt is when the host was last told that it is believed suspect or dead.
	notifiedAt time.Time
}

func (p *peer) live() bool { return p.state == Alive || p.state == Suspect }

func (p *peer) item() Item {
	return Item{Name: p.host.Name, Incarnation: p.host.Incarnation, Counter: p.counter, State: p.state}
}

func (p *peer) setState(now time.Time, s State) {
	p.state, p.since = s, now
}

// Introduce makes the view send heartbeats to hosts that it does not know. It never
// changes the state of a known host. A host with no name, or whose name is its
// datagram address, is a seed: it is asked for the member list at that address.
func (v *View) Introduce(hosts ...cornelbay.Host) {
	for _, h := range hosts {
		switch {
		case h.Name == v.Self.Name:
		case h.Name == "" || string(h.Name) == h.Datagram.String():
			v.addSeed(h.Datagram.String())
		case v.peers[h.Name] == nil:
			v.add(h)
		case v.peers[h.Name].state == Introduced && h.Incarnation >= v.peers[h.Name].host.Incarnation:
			v.peers[h.Name].host = h
		}
	}
}

func (v *View) add(h cornelbay.Host) *peer {
	if v.peers == nil {
		v.peers = make(map[cornelbay.HostName]*peer)
	}
	p := &peer{host: h, position: position(h.Name)}
	v.peers[h.Name] = p
	at, _ := slices.BinarySearchFunc(v.sorted, h.Name, compareName)
	v.sorted = slices.Insert(v.sorted, at, p)
	return p
}

func (v *View) remove(p *peer) {
	delete(v.peers, p.host.Name)
	if at, ok := slices.BinarySearchFunc(v.sorted, p.host.Name, compareName); ok {
		v.sorted = slices.Delete(v.sorted, at, at+1)
	}
}

func compareName(p *peer, name cornelbay.HostName) int {
	return strings.Compare(string(p.host.Name), string(name))
}

// Confirm records a time at which the platform confirmed the head that this host has.
func (v *View) Confirm(at time.Time) {
	if at.After(v.confirmed) {
		v.confirmed = at
	}
}

// Check detects a pause of this host. It is called with every input before the input
// is handled. After a pause the view is stale.
func (v *View) Check(now time.Time) {
	if !v.lastInput.IsZero() && now.Sub(v.lastInput) > PauseThreshold {
		v.markStale(now)
	}
	v.lastInput = now
	if v.stale && now.Sub(v.pauseEndedAt) >= StaleTimeout {
		v.stale, v.dirty = false, true
	}
}

func (v *View) markStale(now time.Time) {
	v.pauses++
	v.stale, v.pauseEndedAt, v.dirty = true, now, true
	for _, p := range v.sorted {
		p.expectedAt = now
		if p.state == Suspect {
			p.setState(now, Suspect)
		}
	}
}

func (v *View) random() *rand.Rand {
	if v.rand == nil {
		v.rand = rand.New(rand.NewPCG(v.Seed, position(v.Self.Name)))
	}
	return v.rand
}

// Stale reports whether this host was paused and has not heard a peer since. It is
// false again StaleTimeout after the pause even if no peer was heard. While the view is
// stale, the host counts as not live itself.
func (v *View) Stale() bool { return v.stale }

// Pauses returns the number of pauses so far.
func (v *View) Pauses() uint64 { return v.pauses }

// Lookup returns the record of the named host.
func (v *View) Lookup(name cornelbay.HostName) (cornelbay.Host, bool) {
	if name == v.Self.Name {
		return v.Self, true
	}
	if p, ok := v.peers[name]; ok {
		return p.host, true
	}
	return cornelbay.Host{}, false
}

// Live returns the live hosts, including this one, ordered by name.
func (v *View) Live(now time.Time) []cornelbay.Host { return v.Members(now).Live }

// Members returns the live and the missing hosts of the group. Its slices are shared
// and must not be modified. While the view is stale no host is live, this one
// included, and those that were live are missing. The time parameter is not used: the
// result is as of the last input.
func (v *View) Members(time.Time) cornelbay.Members {
	v.refresh()
	m := v.members
	m.ConfirmedAt = v.confirmed
	return m
}

// Version returns a number that changes whenever the hosts in Members change.
func (v *View) Version() uint64 {
	v.refresh()
	return v.version
}

// refresh recomputes the member lists if they are outdated.
func (v *View) refresh() {
	if !v.dirty && v.version > 0 {
		return
	}
	v.dirty = false
	var m cornelbay.Members
	for _, p := range v.sorted {
		switch {
		case p.live() && !v.stale:
			m.Live = append(m.Live, p.host)
		case p.live(), p.state == Dead && v.lastInput.Sub(p.since) < MissingFor:
			m.Missing = append(m.Missing, p.host)
		}
	}
	if !v.stale {
		at, _ := slices.BinarySearchFunc(m.Live, v.Self, func(a, b cornelbay.Host) int {
			return strings.Compare(string(a.Name), string(b.Name))
		})
		m.Live = slices.Insert(m.Live, at, v.Self)
	}
	v.liveHash = hashHosts(m.Live)
	if v.version == 0 || !slices.Equal(m.Live, v.members.Live) || !slices.Equal(m.Missing, v.members.Missing) {
		v.members = m
		v.version++
	}
}

func hashHosts(hosts []cornelbay.Host) uint32 {
	var sum uint64
	for _, h := range hosts {
		sum ^= xxhash.Sum64String(string(h.Name)) * (2*uint64(h.Incarnation) + 1)
	}
	return uint32(sum >> 32)
}
