package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// feedTimeout is the timeout of the less urgent route.
const feedTimeout = 1500 * time.Millisecond

// withOpenFlows returns a placer with n less urgent flows that are open and at rest, a shortage, and
// urgent requests that need one of the two slots.
func withOpenFlows(t *testing.T, n int) (*Placer, time.Time) {
	t.Helper()
	v := limited(warmTarget(1, "near"))
	v.Routes[key(0).Destination].Timeout = feedTimeout
	p := placer(v)
	now := start
	for port := range n {
		open(t, p, now, port)
		p.RoutePacket(now, key(port), Segment{Cookie: 1, Sequence: 1, Bytes: 100, Acknowledged: 1})
		now = now.Add(20 * time.Millisecond)
		p.RoutePacket(now, key(port), Segment{Cookie: 1, Sequence: 101, Acknowledged: 2001})
	}
	for range minUsualSample {
		p.answers.RecordUsual(p.flows[key(0)].route(), 20*time.Millisecond)
	}
	short(p)
	s := p.services[service]
	s.shortage.lastWait = now
	for range 50 {
		s.demand.Record(now, 1, 20*time.Millisecond, objective)
		s.demand.Record(now, 2, 20*time.Millisecond, objective)
	}
	return p, now
}

// ask sends the next request on an open flow and returns the cookie for its packet.
func ask(p *Placer, now time.Time, port int) uint32 {
	return p.RoutePacket(now, key(port), Segment{
		Cookie: 1, Sequence: 101, Bytes: 100, Acknowledged: 2001, Packet: []byte(fmt.Sprint(port)),
	})
}

func answer(p *Placer, now time.Time, port int) {
	p.RoutePacket(now, key(port), Segment{Cookie: 1, Sequence: 201, Acknowledged: 4001})
}

// TestLessUrgentRequestWaitsForRoom guards against feeds on open flows that take the slots which
// urgent requests need, and against slots that are idle while requests wait.
func TestLessUrgentRequestWaitsForRoom(t *testing.T) {
	is := is.New(t)
	p, now := withOpenFlows(t, 6)
	sent := 0
	for ask(p, now, sent) != 0 {
		sent++
	}
	is.True(sent >= 1 && sent < 5) // two slots with two requests each, less what urgent ones need
	is.Equal(ask(p, now, sent+1), uint32(0))
	is.Equal(p.Holding(), 2)
	is.Equal(len(p.Releases()), 0)
	answer(p, now, 0)
	got := p.Releases()
	is.Equal(len(got), 1)
	is.Equal(got[0].Key, key(sent)) // the first that came
	is.Equal(got[0].Packets, [][]byte{[]byte(fmt.Sprint(sent))})
	is.True(!got[0].Expired)
	is.Equal(p.Holding(), 1)
}

// TestWhatIsNotHeld guards against requests that wait although nothing gains by it.
func TestWhatIsNotHeld(t *testing.T) {
	for _, c := range []struct {
		title  string
		change func(*Placer, time.Time)
	}{
		{"no shortage", func(p *Placer, _ time.Time) { p.services[service].shortage.active = false }},
		{"none more urgent", func(p *Placer, now time.Time) {
			for range 50 {
				p.services[service].demand.Record(now, 2, time.Second, objective)
			}
		}},
		{"target is gone", func(p *Placer, _ time.Time) {
			v := limited()
			v.Routes = p.view.Routes
			p.SetView(v)
		}},
		{"usual time not known", func(p *Placer, _ time.Time) { p.answers.ForgetUsual(service) }},
		{"no objective", func(p *Placer, _ time.Time) {
			v := limited(warmTarget(1, "near"))
			for _, r := range v.Routes {
				r.Objective = 0
			}
			p.SetView(v)
		}},
	} {
		t.Run(c.title, func(t *testing.T) {
			is := is.New(t)
			p, now := withOpenFlows(t, 6)
			c.change(p, now)
			for port := range 6 {
				is.True(ask(p, now, port) != 0)
			}
		})
	}
}

