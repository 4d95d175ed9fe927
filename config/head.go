package config

import (
	"encoding/json"
	"fmt"

	"github.com/ansel1/merry/v2"

	"github.com/cornelbay/cornelbay/strictjson"
)

// The keys of the configuration's objects in the platform's service.
const (
	HeadKey       = "config/head"
	ShardPrefix   = "config/shard/"
	HistoryPrefix = "config/history/"
)

// The longest texts of a change in bytes.
const (
	MaxChangeBytes = 64
	MaxAuthorBytes = 128
	MaxReasonBytes = 1024
)

// ErrHead is the error of a head that is corrupted or incomplete.
var ErrHead = merry.New("head is corrupted or incomplete")

// Head is the object whose conditional update commits a change.
type Head struct {
	Generation uint64 `json:"generation"`
	// Digest is the digest of the canonical document.
	Digest string `json:"digest"`
	// Change identifies the change, so that a repeated one is recognised.
	Change string `json:"change"`
	Author string `json:"author"`
	Reason string `json:"reason"`
	// Time is the operator's clock at the change, in RFC 3339.
	Time string `json:"time,omitempty"`
	// Previous is the digest of the document before.
	Previous string `json:"previous,omitempty"`
	// Base is the digest of the shard with the data centres.
	Base string `json:"base"`
	// Groups names the manifest of each group of services, by group.
	Groups []GroupManifest `json:"groups"`
	// Check is the digest of the head without Check.
	Check string `json:"check"`
}

// GroupManifest names the manifest of one group of services.
type GroupManifest struct {
	Group    string `json:"group"`
	Manifest string `json:"manifest"`
	// Fresh lists the shards that are new in this generation, so that they can be
	// read together with the manifest; it may be incomplete.
	Fresh []string `json:"fresh,omitempty"`
}

// MaxFresh bounds GroupManifest.Fresh.
const MaxFresh = 16

// HistoryKey returns the key of the head of a past generation; keys order as
// generations do.
func HistoryKey(generation uint64) string {
	return fmt.Sprintf("%s%012d", HistoryPrefix, generation)
}

// Marshal returns the head as it is stored, with Check set.
func (h Head) Marshal() ([]byte, error) {
	h.Check = ""
	b, err := json.Marshal(h)
	if err != nil {
		return nil, merry.Prepend(err, "head")
	}
	h.Check = Digest(b)
	return json.Marshal(h)
}

// ParseHead reads a stored head; one that is corrupted or incomplete is ErrHead.
func ParseHead(b []byte) (Head, error) {
	var h Head
	if errs := strictjson.Decode(b, &h); len(errs) > 0 {
		return Head{}, merry.Wrap(ErrHead, merry.AppendMessage(errs[0].Error()))
	}
	plain := h
	plain.Check = ""
	sum, err := json.Marshal(plain)
	if err != nil {
		return Head{}, merry.Prepend(err, "head")
	}
	if h.Generation == 0 || h.Check != Digest(sum) {
		return Head{}, ErrHead
	}
	return h, nil
}

// fresh returns the digests that are listed as new for the group.
func (h Head) fresh(group string) []string {
	for _, g := range h.Groups {
		if g.Group == group {
			return g.Fresh
		}
	}
	return nil
}

// SetFresh lists the shards that are not among the known ones as fresh.
func (h *Head) SetFresh(objects Objects, known map[string]bool) {
	for i := range h.Groups {
		g := &h.Groups[i]
		g.Fresh = nil
		for _, d := range objects.shards(g.Manifest) {
			if !known[d] && len(g.Fresh) < MaxFresh {
				g.Fresh = append(g.Fresh, d)
			}
		}
	}
}

// Manifest returns the digest of the group's manifest, or "" when the group has
// no services.
func (h Head) Manifest(group string) string {
	for _, g := range h.Groups {
		if g.Group == group {
			return g.Manifest
		}
	}
	return ""
}
