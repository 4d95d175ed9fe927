package main

import (
	"encoding/json"
	"io"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/matryer/is"

	"github.com/cornelbay/cornelbay/examples"
	"github.com/cornelbay/cornelbay/lint"
	"github.com/cornelbay/cornelbay/objectstore"
)

// goodRouting is a routing configuration about which nothing is reported.
const goodRouting = `{"version":7,
"routes":[
 {"name":"a","host":"198.18.0.1","path_prefix":"/8080/","route_type":"unsafe","timeout_ms":3000,"target_latency_ms":400,"priority":1,"service":"statut"},
 {"name":"b","host":"198.18.0.1","path_prefix":"/8443/","route_type":"safe","timeout_ms":2500,"target_latency_ms":400,"priority":2,"backends":[
  {"service":"statut","weight":90},
  {"service":"carto","weight":10}]}],
"services":[
 {"name":"statut","warmup_s":3,"warmup_per_s":4.5},
 {"name":"carto","warmup_per_s":2}],
"limits":{"idle_timeout_ms":15000}}`

// replaced returns the text with the first occurrence of each old string replaced.
func replaced(t *testing.T, text string, pairs ...string) string {
	t.Helper()
	for i := 0; i < len(pairs); i += 2 {
		if !strings.Contains(text, pairs[i]) {
			t.Fatalf("text has no %s", pairs[i])
		}
		text = strings.Replace(text, pairs[i], pairs[i+1], 1)
	}
	return text
}

func findingLines(text, against string) []string {
	var present *configuration
	if against != "" {
		present = parseConfiguration([]byte(against))
	}
	var lines []string
	for _, f := range compare(parseConfiguration([]byte(text)), present).Findings {
		lines = append(lines, f.String())
	}
	return lines
}

func TestCheckReportsNothingAboutGoodFiles(t *testing.T) {
	for _, c := range []struct{ name, text string }{
		{"agence", string(examples.Agence)},
		{"depot", string(examples.Depot)},
		{"routing", goodRouting},
		{"a single route with a priority", `{"version":1,"routes":[{"name":"a","host":"198.18.0.1","path_prefix":"/80/","priority":2,"service":"s"}],"services":[{"name":"s","warmup_per_s":1}]}`},
		{"no priorities", replaced(t, goodRouting, `"priority":1,`, "", `"priority":2,`, "")},
		{"no warm-up time", replaced(t, goodRouting, `"warmup_s":3,"warmup_per_s":4.5`, `"warmup_s":0,"warmup_per_s":0`)},
		{"one weight of 0", replaced(t, goodRouting, `"weight":10`, `"weight":0`)},
		{"unknown keys", replaced(t, goodRouting, `"version":7`, `"version":7,"comment":{"by":null}`)},
		{"no list of services", replaced(t, goodRouting, `"services":[`, `"others":[`)},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(findingLines(c.text, ""), nil)
			is.Equal(findingLines(c.text, c.text), nil)
		})
	}
}

