package rig

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// The errors of a flow.
var (
	ErrReset    = errors.New("flow was reset")
	ErrNoAnswer = errors.New("no answer")
)

// openTime is how long a client waits for the answer to an opening, with copies of it at openCopies.
const openTime = 1400 * time.Millisecond

var openCopies = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// Client opens flows from one address.
type Client struct {
	Zone string

	w    *World
	at   netip.Addr
	conn *net.UDPConn

	mu    sync.Mutex
	port  uint16
	flows map[key]*Flow
}

// Flow is a flow of a client.
type Flow struct {
	c   *Client
	key key

	mu       sync.Mutex
	echo     uint32
	seq, ack uint32
	isOpen   bool
	isReset  bool
	open     chan struct{}
	reset    chan struct{}
	answers  chan string
}

// AddClient starts a client.
func (w *World) AddClient(zone string) (*Client, error) {
	w.mu.Lock()
	w.next++
	n := w.next
	w.mu.Unlock()
	c := &Client{Zone: zone, w: w, at: w.address(3, n), port: uint16(1024 + rand.IntN(20000)), flows: make(map[key]*Flow)}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(c.at, w.packetPort())))
	if err != nil {
		return nil, err
	}
	c.conn = conn
	w.mu.Lock()
	w.clients = append(w.clients, c)
	w.mu.Unlock()
	w.running.Go(c.receive)
	return c, nil
}

// Address returns the client's address.
func (c *Client) Address() netip.Addr { return c.at }

func (c *Client) receive() {
	b := make([]byte, datagramSize)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return // closed
		}
		p, sound := decode(b[:n])
		if !sound {
			c.w.ledger.violate("MIXED: a client got a packet that its sender did not write so")
			continue
		}
		c.mu.Lock()
		f := c.flows[p.key.reversed()]
		c.mu.Unlock()
		if f != nil {
			f.handle(p)
		}
	}
}

// Open opens a flow.
func (c *Client) Open(service netip.AddrPort) (*Flow, error) {
	c.mu.Lock()
	c.port++
	f := &Flow{
		c: c, key: key{netip.AddrPortFrom(c.at, c.port), service}, seq: rand.Uint32(),
		open: make(chan struct{}), reset: make(chan struct{}), answers: make(chan string, 16),
	}
	c.flows[f.key] = f
	c.mu.Unlock()
	begin := time.Now()
	for copies, at := range openCopies {
		if f.wait(time.Until(begin.Add(at))) {
			break
		}
		f.send(packet{flags: flagOpen, seq: f.seq, ack: uint32(copies)}, fmt.Sprintf("opening, copy %d,", copies))
	}
	if !f.wait(time.Until(begin.Add(openTime))) {
		f.forget()
		c.w.Record.Line("%v was not opened", f.key.source)
		return nil, ErrNoAnswer
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isReset {
		return nil, ErrReset
	}
	return f, nil
}

// wait waits until the flow is open or reset, and reports whether it is.
func (f *Flow) wait(d time.Duration) bool {
	select {
	case <-f.open:
		return true
	case <-f.reset:
		return true
	case <-time.After(d):
		return false
	}
}

// Source returns the address and port of the flow's client.
func (f *Flow) Source() netip.AddrPort { return f.key.source }

func (f *Flow) forget() {
	f.c.mu.Lock()
	defer f.c.mu.Unlock()
	delete(f.c.flows, f.key)
}

func (f *Flow) handle(p packet) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.isReset:
		return
	case p.flags&flagReset != 0:
		f.isReset = true
		close(f.reset)
		f.c.w.ledger.resetArrived(f.key, f.isOpen)
		f.forget()
		return
	}
	f.echo = p.echo // the last one received on the flow
	switch {
	case p.flags&flagOpen != 0 && !f.isOpen:
		f.isOpen = true
		f.seq, f.ack = f.seq+1, p.seq+1
		f.sendLocked(packet{flags: flagAck, seq: f.seq, ack: f.ack}, "")
		close(f.open)
	case len(p.data) > 0 && p.seq == f.ack:
		f.ack += uint32(len(p.data))
		f.seq += requestBytes
		f.sendLocked(packet{flags: flagAck, seq: f.seq, ack: f.ack}, "")
		f.answers <- strings.TrimRight(string(p.data), "\x00")
	case len(p.data) > 0: // it came before
		f.sendLocked(packet{flags: flagAck, seq: f.seq, ack: f.ack}, "")
	case p.flags&flagOpen != 0: // it is of no use on an open flow
		f.c.w.Record.Line("%v got a further answer to its opening, with echo %08x", f.key.source, p.echo)
	}
}

// send sends a packet to the host that the routers select now.
func (f *Flow) send(p packet, what string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sendLocked(p, what)
}

func (f *Flow) sendLocked(p packet, what string) {
	p.key, p.echo = f.key, f.echo
	h := f.c.w.hostOf(f.c.Zone, f.key)
	if h == nil {
		return
	}
	if what != "" {
		f.c.w.Record.Line("%v sends %s to %s, echo %08x", f.key.source, what, h.Name, p.echo)
	}
	f.c.w.sent.Add(1)
	_, _ = f.c.conn.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(h.at, f.c.w.packetPort())) // as a lost packet
}

// Ask sends a request and returns the name of the endpoint that answers.
func (f *Flow) Ask(limit time.Duration) (string, error) {
	id := fmt.Sprintf("request-%016x", rand.Uint64())
	request := make([]byte, requestBytes)
	copy(request, id+strings.Repeat(".", requestBytes))
	f.mu.Lock()
	seq := f.seq
	f.mu.Unlock()
	f.c.w.ledger.sent(string(request))
	until := time.After(limit)
	for pause, n := firstAgain, 0; ; pause, n = min(2*pause, maxAgain), n+1 {
		f.mu.Lock()
		f.sendLocked(packet{flags: flagAck, seq: seq, ack: f.ack, data: request}, fmt.Sprintf("%s, copy %d,", id, n))
		f.mu.Unlock()
		select {
		case a := <-f.answers:
			got, by, _ := strings.Cut(a, " ")
			if got != string(request) {
				f.c.w.ledger.violate("MIXED: %v got the answer to another request", f.key.source)
			}
			f.c.w.Record.Line("%v is answered by %s: %s", f.key.source, by, id)
			return by, nil
		case <-f.reset:
			return "", ErrReset
		case <-until:
			f.c.w.Record.Line("%v got no answer: %s", f.key.source, id)
			return "", ErrNoAnswer
		case <-time.After(pause):
		}
	}
}

// Finish ends the flow.
func (f *Flow) Finish() {
	f.mu.Lock()
	f.sendLocked(packet{flags: flagAck | flagFinish, seq: f.seq, ack: f.ack}, "")
	f.mu.Unlock()
	f.c.w.ledger.closed(f.key)
}
