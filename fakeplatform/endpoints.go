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

	"golang.org/x/sys/unix"

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
	ErrReset    = errors.New("flow was reset")
	ErrNoReply  = errors.New("flow was not answered") // also returned by Ask on an open flow
	ErrRejected = errors.New("target is full")
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

// rejection is the answer of a full target. It is shorter than a fifth of the usual
// answers, a target's name, so that hosts take it for a rejection.
const rejection = "!"

// The answers on a flow have at most maxAnswerBytes, and the first sequence numbers of two
// flows are at least flowSpacing apart, so that a target detects packets of other flows.
const (
	maxAnswerBytes = 400
	flowSpacing    = 500
)

// Event is a packet of a flow as the caller or a target sees it.
type Event struct {
	At     time.Time
	Source netip.AddrPort
	// Sent is true for packets of the caller, and Via is the host that it sends them to.
	Sent bool
	Via  netip.AddrPort
	// Stray is true at a target that resets the flow, as it has not accepted it.
	Stray  bool
	Packet platform.Packet
	Length int // of the data
}

// TargetConfig is how a target serves requests. With the zero value it answers any number of
// requests at once.
type TargetConfig struct {
	// Slots is the number of requests that are served at once; 0 means no limit. MaxQueue
	// more wait for a slot, and any beyond that are rejected.
	Slots, MaxQueue int
	// WarmUp is the remaining time of the warm-up that the target announces.
	WarmUp time.Duration
	// OnAccept is called when the target accepts a flow, and OnRun when it begins to serve the
	// request at a sequence number of a flow. Both may be nil.
	OnAccept func(source netip.AddrPort)
	OnRun    func(source netip.AddrPort, sequence uint32)
	// OnPacket is called for each packet that the target takes. It may be nil.
	OnPacket func(Event)
}

// Target is a fake target: it accepts flows and replies to each request with its own
// name.
type Target struct {
	Name string
	// Number is the number of the target that hosts put before each packet that they
	// send to it.
	Number uint64

	conn *net.UDPConn
	// Silent makes the target drop every packet that it receives.
	Silent atomic.Bool
	// CutFrom, if not nil, is a host whose packets are lost on the way to the target.
	CutFrom atomic.Pointer[netip.Addr]
	// Delay is the delay of the reply to an opening packet, in nanoseconds.
	Delay atomic.Int64
	// Work is the time that a request takes, in nanoseconds.
	Work atomic.Int64

	mu           sync.Mutex
	cfg          TargetConfig
	flows        map[cornelbay.FlowKey]*targetFlow
	nextSequence uint32
	openings     int
	stray        int
	running      int
	waiting      []targetRequest
}

// targetFlow is a flow at a target.
type targetFlow struct {
	// initial is the target's first sequence number, and sent the bytes of its answers.
	initial, sent uint32
	// next is the sequence number of the caller's next request.
	next uint32
	// cookie is that of the last packet, which the target repeats.
	cookie uint32
	// answer is the last answer, or nil while a request is served.
	answer []byte
}

type targetRequest struct {
	key    cornelbay.FlowKey
	flow   *targetFlow
	packet platform.Packet
}

// ListenTarget starts a target.
func ListenTarget(at netip.AddrPort, name string, number uint64) (*Target, error) {
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	t := &Target{
		Name: name, Number: number, conn: c, flows: make(map[cornelbay.FlowKey]*targetFlow),
		nextSequence: uint32(number) << 20, // separate ranges for targets below 4096 with at most 2097 flows each
	}
	go t.serve()
	return t, nil
}

