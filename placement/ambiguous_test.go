package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelbay/cornelbay"
)

// openOnly opens a flow by a retransmitted opening at a host that knows only one target at first.
func openOnly(t *testing.T, now time.Time, cookie uint32, self cornelbay.HostName) *Placer {
	t.Helper()
	p := placer(view(warmTarget(cookie, "near")))
	p.Self = self
	if _, err := p.Open(now, Opening{Key: key(1), Service: service, Copy: 1}); err != nil {
		t.Fatal(err)
	}
	p.SetView(view(warmTarget(1, "near"), warmTarget(2, "near")))
	return p
}

// announce merges what one host has to announce at the others, which get it at the given time.
func announce(now time.Time, from *Placer, to ...*Placer) {
	for _, a := range from.AmbiguousFlows() {
		for _, p := range to {
			p.MergeAmbiguousFlow(now, a)
		}
	}
}

// TestEarlierEvidenceDecidesWhichTargetHasAFlow guards against packets of an open flow that reach
// another target for good: two hosts have opened the flow, and one of them takes the cookie of
// the late answer, which the caller repeats, for that of the flow's target.
func TestEarlierEvidenceDecidesWhichTargetHasAFlow(t *testing.T) {
	is := is.New(t)
	ms := func(n int) time.Time { return start.Add(time.Duration(n) * time.Millisecond) }
	has, late := openOnly(t, ms(0), 2, "has"), openOnly(t, ms(700), 1, "late")
	third := placer(has.view)
	is.Equal(has.RoutePacket(ms(10), key(1), Segment{Cookie: 2}), uint32(2))
	is.Equal(late.RoutePacket(ms(750), key(1), Segment{Cookie: 1}), uint32(1))
	announce(ms(751), late, has, third)
	is.Equal(third.RoutePacket(ms(752), key(1), Segment{Cookie: 1}), uint32(1)) // as yet
	is.Equal(has.RoutePacket(ms(752), key(1), Segment{Cookie: 1}), uint32(2))
	announce(ms(753), has, late, third)
	for _, p := range []*Placer{has, late, third} {
		is.Equal(p.RoutePacket(ms(760), key(1), Segment{Cookie: 1}), uint32(2))
		is.Equal(p.load(ms(760), 1), 0.0)
	}
	is.Equal(len(late.Corrections()), 1)
	is.Equal(len(has.Corrections()), 0)
	late.AmbiguousFlows()
	announce(ms(770), third, has, late) // agreement ends the announcements
	is.Equal(len(has.AmbiguousFlows())+len(late.AmbiguousFlows()), 0)
}

// TestAnswerToARetransmittedOpeningIsAnnounced guards against a host that has opened a flow, too,
// and learns only by a late answer which target has it: the first copies of the opening went to
// that host.
func TestAnswerToARetransmittedOpeningIsAnnounced(t *testing.T) {
	is := is.New(t)
	has := openOnly(t, start, 2, "has")
	first := placer(view(warmTarget(1, "near")))
	open(t, first, start.Add(-200*time.Millisecond), 1)
	first.SetView(has.view)
	announce(start, has, first)
	has.RoutePacket(start.Add(time.Millisecond), key(1), Segment{Cookie: 2})
	announce(start.Add(2*time.Millisecond), has, first)
	is.Equal(first.RoutePacket(start.Add(time.Second), key(1), Segment{Cookie: 1}), uint32(2))
}

// TestAnnouncementOfAnEarlierFlowIsIgnored guards against a flow that is sent to the target of an
// earlier one from the same port.
func TestAnnouncementOfAnEarlierFlowIsIgnored(t *testing.T) {
	is := is.New(t)
	p := openOnly(t, start, 2, "h")
	p.MergeAmbiguousFlow(start, AmbiguousFlow{Key: key(1), Tried: []uint32{1}, Chosen: 1, ChosenAt: start.Add(-10 * time.Second)})
	is.Equal(p.RoutePacket(start.Add(time.Millisecond), key(1), Segment{Cookie: 2}), uint32(2))
}

// TestLateAnswersAreKnownForAsLongAsTheyMatter guards against a flow that is reset while its target
// lives: a host that was told which target has the flow has forgotten it when the flow's host ends,
// though the caller has got late answers of another target for 10 s, and has been idle for 15 s.
func TestLateAnswersAreKnownForAsLongAsTheyMatter(t *testing.T) {
	is := is.New(t)
	const lastAnswer, idle = 9400 * time.Millisecond, 15 * time.Second
	p := placer(view(warmTarget(1, "near"), warmTarget(2, "near")))
	p.MergeAmbiguousFlow(start, AmbiguousFlow{Key: key(1), Tried: []uint32{1, 2}, Chosen: 2, ChosenAt: start})
	for now := start; now.Before(start.Add(lastAnswer + idle)); now = now.Add(100 * time.Millisecond) {
		p.Tick(now)
	}
	is.Equal(p.RoutePacket(start.Add(lastAnswer+idle), key(1), Segment{Cookie: 1}), uint32(2))
}

// TestLateAnswerIsAnnounced guards against a host that follows the cookie of a late answer, as the
// announcement of the flow has not reached it, or was too long ago.
func TestLateAnswerIsAnnounced(t *testing.T) {
	is := is.New(t)
	v := view(warmTarget(1, "near"), warmTarget(2, "near"))
	has, other := placer(v), placer(v)
	is.Equal(has.RoutePacket(start, key(1), Segment{Cookie: 2}), uint32(2))
	is.Equal(len(has.AmbiguousFlows()), 0)
	now := start.Add(time.Minute / 2)
	for range 10 {
		now = now.Add(time.Millisecond)
		is.Equal(has.RoutePacket(now, key(1), Segment{Cookie: 1}), uint32(2))
	}
	a := has.AmbiguousFlows()
	is.Equal(len(a), 1)
	other.MergeAmbiguousFlow(now, a[0])
	is.Equal(other.RoutePacket(now, key(1), Segment{Cookie: 1}), uint32(2))
	for i := range uint32(100) { // a caller that makes up cookies
		has.RoutePacket(now.Add(time.Duration(i)*time.Second), key(1), Segment{Cookie: 1000 + i})
	}
	is.True(len(has.flows[key(1)].tried) <= maxTried)
}
