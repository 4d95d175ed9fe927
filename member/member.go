// Package member decides which hosts are alive, from their heartbeats; lists
// from elsewhere only introduce hosts.
package member

import (
	"slices"
	"strings"
	"time"

	"github.com/cornelbay/cornelbay"
)

// The times of the membership protocol.
const (
	HeartbeatInterval = 500 * time.Millisecond
	DeadAfter         = 2 * time.Second
)

// Heartbeat tells that its sender is alive and what it has in force.
type Heartbeat struct {
	Host       cornelbay.Host `json:"host"`
	Generation uint64         `json:"generation"`
	Digest     string         `json:"digest"`
	// ConfirmedAgeMs is how long ago the platform confirmed the generation, in
	// milliseconds; 0 when that is not known.
	ConfirmedAgeMs int64 `json:"confirmedAgeMs,omitempty"`
}

// Kind returns KindHeartbeat.
func (Heartbeat) Kind() cornelbay.MessageKind { return cornelbay.KindHeartbeat }

// View is what one host knows of the others.
type View struct {
	Self cornelbay.Host
	// Fill adds what other concerns piggyback on a heartbeat; nil adds nothing.
	Fill func(*Heartbeat)

	seen map[cornelbay.HostName]seen
	next time.Time
}

type seen struct {
	host cornelbay.Host
	at   time.Time
}

// Introduce makes the view send heartbeats to hosts that it has not heard.
func (v *View) Introduce(hosts ...cornelbay.Host) {
	if v.seen == nil {
		v.seen = make(map[cornelbay.HostName]seen)
	}
	for _, h := range hosts {
		if _, ok := v.seen[h.Name]; !ok && h.Name != v.Self.Name {
			v.seen[h.Name] = seen{host: h}
		}
	}
}

// Receive takes a heartbeat and reports whether the live hosts changed.
func (v *View) Receive(now time.Time, b Heartbeat) bool {
	if b.Host.Name == v.Self.Name {
		return false
	}
	v.Introduce(b.Host)
	old := v.seen[b.Host.Name]
	if b.Host.Incarnation < old.host.Incarnation {
		return false
	}
	v.seen[b.Host.Name] = seen{host: b.Host, at: now}
	return old.host != b.Host || !alive(old, now)
}

func alive(s seen, now time.Time) bool {
	return !s.at.IsZero() && now.Sub(s.at) < DeadAfter
}

// Tick returns the heartbeats that are due at now.
func (v *View) Tick(now time.Time) []cornelbay.Effect {
	if now.Before(v.next) {
		return nil
	}
	v.next = now.Add(HeartbeatInterval)
	b := Heartbeat{Host: v.Self}
	if v.Fill != nil {
		v.Fill(&b)
	}
	var out []cornelbay.Effect
	for _, s := range v.sorted() {
		out = append(out, cornelbay.Send{To: s.Name, Message: b})
	}
	return out
}

func (v *View) sorted() []cornelbay.Host {
	var out []cornelbay.Host
	for _, s := range v.seen {
		out = append(out, s.host)
	}
	slices.SortFunc(out, func(a, b cornelbay.Host) int {
		return strings.Compare(string(a.Name), string(b.Name))
	})
	return out
}

// Live returns the hosts that are alive at now, the own one included, by name.
func (v *View) Live(now time.Time) []cornelbay.Host {
	out := []cornelbay.Host{v.Self}
	for _, h := range v.sorted() {
		if alive(v.seen[h.Name], now) {
			out = append(out, h)
		}
	}
	slices.SortFunc(out, func(a, b cornelbay.Host) int {
		return strings.Compare(string(a.Name), string(b.Name))
	})
	return out
}

// Lookup returns what is known of the named host.
func (v *View) Lookup(name cornelbay.HostName) (cornelbay.Host, bool) {
	if name == v.Self.Name {
		return v.Self, true
	}
	s, ok := v.seen[name]
	return s.host, ok
}

// Members returns what is known of the group at now.
func (v *View) Members(now time.Time) cornelbay.Members {
	m := cornelbay.Members{Live: v.Live(now)}
	for _, h := range v.sorted() {
		if s := v.seen[h.Name]; !s.at.IsZero() && !alive(s, now) {
			m.Missing = append(m.Missing, h)
		}
	}
	return m
}