// Configure sets how the target serves requests. It is to be called before the target gets
// flows.
func (t *Target) Configure(cfg TargetConfig) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cfg = cfg
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
		n, from, err := t.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return // closed
		}
		cut := t.CutFrom.Load()
		if n < platform.TargetNumberBytes || t.Silent.Load() || cut != nil && *cut == from.Addr().Unmap() {
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
	f, ok := t.flows[p.Key]
	stray := !p.Opening && (!ok || p.Acknowledged-f.initial > maxAnswerBytes)
	if t.cfg.OnPacket != nil {
		t.cfg.OnPacket(Event{At: time.Now(), Source: p.Key.Source, Stray: stray, Packet: p, Length: len(b) - platform.HeaderBytes})
	}
	if p.Opening {
		t.openings++
		if !ok {
			t.nextSequence += flowSpacing
			f = &targetFlow{initial: t.nextSequence, next: 1}
			t.flows[p.Key] = f
			if t.cfg.OnAccept != nil {
				t.cfg.OnAccept(p.Key.Source)
			}
		}
		f.cookie = p.Cookie
		reply := packet(replyKey(p.Key), flagOpen|flagAcknowledge, f.initial, 0, p.Cookie, nil)
		time.AfterFunc(time.Duration(t.Delay.Load()), func() { t.send(p.Key, reply) })
		return
	}
	if stray {
		t.stray++
		t.send(p.Key, packet(replyKey(p.Key), flagReset, 0, 0, p.Cookie, nil))
		return
	}
	f.cookie = p.Cookie
	n := uint32(len(b) - platform.HeaderBytes)
	switch {
	case p.Finishing:
		delete(t.flows, p.Key)
	case n > 0 && p.Sequence == f.next:
		f.next += n
		f.answer = nil
		t.enqueue(targetRequest{p.Key, f, p})
	case n > 0 && f.answer != nil:
		t.send(p.Key, f.answer) // the request was sent again
	}
}

func replyKey(key cornelbay.FlowKey) cornelbay.FlowKey {
	return cornelbay.FlowKey{Source: key.Destination, Destination: key.Source}
}

// enqueue serves a request, makes it wait, or rejects it after the time that a request
// spends in the queue.
func (t *Target) enqueue(r targetRequest) {
	switch {
	case t.cfg.Slots == 0 || t.running < t.cfg.Slots:
		t.run(r)
	case len(t.waiting) < t.cfg.MaxQueue:
		t.waiting = append(t.waiting, r)
	default:
		wait := time.Duration(t.Work.Load()) * time.Duration(t.cfg.MaxQueue/t.cfg.Slots)
		time.AfterFunc(wait, func() {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.answer(r, rejection)
		})
	}
}

func (t *Target) run(r targetRequest) {
	t.running++
	if t.cfg.OnRun != nil {
		t.cfg.OnRun(r.key.Source, r.packet.Sequence)
	}
	work := time.Duration(t.Work.Load())
	if work == 0 {
		t.end(r)
		return
	}
	time.AfterFunc(work, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.end(r)
	})
}

func (t *Target) end(r targetRequest) {
	t.running--
	t.answer(r, t.Name)
	if len(t.waiting) > 0 {
		next := t.waiting[0]
		t.waiting = t.waiting[1:]
		t.run(next)
	}
}

func (t *Target) answer(r targetRequest, data string) {
	f := r.flow
	f.answer = packet(replyKey(r.key), flagAcknowledge, f.initial+1+f.sent, 0, f.cookie, []byte(data))
	f.sent += uint32(len(data))
	t.send(r.key, f.answer)
}

func (t *Target) send(key cornelbay.FlowKey, b []byte) {
	_, _ = t.conn.WriteToUDPAddrPort(b, key.Source) // the caller may have closed its socket
}

// Caller opens flows from one address and port, to which targets reply.
type Caller struct {
	// OnPacket, if not nil, is called for each packet that the caller sends or takes. It is to be
	// set before the caller opens flows.
	OnPacket func(Event)

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
	// sequence is the sequence number of the next request.
	sequence uint32
}

// Open opens a flow to a service's address through a host; see OpenVia.
func (c *Caller) Open(ctx context.Context, host, service netip.AddrPort) (*Flow, error) {
	return c.OpenVia(ctx, func() (netip.AddrPort, bool) { return host, true }, service)
}

