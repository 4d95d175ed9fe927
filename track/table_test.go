package track

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// keepEvenTargets keeps the records whose target is even.
type keepEvenTargets struct{}

func (keepEvenTargets) MustKeep(_ uint64, target int32) bool { return target%2 == 0 }

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func ignoreRecord(Record) {}

func TestTableEqualsMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table Table
		model := make(map[uint64]Record)
		now := uint32(1 << 20)
		for range 300 {
			// All fingerprints are in the first shard, each with its own home
			// slot.
			f := rapid.Uint64Range(1, 40).Draw(t, "flow")<<24 | 1
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				at := rapid.Int32Range(0, 1<<23).Draw(t, "target")
				m := FlowFlags(rapid.ByteRange(0, 7).Draw(t, "mark"))
				table.Put(f, at, now, m, keepEvenTargets{})
				model[f] = Record{f, now, uint32(at)<<8 | uint32(m)}
			case 1:
				r, ok := table.Touch(f, now, 0, 0)
				want, has := model[f]
				has = has && !want.expired(now)
				if ok != has || ok && r != want {
					t.Fatalf("got %v %v, want %v %v", r, ok, want, has)
				}
				if has {
					want.Seen = now
					model[f] = want
				}
			case 2:
				now += rapid.Uint32Range(0, uint32(IdleTCP/tickUnit)).Draw(t, "wait")
			default:
				table.Sweep(0, now, ignoreRecord)
				for f, r := range model {
					if r.expired(now) {
						delete(model, f)
					}
				}
				if table.Len() != len(model) {
					t.Fatalf("%d records, want %d", table.Len(), len(model))
				}
			}
		}
	})
}

func TestFullTableKeepsRequiredRecords(t *testing.T) {
	is := is.New(t)
	table := Table{MaxRecords: 1000}
	now := Ticks(start)
	flow := func(n int) uint64 { return uint64(n+1) * 0x9e3779b97f4a7c15 }
	for n := range 2000 {
		table.Put(flow(n), 2, now, 0, keepEvenTargets{})
	}
	full := table.Len()
	is.True(full >= 1000)
	for n := 2000; n < 20000; n++ {
		table.Put(flow(n), 1, now+1, 0, keepEvenTargets{})
	}
	is.Equal(table.Len(), full) // a record that need not be kept does not evict one that must be
	kept := 0
	table.Each(func(r Record) {
		if r.Target() == 2 {
			kept++
		}
	})
	is.Equal(kept, full)
	later := now + uint32((IdleTCP+time.Second)/tickUnit)
	table.Put(flow(30000), 1, later, 0, keepEvenTargets{})
	_, ok := table.Touch(flow(30000), later, 0, 0)
	is.True(ok) // any record evicts an expired one
}

func TestIdleTimesByFlowState(t *testing.T) {
	tests := []struct {
		name  string
		flags FlowFlags
		idle  time.Duration
	}{
		{"tcp", 0, IdleTCP},
		{"udp", UDP, IdleUDP},
		{"finished", Finished, IdleFinished},
		{"reset", Reset | Finished, IdleReset},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var table Table
			now := Ticks(start)
			table.Put(1, 1, now, tt.flags, keepEvenTargets{})
			idle := uint32(tt.idle / tickUnit)
			table.Sweep(0, now+idle, ignoreRecord)
			is.Equal(table.Len(), 1)
			table.Sweep(0, now+idle+1, ignoreRecord)
			is.Equal(table.Len(), 0)
		})
	}
}
