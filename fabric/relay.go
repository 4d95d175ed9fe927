package fabric

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"

	"github.com/ansel1/merry/v2"
	"github.com/dchest/siphash"

	"github.com/cornelbay/cornelbay"
)

// The Geneve options that go with a relayed packet; their class is one of the
// experimental ones of RFC 8926.
const (
	relayClass = 0xffcb
	// typeRelay carries MAC, hops, a zero byte, and the relaying host's name.
	typeRelay = typeCritical | 1
	// typeChoice carries the name of the chosen target, if there is one.
	typeChoice = typeCritical | 2
)

const macBytes = 16

// The longest names that fit the options.
const (
	MaxHostNameBytes   = lengthMask*4 - macBytes - 3
	MaxTargetNameBytes = lengthMask*4 - 1
)

// ErrNameTooLong is the error of a relay header whose names do not fit.
var ErrNameTooLong = merry.New("name does not fit the relay options")

// RelayKeys authenticate relayed packets: the first seals, any opens.
type RelayKeys struct {
	keys [][2]uint64
}

// NewRelayKeys derives the keys of relayed packets from the hosts' shared keys.
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

// AppendRelay appends the Geneve datagram that relays the IP packet inner to
// another host with h.
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
	dst = endOption(dst, at)
	if h.Choice != "" {
		at = len(dst)
		dst = binary.BigEndian.AppendUint16(dst, relayClass)
		dst = append(dst, typeChoice, 0, byte(len(h.Choice)))
		dst = append(dst, h.Choice...)
		dst = endOption(dst, at)
	}
	dst[start] = byte((len(dst) - start - HeaderBytes) / 4)
	dst = append(dst, inner...)
	sum := mac(k.keys[0], dst[start:])
	copy(dst[start+HeaderBytes+optionHeaderBytes:], sum[:])
	return dst, nil
}

// endOption pads the option that starts at at and sets its length.
func endOption(dst []byte, at int) []byte {
	for (len(dst)-at)%4 != 0 {
		dst = append(dst, 0)
	}
	dst[at+3] = byte((len(dst) - at - optionHeaderBytes) / 4)
	return dst
}

// relayOptions is what the options of a datagram tell, as slices of it.
type relayOptions struct {
	relay, choice []byte
}

func (o *relayOptions) present() bool { return o.relay != nil || o.choice != nil }

// read walks the options between the fixed header of b and n.
func (o *relayOptions) read(b []byte, n int) cornelbay.DropReason {
	for at := HeaderBytes; at < n; {
		if at+optionHeaderBytes > n {
			return cornelbay.Malformed
		}
		end := at + optionHeaderBytes + int(b[at+3]&lengthMask)*4
		if end > n {
			return cornelbay.Malformed
		}
		if r := o.option(binary.BigEndian.Uint16(b[at:]), b[at+2], b[at+optionHeaderBytes:end]); r != cornelbay.NotDropped {
			return r
		}
		at = end
	}
	if b[1]&flagCritical != 0 && !o.present() {
		return cornelbay.CriticalOption
	}
	return cornelbay.NotDropped
}

func (o *relayOptions) option(class uint16, kind byte, data []byte) cornelbay.DropReason {
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

// relayed checks the MAC of the relayed datagram b and fills pk.Relay.
func (d *Decoder) relayed(b []byte, o *relayOptions, pk *cornelbay.Packet) cornelbay.DropReason {
	if o.relay == nil {
		return cornelbay.Malformed
	}
	if d.Keys == nil || !d.Keys.valid(b, o.relay[:macBytes]) {
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

// valid checks sum, which is a part of b, against the rest of b. It leaves b
// as it was.
func (k *RelayKeys) valid(b, sum []byte) bool {
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

const maxNames = 4096

// names keeps one string for each name, so that a packet allocates none.
type names struct {
	known map[string]string
}

func (n *names) intern(b []byte) string {
	if s, ok := n.known[string(b)]; ok {
		return s
	}
	if n.known == nil || len(n.known) >= maxNames {
		n.known = make(map[string]string)
	}
	s := string(b)
	n.known[s] = s
	return s
}
