package operator

import (
	"testing"

	"github.com/matryer/is"

	"github.com/cornelbay/cornelbay/objectstore"
)

// TestApplyAccessesOnlyChangedObjects checks that Apply reads and writes only the
// objects that a change affects.
func TestApplyAccessesOnlyChangedObjects(t *testing.T) {
	is := is.New(t)
	doc := agence(t)
	m := &objectstore.Memory{}
	var calls [objectstore.Watch + 1]int
	c := &Client{Sleep: noSleep, Service: &hookedService{Store: m, before: func(call objectstore.Call) { calls[call.Op]++ }}}
	_, err := c.Apply(t.Context(), doc, Change{})
	is.NoErr(err)
	clear(calls[:])
	_, err = c.Apply(t.Context(), latency(doc, 9), Change{})
	is.NoErr(err)
	is.Equal(calls[objectstore.Get], 3)    // the head, the changed manifest and the changed shard
	is.Equal(calls[objectstore.Create], 3) // the history entry, the new manifest and the new shard
	is.Equal(calls[objectstore.Update], 1) // the head
	is.Equal(calls[objectstore.List], 0)
}
