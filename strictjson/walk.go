package strictjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strconv"
)

// Walk calls visit for each value of a JSON text, in the order of the text, with the
// value's path, the byte offset at which it begins and its first token. It returns the
// offset of the first error, or -1 if it finds none. It finds text that is malformed,
// nested too deeply, or followed by another value.
func Walk(b []byte, visit func(path string, offset int, t json.Token)) int {
	w := walker{text: b, dec: json.NewDecoder(bytes.NewReader(b)), visit: visit}
	w.dec.UseNumber()
	if err := w.value("", 0); err != nil {
		return w.next()
	}
	trailing := w.next()
	if _, err := w.dec.Token(); !errors.Is(err, io.EOF) {
		return trailing
	}
	return -1
}

type walker struct {
	text  []byte
	dec   *json.Decoder
	visit func(path string, offset int, t json.Token)
}

// next returns the offset of the next token, or the length of the text.
func (w *walker) next() int {
	at := int(w.dec.InputOffset())
	for at < len(w.text) && bytes.IndexByte([]byte(" \t\r\n,:"), w.text[at]) >= 0 {
		at++
	}
	return at
}

func (w *walker) value(path string, depth int) error {
	if depth > maxDepth {
		return errTooDeep
	}
	at := w.next()
	t, err := w.dec.Token()
	if err != nil {
		return err
	}
	w.visit(path, at, t)
	switch t {
	case json.Delim('{'):
		for w.dec.More() {
			t, err := w.dec.Token()
			if err != nil {
				return err
			}
			key, _ := t.(string)
			if err := w.value(joinPath(path, key), depth+1); err != nil {
				return err
			}
		}
	case json.Delim('['):
		for i := 0; w.dec.More(); i++ {
			if err := w.value(path+"["+strconv.Itoa(i)+"]", depth+1); err != nil {
				return err
			}
		}
	default:
		return nil
	}
	_, err = w.dec.Token()
	return err
}
