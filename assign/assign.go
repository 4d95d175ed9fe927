// Package assign maps the buckets of a service to its targets.
package assign

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelbay/cornelbay"
)

// Share is a target and the weight it has now.
type Share struct {
	Target cornelbay.TargetName
	Weight int
}

// Table gives the target of each bucket as an index into the shares.
func Table(buckets int, shares []Share) []int {
	out := make([]int, buckets)
	for b := range out {
		out[b] = best(uint64(b), shares)
	}
	return out
}

func best(bucket uint64, shares []Share) int {
	top, at := uint64(0), -1
	for i, s := range shares {
		if w := score(bucket, s.Target); s.Weight > 0 && (at < 0 || w > top) {
			top, at = w, i
		}
	}
	return at
}

func score(bucket uint64, t cornelbay.TargetName) uint64 {
	b := binary.BigEndian.AppendUint64([]byte(t), bucket)
	return xxhash.Sum64(b)
}
