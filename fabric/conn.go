package fabric

import (
	"context"
	"net"
	"net/netip"
	"syscall"

	"github.com/ansel1/merry/v2"
	"golang.org/x/net/ipv4"
	"golang.org/x/sys/unix"

	"github.com/cornelbay/cornelbay"
)

// BatchSize is the number of datagrams in one system call.
const BatchSize = 64

const socketBufferBytes = 4 << 20

// Listen binds n sockets to one address; port 0 picks a free one. The kernel
// spreads datagrams over them by the outer addresses and ports, so that the
// packets of one flow keep their order when the sender gives them one source
// port (RFC 8926, section 3.3). Another process cannot bind the address.
func Listen(at netip.AddrPort, n int) ([]*net.UDPConn, error) {
	first, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, merry.Prepend(err, "listen")
	}
	conns := []*net.UDPConn{first}
	if err := share(first); err != nil {
		closeAll(conns)
		return nil, err
	}
	lc := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error { return reusePort(c) }}
	for len(conns) < n {
		c, err := lc.ListenPacket(context.Background(), "udp", first.LocalAddr().String())
		if err != nil {
			closeAll(conns)
			return nil, merry.Prepend(err, "listen")
		}
		conns = append(conns, c.(*net.UDPConn))
	}
	for _, c := range conns {
		_ = c.SetReadBuffer(socketBufferBytes)  // the kernel's limit is kept
		_ = c.SetWriteBuffer(socketBufferBytes) // the kernel's limit is kept
	}
	return conns, nil
}

// share lets further sockets of this process join the address of a socket that
// was bound alone.
func share(c *net.UDPConn) error {
	rc, err := c.SyscallConn()
	if err != nil {
		return merry.Prepend(err, "listen")
	}
	return reusePort(rc)
}

func reusePort(c syscall.RawConn) error {
	var operr error
	if err := c.Control(func(fd uintptr) {
		operr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	}); err != nil {
		return merry.Prepend(err, "SO_REUSEPORT")
	}
	if operr != nil {
		return merry.Prepend(operr, "SO_REUSEPORT")
	}
	return nil
}

func closeAll(conns []*net.UDPConn) {
	for _, c := range conns {
		_ = c.Close() // nothing is buffered
	}
}

// Reader reads datagrams in batches; one goroutine uses it.
type Reader struct {
	pc *ipv4.PacketConn
	ms []ipv4.Message
}

// unaddressed is a socket whose batch reads do not build the senders'
// addresses: x/net leaves them out for a type with SetLinger, as of TCP.
type unaddressed struct{ *net.UDPConn }

// SetLinger does nothing.
func (unaddressed) SetLinger(int) error { return nil }

// NewReader returns a reader of c.
func NewReader(c *net.UDPConn) *Reader {
	r := &Reader{pc: ipv4.NewPacketConn(unaddressed{c}), ms: make([]ipv4.Message, BatchSize)}
	b := make([]byte, BatchSize*MaxDatagramBytes)
	for i := range r.ms {
		r.ms[i].Buffers = [][]byte{b[i*MaxDatagramBytes : (i+1)*MaxDatagramBytes : (i+1)*MaxDatagramBytes]}
	}
	return r
}

// Read blocks until there are datagrams and returns their number.
func (r *Reader) Read() (int, error) { return r.pc.ReadBatch(r.ms, 0) }

// Datagram returns the i-th datagram of the last Read, and false when it was
// longer than MaxDatagramBytes. It is valid until the next Read.
func (r *Reader) Datagram(i int) ([]byte, bool) {
	m := &r.ms[i]
	return m.Buffers[0][:m.N], m.Flags&unix.MSG_TRUNC == 0
}

// Writer sends datagrams in batches; one goroutine uses it.
type Writer struct {
	// Keys seal relayed packets.
	Keys *RelayKeys
	// Failed counts the datagrams that could not be sent.
	Failed int

	pc    *ipv4.PacketConn
	ms    []ipv4.Message
	slots []slot
	n     int
}

// slot is the memory of one datagram of a batch.
type slot struct {
	address net.UDPAddr
	ip      [16]byte
	buffers [2][]byte
	header  [HeaderBytes]byte
	relay   []byte
}

// NewWriter returns a writer to c.
func NewWriter(c *net.UDPConn) *Writer {
	return &Writer{
		pc: ipv4.NewPacketConn(c),
		ms: make([]ipv4.Message, BatchSize), slots: make([]slot, BatchSize),
	}
}

// Forward adds the IP packet inner for a target's tunnel; inner must not
// change before Flush.
func (w *Writer) Forward(inner []byte, to netip.AddrPort) {
	s := w.next(to)
	s.buffers[0] = AppendHeader(s.header[:0], inner)
	s.buffers[1] = inner
	w.commit(s.buffers[:2])
}

// Relay adds the IP packet inner for another host.
func (w *Writer) Relay(inner []byte, h cornelbay.RelayHeader, to netip.AddrPort) error {
	s := w.next(to)
	var err error
	if s.relay, err = w.Keys.AppendRelay(s.relay[:0], inner, h); err != nil {
		return err
	}
	s.buffers[0] = s.relay
	w.commit(s.buffers[:1])
	return nil
}

func (w *Writer) next(to netip.AddrPort) *slot {
	if w.n == len(w.ms) {
		w.Flush()
	}
	s := &w.slots[w.n]
	setAddress(&s.address, &s.ip, to)
	w.ms[w.n].Addr = &s.address
	return s
}

func (w *Writer) commit(buffers [][]byte) {
	w.ms[w.n].Buffers = buffers
	w.n++
}

func setAddress(a *net.UDPAddr, ip *[16]byte, to netip.AddrPort) {
	*ip = to.Addr().As16()
	a.IP, a.Port = ip[:], int(to.Port())
}

// Flush sends what was added; a datagram that cannot be sent is counted.
func (w *Writer) Flush() {
	ms := w.ms[:w.n]
	w.n = 0
	for len(ms) > 0 {
		n, err := w.pc.WriteBatch(ms, 0)
		if err != nil {
			w.Failed++
			n = 1 // the first datagram is the one that failed
		}
		ms = ms[n:]
	}
}
