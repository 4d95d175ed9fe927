package matrix

import (
	"fmt"
	"time"

	"github.com/cornelbay/cornelbay"
)

// The bounds of the promises.
const (
	InForceWithin   = 4 * time.Second
	OutWithin       = 3 * time.Second
	NoNewWithin     = 2 * time.Second
	CutOffOutWithin = 10 * time.Second
)

// Ledger notes what callers and targets see and checks it against the promises.
type Ledger struct {
	// Now returns the time of the event that is noted.
	Now func() time.Time
	// Start is the start of the run.
	Start time.Time
	// Violations lists the broken promises in the order they were seen.
	Violations []Violation

	flows    map[cornelbay.FlowKey]*flowNote
	requests map[string]*requestNote
	heads    map[cornelbay.HostName]uint64
}

type flowNote struct {
	service cornelbay.ServiceName
	target  cornelbay.TargetName
	// by and at tell of the first delivery.
	by cornelbay.HostName
	at time.Time
	// excused flows may end: their target died or its data centre was taken out.
	excused bool
}

type requestNote struct {
	idempotent bool
	runs       int
	outcome    cornelbay.Outcome
	finished   bool
}

// Break notes a broken promise.
func (l *Ledger) Break(p Promise, format string, args ...any) {
	after := l.Now().Sub(l.Start).Seconds()
	l.Violations = append(l.Violations, Violation{p, after, fmt.Sprintf(format, args...)})
}

// Opened notes a flow to a service before its first packet.
func (l *Ledger) Opened(key cornelbay.FlowKey, service cornelbay.ServiceName) {
	if l.flows == nil {
		l.flows = make(map[cornelbay.FlowKey]*flowNote)
	}
	l.flows[key] = &flowNote{service: service}
}

// Delivered notes that a packet of a flow reached a target of a service by way of
// a host.
func (l *Ledger) Delivered(key cornelbay.FlowKey, to cornelbay.TargetName, service cornelbay.ServiceName, by cornelbay.HostName) {
	f, ok := l.flows[key]
	if !ok {
		l.Break(RightService, "a packet of no known flow reached %s", to)
		return
	}
	if f.service != service {
		l.Break(RightService, "a packet for %s reached %s of %s", f.service, to, service)
	}
	if f.target == "" {
		f.target, f.by, f.at = to, by, l.Now()
	}
	if f.target != to && !f.excused {
		f.excused = true // one violation a flow
		l.Break(FlowsSurvive, "flow %s of %s by %s, %s ago, reached %s by %s",
			key.Source, f.target, f.by, l.Now().Sub(f.at), to, by)
	}
}

// Target returns the target that a flow belongs to, or "" before its first
// delivery.
func (l *Ledger) Target(key cornelbay.FlowKey) cornelbay.TargetName {
	if f, ok := l.flows[key]; ok {
		return f.target
	}
	return ""
}

// Excuse notes that the flows of a target may end.
func (l *Ledger) Excuse(t cornelbay.TargetName) {
	for _, f := range l.flows {
		if f.target == t {
			f.excused = true
		}
	}
}

// Excused reports whether a flow may end.
func (l *Ledger) Excused(key cornelbay.FlowKey) bool {
	f, ok := l.flows[key]
	return ok && f.excused
}

// Asked notes a request before it is submitted; key is its identity.
func (l *Ledger) Asked(key string, idempotent bool) {
	if l.requests == nil {
		l.requests = make(map[string]*requestNote)
	}
	if _, ok := l.requests[key]; !ok {
		l.requests[key] = &requestNote{idempotent: idempotent}
	}
}

// Ran notes that a target ran a request.
func (l *Ledger) Ran(key string, at cornelbay.TargetName) {
	r, ok := l.requests[key]
	if !ok {
		l.Break(WholeOwnAnswer, "%s ran %q, which nobody asked", at, key)
		return
	}
	r.runs++
	if r.runs > 1 && !r.idempotent {
		l.Break(AtMostOnce, "%s ran %q a second time", at, key)
	}
	if r.outcome == cornelbay.NotRun && r.finished {
		l.Break(TrueRefusal, "%s ran %q after its caller was told notRun", at, key)
	}
}

// Told notes the final answer to a request; body is what an answered caller got
// and want what the target sends for the request.
func (l *Ledger) Told(key string, o cornelbay.Outcome, body, want string) {
	r, ok := l.requests[key]
	if !ok {
		l.Break(WholeOwnAnswer, "an answer to %q, which nobody asked", key)
		return
	}
	if o == cornelbay.Answered && body != want {
		l.Break(WholeOwnAnswer, "%q was answered %q", key, body)
	}
	if o == cornelbay.NotRun && r.runs > 0 {
		l.Break(TrueRefusal, "%q had run when its caller was told notRun", key)
	}
	r.finished, r.outcome = true, o
}

// Untold returns the requests whose callers got no final answer.
func (l *Ledger) Untold() []string {
	var out []string
	for key, r := range l.requests {
		if !r.finished {
			out = append(out, key)
		}
	}
	return out
}

// InForce notes the generation that one start of a host has in force.
func (l *Ledger) InForce(h cornelbay.Host, generation uint64) {
	if l.heads == nil {
		l.heads = make(map[cornelbay.HostName]uint64)
	}
	start := cornelbay.HostName(fmt.Sprintf("%s#%d", h.Name, h.Incarnation))
	if generation < l.heads[start] {
		l.Break(ChangeInForce, "%s went back from generation %d to %d", h.Name, l.heads[start], generation)
	}
	l.heads[start] = generation
}
