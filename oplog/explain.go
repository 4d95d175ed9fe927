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

// Line is a log line of a host.
type Line struct {
	Host    string         `json:"host"`
	Time    time.Time      `json:"time"`
	Level   string         `json:"level"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"`
}

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// Read parses a log with one JSON object per line. Text before the object is skipped,
// except that its last word names the host. Without such text the host is taken from
// the most recent "started" line, or else is the given one. Lines without a valid
// object are skipped.
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

// Explain returns the lines relevant to the flow from a source, ordered by time: those
// that name the flow, and those of the hosts involved, which also are those that packets
// were sent via, that name no source, from
// margin before the flow's first line until margin after its last. Clocks of
// hosts may differ, so the order of lines of different hosts is approximate.
func Explain(lines []Line, source string, margin time.Duration) []Line {
	var flow []Line
	involved := make(map[string]bool)
	for _, l := range lines {
		if l.Fields["source"] == source {
			flow = append(flow, l)
			involved[l.Host] = true
			if via, ok := l.Fields["via"].(string); ok {
				involved[via] = true
			}
		}
	}
	if len(flow) == 0 {
		return nil
	}
	slices.SortStableFunc(flow, byTime)
	from, to := flow[0].Time.Add(-margin), flow[len(flow)-1].Time.Add(margin)
	for _, l := range lines {
		if _, other := l.Fields["source"]; !other && involved[l.Host] && !l.Time.Before(from) && !l.Time.After(to) {
			flow = append(flow, l)
		}
	}
	slices.SortStableFunc(flow, byTime)
	return flow
}

func byTime(a, b Line) int { return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Host, b.Host)) }

// String formats the line for display.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s", l.Time.Format("15:04:05.000"), l.Host, l.Message)
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		fmt.Fprintf(&b, " %s=%v", name, l.Fields[name])
	}
	return b.String()
}
