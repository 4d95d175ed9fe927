package config

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/cornelbay/cornelbay"
)

func example(t testing.TB, name string) []byte {
	t.Helper()
	b, err := os.ReadFile("../examples/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestExamplesAreValid(t *testing.T) {
	is := is.New(t)
	for _, name := range []string{"agence.json", "depot.json"} {
		doc, err := Parse(example(t, name))
		is.NoErr(err)
		is.Equal(len(doc.Services), 2)
	}
}

func TestParseReturnsEveryError(t *testing.T) {
	good := string(example(t, "agence.json"))
	replace := func(pairs ...string) string {
		out := good
		for i := 0; i < len(pairs); i += 2 {
			if !strings.Contains(out, pairs[i]) {
				t.Fatalf("example has no %s", pairs[i])
			}
			out = strings.Replace(out, pairs[i], pairs[i+1], 1)
		}
		return out
	}
	for _, c := range []struct {
		name, document string
		want           []string
	}{
		{"misspelt key", replace(`"slots"`, `"slotts"`), []string{"services[0].targets[0].slotts: unknown key"}},
		{"key in other case", replace(`"deployment"`, `"Deployment"`), []string{"Deployment: unknown key"}},
		{"duplicate key", replace(`"port": 443`, `"port": 443, "port": 80`), []string{"services[0].port: duplicate key"}},
		{"wrong types", replace(`"port": 443`, `"port": "443"`, `"slots": 2`, `"slots": 2.5`, `"region": "haut-atlas"`, `"region": ["haut-atlas"]`), []string{
			"dataCentres[0].region: got a list, expected a string",
			`services[0].port: got "443", expected a whole number from 0 to 65535`,
			"services[0].targets[0].slots: got 2.5, expected a whole number",
		}},
		{"bad ports", replace(`"port": 443`, `"port": 0`, "127.10.0.1:6081", "127.10.0.1:0", "127.10.0.2:8080", "127.10.0.2:99999"), []string{
			`services[0].targets[1].http: "127.10.0.2:99999" is not an IP address with a port, such as 192.0.2.1:6081`,
		}},
		{"ports of zero", replace(`"port": 443`, `"port": 0`, "127.10.0.1:6081", "127.10.0.1:0"), []string{
			"services[0].port: must be a port from 1 to 65535",
			"services[0].targets[0].tunnel: must be a unicast IP address with a port from 1 to 65535",
		}},
		{"dangling data centre", replace(`"dataCentre": "todra"`, `"dataCentre": "imlill"`), []string{`services[0].targets[3].dataCentre: unknown data centre "imlill"`}},
		{"duplicate names", replace(`"statut-2"`, `"statut-1"`, `"name": "toubkal"`, `"name": "imlil"`, `"name": "carto"`, `"name": "statut"`), []string{
			"dataCentres[1].name: imlil is already used by dataCentres[0]",
			"services[0].targets[1].name: statut-1 is already used by services[0].targets[0]",
			`services[0].targets[1].dataCentre: unknown data centre "toubkal"`,
		}},
		{"overlap", replace("192.0.2.11", "192.0.2.10", "127.10.0.2:6081", "127.10.0.1:6081"), []string{
			"services[0].targets[1].tunnel: 127.10.0.1:6081 is already used by services[0].targets[0]",
			"services[1].address: 192.0.2.10:443 tcp is already used by services[0]",
		}},
		{"ranges", replace(`"slots": 2`, `"slots": -1, "weight": 1001`, `0.999`, `1`, `"latencyMs": 250`, `"latencyMs": 0`), []string{
			"services[0].level.objective: 1 is not between 0 and 1 (exclusive)",
			"services[0].level.latencyMs: 0 is not between 1 and 3600000",
			"services[0].targets[0].weight: 1001 is not between 0 and 1000",
			"services[0].targets[0].slots: -1 is not between 0 and 10000",
		}},
		{"of both kinds", replace(`"slots"`, `"slotts"`, `"dataCentre": "todra"`, `"dataCentre": "imlill"`, `"port": 443`, `"port": "x"`), []string{
			`services[0].port: got "x", expected a whole number from 0 to 65535`,
			"services[0].targets[0].slotts: unknown key",
			`services[0].targets[3].dataCentre: unknown data centre "imlill"`,
		}},
		{"null", `{"deployment": null, "dataCentres": null, "services": []}`, []string{
			"deployment: got null, expected a string", "dataCentres: got null, expected a list",
		}},
		{"broken", `{"deployment": "a"`, []string{"not valid JSON near byte 18: unexpected EOF"}},
		{"two values", `{} {}`, []string{"more than one JSON value, from byte 4"}},
		{"deep", strings.Repeat("[", 100), []string{"not valid JSON near byte 33: nested too deeply"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse([]byte(c.document))
			errs, ok := err.(Errors)
			is.True(ok)
			got := errs.Error()
			for _, want := range c.want {
				if !strings.Contains("\n"+got+"\n", "\n"+want+"\n") {
					t.Errorf("no error %q in:\n%s", want, got)
				}
			}
		})
	}
}

func TestServiceLargerThanPlatformLimit(t *testing.T) {
	is := is.New(t)
	doc, err := Parse(example(t, "agence.json"))
	is.NoErr(err)
	t0 := doc.Services[0].Targets[0]
	doc.Services[0].Targets = nil
	for i := range 9000 {
		tt := t0
		tt.Name = cornelbay.TargetName("statut-" + strings.Repeat("x", 40) + string(rune('a'+i%26)) + strings.Repeat("y", i%10))
		doc.Services[0].Targets = append(doc.Services[0].Targets, tt)
	}
	var v validator
	v.checkObjectSizes(doc)
	is.True(strings.Contains(v.errs.Error(), "services[0]: "))
	is.True(strings.Contains(v.errs.Error(), "exceed the platform's limit of 1048576"))
}

func TestCanonicalIgnoresOrder(t *testing.T) {
	is := is.New(t)
	doc, err := Parse(example(t, "depot.json"))
	is.NoErr(err)
	reordered := doc.Clone()
	reordered.Services[0], reordered.Services[1] = reordered.Services[1], reordered.Services[0]
	targets := reordered.Services[0].Targets
	targets[0], targets[1] = targets[1], targets[0]
	a, err := doc.Canonical()
	is.NoErr(err)
	b, err := reordered.Canonical()
	is.NoErr(err)
	is.Equal(Digest(a), Digest(b))
	is.Equal(len(Diff(doc, reordered)), 0)
	again, err := Parse(a)
	is.NoErr(err)
	is.Equal(len(Diff(doc, again)), 0)
}

func TestDiff(t *testing.T) {
	is := is.New(t)
	from, err := Parse(example(t, "agence.json"))
	is.NoErr(err)
	to := from.Clone()
	to.DataCentres[3].Out = true
	to.Services[0].Targets[2].Drain = true
	to.Services[1].Targets = to.Services[1].Targets[1:]
	to.Services[1].Level.LatencyMs = 900
	var lines []string
	for _, d := range Diff(from, to) {
		lines = append(lines, d.String())
	}
	is.Equal(lines, []string{
		"~ dataCentres[todra].out: false -> true",
		`~ services[carto].level: {"objective":0.999,"latencyMs":2000,"windowHours":720} -> {"objective":0.999,"latencyMs":900,"windowHours":720}`,
		`- services[carto].targets[carto-1] {"name":"carto-1","dataCentre":"imlil","tunnel":"127.11.0.1:6081","http":"127.11.0.1:8080","slots":2,"maxFlows":2000}`,
		"~ services[statut].targets[statut-3].drain: false -> true",
	})
	is.Equal(UndrainedRemovals(from, to), []cornelbay.TargetName{"carto-1"})
	from.Services[1].Targets[0].Drain = true
	is.Equal(len(UndrainedRemovals(from, to)), 0)
}

func TestSplitAndJoin(t *testing.T) {
	is := is.New(t)
	doc, err := Parse(example(t, "agence.json"))
	is.NoErr(err)
	doc.Services[1].Group = "bulk"
	h, objects, err := doc.Split()
	is.NoErr(err)
	whole, err := objects.JoinAll(h)
	is.NoErr(err)
	is.Equal(len(Diff(doc, whole)), 0)
	part, err := objects.Join(h, "bulk")
	is.NoErr(err)
	is.Equal(len(part.Services), 1)

	held := make(Objects)
	for missing := held.Missing(h, "bulk"); len(missing) > 0; missing = held.Missing(h, "bulk") {
		for _, d := range missing {
			held[d] = objects[d]
		}
	}
	is.Equal(len(held), 3) // base, manifest and one shard
	for d, b := range held {
		held[d] = append([]byte(" "), b...)
		_, err := held.Join(h, "bulk")
		is.True(err != nil) // corrupted
		held[d] = b
	}
}

func TestParseHeadDetectsCorruption(t *testing.T) {
	is := is.New(t)
	h := Head{Generation: 7, Digest: "d", Change: "c", Base: "b", Groups: []GroupManifest{{Manifest: "m"}}}
	b, err := h.Marshal()
	is.NoErr(err)
	back, err := ParseHead(b)
	is.NoErr(err)
	is.Equal(back.Generation, uint64(7))
	for _, bad := range []string{
		strings.Replace(string(b), `:7,`, `:8,`, 1), string(b[:len(b)/2]), "", "{}",
	} {
		_, err := ParseHead([]byte(bad))
		is.True(err != nil)
	}
}

func FuzzParse(f *testing.F) {
	f.Add(example(f, "agence.json"))
	f.Add([]byte(`{"deployment":"a","dataCentres":[{"name":"b","name":"c"}],"services":[{"address":"::1","port":1e9}]}`))
	f.Add([]byte(`{"services":[{"targets":[{"tunnel":"[::1%eth0]:1","http":"1.2.3.4:5","drain":null}]}]}`))
	f.Add([]byte(`[[[[`))
	f.Fuzz(func(t *testing.T, b []byte) {
		doc, err := Parse(b)
		if err != nil {
			return
		}
		canonical, err := doc.Canonical()
		if err != nil {
			t.Fatal(err)
		}
		again, err := Parse(canonical)
		if err != nil {
			t.Fatalf("canonical form is refused: %v", err)
		}
		if d := Diff(doc, again); len(d) > 0 {
			t.Fatalf("canonical form differs: %v", d)
		}
	})
}
