// Package rendezvous selects the owner of a name among the responsive live
// hosts by rendezvous hashing.
package rendezvous

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelbay/cornelbay"
)

// Timeouts of Hosts.
const (
	// MinAckTimeout and MaxAckTimeout limit the time after which a host that
	// has not acknowledged a call is avoided: ackTimeoutFactor times the
	// average time to an acknowledgement.
	MinAckTimeout = 25 * time.Millisecond
	MaxAckTimeout = 100 * time.Millisecond
	// AvoidTime is how long a host that did not acknowledge a call, or refused
	// it, is avoided. It doubles with each further failure, up to MaxAvoidTime.
	AvoidTime    = 3 * time.Second
	MaxAvoidTime = 30 * time.Second
)

const (
	ackTimeoutFactor = 8
	// ackSmoothing is the inverse of the weight of a new sample in the moving
	// average.
	ackSmoothing = 8
)

// Hosts tracks the hosts of a group. Its zero value has no hosts. It is not
// safe for concurrent use.
type Hosts struct {
	Self cornelbay.HostName
	// Stopping is true when this host accepts no new work.
	Stopping bool

	live    []cornelbay.Host
	byName  map[cornelbay.HostName]cornelbay.Host
	avoided map[cornelbay.HostName]avoidance
	// ackTime is the moving average of the time in which other hosts
	// acknowledge a call.
	ackTime time.Duration
}

// avoidance describes how long a host is avoided.
type avoidance struct {
	until    time.Time
	duration time.Duration
	// unresponsive is true when the host did not acknowledge the call at all.
	unresponsive bool
}

// Hash returns a hash of the names, used for rendezvous scores and for short
// identifiers.
func Hash(parts ...string) uint64 {
	var h xxhash.Digest
	h.Reset()
	for _, p := range parts {
		_, _ = h.WriteString(p) // never fails
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

// Update sets the live hosts. It returns the sorted names of the hosts that are
// no longer live, because they are missing or have ended, or that have
// restarted.
func (h *Hosts) Update(m cornelbay.Members) []cornelbay.HostName {
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

// Lookup returns the named host if it is live.
func (h *Hosts) Lookup(name cornelbay.HostName) (cornelbay.Host, bool) {
	host, ok := h.byName[name]
	return host, ok
}

// Owner returns the host that owns the name, by rendezvous hashing over the
// live hosts that are not avoided. A stopping host does not select itself unless
// no other host is left.
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

// Peers returns at most n live hosts other than this one, chosen at random if
// there are more.
func (h *Hosts) Peers(r *rand.Rand, n int) []cornelbay.Host {
	out := slices.DeleteFunc(slices.Clone(h.live), func(host cornelbay.Host) bool { return host.Name == h.Self })
	if len(out) > n {
		r.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
		out = out[:n]
	}
	return out
}

// Avoid excludes a host from Owner for a while. unresponsive is true when the
// host did not acknowledge a call, and false when it refused one.
func (h *Hosts) Avoid(now time.Time, name cornelbay.HostName, unresponsive bool) {
	a := h.avoided[name]
	if now.Before(a.until) && (a.unresponsive || !unresponsive) {
		return
	}
	a.unresponsive = unresponsive
	a.duration = min(MaxAvoidTime, max(AvoidTime, 2*a.duration))
	a.until = now.Add(a.duration)
	if h.avoided == nil {
		h.avoided = make(map[cornelbay.HostName]avoidance)
	}
	h.avoided[name] = a
}

// AnyAvoided reports whether a host was avoided and has neither acknowledged a
// call, restarted nor left the live hosts since, even if its avoidance has
// expired.
func (h *Hosts) AnyAvoided() bool { return len(h.avoided) > 0 }

// Unresponsive reports whether the named host is avoided because it did not
// acknowledge a call.
func (h *Hosts) Unresponsive(now time.Time, name cornelbay.HostName) bool {
	a := h.avoided[name]
	return a.unresponsive && now.Before(a.until)
}

// RecordAck records the time in which a host acknowledged a call and ends its
// avoidance. It reports whether the host was avoided.
func (h *Hosts) RecordAck(name cornelbay.HostName, took time.Duration) bool {
	if h.ackTime == 0 {
		h.ackTime = took
	}
	h.ackTime += (took - h.ackTime) / ackSmoothing
	_, avoided := h.avoided[name]
	delete(h.avoided, name)
	return avoided
}

// AckTimeout returns how long to wait for the acknowledgement of a call.
func (h *Hosts) AckTimeout() time.Duration {
	if h.ackTime == 0 {
		return MaxAckTimeout
	}
	return min(MaxAckTimeout, max(MinAckTimeout, ackTimeoutFactor*h.ackTime))
}
