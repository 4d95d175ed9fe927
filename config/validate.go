package config

import (
	"fmt"
	"net/netip"
	"regexp"

	"github.com/cornelbay/cornelbay"
)

// Maximum values in a document.
const (
	MaxWeight      = 1000
	MaxSlots       = 10_000
	MaxFlows       = 10_000_000
	MaxLatencyMs   = 3_600_000
	MaxWindowHours = 8_760
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// Validate returns all errors in the document, except that it checks the sizes of the
// stored objects only if there are no other errors. A document without errors can be
// committed.
func (d *Document) Validate() Errors {
	v := validator{
		dataCentres:   make(map[cornelbay.DataCentreName]string),
		services:      make(map[cornelbay.ServiceName]string),
		addresses:     make(map[serviceAddress]string),
		targets:       make(map[cornelbay.TargetName]string),
		tunnels:       make(map[netip.AddrPort]string),
		httpAddresses: make(map[netip.AddrPort]string),
	}
	v.name("deployment", d.Deployment)
	if len(d.DataCentres) == 0 {
		v.errs.Add("dataCentres", "at least one data centre is required")
	}
	for i, dc := range d.DataCentres {
		path := fmt.Sprintf("dataCentres[%d]", i)
		v.name(path+".name", string(dc.Name))
		unique(&v, v.dataCentres, dc.Name, path, ".name")
	}
	for i, s := range d.Services {
		v.service(servicePath(i), s)
	}
	if len(v.errs) == 0 {
		v.checkObjectSizes(d)
	}
	return v.errs
}

type serviceAddress struct {
	at       netip.AddrPort
	protocol cornelbay.Protocol
}

// validator collects errors. Its maps hold the path at which each value that must be
// unique was first used.
type validator struct {
	errs          Errors
	dataCentres   map[cornelbay.DataCentreName]string
	services      map[cornelbay.ServiceName]string
	addresses     map[serviceAddress]string
	targets       map[cornelbay.TargetName]string
	tunnels       map[netip.AddrPort]string
	httpAddresses map[netip.AddrPort]string
}

func (v *validator) name(path, name string) {
	if !namePattern.MatchString(name) {
		v.errs.Add(path, "%q is not a valid name: 1 to 63 lower-case letters, digits and inner hyphens", name)
	}
}

func unique[K comparable](v *validator, seen map[K]string, key K, path, field string) {
	if first, ok := seen[key]; ok {
		v.errs.Add(path+field, "%v is already used by %s", key, first)
		return
	}
	seen[key] = path
}

func (v *validator) checkRange(path string, n, least, most int) {
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
	if !isUnicast(s.Address) {
		v.errs.Add(path+".address", "must be a unicast IP address")
	}
	if s.Port == 0 {
		v.errs.Add(path+".port", "must be a port from 1 to 65535")
	}
	if s.Protocol.Number() == 0 {
		v.errs.Add(path+".protocol", "%q is neither tcp nor udp", s.Protocol)
	}
	key := serviceAddress{netip.AddrPortFrom(s.Address.Unmap(), s.Port), s.Protocol}
	if first, ok := v.addresses[key]; ok {
		v.errs.Add(path+".address", "%s %s is already used by %s", key.at, s.Protocol, first)
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
		v.errs.Add(path+".objective", "%v is not between 0 and 1 (exclusive)", l.Objective)
	}
	v.checkRange(path+".latencyMs", l.LatencyMs, 1, MaxLatencyMs)
	v.checkRange(path+".windowHours", l.WindowHours, 1, MaxWindowHours)
}

func (v *validator) target(path string, s cornelbay.Service, t cornelbay.Target) {
	v.name(path+".name", string(t.Name))
	unique(v, v.targets, t.Name, path, ".name")
	if _, ok := v.dataCentres[t.DataCentre]; !ok {
		v.errs.Add(path+".dataCentre", "unknown data centre %q", t.DataCentre)
	}
	v.endpoint(path, ".tunnel", t.Tunnel, v.tunnels)
	v.endpoint(path, ".http", t.HTTP, v.httpAddresses)
	if at := netip.AddrPortFrom(s.Address, s.Port); t.HTTP == at && t.HTTP.IsValid() {
		v.errs.Add(path+".http", "%s is the address of the service itself", at)
	}
	v.checkRange(path+".weight", t.Weight, 0, MaxWeight)
	v.checkRange(path+".slots", t.Slots, 0, MaxSlots)
	v.checkRange(path+".maxFlows", t.MaxFlows, 0, MaxFlows)
}

func (v *validator) endpoint(path, field string, at netip.AddrPort, seen map[netip.AddrPort]string) {
	if !isUnicast(at.Addr()) || at.Port() == 0 {
		v.errs.Add(path+field, "must be a unicast IP address with a port from 1 to 65535")
		return
	}
	unique(v, seen, netip.AddrPortFrom(at.Addr().Unmap(), at.Port()), path, field)
}

func isUnicast(a netip.Addr) bool {
	return a.IsValid() && !a.IsUnspecified() && !a.IsMulticast() && a.Zone() == ""
}

func servicePath(i int) string { return fmt.Sprintf("services[%d]", i) }
