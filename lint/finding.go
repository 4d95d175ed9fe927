// Package lint finds what is wrong or suspicious in a configuration before it is sent,
// and describes how it differs from another version.
package lint

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"unicode"

	"github.com/cornelbay/cornelbay/strictjson"
)

// Severity tells whether a configuration with a finding may be sent.
type Severity string

// The severities of findings.
const (
	// Error marks a configuration that is refused, or an entry all of whose flows are
	// refused.
	Error Severity = "error"
	// Warning marks an entry that has no effect, or values that contradict each other.
	Warning Severity = "warning"
)

// Finding is one thing that is wrong or suspicious in a configuration.
type Finding struct {
	Severity Severity `json:"severity"`
	// Path is the location in the file, such as services[0].targets[3].slots; it is empty
	// when the finding concerns the whole file.
	Path string `json:"path"`
	// Line is the line of Path in the file, from 1, or 0 if it isn't known.
	Line    int    `json:"line,omitempty"`
	Message string `json:"message"`
}

// String formats the finding on one line.
func (f Finding) String() string {
	var b strings.Builder
	if f.Line > 0 {
		fmt.Fprintf(&b, "line %d: ", f.Line)
	}
	b.WriteString(string(f.Severity) + ": ")
	if f.Path != "" {
		b.WriteString(f.Path + ": ")
	}
	b.WriteString(f.Message)
	return printable(b.String())
}

// printable escapes control characters, which keys and names of a file may contain and
// which would break the line or control the terminal.
func printable(s string) string {
	if !strings.ContainsFunc(s, func(r rune) bool { return !unicode.IsPrint(r) }) {
		return s
	}
	var b strings.Builder
	for _, r := range s {
		if unicode.IsPrint(r) {
			b.WriteRune(r)
			continue
		}
		quoted := strconv.QuoteRune(r)
		b.WriteString(quoted[1 : len(quoted)-1])
	}
	return b.String()
}

// Convert returns the errors of a decoder as findings of a severity.
func Convert(errs strictjson.Errors, severity Severity) []Finding {
	var out []Finding
	for _, e := range errs {
		out = append(out, Finding{Severity: severity, Path: e.Path, Message: e.Message})
	}
	return out
}

// Count returns the number of findings of a severity.
func Count(findings []Finding, severity Severity) int {
	n := 0
	for _, f := range findings {
		if f.Severity == severity {
			n++
		}
	}
	return n
}

// Locate sets the lines of the findings in the file text, and orders the findings by
// line. A finding about a missing field gets the line of the value that lacks it, and
// one without a path that of the file's first syntax error, if any.
func Locate(text []byte, findings []Finding) {
	if len(findings) == 0 {
		return
	}
	lines := make(map[string]int)
	for _, f := range findings {
		for path := f.Path; path != ""; path = parent(path) {
			lines[path] = 0
		}
	}
	line, counted := 1, 0
	lineAt := func(offset int) int {
		line += bytes.Count(text[counted:offset], []byte("\n"))
		counted = offset
		return line
	}
	failed := strictjson.Walk(text, func(path string, offset int, _ json.Token) {
		if l, ok := lines[path]; ok && l == 0 {
			lines[path] = lineAt(offset)
		}
	})
	if failed >= 0 {
		lines[""] = lineAt(min(failed, len(bytes.TrimRight(text, "\n"))))
	}
	for i := range findings {
		f := &findings[i]
		f.Line = lines[f.Path]
		for path := parent(f.Path); f.Line == 0 && path != ""; path = parent(path) {
			f.Line = lines[path]
		}
	}
	slices.SortStableFunc(findings, func(a, b Finding) int { return cmp.Compare(a.Line, b.Line) })
}

// parent returns the path of the value that contains the one at path.
func parent(path string) string {
	return path[:max(0, strings.LastIndexAny(path, ".["))]
}

// list collects findings.
type list []Finding

func (l *list) error(path, format string, args ...any) { l.add(Error, path, format, args...) }

func (l *list) warn(path, format string, args ...any) { l.add(Warning, path, format, args...) }

func (l *list) add(s Severity, path, format string, args ...any) {
	*l = append(*l, Finding{Severity: s, Path: path, Message: fmt.Sprintf(format, args...)})
}
