package placement

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/loads"
	"github.com/cornelbay/cornelbay/registry"
	"github.com/cornelbay/cornelbay/suspicion"
)

var start = time.Unix(1_700_000_000, 0)

const service = cornelbay.ServiceName("s")

func key(port int) cornelbay.FlowKey {
	return cornelbay.FlowKey{
		Source:      netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(port >> 16), 1}), uint16(port)),
		Destination: netip.MustParseAddrPort("198.18.0.1:443"),
	}
}

// warmTarget returns a warm target with two slots.
func warmTarget(cookie uint32, dataCentre cornelbay.DataCentreName) *registry.Endpoint {
	return &registry.Endpoint{
		Target: registry.Target{Number: uint64(cookie), Service: service, DataCentre: dataCentre, Slots: 2},
		Cookie: cookie,
	}
}

func view(targets ...*registry.Endpoint) *registry.View {
	v := &registry.View{
		Services: map[cornelbay.ServiceName][]*registry.Endpoint{service: targets},
		Cookies:  map[uint32]*registry.Endpoint{},
	}
	for _, m := range targets {
		v.Cookies[m.Cookie] = m
	}
	return v
}

func placer(v *registry.View) *Placer {
	p := &Placer{Self: "h", DataCentre: "near"}
	p.SetView(v)
	return p
}

func open(t *testing.T, p *Placer, now time.Time, port int) uint32 {
	t.Helper()
	m, err := p.Open(now, Opening{Key: key(port), Service: service, Packet: []byte("opening")})
	if err != nil {
		t.Fatal(err)
	}
	return m.Cookie
}

// tickTo ticks every 10 ms from one time to another, as a host does, and returns the
// retries. Those at the targets listed as alive are answered.
func tickTo(p *Placer, from, to time.Time, alive ...uint32) []Retry {
	var all []Retry
	for now := from; !now.After(to); now = now.Add(10 * time.Millisecond) {
		retries := p.Tick(now)
		for _, r := range retries {
			if r.Target == nil {
				continue
			}
			all = append(all, r)
			if slices.Contains(alive, r.Target.Cookie) {
				p.RoutePacket(now.Add(5*time.Millisecond), r.Key, Segment{Cookie: r.Target.Cookie})
			}
		}
	}
	return all
}

func TestFlowsSpreadOverIdleTargets(t *testing.T) {
	is := is.New(t)
	p := placer(view(warmTarget(1, "near"), warmTarget(2, "near"), warmTarget(3, "near"), warmTarget(4, "near")))
	got := map[uint32]int{}
	for port := range 400 {
		cookie := open(t, p, start, port)
		got[cookie]++
		p.RoutePacket(start, key(port), Segment{Cookie: cookie, Acknowledged: 1})
		p.RoutePacket(start, key(port), Segment{Cookie: cookie, Acknowledged: 1, Finishing: true})
	}
	for cookie := uint32(1); cookie <= 4; cookie++ {
		is.True(got[cookie] >= 60) // of 100 on average
	}
}

func TestFlowsStayNearWhileASlotIsFree(t *testing.T) {
	is := is.New(t)
	p := placer(view(warmTarget(1, "near"), warmTarget(2, "far"), warmTarget(3, "near")))
	got := map[uint32]int{}
	for port := range 4 {
		got[open(t, p, start, port)]++
	}
	is.Equal(got, map[uint32]int{1: 2, 3: 2})
	is.Equal(open(t, p, start, 5), uint32(2)) // the extra round trip is shorter than the wait
}

func TestReportsOfOthersCount(t *testing.T) {
	is := is.New(t)
	p := placer(view(warmTarget(1, "near"), warmTarget(2, "near")))
	p.MergeReport("other", loads.Report{At: start, Loads: map[uint32]float64{1: 2}})
	is.Equal(open(t, p, start, 1), uint32(2))
	is.Equal(open(t, p, start, 2), uint32(2))
	later := start.Add(loads.Lifetime + time.Millisecond)
	is.Equal(open(t, p, later, 3), uint32(1)) // the report is too old to count
}

