package oplog

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

// Line is one line of a host's log.
type Line struct {
	Host    string         `json:"host"`
	Time    time.Time      `json:"time"`
	Level   string         `json:"level"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"`
}

// maxLineBytes bounds one line of a log.
const maxLineBytes = 1 << 20

// Read reads the lines of a log. What stands before the JSON object of a line is
// skipped, but for its last word, which names the host; without it the host is
// the one that its own line "started" names, or else the given name. Lines
// without a JSON object are skipped.
func Read(r io.Reader, host string) ([]Line, error) {
	var lines []Line
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		before, object, ok := strings.Cut(s.Text(), "{")
		var raw struct {
			Fields    map[string]any `json:"fields"`
			Level     string         `json:"level"`
			Timestamp time.Time      `json:"timestamp"`
			Message   string         `json:"message"`
		}
		if !ok || json.Unmarshal([]byte("{"+object), &raw) != nil || raw.Message == "" {
			continue
		}
		l := Line{host, raw.Timestamp, raw.Level, raw.Message, raw.Fields}
		if words := strings.Fields(before); len(words) > 0 {
			l.Host = words[len(words)-1]
		} else if name, ok := raw.Fields["host"].(string); ok && raw.Message == "started" {
			host, l.Host = name, name
		}
		lines = append(lines, l)
	}
	if err := s.Err(); err != nil {
		return nil, merry.Prepend(err, "log")
	}
	return lines, nil
}

// Explain returns the lines that tell the story of the flow from a source, in the
// order of their times: those that name the flow, and those by which a host that
// took part changed what it believes, up to around before the first and after the
// last. Clocks of hosts may differ, so the order between hosts is a guess.
func Explain(lines []Line, source string, around time.Duration) []Line {
	var flow []Line
	took := make(map[string]bool)
	for _, l := range lines {
		if l.Fields["source"] == source {
			flow = append(flow, l)
			took[l.Host] = true
		}
	}
	if len(flow) == 0 {
		return nil
	}
	slices.SortStableFunc(flow, byTime)
	from, to := flow[0].Time.Add(-around), flow[len(flow)-1].Time.Add(around)
	for _, l := range lines {
		if _, other := l.Fields["source"]; !other && took[l.Host] && !l.Time.Before(from) && !l.Time.After(to) {
			flow = append(flow, l)
		}
	}
	slices.SortStableFunc(flow, byTime)
	return flow
}

func byTime(a, b Line) int { return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Host, b.Host)) }

// String returns the line as people read it.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s", l.Time.Format("15:04:05.000"), l.Host, l.Message)
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		fmt.Fprintf(&b, " %s=%v", name, l.Fields[name])
	}
	return b.String()
}
