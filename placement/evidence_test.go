package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelbay/cornelbay/answers"
	"github.com/cornelbay/cornelbay/pace"
	"github.com/cornelbay/cornelbay/registry"
)

// TestContendedRequestsAreNoEvidence guards against usual times and time factors that grow
// with the load: from requests that may have waited at the target.
func TestContendedRequestsAreNoEvidence(t *testing.T) {
	is := is.New(t)
	const long = 10 * time.Second
	p := placer(limited(warmTarget(1, "near")))
	for port := range 4 {
		open(t, p, start, port)
		p.RoutePacket(start, key(port), Segment{Cookie: 1, Acknowledged: 1})
		p.RoutePacket(start, key(port), Segment{Cookie: 1, Acknowledged: 1000})
	}
	// The first two have been opened when a slot was free. Now the others send first.
	now := start.Add(time.Millisecond)
	for _, port := range []int{2, 3} {
		p.RoutePacket(now, key(port), Segment{Cookie: 1, Acknowledged: 1000, Bytes: 1})
	}
	p.RoutePacket(now, key(0), Segment{Cookie: 1, Acknowledged: 1000, Bytes: 1})
	before := p.answers.UsualTime(service)
	p.RoutePacket(now.Add(long), key(0), Segment{Cookie: 1, Acknowledged: 2000})
	p.RoutePacket(now.Add(long), key(0), Segment{Cookie: 1, Acknowledged: 2000, Finishing: true})
	is.Equal(p.answers.UsualTime(service), before)
	is.True(p.targets[1].own().window.TimeFactor(now.Add(long)) <= 1)
}

// TestFlowsBeyondTheShareAreNoEvidence guards against usual times that grow with the load of
// other hosts: from retried and retransmitted openings, which go to any target.
func TestFlowsBeyondTheShareAreNoEvidence(t *testing.T) {
	is := is.New(t)
	v := limited(warmTarget(1, "near"), warmTarget(2, "near"))
	v.Hosts = append(v.Hosts, registry.Host{Name: "other", DataCentre: "near"})
	p := placer(v)
	open(t, p, start, 1)
	beyond := 3 - p.services[service].own[0].target.Cookie
	before := p.answers.UsualTime(service)
	for port := 2; port < 100; port++ {
		m, err := p.Open(start, Opening{Key: key(port), Service: service, Copy: 1})
		is.NoErr(err)
		p.RoutePacket(start, key(port), Segment{Cookie: m.Cookie, Acknowledged: 1})
		now := start.Add(time.Second)
		p.RoutePacket(now, key(port), Segment{Cookie: m.Cookie, Acknowledged: 1000})
		if m.Cookie == beyond {
			p.RoutePacket(now, key(port), Segment{Cookie: m.Cookie, Acknowledged: 1000, Finishing: true})
		}
	}
	is.Equal(p.answers.UsualTime(service), before)
}

// TestHostWithoutAShareBorrows guards against a host that takes each answer for late, as it
// has measured no usual time: it has no slots of its own to measure it at.
func TestHostWithoutAShareBorrows(t *testing.T) {
	is := is.New(t)
	p := fleetPlacer(fleet(400, 3, 1))
	now := start
	for range 20 {
		var ports []int
		for port := range int(p.services[service].borrowedNear.limit.Limit(0)) {
			open(t, p, now, port)
			ports = append(ports, port)
		}
		for _, port := range ports {
			f := p.flows[key(port)]
			p.RoutePacket(now, f.key, Segment{Cookie: f.target.Cookie, Acknowledged: 1})
		}
		now = now.Add(8 * answers.InitialDuration)
		for _, port := range ports {
			f := p.flows[key(port)]
			p.RoutePacket(now, f.key, Segment{Cookie: f.target.Cookie, Acknowledged: 1000})
			p.RoutePacket(now, f.key, Segment{Cookie: f.target.Cookie, Acknowledged: 1000, Finishing: true})
		}
	}
	is.True(p.services[service].borrowedNear.limit.Limit(0) >= pace.InitialBorrowing)
}

// TestSecondFlowAtAHalfTargetIsNoEvidence guards against usual times that grow with the load,
// as the other slots of a target are those of other hosts.
func TestSecondFlowAtAHalfTargetIsNoEvidence(t *testing.T) {
	is := is.New(t)
	v := limited(warmTarget(1, "near"))
	v.Hosts = append(v.Hosts, registry.Host{Name: "other", DataCentre: "near"})
	p := placer(v)
	open(t, p, start, 1)
	open(t, p, start, 2)
	is.True(!p.flows[key(1)].contended)
	is.True(p.flows[key(2)].contended)
}

// TestUsualTimeIsLearnedAtOnce guards against answers that count as late for many requests, as
// a service takes longer than the initial assumption.
func TestUsualTimeIsLearnedAtOnce(t *testing.T) {
	is := is.New(t)
	const took = 20 * answers.InitialDuration
	p := placer(limited(warmTarget(1, "near")))
	for port := range 3 {
		now := start.Add(time.Duration(port) * took)
		open(t, p, now, port)
		p.RoutePacket(now, key(port), Segment{Cookie: 1, Acknowledged: 1})
		p.RoutePacket(now.Add(took), key(port), Segment{Cookie: 1, Acknowledged: 1000})
		p.RoutePacket(now.Add(took), key(port), Segment{Cookie: 1, Acknowledged: 1000, Finishing: true})
	}
	is.Equal(p.answers.UsualTime(service), took)
	is.Equal(p.targets[1].own().window.TimeFactor(start.Add(3*took)), 1.0)
}
