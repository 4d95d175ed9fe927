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

// naive is the plain rule for one target: what may be in flight, by its phase,
// the refusals since its last answers, and who feeds it.
type naive struct {
	phase    cornelbay.TargetPhase
	permille uint16
	feeder   bool
	mine     int
	others   map[cornelbay.HostName]int
	heldTo   time.Time
	shed     bool
}

func (n *naive) most() int {
	switch {
	case n.phase >= cornelbay.Draining, n.phase < cornelbay.Warm && !n.feeder:
		return 0
	case n.phase == cornelbay.Cold, !n.feeder:
		return 1
	case n.phase == cornelbay.Warming:
		return max(1, cornelbay.DefaultSlots*int(n.permille)/cornelbay.FullPermille)
	}
	return cornelbay.DefaultSlots
}

func (n *naive) load() int {
	sum := n.mine
	for _, k := range n.others {
		sum += k
	}
	return sum
}

// TestPickMatchesNaiveRule compares picks with the plain rule under generated
// attempts, results, states and news.
func TestPickMatchesNaiveRule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPool(4)
		now := start
		rules := make(map[*Target]*naive)
		for _, tg := range p.Targets() {
			rules[tg] = &naive{phase: cornelbay.Warm, feeder: true, others: make(map[cornelbay.HostName]int)}
		}
		any := func(t *rapid.T) *Target { return p.Targets()[rapid.IntRange(0, 3).Draw(t, "target")] }
		t.Repeat(map[string]func(*rapid.T){
			"pick": func(t *rapid.T) {
				got := p.Pick(now, nil, 0)
				if got == nil {
					for _, tg := range p.Targets() {
						if n := rules[tg]; !n.shed && !now.Before(n.heldTo) && n.load() < n.most() {
							t.Fatalf("no pick, though %s has room", tg.Name)
						}
					}
					return
				}
				n := rules[got]
				if n.load() >= n.most() || now.Before(n.heldTo) {
					t.Fatalf("%s picked with %d of %d", got.Name, n.load(), n.most())
				}
				for _, tg := range p.Targets() {
					if m := rules[tg]; !m.shed && !n.shed && !now.Before(m.heldTo) && m.load() < m.most() && m.load() < n.load() {
						t.Fatalf("%s picked with %d, though %s has %d", got.Name, n.load(), tg.Name, m.load())
					}
				}
				got.Begin(now)
				n.mine++
			},
			"end": func(t *rapid.T) {
				tg := any(t)
				n := rules[tg]
				if n.mine == 0 {
					t.Skip("nothing runs")
				}
				r := Served
				if rapid.IntRange(0, 4).Draw(t, "result") == 0 {
					r = Shed
					n.shed, n.heldTo = true, now.Add(MinHoldOff)
				}
				p.End(now, tg, r, 20*time.Millisecond, 0)
				n.mine--
			},
			"state": func(t *rapid.T) {
				tg := any(t)
				n := rules[tg]
				n.phase = cornelbay.TargetPhase(rapid.IntRange(0, int(cornelbay.Gone)).Draw(t, "phase"))
				n.permille = uint16(rapid.IntRange(0, cornelbay.FullPermille).Draw(t, "permille"))
				p.SetState(cornelbay.TargetState{Target: tg.Name, Phase: n.phase, Permille: n.permille})
			},
			"feeder": func(t *rapid.T) {
				tg := any(t)
				tg.Owner = rapid.Bool().Draw(t, "feeder")
				rules[tg].feeder = tg.Owner
			},
			"news": func(t *rapid.T) {
				tg := any(t)
				from := cornelbay.HostName(fmt.Sprint("h", rapid.IntRange(0, 1).Draw(t, "host")))
				k := rapid.IntRange(0, 2).Draw(t, "count")
				p.SetPeerLoad(now, from, tg.Name, k)
				rules[tg].others[from] = k
			},
			"forget": func(t *rapid.T) {
				now = now.Add(2 * PeerLoadLifetime)
				p.Tick(now)
				for _, n := range rules {
					clear(n.others)
				}
			},
		})
	})
}

func TestReportsAreDistrusted(t *testing.T) {
	is := is.New(t)
	p := newPool(1)
	tg := p.Targets()[0]
	tg.Begin(start)
	tg.Begin(start)
	tg.SetReportedLoad(start, 0)
	is.True(p.Pick(start, nil, 0) == nil) // idle by its own word, full by ours
	p.End(start, tg, Served, time.Millisecond, 0)
	p.End(start, tg, Served, time.Millisecond, 0)
	tg.SetReportedLoad(start, 9)
	is.True(p.Pick(start, nil, 0) == tg) // busy by its own word: one request shows
	tg.Begin(start)
	is.True(p.Pick(start, nil, 0) == nil)
	is.True(p.Pick(start.Add(ReportLifetime), nil, 0) == tg)
}

func TestSlowTargetIsOnProbation(t *testing.T) {
	is := is.New(t)
	p := newPool(2)
	slow, well := p.Targets()[0], p.Targets()[1]
	for range 40 {
		well.Begin(start)
		p.End(start, well, Served, 20*time.Millisecond, 0)
	}
	for range 12 {
		slow.Begin(start)
		p.End(start, slow, Served, 200*time.Millisecond, 0)
	}
	now := start.Add(ProbationInterval)
	first := p.Pick(now, well, 0)
	is.True(first == slow) // one request shows whether it is well again
	slow.Begin(now)
	is.True(p.Pick(now.Add(time.Millisecond), well, 0) == nil)
	is.True(p.Pick(now.Add(2*ProbationInterval), well, 0) == nil) // it has not ended
}

func TestRefusalIsBelievedAtOnce(t *testing.T) {
	is := is.New(t)
	p := newPool(1)
	tg := p.Targets()[0]
	tg.Begin(start)
	p.End(start, tg, Shed, 0, 300*time.Millisecond)
	is.True(p.Pick(start.Add(299*time.Millisecond), nil, 0) == nil) // the target's own word
	wait, open := p.AvailableIn(start)
	is.True(open)
	is.Equal(wait, 300*time.Millisecond)
	is.True(p.Pick(start.Add(300*time.Millisecond), nil, 0) == tg)
}
