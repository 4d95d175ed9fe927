// Package objectstore implements the protocol of the platform's object store:
// versioned objects with conditional updates and watches, over HTTP/1.1 with ETag and
// If-Match (RFC 9110).
package objectstore

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
)

// MaxValueBytes is the largest value that the store accepts.
const MaxValueBytes = 1 << 20

// Object is a stored value with its version. Versions are never reused.
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

// Errors of the store. After ErrUnavailable, or an error that is not listed here, it is
// unknown whether a write took effect; the other errors mean that it did not.
var (
	ErrNotFound = merry.New("object not found")
	ErrConflict = merry.New("object has another version")
	ErrExists   = merry.New("object exists")
	ErrLimited  = merry.New("too many calls")
	ErrTooLarge = merry.New("value exceeds the object store's limit")
	// ErrNotModified is the result of a watch that timed out without a change.
	ErrNotModified = merry.New("object did not change")
	// ErrUnavailable leaves open whether a write took effect.
	ErrUnavailable = merry.New("object store unavailable")
)

// Call is a call to the store. It is also a cornelbay.Effect, so that components
// can return it for their caller to perform.
type Call struct {
	// ID is chosen by the caller to match the answer to the call.
	ID uint64
	Op Op
	// Key is the key of the object; for List it is a prefix of keys.
	Key string
	// Version is the expected version for Update and Delete, and the known one for
	// Watch.
	Version uint64
	Value   []byte
	// Wait is the maximum duration of a watch; 0 means WatchTimeout.
	Wait time.Duration
}

// WaitTime returns the maximum duration of a watch.
func (c Call) WaitTime() time.Duration {
	if c.Wait == 0 {
		return WatchTimeout
	}
	return c.Wait
}

// Effect implements cornelbay.Effect.
func (Call) Effect() {}

// Answer is the answer to a call.
type Answer struct {
	Call    Call
	Object  Object
	Objects []Object
	Err     error
	// RetryAfter is the delay that the store requests with ErrLimited.
	RetryAfter time.Duration
}

// Store performs calls. Client, Memory and Faulty implement it.
type Store interface {
	// Do performs the call and blocks until it is answered or ctx ends.
	Do(ctx context.Context, c Call) Answer
}
