// Package warmth judges what each target can bear now, from signals that lag
// and may mislead.
package warmth

import (
	"net/netip"
	"time"

	"github.com/cornelbay/cornelbay"
)

// SignalKind is the kind of a signal.
type SignalKind uint8

// The kinds of signals.
const (
	// ProbeOK is a health probe that the target answered as healthy.
	ProbeOK SignalKind = iota
	// ProbeFailed is a health probe that failed or was answered as unhealthy.
	ProbeFailed
	// OpeningRepeated is a TCP SYN sent again for a flow without progress.
	OpeningRepeated
	// FlowProgressed is a packet that shows that the target answered a flow.
	FlowProgressed
	// AnswerOK is a request answered in the latency that Value gives in ms.
	AnswerOK
	// AnswerFailed is a request that timed out or broke.
	AnswerFailed
	// Shed is a request that the target refused before running it.
	Shed
	// LoadReported is the target's own report of its running requests, in Value.
	LoadReported
)

// Signal is one piece of evidence about a target.
type Signal struct {
	Target cornelbay.TargetName
	Kind   SignalKind
	Value  float64
	// From is the host that saw it; empty for the own host.
	From cornelbay.HostName
}

// Probe asks the shell for a health and load probe of a target.
type Probe struct {
	Target  cornelbay.TargetName
	Address netip.AddrPort
}

// Effect marks Probe as an effect.
func (Probe) Effect() {}

// Judge keeps the evidence about targets; one goroutine uses it.
type Judge struct {
	targets []cornelbay.Target
	out     map[cornelbay.DataCentreName]bool
}

// SetTargets takes the targets in force and the data centres that are out.
func (j *Judge) SetTargets(now time.Time, targets []cornelbay.Target, out map[cornelbay.DataCentreName]bool) {
	j.targets, j.out = targets, out
}

// Observe takes a signal.
func (j *Judge) Observe(now time.Time, s Signal) {}

// Receive takes a control message about targets from another host.
func (j *Judge) Receive(now time.Time, from cornelbay.HostName, m cornelbay.Message) {}

// Tick returns the effects that are due at now.
func (j *Judge) Tick(now time.Time) []cornelbay.Effect { return nil }

// States returns the state of every target, by name.
func (j *Judge) States(now time.Time) []cornelbay.TargetState {
	var out []cornelbay.TargetState
	for _, t := range j.targets {
		s := cornelbay.TargetState{Target: t.Name, Phase: cornelbay.Warm, Permille: cornelbay.FullPermille}
		if t.Drain {
			s = cornelbay.TargetState{Target: t.Name, Phase: cornelbay.Draining}
		}
		if j.out[t.DataCentre] {
			s = cornelbay.TargetState{Target: t.Name, Phase: cornelbay.Gone}
		}
		out = append(out, s)
	}
	return out
}
