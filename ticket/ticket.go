// Package ticket issues and redeems the tickets that let a non-idempotent
// request run at most once. A ticket is bound to one start of the host that
// issued it and is redeemed only there.
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

// macPurpose separates ticket MACs from other uses of the same keys.
const macPurpose = "cornelbay ticket 1\x00"

// The errors of Keys.Open and Ledger.Redeem.
var (
	ErrMalformed = merry.New("ticket is malformed")
	ErrMAC       = merry.New("ticket has no valid mac")
	ErrService   = merry.New("ticket is for another service")
	ErrCaller    = merry.New("ticket is for another caller")
	ErrExpired   = merry.New("ticket's expiry has passed")
	ErrIssuer    = merry.New("ticket is of another host or start")
	ErrDigest    = merry.New("ticket was redeemed for another request")
	ErrClosed    = merry.New("host stops and redeems no more tickets")
)

// Ticket allows one caller one run of a request of one service.
type Ticket struct {
	_           struct{} `cbor:",toarray"`
	Host        cornelbay.HostName
	Incarnation cornelbay.Incarnation
	// Number counts the tickets of one start of a host from 1.
	Number  uint64
	Service cornelbay.ServiceName
	Caller  string
	// ExpiryMs is the expiry in milliseconds since 1970 by the issuing host's clock.
	ExpiryMs int64
}

// Expiry returns the time after which the ticket is not redeemed.
func (t Ticket) Expiry() time.Time { return time.UnixMilli(t.ExpiryMs) }

// Check returns ErrService or ErrCaller when the ticket is for another one.
func (t Ticket) Check(service cornelbay.ServiceName, caller string) error {
	if t.Service != service {
		return ErrService
	}
	if t.Caller != caller {
		return ErrCaller
	}
	return nil
}

// Keys authenticate tickets: the first seals, any opens.
type Keys [][]byte

// Seal returns the text form of a ticket.
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

// Open checks the MAC of a ticket's text form and returns the ticket.
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
