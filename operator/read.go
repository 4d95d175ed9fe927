package operator

import (
	"bytes"
	"context"
	"crypto/rand"
	"errors"
	"maps"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/cornelbay/cornelbay/config"
	"github.com/cornelbay/cornelbay/objectstore"
)

func newID() string { return rand.Text() }

// head reads the head and its version. It returns ErrNoConfig if there is none.
func (c *Client) head(ctx context.Context) (config.Head, uint64, error) {
	a := c.retry(ctx, objectstore.Call{Op: objectstore.Get, Key: config.HeadKey})
	if errors.Is(a.Err, objectstore.ErrNotFound) {
		return config.Head{}, 0, ErrNoConfig
	}
	if a.Err != nil {
		return config.Head{}, 0, merry.Prepend(a.Err, "read head")
	}
	h, err := config.ParseHead(a.Object.Value)
	return h, a.Object.Version, err
}

// Head returns the committed head.
func (c *Client) Head(ctx context.Context) (config.Head, error) {
	h, _, err := c.head(ctx)
	return h, err
}

// Load returns the committed head and the complete document.
func (c *Client) Load(ctx context.Context) (config.Head, *config.Document, error) {
	h, _, err := c.head(ctx)
	if err != nil {
		return h, nil, err
	}
	doc, err := c.document(ctx, h)
	return h, doc, err
}

func (c *Client) document(ctx context.Context, h config.Head) (*config.Document, error) {
	objects, err := c.objects(ctx, h, nil)
	if err != nil {
		return nil, err
	}
	return objects.JoinAll(h)
}

// objects returns the objects that a head refers to. It reads those that are not in
// have.
func (c *Client) objects(ctx context.Context, h config.Head, have config.Objects) (config.Objects, error) {
	objects := make(config.Objects)
	maps.Copy(objects, have)
	// The empty group stands for the base, which is needed even without services.
	for _, g := range append(h.Groups, config.GroupManifest{}) {
		for {
			missing := objects.Missing(h, g.Group)
			if len(missing) == 0 {
				break
			}
			for _, d := range missing {
				a := c.retry(ctx, objectstore.Call{Op: objectstore.Get, Key: config.ObjectPrefix + d})
				if a.Err != nil {
					return nil, merry.Prependf(a.Err, "read object %s", d)
				}
				if config.Digest(a.Object.Value) != d {
					return nil, merry.Wrap(config.ErrObject, merry.AppendMessagef("%s is corrupted", d))
				}
				objects[d] = a.Object.Value
			}
		}
	}
	return objects, nil
}

// writeObjects writes the objects that are not in known, which holds those that the head
// to be replaced refers to. One that already exists is written again, so that its new
// version keeps a running garbage collection from deleting it.
func (c *Client) writeObjects(ctx context.Context, objects config.Objects, known map[string]bool) error {
	digests := make([]string, 0, len(objects))
	for d := range objects {
		if !known[d] {
			digests = append(digests, d)
		}
	}
	slices.Sort(digests)
	for _, d := range digests {
		if err := c.writeObject(ctx, config.ObjectPrefix+d, objects[d]); err != nil {
			return merry.Prependf(err, "write object %s", d)
		}
	}
	return nil
}

func (c *Client) writeObject(ctx context.Context, key string, value []byte) error {
	for range c.attempts() {
		a := c.retry(ctx, objectstore.Call{Op: objectstore.Create, Key: key, Value: value})
		if !errors.Is(a.Err, objectstore.ErrExists) {
			return a.Err
		}
		a = c.retry(ctx, objectstore.Call{Op: objectstore.Get, Key: key})
		if a.Err == nil {
			a = c.rewrite(ctx, a.Object, value)
		}
		if !errors.Is(a.Err, objectstore.ErrNotFound) {
			return a.Err
		}
		// A garbage collection deleted the object in the meantime.
	}
	return merry.Prependf(objectstore.ErrUnavailable, "%s was deleted by garbage collections during every attempt", key)
}

// rewrite writes an object again to give it a new version. A conflict means that it
// already has one, written by another client or by an earlier attempt of this one whose
// answer was lost; that is a success if the value is the same.
func (c *Client) rewrite(ctx context.Context, o objectstore.Object, value []byte) objectstore.Answer {
	a := c.retry(ctx, objectstore.Call{Op: objectstore.Update, Key: o.Key, Version: o.Version, Value: value})
	if !errors.Is(a.Err, objectstore.ErrConflict) {
		return a
	}
	a = c.retry(ctx, objectstore.Call{Op: objectstore.Get, Key: o.Key})
	if a.Err == nil && (a.Object.Version == o.Version || !bytes.Equal(a.Object.Value, value)) {
		a.Err = objectstore.ErrConflict
	}
	return a
}

