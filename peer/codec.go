// Package peer is the protocol between hosts: authenticated datagrams with
// control messages, and net/rpc for what is larger.
package peer

import (
	"crypto/hmac"
	"crypto/sha256"
	"reflect"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/cornelbay/cornelbay"
)

// MaxDatagramBytes is the largest datagram that a host sends.
const MaxDatagramBytes = 1400

const macBytes = 16

// The errors of Open.
var (
	ErrMAC       = merry.New("datagram has no valid MAC")
	ErrMalformed = merry.New("datagram is malformed")
	ErrTooLarge  = merry.New("message over the datagram limit")
	// ErrReplay is a datagram that came before, is too old to tell, or is of an
	// earlier start of its sender.
	ErrReplay = merry.New("datagram is a replay")
)

// Envelope is what a datagram carries.
type Envelope struct {
	From        cornelbay.HostName    `cbor:"1,keyasint"`
	Incarnation cornelbay.Incarnation `cbor:"2,keyasint"`
	Sequence    uint64                `cbor:"3,keyasint"`
	Kind        cornelbay.MessageKind `cbor:"4,keyasint"`
	Body        cbor.RawMessage       `cbor:"5,keyasint"`
}

// Codec seals messages into datagrams and opens them.
type Codec struct {
	Self        cornelbay.HostName
	Incarnation cornelbay.Incarnation
	// Keys authenticate datagrams: the first seals, any opens.
	Keys [][]byte

	// Refused counts the datagrams that Open refused.
	Refused Refusals

	sequence uint64
	windows  replayWindows
}

var kinds = map[cornelbay.MessageKind]reflect.Type{}

// Register makes Open return messages of m's type for m's kind; it is called
// from init functions.
func Register(m cornelbay.Message) { kinds[m.Kind()] = reflect.TypeOf(m) }

// Seal returns the datagram that carries m.
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

// Open checks a datagram and returns its envelope and message.
func (c *Codec) Open(b []byte) (Envelope, cornelbay.Message, error) {
	var e Envelope
	if len(b) < macBytes {
		c.Refused.Malformed++
		return e, nil, ErrMalformed
	}
	body, sum := b[:len(b)-macBytes], b[len(b)-macBytes:]
	if !c.valid(body, sum) {
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
		return e, nil, ErrReplay
	}
	return e, m, nil
}

func decodeEnvelope(body []byte, e *Envelope) (cornelbay.Message, error) {
	if err := cbor.Unmarshal(body, e); err != nil {
		return nil, merry.Wrap(ErrMalformed, merry.WithCause(err))
	}
	t, ok := kinds[e.Kind]
	if !ok {
		return nil, ErrMalformed
	}
	m := reflect.New(t)
	if err := cbor.Unmarshal(e.Body, m.Interface()); err != nil {
		return nil, merry.Wrap(ErrMalformed, merry.WithCause(err))
	}
	return m.Elem().Interface().(cornelbay.Message), nil
}

func (c *Codec) valid(b, sum []byte) bool {
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
