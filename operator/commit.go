// Package operator holds what operators do to a deployment: they commit
// documents and read what is in force.
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

// The times and limits of calls to the platform.
const (
	retryLeast      = 50 * time.Millisecond
	retryMost       = 2 * time.Second
	DefaultAttempts = 8
	// editAttempts bounds how often an edit starts again on a newer generation.
	editAttempts = 16
)

// HistoryKept is the number of past generations that stay readable.
const HistoryKept = 1000

// Change describes one change of the document.
type Change struct {
	// ID makes a repeated Apply one change; empty stands for a new random one.
	ID             string
	Author, Reason string
	// Base is the generation that the change was made from; when another is in
	// force the change is a conflict. 0 accepts whichever is read first.
	Base uint64
	// Force allows the removal of targets that still take new work.
	Force bool
}

// ConflictError tells that another change was committed first.
type ConflictError struct {
	// Winner is the head that is in the place of the change.
	Winner config.Head
}

// Error names the winner's change.
func (e *ConflictError) Error() string {
	return merry.Errorf("conflict: change %q by %q is generation %d; read it and make the change again",
		e.Winner.Change, e.Winner.Author, e.Winner.Generation).Error()
}

// UnknownError tells that a change may or may not have been committed.
type UnknownError struct {
	// Change is the id to repeat the change with.
	Change string
	Cause  error
}

// Error names the change's id.
func (e *UnknownError) Error() string {
	return "it is not known whether change " + e.Change + " took effect; repeat it with the same id: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

// The errors of operators' changes.
var (
	// ErrAbandoned refuses the removal of targets that still take new work.
	ErrAbandoned = merry.New("targets still take new work: drain them, take their data centre out, or force the change")
	// ErrNoConfig tells that nothing was ever committed.
	ErrNoConfig = merry.New("no configuration is committed")
	// ErrChange refuses a change whose texts are missing or too long, or whose id
	// was used for another document.
	ErrChange = merry.New("change is not valid")
	// ErrNoGeneration tells that a generation is not, or no longer, in the history.
	ErrNoGeneration = merry.New("generation is not in the history")
)

// Client commits changes and reads what is committed; its zero value needs only
// Service.
type Client struct {
	Service objectstore.Service
	// Rand spreads retries; nil stands for a source seeded by the change's id.
	Rand *rand.Rand
	// Sleep waits before a retry; nil stands for the real clock.
	Sleep func(ctx context.Context, d time.Duration) error
	// Now is the clock of the head's Time; nil stands for time.Now.
	Now func() time.Time
	// Attempts bounds the tries of one call; 0 stands for DefaultAttempts.
	Attempts int
	// Keep is the number of past generations to keep; 0 stands for HistoryKept.
	Keep uint64
}

// Apply commits doc as the next generation and returns its head.
func Apply(ctx context.Context, s objectstore.Service, doc *config.Document, c Change) (config.Head, error) {
	return (&Client{Service: s}).Apply(ctx, doc, c)
}

// Apply commits doc as the next generation and returns its head. Repeated with
// the same Change.ID it is one change. Its errors are config.Errors,
// *ConflictError, *UnknownError and those of this package.
func (c *Client) Apply(ctx context.Context, doc *config.Document, change Change) (config.Head, error) {
	if errs := doc.Validate(); len(errs) > 0 {
		return config.Head{}, errs
	}
	repeated := change.ID != ""
	p, err := c.prepare(doc, &change)
	if err != nil {
		return config.Head{}, err
	}
	if repeated {
		if h, ok, err := c.done(ctx, p.next); err != nil || ok {
			return h, err
		}
	}
	return c.commit(ctx, p)
}

// Edit commits a change of whichever document is in force: when another change
// is committed first, edit is applied to that one.
func (c *Client) Edit(ctx context.Context, change Change, edit func(*config.Document) error) (config.Head, error) {
	repeated := change.ID != ""
	var conflict *ConflictError
	for n := range editAttempts {
		base, doc, err := c.Load(ctx)
		if err != nil {
			return config.Head{}, err
		}
		if repeated && n == 0 {
			if h, ok, err := c.find(ctx, base, change.ID, 0); err != nil || ok {
				return h, err
			}
		}
		if err := edit(doc); err != nil {
			return config.Head{}, err
		}
		change.Base = base.Generation
		h, err := c.try(ctx, doc, &change)
		if !errors.As(err, &conflict) {
			return h, err
		}
		if err := c.sleep(ctx, change.ID, n); err != nil {
			return config.Head{}, err
		}
	}
	return config.Head{}, conflict
}

// try commits a change that is known not to be committed yet.
func (c *Client) try(ctx context.Context, doc *config.Document, change *Change) (config.Head, error) {
	if errs := doc.Validate(); len(errs) > 0 {
		return config.Head{}, errs
	}
	p, err := c.prepare(doc, change)
	if err != nil {
		return config.Head{}, err
	}
	return c.commit(ctx, p)
}

// proposal is a document that is ready to be committed.
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
			return merry.Wrap(ErrChange, merry.AppendMessagef("%s is longer than %d bytes", f.name, f.most))
		}
	}
	return nil
}

// done looks for a change that an earlier try committed.
func (c *Client) done(ctx context.Context, next config.Head) (config.Head, bool, error) {
	h, _, err := c.head(ctx)
	if errors.Is(err, ErrNoConfig) {
		return h, false, nil
	}
	if err != nil {
		return h, false, err
	}
	old, ok, err := c.find(ctx, h, next.Change, 0)
	if ok && old.Digest != next.Digest {
		return old, false, merry.Wrap(ErrChange, merry.AppendMessagef("id %q was used for another document, generation %d", next.Change, old.Generation))
	}
	return old, ok, err
}

