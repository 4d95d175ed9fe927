package main

import (
	"fmt"
	"io"
	"os"

	"github.com/ansel1/merry/v2"

	"github.com/cornelbay/cornelbay/config"
	"github.com/cornelbay/cornelbay/lint"
	"github.com/cornelbay/cornelbay/platform"
)

// The errors of check, by which it exits.
var (
	errFindings = merry.New("configuration has errors")
	errWarnings = merry.New("configuration has warnings")
)

type checkCmd struct {
	outputFlags
	File    string `arg:"" help:"File of a document, or of a routing configuration of the platform."`
	Against string `help:"File of the same format to compare with, such as what is in force." placeholder:"FILE"`
}

// checkResult is the output of check.
type checkResult struct {
	Findings    []lint.Finding `json:"findings"`
	Differences []lint.Change  `json:"differences"`
}

// configuration is a file in one of the formats that check reads.
type configuration struct {
	// document and routing are nil if the file is of the other format or can't be decoded.
	document *config.Document
	routing  *lint.Routing
	// isRouting is the format of the file, also if it can't be decoded.
	isRouting bool
	text      []byte
	findings  []lint.Finding
}

// Run prints the findings about the file and its differences from another version.
func (c *checkCmd) Run() error {
	result, err := c.check()
	if err != nil {
		return err
	}
	err = c.print(result, func(w io.Writer) {
		printFindings(w, c.File, result.Findings)
		for _, d := range result.Differences {
			fmt.Fprintln(w, d)
		}
	})
	if err != nil {
		return err
	}
	failures, warnings := lint.Count(result.Findings, lint.Error), lint.Count(result.Findings, lint.Warning)
	switch summary := merry.AppendMessagef("%d errors, %d warnings", failures, warnings); {
	case failures > 0:
		return merry.Wrap(errFindings, summary)
	case warnings > 0:
		return merry.Wrap(errWarnings, summary)
	}
	return nil
}

func (c *checkCmd) check() (checkResult, error) {
	text, err := readFile(c.File)
	if err != nil {
		return checkResult{}, err
	}
	if c.Against == "" {
		return compare(parseConfiguration(text), nil), nil
	}
	against, err := readFile(c.Against)
	if err != nil {
		return checkResult{}, err
	}
	present, next := parseConfiguration(against), parseConfiguration(text)
	if present.isRouting != next.isRouting {
		return checkResult{}, merry.Wrap(errUsage, merry.AppendMessagef("%s and %s have different formats", c.File, c.Against))
	}
	if present.document == nil && present.routing == nil {
		return checkResult{}, merry.Wrap(errUsage, merry.AppendMessagef("%s can't be compared with: %s", c.Against, present.findings[0]))
	}
	return compare(next, present), nil
}

// readFile returns the text of a file; a file that can't be read is invalid input.
func readFile(path string) ([]byte, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, merry.Wrap(errUsage, merry.AppendMessage(err.Error()))
	}
	return b, nil
}

// compare returns the findings about a configuration and, unless present is nil or next
// can't be decoded, how it differs from present, which has the same format.
func compare(next, present *configuration) checkResult {
	r := checkResult{Findings: append([]lint.Finding{}, next.findings...), Differences: []lint.Change{}}
	switch {
	case present == nil:
	case next.document != nil && present.document != nil:
		r.Differences = append(r.Differences, lint.DiffDocuments(present.document, next.document)...)
	case next.routing != nil && present.routing != nil:
		r.Differences = append(r.Differences, lint.DiffRoutings(*present.routing, *next.routing)...)
		r.Findings = append(r.Findings, lint.CheckVersions(*present.routing, *next.routing)...)
		lint.Locate(next.text, r.Findings)
	}
	return r
}

func parseConfiguration(text []byte) *configuration {
	if platform.IsRouting(text) {
		return parseRouting(text)
	}
	doc, findings := lint.ParseDocument(text)
	return &configuration{document: doc, text: text, findings: findings}
}

func parseRouting(text []byte) *configuration {
	f := platform.ParseRouting(text)
	c := &configuration{isRouting: true, text: text}
	c.findings = append(lint.Convert(f.Invalid, lint.Error), lint.Convert(f.Ignored, lint.Warning)...)
	if f.Decoded {
		c.routing = &lint.Routing{Routing: f.Routing, Prioritized: f.Prioritized, NoWarmUp: f.NoWarmUp}
		reported := f.Invalid.Paths()
		for _, found := range lint.CheckRouting(*c.routing) {
			if found.Path = f.WirePath(found.Path); !reported[found.Path] {
				c.findings = append(c.findings, found)
			}
		}
	}
	lint.Locate(text, c.findings)
	return c
}

// printFindings writes one line for each finding about a file.
func printFindings(w io.Writer, file string, findings []lint.Finding) {
	for _, f := range findings {
		fmt.Fprintf(w, "%s: %s\n", file, f)
	}
}
