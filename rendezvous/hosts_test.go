package rendezvous

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelbay/cornelbay"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func members(names ...cornelbay.HostName) cornelbay.Members {
	var m cornelbay.Members
	for _, n := range names {
		m.Live = append(m.Live, cornelbay.Host{Name: n, Incarnation: 1})
	}
	return m
}

func TestOwnersAreSameOnAllHostsAndMoveLittle(t *testing.T) {
	is := is.New(t)
	a, b := Hosts{Self: "a"}, Hosts{Self: "b"}
	a.Update(members("a", "b", "c"))
	b.Update(members("c", "b", "a"))
	names := []string{"statut", "carto", "desk", "archive", "x", "y", "z"}
	before := make(map[string]cornelbay.HostName)
	for _, n := range names {
		before[n] = a.Owner(start, n)
		is.Equal(b.Owner(start, n), before[n]) // the order of the hosts does not matter
	}
	is.Equal(a.Update(members("a", "b")), []cornelbay.HostName{"c"})
	for _, n := range names {
		if before[n] != "c" {
			is.Equal(a.Owner(start, n), before[n]) // only names owned by the lost host move
		}
	}
}

func TestAvoidTimeDoublesUntilAck(t *testing.T) {
	is := is.New(t)
	h := Hosts{Self: "a"}
	h.Update(members("a", "b"))
	name := "1"
	for h.Owner(start, name) != "b" {
		name += "1"
	}
	h.Avoid(start, "b", true)
	is.True(h.Unresponsive(start, "b"))
	is.Equal(h.Owner(start, name), cornelbay.HostName("a"))
	again := start.Add(AvoidTime)
	is.Equal(h.Owner(again, name), cornelbay.HostName("b"))
	h.Avoid(again, "b", true)
	is.Equal(h.Owner(again.Add(2*AvoidTime-1), name), cornelbay.HostName("a"))
	is.True(h.RecordAck("b", 2*time.Millisecond)) // its answer ends the avoidance
	is.Equal(h.Owner(again, name), cornelbay.HostName("b"))
	is.Equal(h.AckTimeout(), MinAckTimeout)
}

func TestStoppingHostPicksAnother(t *testing.T) {
	is := is.New(t)
	h := Hosts{Self: "a", Stopping: true}
	h.Update(members("a", "b"))
	for _, n := range []string{"1", "2", "3", "4"} {
		is.Equal(h.Owner(start, n), cornelbay.HostName("b"))
	}
}
