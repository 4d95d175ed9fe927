package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cornelbay/cornelbay/oplog"
)

type explainCmd struct {
	outputFlags
	Source string        `arg:"" help:"Address and port of the caller's end of the flow, such as 100.64.0.4:1054."`
	Logs   []string      `arg:"" help:"Log files of hosts, or - for standard input."`
	Around time.Duration `help:"How long before and after the flow's own lines the state changes of its hosts are shown." default:"3s"`
}

// Run prints the log lines about one flow and, around them, the state changes that
// its hosts logged.
func (c *explainCmd) Run() error {
	var lines []oplog.Line
	for _, path := range c.Logs {
		l, err := readLog(path)
		if err != nil {
			return err
		}
		lines = append(lines, l...)
	}
	events := oplog.Explain(lines, c.Source, c.Around)
	if len(events) == 0 {
		return merry.Errorf("none of %d log lines mentions the flow from %s", len(lines), c.Source)
	}
	return c.print(events, func(w io.Writer) {
		for _, l := range events {
			fmt.Fprintln(w, l)
		}
	})
}

func readLog(path string) (lines []oplog.Line, err error) {
	if path == "-" {
		return oplog.Read(os.Stdin, "stdin")
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, merry.Prepend(err, "open log")
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	return oplog.Read(f, strings.TrimSuffix(filepath.Base(path), filepath.Ext(path)))
}
