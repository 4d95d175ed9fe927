package lint

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/registry"
)

// Routing is a routing configuration with what its file says beyond the values that
// hosts use.
type Routing struct {
	registry.Routing
	// Prioritized tells for each route whether it has an explicit priority. It may be
	// shorter than Routes.
	Prioritized []bool
	// NoWarmUp tells for each service whether its targets need no warm-up. It may be
	// shorter than Services.
	NoWarmUp []bool
}

func (c *Routing) prioritized(i int) bool { return i < len(c.Prioritized) && c.Prioritized[i] }

func (c *Routing) needsWarmUp(i int) bool { return i >= len(c.NoWarmUp) || !c.NoWarmUp[i] }

// CheckRouting returns the findings about a decoded routing configuration. Paths name
// the fields as package registry encodes them, and the port of a route "port". A route without a valid address is
// reported by its decoder and its address is not checked.
func CheckRouting(c Routing) []Finding {
	r := routingCheck{config: &c, services: make(map[cornelbay.ServiceName]int)}
	if c.Version == 0 {
		r.warn("version", "the version is missing or 0: hosts that have a later one ignore the configuration")
	}
	if len(c.Routes) == 0 {
		r.warn("routes", "no route is listed: every flow is refused")
	}
	r.checkServices()
	for i := range c.Routes {
		r.checkRoute(i)
	}
	r.checkNames()
	r.checkShadowed()
	r.checkUnrouted()
	r.checkPriorities()
	if c.IdleTimeout < 0 {
		r.error("limits.idleTimeout", "must not be negative")
	}
	return r.list
}

type routingCheck struct {
	list
	config *Routing
	// services holds the index of each listed service. Of several with the same name, it
	// is the last.
	services map[cornelbay.ServiceName]int
}

func routePath(i int) string { return fmt.Sprintf("routes[%d]", i) }

func servicePath(i int) string { return fmt.Sprintf("services[%d]", i) }

func (r *routingCheck) checkServices() {
	for i, s := range r.config.Services {
		r.services[s.Name] = i
	}
	for i, s := range r.config.Services {
		path := servicePath(i) + ".coldPerSecond"
		last := r.services[s.Name]
		switch {
		case s.Name == "":
			r.error(servicePath(i)+".name", "the name is missing")
		case last != i:
			r.warn(servicePath(i)+".name", "service %s is listed again at %s, which is used", s.Name, servicePath(last))
		case s.ColdPerSecond < 0:
			r.error(path, "%v must not be negative", s.ColdPerSecond)
		case s.ColdPerSecond == 0 && r.config.needsWarmUp(i):
			r.warn(path, "a warm-up rate of 0 gives cold targets of service %s only the slack of the settings", s.Name)
		}
	}
}

func (r *routingCheck) checkRoute(i int) {
	route, path := &r.config.Routes[i], routePath(i)
	if route.Address.IsValid() {
		r.checkAddress(path, route.Address)
	}
	r.checkShares(i)
	switch {
	case route.Timeout < 0:
		r.error(path+".timeout", "must not be negative")
	case route.Objective < 0:
		r.error(path+".objective", "must not be negative")
	case route.Timeout > 0 && route.Timeout < route.Objective:
		r.warn(path+".timeout", "the timeout of %s is below the objective of %s", route.Timeout, route.Objective)
	}
	if route.Priority < 0 {
		r.error(path+".priority", "%d is below 0, the most urgent priority", route.Priority)
	}
}

// checkAddress reports an address to which no packet can be sent: packets carry IPv4
// addresses.
func (r *routingCheck) checkAddress(path string, at netip.AddrPort) {
	a := at.Addr()
	switch {
	case !a.Is4() || a.IsUnspecified() || a.IsMulticast():
		r.error(path+".address", "%s can never match: it is not a unicast IPv4 address", a)
	case at.Port() == 0:
		r.error(path+".port", "port 0 can never match")
	}
}