// TestHeldRequestIsSentOnInTime guards against requests that wait until their callers give up.
func TestHeldRequestIsSentOnInTime(t *testing.T) {
	is := is.New(t)
	p, now := withOpenFlows(t, 6)
	for port := range 6 {
		ask(p, now, port)
	}
	held := p.Holding()
	is.True(held > 0)
	for end := now.Add(feedTimeout/2 + pendingTickInterval); now.Before(end); now = now.Add(pendingTickInterval) {
		for port := range 6 { // the others never answer
			p.flows[key(port)].lastSeen = now
		}
		p.recordWait(now, p.services[service])
		p.Tick(now)
	}
	is.Equal(p.Holding(), 0)
	is.Equal(len(p.Releases()), held)
}

// TestHeldRequestOfACallerThatEnds guards against requests that stay held without a flow.
func TestHeldRequestOfACallerThatEnds(t *testing.T) {
	is := is.New(t)
	p, now := withOpenFlows(t, 6)
	for port := range 6 {
		ask(p, now, port)
	}
	held := p.Holding()
	is.True(held > 0)
	is.Equal(p.RoutePacket(now, key(5), Segment{Cookie: 1, Sequence: 201, Acknowledged: 2001, Finishing: true}), uint32(1))
	is.Equal(p.Holding(), held-1)
	is.Equal(len(p.Releases()), 1)
	is.NoErr(checkCounts(p))
}

// TestPacketsOfAFlowKeepTheirOrder guards against packets that overtake those of a held request, or
// leave twice.
func TestPacketsOfAFlowKeepTheirOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p, now := withOpenFlows(t, 6)
		for port := range 5 {
			ask(p, now, port)
		}
		p.Releases()
		var left []string
		end := uint32(101)
		collect := func() {
			for _, r := range p.Releases() {
				for _, packet := range r.Packets {
					if r.Key == key(5) {
						left = append(left, string(packet))
					}
				}
			}
		}
		sent := 0
		for range rapid.IntRange(1, 20).Draw(rt, "packets") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(rt, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 3).Draw(rt, "other") == 0 {
				port := rapid.IntRange(0, 4).Draw(rt, "port")
				answer(p, now, port)
				collect()
				continue
			}
			s := Segment{Cookie: 1, Sequence: end, Bytes: 10, Acknowledged: 2001, Packet: []byte(fmt.Sprintf("%03d", sent))}
			end += 10
			if again := rapid.IntRange(0, 2).Draw(rt, "copy") == 0 && sent > 0; again {
				s.Sequence, s.Packet = s.Sequence-10, []byte(fmt.Sprintf("%03d copy", sent-1))
				end -= 10
			} else {
				sent++
			}
			cookie := p.RoutePacket(now, key(5), s)
			collect()
			if cookie != 0 {
				left = append(left, string(s.Packet))
			}
			if err := checkCounts(p); err != nil {
				rt.Fatal(err)
			}
		}
		// Copies of what has left may follow: the target knows the sequence numbers.
		first := slices.DeleteFunc(left, func(s string) bool { return len(s) > 3 })
		if !slices.IsSorted(first) || len(slices.Compact(slices.Clone(first))) != len(first) {
			rt.Fatalf("packets left as %v", first)
		}
	})
}

// TestRequestsAtUnusableTargetsTakeNoSlots guards against openings that are refused with slots free
// because of requests on flows that stay at evacuated targets, which nobody may answer.
func TestRequestsAtUnusableTargetsTakeNoSlots(t *testing.T) {
	is := is.New(t)
	p, now := withOpenFlows(t, 6)
	evacuated := warmTarget(1, "far")
	evacuated.Evacuated = true
	v := limited(evacuated, warmTarget(2, "near"))
	v.Routes = p.view.Routes
	p.SetView(v)
	for port := range 6 {
		is.True(ask(p, now, port) != 0)
	}
	m, err := p.Open(now, Opening{Key: key(100), Service: service})
	is.NoErr(err)
	is.Equal(m.Cookie, uint32(2))
}
