package assign

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cornelbay/cornelbay"
)

// greedyTable is a reference implementation of Table. It visits all pairs of a
// bucket and a target in order of cost and accepts those whose bucket is free
// and whose target has room.
func greedyTable(buckets int, shares []Share) []int {
	out := slices.Repeat([]int{-1}, buckets)
	total := 0
	for _, s := range shares {
		total += s.Weight
	}
	byName := slices.SortedFunc(slices.Values(shares), func(a, b Share) int { return cmp.Compare(a.Target, b.Target) })
	var all []proposal
	for i, s := range byName {
		for b := range buckets {
			if s.Weight > 0 {
				all = append(all, proposal{cost(uint64(b), xxhash.Sum64String(string(s.Target)), s.Weight), b, i})
			}
		}
	}
	slices.SortFunc(all, compareProposals)
	room := make([]int, len(byName))
	for i, s := range byName {
		if s.Weight > 0 {
			room[i] = MaxBuckets(buckets, s.Weight, total)
		}
	}
	for _, c := range all {
		if out[c.bucket] < 0 && room[c.target] > 0 {
			out[c.bucket] = slices.Index(shares, byName[c.target])
			room[c.target]--
		}
	}
	return out
}

func drawShares(t *rapid.T) []Share {
	names := rapid.SliceOfNDistinct(rapid.IntRange(0, 99), 1, 20, rapid.ID[int]).Draw(t, "names")
	var out []Share
	for _, n := range names {
		out = append(out, Share{cornelbay.TargetName(fmt.Sprint("t", n)), rapid.IntRange(0, 5000).Draw(t, "weight")})
	}
	return out
}

func TestTableEqualsGreedyTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		buckets := 1 << rapid.IntRange(0, 9).Draw(t, "log")
		shares := drawShares(t)
		got, want := Table(buckets, shares), greedyTable(buckets, shares)
		if !slices.Equal(got, want) {
			t.Fatalf("got %v, want %v", got, want)
		}
	})
}

func TestTableIgnoresOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shares := drawShares(t)
		other := slices.Clone(shares)
		rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)).Shuffle(len(other), func(i, j int) {
			other[i], other[j] = other[j], other[i]
		})
		a, b := Table(256, shares), Table(256, other)
		for i := range a {
			if (a[i] < 0) != (b[i] < 0) || a[i] >= 0 && shares[a[i]] != other[b[i]] {
				t.Fatalf("bucket %d differs", i)
			}
		}
	})
}

func equalShares(n int) []Share {
	out := make([]Share, n)
	for i := range out {
		out[i] = Share{cornelbay.TargetName(fmt.Sprint("statut-", i+1)), 1000}
	}
	return out
}

func bucketsPerTarget(table []int, n int) []int {
	out := make([]int, n)
	for _, t := range table {
		out[t]++
	}
	return out
}

func TestTableMovesFewBuckets(t *testing.T) {
	// excess limits the moved buckets as a multiple of those that the change
	// requires.
	tests := []struct {
		name   string
		weight int
		excess float64
	}{
		{"drain", 0, 1.5},
		{"half", 500, 1.5},
		{"tenth less", 900, 3},
	}
	const buckets = 4096
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			shares := equalShares(14)
			before := Table(buckets, shares)
			shares[3].Weight = tt.weight
			after := Table(buckets, shares)
			moved := 0
			for b := range before {
				if before[b] != after[b] {
					moved++
				}
			}
			needed := bucketsPerTarget(before, 14)[3] - bucketsPerTarget(after, 14)[3]
			t.Logf("moved %d, needed %d", moved, needed)
			is.True(needed > 0)
			is.True(float64(moved) <= tt.excess*float64(needed))
		})
	}
}

func TestTableRespectsMaxBuckets(t *testing.T) {
	is := is.New(t)
	for _, buckets := range []int{1024, 4096} {
		n := bucketsPerTarget(Table(buckets, equalShares(14)), 14)
		is.True(slices.Max(n) <= MaxBuckets(buckets, 1, 14))
		is.True(float64(slices.Max(n))*14/float64(buckets) <= 1.05)
	}
}

func BenchmarkTable(b *testing.B) {
	shares := equalShares(14)
	for b.Loop() {
		Table(4096, shares)
	}
}