func (r *routingCheck) checkShares(i int) {
	route, path := &r.config.Routes[i], routePath(i)+".shares"
	if len(route.Shares) == 0 {
		r.error(path, "route %s has no service: its flows are refused", route.Name)
		return
	}
	positive, negative := false, false
	for j, s := range route.Shares {
		at := fmt.Sprintf("%s[%d]", path, j)
		if s.Weight < 0 {
			negative = true
			r.error(at+".weight", "%d must not be negative", s.Weight)
		}
		positive = positive || s.Weight > 0
		if _, ok := r.services[s.Service]; !ok && len(r.services) > 0 {
			r.error(at+".service", "unknown service %q", s.Service)
		}
	}
	if !positive && !negative {
		r.error(path, "every weight of route %s is 0: its flows are refused", route.Name)
	}
}

// checkNames reports routes with the same name. Hosts keep one route of a name, and which
// one depends on the configurations that a host has read before.
func (r *routingCheck) checkNames() {
	first := make(map[string]int)
	for i := range r.config.Routes {
		name := r.config.Routes[i].Name
		if at, ok := first[name]; ok {
			r.error(routePath(i)+".name", "%q is the name of %s too: hosts use only one of the two routes", name, routePath(at))
			continue
		}
		first[name] = i
	}
}

// checkShadowed reports routes that can never match because another has the same address
// and port. As in registry.View, the one whose name sorts last is in force. Routes with
// the same name are left to checkNames.
func (r *routingCheck) checkShadowed() {
	inForce := make(map[netip.AddrPort]int)
	for i := range r.config.Routes {
		route := &r.config.Routes[i]
		if other, ok := inForce[route.Address]; !ok || route.Name > r.config.Routes[other].Name {
			inForce[route.Address] = i
		}
	}
	for i := range r.config.Routes {
		route, at := &r.config.Routes[i], inForce[r.config.Routes[i].Address]
		if winner := &r.config.Routes[at]; route.Address.IsValid() && route.Name != winner.Name {
			r.warn(routePath(i)+".address", "route %s can never match: route %s at %s has the same address and port, and of such routes the one whose name sorts last is used",
				route.Name, winner.Name, routePath(at))
		}
	}
}

// checkUnrouted reports services to which no route leads.
func (r *routingCheck) checkUnrouted() {
	routed := make(map[cornelbay.ServiceName]bool)
	for i := range r.config.Routes {
		for _, s := range r.config.Routes[i].Shares {
			routed[s.Service] = true
		}
	}
	for i, s := range r.config.Services {
		if s.Name != "" && !routed[s.Name] && r.services[s.Name] == i {
			r.warn(servicePath(i), "no route leads to service %s", s.Name)
		}
	}
}

// checkPriorities reports priorities that order nothing. A single route can't be ordered,
// whether it has a priority or not, and is not reported.
func (r *routingCheck) checkPriorities() {
	var explicit []int
	for i := range r.config.Routes {
		if r.config.prioritized(i) {
			explicit = append(explicit, i)
		}
	}
	routes := r.config.Routes
	if len(explicit) == 0 || len(routes) < 2 {
		return
	}
	path := routePath(explicit[0]) + ".priority"
	byPriority := func(a, b int) int { return cmp.Compare(routes[a].Priority, routes[b].Priority) }
	lowest := routes[slices.MinFunc(explicit, byPriority)].Priority
	highest := routes[slices.MaxFunc(explicit, byPriority)].Priority
	switch {
	case len(explicit) == 1:
		r.warn(path, "only route %s has a priority: there is no other to order it against", routes[explicit[0]].Name)
	case len(explicit) == len(routes) && lowest == highest:
		r.warn(path, "every route has priority %d: the priorities order nothing", lowest)
	}
}

// CheckVersions returns the findings about the version of a configuration that is to
// replace another.
func CheckVersions(from, to Routing) []Finding {
	var out list
	switch {
	case to.Version < from.Version:
		out.error("version", "%d is below the present version %d: hosts ignore the configuration", to.Version, from.Version)
	case to.Version == from.Version && len(DiffRoutings(from, to)) > 0:
		out.warn("version", "the configuration differs from the present one and has the same version %d", to.Version)
	}
	return out
}
