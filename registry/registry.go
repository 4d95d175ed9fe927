// Package registry holds what a host knows of routes, targets, evacuated data
// centres and other hosts: tables at revisions of the platform's store, which
// hosts fill from the store or from each other.
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

// Policy is what the configuration says besides its routes.
type Policy struct {
	Version     uint64        `json:"version"`
	IdleTimeout time.Duration `json:"idleTimeout"`
	Services    []Service     `json:"services"`
}

// Route tells where the flows to one address go.
type Route struct {
	Name    string         `json:"name"`
	Address netip.AddrPort `json:"address"`
	Shares  []Share        `json:"shares"`
	// Timeout is the longest that a request of the route may take.
	Timeout time.Duration `json:"timeout"`
	// Objective is the latency that requests should keep.
	Objective time.Duration `json:"objective"`
	// Priority is 0 for the most urgent requests.
	Priority int `json:"priority"`
	// Repeatable is true when callers may repeat the requests of the route.
	Repeatable bool `json:"repeatable"`
}

func (r *Route) equal(o *Route) bool {
	return r.Name == o.Name && r.Address == o.Address && slices.Equal(r.Shares, o.Shares) && r.Timeout == o.Timeout &&
		r.Objective == o.Objective && r.Priority == o.Priority && r.Repeatable == o.Repeatable
}

// Share is the part of a route's flows that goes to one service.
type Share struct {
	Service cornelbay.ServiceName `json:"service"`
	Weight  int                   `json:"weight"`
}

// Service is what the configuration says of a service.
type Service struct {
	Name cornelbay.ServiceName `json:"name"`
	// ColdPerSecond is the rate of requests that a cold target can bear.
	ColdPerSecond float64 `json:"coldPerSecond"`
}

// Target is one start of a target as it announces itself.
type Target struct {
	Name cornelbay.TargetName `json:"name"`
	// Number is the target's identity in packets.
	Number     uint64                   `json:"number"`
	Service    cornelbay.ServiceName    `json:"service"`
	Address    netip.AddrPort           `json:"address"`
	DataCentre cornelbay.DataCentreName `json:"dataCentre"`
	Slots      int                      `json:"slots"`
	Draining   bool                     `json:"draining"`
	// ColdFor is how much longer the target was cold when it said so.
	ColdFor time.Duration `json:"coldFor"`
	// StartedMs is the Unix millisecond of the target's start.
	StartedMs int64 `json:"born"`
}

// Evacuation is the order to open no more flows to a data centre's targets.
type Evacuation struct {
	DataCentre cornelbay.DataCentreName `json:"dataCentre"`
}

// Host is a host that takes packets, and where other hosts reach it.
type Host struct {
	Name       cornelbay.HostName       `json:"name"`
	DataCentre cornelbay.DataCentreName `json:"dataCentre"`
	// Address is the address of its datagrams and its net/rpc.
	Address netip.AddrPort `json:"address"`
}
