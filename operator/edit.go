package operator

import (
	"context"

	"github.com/ansel1/merry/v2"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/config"
)

// The errors of edits.
var (
	ErrNoTarget     = merry.New("no such target")
	ErrNoDataCentre = merry.New("no such data centre")
	// ErrNoChange tells that the document says already what the edit wants.
	ErrNoChange = merry.New("nothing to change")
)

// SetDrain commits that a target drains, or does not any more.
func SetDrain(ctx context.Context, c *Client, name cornelbay.TargetName, drain bool, change Change) (config.Head, error) {
	return c.Edit(ctx, change, func(doc *config.Document) error {
		for _, s := range doc.Services {
			for i := range s.Targets {
				if t := &s.Targets[i]; t.Name == name {
					return set(&t.Drain, drain, string(name))
				}
			}
		}
		return merry.Wrap(ErrNoTarget, merry.AppendMessage(string(name)))
	})
}

// SetDataCentre commits that a data centre is out, or in again.
func SetDataCentre(ctx context.Context, c *Client, name cornelbay.DataCentreName, out bool, change Change) (config.Head, error) {
	return c.Edit(ctx, change, func(doc *config.Document) error {
		for i := range doc.DataCentres {
			if dc := &doc.DataCentres[i]; dc.Name == name {
				return set(&dc.Out, out, string(name))
			}
		}
		return merry.Wrap(ErrNoDataCentre, merry.AppendMessage(string(name)))
	})
}

func set(field *bool, v bool, name string) error {
	if *field == v {
		return merry.Wrap(ErrNoChange, merry.AppendMessage(name))
	}
	*field = v
	return nil
}
