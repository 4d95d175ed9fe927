// Package load generates load on hosts: it opens flows and sends requests as callers
// do, and checks their outcomes.
package load

import (
	"context"
	"encoding/binary"
	"maps"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/standin"
)

// The parameters of the flow load.
const (
	flowCount          = 600
	longShare          = 0.5 // share of flows that last for the whole run
	shortLife          = 4 * time.Second
	packetInterval     = 250 * time.Millisecond
	retransmitInterval = 250 * time.Millisecond
	stalledAfter       = 4 * time.Second
	// abandonAfter is how long a caller keeps sending on a flow after the data
	// centre of its target was taken out.
	abandonAfter = 3 * time.Second
	sendInterval = 10 * time.Millisecond
	payloadBytes = 16
)

// flowState is the state of one flow, as seen by its caller and its targets.
type flowState struct {
	key  cornelbay.FlowKey
	long bool
	// target is the first target that received the opening packet, "" until then.
	target cornelbay.TargetName
	// closeAt is the time at which the caller closes the flow, nextSend that of its
	// next packet.
	closeAt, nextSend time.Time
	sent              uint64
	lastReceived      time.Time
	broken            bool
}

// TargetNames is a set of targets.
type TargetNames map[cornelbay.TargetName]bool

// ServiceTarget is a target and the service that it belongs to.
type ServiceTarget struct {
	cornelbay.Target
	Service cornelbay.Service
}

// Flows opens flows, sends their packets and checks at which targets they arrive.
type Flows struct {
	// Services are the services that flows are opened to.
	Services []cornelbay.Service
	// Send sends a packet to any host.
	Send func(inner []byte) error
	// Logf logs a broken flow.
	Logf func(format string, args ...any)

	rand  *rand.Rand
	mu    sync.Mutex
	flows map[cornelbay.FlowKey]*flowState
	port  uint16
	// outTargets are the targets in data centres that are out, whose flows the
	// callers abandon; outAt is the time at which they were set.
	outTargets TargetNames
	outAt      time.Time
	FlowStats
}

// FlowStats holds the counters of the flow load.
type FlowStats struct {
	// Opened counts flows whose opening packet arrived at a target; Sent, Received and
	// Misrouted count packets.
	Opened, Sent, Received, Misrouted int
	// Moved counts flows whose packets arrived at a second target, Stalled those
	// whose packets no longer arrive anywhere.
	Moved, Stalled int
	// LastPacket is the time of the last packet at each target, LastOpening that of
	// the last new flow.
	LastPacket, LastOpening map[cornelbay.TargetName]time.Time
	Openings                map[cornelbay.TargetName]int
}

// NewFlows returns a flow load whose random choices are seeded with seed.
func NewFlows(seed uint64, services []cornelbay.Service) *Flows {
	return &Flows{
		Services: services, Send: func([]byte) error { return nil }, Logf: func(string, ...any) {},
		rand: rand.New(rand.NewPCG(seed, 1)), flows: make(map[cornelbay.FlowKey]*flowState),
		FlowStats: FlowStats{
			LastPacket:  make(map[cornelbay.TargetName]time.Time),
			LastOpening: make(map[cornelbay.TargetName]time.Time),
			Openings:    make(map[cornelbay.TargetName]int),
		},
	}
}

// Run sends packets until ctx is done.
func (l *Flows) Run(ctx context.Context) {
	for wait(ctx, sendInterval) {
		for _, inner := range l.duePackets(time.Now()) {
			_ = l.Send(inner) // counts as packet loss: the flow sends again
		}
	}
}

// duePackets opens new flows in place of closed ones and returns the packets that are
// due.
func (l *Flows) duePackets(now time.Time) [][]byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.flows) < flowCount {
		l.addFlow(now)
	}
	var out [][]byte
	for key, s := range l.flows {
		switch {
		case l.outTargets[s.target] && now.Sub(l.outAt) > abandonAfter:
			delete(l.flows, key)
		case now.After(s.closeAt):
			delete(l.flows, key)
		case !now.Before(s.nextSend):
			out = append(out, l.packet(now, s))
		}
	}
	return out
}

