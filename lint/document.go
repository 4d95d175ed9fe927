package lint

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"strings"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/config"
)

// ParseDocument decodes and checks the text of a document. The document is nil if the
// findings include errors.
func ParseDocument(text []byte) (*config.Document, []Finding) {
	doc, err := config.Parse(text)
	if err == nil {
		return doc, CheckDocument(doc, text)
	}
	findings := []Finding{{Severity: Error, Message: err.Error()}}
	var invalid config.Errors
	if errors.As(err, &invalid) {
		findings = Convert(invalid, Error)
	}
	Locate(text, findings)
	return nil, findings
}

// CheckDocument returns the warnings about a valid document with the text from which it
// was parsed.
func CheckDocument(doc *config.Document, text []byte) []Finding {
	out := list(zeroWeights(text))
	out.checkServices(doc)
	Locate(text, out)
	return out
}

func (out *list) checkServices(doc *config.Document) {
	if len(doc.Services) == 0 {
		out.warn("services", "no service is listed")
	}
	outOfUse := make(map[cornelbay.DataCentreName]bool)
	for _, dc := range doc.DataCentres {
		outOfUse[dc.Name] = dc.Out
	}
	for i, s := range doc.Services {
		path := fmt.Sprintf("services[%d].targets", i)
		inUse := 0
		for j, t := range s.Targets {
			if !t.Drain && !outOfUse[t.DataCentre] {
				inUse++
			}
			if most := flowLimit(t); t.SlotCount() > most {
				out.warn(fmt.Sprintf("%s[%d].slots", path, j), "%d slots are more than the %d flows that the target may have", t.SlotCount(), most)
			}
		}
		switch {
		case len(s.Targets) == 0:
			out.warn(path, "service %s has no targets", s.Name)
		case inUse == 0:
			out.warn(path, "every target of service %s is draining or in a data centre that is out", s.Name)
		}
	}
}

func flowLimit(t cornelbay.Target) int {
	if t.MaxFlows == 0 {
		return cornelbay.DefaultMaxFlows
	}
	return t.MaxFlows
}

// zeroWeights returns a warning for each weight that is written as 0. It reads the text,
// since a decoded document doesn't tell such a weight from a missing one.
func zeroWeights(text []byte) []Finding {
	var out list
	walkNumbers(text, func(path, number string) {
		if strings.HasSuffix(path, ".weight") && number == "0" {
			out.warn(path, "0 means the default weight of %d; drain the target to give it no new work", cornelbay.DefaultWeight)
		}
	})
	return out
}

// DiffDocuments returns the changes from one document to another.
func DiffDocuments(from, to *config.Document) []Change {
	var out []Change
	for _, d := range config.Diff(from, to) {
		subject, field := subjectOf(d)
		out = append(out, Change{Kind: d.Kind, Subject: subject, Field: field, Old: value(d.Old), New: value(d.New)})
		if d.Kind != config.Changed {
			c := &out[len(out)-1]
			c.Old, c.New = summary(d.Path, d.Old), summary(d.Path, d.New)
		}
	}
	return out
}

// summary describes an added or removed element of a list from its JSON text.
func summary(path, text string) string {
	if text == "" {
		return ""
	}
	var err error
	var words string
	switch {
	case strings.Contains(path, ".targets["):
		var t cornelbay.Target
		err = json.Unmarshal([]byte(text), &t)
		words = fmt.Sprintf("data centre %s, tunnel %s, %d slots", t.DataCentre, t.Tunnel, t.SlotCount())
	case strings.HasPrefix(path, "services["):
		var s cornelbay.Service
		err = json.Unmarshal([]byte(text), &s)
		words = fmt.Sprintf("address %s, %s, %d targets", netip.AddrPortFrom(s.Address, s.Port), s.Protocol, len(s.Targets))
	default:
		var dc cornelbay.DataCentre
		err = json.Unmarshal([]byte(text), &dc)
		words = "region " + orNone(dc.Region)
	}
	if err != nil {
		return text
	}
	return words
}

// subjectOf splits the path of a difference, such as
// services[statut].targets[statut-3].drain, into the words for what has changed, "target
// statut-3 of service statut", and the field. Names in a valid document contain neither
// dots nor brackets.
func subjectOf(d config.Difference) (subject, field string) {
	for part := range strings.SplitSeq(d.Path, ".") {
		list, name, ok := strings.Cut(strings.TrimSuffix(part, "]"), "[")
		if !ok {
			field = part
			continue
		}
		words := itemWords[list] + " " + name
		if subject != "" {
			words += " of " + subject
		}
		subject = words
	}
	return subject, field
}

// itemWords are the words for one element of a list of a document.
var itemWords = map[string]string{"dataCentres": "data centre", "services": "service", "targets": "target"}

// value returns a JSON value for a reader: a string without its quotes, and an absent
// value as "none".
func value(text string) string {
	var s string
	switch {
	case text == "null":
		return none
	case json.Unmarshal([]byte(text), &s) == nil:
		return s
	}
	return text
}
