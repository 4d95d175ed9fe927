package fakeplatform

import (
	"context"
	"encoding/binary"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/platform"
)

// The flags in the packet header, with the same values as in package platform.
const (
	flagReset       = 4
	flagAcknowledge = 8
	flagOpen        = 16
	flagFinish      = 32
)

// The errors of a caller's flow.
var (
	ErrReset   = errors.New("flow was reset")
	ErrNoReply = errors.New("flow was not answered") // also returned by Ask on an open flow
)

// packet returns an encoded packet.
func packet(key cornelbay.FlowKey, flags byte, sequence, acknowledged, cookie uint32, data []byte) []byte {
	b := make([]byte, platform.HeaderBytes+len(data))
	b[0] = flags
	binary.BigEndian.PutUint32(b[1:], sequence)
	binary.BigEndian.PutUint32(b[5:], acknowledged)
	binary.BigEndian.PutUint16(b[9:], uint16(len(data)))
	binary.BigEndian.PutUint32(b[11:], cookie)
	binary.BigEndian.PutUint16(b[15:], key.Destination.Port())
	binary.BigEndian.PutUint16(b[17:], key.Source.Port())
	source, destination := key.Source.Addr().As4(), key.Destination.Addr().As4()
	copy(b[19:], source[:])
	copy(b[23:], destination[:])
	copy(b[platform.HeaderBytes:], data)
	return b
}

// Target is a fake target: it accepts flows and replies to each data packet with its
// own name.
type Target struct {
	Name string
	// Number is the number of the target that hosts put before each packet that they
	// send to it.
	Number uint64

	conn *net.UDPConn
	// Silent makes the target drop every packet that it receives.
	Silent atomic.Bool
	// Delay is the delay of the reply to an opening packet, in nanoseconds.
	Delay atomic.Int64

	mu           sync.Mutex
	flows        map[cornelbay.FlowKey]uint32
	nextSequence uint32
	openings     int
	stray        int
}

// ListenTarget starts a target.
func ListenTarget(at netip.AddrPort, name string, number uint64) (*Target, error) {
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	t := &Target{
		Name: name, Number: number, conn: c, flows: make(map[cornelbay.FlowKey]uint32),
		nextSequence: uint32(number) << 20, // separate ranges for targets below 4096 with at most 1048 flows each
	}
	go t.serve()
	return t, nil
}

// Address returns the address at which the target receives datagrams.
func (t *Target) Address() netip.AddrPort {
	return t.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Openings returns the number of opening packets received, including repeated ones.
func (t *Target) Openings() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.openings
}

// Stray returns the number of packets received that belong to no flow of the target.
func (t *Target) Stray() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stray
}

// Close stops the target.
func (t *Target) Close() error { return t.conn.Close() }

func (t *Target) serve() {
	buf := make([]byte, platform.TargetNumberBytes+platform.MaxPacketBytes)
	for {
		n, _, err := t.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return // closed
		}
		if n < platform.TargetNumberBytes || t.Silent.Load() {
			continue
		}
		// 0 addresses any target.
		if to := binary.BigEndian.Uint64(buf); to != 0 && to != t.Number {
			continue
		}
		t.handle(buf[platform.TargetNumberBytes:n])
	}
}

func (t *Target) handle(b []byte) {
	var p platform.Packet
	if err := platform.Parse(b, &p); err != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	replyKey := cornelbay.FlowKey{Source: p.Key.Destination, Destination: p.Key.Source}
	if p.Opening {
		t.openings++
		if _, ok := t.flows[p.Key]; !ok {
			t.nextSequence += 1000 // more than the 100 accepted below, so that the ranges of flows don't overlap
			t.flows[p.Key] = t.nextSequence
		}
		reply := packet(replyKey, flagOpen|flagAcknowledge, t.flows[p.Key], 0, p.Cookie, nil)
		time.AfterFunc(time.Duration(t.Delay.Load()), func() { t.send(p.Key, reply) })
		return
	}
	sequence, ok := t.flows[p.Key]
	if !ok || p.Acknowledged < sequence || p.Acknowledged > sequence+100 {
		t.stray++
		t.send(p.Key, packet(replyKey, flagReset, 0, 0, p.Cookie, nil))
		return
	}
	if p.Finishing {
		delete(t.flows, p.Key)
		return
	}
	if len(b) > platform.HeaderBytes {
		t.send(p.Key, packet(replyKey, flagAcknowledge, sequence+1, 0, p.Cookie, []byte(t.Name)))
	}
}

