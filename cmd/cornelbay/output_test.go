package main

import (
	"bytes"
	"errors"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/ansel1/merry/v2"
	"github.com/matryer/is"

	"github.com/cornelbay/cornelbay/config"
	"github.com/cornelbay/cornelbay/objectstore"
	"github.com/cornelbay/cornelbay/operator"
)

func TestPrintErrorWritesOneLinePerError(t *testing.T) {
	is := is.New(t)
	var b bytes.Buffer
	code := printError(&b, config.Errors{{Path: "a", Message: "one"}, {Path: "b", Message: "two"}})
	is.Equal(b.String(), "cornelbay: a: one\ncornelbay: b: two\n")
	is.Equal(code, exitInvalid)
}

func TestExitCodes(t *testing.T) {
	for _, c := range []struct {
		err  error
		code int
	}{
		{errors.New("any"), exitFailure},
		{objectstore.ErrUnavailable, exitFailure},
		{&operator.UnknownError{Cause: objectstore.ErrUnavailable}, exitFailure},
		{merry.Wrap(errUsage), exitInvalid},
		{merry.Wrap(operator.ErrUndrainedRemoval), exitInvalid},
		{&operator.ConflictError{}, exitConflict},
		{errors.Join(merry.Wrap(operator.ErrNotEverywhere), nil), exitNotEverywhere},
	} {
		is.New(t).Equal(exitCode(c.err), c.code)
	}
}

// runCommand runs a command line against the platform's service at url.
func runCommand(t *testing.T, url string, args ...string) error {
	t.Helper()
	var c cli
	parser, err := kong.New(&c)
	if err != nil {
		t.Fatal(err)
	}
	k, err := parser.Parse(append(args, "--platform="+url))
	if err != nil {
		t.Fatal(err)
	}
	return k.Run()
}

func TestCommandsCommitInSequence(t *testing.T) {
	is := is.New(t)
	m := &objectstore.Memory{}
	s := httptest.NewServer(&objectstore.Server{Service: m})
	t.Cleanup(s.Close)
	authorFlags := []string{"--author=aicha", "--reason=trial"}
	command := func(args ...string) error { return runCommand(t, s.URL, append(args, authorFlags...)...) }
	agence := "../../examples/agence.json"
	is.NoErr(command("apply", agence, "--change=first"))
	is.NoErr(command("apply", agence, "--change=first")) // repeated with the same id: no second commit
	is.NoErr(command("target", "drain", "statut-1"))
	is.NoErr(command("target", "drain", "statut-1")) // already draining: no commit
	is.NoErr(command("data-centre", "out", "todra", "--json"))
	is.Equal(exitCode(command("target", "drain", "nobody")), exitInvalid)
	is.Equal(exitCode(command("apply", agence, "--base=1")), exitConflict)
	is.Equal(exitCode(command("apply")), exitInvalid)
	is.Equal(exitCode(command("target", "undrain", "statut-1", "--wait")), exitInvalid) // no hosts to wait for
	is.NoErr(command("apply", "--rollback-to=1"))

	b, err := os.ReadFile(agence)
	is.NoErr(err)
	renamed := filepath.Join(t.TempDir(), "less.json")
	is.NoErr(os.WriteFile(renamed, []byte(strings.Replace(string(b), `"statut-1"`, `"statut-15"`, 1)), 0o600))
	is.Equal(exitCode(command("apply", renamed)), exitInvalid) // removes statut-1, which is not draining

	c := &operator.Client{Service: m}
	h, doc, err := c.Load(t.Context())
	is.NoErr(err)
	is.Equal(h.Generation, uint64(4))
	is.Equal(h.Author, "aicha")
	first, err := loadDocument(agence)
	is.NoErr(err)
	is.Equal(len(config.Diff(first, doc)), 0)
	is.NoErr(runCommand(t, s.URL, "history"))
	is.NoErr(runCommand(t, s.URL, "get", "--generation=2"))
	is.NoErr(runCommand(t, s.URL, "diff", agence))
}
