package config

import (
	"encoding/json"
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/platform"
)

// PollInterval is the time between two reads of the head.
const PollInterval = 500 * time.Millisecond

// Keeper learns the highest committed generation and takes it whole.
type Keeper struct {
	head     Head
	doc      *Document
	pending  Head
	next     time.Time
	lastCall uint64
}

// Generation returns the generation in force, or 0 when there is none.
func (k *Keeper) Generation() uint64 { return k.head.Generation }

// Head returns the head of the generation in force.
func (k *Keeper) Head() Head { return k.head }

// Document returns the document in force, or nil when there is none.
func (k *Keeper) Document() *Document { return k.doc }

// Tick returns the calls that are due at now.
func (k *Keeper) Tick(now time.Time) []cornelbay.Effect {
	if now.Before(k.next) {
		return nil
	}
	k.next = now.Add(PollInterval)
	return []cornelbay.Effect{k.get(HeadKey)}
}

func (k *Keeper) get(key string) platform.Call {
	k.lastCall++
	return platform.Call{ID: k.lastCall, Op: platform.Get, Key: key}
}

// StoreAnswer takes the answer to a call and reports whether a new generation
// came into force.
func (k *Keeper) StoreAnswer(_ time.Time, a platform.Answer) ([]cornelbay.Effect, bool) {
	if a.Err != nil {
		return nil, false
	}
	if a.Call.Key == HeadKey {
		return k.headRead(a.Object), false
	}
	return nil, k.shardRead(a.Object)
}

func (k *Keeper) headRead(o platform.Object) []cornelbay.Effect {
	var h Head
	if err := json.Unmarshal(o.Value, &h); err != nil || h.Generation <= k.head.Generation {
		return nil
	}
	k.pending = h
	return []cornelbay.Effect{k.get(ShardPrefix + h.Digest)}
}

func (k *Keeper) shardRead(o platform.Object) bool {
	if Digest(o.Value) != k.pending.Digest || k.pending.Generation <= k.head.Generation {
		return false
	}
	doc, err := Parse(o.Value)
	if err != nil {
		return false
	}
	k.head, k.doc = k.pending, doc
	return true
}
