package oplog_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelbay/cornelbay/oplog"
)

const hostA = `{"fields":{"host":"a"},"level":"info","timestamp":"2026-03-18T03:18:00Z","message":"started"}
not a line of the log
{"fields":{"kind":"servers","revision":9},"level":"info","timestamp":"2026-03-18T03:18:04Z","message":"table changed"}
{"fields":{"source":"100.64.0.4:1","target":"i-1"},"level":"info","timestamp":"2026-03-18T03:18:05Z","message":"opened"}
{"fields":{"source":"100.64.0.4:2","target":"i-2"},"level":"info","timestamp":"2026-03-18T03:18:05Z","message":"opened"}
{"fields":{"kind":"servers"},"level":"warn","timestamp":"2026-03-18T03:18:50Z","message":"store lost"}
`

// hostC has got packets of the flow without a line on it.
const hostC = `{"fields":{"host":"c"},"level":"info","timestamp":"2026-03-18T03:18:07Z","message":"started"}
`

const ends = `caller {"fields":{"source":"100.64.0.4:1","via":"c"},"level":"info","timestamp":"2026-03-18T03:18:06.5Z","message":"sent packet"}
`

const hostB = `   6.1 b {"fields":{"source":"100.64.0.4:1","reason":"unknownCookie"},"level":"info","timestamp":"2026-03-18T03:18:06Z","message":"packet dropped"}
`

func ExampleExplain() {
	a, _ := oplog.Read(strings.NewReader(hostA), "file")
	b, _ := oplog.Read(strings.NewReader(hostB), "file")
	c, _ := oplog.Read(strings.NewReader(hostC+ends), "file")
	for _, l := range oplog.Explain(slices.Concat(a, b, c), "100.64.0.4:1", 2*time.Second) {
		fmt.Println(l)
	}
	// Output:
	// 03:18:04.000 a table changed kind=servers revision=9
	// 03:18:05.000 a opened source=100.64.0.4:1 target=i-1
	// 03:18:06.000 b packet dropped reason=unknownCookie source=100.64.0.4:1
	// 03:18:06.500 caller sent packet source=100.64.0.4:1 via=c
	// 03:18:07.000 c started host=c
}

func TestExplainUnknownFlow(t *testing.T) {
	is := is.New(t)
	lines, err := oplog.Read(strings.NewReader(hostA), "file")
	is.NoErr(err)
	is.Equal(len(oplog.Explain(lines, "100.64.0.9:9", time.Hour)), 0)
}

func FuzzRead(f *testing.F) {
	f.Add(hostA)
	f.Add(hostB)
	f.Fuzz(func(t *testing.T, s string) {
		lines, err := oplog.Read(strings.NewReader(s), "h")
		if err == nil && len(lines) > strings.Count(s, "\n")+1 {
			t.Fatal("more lines read than the input has")
		}
	})
}
