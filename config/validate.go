package config

import (
	"fmt"
	"net/netip"
	"regexp"

	"github.com/cornelbay/cornelbay"
)

// The largest values that a document may hold.
const (
	MaxWeight      = 1000
	MaxSlots       = 10_000
	MaxFlows       = 10_000_000
	MaxLatencyMs   = 3_600_000
	MaxWindowHours = 8_760
)

var nameForm = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// Validate returns every fault of the document; none means that it can be
// committed.
func (d *Document) Validate() Errors {
	v := validator{
		centres:   make(map[cornelbay.DataCentreName]string),
		services:  make(map[cornelbay.ServiceName]string),
		addresses: make(map[serviceAddress]string),
		targets:   make(map[cornelbay.TargetName]string),
		tunnels:   make(map[netip.AddrPort]string),
		https:     make(map[netip.AddrPort]string),
	}
	v.name("deployment", d.Deployment)
	if len(d.DataCentres) == 0 {
		v.errs.Add("dataCentres", "at least one data centre is wanted")
	}
	for i, dc := range d.DataCentres {
		path := fmt.Sprintf("dataCentres[%d]", i)
		v.name(path+".name", string(dc.Name))
		unique(&v, v.centres, dc.Name, path, ".name")
	}
	for i, s := range d.Services {
		v.service(servicePath(i), s)
	}
	if len(v.errs) == 0 {
		v.sizes(d)
	}
	return v.errs
}

type serviceAddress struct {
	at       netip.AddrPort
	protocol cornelbay.Protocol
}

// validator collects faults; its maps hold the path that first used a value.
type validator struct {
	errs      Errors
	centres   map[cornelbay.DataCentreName]string
	services  map[cornelbay.ServiceName]string
	addresses map[serviceAddress]string
	targets   map[cornelbay.TargetName]string
	tunnels   map[netip.AddrPort]string
	https     map[netip.AddrPort]string
}

func (v *validator) name(path, name string) {
	if !nameForm.MatchString(name) {
		v.errs.Add(path, "%q is not a name of 1 to 63 lower-case letters, digits and inner hyphens", name)
	}
}

func unique[K comparable](v *validator, seen map[K]string, key K, path, field string) {
	if first, ok := seen[key]; ok {
		v.errs.Add(path+field, "%v is used by %s too", key, first)
		return
	}
	seen[key] = path
}

func (v *validator) between(path string, n, least, most int) {
	if n < least || n > most {
		v.errs.Add(path, "%d is not between %d and %d", n, least, most)
	}
}

func (v *validator) service(path string, s cornelbay.Service) {
	v.name(path+".name", string(s.Name))
	unique(v, v.services, s.Name, path, ".name")
	if s.Group != "" {
		v.name(path+".group", s.Group)
	}
	if !usable(s.Address) {
		v.errs.Add(path+".address", "a unicast IP address is wanted")
	}
	if s.Port == 0 {
		v.errs.Add(path+".port", "a port from 1 to 65535 is wanted")
	}
	if s.Protocol.Number() == 0 {
		v.errs.Add(path+".protocol", "%q is neither tcp nor udp", s.Protocol)
	}
	key := serviceAddress{netip.AddrPortFrom(s.Address.Unmap(), s.Port), s.Protocol}
	if first, ok := v.addresses[key]; ok {
		v.errs.Add(path+".address", "%s %s is used by %s too", key.at, s.Protocol, first)
	} else {
		v.addresses[key] = path
	}
	v.level(path+".level", s.Level)
	for i, t := range s.Targets {
		v.target(fmt.Sprintf("%s.targets[%d]", path, i), s, t)
	}
}

func (v *validator) level(path string, l *cornelbay.ServiceLevel) {
	if l == nil {
		return
	}
	if !(l.Objective > 0 && l.Objective < 1) {
		v.errs.Add(path+".objective", "%v is not between 0 and 1, both excluded", l.Objective)
	}
	v.between(path+".latencyMs", l.LatencyMs, 1, MaxLatencyMs)
	v.between(path+".windowHours", l.WindowHours, 1, MaxWindowHours)
}

func (v *validator) target(path string, s cornelbay.Service, t cornelbay.Target) {
	v.name(path+".name", string(t.Name))
	unique(v, v.targets, t.Name, path, ".name")
	if _, ok := v.centres[t.DataCentre]; !ok {
		v.errs.Add(path+".dataCentre", "no data centre %q", t.DataCentre)
	}
	v.endpoint(path, ".tunnel", t.Tunnel, v.tunnels)
	v.endpoint(path, ".http", t.HTTP, v.https)
	if at := netip.AddrPortFrom(s.Address, s.Port); t.HTTP == at && t.HTTP.IsValid() {
		v.errs.Add(path+".http", "%s is the address of the service itself", at)
	}
	v.between(path+".weight", t.Weight, 0, MaxWeight)
	v.between(path+".slots", t.Slots, 0, MaxSlots)
	v.between(path+".maxFlows", t.MaxFlows, 0, MaxFlows)
}

func (v *validator) endpoint(path, field string, at netip.AddrPort, seen map[netip.AddrPort]string) {
	if !usable(at.Addr()) || at.Port() == 0 {
		v.errs.Add(path+field, "a unicast IP address with a port from 1 to 65535 is wanted")
		return
	}
	unique(v, seen, netip.AddrPortFrom(at.Addr().Unmap(), at.Port()), path, field)
}

func usable(a netip.Addr) bool {
	return a.IsValid() && !a.IsUnspecified() && !a.IsMulticast() && a.Zone() == ""
}

func servicePath(i int) string { return fmt.Sprintf("services[%d]", i) }