// TestCheckReportsBadRouting guards against configurations that hosts refuse or apply
// without a word although a part of them has no effect.
func TestCheckReportsBadRouting(t *testing.T) {
	for _, c := range []struct {
		name  string
		pairs []string
		want  []string
	}{
		{"syntax", []string{`"priority":2`, `"priority":`}, []string{
			"line 4: error: not valid JSON near byte 308: invalid character ',' looking for beginning of value",
		}},
		{"truncated", []string{`"limits":{"idle_timeout_ms":15000}}`, ""}, []string{
			"line 9: error: not valid JSON near byte 498: unexpected EOF",
		}},
		{"types", []string{`"priority":1`, `"priority":"1"`, `"weight":90`, `"weight":9.5`}, []string{
			`line 3: error: routes[0].priority: got "1", expected a whole number`,
			"line 5: error: routes[1].backends[0].weight: got 9.5, expected a whole number",
		}},
		{"type of a key in another case", []string{`"priority":1`, `"Priority":"1"`}, []string{
			"line 2: error: routes.priority: got string, expected int",
		}},
		{"null", []string{`"priority":1`, `"priority":null`}, []string{
			"line 3: warning: routes[0].priority: got null, expected a whole number",
			"line 4: warning: routes[1].priority: only route b has a priority: there is no other to order it against",
		}},
		{"duplicate key", []string{`"priority":1`, `"priority":1,"priority":0`}, []string{"line 3: warning: routes[0].priority: duplicate key"}},
		{"address is a name", []string{`198.18.0.1`, `statut.example`}, []string{`line 3: error: routes[0].host: "statut.example" is not an IP address`}},
		{"address is of IPv6", []string{`198.18.0.1`, `::ffff:198.18.0.1`}, []string{
			"line 3: error: routes[0].host: ::ffff:198.18.0.1 can never match: it is not a unicast IPv4 address",
		}},
		{"port is not a number", []string{`/8080/`, `/x/`}, []string{`line 3: error: routes[0].path_prefix: "/x/" is not a port between slashes, such as /8080/`}},
		{"port 0", []string{`/8080/`, `/0/`}, []string{"line 3: error: routes[0].path_prefix: port 0 can never match"}},
		{"time out of range", []string{`"timeout_ms":3000`, `"timeout_ms":1e300`}, []string{"line 3: error: routes[0].timeout_ms: 1e+300 ms is out of range"}},
		{"negative times", []string{`"timeout_ms":3000`, `"timeout_ms":-1`, `"target_latency_ms":400,"priority":2`, `"target_latency_ms":-2,"priority":2`, `15000`, `-3`}, []string{
			"line 3: error: routes[0].timeout_ms: must not be negative",
			"line 4: error: routes[1].target_latency_ms: must not be negative",
			"line 10: error: limits.idle_timeout_ms: must not be negative",
		}},
		{"timeout below the objective", []string{`"timeout_ms":2500`, `"timeout_ms":250`}, []string{
			"line 4: warning: routes[1].timeout_ms: the timeout of 250ms is below the objective of 400ms",
		}},
		{"unknown type of route", []string{`"unsafe"`, `"unsave"`}, []string{
			`line 3: warning: routes[0].route_type: "unsave" is none of safe, unsafe and download: its requests are not repeated`,
		}},
		{"shadowed route", []string{`/8080/`, `/8443/`}, []string{
			"line 3: warning: routes[0].host: route a can never match: route b at routes[1] has the same address and port, and of such routes the one whose name sorts last is used",
		}},
		{"name used twice", []string{`"name":"b"`, `"name":"a"`}, []string{
			`line 4: error: routes[1].name: "a" is the name of routes[0] too: hosts use only one of the two routes`,
		}},
		{"route without a service", []string{`,"service":"statut"}`, `}`}, []string{
			"line 3: error: routes[0].service: route a has no service: its flows are refused",
		}},
		{"unknown service", []string{`"service":"statut"}`, `"service":"status"}`, `"service":"carto"`, `"service":"cartoo"`}, []string{
			`line 3: error: routes[0].service: unknown service "status"`,
			`line 6: error: routes[1].backends[1].service: unknown service "cartoo"`,
			"line 9: warning: services[1]: no route leads to service carto",
		}},
		{"service beside backends", []string{`"backends"`, `"service":"depot","backends"`}, []string{
			`line 4: warning: routes[1].service: "depot" has no effect: the route lists backends without it`,
		}},
		{"weights of 0", []string{`"weight":90`, `"weight":0`, `"weight":10`, `"weight":0`}, []string{
			"line 4: error: routes[1].backends: every weight of route b is 0: its flows are refused",
		}},
		{"negative weight", []string{`"weight":90`, `"weight":-1`}, []string{"line 5: error: routes[1].backends[0].weight: -1 must not be negative"}},
		{"service listed twice", []string{`{"name":"carto","warmup_per_s":2}`, `{"name":"carto"},{"name":"carto","warmup_per_s":2}`}, []string{
			"line 9: warning: services[1].name: service carto is listed again at services[2], which is used",
		}},
		{"service without a name", []string{`"name":"carto",`, ""}, []string{
			`line 6: error: routes[1].backends[1].service: unknown service "carto"`,
			"line 9: error: services[1].name: the name is missing",
		}},
		{"warm-up rates", []string{`"warmup_per_s":4.5`, `"warmup_per_s":0.0`, `"warmup_per_s":2`, `"warmup_per_s":-2`}, []string{
			"line 8: warning: services[0].warmup_per_s: a warm-up rate of 0 gives cold targets of service statut only the slack of the settings",
			"line 9: error: services[1].warmup_per_s: -2 must not be negative",
		}},
		{"the same priority", []string{`"priority":2`, `"priority":1`}, []string{
			"line 3: warning: routes[0].priority: every route has priority 1: the priorities order nothing",
		}},
		{"one priority", []string{`"priority":2,`, ``}, []string{
			"line 3: warning: routes[0].priority: only route a has a priority: there is no other to order it against",
		}},
		{"negative priority", []string{`"priority":1`, `"priority":-1`}, []string{"line 3: error: routes[0].priority: -1 is below 0, the most urgent priority"}},
		{"no version", []string{`"version":7,`, ``}, []string{"warning: version: the version is missing or 0: hosts that have a later one ignore the configuration"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(findingLines(replaced(t, goodRouting, c.pairs...), ""), c.want)
		})
	}
}

