package placement

import (
	"errors"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/admission"
	"github.com/cornelbay/cornelbay/loads"
	"github.com/cornelbay/cornelbay/outlier"
	"github.com/cornelbay/cornelbay/pace"
	"github.com/cornelbay/cornelbay/registry"
	"github.com/cornelbay/cornelbay/suspicion"
)

const objective = 400 * time.Millisecond

// urgentAddress is the destination of the route with the more urgent priority.
var urgentAddress = netip.MustParseAddrPort("198.18.0.2:443")

func urgentKey(port int) cornelbay.FlowKey {
	k := key(port)
	k.Destination = urgentAddress
	return k
}

// limited returns a view with routes that limit the flows to the service.
func limited(targets ...*registry.Endpoint) *registry.View {
	v := view(targets...)
	v.Routes = map[netip.AddrPort]*registry.Route{}
	for priority, address := range map[int]netip.AddrPort{1: urgentAddress, 2: key(0).Destination} {
		v.Routes[address] = &registry.Route{
			Address: address, Objective: objective, Priority: priority,
			Shares: []registry.Share{{Service: service, Weight: 1}},
		}
	}
	v.Hosts = []registry.Host{{Name: "h", DataCentre: "near"}}
	return v
}

// short makes a placer of a small fleet use its share of the slots, as in a shortage and as
// those of a large fleet do.
func short(p *Placer) {
	s := p.services[service]
	s.shortage.active, s.shortage.lastWait = true, start
	p.short = append(p.short, s)
}

