// Package operator holds what operators do to a deployment: they commit
// documents and read what is in force.
package operator

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/ansel1/merry/v2"

	"github.com/cornelbay/cornelbay/config"
	"github.com/cornelbay/cornelbay/platform"
)

// Change describes one change of the document.
type Change struct {
	// ID makes a repeated Apply one change.
	ID             string
	Author, Reason string
}

// Apply commits doc as the next generation and returns its head.
func Apply(ctx context.Context, s platform.Service, doc *config.Document, c Change) (config.Head, error) {
	b, err := doc.Canonical()
	if err != nil {
		return config.Head{}, err
	}
	digest := config.Digest(b)
	shard := platform.Call{Op: platform.Create, Key: config.ShardPrefix + digest, Value: b}
	if a := s.Do(ctx, shard); a.Err != nil && !errors.Is(a.Err, platform.ErrExists) {
		return config.Head{}, merry.Prepend(a.Err, "write document")
	}
	old := s.Do(ctx, platform.Call{Op: platform.Get, Key: config.HeadKey})
	if old.Err != nil && !errors.Is(old.Err, platform.ErrNotFound) {
		return config.Head{}, merry.Prepend(old.Err, "read head")
	}
	var h config.Head
	call := platform.Call{Op: platform.Create, Key: config.HeadKey}
	if old.Err == nil {
		if err := json.Unmarshal(old.Object.Value, &h); err != nil {
			return config.Head{}, merry.Prepend(err, "head")
		}
		call.Op, call.Version = platform.Update, old.Object.Version
	}
	h = config.Head{Generation: h.Generation + 1, Digest: digest, Change: c.ID, Author: c.Author, Reason: c.Reason, Previous: h.Digest}
	if call.Value, err = json.Marshal(h); err != nil {
		return config.Head{}, merry.Prepend(err, "head")
	}
	if a := s.Do(ctx, call); a.Err != nil {
		return config.Head{}, merry.Prepend(a.Err, "write head")
	}
	return h, nil
}
