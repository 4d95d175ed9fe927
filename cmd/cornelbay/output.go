package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/ansel1/merry/v2"

	"github.com/cornelbay/cornelbay/config"
	"github.com/cornelbay/cornelbay/operator"
)

// The exit codes of the command.
const (
	exitFailure       = 1
	exitWarnings      = 1 // of check only
	exitInvalid       = 2
	exitConflict      = 3
	exitNotEverywhere = 4
	exitAlert         = 5
)

const exitHelp = "Exit codes: 0 done, 1 failure or, of check, warnings, 2 invalid input, 3 another change was committed first, 4 not in force everywhere in time, 5 an alert fires."

// errUsage reports an invalid command line.
var errUsage = merry.New("usage")

// outputFlags holds the flags of commands that print tables or JSON.
type outputFlags struct {
	JSON bool `name:"json" help:"Print JSON."`
}

// print writes v as JSON with --json, or otherwise the table that table writes.
func (f outputFlags) print(v any, table func(w io.Writer)) error {
	if f.JSON {
		e := json.NewEncoder(os.Stdout)
		e.SetIndent("", "  ")
		return e.Encode(v)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	table(w)
	return w.Flush()
}

// printError writes each line of an error with a prefix and returns the exit code.
func printError(w io.Writer, err error) int {
	for line := range strings.Lines(err.Error()) {
		fmt.Fprintln(w, "cornelbay: "+strings.TrimSuffix(line, "\n"))
	}
	return exitCode(err)
}

func exitCode(err error) int {
	var validationErrs config.Errors
	var conflict *operator.ConflictError
	switch {
	case errors.As(err, &conflict):
		return exitConflict
	case errors.Is(err, errWarnings):
		return exitWarnings
	case errors.Is(err, errFindings):
		return exitInvalid
	case errors.Is(err, errAlert):
		return exitAlert
	case errors.Is(err, operator.ErrNotEverywhere):
		return exitNotEverywhere
	// fs.ErrNotExist is that of a file named on the command line.
	case errors.As(err, &validationErrs), errors.Is(err, errUsage), errors.Is(err, fs.ErrNotExist):
		return exitInvalid
	}
	for _, invalid := range []error{
		operator.ErrUndrainedRemoval, operator.ErrInvalidChange, operator.ErrNoTarget, operator.ErrNoDataCentre, operator.ErrNoGeneration,
	} {
		if errors.Is(err, invalid) {
			return exitInvalid
		}
	}
	return exitFailure
}