// commit writes the objects and moves the head.
func (c *Client) commit(ctx context.Context, p *proposal) (config.Head, error) {
	base, version, err := c.head(ctx)
	if err != nil && !errors.Is(err, ErrNoConfig) {
		return config.Head{}, err
	}
	if p.change.Base != 0 && base.Generation != p.change.Base {
		return config.Head{}, &ConflictError{Winner: base}
	}
	known := make(map[string]bool)
	if base.Generation > 0 {
		if known, err = c.checkAgainst(ctx, base, p); err != nil {
			return config.Head{}, err
		}
		if err := c.record(ctx, base); err != nil {
			return config.Head{}, err
		}
	}
	if err := c.writeObjects(ctx, p.objects, known); err != nil {
		return config.Head{}, err
	}
	old, err := c.collectable(ctx, base)
	if err != nil {
		return config.Head{}, err
	}
	p.next.SetFresh(p.objects, known)
	p.next.Generation, p.next.Previous = base.Generation+1, base.Digest
	h, err := c.moveHead(ctx, p.next, base, version)
	if err == nil {
		c.collect(ctx, h, old)
	}
	return h, err
}

// checkAgainst refuses a change that abandons targets, and returns the digests
// of the objects that the base names.
func (c *Client) checkAgainst(ctx context.Context, base config.Head, p *proposal) (map[string]bool, error) {
	// An object that the change shares with the base need not be read.
	objects, err := c.objects(ctx, base, p.objects)
	if err != nil {
		return nil, err
	}
	was, err := objects.JoinAll(base)
	if err != nil {
		return nil, err
	}
	if lost := config.Abandoned(was, p.doc); len(lost) > 0 && !p.change.Force {
		names := make([]string, len(lost))
		for i := range lost {
			names[i] = string(lost[i])
		}
		return nil, merry.Wrap(ErrAbandoned, merry.AppendMessage(strings.Join(names, ", ")))
	}
	known := make(map[string]bool)
	if !keep(known, objects, base) {
		return nil, config.ErrShard
	}
	return known, nil
}

// record makes sure that the head that is about to be replaced is in the history.
func (c *Client) record(ctx context.Context, h config.Head) error {
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

// moveHead does the conditional update that commits. Its outcome is unknown
// after a lost answer, so it is repeated with the same condition: it can take
// effect once at most.
func (c *Client) moveHead(ctx context.Context, next, base config.Head, version uint64) (config.Head, error) {
	b, err := next.Marshal()
	if err != nil {
		return config.Head{}, err
	}
	if next, err = config.ParseHead(b); err != nil {
		return config.Head{}, err
	}
	call := objectstore.Call{Op: objectstore.Update, Key: config.HeadKey, Version: version, Value: b}
	if base.Generation == 0 {
		call.Op = objectstore.Create
	}
	a := c.retry(ctx, call)
	switch {
	case a.Err == nil:
		return next, nil
	case errors.Is(a.Err, objectstore.ErrConflict), errors.Is(a.Err, objectstore.ErrExists):
		return c.resolve(ctx, next, base)
	case errors.Is(a.Err, objectstore.ErrTooLarge), errors.Is(a.Err, objectstore.ErrNotFound):
		return config.Head{}, merry.Prepend(a.Err, "write head")
	}
	return config.Head{}, &UnknownError{Change: next.Change, Cause: a.Err}
}

// resolve tells whether it was this change or another that moved the head.
func (c *Client) resolve(ctx context.Context, next, base config.Head) (config.Head, error) {
	var winner config.Head
	for i := range c.attempts() {
		h, _, err := c.head(ctx)
		if err != nil {
			return config.Head{}, &UnknownError{Change: next.Change, Cause: err}
		}
		if h.Generation > base.Generation {
			winner = h
			break
		}
		// The head that was read is older than the one that refused the update.
		if err := c.sleep(ctx, next.Change, i); err != nil {
			return config.Head{}, &UnknownError{Change: next.Change, Cause: err}
		}
	}
	if winner.Generation == 0 {
		return config.Head{}, &UnknownError{Change: next.Change, Cause: objectstore.ErrConflict}
	}
	h, ok, err := c.find(ctx, winner, next.Change, base.Generation)
	if err != nil {
		return config.Head{}, &UnknownError{Change: next.Change, Cause: err}
	}
	if ok {
		return h, nil
	}
	return config.Head{}, &ConflictError{Winner: winner}
}

// find looks for a change in the head and in the history above a generation.
func (c *Client) find(ctx context.Context, h config.Head, id string, above uint64) (config.Head, bool, error) {
	if h.Change == id {
		return h, true, nil
	}
	if h.Generation <= above+1 {
		return config.Head{}, false, nil
	}
	past, err := c.past(ctx)
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

// retry does a call until the service answers it or the attempts are used up.
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

// sleep waits before try n+1; the time doubles and is spread by half.
func (c *Client) sleep(ctx context.Context, seed string, n int) error {
	if c.Rand == nil {
		f := fnv.New64a()
		_, _ = f.Write([]byte(seed)) // never fails
		c.Rand = rand.New(rand.NewPCG(f.Sum64(), uint64(n)))
	}
	d := min(retryLeast<<min(n, 10), retryMost)
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
