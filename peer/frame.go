package peer

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"net/rpc"
	"reflect"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/cornelbay/cornelbay"
)

// MaxCallBytes is the maximum size of a frame that carries a call or a reply.
const MaxCallBytes = 4 << 20

// The net/rpc methods that a host serves.
const (
	serviceName = "Host"
	callMethod  = serviceName + ".Call"
	pingMethod  = serviceName + ".Ping"
)

// Frame is the argument and the reply type of the net/rpc method Host.Call, which
// carries all registered calls.
type Frame struct {
	// From is the name of the sender. It is used only if no certificate names the
	// sender.
	From   cornelbay.HostName `cbor:"1,keyasint,omitempty"`
	Method string             `cbor:"2,keyasint,omitempty"`
	Body   cbor.RawMessage    `cbor:"3,keyasint,omitempty"`
}

// header is the encoded form of a net/rpc request or response header.
type header struct {
	ServiceMethod string `cbor:"1,keyasint"`
	Seq           uint64 `cbor:"2,keyasint"`
	Error         string `cbor:"3,keyasint,omitempty"`
}

// frameConn reads and writes length-prefixed frames of at most MaxCallBytes.
type frameConn struct {
	conn net.Conn
	r    *bufio.Reader
	mu   sync.Mutex
	body []byte
	// idleTimeout is the timeout for reading the next frame; 0 means none.
	idleTimeout time.Duration
}

func newFrameConn(c net.Conn) *frameConn { return &frameConn{conn: c, r: bufio.NewReader(c)} }

func (w *frameConn) write(h header, body any) error {
	hb, err := cbor.Marshal(h)
	if err != nil {
		return merry.Prepend(err, "frame header")
	}
	bb, err := cbor.Marshal(body)
	if err != nil {
		return merry.Prepend(err, "frame body")
	}
	n := len(hb) + len(bb)
	if n > MaxCallBytes {
		return ErrTooLarge
	}
	b := binary.BigEndian.AppendUint32(make([]byte, 0, 4+n), uint32(n))
	b = append(append(b, hb...), bb...)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return merry.Prepend(err, "write deadline")
	}
	if _, err := w.conn.Write(b); err != nil {
		return merry.Prepend(err, "write frame")
	}
	return nil
}

func (w *frameConn) read(h *header) error {
	if w.idleTimeout > 0 {
		if err := w.conn.SetReadDeadline(time.Now().Add(w.idleTimeout)); err != nil {
			return merry.Prepend(err, "read deadline")
		}
	}
	var size [4]byte
	if _, err := io.ReadFull(w.r, size[:]); err != nil {
		return err // not wrapped: net/rpc compares it with io.EOF
	}
	n := binary.BigEndian.Uint32(size[:])
	if n > MaxCallBytes {
		return ErrTooLarge
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(w.r, b); err != nil {
		return merry.Prepend(err, "read frame")
	}
	rest, err := cbor.UnmarshalFirst(b, h)
	if err != nil {
		return merry.Wrap(ErrMalformed, merry.WithCause(err))
	}
	w.body = rest
	return nil
}

func (w *frameConn) readBody(v any) error {
	if v == nil {
		return nil
	}
	if err := cbor.Unmarshal(w.body, v); err != nil {
		return merry.Wrap(ErrMalformed, merry.WithCause(err))
	}
	return nil
}

// Close closes the connection.
func (w *frameConn) Close() error { return w.conn.Close() }

// clientCodec implements rpc.ClientCodec.
type clientCodec struct {
	*frameConn
	onReceive func()
}

func (c clientCodec) WriteRequest(r *rpc.Request, body any) error {
	return c.write(header{ServiceMethod: r.ServiceMethod, Seq: r.Seq}, body)
}

func (c clientCodec) ReadResponseHeader(r *rpc.Response) error {
	var h header
	if err := c.read(&h); err != nil {
		return err
	}
	c.onReceive()
	r.ServiceMethod, r.Seq, r.Error = h.ServiceMethod, h.Seq, h.Error
	return nil
}

func (c clientCodec) ReadResponseBody(v any) error { return c.readBody(v) }

// serverCodec implements rpc.ServerCodec and limits the number of concurrent calls to
// the capacity of inFlight.
type serverCodec struct {
	*frameConn
	inFlight chan struct{}
}

func (c serverCodec) ReadRequestHeader(r *rpc.Request) error {
	var h header
	if err := c.read(&h); err != nil {
		return err
	}
	c.inFlight <- struct{}{}
	r.ServiceMethod, r.Seq = h.ServiceMethod, h.Seq
	return nil
}

func (c serverCodec) ReadRequestBody(v any) error { return c.readBody(v) }

func (c serverCodec) WriteResponse(r *rpc.Response, body any) error {
	defer func() { <-c.inFlight }()
	return c.write(header{ServiceMethod: r.ServiceMethod, Seq: r.Seq, Error: r.Error}, body)
}

func encodeArgs(from cornelbay.HostName, a Args) (Frame, error) {
	m, ok := methods[a.Method()]
	if !ok || reflect.TypeOf(a) != m.args {
		return Frame{}, ErrUnknownMethod
	}
	b, err := cbor.Marshal(a)
	if err != nil {
		return Frame{}, merry.Prepend(err, "arguments")
	}
	return Frame{From: from, Method: a.Method(), Body: b}, nil
}

func decode(b []byte, t reflect.Type) (any, error) {
	v := reflect.New(t)
	if err := cbor.Unmarshal(b, v.Interface()); err != nil {
		return nil, merry.Wrap(ErrMalformed, merry.WithCause(err))
	}
	return v.Elem().Interface(), nil
}
