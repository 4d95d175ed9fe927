// Package warmth decides how much load each target can take, from its warm-up state and
// health, as seen in signals that may be delayed or misleading.
package warmth

import (
	"net/netip"

	"github.com/cornelbay/cornelbay"
)

// SignalKind distinguishes the kinds of Signal.
type SignalKind uint8

// The kinds of signals.
const (
	// ProbeOK is a health probe that the target answered as healthy; Value is the latency
	// in ms, or 0 if unknown.
	ProbeOK SignalKind = iota
	// ProbeFailed is a health probe that failed or was answered as unhealthy.
	ProbeFailed
	// OpeningRetransmitted is a TCP SYN that was sent again for a flow without progress.
	OpeningRetransmitted
	// FlowProgressed is a packet that shows that the target answered a flow.
	FlowProgressed
	// AnswerOK is a request that was answered; Value is the latency in ms.
	AnswerOK
	// AnswerFailed is a request that timed out or broke off.
	AnswerFailed
	// Shed is a request that the target refused before running it.
	Shed
	// LoadReported is the target's own report of its running requests, in Value. It is no
	// evidence here; the host passes it on to the dispatcher of requests.
	LoadReported
)

// Signal is one piece of evidence about a target.
type Signal struct {
	Target cornelbay.TargetName
	Kind   SignalKind
	// Value is the latency in ms of ProbeOK and AnswerOK, and the number of requests of
	// LoadReported.
	Value float64
	// From is the host that observed the signal; empty for this host.
	From cornelbay.HostName
}

// Probe is an effect that asks for a health and load probe of a target.
type Probe struct {
	Target  cornelbay.TargetName
	Address netip.AddrPort
}

// Effect marks Probe as a cornelbay.Effect.
func (Probe) Effect() {}

// Report is one host's assessment of a target.
type Report struct {
	Target cornelbay.TargetName `cbor:"1,keyasint"`
	// Level is the target's level at the sender, from 0 for a cold target to topLevel.
	Level uint8 `cbor:"2,keyasint,omitempty"`
	// Bad is true if the sender's recent traffic to the target was bad.
	Bad bool `cbor:"3,keyasint,omitempty"`
	// Unreachable is true if at least the last unreachableAfter probes of the sender
	// failed. A host judges from this and other evidence whether the target is gone.
	Unreachable bool `cbor:"4,keyasint,omitempty"`
}

// Reports carries assessments of targets from one host to another.
type Reports struct {
	Reports []Report `cbor:"1,keyasint"`
}

// Kind returns KindReports.
func (Reports) Kind() cornelbay.MessageKind { return cornelbay.KindReports }
