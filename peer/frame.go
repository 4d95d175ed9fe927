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

// MaxCallBytes is the largest frame of a call or a reply.
const MaxCallBytes = 4 << 20

// The net/rpc methods of a connection.
const (
	serviceName = "Host"
	callMethod  = serviceName + ".Call"
	pingMethod  = serviceName + ".Ping"
)

// Frame is the argument and the reply of the one net/rpc method that carries
// all registered calls.
type Frame struct {
	// From names the sender where no certificate does.
	From   cornelbay.HostName `cbor:"1,keyasint,omitempty"`
	Method string             `cbor:"2,keyasint,omitempty"`
	Body   cbor.RawMessage    `cbor:"3,keyasint,omitempty"`
}

// header is the net/rpc header of a frame on the wire.
type header struct {
	ServiceMethod string `cbor:"1,keyasint"`
	Seq           uint64 `cbor:"2,keyasint"`
	Error         string `cbor:"3,keyasint,omitempty"`
}

// wire reads and writes frames of bounded length on a connection.
type wire struct {
	conn net.Conn
	r    *bufio.Reader
	mu   sync.Mutex
	body []byte
	// idle bounds the wait for the next frame; 0 waits for ever.
	idle time.Duration
}

func newWire(c net.Conn) *wire { return &wire{conn: c, r: bufio.NewReader(c)} }

func (w *wire) write(h header, body any) error {
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

func (w *wire) read(h *header) error {
	if w.idle > 0 {
		if err := w.conn.SetReadDeadline(time.Now().Add(w.idle)); err != nil {
			return merry.Prepend(err, "read deadline")
		}
	}
	var size [4]byte
	if _, err := io.ReadFull(w.r, size[:]); err != nil {
		return err // net/rpc tells io.EOF from other errors
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

func (w *wire) readBody(v any) error {
	if v == nil {
		return nil
	}
	if err := cbor.Unmarshal(w.body, v); err != nil {
		return merry.Wrap(ErrMalformed, merry.WithCause(err))
	}
	return nil
}

// Close closes the connection.
func (w *wire) Close() error { return w.conn.Close() }

// clientCodec implements rpc.ClientCodec.
type clientCodec struct {
	*wire
	heard func()
}

func (c clientCodec) WriteRequest(r *rpc.Request, body any) error {
	return c.write(header{ServiceMethod: r.ServiceMethod, Seq: r.Seq}, body)
}

func (c clientCodec) ReadResponseHeader(r *rpc.Response) error {
	var h header
	if err := c.read(&h); err != nil {
		return err
	}
	c.heard()
	r.ServiceMethod, r.Seq, r.Error = h.ServiceMethod, h.Seq, h.Error
	return nil
}

func (c clientCodec) ReadResponseBody(v any) error { return c.readBody(v) }

// serverCodec implements rpc.ServerCodec and bounds the calls that run at once.
type serverCodec struct {
	*wire
	running chan struct{}
}

func (c serverCodec) ReadRequestHeader(r *rpc.Request) error {
	var h header
	if err := c.read(&h); err != nil {
		return err
	}
	c.running <- struct{}{}
	r.ServiceMethod, r.Seq = h.ServiceMethod, h.Seq
	return nil
}

func (c serverCodec) ReadRequestBody(v any) error { return c.readBody(v) }

func (c serverCodec) WriteResponse(r *rpc.Response, body any) error {
	defer func() { <-c.running }()
	return c.write(header{ServiceMethod: r.ServiceMethod, Seq: r.Seq, Error: r.Error}, body)
}

func encodeArgs(from cornelbay.HostName, a Args) (Frame, error) {
	m, ok := methods[a.Method()]
	if !ok || reflect.TypeOf(a) != m.args {
		return Frame{}, ErrMethod
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
