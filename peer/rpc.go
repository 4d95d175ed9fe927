package peer

import (
	"net/netip"
	"reflect"

	"github.com/ansel1/merry/v2"

	"github.com/cornelbay/cornelbay"
)

// Errors of a call.
var (
	// ErrNoAnswer means that the other host may or may not have run the call.
	ErrNoAnswer = merry.New("host did not answer")
	// ErrNotSent means that the other host has certainly not received the call.
	ErrNotSent = merry.New("call was not sent")
	// ErrRefused means that the handler of the other host returned an error.
	ErrRefused = merry.New("host refused the call")
	// ErrUnknownMethod means that the method is not registered, or is registered with
	// another type of arguments.
	ErrUnknownMethod = merry.New("method is not registered")
)

// Call is the effect that calls another host over net/rpc.
type Call struct {
	// ID is chosen by the calling host to match the Answer with the call.
	ID uint64
	To cornelbay.HostName
	// Address is used if the calling host does not know a host named To yet.
	Address netip.AddrPort
	// Args are the arguments. Their type determines the method.
	Args Args
}

// Effect marks Call as an effect.
func (Call) Effect() {}

// Args are the arguments of one registered method.
type Args interface {
	// Method returns the name that the method is registered under.
	Method() string
}

// Answer is the result of a Call. Reply has the reply type registered for the method.
type Answer struct {
	Call  Call
	Reply any
	Err   error
}

// Handler serves a call of another host. The reply must have the type that is
// registered for the type of args.
type Handler func(from cornelbay.HostName, args Args) (reply any, err error)

type method struct{ args, reply reflect.Type }

var methods = map[string]method{}

// RegisterCall registers the method of A with arguments of type A and replies of type
// R. It must only be called from init functions.
func RegisterCall[A Args, R any]() {
	var a A
	methods[a.Method()] = method{reflect.TypeFor[A](), reflect.TypeFor[R]()}
}
