package fakeplatform

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/cornelbay/cornelbay/platform"
)

// Route is a route of the routing configuration.
type Route struct {
	Address netip.AddrPort
	Service string
	// Objective is the latency objective, or 0 for none.
	Objective time.Duration
	// Priority is 0 for the most urgent requests.
	Priority int
}

// PutRoutes writes the routing configuration, as an operator does.
func (s *Store) PutRoutes(version int, routes ...Route) {
	list := []any{}
	for _, r := range routes {
		list = append(list, map[string]any{
			"name": r.Address.String(), "host": r.Address.Addr().String(), "path_prefix": fmt.Sprintf("/%d/", r.Address.Port()),
			"route_type": "safe", "service": r.Service, "target_latency_ms": r.Objective.Milliseconds(), "priority": r.Priority,
		})
	}
	s.Put(platform.RoutingKind, "main", map[string]any{
		"version": version, "routes": list, "services": []any{}, "limits": map[string]any{"idle_timeout_ms": 15000},
	})
}

// RemoveRoutes deletes the routing configuration.
func (s *Store) RemoveRoutes() { s.Put(platform.RoutingKind, "main", nil) }

// defaultSlots are the slots that a target without a limit announces.
const defaultSlots = 2

// PutTarget writes the object that a target publishes about itself; the version, seq_no and
// born in it are fixed.
func (s *Store) PutTarget(t *Target, service, dataCentre string, draining bool) {
	state := "ready"
	if draining {
		state = "draining"
	}
	t.mu.Lock()
	slots, warmUp := t.cfg.Slots, t.cfg.WarmUp
	t.mu.Unlock()
	if slots == 0 {
		slots = defaultSlots
	}
	s.Put(platform.TargetKind, t.Name, map[string]any{
		"service": service, "address": t.Address().String(), "zone": dataCentre, "version": "v1", "slots": slots,
		"state": state, "warmup_left_ms": warmUp.Milliseconds(), "seq_no": 1, "born": 1,
	})
}

// Settings are the values of a settings file in the platform's format.
type Settings struct {
	Host, DataCentre string
	Address          netip.Addr
	// PacketPort, ReadyPort and PeerPort are ports on Address.
	PacketPort, ReadyPort, PeerPort int
	Seeds                           []netip.Addr
	Store                           string
	GraceSeconds, DrainMs           int
}

// String returns the contents of the settings file.
func (s Settings) String() string {
	var seeds []string
	for _, a := range s.Seeds {
		seeds = append(seeds, fmt.Sprintf(`"%s:1"`, a))
	}
	return fmt.Sprintf(`node_name = "%s"
ip = "%s"
zone = "%s"
internal_port_range = [%d, %d]
seeds = [%s]
ecmp_hash = "mod"
form = "echo"
[bind_addrs]
datagram_addr = "%s:%d"
ready = "%s:%d"
[bounds]
grace_s = %d
drain_ms = %d
[platform]
address = "%s"
form = "objects"
`, s.Host, s.Address, s.DataCentre, s.PeerPort, s.PeerPort+5, strings.Join(seeds, ", "),
		s.Address, s.PacketPort, s.Address, s.ReadyPort, s.GraceSeconds, s.DrainMs, s.Store)
}
