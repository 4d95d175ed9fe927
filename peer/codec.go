// Package peer implements the protocol between hosts: authenticated datagrams for
// control messages, and net/rpc for calls and for payloads that exceed a datagram.
package peer

import (
	"crypto/hmac"
	"crypto/sha256"
	"reflect"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/cornelbay/cornelbay"
)

// MaxDatagramBytes is the maximum size of a datagram that a host sends.
const MaxDatagramBytes = 1400

const macBytes = 16

// Errors of encoding and decoding. net/rpc frames share ErrMalformed and ErrTooLarge
// with datagrams. ErrMalformed is also returned to other hosts over net/rpc, for calls
// with a malformed body or with arguments that nothing serves, so its text stays
// although it names only datagrams.
var (
	ErrMAC       = merry.New("datagram has no valid MAC")
	ErrMalformed = merry.New("datagram is malformed")
	ErrTooLarge  = merry.New("message exceeds the size limit")
	// ErrReplay means that a datagram was received before, is too old for the replay
	// window, or is from an earlier incarnation of its sender, which ErrEarlier tells apart.
	ErrReplay  = merry.New("datagram is a replay")
	ErrEarlier = merry.Wrap(ErrReplay, merry.WithMessage("datagram is from an earlier incarnation"))
)

// Envelope is the authenticated content of a datagram.
type Envelope struct {
	From        cornelbay.HostName    `cbor:"1,keyasint"`
	Incarnation cornelbay.Incarnation `cbor:"2,keyasint"`
	Sequence    uint64                `cbor:"3,keyasint"`
	Kind        cornelbay.MessageKind `cbor:"4,keyasint"`
	Body        cbor.RawMessage       `cbor:"5,keyasint"`
}

// Codec encodes messages as datagrams with a MAC, and verifies and decodes them.
type Codec struct {
	Self        cornelbay.HostName
	Incarnation cornelbay.Incarnation
	// Keys authenticate datagrams. The first key signs; any key verifies.
	Keys [][]byte

	// Refused counts the datagrams that Open refused.
	Refused Refusals

	sequence uint64
	windows  replayWindows
}

var messageTypes = map[cornelbay.MessageKind]reflect.Type{}

// Register registers the type of m for its message kind, so that Open decodes messages
// of that kind as this type. It must only be called from init functions.
func Register(m cornelbay.Message) { messageTypes[m.Kind()] = reflect.TypeOf(m) }

// Seal encodes m as a datagram.
func (c *Codec) Seal(m cornelbay.Message) ([]byte, error) {
	body, err := cbor.Marshal(m)
	if err != nil {
		return nil, merry.Prepend(err, "message body")
	}
	c.sequence++
	b, err := cbor.Marshal(Envelope{c.Self, c.Incarnation, c.sequence, m.Kind(), body})
	if err != nil {
		return nil, merry.Prepend(err, "envelope")
	}
	if len(b)+macBytes > MaxDatagramBytes {
		return nil, ErrTooLarge
	}
	return append(b, mac(c.Keys[0], b)...), nil
}

// Open verifies a datagram and returns its envelope and message. With ErrEarlier it returns the
// envelope only.
func (c *Codec) Open(b []byte) (Envelope, cornelbay.Message, error) {
	var e Envelope
	if len(b) < macBytes {
		c.Refused.Malformed++
		return e, nil, ErrMalformed
	}
	body, sum := b[:len(b)-macBytes], b[len(b)-macBytes:]
	if !c.validMAC(body, sum) {
		c.Refused.MAC++
		return e, nil, ErrMAC
	}
	m, err := decodeEnvelope(body, &e)
	if err != nil {
		c.Refused.Malformed++
		return e, nil, err
	}
	if !c.windows.accept(e) {
		c.Refused.Replay++
		if e.Incarnation < c.Latest(e.From) {
			return e, nil, ErrEarlier
		}
		return e, nil, ErrReplay
	}
	return e, m, nil
}

// Latest returns the latest incarnation of a host whose datagrams were accepted, or 0. Those of
// earlier ones are refused.
func (c *Codec) Latest(name cornelbay.HostName) cornelbay.Incarnation {
	if w, ok := c.windows.bySender[name]; ok {
		return w.incarnation
	}
	return 0
}

func decodeEnvelope(body []byte, e *Envelope) (cornelbay.Message, error) {
	if err := cbor.Unmarshal(body, e); err != nil {
		return nil, merry.Wrap(ErrMalformed, merry.WithCause(err))
	}
	t, ok := messageTypes[e.Kind]
	if !ok {
		return nil, ErrMalformed
	}
	m := reflect.New(t)
	if err := cbor.Unmarshal(e.Body, m.Interface()); err != nil {
		return nil, merry.Wrap(ErrMalformed, merry.WithCause(err))
	}
	return m.Elem().Interface().(cornelbay.Message), nil
}

func (c *Codec) validMAC(b, sum []byte) bool {
	for _, key := range c.Keys {
		if hmac.Equal(mac(key, b), sum) {
			return true
		}
	}
	return false
}

func mac(key, b []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(b)
	return h.Sum(nil)[:macBytes]
}
