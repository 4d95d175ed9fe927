package peer

import (
	"errors"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/cornelbay/cornelbay"
)

// testMessage has a kind for which no package registers a message type.
type testMessage struct{ Text string }

func (testMessage) Kind() cornelbay.MessageKind { return cornelbay.KindNotice }

func TestCodecRefuses(t *testing.T) {
	is := is.New(t)
	Register(testMessage{})
	older, newer := []byte("older key"), []byte("newer key")
	a := Codec{Self: "a", Incarnation: 2, Keys: [][]byte{older}}
	b := Codec{Self: "b", Incarnation: 1, Keys: [][]byte{newer, older}}
	var sealed [][]byte
	for range 100 {
		d, err := a.Seal(testMessage{"x"})
		is.NoErr(err)
		sealed = append(sealed, d)
	}
	open := func(d []byte) error {
		_, _, err := b.Open(d)
		return err
	}
	is.NoErr(open(sealed[0]))  // sealed with the second of b's keys
	is.NoErr(open(sealed[99])) // a gap in the sequence numbers
	is.NoErr(open(sealed[60])) // out of order
	err := open(sealed[60])
	is.True(errors.Is(err, ErrReplay) && !errors.Is(err, ErrEarlier))
	is.True(errors.Is(open(sealed[0]), ErrReplay))
	is.True(errors.Is(open(sealed[10]), ErrReplay)) // too old for the replay window
	for i := range sealed[50] {
		d := slices.Clone(sealed[50])
		d[i] ^= 1
		is.True(errors.Is(open(d), ErrMAC)) // the MAC covers every byte
	}
	earlier := Codec{Self: "a", Incarnation: 1, Keys: a.Keys}
	d, err := earlier.Seal(testMessage{"x"})
	is.NoErr(err)
	err = open(d)
	is.True(errors.Is(err, ErrReplay))
	is.True(errors.Is(err, ErrEarlier))
	is.True(errors.Is(open(nil), ErrMalformed))
	is.Equal(b.Refused, Refusals{MAC: uint64(len(sealed[50])), Malformed: 1, Replay: 4})
	b.Keys = [][]byte{newer} // the older key is removed
	is.True(errors.Is(open(sealed[70]), ErrMAC))
}
