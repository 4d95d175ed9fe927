package cornelbay

import (
	"net/netip"
	"time"
)

// HostName names an entry host.
type HostName string

// Incarnation identifies one run of a host; each restart has a higher number.
type Incarnation uint64

// Host describes an entry host and its addresses.
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

// DataCentre describes a data centre of a deployment.
type DataCentre struct {
	Name   DataCentreName `json:"name"`
	Region string         `json:"region,omitempty"`
	// Out is true while operators have taken the data centre out of service.
	Out bool `json:"out,omitempty"`
}

// Members is a host's view of the hosts of its group at one moment.
type Members struct {
	// Live lists the hosts that are reachable, this host included, sorted by
	// name.
	Live []Host
	// Missing lists the hosts that are not reachable and are not known to have
	// ended. They may be partitioned from this host and still receive packets
	// from the fabric.
	Missing []Host
	// ConfirmedAt is the latest time, known to this host, at which the platform
	// confirmed to any host that the head of the configuration is current.
	ConfirmedAt time.Time
}
