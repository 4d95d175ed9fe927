package config

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/objectstore"
	"github.com/cornelbay/cornelbay/strictjson"
)

// ShardBytes is the size above which a shard is split, unless a single service is
// larger.
const ShardBytes = 16 << 10

// ErrObject is returned for stored objects that are corrupted, missing or inconsistent.
var ErrObject = merry.New("object is corrupted or missing")

// Base is the object that all groups need.
type Base struct {
	Deployment  string                 `json:"deployment"`
	DataCentres []cornelbay.DataCentre `json:"dataCentres"`
}

// Manifest lists the shards of one group of services by their digests.
type Manifest struct {
	Group  string   `json:"group"`
	Shards []string `json:"shards"`
}

// Shard holds some of the services of one group, each complete with its targets.
type Shard struct {
	Services []cornelbay.Service `json:"services"`
}

// Objects holds immutable, content-addressed objects by their digests.
type Objects map[string][]byte

// add stores v as JSON and returns the digest.
func (o Objects) add(v any) (string, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return "", merry.Prepend(err, "object")
	}
	d := Digest(b)
	o[d] = b
	return d, nil
}

// Split returns the objects that store the document, and a head that refers to them
// but has no generation and no change yet.
func (d *Document) Split() (Head, Objects, error) {
	doc := d.sorted()
	b, err := json.Marshal(doc)
	if err != nil {
		return Head{}, nil, merry.Prepend(err, "document")
	}
	h, objects := Head{Digest: Digest(b)}, make(Objects)
	if h.Base, err = objects.add(Base{doc.Deployment, doc.DataCentres}); err != nil {
		return Head{}, nil, err
	}
	groups := make(map[string][]cornelbay.Service)
	for _, s := range doc.Services {
		groups[s.Group] = append(groups[s.Group], s)
	}
	for _, group := range sortedKeys(groups) {
		m, err := objects.addGroup(group, groups[group])
		if err != nil {
			return Head{}, nil, err
		}
		h.Groups = append(h.Groups, GroupManifest{Group: group, Manifest: m})
	}
	return h, objects, nil
}

// addGroup splits a group's services into shards and returns the digest of the
// manifest. A shard starts where the digest of a service's name says so
// (content-defined chunking), or before a shard would exceed ShardBytes, so that a
// change of one service leaves most other shards unchanged.
func (o Objects) addGroup(group string, services []cornelbay.Service) (string, error) {
	m := Manifest{Group: group, Shards: []string{}}
	var open Shard
	size := 0
	flush := func() error {
		if len(open.Services) == 0 {
			return nil
		}
		d, err := o.add(open)
		if err != nil {
			return err
		}
		m.Shards = append(m.Shards, d)
		open, size = Shard{}, 0
		return nil
	}
	for _, s := range services {
		b, err := json.Marshal(s)
		if err != nil {
			return "", merry.Prepend(err, "service")
		}
		if size+len(b) > ShardBytes || startsShard(s.Name) {
			if err := flush(); err != nil {
				return "", err
			}
		}
		open.Services = append(open.Services, s)
		size += len(b)
	}
	if err := flush(); err != nil {
		return "", err
	}
	return o.add(m)
}