// OpenVia opens a flow to a service's address. It retransmits the opening packet with
// growing timeouts, as real callers do, each time through the host that route returns; a
// packet without a host is lost. Each opening packet carries the number of earlier copies in
// the acknowledgement field. Of ctx only the deadline counts; a cancellation isn't noticed.
func (c *Caller) OpenVia(ctx context.Context, route func() (netip.AddrPort, bool), service netip.AddrPort) (*Flow, error) {
	f := &Flow{caller: c, key: cornelbay.FlowKey{Source: c.Address(), Destination: service}, sequence: 1}
	for copies, wait := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
		if host, ok := route(); ok {
			if err := c.write(packet(f.key, flagOpen, 0, uint32(copies), 0, nil), host); err != nil {
				return nil, err
			}
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

// Ask sends a request through a host and returns the name of the target that answers. The
// answer is acknowledged by the next packet; see Acknowledge. After ErrNoReply, the next call
// sends the same request again. Of ctx only the deadline counts; a cancellation isn't noticed.
func (f *Flow) Ask(ctx context.Context, host netip.AddrPort, timeout time.Duration) (string, error) {
	request := []byte("?")
	if err := f.send(host, flagAcknowledge, request); err != nil {
		return "", err
	}
	for {
		b, err := f.read(ctx, timeout)
		if err != nil {
			return "", err
		}
		answer := string(b[platform.HeaderBytes:])
		if answer == "" || binary.BigEndian.Uint32(b[1:]) != f.acknowledged {
			continue // another reply to the opening, or an answer that has already come
		}
		f.sequence += uint32(len(request))
		f.acknowledged += uint32(len(answer))
		if answer == rejection {
			return "", ErrRejected
		}
		return answer, nil
	}
}

// Acknowledge acknowledges the last answer through a host, which shows it that the target has
// a free slot.
func (f *Flow) Acknowledge(host netip.AddrPort) error { return f.send(host, flagAcknowledge, nil) }

// Finish sends the packet that ends the flow through a host.
func (f *Flow) Finish(host netip.AddrPort) error {
	return f.send(host, flagAcknowledge|flagFinish, nil)
}

func (f *Flow) send(host netip.AddrPort, flags byte, data []byte) error {
	return f.caller.write(packet(f.key, flags, f.sequence, f.acknowledged, f.cookie, data), host)
}

func (c *Caller) write(b []byte, host netip.AddrPort) error {
	c.observe(b, host)
	_, err := c.conn.WriteToUDPAddrPort(b, host)
	return err
}

// observe tells of a packet that is sent to a host, or that was received if host is invalid.
func (c *Caller) observe(b []byte, host netip.AddrPort) {
	var p platform.Packet
	if c.OnPacket == nil || platform.Parse(b, &p) != nil {
		return
	}
	c.OnPacket(Event{
		At: time.Now(), Source: c.Address(), Sent: host.IsValid(), Via: host, Packet: p, Length: len(b) - platform.HeaderBytes,
	})
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
	read := func() (int, error) {
		n, _, err := f.caller.conn.ReadFromUDPAddrPort(b)
		return n, err
	}
	for {
		n, err := read()
		if isTimeout(err) {
			// The caller may have stood still since the packet arrived. A real one sends no
			// further copy of an opening after a reset has arrived.
			read = func() (int, error) { return f.caller.readArrived(b) }
			n, err = read()
		}
		if err != nil {
			return nil, err
		}
		var p platform.Packet
		if platform.Parse(b[:n], &p) != nil || p.Key.Destination != f.key.Source || p.Key.Source != f.key.Destination {
			continue
		}
		f.caller.observe(b[:n], netip.AddrPort{})
		if p.Resetting {
			return nil, ErrReset
		}
		f.cookie = p.Cookie
		return b[:n], nil
	}
}

// readArrived reads a packet that has already arrived. The error is ErrNoReply if there is none.
func (c *Caller) readArrived(b []byte) (n int, err error) {
	if err := c.conn.SetReadDeadline(time.Time{}); err != nil {
		return 0, err
	}
	raw, err := c.conn.SyscallConn()
	if err != nil {
		return 0, err
	}
	if cerr := raw.Read(func(fd uintptr) bool {
		n, _, err = unix.Recvfrom(int(fd), b, unix.MSG_DONTWAIT)
		return true
	}); cerr != nil {
		return 0, cerr
	}
	if errors.Is(err, unix.EAGAIN) {
		return 0, ErrNoReply
	}
	return n, err
}

func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}