func (t *Target) send(key cornelbay.FlowKey, b []byte) {
	_, _ = t.conn.WriteToUDPAddrPort(b, key.Source) // the caller may have closed its socket
}

// Caller opens flows from one address and port, to which targets reply.
type Caller struct {
	conn *net.UDPConn
}

// ListenCaller starts a caller.
func ListenCaller(at netip.AddrPort) (*Caller, error) {
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	return &Caller{conn: c}, nil
}

// Address returns the address and port that the caller sends from.
func (c *Caller) Address() netip.AddrPort { return c.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Close closes the caller's socket.
func (c *Caller) Close() error { return c.conn.Close() }

// Flow is one flow of a caller.
type Flow struct {
	caller       *Caller
	key          cornelbay.FlowKey
	cookie       uint32
	acknowledged uint32
}

// Open opens a flow to a service's address through a host. It retransmits the
// opening packet with growing timeouts, as real callers do. Each opening packet carries
// the number of earlier copies in the acknowledgement field. Of ctx only the deadline
// counts; a cancellation isn't noticed.
func (c *Caller) Open(ctx context.Context, host, service netip.AddrPort) (*Flow, error) {
	f := &Flow{caller: c, key: cornelbay.FlowKey{Source: c.conn.LocalAddr().(*net.UDPAddr).AddrPort(), Destination: service}}
	for copies, wait := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
		if _, err := c.conn.WriteToUDPAddrPort(packet(f.key, flagOpen, 0, uint32(copies), 0, nil), host); err != nil {
			return nil, err
		}
		b, err := f.read(ctx, wait)
		if errors.Is(err, ErrNoReply) {
			continue
		}
		if err != nil {
			return nil, err
		}
		f.acknowledged = binary.BigEndian.Uint32(b[1:]) + 1
		return f, nil
	}
	return nil, ErrNoReply
}

// Source returns the address and port that the flow's caller sends from.
func (f *Flow) Source() netip.AddrPort { return f.key.Source }

// Ask sends a data packet through a host and returns the name of the target that
// replies. Of ctx only the deadline counts; a cancellation isn't noticed.
func (f *Flow) Ask(ctx context.Context, host netip.AddrPort, timeout time.Duration) (string, error) {
	b := packet(f.key, flagAcknowledge, 1, f.acknowledged, f.cookie, []byte("?"))
	if _, err := f.caller.conn.WriteToUDPAddrPort(b, host); err != nil {
		return "", err
	}
	for {
		b, err := f.read(ctx, timeout)
		if err != nil {
			return "", err
		}
		if len(b) > platform.HeaderBytes {
			return string(b[platform.HeaderBytes:]), nil
		}
	}
}

// Finish sends the packet that ends the flow through a host.
func (f *Flow) Finish(host netip.AddrPort) error {
	_, err := f.caller.conn.WriteToUDPAddrPort(packet(f.key, flagAcknowledge|flagFinish, 2, f.acknowledged, f.cookie, nil), host)
	return err
}

// read returns the next packet of the flow and stores its cookie for later packets.
func (f *Flow) read(ctx context.Context, timeout time.Duration) ([]byte, error) {
	until := time.Now().Add(timeout)
	if end, ok := ctx.Deadline(); ok && end.Before(until) {
		until = end
	}
	if err := f.caller.conn.SetReadDeadline(until); err != nil {
		return nil, err
	}
	b := make([]byte, platform.MaxPacketBytes)
	for {
		n, _, err := f.caller.conn.ReadFromUDPAddrPort(b)
		if errors.Is(err, context.DeadlineExceeded) || isTimeout(err) {
			return nil, ErrNoReply
		}
		if err != nil {
			return nil, err
		}
		var p platform.Packet
		if platform.Parse(b[:n], &p) != nil || p.Key.Destination != f.key.Source || p.Key.Source != f.key.Destination {
			continue
		}
		if p.Resetting {
			return nil, ErrReset
		}
		f.cookie = p.Cookie
		return b[:n], nil
	}
}

func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}