func TestCheckReportsBadDocument(t *testing.T) {
	_, targets, _ := strings.Cut(string(examples.Agence), `"targets": [`)
	targets, _, _ = strings.Cut(targets, "]")
	for _, c := range []struct {
		name  string
		pairs []string
		want  []string
	}{
		{"syntax", []string{`"port": 443,`, `"port": 443;`}, []string{
			"line 25: error: not valid JSON near byte 415: invalid character ';' after object key:value pair",
		}},
		{"type", []string{`"port": 443`, `"port": "443"`}, []string{`line 25: error: services[0].port: got "443", expected a whole number from 0 to 65535`}},
		{"missing field", []string{`"port": 443,`, ``}, []string{"line 22: error: services[0].port: must be a port from 1 to 65535"}},
		{"unknown data centre", []string{`"dataCentre": "todra"`, `"dataCentre": "imlill"`}, []string{
			`line 54: error: services[0].targets[3].dataCentre: unknown data centre "imlill"`,
		}},
		{"control characters in a key", []string{`"port"`, `"po\nrt\u001b"`}, []string{
			"line 22: error: services[0].port: must be a port from 1 to 65535",
			`line 25: error: services[0].po\nrt\x1b: unknown key`,
		}},
		{"no targets", []string{targets, ""}, []string{"line 27: warning: services[0].targets: service statut has no targets"}},
		{"no target in use", []string{targets, `{"name":"statut-1","dataCentre":"imlil","tunnel":"127.10.0.1:6081","http":"127.10.0.1:8080","drain":true}`}, []string{
			"line 27: warning: services[0].targets: every target of service statut is draining or in a data centre that is out",
		}},
		{"slots over the limit of flows", []string{`"slots": 2`, `"slots": 2001`}, []string{
			"line 33: warning: services[0].targets[0].slots: 2001 slots are more than the 2000 flows that the target may have",
		}},
		{"weight of 0", []string{`"slots": 2,`, `"slots": 2, "weight": 0,`}, []string{
			"line 33: warning: services[0].targets[0].weight: 0 means the default weight of 1; drain the target to give it no new work",
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(findingLines(replaced(t, string(examples.Agence), c.pairs...), ""), c.want)
		})
	}
	is := is.New(t)
	is.Equal(findingLines(`{"deployment":"a","dataCentres":[{"name":"b"}],"services":[]}`, ""), []string{"line 1: warning: services: no service is listed"})
	is.Equal(findingLines("", ""), []string{"line 1: error: not valid JSON near byte 0: unexpected EOF"})
}

// TestCheckReportsVersions guards against a configuration that hosts ignore because its
// version is below that in force.
func TestCheckReportsVersions(t *testing.T) {
	is := is.New(t)
	older := replaced(t, goodRouting, `"version":7`, `"version":6`)
	is.Equal(findingLines(older, goodRouting), []string{"line 1: error: version: 6 is below the present version 7: hosts ignore the configuration"})
	is.Equal(findingLines(goodRouting, older), nil)
	changed := replaced(t, goodRouting, `3000`, `4000`)
	is.Equal(findingLines(changed, goodRouting), []string{"line 1: warning: version: the configuration differs from the present one and has the same version 7"})
}

// captured returns what run writes to the file that to points to.
func captured(t *testing.T, to **os.File, run func() error) (string, error) {
	t.Helper()
	f, err := os.Create(filepath.Join(t.TempDir(), "output"))
	if err != nil {
		t.Fatal(err)
	}
	before := *to
	*to = f
	runErr := run()
	*to = before
	if _, err := f.Seek(0, io.SeekStart); err != nil {
		t.Fatal(err)
	}
	b, err := io.ReadAll(f)
	if err != nil {
		t.Fatal(err)
	}
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
	return string(b), runErr
}

func runCheck(args ...string) error {
	var c cli
	parser, err := kong.New(&c)
	if err != nil {
		return err
	}
	k, err := parser.Parse(append([]string{"check"}, args...))
	if err != nil {
		return err
	}
	return k.Run()
}

