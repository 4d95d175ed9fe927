package daemon_test

import (
	"encoding/json"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/cornelbay/cornelbay/operator"
)

// setFaults sets the faults that the platform's stand-in injects.
func (p *processEnv) setFaults(body string) {
	p.t.Helper()
	r, err := http.NewRequest(http.MethodPut, p.platform+"/standin/platform/faults", strings.NewReader(body))
	if err != nil {
		p.t.Fatal(err)
	}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		p.t.Fatal(err)
	}
	if err := res.Body.Close(); err != nil || res.StatusCode != http.StatusOK {
		p.t.Fatal(err, res.Status)
	}
}

// TestNewDaemonFetchesConfigFromPeers starts a daemon while the platform is down. It
// must fetch the generation in force from other hosts over net/rpc. Then every
// response to a write is lost, and a change must still be applied exactly once.
func TestNewDaemonFetchesConfigFromPeers(t *testing.T) {
	is := is.New(t)
	p := newProcessEnv(t)
	first := p.startDaemon("imlil-1")
	second := p.startDaemon("imlil-2", first.Fields.Datagram.String())
	p.apply(p.document)
	p.waitGeneration(first, 1)
	p.waitGeneration(second, 1)

	p.setFaults(`{"down": true}`)
	third := p.startDaemon("imlil-3", first.Fields.Datagram.String(), second.Fields.Datagram.String())
	p.waitGeneration(third, 1)

	p.setFaults(`{"loseEvery": 1}`)
	hosts := "--hosts=" + first.Fields.Admin.String()
	out, err := exec.Command(filepath.Join(p.dir, "cornelbay"), "target", "drain", "statut-1", "--wait", "--timeout=1m", hosts,
		"--platform="+p.platform, "--author=test", "--reason=test").CombinedOutput()
	is.NoErr(err)
	is.True(strings.Contains(string(out), "in force everywhere"))

	p.setFaults(`{}`)
	out, err = exec.Command(filepath.Join(p.dir, "cornelbay"), "status", hosts, "--platform="+p.platform, "--json").Output()
	is.NoErr(err)
	var r operator.Report
	is.NoErr(json.Unmarshal(out, &r))
	is.Equal(r.Committed.Generation, uint64(2))
	is.Equal(len(r.Hosts), 3)
	is.True(r.Everywhere)
}
