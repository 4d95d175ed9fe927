package rig

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// How ends send packets again that are not acknowledged.
const (
	firstAgain = 200 * time.Millisecond
	maxAgain   = 1600 * time.Millisecond
	maxTries   = 8
)

const (
	requestBytes = 48
	answerBytes  = 400
)

// Endpoint is a server of a service.
type Endpoint struct {
	Name, Service, Zone string
	// Work is the time that a request takes.
	Work time.Duration

	w      *World
	number uint64
	conn   *net.UDPConn

	mu       sync.Mutex
	flows    map[key]*served
	seqNo    int
	born     time.Time
	coldTill time.Time
	closed   bool
	// down is true after a crash: the endpoint's machine resets what it gets.
	down bool
	// cold are the times of the openings that the endpoint took while it was cold.
	cold []time.Duration
}

// served is a flow at an endpoint.
type served struct {
	initial, sent uint32
	next          uint32
	echo          uint32
	open, ended   bool
	acked         uint32
	answer        []byte
	// at is when the opening arrived, and cold is true if the endpoint was cold then.
	at   time.Duration
	cold bool
}

// AddEndpoint starts an endpoint, which announces itself.
func (w *World) AddEndpoint(service, zone string) (*Endpoint, error) {
	w.mu.Lock()
	w.next++
	n := w.next
	w.mu.Unlock()
	e := &Endpoint{
		Service: service, Zone: zone, w: w, number: rand.Uint64N(1 << 40), Work: 20 * time.Millisecond,
		flows: make(map[key]*served), born: time.Now(),
	}
	e.Name = fmt.Sprintf("i-%010x", e.number)
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(w.address(2, n), uint16(w.base+10))))
	if err != nil {
		return nil, err
	}
	e.conn = c
	w.mu.Lock()
	w.ends = append(w.ends, e)
	w.mu.Unlock()
	e.announce()
	w.running.Go(e.serve)
	return e, nil
}

// announce writes the endpoint's entry into the store.
func (e *Endpoint) announce() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seqNo++
	e.w.Store.Put("servers", e.Name, map[string]any{
		"service": e.Service, "address": e.conn.LocalAddr().String(), "zone": e.Zone, "version": "v1", "slots": 4,
		"state": "ready", "warmup_left_ms": max(0, time.Until(e.coldTill).Milliseconds()), "seq_no": e.seqNo,
		"born": e.born.UnixMilli(),
	})
}

// Crash ends the endpoint's boot. Its machine goes on running.
func (e *Endpoint) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = true
	for k := range e.flows {
		e.w.ledger.closed(k)
	}
	e.flows = make(map[key]*served)
	e.w.Record.Say("%s in %s crashed", e.Name, e.Zone)
}

// Restart ends the endpoint's boot and begins a new one under the same id, which is cold for a
// while. It announces itself at once.
func (e *Endpoint) Restart(cold time.Duration) {
	e.mu.Lock()
	e.down = false
	e.flows, e.seqNo, e.born, e.coldTill = make(map[key]*served), 0, time.Now(), time.Now().Add(cold)
	e.mu.Unlock()
	e.announce()
	e.w.Record.Say("%s in %s started again, cold for %v", e.Name, e.Zone, cold)
}

// JudgeCold judges FAILBACK: a cold endpoint got more requests in a second than ColdLimit.
func (e *Endpoint) JudgeCold() {
	e.mu.Lock()
	at := slices.Sorted(slices.Values(e.cold))
	e.mu.Unlock()
	most, from := 0, time.Duration(0)
	for i := range at {
		n := 0
		for _, t := range at[i:] {
			if t < at[i]+time.Second {
				n++
			}
		}
		if n > most {
			most, from = n, at[i]
		}
	}
	e.w.Record.Say("%s in %s took %d requests while it was cold, at most %d in a second", e.Name, e.Zone, len(at), most)
	if most > ColdLimit {
		e.w.ledger.violate("FAILBACK: %s was cold and took %d requests in the second from %.2f on, allowed are %d", e.Name, most, from.Seconds(), int(ColdLimit))
	}
}

// Close ends the endpoint.
func (e *Endpoint) Close() {
	e.mu.Lock()
	e.closed = true
	e.mu.Unlock()
	_ = e.conn.Close()
}

func (e *Endpoint) serve() {
	b := make([]byte, datagramSize)
	for {
		n, _, err := e.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return // closed
		}
		if n < numberBytes {
			continue
		}
		if to := binary.BigEndian.Uint64(b); to != 0 && to != e.number {
			continue
		}
		p, sound := decode(b[numberBytes:n])
		if !sound {
			e.w.ledger.violate("UNASKED: %s got a packet that its sender did not write so", e.Name)
			continue
		}
		e.handle(p)
	}
}