func TestReportIsAMeanOverTime(t *testing.T) {
	is := is.New(t)
	p := placer(view(warmTarget(1, "near")))
	open(t, p, start, 1)
	p.RoutePacket(start.Add(5*time.Millisecond), key(1), Segment{Cookie: 1})
	p.RoutePacket(start.Add(50*time.Millisecond), key(1), Segment{Cookie: 1, Finishing: true})
	r := p.Report(start.Add(100*time.Millisecond), start)
	is.Equal(r.Loads, map[uint32]float64{1: 0.5})
	is.Equal(len(p.Report(start.Add(200*time.Millisecond), start.Add(100*time.Millisecond)).Loads), 0)
}

func TestARetransmissionGoesWhereTheOpeningWent(t *testing.T) {
	is := is.New(t)
	p := placer(view(warmTarget(1, "near"), warmTarget(2, "near")))
	first := open(t, p, start, 1)
	is.Equal(open(t, p, start.Add(200*time.Millisecond), 1), first)
	is.Equal(p.Counters().Opened, uint64(1))
}

// TestOpeningAtADeadTargetIsTriedElsewhere checks that when a target stops responding, the
// caller gets an answer within a few round trips, before it retransmits after 200 ms.
func TestOpeningAtADeadTargetIsTriedElsewhere(t *testing.T) {
	is := is.New(t)
	p := placer(view(warmTarget(1, "near"), warmTarget(2, "far")))
	is.Equal(open(t, p, start, 1), uint32(1))
	retries := tickTo(p, start, start.Add(maxAnswerTimeout), 2)
	is.True(len(retries) > 0)
	is.Equal(retries[0].Target.Cookie, uint32(2))
	is.Equal(string(retries[0].Opening), "opening")
	is.True(retries[0].Waited <= 60*time.Millisecond)

	// The next flows avoid it until it is probed.
	now := start.Add(maxAnswerTimeout)
	is.Equal(open(t, p, now, 2), uint32(2))
	p.RoutePacket(now, key(2), Segment{Cookie: 2})
	now = start.Add(suspicion.MinProbeInterval + 100*time.Millisecond)
	is.Equal(open(t, p, now, 3), uint32(1)) // one flow probes it
	is.Equal(open(t, p, now, 4), uint32(2)) // and no other
	p.RoutePacket(now.Add(4*time.Millisecond), key(3), Segment{Cookie: 1})
	is.Equal(open(t, p, now.Add(5*time.Millisecond), 5), uint32(1)) // it answers again

	changes := p.StateChanges()
	is.Equal(len(changes), 2)
	is.Equal(changes[0].Target.Cookie, uint32(1))
	is.Equal([]State{changes[0].State, changes[1].State}, []State{Silent, Recovered})
	is.Equal(len(p.StateChanges()), 0)
}

// TestALateAnswerDoesNotMoveTheFlow: a target answers after its opening was retried
// elsewhere, so the caller may repeat either cookie from then on.
func TestALateAnswerDoesNotMoveTheFlow(t *testing.T) {
	is := is.New(t)
	p := placer(view(warmTarget(1, "near"), warmTarget(2, "near")))
	first := open(t, p, start, 1)
	retries := tickTo(p, start, start.Add(100*time.Millisecond))
	second := retries[0].Target.Cookie
	now := start.Add(101 * time.Millisecond)
	is.Equal(p.RoutePacket(now, key(1), Segment{Cookie: first}), first)
	is.Equal(p.RoutePacket(now, key(1), Segment{Cookie: second}), first)
	is.Equal(len(tickTo(p, now, now.Add(time.Second))), 0)
}

