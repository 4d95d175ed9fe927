package soak

import (
	"errors"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cornelbay/cornelbay/fakeplatform"
	"github.com/cornelbay/cornelbay/oplog"
	"github.com/cornelbay/cornelbay/registry"
)

// record is what the targets have done with a flow. world.records has one for each source,
// that of its last flow.
type record struct {
	acceptedBy string
	// openAt is the target that has the flow: the first one that took a packet after the opening.
	openAt  string
	refused bool
	// runs are the sequence numbers of the requests that have run.
	runs map[uint32]bool
	// packets are the first ones of the flow, as its caller and targets have seen them.
	packets []oplog.Line
}

// maxPackets limits the packets of one flow that are kept.
const maxPackets = 60

// onPacket keeps what a caller or a target has seen of a packet, in the form of a log line.
func (w *world) onPacket(at string, e fakeplatform.Event) {
	message := "got packet"
	switch {
	case e.Sent && e.Packet.Opening:
		message = "sent opening"
	case e.Sent:
		message = "sent packet"
	case e.Packet.Resetting:
		message = "got reset"
	case e.Stray:
		message = "got packet of no flow"
	case e.Packet.Opening && at == callerEnd:
		message = "got answer to opening"
	case e.Packet.Opening:
		message = "got opening"
	}
	l := oplog.Line{Host: at, Time: e.At, Message: message, Fields: map[string]any{
		"source": e.Source.String(), "cookie": e.Packet.Cookie, "acknowledged": e.Packet.Acknowledged, "bytes": e.Length,
	}}
	if e.Sent {
		l.Fields["via"] = w.hostAt(e.Via)
	}
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	r := w.records[e.Source]
	if r == nil {
		return
	}
	if r.openAt == "" && at != callerEnd && !e.Packet.Opening && !e.Stray {
		r.openAt = at
	}
	if len(r.packets) < maxPackets {
		r.packets = append(r.packets, l)
	}
}

// seenPackets returns what the ends of a flow have seen, with the names of targets as cookies.
func (w *world) seenPackets(source netip.AddrPort) []oplog.Line {
	names := make(map[uint32]string)
	w.mu.Lock()
	for _, t := range w.targets {
		names[registry.Cookie(t.Number)] = t.Name
	}
	w.mu.Unlock()
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	r := w.records[source]
	if r == nil {
		return nil
	}
	for _, l := range r.packets {
		cookie, _ := l.Fields["cookie"].(uint32) // a name already if the story is told again
		if name, ok := names[cookie]; ok {
			l.Fields["cookie"] = name
		}
	}
	return slices.Clone(r.packets)
}

// callerEnd names the caller in the story of a flow.
const callerEnd = "caller"

// hostAt returns the name of the host that takes packets at an address.
func (w *world) hostAt(at netip.AddrPort) string {
	for _, p := range w.hosts {
		if w.packets(p) == at {
			return p.name()
		}
	}
	return at.String()
}

// verify runs f on the record of a flow. If f returns true, the promise is broken.
func (w *world) verify(source netip.AddrPort, broken string, f func(*record) bool) {
	w.recordMu.Lock()
	bad := f(w.records[source])
	w.recordMu.Unlock()
	if bad {
		w.violate("%s\n%s", broken, w.story(source))
	}
}

// onReset checks the promise on a flow that was reset, of which the caller has had answers of the
// named target, if any. A flow is open once its target has a packet after the opening: before that
// no host may know which of several answers the caller took. A reset until then is told only.
func (r *run) onReset(source netip.AddrPort, answeredBy string) {
	early := false
	r.verify(source, "flow was reset while its target lives", func(rec *record) bool {
		early = rec.openAt == "" && answeredBy == ""
		return r.sound(r.targetNamed(rec.openAt)) || r.sound(r.targetNamed(answeredBy))
	})
	if early && r.o.Tell != nil {
		r.o.Tell("flow was reset before it was open\n%s", r.story(source))
	}
}

func (w *world) onAccept(source netip.AddrPort, target string) {
	w.verify(source, target+" accepted a flow that had been refused", func(r *record) bool {
		r.acceptedBy = target
		return r.refused
	})
}

func (w *world) onRun(source netip.AddrPort, sequence uint32, target string) {
	w.verify(source, target+" ran a request that had run already", func(r *record) bool {
		again := r.runs[sequence]
		r.acceptedBy, r.runs[sequence] = target, true
		return again
	})
}

// trip is the way of a flow.
type trip struct {
	source  netip.AddrPort
	service string
	begun   time.Time
	// via are the hosts that were sent packets.
	via []string
}

// notOpened checks the promises on a flow that could not be opened.
func (r *run) notOpened(t trip, err error) {
	r.count(&r.result.Refused)
	switch {
	case errors.Is(err, fakeplatform.ErrReset):
		r.verify(t.source, "flow was refused that a target had accepted", func(rec *record) bool {
			rec.refused = true
			return rec.acceptedBy != ""
		})
		if !r.excused(t, loaded, harmed) {
			r.violate("flow was refused without a shortage or fault\n%s", r.story(t.source))
		}
	case len(t.via) > 0 && !r.excused(t, harmed):
		r.violate("opening got neither a reply nor a reset, via %v\n%s", t.via, r.story(t.source))
	}
}

// The times after the end of a load, or of a fault, in which promises need not hold yet.
const (
	loadRecovery  = time.Second
	faultRecovery = 3 * time.Second // routers detect a host that ended, hosts probe silent targets
)

// The prefixes of the names of troubles: of a service that is loaded or has fewer slots, or
// whose targets do not answer. Hosts are named by their addresses.
const (
	loaded = "load "
	harmed = "fault "
)

// trouble is a time in which promises need not hold.
type trouble struct {
	active int
	until  time.Time
}

// begin begins the troubles of the given names and returns what ends them.
func (w *world) begin(names ...string) (end func()) {
	add := func(n int) {
		w.recordMu.Lock()
		defer w.recordMu.Unlock()
		for _, name := range names {
			recovery := faultRecovery
			if strings.HasPrefix(name, loaded) {
				recovery = loadRecovery
			}
			w.troubles[name] = trouble{w.troubles[name].active + n, time.Now().Add(recovery)}
		}
	}
	add(1)
	return func() { add(-1) }
}

// excused reports whether a host that a flow went through was in trouble since the flow
// began, or its service in a trouble of one of the kinds.
func (w *world) excused(t trip, kinds ...string) bool {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	names := t.via
	for _, kind := range kinds {
		names = append(names, kind+t.service)
	}
	for _, name := range names {
		if x := w.troubles[name]; x.active > 0 || x.until.After(t.begun) {
			return true
		}
	}
	return false
}
