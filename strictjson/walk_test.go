package strictjson_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/cornelbay/cornelbay/strictjson"
)

func ExampleWalk() {
	strictjson.Walk([]byte(`{"name": "a", "ports": [80, 443]}`), func(path string, offset int, t json.Token) {
		fmt.Printf("%q at %d: %v\n", path, offset, t)
	})
	// Output:
	// "" at 0: {
	// "name" at 9: a
	// "ports" at 23: [
	// "ports[0]" at 24: 80
	// "ports[1]" at 28: 443
}

// TestWalkReturnsOffsetOfError guards against errors reported at a wrong line.
func TestWalkReturnsOffsetOfError(t *testing.T) {
	for _, c := range []struct {
		text string
		want int
	}{
		{`{"a": 1}`, -1},
		{"{\"a\": 1}\n", -1},
		{"{\n\"a\": x}", 7},
		{"{\"a\": 1\n", 8},
		{"", 0},
		{"{}\n{}", 3},
	} {
		t.Run(c.text, func(t *testing.T) {
			is.New(t).Equal(strictjson.Walk([]byte(c.text), func(string, int, json.Token) {}), c.want)
		})
	}
}
