// Package operator implements the operations on a deployment: committing documents and
// querying which configuration is in force.
package operator

import (
	"context"
	"errors"
	"hash/fnv"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cornelbay/cornelbay/config"
	"github.com/cornelbay/cornelbay/objectstore"
)

// Retry parameters of calls to the platform.
const (
	retryMin        = 50 * time.Millisecond
	retryMax        = 2 * time.Second
	DefaultAttempts = 8
	// editAttempts is the maximum number of times that Edit applies an edit, each time
	// to a newer generation.
	editAttempts = 16
)

// DefaultKeep is the default number of past generations that are kept.
const DefaultKeep = 1000

// Change describes one change of the document.
type Change struct {
	// ID makes a repeated Apply idempotent; empty means a new random ID.
	ID             string
	Author, Reason string
	// Base is the generation that the change is based on. If another one is committed,
	// the change fails with a ConflictError. 0 means the generation that is read first.
	Base uint64
	// Force allows the removal of targets that still take new work.
	Force bool
}

// ConflictError reports that the committed generation is not the one that the change is
// based on, usually because another change was committed first.
type ConflictError struct {
	// Committed is the head that is committed instead.
	Committed config.Head
}

// Error describes the change that was committed instead.
func (e *ConflictError) Error() string {
	return merry.Errorf("conflict: change %q by %q is generation %d; read it and make the change again",
		e.Committed.Change, e.Committed.Author, e.Committed.Generation).Error()
}

// UnknownError reports that it is unknown whether a change was committed.
type UnknownError struct {
	// Change is the ID with which the change can safely be repeated.
	Change string
	Cause  error
}

// Error describes the change by its ID, with the cause.
func (e *UnknownError) Error() string {
	return "it is not known whether change " + e.Change + " took effect; repeat it with the same id: " + e.Cause.Error()
}

// Unwrap returns Cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

// Errors of changes.
var (
	// ErrUndrainedRemoval is returned for a change that removes targets that still take
	// new work.
	ErrUndrainedRemoval = merry.New("targets still take new work: drain them, take their data centre out, or force the change")
	// ErrNoConfig is returned when no configuration has been committed yet.
	ErrNoConfig = merry.New("no configuration is committed")
	// ErrInvalidChange is returned for a change with a text that is too long, or with an ID
	// that was used for another document.
	ErrInvalidChange = merry.New("change is not valid")
	// ErrNoGeneration is returned for a generation that is not or no longer in the
	// history.
	ErrNoGeneration = merry.New("generation is not in the history")
)

// Client commits changes and reads committed ones. Of its fields only Service is
// required.
type Client struct {
	Service objectstore.Store
	// Rand is the source of retry jitter; nil means a source seeded at the first retry
	// with the change's ID or the object's key.
	Rand *rand.Rand
	// Sleep waits before a retry; nil means to wait in real time.
	Sleep func(ctx context.Context, d time.Duration) error
	// Now is the clock for the head's Time; nil means time.Now.
	Now func() time.Time
	// Attempts is the maximum number of attempts per call; 0 means DefaultAttempts.
	Attempts int
	// Keep is the number of past generations to keep; 0 means DefaultKeep.
	Keep uint64
}

// Apply is Client.Apply with a Client that has only a Service.
func Apply(ctx context.Context, s objectstore.Store, doc *config.Document, c Change) (config.Head, error) {
	return (&Client{Service: s}).Apply(ctx, doc, c)
}

// Apply commits doc as the next generation and returns its head. Calls with the same
// Change.ID commit at most once, as long as the change is in the history (see Keep). Its
// errors include config.Errors, *ConflictError, *UnknownError and those of this package.
func (c *Client) Apply(ctx context.Context, doc *config.Document, change Change) (config.Head, error) {
	if errs := doc.Validate(); len(errs) > 0 {
		return config.Head{}, errs
	}
	mayRepeat := change.ID != ""
	p, err := c.prepare(doc, &change)
	if err != nil {
		return config.Head{}, err
	}
	if mayRepeat {
		if h, ok, err := c.findCommitted(ctx, p.next); err != nil || ok {
			return h, err
		}
	}
	return c.commit(ctx, p)
}

// Edit applies edit to the committed document and commits the result. When another
// change is committed first, it starts over with that document. It ignores change.Base.
// For a change.ID that was committed before it returns the head of that time, without
// comparing documents.
func (c *Client) Edit(ctx context.Context, change Change, edit func(*config.Document) error) (config.Head, error) {
	mayRepeat := change.ID != ""
	var conflict *ConflictError
	for n := range editAttempts {
		base, doc, err := c.Load(ctx)
		if err != nil {
			return config.Head{}, err
		}
		if mayRepeat && n == 0 {
			if h, ok, err := c.find(ctx, base, change.ID, 0); err != nil || ok {
				return h, err
			}
		}
		if err := edit(doc); err != nil {
			return config.Head{}, err
		}
		change.Base = base.Generation
		h, err := c.applyNew(ctx, doc, &change)
		if !errors.As(err, &conflict) {
			return h, err
		}
		if err := c.sleep(ctx, change.ID, n); err != nil {
			return config.Head{}, err
		}
	}
	return config.Head{}, conflict
}

