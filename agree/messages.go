package agree

import (
	"cmp"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/assign"
)

// EpochID orders the epochs of a service; the greater one supersedes.
type EpochID struct {
	_        struct{} `cbor:",toarray"`
	Term     uint64
	Sequence uint64
	Proposer cornelbay.HostName
}

// Compare returns a negative number when a comes before b, 0 when they are one.
func (a EpochID) Compare(b EpochID) int {
	return cmp.Or(cmp.Compare(a.Term, b.Term), cmp.Compare(a.Sequence, b.Sequence), cmp.Compare(a.Proposer, b.Proposer))
}

// WireShare is a share of an epoch in a message.
type WireShare struct {
	_      struct{} `cbor:",toarray"`
	Target cornelbay.TargetName
	Weight int
	// Tunnel is the address of a target that the document no longer has.
	Tunnel string
}

// Proposal tells another host of an epoch; large ones come in parts.
type Proposal struct {
	Service    cornelbay.ServiceName  `cbor:"1,keyasint"`
	ID         EpochID                `cbor:"2,keyasint"`
	Generation uint64                 `cbor:"3,keyasint"`
	Buckets    int                    `cbor:"4,keyasint"`
	Shares     []WireShare            `cbor:"5,keyasint"`
	Purged     []cornelbay.TargetName `cbor:"6,keyasint,omitempty"`
	Active     bool                   `cbor:"7,keyasint,omitempty"`
	// Base ends the history: no earlier epoch has flows.
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

// Activate puts an epoch that every host has prepared into force.
type Activate struct {
	Service cornelbay.ServiceName `cbor:"1,keyasint"`
	ID      EpochID               `cbor:"2,keyasint"`
}

// Kind returns KindActivate.
func (Activate) Kind() cornelbay.MessageKind { return cornelbay.KindActivate }

// Epochs asks another host for its epochs.
type Epochs struct{}

// Kind returns KindEpochs.
func (Epochs) Kind() cornelbay.MessageKind { return cornelbay.KindEpochs }

// EpochsAnswer ends the epochs that answer a request for Epochs.
type EpochsAnswer struct {
	// Ready is false when the sender has no epochs of its own yet.
	Ready bool `cbor:"1,keyasint"`
	// Count is the number of epochs that were sent.
	Count int `cbor:"2,keyasint"`
	// Live is a hash of the hosts that the sender knows as alive.
	Live uint64 `cbor:"3,keyasint"`
}

// Kind returns KindEpochsAnswer.
func (EpochsAnswer) Kind() cornelbay.MessageKind { return cornelbay.KindEpochsAnswer }

// Serving tells another host that the sender decides packets, by epochs with the
// given hash.
type Serving struct {
	Sum uint64 `cbor:"1,keyasint"`
	// Ack is true in the acknowledgement.
	Ack bool `cbor:"2,keyasint,omitempty"`
}

// Kind returns KindServing.
func (Serving) Kind() cornelbay.MessageKind { return cornelbay.KindServing }

// Clear tells the proposer that the sender has seen no flow of an epoch before
// the given one for the whole idle time.
type Clear struct {
	Service cornelbay.ServiceName `cbor:"1,keyasint"`
	ID      EpochID               `cbor:"2,keyasint"`
}

// Kind returns KindClear.
func (Clear) Kind() cornelbay.MessageKind { return cornelbay.KindClear }

// Digest lets two hosts notice that their epochs differ.
type Digest struct {
	Sum uint64 `cbor:"1,keyasint"`
	// Answer is true when the receiver shall not answer with its own epochs.
	Answer bool `cbor:"2,keyasint,omitempty"`
}

// Kind returns KindDigest.
func (Digest) Kind() cornelbay.MessageKind { return cornelbay.KindDigest }

// Records hands on the targets of flows of one service: for each flow the eight
// bytes of its fingerprint and one byte for the index of its target.
type Records struct {
	Targets []cornelbay.TargetName `cbor:"1,keyasint"`
	Flows   []byte                 `cbor:"2,keyasint"`
}

// Kind returns KindRecords.
func (Records) Kind() cornelbay.MessageKind { return cornelbay.KindRecords }

// maxShareBytes bounds the shares of one message.
const maxShareBytes = 1000

func (p Proposal) split() []Proposal {
	var parts [][]WireShare
	size, from := 0, 0
	for i, s := range p.Shares {
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
