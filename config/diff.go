package config

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"reflect"
	"slices"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/strictjson"
)

// ChangeKind is the kind of a Difference.
type ChangeKind string

// The kinds of differences.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Difference is one difference between two documents.
type Difference struct {
	Kind ChangeKind `json:"kind"`
	// Path is the location of the difference, such as
	// services[statut].targets[statut-3].drain.
	Path string `json:"path"`
	// Old and New are the values as JSON; Old is "" for an added value and New for a
	// removed one.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
}

// String formats the difference on one line.
func (d Difference) String() string {
	switch d.Kind {
	case Added:
		return fmt.Sprintf("+ %s %s", d.Path, d.New)
	case Removed:
		return fmt.Sprintf("- %s %s", d.Path, d.Old)
	}
	return fmt.Sprintf("~ %s: %s -> %s", d.Path, d.Old, d.New)
}

// Diff returns the differences from one document to another. It compares list elements
// by name; their order does not matter. The result lists the data centres before the
// services, each ordered by name.
func Diff(from, to *Document) []Difference {
	var d differ
	d.value("deployment", from.Deployment, to.Deployment)
	diffNamed(&d, "dataCentres", from.DataCentres, to.DataCentres,
		func(dc cornelbay.DataCentre) string { return string(dc.Name) }, d.fields)
	diffNamed(&d, "services", from.Services, to.Services,
		func(s cornelbay.Service) string { return string(s.Name) }, d.service)
	return d.out
}

type differ struct{ out []Difference }

func (d *differ) service(path string, from, to any) {
	d.fields(path, from, to)
	diffNamed(d, path+".targets", from.(cornelbay.Service).Targets, to.(cornelbay.Service).Targets,
		func(t cornelbay.Target) string { return string(t.Name) }, d.fields)
}

// diffNamed compares two lists whose elements are identified by name. It calls changed
// for elements that are in both.
func diffNamed[T any](d *differ, path string, from, to []T, name func(T) string, changed func(path string, from, to any)) {
	before, after := make(map[string]T), make(map[string]T)
	names := make(map[string]bool)
	for _, v := range from {
		before[name(v)], names[name(v)] = v, true
	}
	for _, v := range to {
		after[name(v)], names[name(v)] = v, true
	}
	for _, n := range sortedKeys(names) {
		at := path + "[" + n + "]"
		old, had := before[n]
		now, has := after[n]
		switch {
		case !had:
			d.out = append(d.out, Difference{Kind: Added, Path: at, New: jsonText(now)})
		case !has:
			d.out = append(d.out, Difference{Kind: Removed, Path: at, Old: jsonText(old)})
		default:
			changed(at, old, now)
		}
	}
}

// fields compares all fields of two structs except slices.
func (d *differ) fields(path string, from, to any) {
	a, b := reflect.ValueOf(from), reflect.ValueOf(to)
	for i := range a.NumField() {
		if f := a.Type().Field(i); f.Type.Kind() != reflect.Slice {
			d.value(path+"."+strictjson.KeyOf(f), a.Field(i).Interface(), b.Field(i).Interface())
		}
	}
}

func (d *differ) value(path string, from, to any) {
	if a, b := jsonText(from), jsonText(to); a != b {
		d.out = append(d.out, Difference{Kind: Changed, Path: path, Old: a, New: b})
	}
}

func jsonText(v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}
	return string(b)
}

// UndrainedRemovals returns the sorted names of the targets in from that still take new
// work and that to lacks, or has in another service or with another tunnel address. A
// target takes new work unless it is draining or its data centre is out.
func UndrainedRemovals(from, to *Document) []cornelbay.TargetName {
	out := make(map[cornelbay.DataCentreName]bool)
	for _, dc := range from.DataCentres {
		out[dc.Name] = dc.Out
	}
	type place struct {
		service cornelbay.ServiceName
		tunnel  netip.AddrPort
	}
	remaining := make(map[cornelbay.TargetName]place)
	for _, s := range to.Services {
		for _, t := range s.Targets {
			remaining[t.Name] = place{s.Name, t.Tunnel}
		}
	}
	var removed []cornelbay.TargetName
	for _, s := range from.Services {
		for _, t := range s.Targets {
			if remaining[t.Name] != (place{s.Name, t.Tunnel}) && !t.Drain && !out[t.DataCentre] {
				removed = append(removed, t.Name)
			}
		}
	}
	slices.Sort(removed)
	return removed
}