// applyNew commits a change that is known not to have been committed yet.
func (c *Client) applyNew(ctx context.Context, doc *config.Document, change *Change) (config.Head, error) {
	if errs := doc.Validate(); len(errs) > 0 {
		return config.Head{}, errs
	}
	p, err := c.prepare(doc, change)
	if err != nil {
		return config.Head{}, err
	}
	return c.commit(ctx, p)
}

// proposal is a document prepared for commit, with its objects and next head.
type proposal struct {
	doc     *config.Document
	objects config.Objects
	next    config.Head
	change  Change
}

func (c *Client) prepare(doc *config.Document, change *Change) (*proposal, error) {
	if change.ID == "" {
		change.ID = newID()
	}
	if err := change.validate(); err != nil {
		return nil, err
	}
	h, objects, err := doc.Split()
	if err != nil {
		return nil, err
	}
	h.Change, h.Author, h.Reason = change.ID, change.Author, change.Reason
	now := time.Now
	if c.Now != nil {
		now = c.Now
	}
	h.Time = now().UTC().Format(time.RFC3339)
	return &proposal{doc: doc, objects: objects, next: h, change: *change}, nil
}

func (c *Change) validate() error {
	for _, f := range []struct {
		name, text string
		most       int
	}{
		{"id", c.ID, config.MaxChangeBytes},
		{"author", c.Author, config.MaxAuthorBytes},
		{"reason", c.Reason, config.MaxReasonBytes},
	} {
		if len(f.text) > f.most {
			return merry.Wrap(ErrInvalidChange, merry.AppendMessagef("%s is longer than %d bytes", f.name, f.most))
		}
	}
	return nil
}

// findCommitted looks for a change that an earlier call committed. It returns
// ErrInvalidChange if the change's ID was used for another document.
func (c *Client) findCommitted(ctx context.Context, next config.Head) (config.Head, bool, error) {
	h, _, err := c.head(ctx)
	if errors.Is(err, ErrNoConfig) {
		return h, false, nil
	}
	if err != nil {
		return h, false, err
	}
	old, ok, err := c.find(ctx, h, next.Change, 0)
	if ok && old.Digest != next.Digest {
		return old, false, merry.Wrap(ErrInvalidChange, merry.AppendMessagef("id %q was used for another document, generation %d", next.Change, old.Generation))
	}
	return old, ok, err
}

// commit writes the objects and updates the head.
func (c *Client) commit(ctx context.Context, p *proposal) (config.Head, error) {
	previous, version, err := c.head(ctx)
	if err != nil && !errors.Is(err, ErrNoConfig) {
		return config.Head{}, err
	}
	if p.change.Base != 0 && previous.Generation != p.change.Base {
		return config.Head{}, &ConflictError{Committed: previous}
	}
	known := make(map[string]bool)
	if previous.Generation > 0 {
		if known, err = c.checkRemovals(ctx, previous, p); err != nil {
			return config.Head{}, err
		}
		if err := c.writeHistory(ctx, previous); err != nil {
			return config.Head{}, err
		}
	}
	if err := c.writeObjects(ctx, p.objects, known); err != nil {
		return config.Head{}, err
	}
	old, err := c.listObjectsForGC(ctx, previous)
	if err != nil {
		return config.Head{}, err
	}
	p.next.SetFresh(p.objects, known)
	p.next.Generation, p.next.Previous = previous.Generation+1, previous.Digest
	h, err := c.updateHead(ctx, p.next, previous, version)
	if err == nil {
		c.collectGarbage(ctx, h, old)
	}
	return h, err
}

// checkRemovals returns ErrUndrainedRemoval if the change removes targets that still
// take new work, unless it is forced. Otherwise it returns the digests of the objects
// that the previous head refers to.
func (c *Client) checkRemovals(ctx context.Context, previous config.Head, p *proposal) (map[string]bool, error) {
	// Objects that the change shares with the previous head are not read again.
	objects, err := c.objects(ctx, previous, p.objects)
	if err != nil {
		return nil, err
	}
	previousDoc, err := objects.JoinAll(previous)
	if err != nil {
		return nil, err
	}
	if undrained := config.UndrainedRemovals(previousDoc, p.doc); len(undrained) > 0 && !p.change.Force {
		names := make([]string, len(undrained))
		for i := range undrained {
			names[i] = string(undrained[i])
		}
		return nil, merry.Wrap(ErrUndrainedRemoval, merry.AppendMessage(strings.Join(names, ", ")))
	}
	known := make(map[string]bool)
	if !markReferenced(known, objects, previous) {
		return nil, config.ErrObject
	}
	return known, nil
}