// startsShard reports whether the named service always starts a shard, which one name
// in eight does: two of the sixteen hexadecimal digits start a shard. Any two would do,
// but changing them changes all shards.
func startsShard(name cornelbay.ServiceName) bool {
	return strings.IndexByte("02", Digest([]byte(name))[0]) >= 0
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// Missing returns the digests of the objects that Join still needs for the group, as
// far as they are known from the head and from the objects in o.
func (o Objects) Missing(h Head, group string) []string {
	var out []string
	for _, d := range append(o.References(h, group), h.fresh(group)...) {
		if _, ok := o[d]; !ok && !slices.Contains(out, d) {
			out = append(out, d)
		}
	}
	return out
}

// References returns the digests of the objects that the head refers to for the group:
// the base, the manifest and, if o has the manifest, its shards.
func (o Objects) References(h Head, group string) []string {
	out := []string{h.Base}
	digest := h.Manifest(group)
	if digest == "" {
		return out
	}
	return append(append(out, digest), o.shards(digest)...)
}

// shards returns the digests listed in a manifest, or nil if o does not have it.
func (o Objects) shards(manifest string) []string {
	var m Manifest
	if errs := strictjson.Decode(o[manifest], &m); len(errs) > 0 {
		return nil
	}
	return m.Shards
}

// Join assembles the document with the services of the given groups. It returns
// ErrObject when an object is missing or does not match its digest.
func (o Objects) Join(h Head, groups ...string) (*Document, error) {
	var base Base
	if err := o.read(h.Base, &base); err != nil {
		return nil, err
	}
	doc := &Document{Deployment: base.Deployment, DataCentres: base.DataCentres, Services: []cornelbay.Service{}}
	for _, group := range groups {
		digest := h.Manifest(group)
		if digest == "" {
			continue
		}
		var m Manifest
		if err := o.read(digest, &m); err != nil {
			return nil, err
		}
		for _, d := range m.Shards {
			var s Shard
			if err := o.read(d, &s); err != nil {
				return nil, err
			}
			doc.Services = append(doc.Services, s.Services...)
		}
	}
	return doc.sorted(), nil
}

// JoinAll assembles the complete document and verifies it against the head's digest.
func (o Objects) JoinAll(h Head) (*Document, error) {
	var groups []string
	for _, g := range h.Groups {
		groups = append(groups, g.Group)
	}
	doc, err := o.Join(h, groups...)
	if err != nil {
		return nil, err
	}
	b, err := doc.Canonical()
	if err != nil {
		return nil, err
	}
	if Digest(b) != h.Digest {
		return nil, merry.Wrap(ErrObject, merry.AppendMessagef("the document's digest is %s, expected %s", Digest(b), h.Digest))
	}
	return doc, nil
}

func (o Objects) read(digest string, v any) error {
	b, ok := o[digest]
	if !ok {
		return merry.Wrap(ErrObject, merry.AppendMessagef("%s is missing", digest))
	}
	if Digest(b) != digest {
		return merry.Wrap(ErrObject, merry.AppendMessagef("%s is corrupted", digest))
	}
	if errs := strictjson.Decode(b, v); len(errs) > 0 {
		return merry.Wrap(ErrObject, merry.AppendMessagef("%s: %v", digest, errs[0]))
	}
	return nil
}

// checkObjectSizes adds an error for each object that exceeds the platform's size
// limit.
func (v *validator) checkObjectSizes(d *Document) {
	for i, s := range d.Services {
		b, err := json.Marshal(Shard{Services: []cornelbay.Service{s}})
		if err != nil || len(b) > objectstore.MaxValueBytes {
			v.errs.Add(servicePath(i), "%d bytes exceed the platform's limit of %d", len(b), objectstore.MaxValueBytes)
		}
	}
	if len(v.errs) > 0 {
		return
	}
	h, objects, err := d.Split()
	if err != nil {
		v.errs.Add("", "%v", err)
		return
	}
	head, err := h.Marshal()
	if err != nil || len(head)+MaxChangeBytes+MaxAuthorBytes+MaxReasonBytes > objectstore.MaxValueBytes {
		v.errs.Add("services", "more groups than fit into one object of the platform")
	}
	if len(objects[h.Base]) > objectstore.MaxValueBytes {
		v.errs.Add("dataCentres", "%d bytes exceed the platform's limit of %d", len(objects[h.Base]), objectstore.MaxValueBytes)
	}
	for _, g := range h.Groups {
		if n := len(objects[g.Manifest]); n > objectstore.MaxValueBytes {
			v.errs.Add("services", "group %q has more shards than its manifest can list in one object of the platform", g.Group)
		}
	}
}
