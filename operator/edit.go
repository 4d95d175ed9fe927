package operator

import (
	"context"

	"github.com/ansel1/merry/v2"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/config"
)

// Errors of edits.
var (
	ErrNoTarget     = merry.New("no such target")
	ErrNoDataCentre = merry.New("no such data centre")
	// ErrNoChange is returned when the document already has the requested value.
	ErrNoChange = merry.New("nothing to change")
)

// SetDrain commits a change that starts or stops draining a target.
func SetDrain(ctx context.Context, c *Client, name cornelbay.TargetName, drain bool, change Change) (config.Head, error) {
	return c.Edit(ctx, change, func(doc *config.Document) error {
		for _, s := range doc.Services {
			for i := range s.Targets {
				if t := &s.Targets[i]; t.Name == name {
					return setFlag(&t.Drain, drain, string(name))
				}
			}
		}
		return merry.Wrap(ErrNoTarget, merry.AppendMessage(string(name)))
	})
}

// SetDataCentreOut commits a change that takes a data centre out or back in.
func SetDataCentreOut(ctx context.Context, c *Client, name cornelbay.DataCentreName, out bool, change Change) (config.Head, error) {
	return c.Edit(ctx, change, func(doc *config.Document) error {
		for i := range doc.DataCentres {
			if dc := &doc.DataCentres[i]; dc.Name == name {
				return setFlag(&dc.Out, out, string(name))
			}
		}
		return merry.Wrap(ErrNoDataCentre, merry.AppendMessage(string(name)))
	})
}

func setFlag(field *bool, v bool, name string) error {
	if *field == v {
		return merry.Wrap(ErrNoChange, merry.AppendMessage(name))
	}
	*field = v
	return nil
}
