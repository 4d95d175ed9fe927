// Package objectstore speaks the object protocol of the platform's service: keys
// with versions, conditional updates and watches, over HTTP/1.1 with ETag and
// If-Match (RFC 9110).
package objectstore

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
)

// MaxValueBytes is the largest value that the service holds.
const MaxValueBytes = 1 << 20

// Object is one stored value with its version; a version is never used twice.
type Object struct {
	Key     string
	Version uint64
	Value   []byte
}

// Op is an operation on objects.
type Op uint8

// The operations on objects.
const (
	Get Op = iota
	List
	Create
	Update
	Delete
	Watch
)

var opNames = [...]string{"get", "list", "create", "update", "delete", "watch"}

// String returns the operation's name in lower case.
func (o Op) String() string {
	if int(o) < len(opNames) {
		return opNames[o]
	}
	return "invalid"
}

// The errors of the service. An error that is none of these leaves it open
// whether a write took effect.
var (
	ErrNotFound = merry.New("object not found")
	ErrConflict = merry.New("object has another version")
	ErrExists   = merry.New("object exists")
	ErrLimited  = merry.New("too many calls")
	ErrTooLarge = merry.New("value over the service's limit")
	// ErrNotModified answers a watch whose object did not change while it waited.
	ErrNotModified = merry.New("object did not change")
	// ErrUnavailable leaves it open whether a write took effect.
	ErrUnavailable = merry.New("service unavailable")
)

// Call is one call to the service, as an effect of a decision.
type Call struct {
	// ID is the caller's own number for the call; the answer repeats it.
	ID      uint64
	Op      Op
	Key     string
	Version uint64
	Value   []byte
	// Wait is the longest time that a watch waits; 0 stands for WatchTimeout.
	Wait time.Duration
}

// WaitTime returns the longest time that a watch waits.
func (c Call) WaitTime() time.Duration {
	if c.Wait == 0 {
		return WatchTimeout
	}
	return c.Wait
}

// Effect marks Call as an effect.
func (Call) Effect() {}

// Answer is the answer to a call.
type Answer struct {
	Call    Call
	Object  Object
	Objects []Object
	Err     error
	// RetryAfter is the wait that the service asks for with ErrLimited.
	RetryAfter time.Duration
}

// Service does calls; Client and Memory are two of them.
type Service interface {
	// Do does the call and blocks until it is answered or ctx ends.
	Do(ctx context.Context, c Call) Answer
}
