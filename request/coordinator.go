package request

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/rendezvous"
)

// LoadReportInterval is the time between two load reports of a host.
const LoadReportInterval = 500 * time.Millisecond

// Limits of LoadReport messages, which keep them within the budget of the control
// traffic.
const (
	// maxReportedTargets is the maximum number of targets in a report.
	maxReportedTargets = 32
	// maxReportReceivers is the maximum number of hosts that a report is sent to.
	maxReportReceivers = 8
)

// TargetLoad is the number of a host's attempts in flight to one target.
type TargetLoad struct {
	_ struct{} `cbor:",toarray"`
	// Target is the hash of the target's name.
	Target uint32
	// Count is the number of attempts, or 255 if there are more.
	Count uint8
}

// LoadReport tells other hosts how many attempts the sender has in flight to the
// targets of services whose requests it dispatches without being their
// coordinator, such as bulk services.
type LoadReport struct {
	Loads []TargetLoad `cbor:"1,keyasint"`
}

// Kind returns KindLoad.
func (LoadReport) Kind() cornelbay.MessageKind { return cornelbay.KindLoad }

// chooseCoordinator selects the host that dispatches the requests of a service,
// and sets whether this host is the one that may use all slots of each target
// and warms it up while it is cold.
func (d *Dispatcher) chooseCoordinator(now time.Time, s *service) {
	s.coordinator = d.hosts.Owner(now, string(s.Name))
	for _, t := range s.pool.Targets() {
		owner := s.coordinator
		if s.Bulk {
			owner = d.hosts.Owner(now, string(t.Name))
		}
		t.Owner = owner == d.Self
	}
}

func (d *Dispatcher) chooseCoordinators(now time.Time) {
	for _, s := range d.sortedServices {
		d.chooseCoordinator(now, s)
	}
}

// SetMembers updates the membership of the group. Jobs relayed to hosts that left
// or restarted are rerouted.
func (d *Dispatcher) SetMembers(now time.Time, m cornelbay.Members) []cornelbay.Effect {
	d.lock(now)
	gone := d.hosts.Update(m)
	d.chooseCoordinators(now)
	for _, name := range gone {
		d.rerouteRelays(now, name)
		d.rerouteTicketRelays(now, name)
	}
	return d.unlock()
}

// sendLoadReports sends the load of this host to a random set of other hosts,
// once per LoadReportInterval.
func (d *Dispatcher) sendLoadReports(now time.Time) {
	if now.Before(d.nextLoadReport) {
		return
	}
	d.nextLoadReport = now.Add(LoadReportInterval)
	report := d.loadReport()
	if len(report.Loads) == 0 && !d.loadReported {
		return
	}
	// An empty report clears the load reported last.
	d.loadReported = len(report.Loads) > 0
	for _, h := range d.hosts.Peers(d.Rand, maxReportReceivers) {
		d.emit(cornelbay.Send{To: h.Name, Message: report})
	}
}

func (d *Dispatcher) loadReport() LoadReport {
	var n LoadReport
	for _, s := range d.sortedServices {
		if !s.Bulk && s.coordinator == d.Self {
			continue
		}
		for _, t := range s.pool.Targets() {
			if t.InFlight > 0 && len(n.Loads) < maxReportedTargets {
				n.Loads = append(n.Loads, TargetLoad{Target: nameHash(t.Name), Count: uint8(min(255, t.InFlight))})
			}
		}
	}
	return n
}

func nameHash(t cornelbay.TargetName) uint32 { return uint32(rendezvous.Hash(string(t))) }

func (d *Dispatcher) applyLoadReport(now time.Time, from cornelbay.HostName, n LoadReport) {
	counts := make(map[uint32]int, len(n.Loads))
	for _, l := range n.Loads {
		counts[l.Target] = int(l.Count)
	}
	for _, s := range d.sortedServices {
		for _, t := range s.pool.Targets() {
			s.pool.SetPeerLoad(now, from, t.Name, counts[nameHash(t.Name)])
		}
	}
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// Coordinator returns the host that dispatches the requests of a service, as seen
// by this host, or "" for an unknown service.
func (d *Dispatcher) Coordinator(name cornelbay.ServiceName) cornelbay.HostName {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s, ok := d.services[name]; ok {
		return s.coordinator
	}
	return ""
}
