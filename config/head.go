package config

import (
	"encoding/json"
	"fmt"

	"github.com/ansel1/merry/v2"

	"github.com/cornelbay/cornelbay/strictjson"
)

// Keys of the configuration's objects in the platform's object store.
const (
	HeadKey       = "config/head"
	ObjectPrefix  = "config/shard/"
	HistoryPrefix = "config/history/"
)

// Maximum lengths in bytes of the texts that describe a change.
const (
	MaxChangeBytes = 64
	MaxAuthorBytes = 128
	MaxReasonBytes = 1024
)

// ErrHead is returned for a head that is corrupted or incomplete.
var ErrHead = merry.New("head is corrupted or incomplete")

// Head is the object that names the objects of the committed generation. Its
// conditional update commits a change.
type Head struct {
	Generation uint64 `json:"generation"`
	// Digest is the digest of the canonical document.
	Digest string `json:"digest"`
	// Change is the ID of the change. It makes a retried change recognizable.
	Change string `json:"change"`
	Author string `json:"author"`
	Reason string `json:"reason"`
	// Time is when the change was made by the operator's clock, in RFC 3339.
	Time string `json:"time,omitempty"`
	// Previous is the digest of the previous generation's document.
	Previous string `json:"previous,omitempty"`
	// Base is the digest of the Base object.
	Base string `json:"base"`
	// Groups lists the manifests of the groups of services, ordered by group.
	Groups []GroupManifest `json:"groups"`
	// Check is the digest of the head encoded with an empty Check.
	Check string `json:"check"`
}

// GroupManifest refers to the manifest of one group of services by its digest.
type GroupManifest struct {
	Group    string `json:"group"`
	Manifest string `json:"manifest"`
	// Fresh lists shards that are new in this generation, so that they can be read at
	// the same time as the manifest. It is limited to MaxFresh entries, so it
	// may be incomplete.
	Fresh []string `json:"fresh,omitempty"`
}

// MaxFresh is the maximum length of GroupManifest.Fresh.
const MaxFresh = 16

// HistoryKey returns the key under which the head of a past generation is stored. Keys
// sort in order of generation.
func HistoryKey(generation uint64) string {
	return fmt.Sprintf("%s%012d", HistoryPrefix, generation)
}

// Marshal encodes the head for storage, with Check set.
func (h Head) Marshal() ([]byte, error) {
	h.Check = ""
	b, err := json.Marshal(h)
	if err != nil {
		return nil, merry.Prepend(err, "head")
	}
	h.Check = Digest(b)
	return json.Marshal(h)
}

// ParseHead decodes a stored head. It returns ErrHead if the head is corrupted or
// incomplete.
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

// fresh returns the group's Fresh list.
func (h Head) fresh(group string) []string {
	for _, g := range h.Groups {
		if g.Group == group {
			return g.Fresh
		}
	}
	return nil
}

// SetFresh sets the Fresh list of each group to the shards that are not in known, up
// to MaxFresh.
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
