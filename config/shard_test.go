package config

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"github.com/cornelbay/cornelbay"
)

// largeDocument returns a document of the given size. Targets are assigned to services
// and services to groups in turn.
func largeDocument(groups, services, targets int) *Document {
	doc := &Document{Deployment: "large", DataCentres: []cornelbay.DataCentre{{Name: "imlil"}}}
	for i := range services {
		doc.Services = append(doc.Services, cornelbay.Service{
			Name: cornelbay.ServiceName(fmt.Sprint("service-", i)), Group: fmt.Sprint("group-", i%groups),
			Address: netip.AddrFrom4([4]byte{192, 0, byte(i >> 8), byte(i)}), Port: 443, Protocol: cornelbay.TCP,
		})
	}
	for i := range targets {
		s := &doc.Services[i%services]
		at := netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)})
		s.Targets = append(s.Targets, cornelbay.Target{
			Name: cornelbay.TargetName(fmt.Sprint("target-", i)), DataCentre: "imlil",
			Tunnel: netip.AddrPortFrom(at, 6081), HTTP: netip.AddrPortFrom(at, 8080),
		})
	}
	return doc
}

// TestChangeRewritesFewObjects checks that a small change to a group of the design
// size, next to a second group, creates only a few new objects.
func TestChangeRewritesFewObjects(t *testing.T) {
	is := is.New(t)
	doc := largeDocument(2, 1900, 15_800)
	is.Equal(len(doc.Validate()), 0)
	before, old, err := doc.Split()
	is.NoErr(err)
	for _, b := range old {
		is.True(len(b) <= 2*ShardBytes)
	}
	changed := doc.Clone()
	changed.Services[100].Targets[3].Drain = true
	after, objects, err := changed.Split()
	is.NoErr(err)
	fresh := 0
	for d := range objects {
		if old[d] == nil {
			fresh++
		}
	}
	is.Equal(fresh, 2) // one shard and the manifest of its group
	is.Equal(after.Manifest("group-1"), before.Manifest("group-1"))

	removed := doc.Clone()
	removed.Services = append(removed.Services[:100], removed.Services[101:]...)
	after, objects, err = removed.Split()
	is.NoErr(err)
	fresh = 0
	for d := range objects {
		if old[d] == nil {
			fresh++
		}
	}
	is.True(fresh <= 4) // shards after the removed service still start at the same services
	joined, err := objects.JoinAll(after)
	is.NoErr(err)
	is.Equal(len(joined.Services), 1899)
}
