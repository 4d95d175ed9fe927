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

// BatchSize is the maximum number of datagrams in one system call.
const BatchSize = 64

const socketBufferBytes = 4 << 20

// Listen binds n sockets to one address; port 0 selects a free port. The kernel
// distributes datagrams over the sockets by the outer addresses and ports, so the
// packets of a flow stay in order if the sender uses one source port per flow
// (RFC 8926, section 3.3). The first socket is bound without SO_REUSEPORT, so that
// binding fails if another process uses the address.
func Listen(at netip.AddrPort, n int) ([]*net.UDPConn, error) {
	first, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, merry.Prepend(err, "listen")
	}
	conns := []*net.UDPConn{first}
	if err := allowReusePort(first); err != nil {
		closeAll(conns)
		return nil, err
	}
	lc := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error { return setReusePort(c) }}
	for len(conns) < n {
		c, err := lc.ListenPacket(context.Background(), "udp", first.LocalAddr().String())
		if err != nil {
			closeAll(conns)
			return nil, merry.Prepend(err, "listen")
		}
		conns = append(conns, c.(*net.UDPConn))
	}
	for _, c := range conns {
		_ = c.SetReadBuffer(socketBufferBytes)  // the kernel caps the size at its limit
		_ = c.SetWriteBuffer(socketBufferBytes) // the kernel caps the size at its limit
	}
	return conns, nil
}

// allowReusePort lets further sockets of the same user that set SO_REUSEPORT bind the
// address of c, which was bound without it. Other processes are excluded only because
// each binds its first socket without SO_REUSEPORT.
func allowReusePort(c *net.UDPConn) error {
	rc, err := c.SyscallConn()
	if err != nil {
		return merry.Prepend(err, "listen")
	}
	return setReusePort(rc)
}

func setReusePort(c syscall.RawConn) error {
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

// Reader reads datagrams in batches. It is not safe for concurrent use.
type Reader struct {
	pc *ipv4.PacketConn
	ms []ipv4.Message
}

// noSourceAddrConn is a socket whose batch reads omit the source addresses, to save
// building them: x/net omits them for a type with a SetLinger method, which it
// takes for a TCP connection.
type noSourceAddrConn struct{ *net.UDPConn }

// SetLinger does nothing; see noSourceAddrConn.
func (noSourceAddrConn) SetLinger(int) error { return nil }

// NewReader returns a reader of c.
func NewReader(c *net.UDPConn) *Reader {
	r := &Reader{pc: ipv4.NewPacketConn(noSourceAddrConn{c}), ms: make([]ipv4.Message, BatchSize)}
	b := make([]byte, BatchSize*MaxDatagramBytes)
	for i := range r.ms {
		r.ms[i].Buffers = [][]byte{b[i*MaxDatagramBytes : (i+1)*MaxDatagramBytes : (i+1)*MaxDatagramBytes]}
	}
	return r
}

// Read blocks until datagrams arrive and returns how many were read.
func (r *Reader) Read() (int, error) { return r.pc.ReadBatch(r.ms, 0) }

// Datagram returns the i-th datagram of the last Read, and false if it was
// truncated because it is longer than MaxDatagramBytes. The datagram is valid until
// the next Read.
func (r *Reader) Datagram(i int) ([]byte, bool) {
	m := &r.ms[i]
	return m.Buffers[0][:m.N], m.Flags&unix.MSG_TRUNC == 0
}

// Writer sends datagrams in batches. It is not safe for concurrent use.
type Writer struct {
	// Keys sign relayed packets; Relay requires them.
	Keys *RelayKeys
	// Failed counts the datagrams that could not be sent.
	Failed int

	pc    *ipv4.PacketConn
	ms    []ipv4.Message
	batch []outgoing
	n     int
}

// outgoing holds the buffers of one datagram of a batch.
type outgoing struct {
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
		ms: make([]ipv4.Message, BatchSize), batch: make([]outgoing, BatchSize),
	}
}

// Forward adds the IP packet inner to the batch, addressed to the tunnel of a
// target. inner must not change before Flush.
func (w *Writer) Forward(inner []byte, to netip.AddrPort) {
	s := w.next(to)
	s.buffers[0] = AppendHeader(s.header[:0], inner)
	s.buffers[1] = inner
	w.commit(s.buffers[:2])
}

// Relay adds the IP packet inner to the batch, addressed to another host.
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

func (w *Writer) next(to netip.AddrPort) *outgoing {
	if w.n == len(w.ms) {
		w.Flush()
	}
	s := &w.batch[w.n]
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

// Flush sends the batch. Datagrams that cannot be sent are counted in Failed.
func (w *Writer) Flush() {
	ms := w.ms[:w.n]
	w.n = 0
	for len(ms) > 0 {
		n, err := w.pc.WriteBatch(ms, 0)
		if err != nil {
			w.Failed++
			n = 1 // skip the datagram that failed, which is the first one left
		}
		ms = ms[n:]
	}
}
