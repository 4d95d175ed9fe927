package lint

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/cornelbay/cornelbay/config"
	"github.com/cornelbay/cornelbay/registry"
	"github.com/cornelbay/cornelbay/strictjson"
)

// none is the text of an absent value.
const none = "none"

// Change is one difference between two versions of a configuration.
type Change struct {
	Kind config.ChangeKind `json:"kind"`
	// Subject is what was added, removed or changed, such as "service statut"; it is empty
	// when the change concerns the whole configuration.
	Subject string `json:"subject,omitempty"`
	// Field is the changed value of the subject, such as "timeout".
	Field string `json:"field,omitempty"`
	// Old and New are the values; Old is "" for an added subject and New for a removed one.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
}

// String describes the change on one line.
func (c Change) String() string {
	var s string
	switch c.Kind {
	case config.Added:
		s = fmt.Sprintf("%s added: %s", c.Subject, c.New)
	case config.Removed:
		s = fmt.Sprintf("%s removed: %s", c.Subject, c.Old)
	default:
		s = fmt.Sprintf("%s changed from %s to %s", c.Field, orNone(c.Old), orNone(c.New))
		if c.Subject != "" {
			s = c.Subject + ": " + s
		}
	}
	return printable(s)
}

func orNone(s string) string {
	if s == "" {
		return none
	}
	return s
}

// DiffRoutings returns the changes from one routing configuration to another. Routes and
// services are compared by name; their order doesn't matter.
func DiffRoutings(from, to Routing) []Change {
	var out []Change
	compare := func(subject, field, old, now string) {
		if old != now {
			out = append(out, Change{Kind: config.Changed, Subject: subject, Field: field, Old: old, New: now})
		}
	}
	compare("", "version", fmt.Sprint(from.Version), fmt.Sprint(to.Version))
	diffItems(&out, "route", routeItems(from), routeItems(to), compare)
	diffItems(&out, "service", serviceItems(from), serviceItems(to), compare)
	compare("limits", "idle timeout", duration(from.IdleTimeout), duration(to.IdleTimeout))
	return out
}

// item is a named entry of a configuration with its values in words.
type item struct {
	name   string
	fields []field
}

type field struct{ name, value string }

func (i item) String() string {
	var words []string
	for _, f := range i.fields {
		if f.value != none {
			words = append(words, f.name+" "+f.value)
		}
	}
	return strings.Join(words, ", ")
}

// diffItems compares two lists of items. Items of the same kind have the same fields.
func diffItems(out *[]Change, kind string, from, to []item, compare func(subject, field, old, now string)) {
	before, after := byName(from), byName(to)
	for _, old := range from {
		if _, ok := after[old.name]; !ok {
			*out = append(*out, Change{Kind: config.Removed, Subject: kind + " " + old.name, Old: old.String()})
		}
	}
	for _, now := range to {
		old, ok := before[now.name]
		if !ok {
			*out = append(*out, Change{Kind: config.Added, Subject: kind + " " + now.name, New: now.String()})
			continue
		}
		for i, f := range now.fields {
			compare(kind+" "+now.name, f.name, old.fields[i].value, f.value)
		}
	}
}

func byName(items []item) map[string]item {
	out := make(map[string]item, len(items))
	for _, i := range items {
		out[i.name] = i
	}
	return out
}

// routeItems returns the routes; of several with the same name, the last.
func routeItems(c Routing) []item {
	var out []item
	for i := range c.Routes {
		r := &c.Routes[i]
		address, priority := none, none
		if r.Address.IsValid() {
			address = r.Address.String()
		}
		if c.prioritized(i) {
			priority = fmt.Sprint(r.Priority)
		}
		out = append(out, item{r.Name, []field{
			{"address", address},
			{"services", shares(r.Shares)},
			{"timeout", duration(r.Timeout)},
			{"objective", duration(r.Objective)},
			{"priority", priority},
			{"repeatable", fmt.Sprint(r.Repeatable)},
		}})
	}
	return lastOfEach(out)
}

func serviceItems(c Routing) []item {
	var out []item
	for _, s := range c.Services {
		out = append(out, item{string(s.Name), []field{{"warm-up rate", fmt.Sprintf("%v/s", s.ColdPerSecond)}}})
	}
	return lastOfEach(out)
}

// lastOfEach drops the items that a later one of the same name replaces.
func lastOfEach(items []item) []item {
	last := make(map[string]int)
	for i := range items {
		last[items[i].name] = i
	}
	var out []item
	for i := range items {
		if last[items[i].name] == i {
			out = append(out, items[i])
		}
	}
	return out
}

// shares lists services, with their weights if there are several.
func shares(list []registry.Share) string {
	switch len(list) {
	case 0:
		return none
	case 1:
		return string(list[0].Service)
	}
	var words []string
	for _, s := range list {
		words = append(words, fmt.Sprintf("%s (weight %d)", s.Service, s.Weight))
	}
	return strings.Join(words, " and ")
}

func duration(d time.Duration) string {
	if d == 0 {
		return none
	}
	return d.String()
}

// walkNumbers calls visit for each number of a JSON text.
func walkNumbers(text []byte, visit func(path, number string)) {
	strictjson.Walk(text, func(path string, _ int, t json.Token) {
		if n, ok := t.(json.Number); ok {
			visit(path, n.String())
		}
	})
}
