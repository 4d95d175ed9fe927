package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/registry"
)

// TestFleetDoesNotFloodATargetThatMayBeCold guards against many hosts that each find out for
// themselves that a target which has crashed is back: it is cold, and gets an opening of every host.
func TestFleetDoesNotFloodATargetThatMayBeCold(t *testing.T) {
	const (
		targets   = 10
		perSecond = 200 // requests for each target
		allowed   = 11  // openings in a second at a cold target that bears 4: 4*1.5 + 5
	)
	for _, c := range []struct {
		hosts int
		down  time.Duration
	}{
		{6, 300 * time.Millisecond},
		{40, 160 * time.Millisecond},
		{100, 300 * time.Millisecond},
		{100, 3 * time.Second},
		{900, 300 * time.Millisecond},
		{900, 3 * time.Second},
	} {
		t.Run(fmt.Sprintf("%d hosts, %v", c.hosts, c.down), func(t *testing.T) {
			is := is.New(t)
			f := newColdFleet(c.hosts, targets)
			f.run(time.Second, targets*perSecond)
			f.down = true
			f.run(c.down, targets*perSecond)
			f.down = false
			f.cold = nil
			f.run(time.Second, targets*perSecond) // the hosts' tables are those of before
			t.Logf("%d openings", len(f.cold))
			is.True(len(f.cold) <= allowed)
		})
	}
}

// coldFleet are hosts between callers and targets, of which the first one crashes and is back.
type coldFleet struct {
	clock
	hosts []*Placer
	r     *rand.Rand
	ports int
	// down is true while the first target does not answer, and cold are the times at which it got
	// openings.
	down bool
	cold []time.Duration
}

const (
	toTarget  = time.Millisecond
	toHost    = 2 * time.Millisecond
	toCaller  = 30 * time.Millisecond // and back to a host
	crashable = uint32(1)             // its cookie
)

func newColdFleet(hosts, targets int) *coldFleet {
	f := &coldFleet{r: rand.New(rand.NewPCG(1, 1))}
	var all []*registry.Endpoint
	for n := range targets {
		m := warmTarget(uint32(n+1), "near")
		m.Slots = 8
		all = append(all, m)
	}
	v := limited(all...)
	for n := range hosts {
		v.Hosts = append(v.Hosts, registry.Host{Name: cornelbay.HostName(fmt.Sprintf("h%d", n)), DataCentre: "near"})
	}
	for _, h := range v.Hosts {
		p := &Placer{Self: h.Name, DataCentre: "near"}
		p.SetView(v)
		p.SetTargetsConfirmed(start)
		f.hosts = append(f.hosts, p)
	}
	return f
}

// run lets callers open flows with one request each.
func (f *coldFleet) run(d time.Duration, perSecond int) {
	for range int(d.Seconds() * float64(perSecond)) {
		f.after(time.Duration(f.r.Float64()*float64(d)), func() {
			p := f.hosts[f.r.IntN(len(f.hosts))]
			f.ports++
			k := key(f.ports)
			if m, err := p.Open(f.time(), Opening{Key: k, Service: service, Packet: []byte("opening")}); err == nil {
				f.deliver(p, k, m.Cookie)
			}
		})
	}
	for n, p := range f.hosts {
		f.after(time.Duration(n)*pendingTickInterval/time.Duration(len(f.hosts)), func() { f.tick(p, f.now+d-pendingTickInterval) })
	}
	f.runUntil(f.now + d)
}

func (f *coldFleet) tick(p *Placer, until time.Duration) {
	for _, r := range p.Tick(f.time()) {
		if r.Target != nil {
			f.deliver(p, r.Key, r.Target.Cookie)
		}
	}
	for _, a := range p.Admissions() {
		if a.Target != nil {
			f.deliver(p, a.Key, a.Target.Cookie)
		}
	}
	if silences := p.Silences(); len(silences) > 0 {
		f.after(toHost, func() {
			for _, other := range f.hosts {
				for _, s := range silences {
					if other != p {
						other.MergeSilence(f.time(), s)
					}
				}
			}
		})
	}
	if f.now < until {
		f.after(pendingTickInterval, func() { f.tick(p, until) })
	}
}

// deliver brings an opening to a target, and the caller's next packets to the host.
func (f *coldFleet) deliver(p *Placer, k cornelbay.FlowKey, cookie uint32) {
	f.after(toTarget, func() {
		if cookie == crashable {
			if f.down {
				return
			}
			f.cold = append(f.cold, f.now)
		}
		f.after(toCaller, func() { p.RoutePacket(f.time(), k, Segment{Cookie: cookie, Acknowledged: 1, Bytes: 1}) })
		f.after(toCaller+20*time.Millisecond, func() {
			p.RoutePacket(f.time(), k, Segment{Cookie: cookie, Sequence: 1, Acknowledged: 2000})
			p.RoutePacket(f.time(), k, Segment{Cookie: cookie, Sequence: 1, Acknowledged: 2000, Finishing: true})
		})
	})
}
