package config

import (
	"encoding/json"
	"net/netip"
	"reflect"

	"github.com/invopop/jsonschema"
)

// Schema returns the JSON Schema of a document, derived from the Go types.
func Schema() ([]byte, error) {
	r := jsonschema.Reflector{Mapper: func(t reflect.Type) *jsonschema.Schema {
		switch t {
		case reflect.TypeFor[netip.Addr]():
			return &jsonschema.Schema{Type: "string", Description: "IP address", Examples: []any{"192.0.2.10"}}
		case reflect.TypeFor[netip.AddrPort]():
			return &jsonschema.Schema{Type: "string", Description: "IP address with a port", Examples: []any{"192.0.2.1:6081"}}
		}
		return nil
	}}
	s := r.Reflect(&Document{})
	s.Title = "cornelbay document"
	return json.MarshalIndent(s, "", "  ")
}
