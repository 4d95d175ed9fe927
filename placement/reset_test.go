package placement

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelbay/cornelbay"
)

// callerRetransmits is when a caller retransmits its opening.
const callerRetransmits = 200 * time.Millisecond

// TestNoResetAfterTheCallerMayHaveRetransmitted guards against a reset of a flow that another
// host has opened, as the caller has retransmitted the opening while this host stood still.
func TestNoResetAfterTheCallerMayHaveRetransmitted(t *testing.T) {
	is := is.New(t)
	ms := func(n int) time.Time { return start.Add(time.Duration(n) * time.Millisecond) }
	for _, c := range []struct {
		name string
		// ticks are the times of ticks, in milliseconds, before and after the opening is read.
		before []int
		read   int
		after  []int
		// sent is when the caller may have sent the opening, and arrived when it arrived, if that
		// is known.
		sent, arrived int
		refused       bool
	}{
		{"no stall", []int{0, 10}, 15, []int{20, 120}, 15, 0, true},
		{"stall while it waits", []int{0, 10}, 15, []int{20, 400}, 15, 0, false},
		{"read before the tick after a stall", []int{0, 10}, 300, []int{310, 410}, 15, 0, false},
		{"read after the tick after a stall", []int{0, 10, 300}, 305, []int{310, 410}, 15, 0, false},
		{"read long after a stall", []int{0, 10, 300, 310, 500, 510, 600, 700, 800, 900}, 905, []int{910, 1010}, 905, 0, true},
		{"arrived at the socket just before", []int{0, 10}, 15, []int{20, 120}, 14, 14, true},
		// Ticks are in time, but the packets before it in the socket took 100 ms.
		{"in the socket for long", []int{0, 10, 20, 30, 40, 50, 60, 70, 80, 90, 100, 110}, 115, []int{120, 220}, 15, 15, false},
	} {
		p := placer(limited(warmTarget(1, "near")))
		p.Tick(ms(0))
		for i := range 4 { // all that the limit allows
			open(t, p, ms(0), 10+i)
			p.RoutePacket(ms(0), key(10+i), Segment{Cookie: 1, Acknowledged: 1})
		}
		keep := func(at int) { // the flows stay open
			for i := range 4 {
				p.RoutePacket(ms(at), key(10+i), Segment{Cookie: 1, Acknowledged: 1})
			}
		}
		for _, at := range c.before {
			keep(at)
			p.Tick(ms(at))
		}
		o := Opening{Key: key(1), Service: service, Packet: []byte("opening")}
		if c.arrived > 0 {
			o.Arrived = ms(c.arrived)
		}
		_, err := p.Open(ms(c.read), o)
		is.True(errors.Is(err, ErrWaiting)) // c.name
		for _, at := range c.after {
			keep(at)
			p.Tick(ms(at))
			for _, a := range p.Admissions() {
				if a.Key != key(1) {
					continue
				}
				is.True(a.Target == nil)
				resets := !ms(at).After(a.ResetUntil)
				is.Equal(resets, c.refused) // c.name
				is.True(!resets || a.ResetUntil.Before(ms(c.sent).Add(callerRetransmits)))
			}
		}
		is.Equal(p.Waiting(), 0) // c.name
	}
}

// TestRetransmissionOfAWaitingOpeningIsPlaced guards against a reset of an opening that the
// caller has sent twice, of which another host may have the second.
func TestRetransmissionOfAWaitingOpeningIsPlaced(t *testing.T) {
	is := is.New(t)
	p := placer(limited(warmTarget(1, "near")))
	n := fill(t, p, start)
	m, err := p.Open(start.Add(time.Millisecond), Opening{Key: key(1000 + n), Service: service, Packet: []byte("opening"), Copy: 1})
	is.NoErr(err)
	is.Equal(m.Cookie, uint32(1))
	is.Equal(p.Waiting(), 0)
	p.Tick(start.Add(time.Second))
	is.Equal(len(p.Admissions()), 0)
}

