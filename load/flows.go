// Package load plays callers towards hosts: it opens flows and sends requests, and
// checks what becomes of them.
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

// The shape of the load of flows.
const (
	flowCount    = 600
	longShare    = 0.5 // of flows that last for the whole run
	shortLife    = 4 * time.Second
	packetPause  = 250 * time.Millisecond
	openingPause = 250 * time.Millisecond
	stalledAfter = 4 * time.Second
	// givenUpAfter is how long a caller goes on with a flow whose target's data
	// centre is out.
	givenUpAfter = 3 * time.Second
	sendInterval = 10 * time.Millisecond
	payloadBytes = 16
)

// stream is one flow with what the caller and the targets saw of it.
type stream struct {
	key  cornelbay.FlowKey
	long bool
	// target took the opening packet first; "" before.
	target cornelbay.TargetName
	// ends is when the caller closes the flow.
	ends, next time.Time
	sent       uint64
	heard      time.Time
	broken     bool
}

// TargetNames is a set of targets.
type TargetNames map[cornelbay.TargetName]bool

// ServiceTarget is a target with the service that it belongs to.
type ServiceTarget struct {
	cornelbay.Target
	Service cornelbay.Service
}

// Flows opens flows, sends their packets and checks where they arrive.
type Flows struct {
	// Services are what flows are opened to.
	Services []cornelbay.Service
	// Send hands a packet to any host.
	Send func(inner []byte) error
	// Logf shows a line about a broken flow.
	Logf func(format string, args ...any)

	rand    *rand.Rand
	mu      sync.Mutex
	streams map[cornelbay.FlowKey]*stream
	port    uint16
	// out names the targets whose flows are given up.
	out   TargetNames
	outAt time.Time
	FlowStats
}

// FlowStats is what the load counts.
type FlowStats struct {
	Opened, Sent, Received, Misrouted int
	// Moved flows met a second target, Stalled ones none any more.
	Moved, Stalled int
	// LastPacket and LastOpening are the times of arrivals at each target.
	LastPacket, LastOpening map[cornelbay.TargetName]time.Time
	Openings                map[cornelbay.TargetName]int
}

// NewFlows returns a load whose flows follow from the seed.
func NewFlows(seed uint64, services []cornelbay.Service) *Flows {
	return &Flows{
		Services: services, Send: func([]byte) error { return nil }, Logf: func(string, ...any) {},
		rand: rand.New(rand.NewPCG(seed, 1)), streams: make(map[cornelbay.FlowKey]*stream),
		FlowStats: FlowStats{
			LastPacket:  make(map[cornelbay.TargetName]time.Time),
			LastOpening: make(map[cornelbay.TargetName]time.Time),
			Openings:    make(map[cornelbay.TargetName]int),
		},
	}
}

// Run sends until ctx ends.
func (l *Flows) Run(ctx context.Context) {
	for wait(ctx, sendInterval) {
		for _, inner := range l.due(time.Now()) {
			_ = l.Send(inner) // a lost packet is sent again
		}
	}
}

// due renews the flows that ended and returns the packets to send now.
func (l *Flows) due(now time.Time) [][]byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.streams) < flowCount {
		l.add(now)
	}
	var out [][]byte
	for key, s := range l.streams {
		switch {
		case l.out[s.target] && now.Sub(l.outAt) > givenUpAfter:
			delete(l.streams, key)
		case now.After(s.ends):
			delete(l.streams, key)
		case !now.Before(s.next):
			out = append(out, l.packet(now, s))
		}
	}
	return out
}

func (l *Flows) add(now time.Time) {
	services := l.Services
	svc := services[l.rand.IntN(len(services))]
	l.port++
	s := &stream{
		key: cornelbay.FlowKey{
			Source:      netip.AddrPortFrom(netip.AddrFrom4([4]byte{203, 0, 113, byte(l.rand.IntN(250))}), 10000+l.port%50000),
			Destination: netip.AddrPortFrom(svc.Address, svc.Port), Protocol: svc.Protocol.Number(),
		},
		long: l.rand.Float64() < longShare,
		next: now.Add(time.Duration(l.rand.Int64N(int64(packetPause)))), heard: now,
	}
	s.ends = now.Add(time.Hour)
	if !s.long {
		s.ends = now.Add(time.Duration((0.5 + l.rand.Float64()) * float64(shortLife)))
	}
	l.streams[s.key] = s
}

// packet returns the next packet of a flow: the opening one until it arrived.
func (l *Flows) packet(now time.Time, s *stream) []byte {
	var fl cornelbay.PacketFlags
	s.next = now.Add(packetPause/2 + time.Duration(l.rand.Int64N(int64(packetPause))))
	if s.target == "" {
		fl = cornelbay.Opening
		s.next = now.Add(openingPause)
	}
	s.sent++
	l.Sent++
	payload := binary.BigEndian.AppendUint64(make([]byte, 0, payloadBytes), s.sent)
	inner, err := standin.Segment(s.key, fl, payload)
	if err != nil {
		panic(err) // the key is the load's own
	}
	if s.target != "" && now.Sub(s.heard) > stalledAfter {
		l.breakFlow(s, &l.Stalled, "arrived nowhere")
	}
	return inner
}

// breakFlow counts a flow once, unless its target's data centre is out.
func (l *Flows) breakFlow(s *stream, n *int, how string) {
	if s.broken || l.out[s.target] {
		return
	}
	s.broken = true
	*n++
	l.Logf("  flow %s of %s, %d packets, last heard %v ago, %s",
		s.key.Source, s.target, s.sent, time.Since(s.heard).Round(time.Millisecond), how)
}

// PacketArrived checks a packet that a target got.
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
	s, ok := l.streams[pk.Key]
	if !ok {
		return
	}
	defer func() { s.heard = now }()
	switch {
	case s.target == "":
		if pk.Flags&cornelbay.Opening != 0 {
			s.target = p.Name
			l.Opened++
			l.Openings[p.Name]++
			l.LastOpening[p.Name] = now
		}
	case s.target != p.Name && pk.Flags&cornelbay.Opening == 0:
		l.breakFlow(s, &l.Moved, "met "+string(p.Name))
	}
}

// Abandon gives up the flows of targets whose data centre is taken out; without
// names the data centre comes back.
func (l *Flows) Abandon(now time.Time, names TargetNames) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, s := range l.streams {
		if names == nil && l.out[s.target] {
			delete(l.streams, key)
		}
	}
	l.out, l.outAt = names, now
}

// Stats returns a copy of what was counted.
func (l *Flows) Stats() FlowStats {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.FlowStats
	f.LastPacket, f.LastOpening, f.Openings = maps.Clone(f.LastPacket), maps.Clone(f.LastOpening), maps.Clone(f.Openings)
	return f
}

// OpenFlows returns the number of flows that a target has taken on, and of all.
func (l *Flows) OpenFlows() (established, all int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.streams {
		if s.target != "" {
			established++
		}
	}
	return established, len(l.streams)
}

// wait waits for d or the end of ctx and reports whether ctx goes on.
func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