// TestOtherHostsKnowOfAnOpeningAtSeveralTargets: an opening is tried at a second target,
// both answer, and the routers send the next packets to another host. That host must keep
// the target whose answer the caller acknowledged first, not follow the last cookie.
func TestOtherHostsKnowOfAnOpeningAtSeveralTargets(t *testing.T) {
	is := is.New(t)
	v := view(warmTarget(1, "near"), warmTarget(2, "near"))
	opener, other := placer(v), placer(v)
	first := open(t, opener, start, 1)
	retries := tickTo(opener, start, start.Add(60*time.Millisecond))
	second := retries[0].Target.Cookie
	for _, d := range opener.AmbiguousFlows() {
		other.MergeAmbiguousFlow(start.Add(61*time.Millisecond), d)
	}
	now := start.Add(70 * time.Millisecond)
	is.Equal(other.RoutePacket(now, key(1), Segment{Cookie: first}), first) // the caller acknowledges the first answer
	is.Equal(other.RoutePacket(now, key(1), Segment{Cookie: second}), first)
	for _, d := range other.AmbiguousFlows() {
		is.Equal(d.Chosen, first)
		opener.MergeAmbiguousFlow(now, d)
	}
	is.Equal(opener.load(now, first), 0.0) // its packets arrive at the other host
	is.Equal(other.load(now, first), 1.0)
	is.Equal(opener.RoutePacket(now, key(1), Segment{Cookie: second}), first)
	is.Equal(opener.OpenAmbiguousFlows(now), []AmbiguousFlow{{Key: key(1), Tried: []uint32{first, second}, Chosen: first, ChosenAt: now}}) // for hosts that have just started
	is.Equal(len(tickTo(opener, now, now.Add(time.Second))), 0)
	other.RoutePacket(now, key(1), Segment{Cookie: second, Finishing: true})
	is.Equal(len(other.OpenAmbiguousFlows(now)), 0)
	is.Equal(other.load(now, first), 0.0)
	is.Equal(other.load(now, second), 0.0)
}

// TestHostThatStartsIsToldOfFlowsWithoutATarget guards against a flow that is reset while its target
// lives: a host starts between an opening at two targets and the first packet after it, which it gets,
// and doesn't tell the others which target that packet has shown. They follow the late answer's cookie.
func TestHostThatStartsIsToldOfFlowsWithoutATarget(t *testing.T) {
	is := is.New(t)
	v := view(warmTarget(1, "near"), warmTarget(2, "near"))
	opener, other, started := placer(v), placer(v), placer(v)
	first := open(t, opener, start, 1)
	retries := tickTo(opener, start, start.Add(60*time.Millisecond))
	second := retries[0].Target.Cookie
	now := start.Add(61 * time.Millisecond)
	for _, d := range opener.AmbiguousFlows() {
		other.MergeAmbiguousFlow(now, d)
	}
	for _, d := range other.OpenAmbiguousFlows(now) { // the opener has ended meanwhile
		started.MergeAmbiguousFlow(now, d)
	}
	now = start.Add(70 * time.Millisecond)
	is.Equal(started.RoutePacket(now, key(1), Segment{Cookie: first}), first)
	for _, d := range started.AmbiguousFlows() {
		other.MergeAmbiguousFlow(now, d)
	}
	is.Equal(other.RoutePacket(now, key(1), Segment{Cookie: second}), first)

	abandoned := placer(v)
	open(t, abandoned, start, 2)
	tickTo(abandoned, start, start.Add(60*time.Millisecond))
	is.Equal(len(abandoned.OpenAmbiguousFlows(start.Add(openingTime))), 1)
	is.Equal(len(abandoned.OpenAmbiguousFlows(start.Add(openingTime+time.Millisecond))), 0) // its caller has given up
}

// TestTheHostThatReceivesTheFlowAnnouncesItsTarget: the routers send all flows of a host
// elsewhere, and that host retries their openings at other targets. A third host must learn
// from the host that receives the packets which target has the flow, and not follow the
// cookie of a late answer.
func TestTheHostThatReceivesTheFlowAnnouncesItsTarget(t *testing.T) {
	is := is.New(t)
	v := view(warmTarget(1, "near"), warmTarget(2, "near"), warmTarget(3, "near"))
	opener, has, third := placer(v), placer(v), placer(v)
	first := open(t, opener, start, 1)
	has.RoutePacket(start.Add(5*time.Millisecond), key(1), Segment{Cookie: first})
	retries := tickTo(opener, start, start.Add(200*time.Millisecond))
	is.Equal(len(retries), 1) // no later packet of any flow arrived: at most one retry
	for _, d := range opener.AmbiguousFlows() {
		has.MergeAmbiguousFlow(start, d)
		third.MergeAmbiguousFlow(start, d)
	}
	for _, d := range has.AmbiguousFlows() {
		third.MergeAmbiguousFlow(start, d)
	}
	is.Equal(third.RoutePacket(start.Add(time.Second), key(1), Segment{Cookie: retries[0].Target.Cookie}), first)
}

