package operator

import (
	"testing"

	"github.com/matryer/is"

	"github.com/cornelbay/cornelbay/platform"
)

// TestApplyReadsWhatChanged bounds the calls of a change to what it changes.
func TestApplyReadsWhatChanged(t *testing.T) {
	is := is.New(t)
	doc := agence(t)
	m := &platform.Memory{}
	var calls [platform.Watch + 1]int
	c := &Client{Sleep: noSleep, Service: &hooked{Service: m, before: func(call platform.Call) { calls[call.Op]++ }}}
	_, err := c.Apply(t.Context(), doc, Change{})
	is.NoErr(err)
	clear(calls[:])
	_, err = c.Apply(t.Context(), latency(doc, 9), Change{})
	is.NoErr(err)
	is.Equal(calls[platform.Get], 3)    // the head, the manifest and the shard that change
	is.Equal(calls[platform.Create], 3) // the history, the new manifest and the new shard
	is.Equal(calls[platform.Update], 1) // the head
	is.Equal(calls[platform.List], 0)
}
