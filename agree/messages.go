package agree

import (
	"cmp"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/assign"
)

// EpochID orders the epochs of a service; a greater ID supersedes a smaller
// one. The Term grows when another host creates an epoch, and the Sequence with
// each further epoch of the same host. A bootstrap epoch has Term 0, no Proposer
// and the configuration generation as its Sequence.
type EpochID struct {
	_        struct{} `cbor:",toarray"`
	Term     uint64
	Sequence uint64
	Proposer cornelbay.HostName
}

// Compare returns a negative number if a comes before b, 0 if they are equal
// and a positive number if a comes after b.
func (a EpochID) Compare(b EpochID) int {
	return cmp.Or(cmp.Compare(a.Term, b.Term), cmp.Compare(a.Sequence, b.Sequence), cmp.Compare(a.Proposer, b.Proposer))
}

// WireShare is the encoded form of a target's share in an epoch.
type WireShare struct {
	_      struct{} `cbor:",toarray"`
	Target cornelbay.TargetName
	Weight int
	// Tunnel is the address of a target that the receiver's configuration may
	// not contain, or empty.
	Tunnel string
}

// Proposal sends an epoch to another host; a large epoch is split into several
// messages.
type Proposal struct {
	Service    cornelbay.ServiceName  `cbor:"1,keyasint"`
	ID         EpochID                `cbor:"2,keyasint"`
	Generation uint64                 `cbor:"3,keyasint"`
	Buckets    int                    `cbor:"4,keyasint"`
	Shares     []WireShare            `cbor:"5,keyasint"`
	Purged     []cornelbay.TargetName `cbor:"6,keyasint,omitempty"`
	Active     bool                   `cbor:"7,keyasint,omitempty"`
	// Base is true when no earlier epoch has flows, so that receivers drop
	// earlier epochs once this one is active.
	Base  bool `cbor:"10,keyasint,omitempty"`
	Part  int  `cbor:"8,keyasint,omitempty"`
	Parts int  `cbor:"9,keyasint,omitempty"`
}

// Kind returns KindProposal.
func (Proposal) Kind() cornelbay.MessageKind { return cornelbay.KindProposal }

// Prepared acknowledges an epoch to its proposer.
type Prepared struct {
	Service cornelbay.ServiceName `cbor:"1,keyasint"`
	ID      EpochID               `cbor:"2,keyasint"`
	Active  bool                  `cbor:"3,keyasint,omitempty"`
}

// Kind returns KindPrepared.
func (Prepared) Kind() cornelbay.MessageKind { return cornelbay.KindPrepared }

// Activate activates an epoch that every live host that decides packets has
// prepared.
type Activate struct {
	Service cornelbay.ServiceName `cbor:"1,keyasint"`
	ID      EpochID               `cbor:"2,keyasint"`
}

// Kind returns KindActivate.
func (Activate) Kind() cornelbay.MessageKind { return cornelbay.KindActivate }

// EpochsRequest asks another host for its epochs.
type EpochsRequest struct{}

// Kind returns KindEpochs.
func (EpochsRequest) Kind() cornelbay.MessageKind { return cornelbay.KindEpochs }

// EpochsAnswer follows the epochs that were sent in answer to EpochsRequest.
type EpochsAnswer struct {
	// Ready is false when the sender does not decide packets yet; it then sends
	// no epochs.
	Ready bool `cbor:"1,keyasint"`
	// Count is the number of epochs that the sender has sent.
	Count int `cbor:"2,keyasint"`
	// Live is a hash of the names of the hosts that the sender sees as live.
	Live uint64 `cbor:"3,keyasint"`
}

// Kind returns KindEpochsAnswer.
func (EpochsAnswer) Kind() cornelbay.MessageKind { return cornelbay.KindEpochsAnswer }

// Serving announces that the sender decides packets.
type Serving struct {
	// Sum is a hash of the ID and the active flag of the sender's newest epoch
	// of each service.
	Sum uint64 `cbor:"1,keyasint"`
	// Ack is true in the acknowledgement.
	Ack bool `cbor:"2,keyasint,omitempty"`
}

// Kind returns KindServing.
func (Serving) Kind() cornelbay.MessageKind { return cornelbay.KindServing }

// Clear tells the proposer that the sender has seen no packet of a flow from an
// epoch before the given one for the whole idle time.
type Clear struct {
	Service cornelbay.ServiceName `cbor:"1,keyasint"`
	ID      EpochID               `cbor:"2,keyasint"`
}

// Kind returns KindClear.
func (Clear) Kind() cornelbay.MessageKind { return cornelbay.KindClear }

// Digest lets hosts detect that their newest epochs differ.
type Digest struct {
	// Sum is the same hash as in Serving.
	Sum uint64 `cbor:"1,keyasint"`
	// Answer is true in a reply; the receiver sends its epochs if they differ,
	// but no further Digest.
	Answer bool `cbor:"2,keyasint,omitempty"`
}

// Kind returns KindDigest.
func (Digest) Kind() cornelbay.MessageKind { return cornelbay.KindDigest }

// Records sends flow records to another host. Flows holds nine bytes per flow:
// the eight bytes of its fingerprint and one byte with the index of its target
// in Targets.
type Records struct {
	Targets []cornelbay.TargetName `cbor:"1,keyasint"`
	Flows   []byte                 `cbor:"2,keyasint"`
}

// Kind returns KindRecords.
func (Records) Kind() cornelbay.MessageKind { return cornelbay.KindRecords }

// maxShareBytes limits the encoded size of the shares in one message.
const maxShareBytes = 1000

func (p Proposal) split() []Proposal {
	var parts [][]WireShare
	size, from := 0, 0
	for i, s := range p.Shares {
		// The weight and the encoding are assumed to take 10 bytes.
		n := len(s.Target) + len(s.Tunnel) + 10
		if size+n > maxShareBytes {
			parts = append(parts, p.Shares[from:i])
			size, from = 0, i
		}
		size += n
	}
	parts = append(parts, p.Shares[from:])
	if len(parts) == 1 {
		return []Proposal{p}
	}
	out := make([]Proposal, len(parts))
	for i, shares := range parts {
		out[i] = p
		out[i].Shares, out[i].Part, out[i].Parts = shares, i, len(parts)
	}
	return out
}

func toWire(shares []assign.Share, tunnel func(cornelbay.TargetName) string) []WireShare {
	out := make([]WireShare, len(shares))
	for i, s := range shares {
		out[i] = WireShare{Target: s.Target, Weight: s.Weight, Tunnel: tunnel(s.Target)}
	}
	return out
}
