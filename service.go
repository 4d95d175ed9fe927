package cornelbay

import "net/netip"

// ServiceName names a service.
type ServiceName string

// Protocol is the transport protocol of a service's flows.
type Protocol string

// The transport protocols that a service may use.
const (
	TCP Protocol = "tcp"
	UDP Protocol = "udp"
)

// Number returns the IP protocol number, or 0 if the protocol is unknown.
func (p Protocol) Number() uint8 {
	switch p {
	case TCP:
		return 6
	case UDP:
		return 17
	}
	return 0
}

// Service is an address and port that callers use, with the targets behind it.
type Service struct {
	Name     ServiceName `json:"name"`
	Address  netip.Addr  `json:"address"`
	Port     uint16      `json:"port"`
	Protocol Protocol    `json:"protocol"`
	// Group is the name of the group of hosts that serve the service; empty
	// means the default group.
	Group string `json:"group,omitempty"`
	// Bulk marks a service that transfers large documents and whose requests
	// yield capacity to those of other services.
	Bulk bool `json:"bulk,omitempty"`
	// Targets lists the back ends, in any order.
	Targets []Target `json:"targets"`
	// Level is the service level that error budget (burn) reports use.
	Level *ServiceLevel `json:"level,omitempty"`
}

// ServiceLevel is the service level objective (SLO) of a service.
type ServiceLevel struct {
	// Objective is the required share of good requests, between 0 and 1.
	Objective float64 `json:"objective"`
	// LatencyMs is the latency in milliseconds below which an answer is good.
	LatencyMs int `json:"latencyMs"`
	// WindowHours is the length of the error budget's window in hours.
	WindowHours int `json:"windowHours"`
}
