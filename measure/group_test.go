package measure

import (
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/config"
	"github.com/cornelbay/cornelbay/entry"
	"github.com/cornelbay/cornelbay/operator"
)

func TestGroupTakesChange(t *testing.T) {
	is := is.New(t)
	b, err := os.ReadFile("../examples/agence.json")
	is.NoErr(err)
	doc, err := config.Parse(b)
	is.NoErr(err)
	g := NewGroup(1)
	var hosts []cornelbay.Host
	for i, name := range []cornelbay.HostName{"a", "b", "c", "d", "e", "f"} {
		hosts = append(hosts, cornelbay.Host{
			Name: name, DataCentre: doc.DataCentres[i%4].Name, Incarnation: 1,
			Datagram: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000),
		})
	}
	for _, h := range hosts {
		g.StartHost(entry.Settings{Self: h, InitialHosts: hosts})
	}
	_, err = operator.Apply(t.Context(), &g.Store, doc, operator.Change{ID: "first", Author: "test"})
	is.NoErr(err)
	g.Run(4 * time.Second)
	for _, name := range g.Names() {
		n := g.Nodes[name]
		is.Equal(n.Head().Generation, uint64(1))
		is.Equal(len(n.Members(g.Now).Live), 6)
	}
}