// TestOpeningThatAnotherHostHasIsNotRefused guards against a reset of a flow that another host
// has announced, and against sending its opening to one more target.
func TestOpeningThatAnotherHostHasIsNotRefused(t *testing.T) {
	is := is.New(t)
	for _, chosen := range []uint32{0, 2} {
		p := placer(limited(warmTarget(1, "near"), warmTarget(2, "near")))
		n := fill(t, p, start)
		is.Equal(p.Waiting(), 1)
		p.MergeAmbiguousFlow(start, AmbiguousFlow{Key: key(1000 + n), Tried: []uint32{2}, Chosen: chosen})
		is.Equal(p.Waiting(), 0)
		serve(p, start.Add(10*time.Millisecond), 0)
		p.Tick(start.Add(time.Second))
		is.Equal(len(p.Admissions()), 0)
		is.Equal(p.RoutePacket(start.Add(time.Second), key(1000+n), Segment{Cookie: 2, Acknowledged: 1}), uint32(2))
	}
}

// TestSupersededOpeningIsDropped guards against a flow that another host has opened and that this
// host, once it runs again, opens at a second target: it finds the caller's first packets in its
// socket, and the caller has sent the next copy since.
func TestSupersededOpeningIsDropped(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		copy    int
		waited  time.Duration
		dropped bool
	}{
		{0, 0, false},
		{0, 150 * time.Millisecond, false},
		{0, callerRetransmits, true},
		{0, 2 * time.Second, true},
		{1, 350 * time.Millisecond, false},
		{1, 400 * time.Millisecond, true}, // the caller's second copy follows 400 ms after the first
		{2, 700 * time.Millisecond, false},
		{2, 800 * time.Millisecond, true}, // the caller has given up
		{9, 800 * time.Millisecond, true},
	} {
		p := placer(view(warmTarget(1, "near")))
		now := start.Add(10 * time.Second)
		_, err := p.Open(now, Opening{Key: key(1), Service: service, Copy: c.copy, Arrived: now.Add(-c.waited)})
		is.Equal(errors.Is(err, ErrSuperseded), c.dropped) // c.copy, c.waited
		is.Equal(err != nil, c.dropped)
		is.Equal(p.load(now, 1) == 0, c.dropped)
	}
}

// TestSupersededCopyIsNoEvidence guards against an opening that is tried at another target, as a
// host that has been suspended takes a copy from before for one that the caller has just sent.
func TestSupersededCopyIsNoEvidence(t *testing.T) {
	is := is.New(t)
	p := placer(view(warmTarget(1, "near"), warmTarget(2, "near")))
	ms := func(n int) time.Time { return start.Add(time.Duration(n) * time.Millisecond) }
	p.Tick(ms(0))
	open(t, p, ms(5), 1)
	p.Tick(ms(900)) // the host has been suspended
	_, err := p.Open(ms(901), Opening{Key: key(1), Service: service, Copy: 1, Arrived: ms(205)})
	is.True(errors.Is(err, ErrSuperseded))
	is.Equal(len(tickTo(p, ms(910), ms(1300))), 0)
}

// TestLateOpeningIsAnnounced guards against two hosts that each send packets of a flow to the
// target that they know of.
func TestLateOpeningIsAnnounced(t *testing.T) {
	is := is.New(t)
	for _, stall := range []time.Duration{10 * time.Millisecond, 300 * time.Millisecond} {
		p := placer(limited(warmTarget(1, "near")))
		p.Tick(start)
		now := start.Add(stall)
		n := fill(t, p, now)
		serve(p, now.Add(time.Millisecond), 0)
		is.Equal(len(p.Admissions()), 1)
		announced := make(map[cornelbay.FlowKey]bool)
		for _, a := range p.AmbiguousFlows() {
			announced[a.Key] = true
		}
		for i := range n + 1 { // those that were sent on at once, and the one that waited
			is.Equal(announced[key(1000+i)], stall > callerRetransmits)
		}
	}
}
