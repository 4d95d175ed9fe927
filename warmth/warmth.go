// Package warmth judges what each target can bear now, from signals that lag
// and may mislead.
package warmth

import (
	"net/netip"

	"github.com/cornelbay/cornelbay"
)

// SignalKind is the kind of a signal.
type SignalKind uint8

// The kinds of signals.
const (
	// ProbeOK is a health probe that the target answered as healthy, in the
	// latency that Value gives in ms; 0 is unknown.
	ProbeOK SignalKind = iota
	// ProbeFailed is a health probe that failed or was answered as unhealthy.
	ProbeFailed
	// OpeningRetransmitted is a TCP SYN sent again for a flow without progress.
	OpeningRetransmitted
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

// Report is one host's opinion of a target.
type Report struct {
	Target cornelbay.TargetName `cbor:"1,keyasint"`
	// Level is the index of the step that the target has at the sender.
	Level uint8 `cbor:"2,keyasint,omitempty"`
	// Bad is true when the sender's traffic to the target went badly lately.
	Bad bool `cbor:"3,keyasint,omitempty"`
	// Unreachable is true when the sender's probes fail.
	Unreachable bool `cbor:"4,keyasint,omitempty"`
}

// Reports carries opinions of targets from one host to another.
type Reports struct {
	Reports []Report `cbor:"1,keyasint"`
}

// Kind returns KindReports.
func (Reports) Kind() cornelbay.MessageKind { return cornelbay.KindReports }
