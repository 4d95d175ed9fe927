// Package config holds the one document of a deployment: parsing, validation,
// canonical form, digest, and the keeper of the generation in force on a host.
package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/ansel1/merry/v2"

	"github.com/cornelbay/cornelbay"
)

// Document is the whole intended state of a deployment.
type Document struct {
	Deployment  string                 `json:"deployment"`
	DataCentres []cornelbay.DataCentre `json:"dataCentres"`
	Services    []cornelbay.Service    `json:"services"`
}

// Parse reads a document strictly: an unknown key is an error.
func Parse(b []byte) (*Document, error) {
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	var doc Document
	if err := d.Decode(&doc); err != nil {
		return nil, merry.Prepend(err, "document")
	}
	return &doc, nil
}

// Canonical returns the document's canonical JSON form.
func (d *Document) Canonical() ([]byte, error) {
	return json.Marshal(d)
}

// Digest returns the SHA-256 of b in hexadecimal digits.
func Digest(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}

// Head is the object whose conditional update commits a change.
type Head struct {
	Generation uint64 `json:"generation"`
	// Digest is the digest of the canonical document.
	Digest   string `json:"digest"`
	Change   string `json:"change"`
	Author   string `json:"author"`
	Reason   string `json:"reason"`
	Previous string `json:"previous,omitempty"`
}

// The keys of the configuration's objects in the platform's service.
const (
	HeadKey     = "config/head"
	ShardPrefix = "config/shard/"
)
