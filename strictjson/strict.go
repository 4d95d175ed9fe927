// Package strictjson decodes JSON into Go values and reports every error with its
// path: unknown keys, duplicate keys and values of the wrong type.
package strictjson

import (
	"bytes"
	"encoding"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strconv"
	"strings"
)

// maxDepth is the maximum nesting depth of a document.
const maxDepth = 32

// The messages of errors about keys.
const (
	UnknownKey   = "unknown key"
	DuplicateKey = "duplicate key"
)

// Error is one error in a document.
type Error struct {
	// Path is the location of the error, such as services[0].targets[3].dataCentre; it is
	// empty when the error concerns the whole document.
	Path    string `json:"path"`
	Message string `json:"message"`
}

// Error returns the path and the message on one line.
func (e Error) Error() string {
	if e.Path == "" {
		return e.Message
	}
	return e.Path + ": " + e.Message
}

// Errors lists the errors in a document in the order in which they were found.
type Errors []Error

// Error returns one line per error.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i := range e {
		lines[i] = e[i].Error()
	}
	return strings.Join(lines, "\n")
}

// Add appends an error with a formatted message.
func (e *Errors) Add(path, format string, args ...any) {
	*e = append(*e, Error{Path: path, Message: fmt.Sprintf(format, args...)})
}

// Malformed reports whether the last error concerns the whole document: the JSON is
// malformed or nested too deeply and was not read to its end, there is more than one
// value, or the top-level value has the wrong type. An error at an empty top-level key
// counts as well, since its path is empty too.
func (e Errors) Malformed() bool { return len(e) > 0 && e[len(e)-1].Path == "" }

// Paths returns the set of paths that have an error.
func (e Errors) Paths() map[string]bool {
	out := make(map[string]bool)
	for i := range e {
		out[e[i].Path] = true
	}
	return out
}

// Decode reads JSON into v and returns an error for every unknown or duplicate key and
// every value of the wrong type. It supports strings, bools, the number types int, int64,
// uint16, uint64 and float64, types that implement encoding.TextUnmarshaler, and slices,
// structs and pointers of supported types. A field of a struct needs a json tag.
func Decode(b []byte, v any) Errors {
	s := decoder{dec: json.NewDecoder(bytes.NewReader(b))}
	s.dec.UseNumber()
	if err := s.value("", reflect.ValueOf(v).Elem(), 0); err != nil {
		s.errs.Add("", "not valid JSON near byte %d: %v", s.dec.InputOffset(), syntaxError(err))
		return s.errs
	}
	if _, err := s.dec.Token(); !errors.Is(err, io.EOF) {
		s.errs.Add("", "more than one JSON value, from byte %d", s.dec.InputOffset())
	}
	return s.errs
}