func (l *Flows) addFlow(now time.Time) {
	services := l.Services
	svc := services[l.rand.IntN(len(services))]
	l.port++
	s := &flowState{
		key: cornelbay.FlowKey{
			Source:      netip.AddrPortFrom(netip.AddrFrom4([4]byte{203, 0, 113, byte(l.rand.IntN(250))}), 10000+l.port%50000),
			Destination: netip.AddrPortFrom(svc.Address, svc.Port), Protocol: svc.Protocol.Number(),
		},
		long:     l.rand.Float64() < longShare,
		nextSend: now.Add(time.Duration(l.rand.Int64N(int64(packetInterval)))), lastReceived: now,
	}
	s.closeAt = now.Add(time.Hour)
	if !s.long {
		s.closeAt = now.Add(time.Duration((0.5 + l.rand.Float64()) * float64(shortLife)))
	}
	l.flows[s.key] = s
}

// packet returns the next packet of a flow. It repeats the opening packet until one
// has arrived at a target.
func (l *Flows) packet(now time.Time, s *flowState) []byte {
	var fl cornelbay.PacketFlags
	s.nextSend = now.Add(packetInterval/2 + time.Duration(l.rand.Int64N(int64(packetInterval))))
	if s.target == "" {
		fl = cornelbay.Opening
		s.nextSend = now.Add(retransmitInterval)
	}
	s.sent++
	l.Sent++
	payload := binary.BigEndian.AppendUint64(make([]byte, 0, payloadBytes), s.sent)
	inner, err := standin.Segment(s.key, fl, payload)
	if err != nil {
		panic(err) // the load built the key itself
	}
	if s.target != "" && now.Sub(s.lastReceived) > stalledAfter {
		l.markBroken(s, &l.Stalled, "packets no longer arrive")
	}
	return inner
}

// markBroken increments the counter n and logs the flow, at most once per flow and not
// if its target's data centre is out.
func (l *Flows) markBroken(s *flowState, n *int, how string) {
	if s.broken || l.outTargets[s.target] {
		return
	}
	s.broken = true
	*n++
	l.Logf("  flow %s of %s, %d packets sent, last received %v ago: %s",
		s.key.Source, s.target, s.sent, time.Since(s.lastReceived).Round(time.Millisecond), how)
}

// PacketArrived checks a packet that a target received.
func (l *Flows) PacketArrived(p ServiceTarget, pk *cornelbay.Packet) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Received++
	l.LastPacket[p.Name] = now
	if pk.Key.Destination != netip.AddrPortFrom(p.Service.Address, p.Service.Port) || pk.Key.Protocol != p.Service.Protocol.Number() {
		l.Misrouted++
		return
	}
	s, ok := l.flows[pk.Key]
	if !ok {
		return
	}
	defer func() { s.lastReceived = now }()
	switch {
	case s.target == "":
		if pk.Flags&cornelbay.Opening != 0 {
			s.target = p.Name
			l.Opened++
			l.Openings[p.Name]++
			l.LastOpening[p.Name] = now
		}
	case s.target != p.Name && pk.Flags&cornelbay.Opening == 0:
		l.markBroken(s, &l.Moved, "moved to "+string(p.Name))
	}
}

// Abandon makes callers abandon the flows of the named targets, whose data centre is
// taken out. With nil names the data centre is back in, and the flows of the targets
// named before that are still left are deleted.
func (l *Flows) Abandon(now time.Time, names TargetNames) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, s := range l.flows {
		if names == nil && l.outTargets[s.target] {
			delete(l.flows, key)
		}
	}
	l.outTargets, l.outAt = names, now
}

// Stats returns a copy of the counters.
func (l *Flows) Stats() FlowStats {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.FlowStats
	f.LastPacket, f.LastOpening, f.Openings = maps.Clone(f.LastPacket), maps.Clone(f.LastOpening), maps.Clone(f.Openings)
	return f
}

// OpenFlows returns the number of flows that have a target, and of all flows.
func (l *Flows) OpenFlows() (established, all int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.flows {
		if s.target != "" {
			established++
		}
	}
	return established, len(l.flows)
}

// wait waits until d has passed or ctx is done, and reports whether d has passed.
func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