// writeHistory ensures that the head that is about to be replaced is in the history.
func (c *Client) writeHistory(ctx context.Context, h config.Head) error {
	b, err := h.Marshal()
	if err != nil {
		return err
	}
	a := c.retry(ctx, objectstore.Call{Op: objectstore.Create, Key: config.HistoryKey(h.Generation), Value: b})
	if a.Err != nil && !errors.Is(a.Err, objectstore.ErrExists) {
		return merry.Prepend(a.Err, "write history")
	}
	return nil
}

// updateHead commits the change by a conditional update of the head. If the answer is
// lost, the outcome is unknown and the update is retried with the same condition, so
// that it takes effect at most once.
func (c *Client) updateHead(ctx context.Context, next, previous config.Head, version uint64) (config.Head, error) {
	b, err := next.Marshal()
	if err != nil {
		return config.Head{}, err
	}
	// Sets Check, which Marshal sets only in the encoded head.
	if next, err = config.ParseHead(b); err != nil {
		return config.Head{}, err
	}
	call := objectstore.Call{Op: objectstore.Update, Key: config.HeadKey, Version: version, Value: b}
	if previous.Generation == 0 {
		call.Op = objectstore.Create
	}
	a := c.retry(ctx, call)
	switch {
	case a.Err == nil:
		return next, nil
	case errors.Is(a.Err, objectstore.ErrConflict), errors.Is(a.Err, objectstore.ErrExists):
		return c.resolveConflict(ctx, next, previous)
	case errors.Is(a.Err, objectstore.ErrTooLarge), errors.Is(a.Err, objectstore.ErrNotFound):
		return config.Head{}, merry.Prepend(a.Err, "write head")
	}
	return config.Head{}, &UnknownError{Change: next.Change, Cause: a.Err}
}

// resolveConflict determines whether this change or another one updated the head.
func (c *Client) resolveConflict(ctx context.Context, next, previous config.Head) (config.Head, error) {
	var committed config.Head
	for i := range c.attempts() {
		h, _, err := c.head(ctx)
		if err != nil {
			return config.Head{}, &UnknownError{Change: next.Change, Cause: err}
		}
		if h.Generation > previous.Generation {
			committed = h
			break
		}
		// A stale read: the head is older than the one that made the update conflict.
		if err := c.sleep(ctx, next.Change, i); err != nil {
			return config.Head{}, &UnknownError{Change: next.Change, Cause: err}
		}
	}
	if committed.Generation == 0 {
		return config.Head{}, &UnknownError{Change: next.Change, Cause: objectstore.ErrConflict}
	}
	h, ok, err := c.find(ctx, committed, next.Change, previous.Generation)
	if err != nil {
		return config.Head{}, &UnknownError{Change: next.Change, Cause: err}
	}
	if ok {
		return h, nil
	}
	return config.Head{}, &ConflictError{Committed: committed}
}

// find looks for a change in the head and in the history. It does not read the history
// if that has no generation above the given one.
func (c *Client) find(ctx context.Context, h config.Head, id string, above uint64) (config.Head, bool, error) {
	if h.Change == id {
		return h, true, nil
	}
	if h.Generation <= above+1 {
		return config.Head{}, false, nil
	}
	past, err := c.readHistory(ctx)
	if err != nil {
		return config.Head{}, false, err
	}
	for _, p := range past {
		if p.Change == id && p.Generation < h.Generation {
			return p, true, nil
		}
	}
	return config.Head{}, false, nil
}

// retry performs a call until it succeeds or fails with an error other than
// ErrUnavailable and ErrLimited, or until the attempts are used up.
func (c *Client) retry(ctx context.Context, call objectstore.Call) objectstore.Answer {
	var a objectstore.Answer
	for i := range c.attempts() {
		a = c.Service.Do(ctx, call)
		if !errors.Is(a.Err, objectstore.ErrUnavailable) && !errors.Is(a.Err, objectstore.ErrLimited) {
			return a
		}
		if err := c.sleep(ctx, call.Key, i); err != nil {
			return a
		}
	}
	return a
}

func (c *Client) attempts() int {
	if c.Attempts == 0 {
		return DefaultAttempts
	}
	return c.Attempts
}

// sleep waits before attempt n+1. The delay doubles with each attempt up to retryMax;
// half of it is jitter.
func (c *Client) sleep(ctx context.Context, seed string, n int) error {
	if c.Rand == nil {
		f := fnv.New64a()
		_, _ = f.Write([]byte(seed)) // never fails
		c.Rand = rand.New(rand.NewPCG(f.Sum64(), uint64(n)))
	}
	d := min(retryMin<<min(n, 10), retryMax)
	d = d/2 + time.Duration(c.Rand.Int64N(int64(d/2)))
	if c.Sleep != nil {
		return c.Sleep(ctx, d)
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
