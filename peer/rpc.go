package peer

import (
	"net/netip"
	"reflect"

	"github.com/ansel1/merry/v2"

	"github.com/cornelbay/cornelbay"
)

// The errors of a call.
var (
	// ErrNoAnswer leaves it open whether the other host took the call.
	ErrNoAnswer = merry.New("host did not answer")
	// ErrNotSent proves that the other host did not take the call.
	ErrNotSent = merry.New("call was not sent")
	// ErrRefused is an error that the other host's handler returned.
	ErrRefused = merry.New("host refused the call")
	// ErrMethod is a call whose type is not registered.
	ErrMethod = merry.New("method is not registered")
)

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

// Handler serves a call of another host; the reply has the type that was
// registered for the type of args.
type Handler func(from cornelbay.HostName, args Args) (reply any, err error)

type method struct{ args, reply reflect.Type }

var methods = map[string]method{}

// RegisterCall makes Client and Server carry calls with arguments of type A and
// replies of type R; it is called from init functions.
func RegisterCall[A Args, R any]() {
	var a A
	methods[a.Method()] = method{reflect.TypeFor[A](), reflect.TypeFor[R]()}
}
