package demo

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/config"
	"github.com/cornelbay/cornelbay/examples"
	"github.com/cornelbay/cornelbay/standin"
)

func testWorld(t *testing.T) (*world, *place, *place) {
	t.Helper()
	doc, err := config.Parse(examples.Agence)
	if err != nil {
		t.Fatal(err)
	}
	s := doc.Services[0]
	first := &place{Target: s.Targets[0], service: s, standin: &standin.Target{}}
	second := &place{Target: s.Targets[1], service: s, standin: &standin.Target{}}
	return &world{doc: &config.Document{Services: []cornelbay.Service{s}}}, first, second
}

// open opens the only flow of a load at a target.
func open(l *flowLoad, p *place) *stream {
	l.add(time.Now())
	for key, s := range l.streams {
		l.arrived(p, &cornelbay.Packet{Key: key, Flags: cornelbay.Opening})
		return s
	}
	return nil
}

func TestFlowLoadSeesWhatBreaks(t *testing.T) {
	for _, c := range []struct {
		name                      string
		do                        func(l *flowLoad, s *stream, first, second *place)
		moved, stalled, misplaced int
	}{
		{"same target", func(l *flowLoad, s *stream, first, _ *place) {
			l.arrived(first, &cornelbay.Packet{Key: s.key})
		}, 0, 0, 0},
		{"second target, twice", func(l *flowLoad, s *stream, _, second *place) {
			l.arrived(second, &cornelbay.Packet{Key: s.key})
			l.arrived(second, &cornelbay.Packet{Key: s.key})
		}, 1, 0, 0},
		{"repeated opening at a second target", func(l *flowLoad, s *stream, _, second *place) {
			l.arrived(second, &cornelbay.Packet{Key: s.key, Flags: cornelbay.Opening})
		}, 0, 0, 0},
		{"second target while the first is out", func(l *flowLoad, s *stream, first, second *place) {
			l.giveUp(time.Now(), targetNames{first.Name: true})
			l.arrived(second, &cornelbay.Packet{Key: s.key})
		}, 0, 0, 0},
		{"nothing arrives any more", func(l *flowLoad, s *stream, _, _ *place) {
			l.packet(s.heard.Add(stalledAfter+time.Millisecond), s)
		}, 0, 1, 0},
		{"target of another service", func(l *flowLoad, s *stream, first, _ *place) {
			other := *first
			other.service.Port++
			l.arrived(&other, &cornelbay.Packet{Key: s.key})
		}, 0, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w, first, second := testWorld(t)
			l := newFlowLoad(w, 1)
			c.do(l, open(l, first), first, second)
			f := l.figures()
			is.Equal(f.moved, c.moved)
			is.Equal(f.stalled, c.stalled)
			is.Equal(f.misplaced, c.misplaced)
		})
	}
}

func TestRequestLoadSeesWhatBreaks(t *testing.T) {
	is := is.New(t)
	w, p, _ := testWorld(t)
	l := newRequestLoad(w, 1)
	run := func(path string) { l.arrived(p, httptest.NewRequest(http.MethodPost, path, nil)) }
	h := &host{}
	end := func(path string, o cornelbay.Outcome, body string) {
		l.ended(h, http.MethodPost, path, o, body, nil)
	}
	run("/once")
	end("/once", cornelbay.Answered, standin.AnswerTo(p.Name, "/once"))
	doubled, falselyRefused, lost := l.reports()
	is.Equal([]int{doubled, falselyRefused, lost, l.figures().foreign}, []int{0, 0, 0, 0})

	run("/twice")
	run("/twice")
	end("/twice", cornelbay.Unknown, "")
	run("/refused")
	end("/refused", cornelbay.NotRun, "")
	end("/lost", cornelbay.Answered, standin.AnswerTo(p.Name, "/other"))
	l.stop(h)
	l.ended(h, http.MethodGet, "/cut", cornelbay.Unknown, "", http.ErrServerClosed)
	doubled, falselyRefused, lost = l.reports()
	is.Equal([]int{doubled, falselyRefused, lost}, []int{1, 1, 1})
	is.Equal(l.figures().foreign, 1)
	is.Equal(l.figures().cutByStop, 1)
}

func TestConfigWatchWaitsForEveryHost(t *testing.T) {
	is := is.New(t)
	var c configWatch
	now := time.Now()
	c.commit(1, now)
	_, all := c.slowest()
	is.True(!all) // not in force anywhere
	c.inForce[1] = now.Add(300 * time.Millisecond)
	took, all := c.slowest()
	is.True(all)
	is.Equal(took, 300*time.Millisecond)
	c.commit(2, now)
	_, all = c.slowest()
	is.True(!all) // a later change is not in force
}
