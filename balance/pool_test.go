package balance

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cornelbay/cornelbay"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newPool(n int) *Pool {
	p := &Pool{Rand: rand.New(rand.NewPCG(1, 1))}
	var conf []cornelbay.Target
	for i := range n {
		conf = append(conf, cornelbay.Target{Name: cornelbay.TargetName(fmt.Sprint("t", i))})
	}
	p.SetTargets(conf, nil)
	for _, t := range p.Targets() {
		t.Owner = true
	}
	return p
}

// targetModel is a simple model of one target's limit: how many attempts may be in flight,
// by its phase, whether it has ever refused one, and its owner.
type targetModel struct {
	phase     cornelbay.TargetPhase
	permille  uint16
	owner     bool
	own       int
	others    map[cornelbay.HostName]int
	heldUntil time.Time
	shed      bool
}

func (m *targetModel) limit() int {
	switch {
	case m.phase >= cornelbay.Draining, m.phase < cornelbay.Warm && !m.owner:
		return 0
	case m.phase == cornelbay.Cold, !m.owner:
		return 1
	case m.phase == cornelbay.Warming:
		return max(1, cornelbay.DefaultSlots*int(m.permille)/cornelbay.FullPermille)
	}
	return cornelbay.DefaultSlots
}

func (m *targetModel) load() int {
	sum := m.own
	for _, k := range m.others {
		sum += k
	}
	return sum
}

// TestPickMatchesModel compares picks with the model under generated attempts, results,
// states and announcements of other hosts.
func TestPickMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPool(4)
		now := start
		models := make(map[*Target]*targetModel)
		for _, tg := range p.Targets() {
			models[tg] = &targetModel{phase: cornelbay.Warm, owner: true, others: make(map[cornelbay.HostName]int)}
		}
		anyTarget := func(t *rapid.T) *Target { return p.Targets()[rapid.IntRange(0, 3).Draw(t, "target")] }
		t.Repeat(map[string]func(*rapid.T){
			"pick": func(t *rapid.T) {
				got := p.Pick(now, nil, 0)
				if got == nil {
					for _, tg := range p.Targets() {
						if m := models[tg]; !m.shed && !now.Before(m.heldUntil) && m.load() < m.limit() {
							t.Fatalf("no pick, though %s has room", tg.Name)
						}
					}
					return
				}
				m := models[got]
				if m.load() >= m.limit() || now.Before(m.heldUntil) {
					t.Fatalf("%s picked with %d of %d", got.Name, m.load(), m.limit())
				}
				for _, tg := range p.Targets() {
					if other := models[tg]; !other.shed && !m.shed && !now.Before(other.heldUntil) && other.load() < other.limit() && other.load() < m.load() {
						t.Fatalf("%s picked with %d, though %s has %d", got.Name, m.load(), tg.Name, other.load())
					}
				}
				got.Begin(now)
				m.own++
			},
			"end": func(t *rapid.T) {
				tg := anyTarget(t)
				m := models[tg]
				if m.own == 0 {
					t.Skip("nothing runs")
				}
				r := Served
				if rapid.IntRange(0, 4).Draw(t, "result") == 0 {
					r = Shed
					m.shed, m.heldUntil = true, now.Add(MinHoldOff)
				}
				p.End(now, tg, r, 20*time.Millisecond, 0)
				m.own--
			},
			"state": func(t *rapid.T) {
				tg := anyTarget(t)
				m := models[tg]
				m.phase = cornelbay.TargetPhase(rapid.IntRange(0, int(cornelbay.Gone)).Draw(t, "phase"))
				m.permille = uint16(rapid.IntRange(0, cornelbay.FullPermille).Draw(t, "permille"))
				p.SetState(cornelbay.TargetState{Target: tg.Name, Phase: m.phase, Permille: m.permille})
			},
			"flip owner": func(t *rapid.T) {
				tg := anyTarget(t)
				tg.Owner = rapid.Bool().Draw(t, "owner")
				models[tg].owner = tg.Owner
			},
			"peer load": func(t *rapid.T) {
				tg := anyTarget(t)
				from := cornelbay.HostName(fmt.Sprint("h", rapid.IntRange(0, 1).Draw(t, "host")))
				k := rapid.IntRange(0, 2).Draw(t, "count")
				p.SetPeerLoad(now, from, tg.Name, k)
				models[tg].others[from] = k
			},
			"forget": func(t *rapid.T) {
				now = now.Add(2 * PeerLoadLifetime)
				p.Tick(now)
				for _, m := range models {
					clear(m.others)
				}
			},
		})
	})
}

func TestReportedLoadIsNotTrustedAlone(t *testing.T) {
	is := is.New(t)
	p := newPool(1)
	tg := p.Targets()[0]
	tg.Begin(start)
	tg.Begin(start)
	tg.SetReportedLoad(start, 0)
	is.True(p.Pick(start, nil, 0) == nil) // idle by its own report, full by this host's count
	p.End(start, tg, Served, time.Millisecond, 0)
	p.End(start, tg, Served, time.Millisecond, 0)
	tg.SetReportedLoad(start, 9)
	is.True(p.Pick(start, nil, 0) == tg) // busy by its own report: one attempt is let through
	tg.Begin(start)
	is.True(p.Pick(start, nil, 0) == nil)
	is.True(p.Pick(start.Add(ReportedLoadLifetime), nil, 0) == tg)
}

func TestSlowTargetIsOnProbation(t *testing.T) {
	is := is.New(t)
	p := newPool(2)
	slow, healthy := p.Targets()[0], p.Targets()[1]
	for range 40 {
		healthy.Begin(start)
		p.End(start, healthy, Served, 20*time.Millisecond, 0)
	}
	for range 12 {
		slow.Begin(start)
		p.End(start, slow, Served, 200*time.Millisecond, 0)
	}
	now := start.Add(ProbationInterval)
	first := p.Pick(now, healthy, 0)
	is.True(first == slow) // one attempt shows whether it has recovered
	slow.Begin(now)
	is.True(p.Pick(now.Add(time.Millisecond), healthy, 0) == nil)
	is.True(p.Pick(now.Add(2*ProbationInterval), healthy, 0) == nil) // that attempt has not ended
}

func TestRefusalHoldsOffAtOnce(t *testing.T) {
	is := is.New(t)
	p := newPool(1)
	tg := p.Targets()[0]
	tg.Begin(start)
	p.End(start, tg, Shed, 0, 300*time.Millisecond)
	is.True(p.Pick(start.Add(299*time.Millisecond), nil, 0) == nil) // held off for the time the target asked for
	wait, open := p.AvailableIn(start)
	is.True(open)
	is.Equal(wait, 300*time.Millisecond)
	is.True(p.Pick(start.Add(300*time.Millisecond), nil, 0) == tg)
}
