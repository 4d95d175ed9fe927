// Package steward picks the host that is in charge of something among the hosts
// that are alive and answer.
package steward

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelbay/cornelbay"
)

// The times of Hosts.
const (
	// MinAckTimeout and MaxAckTimeout bound when a host that has not
	// acknowledged a call is avoided: after ackFactor times the usual time.
	MinAckTimeout = 25 * time.Millisecond
	MaxAckTimeout = 100 * time.Millisecond
	// AvoidTime is how long a host is avoided that did not answer; it doubles
	// up to MaxAvoidTime while it does not.
	AvoidTime    = 3 * time.Second
	MaxAvoidTime = 30 * time.Second
)

const (
	ackFactor = 8
	// ackShare is the share of a new time in the usual one, as a divisor.
	ackShare = 8
)

// Hosts is what is known of the hosts of a group; its zero value knows none, and
// one goroutine uses it.
type Hosts struct {
	Self cornelbay.HostName
	// Stopping is true when the own host takes nothing new.
	Stopping bool

	live    []cornelbay.Host
	byName  map[cornelbay.HostName]cornelbay.Host
	avoided map[cornelbay.HostName]avoidance
	// ackTime is the usual time for another host to acknowledge a call.
	ackTime time.Duration
}

// avoidance is the time for which a host is avoided.
type avoidance struct {
	until time.Time
	span  time.Duration
	// silent is true when the host did not answer at all.
	silent bool
}

// Hash returns the hash of names that scores and short names use.
func Hash(parts ...string) uint64 {
	var h xxhash.Digest
	h.Reset()
	for _, p := range parts {
		_, _ = h.WriteString(p) // never fails
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

// SetMembers takes the live hosts and returns the names, in order, of those that have
// ended or started anew.
func (h *Hosts) SetMembers(m cornelbay.Members) []cornelbay.HostName {
	old := h.byName
	h.live, h.byName = m.Live, make(map[cornelbay.HostName]cornelbay.Host, len(m.Live))
	for _, host := range m.Live {
		h.byName[host.Name] = host
	}
	var gone []cornelbay.HostName
	for _, name := range slices.Sorted(maps.Keys(old)) {
		if host, ok := h.byName[name]; !ok || host.Incarnation != old[name].Incarnation {
			gone = append(gone, name)
			delete(h.avoided, name)
		}
	}
	return gone
}

// Lookup returns the named host when it is alive.
func (h *Hosts) Lookup(name cornelbay.HostName) (cornelbay.Host, bool) {
	host, ok := h.byName[name]
	return host, ok
}

// Owner returns the host in charge of the named thing, by rendezvous hashing.
func (h *Hosts) Owner(now time.Time, name string) cornelbay.HostName {
	best, top := h.Self, uint64(0)
	for _, host := range h.live {
		if now.Before(h.avoided[host.Name].until) || (host.Name == h.Self && h.Stopping) {
			continue
		}
		if s := Hash(name, string(host.Name)); s > top {
			best, top = host.Name, s
		}
	}
	return best
}

// Peers returns at most n live hosts besides the own one, at random when there
// are more.
func (h *Hosts) Peers(r *rand.Rand, n int) []cornelbay.Host {
	out := slices.DeleteFunc(slices.Clone(h.live), func(host cornelbay.Host) bool { return host.Name == h.Self })
	if len(out) > n {
		r.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
		out = out[:n]
	}
	return out
}

// Avoid keeps a host from being picked for a while; silent tells that it did not
// answer, rather than that it refused.
func (h *Hosts) Avoid(now time.Time, name cornelbay.HostName, silent bool) {
	a := h.avoided[name]
	if now.Before(a.until) && (a.silent || !silent) {
		return
	}
	a.silent = silent
	a.span = min(MaxAvoidTime, max(AvoidTime, 2*a.span))
	a.until = now.Add(a.span)
	if h.avoided == nil {
		h.avoided = make(map[cornelbay.HostName]avoidance)
	}
	h.avoided[name] = a
}

// AnyAvoided reports whether any host was avoided since it last answered.
func (h *Hosts) AnyAvoided() bool { return len(h.avoided) > 0 }

// Unresponsive reports whether the named host has not answered of late.
func (h *Hosts) Unresponsive(now time.Time, name cornelbay.HostName) bool {
	a := h.avoided[name]
	return a.silent && now.Before(a.until)
}

// RecordAck takes the time that a host took to acknowledge a call; it
// reports whether the host was avoided until now.
func (h *Hosts) RecordAck(name cornelbay.HostName, took time.Duration) bool {
	if h.ackTime == 0 {
		h.ackTime = took
	}
	h.ackTime += (took - h.ackTime) / ackShare
	_, avoided := h.avoided[name]
	delete(h.avoided, name)
	return avoided
}

// AckTimeout returns how long to wait for an acknowledgement.
func (h *Hosts) AckTimeout() time.Duration {
	if h.ackTime == 0 {
		return MaxAckTimeout
	}
	return min(MaxAckTimeout, max(MinAckTimeout, ackFactor*h.ackTime))
}