func TestARetransmissionAtAnotherHostIsAnnounced(t *testing.T) {
	is := is.New(t)
	p := placer(view(warmTarget(1, "near"), warmTarget(2, "near")))
	m, err := p.Open(start, Opening{Key: key(1), Service: service, Copy: 1})
	is.NoErr(err)
	is.Equal(p.AmbiguousFlows(), []AmbiguousFlow{{Key: key(1), Tried: []uint32{m.Cookie}}})
	p.MergeAmbiguousFlow(start, AmbiguousFlow{Key: key(1), Tried: []uint32{2, 1}}) // announced by the first host
	is.Equal(p.RoutePacket(start, key(1), Segment{Cookie: 2}), uint32(2))
}

func TestAFlowOfAnotherHostKeepsItsCookie(t *testing.T) {
	is := is.New(t)
	p := placer(view(warmTarget(1, "near")))
	is.Equal(p.RoutePacket(start, key(1), Segment{Cookie: 77}), uint32(77))
	is.Equal(len(p.flows), 0) // the cookie belongs to no known target
	is.Equal(p.RoutePacket(start, key(2), Segment{Cookie: 1, Bytes: 100}), uint32(1))
	is.Equal(p.load(start, 1), 1.0) // counts as load of this host from now on
	p.RoutePacket(start, key(2), Segment{Cookie: 1, Finishing: true})
	is.Equal(p.load(start, 1), 0.0)
}

// TestLongFlowsOfOthersDoNotDelayRetries checks that only the first packet of a flow that
// another host opened counts as evidence that the routers have changed.
func TestLongFlowsOfOthersDoNotDelayRetries(t *testing.T) {
	is := is.New(t)
	p := placer(view(warmTarget(1, "near"), warmTarget(2, "near")))
	p.RoutePacket(start, key(99), Segment{Cookie: 2})
	now := start.Add(time.Second)
	open(t, p, now, 1)
	p.RoutePacket(now.Add(8*time.Millisecond), key(99), Segment{Cookie: 2})
	is.True(len(tickTo(p, now, now.Add(100*time.Millisecond))) > 0)
}

// TestJoinIsNoEvidenceAgainstTargets guards against a flow that is reset while its target lives: the
// routers send its packets to a host that has just joined, and the host that opened it, which sees
// none, tries the opening at other targets. Only a copy of the opening shows that there is no answer.
func TestJoinIsNoEvidenceAgainstTargets(t *testing.T) {
	for _, c := range []struct {
		joined time.Duration // before the opening
		waits  bool
	}{{-50 * time.Millisecond, true}, {0, true}, {600 * time.Millisecond, true}, {750 * time.Millisecond, false}} {
		t.Run(c.joined.String(), func(t *testing.T) {
			is := is.New(t)
			p := placer(view(warmTarget(1, "near"), warmTarget(2, "far")))
			p.RecordJoin(start.Add(-c.joined))
			is.Equal(open(t, p, start, 1), uint32(1))
			is.Equal(len(tickTo(p, start, start.Add(190*time.Millisecond))) == 0, c.waits)
			is.Equal(len(p.StateChanges()) == 0, c.waits) // nor is it taken for silent
			if !c.waits {
				return
			}
			now := start.Add(200 * time.Millisecond)
			_, err := p.Open(now, Opening{Key: key(1), Service: service, Packet: []byte("opening"), Copy: 1})
			is.NoErr(err)
			retries := tickTo(p, now, now.Add(100*time.Millisecond))
			is.True(len(retries) > 0)
			is.Equal(retries[0].Target.Cookie, uint32(2))
		})
	}
}

// TestFlowsThatAreReroutedAreNoEvidence: when the routers send flows to other hosts than
// before, the answer to an opening is seen by another host, so that its absence here is no
// evidence against the target. A retransmission of the opening shows that there was no
// answer.
func TestFlowsThatAreReroutedAreNoEvidence(t *testing.T) {
	is := is.New(t)
	p := placer(view(warmTarget(1, "near"), warmTarget(2, "near")))
	cookie := open(t, p, start, 1)
	p.RoutePacket(start.Add(8*time.Millisecond), key(99), Segment{Cookie: 2}) // opened elsewhere
	is.Equal(len(tickTo(p, start, start.Add(190*time.Millisecond))), 0)
	is.Equal(p.Counters().Unanswered, uint64(0))

	is.Equal(open(t, p, start.Add(200*time.Millisecond), 1), cookie)
	is.True(len(tickTo(p, start.Add(200*time.Millisecond), start.Add(300*time.Millisecond))) > 0)
}

