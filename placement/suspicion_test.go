package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelbay/cornelbay/loads"
	"github.com/cornelbay/cornelbay/registry"
	"github.com/cornelbay/cornelbay/suspicion"
)

// TestTargetThatAnswersAgainMayBeCold guards against openings that flood a target which has crashed
// and started anew under its name: it is cold, but its entry in the store of before is still taken
// for true, as the host that reads the store is cut off from it.
func TestTargetThatAnswersAgainMayBeCold(t *testing.T) {
	is := is.New(t)
	const flows = 200
	views := []struct {
		name string
		of   func(...*registry.Endpoint) *registry.View
	}{
		{"unlimited", view},
		{"limited", limited},
	}
	for _, c := range views {
		for _, crashed := range [][]uint32{{1}, {1, 2}} { // of two, the whole data centre is suspected
			all := []*registry.Endpoint{warmTarget(1, "near"), warmTarget(2, "near"), warmTarget(3, "near"), warmTarget(4, "far")}
			v := c.of(all...)
			p := placer(v)
			p.SetTargetsConfirmed(start)
			now := start
			for _, cookie := range crashed {
				p.targetState(cookie, now)
				p.suspect(now, v.Cookies[cookie], suspicion.Unanswered{Opened: now, Firm: true})
			}
			now = now.Add(suspicion.MinProbeInterval)
			p.clearSuspicion(now, 1)
			answeredAt := now
			p.SetTargetsConfirmed(answeredAt.Add(-time.Millisecond)) // as of before its start
			serve := func() map[uint32]int {
				got := make(map[uint32]int)
				for port := range flows {
					now = now.Add(time.Millisecond)
					cookie := open(t, p, now, port)
					got[cookie]++
					p.RoutePacket(now, key(port), Segment{Cookie: cookie, Acknowledged: 1})
					p.RoutePacket(now, key(port), Segment{Cookie: cookie, Acknowledged: 2000})
					p.RoutePacket(now, key(port), Segment{Cookie: cookie, Acknowledged: 2000, Finishing: true})
				}
				return got
			}
			got := serve()
			is.Equal(got[1], 0) // c.name, crashed
			if len(crashed) > 1 {
				is.Equal(got[3], 0) // it may have started anew unnoticed
			}
			is.True(now.Before(answeredAt.Add(announceTime)))
			now = answeredAt.Add(time.Second)
			p.SetTargetsConfirmed(answeredAt.Add(announceTime))
			is.True(serve()[1] > 0) // its entry is the one of before: only the path was cut
		}
	}
}

// TestOnlyTargetIsUsedUnconfirmed guards against callers that are refused although a target answers.
func TestOnlyTargetIsUsedUnconfirmed(t *testing.T) {
	is := is.New(t)
	p := placer(limited(warmTarget(1, "near"), warmTarget(2, "near")))
	p.SetTargetsConfirmed(start)
	p.targetState(1, start)
	p.suspect(start, p.view.Cookies[1], suspicion.Unanswered{Opened: start, Firm: true})
	p.suspect(start, p.view.Cookies[2], suspicion.Unanswered{Opened: start, Firm: true})
	now := start.Add(suspicion.MinProbeInterval)
	p.clearSuspicion(now, 1)
	is.Equal(open(t, p, now, 1), uint32(2)) // a probe
	is.Equal(open(t, p, now, 2), uint32(1))
}

// TestCallerThatIsGoneIsNoEvidence guards against targets that are taken for restarted as they don't
// answer an opening: the target that was tried first has crashed and reset its caller, which
// ignores the answers of the others.
func TestCallerThatIsGoneIsNoEvidence(t *testing.T) {
	is := is.New(t)
	p := placer(view(warmTarget(1, "near"), warmTarget(2, "far"), warmTarget(3, "far")))
	p.SetTargetsConfirmed(start)
	is.Equal(open(t, p, start, 1), uint32(1))
	p.lastProgress = start.Add(time.Millisecond) // other callers are served
	now := start.Add(150 * time.Millisecond)
	is.True(len(tickTo(p, start, now)) > 1)
	silences := p.Silences()
	is.Equal(len(silences), 1)
	is.Equal(silences[0], Silence{Cookie: 1, Since: start})
	for cookie := uint32(1); cookie <= 3; cookie++ {
		p.clearSuspicion(now, cookie)
		is.Equal(p.unconfirmed(now, p.view.Cookies[cookie]), cookie == 1)
	}
}

