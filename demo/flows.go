package demo

import (
	"context"
	"encoding/binary"
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

// flowLoad opens flows, sends their packets and checks where they arrive.
type flowLoad struct {
	world *world
	rand  *rand.Rand

	mu      sync.Mutex
	streams map[cornelbay.FlowKey]*stream
	port    uint16
	// out names the targets whose flows are given up.
	out   targetNames
	outAt time.Time
	flowFigures
}

// flowFigures is what the load counts.
type flowFigures struct {
	opened, sent, received, misplaced int
	// moved flows met a second target, stalled ones none any more.
	moved, stalled int
	// lastPacket and lastOpening are the times of arrivals at each target.
	lastPacket, lastOpening map[cornelbay.TargetName]time.Time
	openings                map[cornelbay.TargetName]int
}

func newFlowLoad(w *world, seed uint64) *flowLoad {
	return &flowLoad{
		world: w, rand: rand.New(rand.NewPCG(seed, 1)),
		streams: make(map[cornelbay.FlowKey]*stream), out: make(targetNames),
		flowFigures: flowFigures{
			lastPacket:  make(map[cornelbay.TargetName]time.Time),
			lastOpening: make(map[cornelbay.TargetName]time.Time),
			openings:    make(map[cornelbay.TargetName]int),
		},
	}
}

func (l *flowLoad) run(ctx context.Context) {
	for wait(ctx, sendInterval) {
		for _, inner := range l.due(time.Now()) {
			_ = l.world.fabric.Send(inner) // a lost packet is sent again
		}
	}
}

// due renews the flows that ended and returns the packets to send now.
func (l *flowLoad) due(now time.Time) [][]byte {
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

func (l *flowLoad) add(now time.Time) {
	services := l.world.doc.Services
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
func (l *flowLoad) packet(now time.Time, s *stream) []byte {
	var fl cornelbay.PacketFlags
	s.next = now.Add(packetPause/2 + time.Duration(l.rand.Int64N(int64(packetPause))))
	if s.target == "" {
		fl = cornelbay.Opening
		s.next = now.Add(openingPause)
	}
	s.sent++
	l.sent++
	payload := binary.BigEndian.AppendUint64(make([]byte, 0, payloadBytes), s.sent)
	inner, err := standin.Segment(s.key, fl, payload)
	if err != nil {
		panic(err) // the key is the load's own
	}
	if s.target != "" && now.Sub(s.heard) > stalledAfter {
		l.breakFlow(s, &l.stalled)
	}
	return inner
}

// breakFlow counts a flow once, unless its target's data centre is out.
func (l *flowLoad) breakFlow(s *stream, n *int) {
	if !s.broken && !l.out[s.target] {
		s.broken = true
		*n++
	}
}

// arrived checks a packet that a target got.
func (l *flowLoad) arrived(p *place, pk *cornelbay.Packet) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.received++
	l.lastPacket[p.Name] = now
	if pk.Key.Destination != netip.AddrPortFrom(p.service.Address, p.service.Port) || pk.Key.Protocol != p.service.Protocol.Number() {
		l.misplaced++
		return
	}
	s, ok := l.streams[pk.Key]
	if !ok {
		return
	}
	s.heard = now
	switch {
	case s.target == "":
		if pk.Flags&cornelbay.Opening != 0 {
			s.target = p.Name
			l.opened++
			l.openings[p.Name]++
			l.lastOpening[p.Name] = now
		}
	case s.target != p.Name && pk.Flags&cornelbay.Opening == 0:
		l.breakFlow(s, &l.moved)
	}
}

// giveUp gives up the flows of targets whose data centre is taken out; without
// names the data centre comes back.
func (l *flowLoad) giveUp(now time.Time, names targetNames) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, s := range l.streams {
		if names == nil && l.out[s.target] {
			delete(l.streams, key)
		}
	}
	l.out, l.outAt = names, now
}

// figures returns a copy of what was counted.
func (l *flowLoad) figures() flowFigures {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.flowFigures
}

// open returns the number of flows that a target has taken on, and of all.
func (l *flowLoad) open() (established, all int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.streams {
		if s.target != "" {
			established++
		}
	}
	return established, len(l.streams)
}
