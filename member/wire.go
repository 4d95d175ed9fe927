// Package member implements group membership: it detects live and failed hosts from
// heartbeats and from the states that hosts gossip about each other. Host lists from
// other sources only introduce hosts and never decide whether one is alive.
package member

import (
	"encoding/hex"
	"net/netip"
	"time"

	"github.com/cornelbay/cornelbay"
)

// DigestPrefix is a prefix of a configuration's digest, long enough to tell two
// configurations apart.
type DigestPrefix [8]byte

// ShortDigest returns the prefix of a hexadecimal digest, or zero if s does not start
// with one.
func ShortDigest(s string) DigestPrefix {
	var d DigestPrefix
	if len(s) >= 2*len(d) {
		if _, err := hex.Decode(d[:], []byte(s[:2*len(d)])); err != nil {
			return DigestPrefix{}
		}
	}
	return d
}

// State is the state of a host in another host's view.
type State uint8

// The states. Among updates of one incarnation Left takes precedence whatever the
// counter, then the higher counter, and for the same counter the higher state.
const (
	// Introduced hosts have not been reported alive yet.
	Introduced State = iota
	Alive
	// Suspect hosts are silent but may still refute the suspicion.
	Suspect
	// Dead hosts did not refute the suspicion in time.
	Dead
	// Left hosts announced their planned stop.
	Left
)

// Record is the wire format of a host.
type Record struct {
	Name        cornelbay.HostName       `cbor:"1,keyasint"`
	DataCentre  cornelbay.DataCentreName `cbor:"2,keyasint"`
	Incarnation cornelbay.Incarnation    `cbor:"3,keyasint"`
	Fabric      netip.AddrPort           `cbor:"4,keyasint"`
	Datagram    netip.AddrPort           `cbor:"5,keyasint"`
	RPC         netip.AddrPort           `cbor:"6,keyasint"`
	HTTP        netip.AddrPort           `cbor:"7,keyasint"`
	Admin       netip.AddrPort           `cbor:"8,keyasint"`
}

// Item is a membership update: the state of one host.
type Item struct {
	Name        cornelbay.HostName    `cbor:"1,keyasint"`
	Incarnation cornelbay.Incarnation `cbor:"2,keyasint"`
	// Counter is raised only by the host itself, to refute that it is suspect or dead.
	Counter uint32 `cbor:"3,keyasint,omitempty"`
	State   State  `cbor:"4,keyasint"`
	// Record is included for hosts that the receiver may not know.
	Record *Record `cbor:"5,keyasint,omitempty"`
}

// Estimated encoded sizes in bytes, used for the gossip budget.
const (
	itemBytes   = 30
	recordBytes = 85
)

func (i Item) size() int {
	if i.Record == nil {
		return itemBytes
	}
	return itemBytes + recordBytes
}

// Heartbeat reports that its sender is alive and which configuration it has in force.
type Heartbeat struct {
	Name        cornelbay.HostName    `cbor:"1,keyasint"`
	Incarnation cornelbay.Incarnation `cbor:"2,keyasint"`
	Counter     uint32                `cbor:"3,keyasint,omitempty"`
	// Generation and Digest identify the configuration in force.
	Generation uint64       `cbor:"4,keyasint,omitempty"`
	Digest     DigestPrefix `cbor:"5,keyasint"`
	// ConfirmedAgeMs is the number of milliseconds since the platform last confirmed
	// the head of the configuration, plus one; 0 means never. confirmedAge encodes it and
	// confirmedAt decodes it. In package configsync a field of this name is the age
	// itself, at least 1, and 0 means never there too.
	ConfirmedAgeMs uint32 `cbor:"6,keyasint,omitempty"`
	// Leaving is true during a planned stop.
	Leaving bool `cbor:"7,keyasint,omitempty"`
	// Live is a hash of the sender's live hosts.
	Live uint32 `cbor:"8,keyasint"`
	// Record is included periodically, and for receivers that may not know the sender.
	Record *Record `cbor:"9,keyasint,omitempty"`
	// Items are piggybacked membership updates.
	Items []Item `cbor:"10,keyasint,omitempty"`
}

// Kind returns KindHeartbeat.
func (Heartbeat) Kind() cornelbay.MessageKind { return cornelbay.KindHeartbeat }

// confirmedAge encodes the time of the last confirmation for a heartbeat.
func confirmedAge(now, at time.Time) uint32 {
	if at.IsZero() {
		return 0
	}
	return uint32(min(max(now.Sub(at).Milliseconds(), 0), maxAgeMs)) + 1
}

// confirmedAt decodes the result of confirmedAge. It adds TransitAllowance for the
// transit time, so that the age does not shrink as it passes from host to host.
func confirmedAt(now time.Time, age uint32) time.Time {
	if age == 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(age-1)*time.Millisecond - TransitAllowance)
}

const maxAgeMs = 1 << 31

// Leave announces that its sender has finished its planned stop.
type Leave struct {
	Name        cornelbay.HostName    `cbor:"1,keyasint"`
	Incarnation cornelbay.Incarnation `cbor:"2,keyasint"`
}

// Kind returns KindLeave.
func (Leave) Kind() cornelbay.MessageKind { return cornelbay.KindLeave }

// JoinRequest asks for a page of the member list: the hosts with names after After.
type JoinRequest struct {
	Host    Record             `cbor:"1,keyasint"`
	Counter uint32             `cbor:"2,keyasint,omitempty"`
	After   cornelbay.HostName `cbor:"3,keyasint,omitempty"`
}

// Kind returns KindJoin.
func (JoinRequest) Kind() cornelbay.MessageKind { return cornelbay.KindJoin }

// JoinAnswer is a page of the member list: live hosts with names after After, ordered
// by name.
type JoinAnswer struct {
	After cornelbay.HostName `cbor:"1,keyasint,omitempty"`
	Items []Item             `cbor:"2,keyasint"`
	// More is true when the list continues after this page.
	More bool `cbor:"3,keyasint,omitempty"`
	// Settled is true when another host recently reported the same list as the sender.
	Settled bool `cbor:"4,keyasint,omitempty"`
}

// Kind returns KindJoinAnswer.
func (JoinAnswer) Kind() cornelbay.MessageKind { return cornelbay.KindJoinAnswer }