// fill opens flows until one has to wait, and returns their number.
func fill(t *testing.T, p *Placer, now time.Time) int {
	t.Helper()
	for n := range 100 {
		_, err := p.Open(now, Opening{Key: key(1000 + n), Service: service, Packet: []byte("opening")})
		if errors.Is(err, ErrWaiting) {
			return n
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	t.Fatal("no opening waits")
	return 0
}

// serve lets a target accept, answer and close a flow of fill.
func serve(p *Placer, now time.Time, n int) {
	f := p.flows[key(1000+n)]
	c := f.target.Cookie
	p.RoutePacket(now, f.key, Segment{Cookie: c, Acknowledged: 1})
	p.RoutePacket(now, f.key, Segment{Cookie: c, Acknowledged: 2000})
	p.RoutePacket(now, f.key, Segment{Cookie: c, Acknowledged: 2000, Finishing: true})
}

func reasons(admissions []Admission) map[admission.Reason]int {
	n := make(map[admission.Reason]int)
	for _, a := range admissions {
		n[a.Reason]++
	}
	return n
}

// TestOpeningWaitsForASlot guards against openings that overrun the queues of targets, or
// that are lost when a slot becomes free.
func TestOpeningWaitsForASlot(t *testing.T) {
	is := is.New(t)
	p := placer(limited(warmTarget(1, "near"), warmTarget(2, "near")))
	n := fill(t, p, start)
	is.Equal(n, 8) // two flows a slot
	is.Equal(p.Waiting(), 1)
	_, err := p.Open(start, Opening{Key: urgentKey(1), Service: service, Packet: []byte("urgent")})
	is.True(errors.Is(err, ErrWaiting))
	is.Equal(len(p.Admissions()), 0)
	serve(p, start.Add(20*time.Millisecond), 0)
	got := p.Admissions()
	is.Equal(len(got), 1)
	is.Equal(got[0].Key, urgentKey(1)) // the more urgent one first, although it came later
	is.Equal(string(got[0].Opening), "urgent")
	is.True(got[0].Target != nil)
	is.Equal(got[0].Waited, 20*time.Millisecond)
}

// TestShortageRefusesTheLeastUrgent guards against openings that are held until they are
// late, and against refusals of urgent ones while others wait.
func TestShortageRefusesTheLeastUrgent(t *testing.T) {
	is := is.New(t)
	p := placer(limited(warmTarget(1, "near")))
	fill(t, p, start)
	const each = 40
	for i := range each {
		_, err := p.Open(start, Opening{Key: key(2000 + i), Service: service})
		is.True(errors.Is(err, ErrWaiting))
	}
	is.True(reasons(p.Admissions())[admission.Overload] > each/2) // at once
	before := p.Waiting()
	_, err := p.Open(start, Opening{Key: urgentKey(1), Service: service})
	is.True(errors.Is(err, ErrWaiting))
	for _, a := range p.Admissions() {
		is.Equal(a.Priority, 2)
	}
	waiting := p.Waiting()
	is.True(waiting >= before) // the urgent one has at most taken the place of another
	p.Tick(start.Add(time.Duration(waitShare*float64(objective)) + time.Millisecond))
	is.Equal(reasons(p.Admissions())[admission.Expired], waiting)
	is.Equal(p.Waiting(), 0)
}

// TestRetransmittedOpeningIsNeverRefused guards against a reset of a flow that another host
// has opened.
func TestRetransmittedOpeningIsNeverRefused(t *testing.T) {
	is := is.New(t)
	p := placer(limited(warmTarget(1, "near")))
	fill(t, p, start)
	m, err := p.Open(start, Opening{Key: key(1), Service: service, Copy: 1})
	is.NoErr(err)
	is.Equal(m.Cookie, uint32(1))
	is.True(maxWait < firstRetransmitTime-20*time.Millisecond)
}

// TestDroppedRouteResetsWaitingOpenings guards against openings that outlive their route or
// the targets of their service.
func TestDroppedRouteResetsWaitingOpenings(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		name   string
		change func(v *registry.View)
		reason admission.Reason
	}{
		{"route", func(v *registry.View) { delete(v.Routes, key(0).Destination) }, NoRoute},
		{"targets", func(v *registry.View) { v.Services[service] = nil }, NoTarget},
	} {
		p := placer(limited(warmTarget(1, "near")))
		fill(t, p, start)
		v := limited(warmTarget(1, "near"))
		c.change(v)
		p.SetView(v)
		p.Tick(start.Add(10 * time.Millisecond))
		is.Equal(reasons(p.Admissions()), map[admission.Reason]int{c.reason: 1}) // c.name
	}
}

// TestHostUsesItsShareFirst guards against hosts that all choose the same targets.
func TestHostUsesItsShareFirst(t *testing.T) {
	is := is.New(t)
	var targets []*registry.Endpoint
	for cookie := uint32(1); cookie <= 8; cookie++ {
		targets = append(targets, warmTarget(cookie, "near"))
	}
	used := make(map[uint32]cornelbay.HostName)
	for _, self := range []cornelbay.HostName{"a", "b", "c", "d"} {
		p := &Placer{Self: self, DataCentre: "near"}
		v := limited(targets...)
		v.Hosts = nil
		for _, name := range []cornelbay.HostName{"a", "b", "c", "d"} {
			v.Hosts = append(v.Hosts, registry.Host{Name: name, DataCentre: "near"})
		}
		p.SetView(v)
		short(p)
		for port := range 4 {
			cookie := open(t, p, start, port)
			is.True(used[cookie] == "" || used[cookie] == self)
			used[cookie] = self
		}
	}
	is.Equal(len(used), 8)
}

// TestRejectionsBackOffBorrowing guards against flows that go on to targets that others keep
// full.
func TestRejectionsBackOffBorrowing(t *testing.T) {
	is := is.New(t)
	v := limited(warmTarget(1, "near"), warmTarget(2, "near"))
	v.Hosts = append(v.Hosts, registry.Host{Name: "other", DataCentre: "near"})
	p := placer(v)
	short(p)
	n := fill(t, p, start)
	s := p.services[service]
	is.Equal(s.borrowed(), pace.InitialBorrowing)
	is.Equal(n, 4+pace.InitialBorrowing)
	p.Admissions()
	learnSizes(p, key(0).Destination)
	now := start.Add(time.Second / 10)
	for i := range n {
		f := p.flows[key(1000+i)]
		if f.borrowed == nil {
			continue
		}
		p.RoutePacket(start, f.key, Segment{Cookie: f.target.Cookie, Acknowledged: 1})
		p.RoutePacket(now, f.key, Segment{Cookie: f.target.Cookie, Acknowledged: 100})
		p.RoutePacket(now, f.key, Segment{Cookie: f.target.Cookie, Acknowledged: 100, Finishing: true})
	}
	is.True(s.borrowedNear.limit.Limit(s.slots) <= float64(pace.InitialBorrowing)/2)
	is.Equal(p.Counters().Rejected, uint64(pace.InitialBorrowing))
	for _, o := range p.outliers.Report(now, func(uint32) bool { return true }) {
		is.Equal(o.Failed, 0.0) // a rejection by a full target is no failure
	}
}

// TestEarlyErrorIsAFailure guards against faulty targets that pass for full ones.
func TestEarlyErrorIsAFailure(t *testing.T) {
	is := is.New(t)
	p := placer(limited(warmTarget(1, "near")))
	learnSizes(p, key(0).Destination)
	open(t, p, start, 1)
	now := start.Add(5 * time.Millisecond)
	p.RoutePacket(start, key(1), Segment{Cookie: 1, Acknowledged: 1})
	p.RoutePacket(now, key(1), Segment{Cookie: 1, Acknowledged: 100})
	p.RoutePacket(now, key(1), Segment{Cookie: 1, Acknowledged: 100, Finishing: true})
	is.Equal(p.outliers.Report(now, func(uint32) bool { return true })[1].Failed, 1.0)
}

// TestSlowTargetsStayInUseInAShortage guards against ejections that take slots away from a
// service that is short of them.
func TestSlowTargetsStayInUseInAShortage(t *testing.T) {
	is := is.New(t)
	for _, short := range []bool{false, true} {
		var targets []*registry.Endpoint
		for cookie := uint32(1); cookie <= 4; cookie++ {
			targets = append(targets, warmTarget(cookie, "near"))
		}
		p := placer(limited(targets...))
		if short {
			fill(t, p, start)
		}
		outcomes := make(map[uint32]outlier.Outcome)
		for cookie := uint32(1); cookie <= 4; cookie++ {
			outcomes[cookie] = outlier.Outcome{Ended: 20, TotalDuration: 20 * 20 * time.Millisecond}
		}
		outcomes[1] = outlier.Outcome{Ended: 20, TotalDuration: 20 * 200 * time.Millisecond}
		p.MergeOutcomes(outcomes)
		p.Report(start, start)
		is.Equal(p.Counters().Ejected > 0, !short)
	}
}

// TestRecoveredTargetStartsSlowly guards against a target that gets all its flows at once
// when it answers again.
func TestRecoveredTargetStartsSlowly(t *testing.T) {
	is := is.New(t)
	p := placer(limited(warmTarget(1, "near"), warmTarget(2, "near")))
	short(p)
	p.divide(start, p.services[service])
	p.suspect(start, p.view.Cookies[1], suspicion.Unanswered{Opened: start})
	p.clearSuspicion(start.Add(time.Second), 1)
	got := make(map[uint32]int)
	for i := range fill(t, p, start.Add(time.Second)) {
		got[p.flows[key(1000+i)].target.Cookie]++
	}
	is.Equal(got, map[uint32]int{1: 1, 2: 4})
}

// TestServiceWithoutObjectiveIsNotLimited guards against a change for deployments that ask
// for none.
func TestServiceWithoutObjectiveIsNotLimited(t *testing.T) {
	is := is.New(t)
	v := limited(warmTarget(1, "near"))
	for _, r := range v.Routes {
		r.Objective = 0
	}
	p := placer(v)
	for port := range 50 {
		open(t, p, start, port)
	}
	is.Equal(p.Waiting(), 0)
}

// TestShortageIsReported guards against shortages that an operator can't see.
func TestShortageIsReported(t *testing.T) {
	is := is.New(t)
	p := placer(limited(warmTarget(1, "near")))
	fill(t, p, start)
	got := p.Shortages()
	is.Equal(len(got), 1)
	is.True(got[0].Begins)
	is.Equal(got[0].Slots, 2.0)
	now := start
	for range 150 {
		now = now.Add(10 * time.Millisecond)
		p.Tick(now)
	}
	got = p.Shortages()
	is.Equal(len(got), 1)
	is.True(!got[0].Begins)
	is.True(got[0].Lasted > shortageEnd)
}

// TestShortDataCentreUsesOthers guards against flows that go on to full targets of the own data
// centre while other data centres have room.
func TestShortDataCentreUsesOthers(t *testing.T) {
	is := is.New(t)
	v := limited(warmTarget(1, "near"), warmTarget(2, "near"), warmTarget(3, "far"), warmTarget(4, "far"))
	v.Hosts = append(v.Hosts, registry.Host{Name: "other", DataCentre: "near"}, registry.Host{Name: "distant", DataCentre: "far"},
		registry.Host{Name: "remote", DataCentre: "far"})
	p := placer(v)
	short(p)
	p.divide(start, p.services[service])
	s := p.services[service]
	for range 20 {
		s.borrowedNear.limit.Rejected(start) // others fill the near targets
	}
	s.utilization = map[cornelbay.DataCentreName]float64{"near": 0.9}
	got := make(map[cornelbay.DataCentreName]int)
	for i := range fill(t, p, start) {
		got[p.flows[key(1000+i)].target.DataCentre]++
	}
	is.True(got["near"] <= 5)
	is.Equal(got["far"], pace.InitialBorrowing)
}

// TestLateAnswersDoNotNarrowAnIdleService guards against openings that wait although most slots
// are free.
func TestLateAnswersDoNotNarrowAnIdleService(t *testing.T) {
	is := is.New(t)
	v := limited(warmTarget(1, "near"), warmTarget(2, "near"))
	v.Hosts = append(v.Hosts, registry.Host{Name: "other", DataCentre: "near"})
	p := placer(v)
	p.divide(start, p.services[service])
	for range 20 {
		p.services[service].borrowedNear.limit.Rejected(start)
	}
	s := p.services[service]
	is.True(s.borrowedNear.limit.Limit(s.slots) < pace.InitialBorrowing)
	is.True(s.borrowedNear.room(s.slots, true))
	s.borrowedNear.open = pace.InitialBorrowing
	is.True(!s.borrowedNear.room(s.slots, true))
}

// TestSmallFleetUsesTheLeastLoadedTarget guards against a change for small fleets whose targets
// have free slots.
func TestSmallFleetUsesTheLeastLoadedTarget(t *testing.T) {
	is := is.New(t)
	v := limited(warmTarget(1, "near"), warmTarget(2, "near"))
	v.Hosts = append(v.Hosts, registry.Host{Name: "other", DataCentre: "near"})
	p := placer(v)
	p.divide(start, p.services[service])
	own := p.services[service].own[0].target.Cookie
	p.MergeReport("other", loads.Report{At: start, Loads: map[uint32]float64{own: 1}})
	is.Equal(open(t, p, start, 1), 3-own)
}

// TestUsualTimeIsKeptInAShortage guards against waiting times in a shortage that pass for the
// usual time, so that late answers no longer show that the slots are taken.
func TestUsualTimeIsKeptInAShortage(t *testing.T) {
	is := is.New(t)
	p := placer(limited(warmTarget(1, "near")))
	f := &Flow{key: key(1), service: service}
	for range minUsualSample {
		p.recordUsualTime(p.services[service], f, 20*time.Millisecond)
	}
	short(p)
	for range 100 {
		p.recordUsualTime(p.services[service], f, 80*time.Millisecond)
	}
	is.Equal(p.answers.UsualRouteTime(f.route()), 20*time.Millisecond)
	is.Equal(p.answers.UsualTime(service), 20*time.Millisecond)
}