// TestAStallIsNoEvidence: after a host was stalled, the answers wait in its socket, and no
// target may be suspected for their absence.
func TestAStallIsNoEvidence(t *testing.T) {
	is := is.New(t)
	p := placer(view(warmTarget(1, "near"), warmTarget(2, "near")))
	p.Tick(start)
	cookie := open(t, p, start, 1)
	woken := start.Add(4 * time.Second)
	is.Equal(len(p.Tick(woken)), 0)
	p.RoutePacket(woken, key(1), Segment{Cookie: cookie})
	is.Equal(p.Counters().Unanswered, uint64(0))
}

// TestAnOpeningFromBeforeAStallIsNotTriedElsewhere: while a host is stalled, the routers
// send a flow's packets to other hosts, so that it misses the answers to its openings. It
// must not retry them until the caller retransmits.
func TestAnOpeningFromBeforeAStallIsNotTriedElsewhere(t *testing.T) {
	is := is.New(t)
	p := placer(view(warmTarget(1, "near"), warmTarget(2, "near")))
	p.Tick(start)
	cookie := open(t, p, start, 1)
	woken := start.Add(3 * time.Second)
	is.Equal(len(tickTo(p, woken, woken.Add(time.Second))), 0)
	is.Equal(p.Counters().Unanswered, uint64(0))

	open(t, p, woken.Add(time.Second), 2)
	is.Equal(open(t, p, woken.Add(1100*time.Millisecond), 1), cookie) // a retransmission shows that no target answered
	is.True(len(tickTo(p, woken.Add(1100*time.Millisecond), woken.Add(1200*time.Millisecond))) > 0)
}

// TestACallerThatDoesNotRetransmitHasItsAnswer checks that an opening is not sent to one
// target after another when the caller does not retransmit it, since the caller then has
// its answer.
func TestACallerThatDoesNotRetransmitHasItsAnswer(t *testing.T) {
	is := is.New(t)
	var targets []*registry.Endpoint
	for cookie := range uint32(9) {
		targets = append(targets, warmTarget(cookie+1, "near"))
	}
	p := placer(view(targets...))
	open(t, p, start, 1)
	is.True(len(tickTo(p, start, start.Add(200*time.Millisecond))) > 0)
	is.Equal(len(tickTo(p, start.Add(firstRetransmitTime), start.Add(2*time.Second))), 0)
}

// TestADataCentreThatIsCutOffIsLeftAtOnce checks that after two silent targets the others
// of the data centre are avoided without one caller having to wait for each of them.
func TestADataCentreThatIsCutOffIsLeftAtOnce(t *testing.T) {
	is := is.New(t)
	far := []*registry.Endpoint{warmTarget(1, "cut"), warmTarget(2, "cut"), warmTarget(3, "cut"), warmTarget(4, "cut"), warmTarget(5, "cut")}
	p := placer(view(append(far, warmTarget(9, "other"))...))
	open(t, p, start, 1)
	open(t, p, start, 2)
	tickTo(p, start, start.Add(100*time.Millisecond), 9)
	for port := 10; port < 20; port++ {
		is.Equal(open(t, p, start.Add(101*time.Millisecond), port), uint32(9))
		p.RoutePacket(start.Add(102*time.Millisecond), key(port), Segment{Cookie: 9, Finishing: true})
	}
}

func TestSuspicionNeverLeavesAServiceWithoutTargets(t *testing.T) {
	is := is.New(t)
	p := placer(view(warmTarget(1, "near")))
	open(t, p, start, 1)
	tickTo(p, start, start.Add(100*time.Millisecond))
	is.Equal(open(t, p, start.Add(101*time.Millisecond), 2), uint32(1))
}

func TestWhatCanNotBeServedIsRefused(t *testing.T) {
	is := is.New(t)
	m := warmTarget(1, "near")
	m.Draining = true
	p := placer(view(m))
	_, err := p.Open(start, Opening{Key: key(1), Service: service})
	is.Equal(err, ErrNoTarget)
	_, err = (&Placer{}).Open(start, Opening{Key: key(1), Service: service})
	is.Equal(err, ErrNoTarget)
}

