// Package member decides which hosts are alive, from their heartbeats and from
// what they tell of each other; lists from elsewhere only introduce hosts.
package member

import (
	"encoding/hex"
	"net/netip"
	"time"

	"github.com/cornelbay/cornelbay"
)

// Digest is the start of a configuration's digest, enough to tell two apart.
type Digest [8]byte

// ShortDigest returns the start of a digest in hexadecimal digits; what is no
// such digest is all zero.
func ShortDigest(s string) Digest {
	var d Digest
	if len(s) >= 2*len(d) {
		if _, err := hex.Decode(d[:], []byte(s[:2*len(d)])); err != nil {
			return Digest{}
		}
	}
	return d
}

// State is what a host believes of another.
type State uint8

// The states; among those of one incarnation and counter the higher one holds.
const (
	// Introduced hosts have never been heard of as alive.
	Introduced State = iota
	Alive
	// Suspect hosts are silent and have some time left to refute it.
	Suspect
	// Dead hosts stayed silent.
	Dead
	// Left hosts told of their planned stop.
	Left
)

// Record is a host as it goes over the wire.
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

// Item tells the state of one host.
type Item struct {
	Name        cornelbay.HostName    `cbor:"1,keyasint"`
	Incarnation cornelbay.Incarnation `cbor:"2,keyasint"`
	// Counter is raised by the host itself to refute that it is suspect or dead.
	Counter uint32 `cbor:"3,keyasint,omitempty"`
	State   State  `cbor:"4,keyasint"`
	// Record goes with hosts that the receiver may not know.
	Record *Record `cbor:"5,keyasint,omitempty"`
}

// The sizes of an Item on the wire, in bytes, as the budget counts them.
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

// Heartbeat tells that its sender is alive and what it has in force.
type Heartbeat struct {
	Name        cornelbay.HostName    `cbor:"1,keyasint"`
	Incarnation cornelbay.Incarnation `cbor:"2,keyasint"`
	Counter     uint32                `cbor:"3,keyasint,omitempty"`
	// Generation and Digest are those of the configuration in force.
	Generation uint64 `cbor:"4,keyasint,omitempty"`
	Digest     Digest `cbor:"5,keyasint"`
	// ConfirmedAgeMs is one more than the milliseconds since the platform last
	// confirmed the head of the configuration; 0 is never.
	ConfirmedAgeMs uint32 `cbor:"6,keyasint,omitempty"`
	// Leaving is true during a planned stop.
	Leaving bool `cbor:"7,keyasint,omitempty"`
	// Live is a hash of the hosts that the sender takes as alive.
	Live uint32 `cbor:"8,keyasint"`
	// Record is sent at times, for receivers that do not know the sender.
	Record *Record `cbor:"9,keyasint,omitempty"`
	// Items tell of other hosts.
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

// confirmedAt decodes what confirmedAge encoded; it allows for the time that the
// heartbeat took, so that an age never shrinks as it goes from host to host.
func confirmedAt(now time.Time, age uint32) time.Time {
	if age == 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(age-1)*time.Millisecond - TransitAllowance)
}

const maxAgeMs = 1 << 31

// Leave tells that its sender has finished its planned stop.
type Leave struct {
	Name        cornelbay.HostName    `cbor:"1,keyasint"`
	Incarnation cornelbay.Incarnation `cbor:"2,keyasint"`
}

// Kind returns KindLeave.
func (Leave) Kind() cornelbay.MessageKind { return cornelbay.KindLeave }

// JoinRequest asks for the hosts whose names follow After.
type JoinRequest struct {
	Host    Record             `cbor:"1,keyasint"`
	Counter uint32             `cbor:"2,keyasint,omitempty"`
	After   cornelbay.HostName `cbor:"3,keyasint,omitempty"`
}

// Kind returns KindJoin.
func (JoinRequest) Kind() cornelbay.MessageKind { return cornelbay.KindJoin }

// JoinAnswer lists the live hosts whose names follow After, in order of name.
type JoinAnswer struct {
	After cornelbay.HostName `cbor:"1,keyasint,omitempty"`
	Items []Item             `cbor:"2,keyasint"`
	// More is true when further hosts follow the last one.
	More bool `cbor:"3,keyasint,omitempty"`
	// Settled is true when another host had the same list as the sender lately.
	Settled bool `cbor:"4,keyasint,omitempty"`
}

// Kind returns KindJoinAnswer.
func (JoinAnswer) Kind() cornelbay.MessageKind { return cornelbay.KindJoinAnswer }
