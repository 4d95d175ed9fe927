package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/registry"
	"github.com/cornelbay/cornelbay/suspicion"
)

// TestSuspectedTargetIsProbedBeyondTheShare guards against targets that a host never borrows
// from again after one opening was not answered, or after their data centre was cut off.
func TestSuspectedTargetIsProbedBeyondTheShare(t *testing.T) {
	is := is.New(t)
	for dataCentre, silent := range map[cornelbay.DataCentreName]int{"near": 1, "far": suspicion.DataCentreThreshold} {
		v := limited(warmTarget(1, "near"), warmTarget(2, dataCentre))
		v.Hosts = append(v.Hosts, registry.Host{Name: "other", DataCentre: dataCentre})
		p := placer(v)
		short(p)
		open(t, p, start, 1)
		s := p.services[service]
		is.Equal(len(s.own), 1)
		is.Equal(s.own[0].target.DataCentre, cornelbay.DataCentreName("near"))
		other := v.Cookies[3-s.own[0].target.Cookie]
		for range silent {
			p.suspect(start, other, suspicion.Unanswered{Opened: start})
		}
		borrowed := func(now time.Time) int {
			before := s.borrowed()
			fill(t, p, now)
			return s.borrowed() - before
		}
		is.Equal(borrowed(start), 0) // no probe is due
		now := start.Add(suspicion.MaxProbeInterval)
		for n := range 100 { // the flows of fill end
			if f, ok := p.flows[key(1000+n)]; ok && !f.closed && !f.waiting {
				serve(p, now, n)
			}
		}
		p.Tick(now)
		short(p)
		is.Equal(borrowed(now), 1) // one probe
	}
}