// TestColdTargetsShareOneBudget runs hosts that know nothing of each other's flows, with a
// service that has only cold targets. No target may get more flows in any second than its
// limit.
func TestColdTargetsShareOneBudget(t *testing.T) {
	for _, c := range []struct {
		title               string
		rate, factor, slack float64
	}{
		{"small", 0, 1.5, 5},
		{"large", 20, 1.5, 5},
		{"none", 0, 1, 0},
	} {
		t.Run(c.title, func(t *testing.T) {
			is := is.New(t)
			var hosts []registry.Host
			for _, name := range []cornelbay.HostName{"a", "b", "c", "d", "e", "f"} {
				hosts = append(hosts, registry.Host{Name: name, DataCentre: "near"})
			}
			var targets []*registry.Endpoint
			for cookie := range uint32(3) {
				m := warmTarget(cookie+1, "near")
				m.ColdUntil, m.ColdPerSecond = start.Add(time.Minute), c.rate
				targets = append(targets, m)
			}
			v := view(targets...)
			v.Hosts = hosts
			got := map[uint32][]time.Time{}
			port := 0
			placers := make([]*Placer, len(hosts))
			for i, h := range hosts {
				placers[i] = &Placer{Self: h.Name, DataCentre: "near", WarmUpFactor: c.factor, WarmUpSlack: c.slack}
				placers[i].SetView(v)
			}
			for ms := range 5000 {
				now := start.Add(time.Duration(ms) * time.Millisecond)
				for _, p := range placers {
					port++
					if m, err := p.Open(now, Opening{Key: key(port), Service: service}); err == nil {
						got[m.Cookie] = append(got[m.Cookie], now)
					}
				}
			}
			bound := c.rate*c.factor + c.slack
			for _, times := range got {
				for i := range times {
					n := 0
					for _, at := range times[i:] {
						if at.Sub(times[i]) < time.Second {
							n++
						}
					}
					is.True(float64(n) <= bound)
				}
			}
			is.Equal(len(got) > 0, bound > 0)
		})
	}
}

func TestColdTargetsAreLeftWhileWarmOnesHaveRoom(t *testing.T) {
	is := is.New(t)
	cold := warmTarget(1, "near")
	cold.ColdUntil = start.Add(time.Second)
	p := placer(view(cold, warmTarget(2, "far")))
	is.Equal(open(t, p, start, 1), uint32(2))
	is.Equal(open(t, p, start.Add(2*time.Second), 2), uint32(1))
}

func TestIdleFlowsDoNotCountAsLoad(t *testing.T) {
	is := is.New(t)
	p := placer(view(warmTarget(1, "near")))
	open(t, p, start, 1)
	p.RoutePacket(start, key(1), Segment{Cookie: 1})
	tickTo(p, start, start.Add(2*time.Second))
	is.Equal(p.load(start.Add(2*time.Second), 1), 0.0)
	p.RoutePacket(start.Add(2*time.Second), key(1), Segment{Cookie: 1, Bytes: 100}) // a request
	is.Equal(p.load(start.Add(2*time.Second), 1), 1.0)
	tickTo(p, start.Add(2*time.Second), start.Add(2*time.Second+forgetTimeout+time.Second))
	is.Equal(len(p.flows), 0)
	is.Equal(p.load(start.Add(2*time.Second), 1), 0.0)
}

func BenchmarkKnownFlow(b *testing.B) {
	p := placer(view(warmTarget(1, "near"), warmTarget(2, "far")))
	if _, err := p.Open(start, Opening{Key: key(1), Service: service}); err != nil {
		b.Fatal(err)
	}
	p.RoutePacket(start, key(1), Segment{Cookie: 1})
	b.ReportAllocs()
	for b.Loop() {
		p.RoutePacket(start, key(1), Segment{Cookie: 1})
	}
}

func TestAStalledHostReportsIt(t *testing.T) {
	is := is.New(t)
	p := placer(view(warmTarget(1, "near")))
	p.Tick(start)
	p.Tick(start.Add(10 * time.Millisecond))
	is.Equal(len(p.StateChanges()), 0)
	p.Tick(start.Add(4 * time.Second))
	is.Equal(p.StateChanges(), []StateChange{{State: Stalled, Duration: 3990 * time.Millisecond}})
}
