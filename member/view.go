package member

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelbay/cornelbay"
)

// The times of the membership protocol.
const (
	HeartbeatInterval = 500 * time.Millisecond
	// SuspectAfter is the silence after which a host becomes suspect.
	SuspectAfter = 1250 * time.Millisecond
	// ConfirmAfter is the time that a suspect has to refute in a small group.
	ConfirmAfter = 750 * time.Millisecond
	// MissingFor is how long a dead host may still be handling packets.
	MissingFor = 30 * time.Second
	// ForgetAfter is how long a host that ended is remembered.
	ForgetAfter = 10 * time.Minute
	// GapAfter is the time between two inputs that counts as a pause.
	GapAfter = time.Second
	// QueueDrain is the time after a pause in which heartbeats may be old ones.
	QueueDrain = 250 * time.Millisecond
	// TransitAllowance is the time that a heartbeat may take at most for the age
	// that it carries to hold.
	TransitAllowance = 100 * time.Millisecond
	// LapseGrace is when a pause is over though no peer has been heard.
	LapseGrace = 2 * time.Second
)

// View is what one host knows of the others; one goroutine uses it.
type View struct {
	Self cornelbay.Host
	// Seed seeds the choice of hosts to send to.
	Seed uint64
	// Fill adds what other concerns piggyback on a heartbeat; nil adds nothing.
	Fill func(*Heartbeat)
	// Generation is that of the configuration in force; the confirmation of a
	// higher one says nothing of it.
	Generation uint64
	// Leaving marks the own heartbeats during a planned stop.
	Leaving bool

	counter   uint32
	peers     map[cornelbay.HostName]*peer
	sorted    []*peer
	seeds     []seed
	news      news
	confirmed time.Time
	rand      *rand.Rand

	// What follows is worked out from peers when it has changed.
	dirty    bool
	members  cornelbay.Members
	version  uint64
	ring     []*peer
	liveHash uint32

	last, next, pausedAt time.Time
	lapsed, left         bool
	ringDirty            bool
	gaps                 uint64
	urgent               []cornelbay.HostName
	rounds               int
	mates, ended, intros rotation
	sync                 syncState
}

type peer struct {
	host cornelbay.Host
	// position is the host's place on the ring.
	position uint64
	state    State
	counter  uint32
	// since is when the state began, heard when the host was last heard itself.
	since, heard time.Time
	// expected is true when the host sends its heartbeats to this one, since
	// expectedAt.
	expected   bool
	expectedAt time.Time
	// answered is when it was last told that it is believed suspect or dead.
	answered time.Time
}

func (p *peer) live() bool { return p.state == Alive || p.state == Suspect }

func (p *peer) item() Item {
	return Item{Name: p.host.Name, Incarnation: p.host.Incarnation, Counter: p.counter, State: p.state}
}

func (p *peer) setState(now time.Time, s State) {
	p.state, p.since = s, now
}

// Introduce makes the view send heartbeats to hosts that it has not heard of;
// it neither ends nor revives any. A host with no name, or whose name is its
// datagram address, is a seed: it is asked by that address for the others.
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

// Confirm takes a time at which the platform confirmed the head to this host.
func (v *View) Confirm(at time.Time) {
	if at.After(v.confirmed) {
		v.confirmed = at
	}
}

// Check notices a pause of this host. It is called with every input, before
// the input is handled; what was known of others has lapsed after a pause.
func (v *View) Check(now time.Time) {
	if !v.last.IsZero() && now.Sub(v.last) > GapAfter {
		v.lapse(now)
	}
	v.last = now
	if v.lapsed && now.Sub(v.pausedAt) >= LapseGrace {
		v.lapsed, v.dirty = false, true
	}
}

func (v *View) lapse(now time.Time) {
	v.gaps++
	v.lapsed, v.pausedAt, v.dirty = true, now, true
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

// Lapsed reports whether the host has been paused and has heard no peer since;
// it takes itself as not live meanwhile.
func (v *View) Lapsed() bool { return v.lapsed }

// Gaps returns the number of pauses so far.
func (v *View) Gaps() uint64 { return v.gaps }

// Lookup returns what is known of the named host.
func (v *View) Lookup(name cornelbay.HostName) (cornelbay.Host, bool) {
	if name == v.Self.Name {
		return v.Self, true
	}
	if p, ok := v.peers[name]; ok {
		return p.host, true
	}
	return cornelbay.Host{}, false
}

// Live returns the hosts that are alive, the own one included, by name.
func (v *View) Live(now time.Time) []cornelbay.Host { return v.Members(now).Live }

// Members returns what is known of the group. Its slices are shared and never
// change. While the host is lapsed nobody is live, itself included, and those
// that were live are missing.
func (v *View) Members(time.Time) cornelbay.Members {
	v.refresh()
	m := v.members
	m.ConfirmedAt = v.confirmed
	return m
}

// Version returns a number that changes with the hosts of Members.
func (v *View) Version() uint64 {
	v.refresh()
	return v.version
}

// refresh works out the lists of members.
func (v *View) refresh() {
	if !v.dirty && v.version > 0 {
		return
	}
	v.dirty = false
	var m cornelbay.Members
	for _, p := range v.sorted {
		switch {
		case p.live() && !v.lapsed:
			m.Live = append(m.Live, p.host)
		case p.live(), p.state == Dead && v.last.Sub(p.since) < MissingFor:
			m.Missing = append(m.Missing, p.host)
		}
	}
	if !v.lapsed {
		at, _ := slices.BinarySearchFunc(m.Live, v.Self, func(a, b cornelbay.Host) int {
			return strings.Compare(string(a.Name), string(b.Name))
		})
		m.Live = slices.Insert(m.Live, at, v.Self)
	}
	v.liveHash = hashOf(m.Live)
	if v.version == 0 || !slices.Equal(m.Live, v.members.Live) || !slices.Equal(m.Missing, v.members.Missing) {
		v.members = m
		v.version++
	}
}

func hashOf(hosts []cornelbay.Host) uint32 {
	var sum uint64
	for _, h := range hosts {
		sum ^= xxhash.Sum64String(string(h.Name)) * (2*uint64(h.Incarnation) + 1)
	}
	return uint32(sum >> 32)
}
