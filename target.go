package cornelbay

import "net/netip"

// TargetName names a target; it is unique in a deployment.
type TargetName string

// Target is one back end of a service.
type Target struct {
	Name       TargetName     `json:"name"`
	DataCentre DataCentreName `json:"dataCentre"`
	// Tunnel receives the flows' packets in Geneve.
	Tunnel netip.AddrPort `json:"tunnel"`
	// HTTP serves requests, health and load.
	HTTP netip.AddrPort `json:"http"`
	// Weight is the share of a warm target; 0 stands for 1.
	Weight int `json:"weight,omitempty"`
	// Slots is the number of requests that run at once; 0 stands for 2.
	Slots int `json:"slots,omitempty"`
	// MaxFlows is the number of flows that it can hold; 0 stands for 2000.
	MaxFlows int `json:"maxFlows,omitempty"`
	// Drain is true while operators want no new work on the target.
	Drain bool `json:"drain,omitempty"`
}

// The values that stand in for the zero values of Target.
const (
	DefaultWeight   = 1
	DefaultSlots    = 2
	DefaultMaxFlows = 2000
)

// SlotCount returns the number of requests that the target runs at once.
func (t Target) SlotCount() int {
	if t.Slots == 0 {
		return DefaultSlots
	}
	return t.Slots
}

// FullWeight returns the weight of the target when it is warm.
func (t Target) FullWeight() int {
	if t.Weight == 0 {
		return DefaultWeight
	}
	return t.Weight
}

// TargetPhase is the part of its life that a target is in.
type TargetPhase uint8

// The phases of a target, in the order of its life.
const (
	// Cold targets have just started and bear little load.
	Cold TargetPhase = iota
	// Warming targets have shown some evidence; their weight rises by steps.
	Warming
	// Warm targets take their full share.
	Warm
	// Draining targets keep what they have and get nothing new.
	Draining
	// Gone targets are dead, or in a data centre that is out: they get nothing.
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

// FullPermille is the Permille of a target that takes its whole share.
const FullPermille = 1000

// TargetState is what the hosts agree a target can bear now.
type TargetState struct {
	Target TargetName  `json:"target"`
	Phase  TargetPhase `json:"phase"`
	// Permille is the share of the full weight in thousandths, from 0 to 1000.
	Permille uint16 `json:"permille"`
}
