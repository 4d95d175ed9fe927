// Package registry holds what a host knows of routes, targets, evacuated data centres
// and other hosts. Each kind has a table at a revision of the platform's store, filled
// from the store or by deltas from other hosts.
package registry

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cornelbay/cornelbay"
)

// Routing is the configuration of a deployment.
type Routing struct {
	Policy
	Routes []Route
}

// Policy is the part of the configuration that isn't a route.
type Policy struct {
	// Version is the number of the configuration; it isn't a revision of the store.
	Version uint64 `json:"version"`
	// IdleTimeout is copied from the configuration. Hosts don't use it.
	IdleTimeout time.Duration `json:"idleTimeout"`
	Services    []Service     `json:"services"`
}

// Route assigns the flows to one address to services.
type Route struct {
	Name    string         `json:"name"`
	Address netip.AddrPort `json:"address"`
	Shares  []Share        `json:"shares"`
	// Timeout is the longest time that a request on the route may take.
	Timeout time.Duration `json:"timeout"`
	// Objective is the latency objective of requests on the route.
	Objective time.Duration `json:"objective"`
	// Priority is 0 for the most urgent requests.
	Priority int `json:"priority"`
	// Repeatable is true if callers may retry the requests on the route.
	Repeatable bool `json:"repeatable"`
}

func (r *Route) equal(o *Route) bool {
	return r.Name == o.Name && r.Address == o.Address && slices.Equal(r.Shares, o.Shares) && r.Timeout == o.Timeout &&
		r.Objective == o.Objective && r.Priority == o.Priority && r.Repeatable == o.Repeatable
}

// Share is a service with its weight among the services of a route.
type Share struct {
	Service cornelbay.ServiceName `json:"service"`
	// Weight is relative to the sum of the weights of the route.
	Weight int `json:"weight"`
}

// Service holds the settings of a service.
type Service struct {
	Name cornelbay.ServiceName `json:"name"`
	// ColdPerSecond is the rate of requests that a cold target can handle.
	ColdPerSecond float64 `json:"coldPerSecond"`
}

// Target is one instance of a service, from its start to its end, as it announces
// itself.
type Target struct {
	Name cornelbay.TargetName `json:"name"`
	// Number identifies the target in packets.
	Number     uint64                   `json:"number"`
	Service    cornelbay.ServiceName    `json:"service"`
	Address    netip.AddrPort           `json:"address"`
	DataCentre cornelbay.DataCentreName `json:"dataCentre"`
	// Slots is the number of flows that the target serves at the same time, or 0 if it
	// doesn't say.
	Slots    int  `json:"slots"`
	Draining bool `json:"draining"`
	// ColdFor is the remaining warm-up time at the time of the announcement.
	ColdFor time.Duration `json:"coldFor"`
	// StartedMs is the time of the target's start in Unix milliseconds.
	StartedMs int64 `json:"born"`
}

// Evacuation is an order to open no new flows at the targets of a data centre.
type Evacuation struct {
	DataCentre cornelbay.DataCentreName `json:"dataCentre"`
}

// Host is a host that forwards packets, and the address at which other hosts reach it.
type Host struct {
	Name       cornelbay.HostName       `json:"name"`
	DataCentre cornelbay.DataCentreName `json:"dataCentre"`
	// Address serves both gossip datagrams and net/rpc.
	Address netip.AddrPort `json:"address"`
}
