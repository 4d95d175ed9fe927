package fabric

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"

	"github.com/ansel1/merry/v2"
	"github.com/dchest/siphash"

	"github.com/cornelbay/cornelbay"
)

// The Geneve options of a relayed packet. Their class is in the experimental range
// of RFC 8926.
const (
	relayClass = 0xffcb
	// typeRelay carries the MAC, the hop count, a zero byte, and the length and the
	// bytes of the name of the relaying host.
	typeRelay = typeCritical | 1
	// typeChoice carries the length and the bytes of the name of the chosen target; it
	// is left out if no target was chosen.
	typeChoice = typeCritical | 2
)

const macBytes = 16

// The maximum lengths of the names in the options. Besides the name, typeRelay holds
// the MAC and 3 bytes (the hop count, a zero byte and the length of the name), and
// typeChoice 1 byte, the length of the name.
const (
	MaxHostNameBytes   = lengthMask*4 - macBytes - 3
	MaxTargetNameBytes = lengthMask*4 - 1
)

// ErrNameTooLong reports a relay header with a name that does not fit its option.
var ErrNameTooLong = merry.New("name is too long for the relay options")

// RelayKeys authenticate relayed packets: the first key signs, any key verifies.
type RelayKeys struct {
	keys [][2]uint64
}

// NewRelayKeys derives the keys for relayed packets from the keys that the hosts
// share.
func NewRelayKeys(keys ...[]byte) *RelayKeys {
	k := &RelayKeys{}
	for _, key := range keys {
		sum := sha256.Sum256(append([]byte("cornelbay relay\x00"), key...))
		k.keys = append(k.keys, [2]uint64{
			binary.BigEndian.Uint64(sum[:]), binary.BigEndian.Uint64(sum[8:]),
		})
	}
	return k
}

func mac(key [2]uint64, b []byte) [macBytes]byte {
	var out [macBytes]byte
	hi, lo := siphash.Hash128(key[0], key[1], b)
	binary.BigEndian.PutUint64(out[:], hi)
	binary.BigEndian.PutUint64(out[8:], lo)
	return out
}

// AppendRelay appends the signed Geneve datagram that relays the IP packet inner
// with the header h to another host. It panics if k has no keys.
func (k *RelayKeys) AppendRelay(dst, inner []byte, h cornelbay.RelayHeader) ([]byte, error) {
	if len(h.From) > MaxHostNameBytes || len(h.Choice) > MaxTargetNameBytes {
		return dst, ErrNameTooLong
	}
	start := len(dst)
	dst = AppendHeader(dst, inner)
	dst[start+1] |= flagCritical
	at := len(dst)
	dst = binary.BigEndian.AppendUint16(dst, relayClass)
	dst = append(dst, typeRelay, 0)
	var zero [macBytes]byte
	dst = append(dst, zero[:]...)
	dst = append(dst, h.Hops, 0, byte(len(h.From)))
	dst = append(dst, h.From...)
	dst = finishOption(dst, at)
	if h.Choice != "" {
		at = len(dst)
		dst = binary.BigEndian.AppendUint16(dst, relayClass)
		dst = append(dst, typeChoice, 0, byte(len(h.Choice)))
		dst = append(dst, h.Choice...)
		dst = finishOption(dst, at)
	}
	dst[start] = byte((len(dst) - start - HeaderBytes) / 4)
	dst = append(dst, inner...)
	sum := mac(k.keys[0], dst[start:])
	copy(dst[start+HeaderBytes+optionHeaderBytes:], sum[:])
	return dst, nil
}

// finishOption pads the option that begins at start and sets its length.
func finishOption(dst []byte, start int) []byte {
	for (len(dst)-start)%4 != 0 {
		dst = append(dst, 0)
	}
	dst[start+3] = byte((len(dst) - start - optionHeaderBytes) / 4)
	return dst
}

// relayOptions holds the data of the relay options as slices of the datagram.
type relayOptions struct {
	relay, choice []byte
}

func (o *relayOptions) present() bool { return o.relay != nil || o.choice != nil }

// parse parses the options of b, which end at n.
func (o *relayOptions) parse(b []byte, n int) cornelbay.DropReason {
	for at := HeaderBytes; at < n; {
		if at+optionHeaderBytes > n {
			return cornelbay.Malformed
		}
		end := at + optionHeaderBytes + int(b[at+3]&lengthMask)*4
		if end > n {
			return cornelbay.Malformed
		}
		if r := o.parseOption(binary.BigEndian.Uint16(b[at:]), b[at+2], b[at+optionHeaderBytes:end]); r != cornelbay.NotDropped {
			return r
		}
		at = end
	}
	if b[1]&flagCritical != 0 && !o.present() {
		return cornelbay.CriticalOption
	}
	return cornelbay.NotDropped
}

func (o *relayOptions) parseOption(class uint16, kind byte, data []byte) cornelbay.DropReason {
	switch {
	case class == relayClass && kind == typeRelay && o.relay == nil && len(data) > macBytes+2:
		o.relay = data
	case class == relayClass && kind == typeChoice && o.choice == nil && len(data) > 0:
		o.choice = data
	case class == relayClass:
		return cornelbay.Malformed
	case kind&typeCritical != 0:
		return cornelbay.CriticalOption
	}
	return cornelbay.NotDropped
}

// decodeRelay verifies the MAC of the relayed datagram b and sets pk.Relay. The name of
// the relaying host follows the MAC, the hop count and a zero byte, and is preceded by
// its length.
func (d *Decoder) decodeRelay(b []byte, o *relayOptions, pk *cornelbay.Packet) cornelbay.DropReason {
	if o.relay == nil {
		return cornelbay.Malformed
	}
	if d.Keys == nil || !d.Keys.verify(b, o.relay[:macBytes]) {
		return cornelbay.Forged
	}
	hops, from := o.relay[macBytes], o.relay[macBytes+2:]
	if hops == 0 || int(from[0]) >= len(from) {
		return cornelbay.Malformed
	}
	pk.Relay.Hops = hops
	pk.Relay.From = cornelbay.HostName(d.names.intern(from[1 : 1+from[0]]))
	if o.choice == nil {
		return cornelbay.NotDropped
	}
	if int(o.choice[0]) >= len(o.choice) {
		return cornelbay.Malformed
	}
	pk.Relay.Choice = cornelbay.TargetName(d.names.intern(o.choice[1 : 1+o.choice[0]]))
	return cornelbay.NotDropped
}

// verify reports whether sum, a slice of b, is the MAC of b under one of the keys.
// The MAC is computed with sum zeroed; b is restored afterwards.
func (k *RelayKeys) verify(b, sum []byte) bool {
	var got [macBytes]byte
	copy(got[:], sum)
	clear(sum)
	defer copy(sum, got[:])
	for _, key := range k.keys {
		want := mac(key, b)
		if subtle.ConstantTimeCompare(want[:], got[:]) == 1 {
			return true
		}
	}
	return false
}

// maxInternedNames limits the interned names; a full table is cleared.
const maxInternedNames = 4096

// nameTable interns names, so that decoding a packet allocates no strings.
type nameTable struct {
	interned map[string]string
}

func (n *nameTable) intern(b []byte) string {
	if s, ok := n.interned[string(b)]; ok {
		return s
	}
	if n.interned == nil || len(n.interned) >= maxInternedNames {
		n.interned = make(map[string]string)
	}
	s := string(b)
	n.interned[s] = s
	return s
}
