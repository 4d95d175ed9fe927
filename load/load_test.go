package load

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/config"
	"github.com/cornelbay/cornelbay/examples"
	"github.com/cornelbay/cornelbay/standin"
)

func serviceTargets(t *testing.T) (services []cornelbay.Service, first, second ServiceTarget) {
	t.Helper()
	doc, err := config.Parse(examples.Agence)
	if err != nil {
		t.Fatal(err)
	}
	s := doc.Services[0]
	return []cornelbay.Service{s}, ServiceTarget{s.Targets[0], s}, ServiceTarget{s.Targets[1], s}
}

// open opens the only flow of a load and delivers its opening packet to a target.
func open(l *Flows, p ServiceTarget) *flowState {
	l.addFlow(time.Now())
	for key, s := range l.flows {
		l.PacketArrived(p, &cornelbay.Packet{Key: key, Flags: cornelbay.Opening})
		return s
	}
	return nil
}

func TestFlowLoadDetectsBrokenFlows(t *testing.T) {
	for _, c := range []struct {
		name                      string
		do                        func(l *Flows, s *flowState, first, second ServiceTarget)
		moved, stalled, misrouted int
	}{
		{"same target", func(l *Flows, s *flowState, first, _ ServiceTarget) {
			l.PacketArrived(first, &cornelbay.Packet{Key: s.key})
		}, 0, 0, 0},
		{"second target, twice", func(l *Flows, s *flowState, _, second ServiceTarget) {
			l.PacketArrived(second, &cornelbay.Packet{Key: s.key})
			l.PacketArrived(second, &cornelbay.Packet{Key: s.key})
		}, 1, 0, 0},
		{"repeated opening at a second target", func(l *Flows, s *flowState, _, second ServiceTarget) {
			l.PacketArrived(second, &cornelbay.Packet{Key: s.key, Flags: cornelbay.Opening})
		}, 0, 0, 0},
		{"second target while the first is out", func(l *Flows, s *flowState, first, second ServiceTarget) {
			l.Abandon(time.Now(), TargetNames{first.Name: true})
			l.PacketArrived(second, &cornelbay.Packet{Key: s.key})
		}, 0, 0, 0},
		{"nothing arrives any more", func(l *Flows, s *flowState, _, _ ServiceTarget) {
			l.packet(s.lastReceived.Add(stalledAfter+time.Millisecond), s)
		}, 0, 1, 0},
		{"target of another service", func(l *Flows, s *flowState, first, _ ServiceTarget) {
			other := first
			other.Service.Port++
			l.PacketArrived(other, &cornelbay.Packet{Key: s.key})
		}, 0, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			services, first, second := serviceTargets(t)
			l := NewFlows(1, services)
			c.do(l, open(l, first), first, second)
			f := l.Stats()
			is.Equal(f.Moved, c.moved)
			is.Equal(f.Stalled, c.stalled)
			is.Equal(f.Misrouted, c.misrouted)
		})
	}
}

func TestRequestLoadDetectsWrongOutcomes(t *testing.T) {
	is := is.New(t)
	services, p, _ := serviceTargets(t)
	l := NewRequests(1, services)
	run := func(path string) { l.RequestArrived(p, httptest.NewRequest(http.MethodPost, path, nil)) }
	at := netip.MustParseAddrPort("127.0.0.1:80")
	end := func(path string, o cornelbay.Outcome, body string) {
		l.recordOutcome(at, http.MethodPost, path, o, body, nil)
	}
	run("/once")
	end("/once", cornelbay.Answered, standin.ResponseBody(p.Name, "/once"))
	doubled, falselyRefused, lost := l.Reports()
	is.Equal([]int{doubled, falselyRefused, lost, l.Stats().WrongAnswers}, []int{0, 0, 0, 0})

	run("/twice")
	run("/twice")
	end("/twice", cornelbay.Unknown, "")
	run("/refused")
	end("/refused", cornelbay.NotRun, "")
	end("/lost", cornelbay.Answered, standin.ResponseBody(p.Name, "/other")) // never ran, and the body is that of another request
	l.SetStopping(at)
	l.recordOutcome(at, http.MethodGet, "/cut", cornelbay.Unknown, "", http.ErrServerClosed)
	doubled, falselyRefused, lost = l.Reports()
	is.Equal([]int{doubled, falselyRefused, lost}, []int{1, 1, 1})
	is.Equal(l.Stats().WrongAnswers, 1)
	is.Equal(l.Stats().FailedDuringStop, 1)
}
