// Package ticket implements tickets, which are idempotency tokens that let a
// non-idempotent request run at most once. A ticket is bound to the incarnation
// of the host that issued it and can be redeemed only there.
package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/cornelbay/cornelbay"
)

const macBytes = 16

// macPurpose is the domain separation prefix for ticket MACs, in case the same
// keys have other uses.
const macPurpose = "cornelbay ticket 1\x00"

// Errors of Keys.Open, Ticket.Check and Ledger.Redeem.
var (
	ErrMalformed = merry.New("ticket is malformed")
	ErrMAC       = merry.New("ticket has no valid MAC")
	ErrService   = merry.New("ticket is for another service")
	ErrCaller    = merry.New("ticket is for another caller")
	ErrExpired   = merry.New("ticket has expired")
	ErrIssuer    = merry.New("ticket was issued by another host or incarnation")
	ErrDigest    = merry.New("ticket was redeemed for another request")
	ErrClosed    = merry.New("host is stopping and redeems no more tickets")
)

// Ticket allows one caller to run one request to one service at most once.
type Ticket struct {
	_           struct{} `cbor:",toarray"`
	Host        cornelbay.HostName
	Incarnation cornelbay.Incarnation
	// Number is the sequence number of the ticket within the incarnation, from 1.
	Number  uint64
	Service cornelbay.ServiceName
	Caller  string
	// ExpiryMs is the expiry as a Unix time in milliseconds, by the clock of the
	// issuing host.
	ExpiryMs int64
}

// Expiry returns the time after which the ticket can't be redeemed.
func (t Ticket) Expiry() time.Time { return time.UnixMilli(t.ExpiryMs) }

// Check returns ErrService or ErrCaller if the ticket is for another service or
// caller.
func (t Ticket) Check(service cornelbay.ServiceName, caller string) error {
	if t.Service != service {
		return ErrService
	}
	if t.Caller != caller {
		return ErrCaller
	}
	return nil
}

// Keys are the MAC keys of tickets. The first signs new tickets; each verifies, so
// that keys can be rotated.
type Keys [][]byte

// Seal encodes a ticket as text and signs it with the first key.
func (k Keys) Seal(t Ticket) (string, error) {
	if len(k) == 0 {
		return "", merry.New("no ticket key")
	}
	b, err := cbor.Marshal(t)
	if err != nil {
		return "", merry.Prepend(err, "ticket")
	}
	return base64.RawURLEncoding.EncodeToString(append(b, mac(k[0], b)...)), nil
}

// Open verifies the MAC of an encoded ticket and decodes it.
func (k Keys) Open(s string) (Ticket, error) {
	var t Ticket
	b, err := base64.RawURLEncoding.Strict().DecodeString(s)
	if err != nil || len(b) <= macBytes {
		return t, ErrMalformed
	}
	body, sum := b[:len(b)-macBytes], b[len(b)-macBytes:]
	if !k.valid(body, sum) {
		return t, ErrMAC
	}
	if err := cbor.Unmarshal(body, &t); err != nil {
		return t, ErrMalformed
	}
	return t, nil
}

func (k Keys) valid(b, sum []byte) bool {
	for _, key := range k {
		if hmac.Equal(mac(key, b), sum) {
			return true
		}
	}
	return false
}

func mac(key, b []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(macPurpose))
	h.Write(b)
	return h.Sum(nil)[:macBytes]
}
