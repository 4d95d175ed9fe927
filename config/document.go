// Package config defines the configuration document of a deployment: parsing,
// validation, canonical form, differences, and the objects that store it.
package config

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/strictjson"
)

// Errors lists the errors in a document, each with its path.
type Errors = strictjson.Errors

// Document is the complete desired state of a deployment.
type Document struct {
	Deployment  string                 `json:"deployment"`
	DataCentres []cornelbay.DataCentre `json:"dataCentres"`
	Services    []cornelbay.Service    `json:"services"`
}

// Parse reads and validates a document. Its error is of type Errors and lists all
// errors found.
func Parse(b []byte) (*Document, error) {
	var doc Document
	errs := strictjson.Decode(b, &doc)
	if errs.Malformed() {
		return nil, errs
	}
	reported := errs.Paths()
	for _, e := range doc.Validate() {
		if !reported[e.Path] {
			errs = append(errs, e)
		}
	}
	if len(errs) > 0 {
		return nil, errs
	}
	return &doc, nil
}

// Clone returns a deep copy of d.
func (d *Document) Clone() *Document {
	out := &Document{Deployment: d.Deployment, DataCentres: slices.Clone(d.DataCentres)}
	for _, s := range d.Services {
		s.Targets = slices.Clone(s.Targets)
		if s.Level != nil {
			level := *s.Level
			s.Level = &level
		}
		out.Services = append(out.Services, s)
	}
	return out
}

// sorted returns a copy with every list ordered by name and no nil list.
func (d *Document) sorted() *Document {
	out := d.Clone()
	out.DataCentres = emptyIfNil(out.DataCentres)
	out.Services = emptyIfNil(out.Services)
	for i := range out.Services {
		out.Services[i].Targets = emptyIfNil(out.Services[i].Targets)
	}
	slices.SortStableFunc(out.DataCentres, func(a, b cornelbay.DataCentre) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(out.Services, func(a, b cornelbay.Service) int { return cmp.Compare(a.Name, b.Name) })
	for _, s := range out.Services {
		slices.SortStableFunc(s.Targets, func(a, b cornelbay.Target) int { return cmp.Compare(a.Name, b.Name) })
	}
	return out
}

// emptyIfNil replaces a nil slice by an empty one, which is encoded as [] and not as
// null.
func emptyIfNil[T any](s []T) []T {
	if s == nil {
		return []T{}
	}
	return s
}

// Canonical returns the document's canonical JSON form, in which every list is
// ordered by name.
func (d *Document) Canonical() ([]byte, error) {
	return json.Marshal(d.sorted())
}

// Digest returns the SHA-256 of b in hexadecimal digits.
func Digest(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}