func syntaxError(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

type decoder struct {
	dec  *json.Decoder
	errs Errors
}

var errTooDeep = errors.New("nested too deeply")

// value reads the next value into v. It returns an error only if the JSON is malformed
// or nested too deeply.
func (s *decoder) value(path string, v reflect.Value, depth int) error {
	if depth > maxDepth {
		return errTooDeep
	}
	t, err := s.dec.Token()
	if err != nil {
		return err
	}
	if v.Kind() == reflect.Pointer && t != nil {
		v.Set(reflect.New(v.Type().Elem()))
		v = v.Elem()
	}
	if d, ok := t.(json.Delim); ok {
		return s.objectOrList(path, d, v, depth)
	}
	s.scalar(path, t, v)
	return nil
}

func (s *decoder) objectOrList(path string, d json.Delim, v reflect.Value, depth int) error {
	switch {
	case d == '{' && v.Kind() == reflect.Struct && !isTextUnmarshaler(v):
		return s.object(path, v, depth)
	case d == '[' && v.Kind() == reflect.Slice:
		return s.list(path, v, depth)
	}
	name := "an object"
	if d == '[' {
		name = "a list"
	}
	s.errs.Add(path, "got %s, expected %s", name, expectedType(v))
	return s.skip(depth)
}

// skip reads to the end of the object or list whose opening delimiter was read last.
func (s *decoder) skip(depth int) error {
	for open := 1; open > 0; {
		t, err := s.dec.Token()
		if err != nil {
			return err
		}
		switch t {
		case json.Delim('{'), json.Delim('['):
			open++
		case json.Delim('}'), json.Delim(']'):
			open--
		}
		if open+depth > maxDepth {
			return errTooDeep
		}
	}
	return nil
}

func (s *decoder) object(path string, v reflect.Value, depth int) error {
	seen := make(map[string]bool)
	for s.dec.More() {
		t, err := s.dec.Token()
		if err != nil {
			return err
		}
		key, _ := t.(string)
		at := joinPath(path, key)
		field, ok := fieldOf(v, key)
		switch {
		case !ok:
			s.errs.Add(at, UnknownKey)
		case seen[key]:
			s.errs.Add(at, DuplicateKey)
		}
		if !ok || seen[key] {
			var skipped json.RawMessage
			if err := s.dec.Decode(&skipped); err != nil {
				return err
			}
			continue
		}
		seen[key] = true
		if err := s.value(at, field, depth+1); err != nil {
			return err
		}
	}
	_, err := s.dec.Token()
	return err
}

func (s *decoder) list(path string, v reflect.Value, depth int) error {
	v.Set(reflect.MakeSlice(v.Type(), 0, 0))
	for i := 0; s.dec.More(); i++ {
		e := reflect.New(v.Type().Elem()).Elem()
		if err := s.value(path+"["+strconv.Itoa(i)+"]", e, depth+1); err != nil {
			return err
		}
		v.Set(reflect.Append(v, e))
	}
	_, err := s.dec.Token()
	return err
}

func (s *decoder) scalar(path string, t json.Token, v reflect.Value) {
	switch t := t.(type) {
	case string:
		s.str(path, t, v)
	case json.Number:
		s.number(path, t, v)
	case bool:
		if v.Kind() != reflect.Bool {
			s.errs.Add(path, "got %t, expected %s", t, expectedType(v))
			return
		}
		v.SetBool(t)
	default:
		s.errs.Add(path, "got null, expected %s", expectedType(v))
	}
}

func (s *decoder) str(path, t string, v reflect.Value) {
	if u, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		if err := u.UnmarshalText([]byte(t)); err != nil {
			s.errs.Add(path, "%q is not %s", t, expectedType(v))
		}
		return
	}
	if v.Kind() != reflect.String {
		s.errs.Add(path, "got %q, expected %s", t, expectedType(v))
		return
	}
	v.SetString(t)
}

func (s *decoder) number(path string, n json.Number, v reflect.Value) {
	bad := true
	switch v.Kind() {
	case reflect.Int, reflect.Int64:
		i, err := strconv.ParseInt(n.String(), 10, v.Type().Bits())
		v.SetInt(i)
		bad = err != nil
	case reflect.Uint16, reflect.Uint64:
		u, err := strconv.ParseUint(n.String(), 10, v.Type().Bits())
		v.SetUint(u)
		bad = err != nil
	case reflect.Float64:
		f, err := n.Float64()
		v.SetFloat(f)
		bad = err != nil
	}
	if bad {
		s.errs.Add(path, "got %s, expected %s", n, expectedType(v))
	}
}

// fieldOf returns the field of a struct with the given JSON key.
func fieldOf(v reflect.Value, key string) (reflect.Value, bool) {
	t := v.Type()
	for i := range t.NumField() {
		if KeyOf(t.Field(i)) == key {
			return v.Field(i), true
		}
	}
	return reflect.Value{}, false
}

// KeyOf returns the JSON key of a field from its json tag, or "" if it has none.
func KeyOf(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func isTextUnmarshaler(v reflect.Value) bool {
	_, ok := v.Addr().Interface().(encoding.TextUnmarshaler)
	return ok
}

func expectedType(v reflect.Value) string {
	switch v.Type().String() {
	case "netip.Addr":
		return "an IP address"
	case "netip.AddrPort":
		return "an IP address with a port, such as 192.0.2.1:6081"
	}
	switch v.Kind() {
	case reflect.Slice:
		return "a list"
	case reflect.Struct, reflect.Pointer:
		return "an object"
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "a string"
	case reflect.Uint16:
		return "a whole number from 0 to 65535"
	case reflect.Float64:
		return "a number"
	}
	return "a whole number"
}
