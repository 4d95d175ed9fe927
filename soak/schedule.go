// Package soak runs hosts as real processes on loopback between the stand-ins of
// the platform, harms them from outside and checks what callers and targets see.
package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Fault is a kind of harm or of planned change.
type Fault string

// The faults and changes.
const (
	Kill          Fault = "kill"
	Pause         Fault = "pause"
	Stop          Fault = "stop"
	SetBack       Fault = "setBack" // killed, and started with a clock that was set back
	Settings      Fault = "settings"
	StoreBusy     Fault = "storeBusy"
	StoreSilent   Fault = "storeSilent"
	StoreResets   Fault = "storeResets"
	StoreSlow     Fault = "storeSlow"
	StoreLoses    Fault = "storeLoses"
	StoreRefuses  Fault = "storeRefuses" // one host only
	StoreForgets  Fault = "storeForgets"
	StoreCut      Fault = "storeCut" // open connections of one host go silent for good
	TargetSilent  Fault = "targetSilent"
	TargetSlow    Fault = "targetSlow"
	TargetDrains  Fault = "targetDrains"
	TargetCrashes Fault = "targetCrashes" // its address goes to another service
	Route         Fault = "route"
	Evacuate      Fault = "evacuate"
	Shortage      Fault = "shortage" // callers want far more flows than a service has slots
	Uneven        Fault = "uneven"   // the targets of a service differ in speed, under load
	Fresh         Fault = "fresh"    // targets join or recover under load
)

var faults = []Fault{
	Kill, Pause, Stop, SetBack, Settings, StoreBusy, StoreSilent, StoreResets, StoreSlow, StoreLoses, StoreRefuses,
	StoreForgets, StoreCut, TargetSilent, TargetSlow, TargetDrains, TargetCrashes, Route, Evacuate,
}

// loads are the kinds of steps that load a service. They are drawn apart from faults, so that
// a seed keeps its faults.
var loads = []Fault{Shortage, Uneven, Fresh}

// Step is one fault at a time of a round.
type Step struct {
	// Number is unique in a schedule; a run can be cut down to some numbers.
	Number int           `json:"number"`
	Round  int           `json:"round"`
	At     time.Duration `json:"at"`
	Fault  Fault         `json:"fault"`
	// On picks the host, target or data centre that is meant.
	On  int           `json:"on"`
	For time.Duration `json:"for"`
}

// String returns the step as the schedule prints it.
func (s Step) String() string {
	return fmt.Sprintf("%3d round %d at %.1fs %s on %d for %.1fs", s.Number, s.Round, s.At.Seconds(), s.Fault, s.On, s.For.Seconds())
}

const (
	// RoundTime is how long a round's faults begin within.
	RoundTime = 5 * time.Second
	// maxFaultTime is the longest that one fault lasts.
	maxFaultTime  = 4 * time.Second
	stepsPerRound = 8
	// seriesShare is the share of steps that come as a series: the same fault
	// again on the next host shortly after.
	seriesShare = 0.25
	seriesGap   = 300 * time.Millisecond
	// loadsPerRound is the number of steps of load in a round. The first is a shortage.
	loadsPerRound = 2
	minLoadTime   = 1500 * time.Millisecond
)

// loadStream is the random stream of the steps of load.
const loadStream = 1 << 32

// Schedule returns the steps of a seed, in the order of rounds and times. They
// overlap and come in series.
func Schedule(seed uint64, rounds int) []Step {
	rng := rand.New(rand.NewPCG(seed, 0))
	loadRNG := rand.New(rand.NewPCG(seed, loadStream))
	var all []Step
	for round := range rounds {
		var steps []Step
		for len(steps) < stepsPerRound {
			s := Step{
				Round: round, Fault: faults[rng.IntN(len(faults))], On: rng.IntN(1 << 16),
			}
			s.At = time.Duration(rng.Int64N(int64(RoundTime)))
			s.For = time.Duration(rng.Int64N(int64(maxFaultTime)))
			steps = append(steps, s)
			for rng.Float64() < seriesShare {
				s.At += seriesGap
				s.On++
				steps = append(steps, s)
			}
		}
		for i := range loadsPerRound {
			s := Step{Round: round, Fault: Shortage, On: loadRNG.IntN(1 << 16)}
			if i > 0 {
				s.Fault = loads[loadRNG.IntN(len(loads))]
			}
			s.At = time.Duration(loadRNG.Int64N(int64(RoundTime)))
			s.For = minLoadTime + time.Duration(loadRNG.Int64N(int64(maxFaultTime-minLoadTime)))
			steps = append(steps, s)
		}
		slices.SortStableFunc(steps, func(a, b Step) int { return int(a.At - b.At) })
		all = append(all, steps...)
	}
	for i := range all {
		all[i].Number = i
	}
	return all
}
