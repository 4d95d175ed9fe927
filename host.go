package cornelbay

import (
	"net/netip"
	"time"
)

// HostName names an entry host.
type HostName string

// Incarnation numbers the starts of a host; a later start has a higher number.
type Incarnation uint64

// Host describes one entry host and where it is reached.
type Host struct {
	Name        HostName       `json:"name"`
	DataCentre  DataCentreName `json:"dataCentre"`
	Incarnation Incarnation    `json:"incarnation"`
	// Fabric receives Geneve packets from the fabric and from other hosts.
	Fabric netip.AddrPort `json:"fabric"`
	// Datagram receives control datagrams from other hosts.
	Datagram netip.AddrPort `json:"datagram"`
	// RPC serves net/rpc to other hosts.
	RPC netip.AddrPort `json:"rpc"`
	// HTTP serves callers' requests.
	HTTP netip.AddrPort `json:"http"`
	// Admin serves metrics, health, status and operators' requests.
	Admin netip.AddrPort `json:"admin"`
}

// DataCentreName names a data centre.
type DataCentreName string

// DataCentre describes one data centre of a deployment.
type DataCentre struct {
	Name   DataCentreName `json:"name"`
	Region string         `json:"region,omitempty"`
	// Out is true while operators have taken the data centre out.
	Out bool `json:"out,omitempty"`
}

// Members is what a host knows of the hosts of its group at one moment.
type Members struct {
	// Live lists the hosts that are heard, the own one included, by name.
	Live []Host
	// Missing lists hosts that are not heard but are not known to have ended:
	// they may be cut off and still receive packets from the fabric.
	Missing []Host
	// ConfirmedAt is the last time at which some host, whose word has reached
	// this one since, had the platform confirm the head of the configuration.
	ConfirmedAt time.Time
}
