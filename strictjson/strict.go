// Package strictjson reads JSON into Go values and reports every fault with its
// path: unknown and doubled keys, and values of a wrong type.
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

// maxDepth bounds the nesting of a document.
const maxDepth = 32

// Error is one fault of a document.
type Error struct {
	// Path leads to the fault, such as services[0].targets[3].dataCentre.
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

// Errors lists the faults of a document in the order in which they were found.
type Errors []Error

// Error returns one line a fault.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i := range e {
		lines[i] = e[i].Error()
	}
	return strings.Join(lines, "\n")
}

// Add appends a fault.
func (e *Errors) Add(path, format string, args ...any) {
	*e = append(*e, Error{Path: path, Message: fmt.Sprintf(format, args...)})
}

// Broken reports whether the JSON could not be read to its end.
func (e Errors) Broken() bool { return len(e) > 0 && e[len(e)-1].Path == "" }

// Paths returns the places of the faults.
func (e Errors) Paths() map[string]bool {
	out := make(map[string]bool)
	for i := range e {
		out[e[i].Path] = true
	}
	return out
}

// Decode reads JSON into v and returns every unknown or doubled key and
// every value of a wrong type.
func Decode(b []byte, v any) Errors {
	s := strict{dec: json.NewDecoder(bytes.NewReader(b))}
	s.dec.UseNumber()
	if err := s.value("", reflect.ValueOf(v).Elem(), 0); err != nil {
		s.errs.Add("", "not valid JSON near byte %d: %v", s.dec.InputOffset(), syntax(err))
		return s.errs
	}
	if _, err := s.dec.Token(); !errors.Is(err, io.EOF) {
		s.errs.Add("", "more than one JSON value, from byte %d", s.dec.InputOffset())
	}
	return s.errs
}

func syntax(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

type strict struct {
	dec  *json.Decoder
	errs Errors
}

var errTooDeep = errors.New("nested too deeply")

// value reads the next value into v; its error means that the JSON is broken.
func (s *strict) value(path string, v reflect.Value, depth int) error {
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
		return s.composite(path, d, v, depth)
	}
	s.scalar(path, t, v)
	return nil
}

func (s *strict) composite(path string, d json.Delim, v reflect.Value, depth int) error {
	switch {
	case d == '{' && v.Kind() == reflect.Struct && !isText(v):
		return s.object(path, v, depth)
	case d == '[' && v.Kind() == reflect.Slice:
		return s.list(path, v, depth)
	}
	name := "an object"
	if d == '[' {
		name = "a list"
	}
	s.errs.Add(path, "%s where %s is wanted", name, wanted(v))
	return s.skip(depth)
}

// skip reads to the end of the object or list that was opened last.
func (s *strict) skip(depth int) error {
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

func (s *strict) object(path string, v reflect.Value, depth int) error {
	seen := make(map[string]bool)
	for s.dec.More() {
		t, err := s.dec.Token()
		if err != nil {
			return err
		}
		key, _ := t.(string)
		at := join(path, key)
		field, ok := fieldOf(v, key)
		switch {
		case !ok:
			s.errs.Add(at, "unknown key")
		case seen[key]:
			s.errs.Add(at, "key given twice")
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

func (s *strict) list(path string, v reflect.Value, depth int) error {
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

func (s *strict) scalar(path string, t json.Token, v reflect.Value) {
	switch t := t.(type) {
	case string:
		s.text(path, t, v)
	case json.Number:
		s.number(path, t, v)
	case bool:
		if v.Kind() != reflect.Bool {
			s.errs.Add(path, "%t where %s is wanted", t, wanted(v))
			return
		}
		v.SetBool(t)
	default:
		s.errs.Add(path, "null where %s is wanted", wanted(v))
	}
}

func (s *strict) text(path, t string, v reflect.Value) {
	if u, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		if err := u.UnmarshalText([]byte(t)); err != nil {
			s.errs.Add(path, "%q is not %s", t, wanted(v))
		}
		return
	}
	if v.Kind() != reflect.String {
		s.errs.Add(path, "%q where %s is wanted", t, wanted(v))
		return
	}
	v.SetString(t)
}

func (s *strict) number(path string, n json.Number, v reflect.Value) {
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
		s.errs.Add(path, "%s where %s is wanted", n, wanted(v))
	}
}

// fieldOf returns the field of a struct that has the given JSON key.
func fieldOf(v reflect.Value, key string) (reflect.Value, bool) {
	t := v.Type()
	for i := range t.NumField() {
		if KeyOf(t.Field(i)) == key {
			return v.Field(i), true
		}
	}
	return reflect.Value{}, false
}

// KeyOf returns the JSON key of a field.
func KeyOf(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func isText(v reflect.Value) bool {
	_, ok := v.Addr().Interface().(encoding.TextUnmarshaler)
	return ok
}

func wanted(v reflect.Value) string {
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
