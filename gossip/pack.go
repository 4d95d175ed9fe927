package gossip

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"
)

const (
	// packThreshold is the encoded size in bytes from which a reply is compressed.
	packThreshold = 4 << 10
	// maxUnpackedBytes limits the decompressed size of a reply.
	maxUnpackedBytes = 64 << 20
)

// Pack returns the reply with its tables compressed, or as it is if they are small. A
// configuration of a thousand routes shrinks to about a tenth, which matters to a host that
// many others pull from over its link.
func (r PullReply) Pack() (PullReply, error) {
	b, err := cbor.Marshal(r)
	if err != nil {
		return r, merry.Prepend(err, "encode pull reply")
	}
	if len(b) < packThreshold {
		return r, nil
	}
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return r, merry.Prepend(err, "compress pull reply")
	}
	if _, err := w.Write(b); err != nil {
		return r, merry.Prepend(err, "compress pull reply")
	}
	if err := w.Close(); err != nil {
		return r, merry.Prepend(err, "compress pull reply")
	}
	return PullReply{Packed: packed.Bytes(), Ages: r.Ages, Incarnation: r.Incarnation}, nil
}

// Unpack returns the reply with its tables decompressed.
func (r PullReply) Unpack() (PullReply, error) {
	if len(r.Packed) == 0 {
		return r, nil
	}
	b, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(r.Packed)), maxUnpackedBytes))
	if err != nil {
		return r, merry.Prepend(err, "decompress pull reply")
	}
	var tables PullReply
	if err := cbor.Unmarshal(b, &tables); err != nil {
		return r, merry.Prepend(err, "decode pull reply")
	}
	// The packed tables may have been kept for a while.
	tables.Ages, tables.Incarnation = r.Ages, r.Incarnation
	return tables, nil
}