func (e *Endpoint) handle(p packet) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.flows[p.key]
	if e.down {
		e.w.ledger.resetBy(p.key, e.Name)
		e.send(packet{key: p.key.reversed(), flags: flagReset, seq: p.ack, echo: p.echo})
		return
	}
	if p.opening() {
		e.opening(p, f)
		return
	}
	e.w.ledger.arrived(p.key, e.Name)
	switch {
	case f == nil || f.ended && len(p.data) > 0:
		e.w.ledger.resetBy(p.key, e.Name)
		e.send(packet{key: p.key.reversed(), flags: flagReset, seq: p.ack, echo: p.echo})
		return
	case p.flags&flagReset != 0:
		delete(e.flows, p.key)
		return
	case f.ended:
		e.send(packet{key: p.key.reversed(), flags: flagAck, seq: f.initial + 1 + f.sent, ack: f.next + 1, echo: p.echo})
		return
	case !f.open && p.ack != f.initial+1:
		return // it acknowledges another endpoint's opening
	case !f.open:
		f.open = true
		e.w.ledger.opened(p.key, e.Name)
		if f.cold {
			e.cold = append(e.cold, f.at)
		}
	}
	f.echo = p.echo
	if n := p.ack - f.initial - 1; n <= f.sent {
		f.acked = max(f.acked, n)
	}
	if p.flags&flagFinish != 0 {
		f.ended = true
		e.w.ledger.closed(p.key)
		e.send(packet{key: p.key.reversed(), flags: flagAck | flagFinish, seq: f.initial + 1 + f.sent, ack: p.seq + 1, echo: f.echo})
		return
	}
	switch {
	case len(p.data) == requestBytes && p.seq == f.next:
		f.next += requestBytes
		e.run(p.key, f, string(p.data))
	case len(p.data) > 0 && f.answer != nil:
		e.sendAnswer(p.key, f) // the request came again
	}
}

// opening answers the first packet of a flow. The caller holds mu.
func (e *Endpoint) opening(p packet, f *served) {
	if f == nil {
		f = &served{initial: rand.Uint32(), next: p.seq + 1}
		e.flows[p.key] = f
		e.w.ledger.offered(p.key, e.Name)
		f.cold, f.at = time.Now().Before(e.coldTill), e.w.Record.Now()
		e.w.Record.Line("%s got the opening of %v", e.Name, p.key.source)
	}
	f.echo = p.echo
	if !f.open {
		e.acceptAgain(p.key, f, firstAgain, 0)
	}
}

// acceptAgain sends the answer to an opening until the flow is open. The caller holds mu.
func (e *Endpoint) acceptAgain(k key, f *served, pause time.Duration, tries int) {
	if f.open || f.ended || e.flows[k] != f || e.closed {
		return
	}
	if tries > maxTries {
		delete(e.flows, k) // the endpoint gives up
		return
	}
	e.send(packet{key: k.reversed(), flags: flagOpen | flagAck, seq: f.initial, ack: f.next, echo: f.echo})
	time.AfterFunc(pause, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.acceptAgain(k, f, min(2*pause, maxAgain), tries+1)
	})
}

// run serves a request. The caller holds mu.
func (e *Endpoint) run(k key, f *served, request string) {
	e.w.ledger.ran(request, e.Name)
	f.answer = nil
	time.AfterFunc(e.Work, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.flows[k] != f {
			return // the endpoint has started again
		}
		f.answer = make([]byte, answerBytes)
		copy(f.answer, request+" "+e.Name)
		f.sent += answerBytes
		e.answerAgain(k, f, f.sent, firstAgain, 0)
	})
}

// answerAgain sends an answer until it is acknowledged. The caller holds mu.
func (e *Endpoint) answerAgain(k key, f *served, upTo uint32, pause time.Duration, tries int) {
	if f.acked >= upTo || f.ended || e.flows[k] != f || e.closed {
		return
	}
	if tries > maxTries {
		delete(e.flows, k) // the endpoint gives up
		e.w.ledger.closed(k)
		return
	}
	e.sendAnswer(k, f)
	time.AfterFunc(pause, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.answerAgain(k, f, upTo, min(2*pause, maxAgain), tries+1)
	})
}

func (e *Endpoint) sendAnswer(k key, f *served) {
	e.send(packet{
		key: k.reversed(), flags: flagAck, seq: f.initial + 1 + f.sent - answerBytes, ack: f.next, echo: f.echo, data: f.answer,
	})
}

// send sends a packet to its client directly.
func (e *Endpoint) send(p packet) {
	e.w.sent.Add(1)
	if e.w.Lose != nil && e.w.Lose(e.Name, p.flags&flagOpen != 0, p.key.destination) {
		e.w.lost.Add(1)
		e.w.Record.Say("lost: a packet from %s to %v, flags %d", e.Name, p.key.destination, p.flags)
		return
	}
	to := netip.AddrPortFrom(p.key.destination.Addr(), e.w.packetPort())
	_, _ = e.conn.WriteToUDPAddrPort(p.encode(), to) // the client may have ended
}