func TestCheckCommand(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	good := write("good.json", goodRouting)
	suspicious := write("suspicious.json", replaced(t, goodRouting, `"version":7`, `"version":8`, `2500`, `250`))
	bad := write("bad.json", replaced(t, goodRouting, `/8080/`, `/x/`))
	broken := write("broken.json", "{")
	agence := "../../examples/agence.json"
	for _, c := range []struct {
		name string
		args []string
		code int
		want string
	}{
		{"good", []string{good}, 0, ""},
		{"document", []string{agence}, 0, ""},
		{"same document", []string{agence, "--against=" + agence}, 0, ""},
		{"warnings", []string{suspicious}, exitWarnings, suspicious + ": line 4: warning: routes[1].timeout_ms: the timeout of 250ms is below the objective of 400ms\n"},
		{"errors", []string{bad}, exitInvalid, bad + `: line 3: error: routes[0].path_prefix: "/x/" is not a port between slashes, such as /8080/` + "\n"},
		{"differences", []string{good, "--against=" + bad}, exitWarnings, good + ": line 1: warning: version: the configuration differs from the present one and has the same version 7\n" +
			"route a: address changed from none to 198.18.0.1:8080\n"},
		{"missing file", []string{filepath.Join(dir, "none")}, exitInvalid, ""},
		{"a directory", []string{dir}, exitInvalid, ""},
		{"other version missing", []string{good, "--against=" + filepath.Join(dir, "none")}, exitInvalid, ""},
		{"other version broken", []string{agence, "--against=" + broken}, exitInvalid, ""},
		{"other format", []string{good, "--against=" + agence}, exitInvalid, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			out, err := captured(t, &os.Stdout, func() error { return runCheck(c.args...) })
			is.Equal(out, c.want)
			is.Equal(err == nil, c.code == 0)
			if err != nil {
				is.Equal(exitCode(err), c.code)
			}
		})
	}
	is := is.New(t)
	out, err := captured(t, &os.Stdout, func() error { return runCheck(suspicious, "--against="+good, "--json") })
	is.Equal(exitCode(err), exitWarnings)
	var got map[string][]map[string]any
	is.NoErr(json.Unmarshal([]byte(out), &got))
	is.Equal(got["findings"], []map[string]any{{
		"severity": "warning", "path": "routes[1].timeout_ms", "line": 4.0, "message": "the timeout of 250ms is below the objective of 400ms",
	}})
	is.Equal(got["differences"], []map[string]any{
		{"kind": "changed", "field": "version", "old": "7", "new": "8"},
		{"kind": "changed", "subject": "route b", "field": "timeout", "old": "2.5s", "new": "250ms"},
	})
}

// TestApplyPrintsWarnings guards against a suspicious document that is committed without
// a word, and against warnings that stop a change.
func TestApplyPrintsWarnings(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(&objectstore.Server{Service: &objectstore.Memory{}})
	t.Cleanup(s.Close)
	path := filepath.Join(t.TempDir(), "slots.json")
	apply := func(pairs ...string) (string, error) {
		is.NoErr(os.WriteFile(path, []byte(replaced(t, string(examples.Agence), pairs...)), 0o600))
		return captured(t, &os.Stderr, func() error {
			return runCommand(t, s.URL, "apply", path, "--author=aicha", "--reason=trial", "--json")
		})
	}
	warnings, err := apply(`"slots": 2`, `"slots": 2001`)
	is.NoErr(err)
	is.Equal(warnings, path+": line 33: warning: services[0].targets[0].slots: 2001 slots are more than the 2000 flows that the target may have\n")
	warnings, err = apply()
	is.NoErr(err)
	is.Equal(warnings, "")
	_, err = apply(`"port": 443`, `"port": 0`)
	is.Equal(exitCode(err), exitInvalid)
}

func isError(f lint.Finding) bool { return f.Severity == lint.Error }

// FuzzCheck guards against panics, and against findings that take several lines.
func FuzzCheck(f *testing.F) {
	for _, text := range []string{string(examples.Agence), goodRouting, "{", `{"routes":[{"backends":[{}]},{}],"services":[{}]}`, `{"routes":[{"":0}],"limits":null}`} {
		f.Add([]byte(text), []byte(goodRouting))
		f.Add([]byte(text), examples.Depot)
	}
	f.Fuzz(func(t *testing.T, text, against []byte) {
		next, present := parseConfiguration(text), parseConfiguration(against)
		r := compare(next, present)
		for _, found := range r.Findings {
			if line := found.String(); strings.ContainsAny(line, "\n\r\t\x1b") || found.Line < 0 {
				t.Fatalf("finding %q", line)
			}
		}
		for _, d := range r.Differences {
			if strings.ContainsAny(d.String(), "\n\r\t\x1b") {
				t.Fatalf("difference %q", d)
			}
		}
		if next.document == nil && next.routing == nil && !slices.ContainsFunc(r.Findings, isError) {
			t.Fatal("text that is not decoded has no error")
		}
		if n := len(compare(next, next).Differences); n > 0 {
			t.Fatalf("%d differences from itself", n)
		}
	})
}
