package cornelbay

import "net/netip"

// TargetName names a target; it is unique in a deployment.
type TargetName string

// Target is a back end of a service.
type Target struct {
	Name       TargetName     `json:"name"`
	DataCentre DataCentreName `json:"dataCentre"`
	// Tunnel receives the packets of flows, encapsulated in Geneve.
	Tunnel netip.AddrPort `json:"tunnel"`
	// HTTP serves requests, health checks and load reports.
	HTTP netip.AddrPort `json:"http"`
	// Weight is the relative share of a warm target; 0 means 1.
	Weight int `json:"weight,omitempty"`
	// Slots is the number of requests that run concurrently; 0 means 2.
	Slots int `json:"slots,omitempty"`
	// MaxFlows is the maximum number of flows; 0 means 2000.
	MaxFlows int `json:"maxFlows,omitempty"`
	// Drain is true while the target is to get no new work.
	Drain bool `json:"drain,omitempty"`
}

// Defaults for zero fields of Target.
const (
	DefaultWeight   = 1
	DefaultSlots    = 2
	DefaultMaxFlows = 2000
)

// SlotCount returns the number of requests that the target runs concurrently.
func (t Target) SlotCount() int {
	if t.Slots == 0 {
		return DefaultSlots
	}
	return t.Slots
}

// FullWeight returns the weight of a warm target.
func (t Target) FullWeight() int {
	if t.Weight == 0 {
		return DefaultWeight
	}
	return t.Weight
}

// TargetPhase is the lifecycle phase of a target.
type TargetPhase uint8

// The phases of a target, in lifecycle order.
const (
	// Cold targets have just started and can take little load.
	Cold TargetPhase = iota
	// Warming targets have handled some requests or probes well; their weight
	// rises in steps.
	Warming
	// Warm targets get their full share.
	Warm
	// Draining targets keep their existing work and get no new work.
	Draining
	// Gone targets have ended or are in a data centre that is out; they get
	// nothing.
	Gone
)

var phaseNames = [...]string{"cold", "warming", "warm", "draining", "gone"}

// String returns the phase's name in lower case.
func (p TargetPhase) String() string {
	if int(p) < len(phaseNames) {
		return phaseNames[p]
	}
	return "invalid"
}

// FullPermille is the Permille of a target that gets its full share.
const FullPermille = 1000

// TargetState is the load that a target can take now, as observed or agreed by
// the hosts.
type TargetState struct {
	Target TargetName  `json:"target"`
	Phase  TargetPhase `json:"phase"`
	// Permille is the share of the full weight in thousandths, from 0 to 1000.
	Permille uint16 `json:"permille"`
}