// TestSilenceAtAnotherHostMakesATargetDoubtful guards against a cold target that is flooded by a
// host which has sent it nothing while it was down.
func TestSilenceAtAnotherHostMakesATargetDoubtful(t *testing.T) {
	is := is.New(t)
	p := placer(view(warmTarget(1, "near"), warmTarget(2, "near")))
	p.SetTargetsConfirmed(start)
	now := start
	ask := func(port int) uint32 {
		cookie := open(t, p, now, port)
		p.RoutePacket(now, key(port), Segment{Cookie: cookie, Acknowledged: 1})
		p.RoutePacket(now, key(port), Segment{Cookie: cookie, Acknowledged: 1, Finishing: true})
		return cookie
	}
	for port := range 20 {
		ask(port)
	}
	now = now.Add(100 * time.Millisecond)
	p.MergeSilence(now, Silence{Cookie: 1, Since: now.Add(-30 * time.Millisecond)})
	now = now.Add(300 * time.Millisecond)
	got := make(map[uint32]int)
	for port := range 100 {
		got[ask(100+port)]++
	}
	is.True(got[1] <= 1) // the first answer shows that it is back
	is.True(got[2] >= 99)
	changes := p.StateChanges()
	is.Equal(len(changes), 1)
	is.Equal(changes[0].State, Doubted)
}

// TestTargetsThatWereNeverConfirmedMayBeCold guards against a cold target that is flooded by a host
// which has started while the store can't be reached, with the tables of before.
func TestTargetsThatWereNeverConfirmedMayBeCold(t *testing.T) {
	is := is.New(t)
	p := placer(view(warmTarget(1, "near"), warmTarget(2, "near")))
	p.SetTargetsConfirmed(time.Time{})
	p.targetState(1, start)
	p.suspect(start, p.view.Cookies[1], suspicion.Unanswered{Opened: start, Firm: true})
	now := start.Add(suspicion.MinProbeInterval)
	p.clearSuspicion(now, 1)
	for port := range 100 {
		is.Equal(open(t, p, now, port), uint32(2))
	}
	is.Equal(p.Unconfirmed(now), 1)
}

// TestTargetIsNotDoubtedForLongerThanItIsCold guards against targets that are left idle, while others
// are full, for as long as the store can't be reached: a data centre was cut off for a moment.
func TestTargetIsNotDoubtedForLongerThanItIsCold(t *testing.T) {
	is := is.New(t)
	p := placer(view(warmTarget(1, "near"), warmTarget(2, "far")))
	p.SetTargetsConfirmed(start)
	p.targetState(1, start)
	p.suspect(start, p.view.Cookies[1], suspicion.Unanswered{Opened: start, Firm: true})
	now := start.Add(suspicion.MinProbeInterval)
	p.clearSuspicion(now, 1)
	is.Equal(open(t, p, now, 1), uint32(2))
	p.MergeSilence(now, Silence{Cookie: 1, Since: start, Until: now}) // another host has found out later
	now = now.Add(maxColdTime)
	is.Equal(open(t, p, now, 2), uint32(1))
}

// TestTargetsThatMayBeColdShareTheLoad guards against the hosts of a large fleet that all choose the
// target with the least reported load while all targets may have started anew.
func TestTargetsThatMayBeColdShareTheLoad(t *testing.T) {
	is := is.New(t)
	const targets, hosts = 10, 200
	reported := make(map[uint32]float64)
	var all []*registry.Endpoint
	for n := range uint32(targets) {
		all = append(all, warmTarget(n+1, "near"))
		reported[n+1] = 0.1 * float64(n)
	}
	v := view(all...)
	v.Hosts = make([]registry.Host, hosts)
	got := make(map[uint32]int)
	now := start.Add(suspicion.MinProbeInterval)
	for n := range hosts {
		p := placer(v)
		p.choices = uint64(n)
		p.SetTargetsConfirmed(start)
		p.MergeReport("other", loads.Report{At: now, Loads: reported})
		for _, m := range all {
			p.MergeSilence(now, Silence{Cookie: m.Cookie, Since: start, Until: now})
		}
		got[open(t, p, now, n)]++
	}
	for _, n := range got {
		is.True(n <= hosts/2)
	}
}
