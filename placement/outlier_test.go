package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/registry"
)

// eight returns a view of eight targets of one data centre, and of two hosts.
func eight() *registry.View {
	var members []*registry.Member
	for cookie := range uint32(8) {
		members = append(members, member(cookie+1, "near"))
	}
	v := view(members...)
	v.Hosts = []registry.Host{{Name: "h", DataCentre: "near"}, {Name: "other", DataCentre: "near"}}
	return v
}

// well is the outcome of flows that all ended as usual.
func well(n int) Outcome {
	return Outcome{Ended: float64(n), Took: time.Duration(n) * 20 * time.Millisecond}
}

// heard returns the outcomes that another host reports, with those of the first
// target.
func heard(now time.Time, first Outcome) Report {
	r := Report{At: now, Outcomes: map[uint32]Outcome{1: first}}
	for cookie := uint32(2); cookie <= 8; cookie++ {
		r.Outcomes[cookie] = well(10)
	}
	return r
}

func TestOutliersAreEjected(t *testing.T) {
	for _, c := range []struct {
		title string
		first Outcome
		state State
	}{
		{"as the others", well(10), ""},
		{"one flow failed", Outcome{Ended: 1, Failed: 1}, ""},
		{"most flows failed", Outcome{Ended: 10, Failed: 6, Took: 100 * time.Millisecond}, Failing},
		{"flows last long", Outcome{Ended: 10, Took: time.Second}, Slow},
		{"two flows last long", Outcome{Ended: 2, Took: time.Second}, ""},
		{"a little slower", Outcome{Ended: 10, Took: 300 * time.Millisecond}, ""},
	} {
		t.Run(c.title, func(t *testing.T) {
			is := is.New(t)
			p := placer(eight())
			p.Hear("other", heard(start, c.first))
			p.Report(start, start)
			var state State
			for _, b := range p.Beliefs() {
				is.Equal(b.Member.Cookie, uint32(1))
				state = b.State
			}
			is.Equal(state, c.state)
			given := map[uint32]bool{}
			for port := range 16 {
				given[open(t, p, start, port)] = true
			}
			is.Equal(given[1], c.state == "")
		})
	}
}

func TestMostTargetsStayWhenAllFail(t *testing.T) {
	is := is.New(t)
	p := placer(eight())
	r := heard(start, well(10))
	for cookie := uint32(1); cookie <= 5; cookie++ {
		r.Outcomes[cookie] = Outcome{Ended: 100, Failed: 100}
	}
	p.Hear("other", r)
	p.Report(start, start)
	is.True(len(p.Beliefs()) <= 2) // a third of eight
}

func TestOneHostTriesAnOutlierAgain(t *testing.T) {
	is := is.New(t)
	tried := map[cornelbay.HostName]bool{}
	for _, self := range []cornelbay.HostName{"h", "other"} {
		p := placer(eight())
		p.Self = self
		p.Hear("third", heard(start, Outcome{Ended: 10, Failed: 10}))
		p.Report(start, start)
		m := p.view.Cookies[1]
		is.True(p.ejected(start, m))
		tried[self] = !p.ejected(start.Add(firstEjection), m)
		is.True(!p.ejected(start.Add(firstEjection+trialTime), m)) // also where that host has gone
	}
	is.True(tried["h"] != tried["other"])
}

func TestEjectionsGrowWhileATargetRelapses(t *testing.T) {
	is := is.New(t)
	var e ejection
	e.begin(start)
	is.Equal(e.until, start.Add(firstEjection))
	again := e.until.Add(trialTime / 2)
	e.begin(again)
	is.Equal(e.until, again.Add(2*firstEjection))
	later := e.until.Add(trialTime + 2*firstEjection + time.Millisecond)
	e.begin(later)
	is.Equal(e.until, later.Add(firstEjection))
}

// TestWhatCountsAsFailed plays single flows at a target whose answers are of 2,000
// bytes.
func TestWhatCountsAsFailed(t *testing.T) {
	for _, c := range []struct {
		title string
		play  func(p *Placer, k cornelbay.FlowKey, cookie uint32)
		want  Outcome
	}{
		{"answered", func(p *Placer, k cornelbay.FlowKey, cookie uint32) {
			p.Progress(start.Add(25*time.Millisecond), k, cookie, 2001, true)
		}, Outcome{Ended: 1, Took: 20 * time.Millisecond}},
		{"short answer", func(p *Placer, k cornelbay.FlowKey, cookie uint32) {
			p.Progress(start.Add(25*time.Millisecond), k, cookie, 200, true)
		}, Outcome{Ended: 1, Failed: 1, Took: 20 * time.Millisecond}},
		{"broken off", func(p *Placer, _ cornelbay.FlowKey, _ uint32) {
			tickTo(p, start, start.Add(1500*time.Millisecond))
		}, Outcome{Ended: 1, Failed: 1}},
		{"the host stood still", func(p *Placer, _ cornelbay.FlowKey, _ uint32) {
			tickTo(p, start, start.Add(200*time.Millisecond))
			tickTo(p, start.Add(1200*time.Millisecond), start.Add(1500*time.Millisecond))
		}, Outcome{}},
	} {
		t.Run(c.title, func(t *testing.T) {
			is := is.New(t)
			p := placer(eight())
			p.answers = map[answerKey]float64{{key(1).Destination, service}: 2000}
			cookie := open(t, p, start, 1)
			p.Progress(start.Add(5*time.Millisecond), key(1), cookie, 1, false)
			c.play(p, key(1), cookie)
			is.Equal(p.Report(start.Add(2*time.Second), start).Outcomes[cookie], c.want)
		})
	}
}
