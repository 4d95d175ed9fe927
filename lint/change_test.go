package lint_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/config"
	"github.com/cornelbay/cornelbay/examples"
	"github.com/cornelbay/cornelbay/lint"
	"github.com/cornelbay/cornelbay/registry"
)

func lines(changes []lint.Change) []string {
	var out []string
	for _, c := range changes {
		out = append(out, c.String())
	}
	return out
}

func TestDiffDocuments(t *testing.T) {
	is := is.New(t)
	from, err := config.Parse(examples.Agence)
	is.NoErr(err)
	to := from.Clone()
	to.Deployment = "agence-2"
	to.DataCentres[3].Out = true
	to.DataCentres = append(to.DataCentres, cornelbay.DataCentre{Name: "zagora"})
	to.Services[0].Group = "bulk"
	to.Services[0].Targets[2].Drain = true
	to.Services[0].Targets[1].Slots = 4
	to.Services[1].Targets = to.Services[1].Targets[1:]
	to.Services[1].Level.LatencyMs = 900
	is.Equal(lines(lint.DiffDocuments(from, to)), []string{
		"deployment changed from agence to agence-2",
		"data centre todra: out changed from false to true",
		"data centre zagora added: region none",
		`service carto: level changed from {"objective":0.999,"latencyMs":2000,"windowHours":720} to {"objective":0.999,"latencyMs":900,"windowHours":720}`,
		"target carto-1 of service carto removed: data centre imlil, tunnel 127.11.0.1:6081, 2 slots",
		"service statut: group changed from none to bulk",
		"target statut-2 of service statut: slots changed from 2 to 4",
		"target statut-3 of service statut: drain changed from false to true",
	})
	to = from.Clone()
	to.Services = to.Services[:1]
	is.Equal(lines(lint.DiffDocuments(to, from)), []string{"service carto added: address 192.0.2.11:443, tcp, 4 targets"})
}

func routing() lint.Routing {
	c := lint.Routing{Prioritized: []bool{true, false}}
	c.Version, c.IdleTimeout = 7, 15*time.Second
	c.Services = []registry.Service{{Name: "statut", ColdPerSecond: 4.5}, {Name: "carto", ColdPerSecond: 2}}
	c.Routes = []registry.Route{
		{
			Name: "a", Address: netip.MustParseAddrPort("198.18.0.1:8080"), Timeout: 3 * time.Second, Objective: 400 * time.Millisecond,
			Priority: 1, Shares: []registry.Share{{Service: "statut", Weight: 1}},
		},
		{
			Name: "b", Address: netip.MustParseAddrPort("198.18.0.1:8443"), Repeatable: true,
			Shares: []registry.Share{{Service: "statut", Weight: 90}, {Service: "carto", Weight: 10}},
		},
	}
	return c
}

// TestDiffRoutingsReportsEveryField guards against a change of a field that the
// comparison leaves out.
func TestDiffRoutingsReportsEveryField(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(c *lint.Routing)
		want   []string
	}{
		{"nothing", func(*lint.Routing) {}, nil},
		{"order", func(c *lint.Routing) {
			c.Routes[0], c.Routes[1] = c.Routes[1], c.Routes[0]
			c.Prioritized = []bool{false, true}
		}, nil},
		{"version", func(c *lint.Routing) { c.Version = 8 }, []string{"version changed from 7 to 8"}},
		{"idle timeout", func(c *lint.Routing) { c.IdleTimeout = 0 }, []string{"limits: idle timeout changed from 15s to none"}},
		{"address", func(c *lint.Routing) { c.Routes[0].Address = netip.MustParseAddrPort("198.18.0.2:80") }, []string{
			"route a: address changed from 198.18.0.1:8080 to 198.18.0.2:80",
		}},
		{"no address", func(c *lint.Routing) { c.Routes[0].Address = netip.AddrPort{} }, []string{"route a: address changed from 198.18.0.1:8080 to none"}},
		{"times", func(c *lint.Routing) { c.Routes[0].Timeout, c.Routes[0].Objective = time.Second, 0 }, []string{
			"route a: timeout changed from 3s to 1s", "route a: objective changed from 400ms to none",
		}},
		{"priority", func(c *lint.Routing) { c.Routes[0].Priority = 0 }, []string{"route a: priority changed from 1 to 0"}},
		{"explicit priority", func(c *lint.Routing) { c.Prioritized[1] = true }, []string{"route b: priority changed from none to 0"}},
		{"repeatable", func(c *lint.Routing) { c.Routes[0].Repeatable = true }, []string{"route a: repeatable changed from false to true"}},
		{"weight", func(c *lint.Routing) { c.Routes[1].Shares[0].Weight = 95 }, []string{
			"route b: services changed from statut (weight 90) and carto (weight 10) to statut (weight 95) and carto (weight 10)",
		}},
		{"warm-up rate", func(c *lint.Routing) { c.Services[0].ColdPerSecond = 0 }, []string{"service statut: warm-up rate changed from 4.5/s to 0/s"}},
		{"names", func(c *lint.Routing) { c.Routes[0].Name, c.Services[1].Name = "c\n", "depot" }, []string{
			"route a removed: address 198.18.0.1:8080, services statut, timeout 3s, objective 400ms, priority 1, repeatable false",
			`route c\n added: address 198.18.0.1:8080, services statut, timeout 3s, objective 400ms, priority 1, repeatable false`,
			"service carto removed: warm-up rate 2/s",
			"service depot added: warm-up rate 2/s",
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			to := routing()
			c.change(&to)
			is.New(t).Equal(lines(lint.DiffRoutings(routing(), to)), c.want)
		})
	}
}

func ExampleCheckRouting() {
	c := lint.Routing{}
	c.Version = 1
	c.Routes = []registry.Route{{
		Name: "a", Address: netip.MustParseAddrPort("198.18.0.1:80"), Timeout: 100 * time.Millisecond,
		Objective: 400 * time.Millisecond, Shares: []registry.Share{{Service: "statut"}},
	}}
	for _, f := range lint.CheckRouting(c) {
		fmt.Println(f)
	}
	// Output:
	// error: routes[0].shares: every weight of route a is 0: its flows are refused
	// warning: routes[0].timeout: the timeout of 100ms is below the objective of 400ms
}

// TestShadowingAgreesWithView guards against a report of another route than the one that
// hosts leave unused.
func TestShadowingAgreesWithView(t *testing.T) {
	is := is.New(t)
	c := routing()
	c.Routes[0].Name, c.Routes[1].Name = "z", "m"
	c.Routes[1].Address = c.Routes[0].Address
	var tables registry.Tables
	is.True(tables.ReplaceRouting(time.Unix(1, 0), 1, 1, c.Routing))
	inForce := tables.View().Routes[c.Routes[0].Address].Name
	is.Equal(inForce, "z")
	findings := lint.CheckRouting(c)
	is.Equal(lint.Count(findings, lint.Error), 0)
	is.Equal(findings[0].Path, "routes[1].address")

	c.Routes[1].Name = "z"
	c.Routes[1].Address = netip.MustParseAddrPort("198.18.0.1:8443")
	tables = registry.Tables{}
	is.True(tables.ReplaceRouting(time.Unix(1, 0), 1, 1, c.Routing))
	is.Equal(len(tables.View().Routes), 1)
	is.Equal(lint.CheckRouting(c)[0].Path, "routes[1].name")
}
