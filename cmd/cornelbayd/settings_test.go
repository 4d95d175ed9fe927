package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/matryer/is"
)

const hex32 = "000102030405060708090a0b0c0d0e0f000102030405060708090a0b0c0d0e0f"

// parse parses flags in addition to the required ones, which later flags override.
func parse(t *testing.T, flags ...string) *hostCmd {
	t.Helper()
	var c hostCmd
	k, err := kong.New(&c)
	if err != nil {
		t.Fatal(err)
	}
	base := []string{"--name=imlil-1", "--data-centre=imlil", "--platform=http://127.0.0.1:7400", "--hash-key=" + hex32[:32]}
	if _, err := k.Parse(append(base, flags...)); err != nil {
		t.Fatal(err)
	}
	return &c
}

func TestSettingsAreValidated(t *testing.T) {
	for _, c := range []struct {
		flags []string
		want  string
	}{
		{[]string{"--key=" + hex32, "--name=Imlil"}, `--name "Imlil": must be 1 to 63 lower-case`},
		{[]string{"--key=" + hex32, "--data-centre=-a"}, `--data-centre "-a": must be 1 to 63 lower-case`},
		{[]string{"--key=" + hex32, "--platform=ftp://x"}, `--platform "ftp://x": must be a URL such as`},
		{[]string{"--key=" + hex32, "--fabric=localhost:80"}, `--fabric "localhost:80": must be an IP number`},
		{[]string{"--key=" + hex32, "--admin=0.0.0.0:80"}, `--admin "0.0.0.0:80": must be an IP number`},
		{[]string{"--key=" + hex32, "--peers=127.0.0.1:1,host:2"}, `--peers "host:2": must be an IP number`},
		{[]string{"--key=" + hex32, "--traffic-workers=0"}, `--traffic-workers 0: must be from 1 to 64`},
		{[]string{"--key=" + hex32, "--stop-timeout=0s"}, `--stop-timeout "0s": must be more than 0s`},
		{[]string{"--key=" + hex32, "--stop-notice=30s"}, `--stop-notice "30s": must be at least 0s and less`},
		{[]string{"--key=" + hex32, "--hash-key=00"}, `--hash-key: value of 2 characters: must be 32 hexadecimal`},
		{[]string{"--key=" + hex32, "--keys-dir=/nowhere"}, `--keys-dir "/nowhere"`},
		{[]string{"--key=zz"}, `--key: value of 2 characters: must be at least 64 hexadecimal`},
		{[]string{"--key-file=/nowhere"}, `--key-file "/nowhere"`},
		{nil, `0 keys: must be 1 or 2`},
		{[]string{"--key=" + hex32, "--key=" + hex32, "--key=" + hex32}, `3 keys: must be 1 or 2`},
	} {
		t.Run(c.want, func(t *testing.T) {
			is := is.New(t)
			_, err := parse(t, c.flags...).settings()
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), c.want))
			is.True(!strings.Contains(err.Error(), hex32)) // the key is not in the error
		})
	}
}

func TestFileKeysFollowFlagKeys(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "keys")
	is.NoErr(os.WriteFile(path, []byte(strings.Repeat("ab", 32)+"\n"), 0o600))
	s, err := parse(t, "--key="+hex32, "--key-file="+path).settings()
	is.NoErr(err)
	is.Equal(len(s.Keys), 2)
	is.Equal(s.Keys[1][0], byte(0xab))
	is.Equal(s.HashKey, [2]uint64{0x0001020304050607, 0x08090a0b0c0d0e0f})
}