// readHistory returns the heads in the history, oldest first, without corrupted ones.
func (c *Client) readHistory(ctx context.Context) ([]config.Head, error) {
	a := c.retry(ctx, objectstore.Call{Op: objectstore.List, Key: config.HistoryPrefix})
	if a.Err != nil {
		return nil, merry.Prepend(a.Err, "read history")
	}
	var out []config.Head
	for _, o := range a.Objects {
		if h, err := config.ParseHead(o.Value); err == nil {
			out = append(out, h)
		}
	}
	return out, nil
}

// History returns the past heads that are kept and the committed one, oldest first.
func (c *Client) History(ctx context.Context) ([]config.Head, error) {
	committed, _, err := c.head(ctx)
	if err != nil {
		return nil, err
	}
	past, err := c.readHistory(ctx)
	if err != nil {
		return nil, err
	}
	past = slices.DeleteFunc(past, func(h config.Head) bool { return h.Generation >= committed.Generation })
	return append(past, committed), nil
}

// Generation returns the head and the document of the committed generation or one in
// the history.
func (c *Client) Generation(ctx context.Context, generation uint64) (config.Head, *config.Document, error) {
	all, err := c.History(ctx)
	if err != nil {
		return config.Head{}, nil, err
	}
	for _, h := range all {
		if h.Generation == generation {
			doc, err := c.document(ctx, h)
			return h, doc, err
		}
	}
	return config.Head{}, nil, merry.Wrap(ErrNoGeneration, merry.AppendMessagef("generation %d", generation))
}

// Rollback commits the document of an earlier generation as a new one.
func (c *Client) Rollback(ctx context.Context, generation uint64, change Change) (config.Head, error) {
	_, doc, err := c.Generation(ctx, generation)
	if err != nil {
		return config.Head{}, err
	}
	return c.Apply(ctx, doc, change)
}

// gcInterval is the number of generations between two garbage collections.
const gcInterval = 64

// listObjectsForGC lists the objects under config.ObjectPrefix with their versions before
// the head is updated, if a garbage collection is due. An object that still has the same
// version after the update is not needed by a concurrent change that can still be
// committed: such a change reads the head after the update, and then writes its objects
// again.
func (c *Client) listObjectsForGC(ctx context.Context, previous config.Head) ([]objectstore.Object, error) {
	if previous.Generation == 0 || previous.Generation%gcInterval != 0 {
		return nil, nil
	}
	a := c.retry(ctx, objectstore.Call{Op: objectstore.List, Key: config.ObjectPrefix})
	if a.Err != nil {
		return nil, merry.Prepend(a.Err, "list objects")
	}
	return a.Objects, nil
}

// collectGarbage deletes the history entries that are no longer kept, and the objects in
// old that no kept generation refers to. Failed deletions, and objects whose references
// cannot be determined from incomplete lists, are left to the next collection.
func (c *Client) collectGarbage(ctx context.Context, head config.Head, old []objectstore.Object) {
	if len(old) == 0 { // no collection is due, or there are no objects
		return
	}
	a := c.retry(ctx, objectstore.Call{Op: objectstore.List, Key: config.HistoryPrefix})
	heads, ok := contiguous(a, head)
	if !ok {
		return
	}
	objects := make(config.Objects)
	for _, o := range old {
		objects[strings.TrimPrefix(o.Key, config.ObjectPrefix)] = o.Value
	}
	keep := c.Keep
	if keep == 0 {
		keep = DefaultKeep
	}
	kept := make(map[string]bool)
	for i, h := range heads {
		if h.Generation+keep < head.Generation {
			o := a.Objects[i]
			c.retry(ctx, objectstore.Call{Op: objectstore.Delete, Key: o.Key, Version: o.Version})
			continue
		}
		if !markReferenced(kept, objects, h) {
			return
		}
	}
	if !markReferenced(kept, objects, head) {
		return
	}
	for _, o := range old {
		if !kept[strings.TrimPrefix(o.Key, config.ObjectPrefix)] {
			c.retry(ctx, objectstore.Call{Op: objectstore.Delete, Key: o.Key, Version: o.Version})
		}
	}
}

// contiguous returns the heads of a listed history. It reports false unless they are
// valid and without a gap up to the given head.
func contiguous(a objectstore.Answer, head config.Head) ([]config.Head, bool) {
	if a.Err != nil {
		return nil, false
	}
	var out []config.Head
	for i, o := range a.Objects {
		h, err := config.ParseHead(o.Value)
		if err != nil || h.Generation+uint64(len(a.Objects)-i) != head.Generation {
			return nil, false
		}
		out = append(out, h)
	}
	return out, true
}

// markReferenced adds to kept the digests of the objects that a head refers to. It
// reports false if some of these objects are not in objects.
func markReferenced(kept map[string]bool, objects config.Objects, h config.Head) bool {
	// The empty group stands for the base, which is needed even without services.
	for _, g := range append(h.Groups, config.GroupManifest{}) {
		if len(objects.Missing(h, g.Group)) > 0 {
			return false
		}
		for _, d := range objects.References(h, g.Group) {
			kept[d] = true
		}
	}
	return true
}
