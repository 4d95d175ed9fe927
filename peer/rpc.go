package peer

import (
	"net/netip"

	"github.com/ansel1/merry/v2"

	"github.com/cornelbay/cornelbay"
)

// ErrNoAnswer is the error of a call that was not answered in time; it leaves
// it open whether the other host took the call.
var ErrNoAnswer = merry.New("host did not answer")

// Call asks another host over net/rpc, as an effect of a decision.
type Call struct {
	// ID is the asking host's own number for the call; the answer repeats it.
	ID uint64
	To cornelbay.HostName
	// Address is used when the asking host knows no host of that name yet.
	Address netip.AddrPort
	// Args is a typed request; its type chooses the method.
	Args Args
}

// Effect marks Call as an effect.
func (Call) Effect() {}

// Args is the request of one net/rpc method.
type Args interface {
	// Method returns the name of the net/rpc method.
	Method() string
}

// Answer is the answer to a Call; Reply is typed by the method.
type Answer struct {
	Call  Call
	Reply any
	Err   error
}
