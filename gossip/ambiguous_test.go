package gossip

import (
	"net/netip"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
)

// TestAmbiguousFlowOfEarlierVersionIsReadable guards against hosts of two versions that don't
// understand which target has a flow while they run side by side.
func TestAmbiguousFlowOfEarlierVersionIsReadable(t *testing.T) {
	is := is.New(t)
	type earlier struct {
		Source      netip.AddrPort `cbor:"1,keyasint"`
		Destination netip.AddrPort `cbor:"2,keyasint"`
		Tried       []uint32       `cbor:"3,keyasint"`
		Chosen      uint32         `cbor:"4,keyasint,omitempty"`
	}
	from, to := netip.MustParseAddrPort("100.64.0.7:40001"), netip.MustParseAddrPort("198.18.0.1:443")
	b, err := cbor.Marshal(AmbiguousFlow{Source: from, Destination: to, Tried: []uint32{1, 2}, Chosen: 2, ChosenMsAgo: 1500})
	is.NoErr(err)
	var old earlier
	is.NoErr(cbor.Unmarshal(b, &old))
	is.Equal(old, earlier{from, to, []uint32{1, 2}, 2})
	b, err = cbor.Marshal(old)
	is.NoErr(err)
	var now AmbiguousFlow
	is.NoErr(cbor.Unmarshal(b, &now))
	is.Equal(now, AmbiguousFlow{Source: from, Destination: to, Tried: []uint32{1, 2}, Chosen: 2})
}
