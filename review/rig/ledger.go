package rig

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Ledger is what endpoints and clients have seen.
type Ledger struct {
	record *Record

	mu         sync.Mutex
	violations []string
	requests   map[string]int
	flows      map[key]*flowRecord
	// excuses are the times in which broken flows do not count, as a machine is not in touch.
	excuses []excuse
}

// flowRecord is what was seen of a flow.
type flowRecord struct {
	key      key
	offers   []string
	endpoint string
	openedAt time.Duration
	ended    bool
	// resetsBy are the endpoints that sent resets and that the client has not got yet.
	resetsBy []string
	arrivals []arrival
	broken   bool
}

type arrival struct {
	at time.Duration
	by string
}

func newLedger(r *Record) *Ledger {
	return &Ledger{record: r, requests: make(map[string]int), flows: make(map[key]*flowRecord)}
}

// Violations returns the rules that were broken.
func (l *Ledger) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.violations)
}

func (l *Ledger) violate(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violateLocked(format, args...)
}

func (l *Ledger) violateLocked(format string, args ...any) {
	v := fmt.Sprintf(format, args...)
	l.violations = append(l.violations, v)
	l.record.Say("BROKEN %s", v)
}

type excuse struct{ from, to time.Duration }

// Excuse excuses flows that break in a time in which a machine is not in touch.
func (l *Ledger) Excuse(from, to time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.excuses = append(l.excuses, excuse{from, to})
}

// excused reports whether a part of the time from one moment to another is excused.
func (l *Ledger) excused(from, to time.Duration) bool {
	return slices.ContainsFunc(l.excuses, func(e excuse) bool { return from < e.to && to >= e.from })
}

// Violate records that a rule was broken.
func (l *Ledger) Violate(format string, args ...any) { l.violate(format, args...) }

func (l *Ledger) flow(k key) *flowRecord {
	f, ok := l.flows[k]
	if !ok {
		f = &flowRecord{key: k}
		l.flows[k] = f
	}
	return f
}

func (l *Ledger) offered(k key, endpoint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.flow(k)
	f.offers = append(f.offers, endpoint)
}

func (l *Ledger) opened(k key, endpoint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.flow(k)
	f.endpoint, f.openedAt = endpoint, l.record.Now()
	l.record.Line("%v is open at %s, its opening went to %v", k.source, endpoint, f.offers)
}

func (l *Ledger) closed(k key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.flow(k).ended = true
}

func (l *Ledger) arrived(k key, endpoint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.flow(k)
	f.arrivals = append(f.arrivals, arrival{l.record.Now(), endpoint})
	if f.endpoint == "" || f.endpoint == endpoint {
		return
	}
	l.record.Line("%v is open at %s, a packet of it reached %s", k.source, f.endpoint, endpoint)
}

func (l *Ledger) resetBy(k key, endpoint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.flow(k)
	f.resetsBy = append(f.resetsBy, endpoint)
	l.record.Line("%s resets %v, which it does not hold", endpoint, k.source)
}

// resetArrived judges FLOW (a): a client got a reset on an open flow.
func (l *Ledger) resetArrived(k key, open bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.flow(k)
	by := "a host"
	if len(f.resetsBy) > 0 {
		by, f.resetsBy = f.resetsBy[0], f.resetsBy[1:]
	}
	l.record.Line("%v got a reset from %s", k.source, by)
	if !open || f.endpoint == "" || f.ended || by == f.endpoint || l.excused(l.record.Now(), l.record.Now()) {
		return
	}
	l.breakLocked(f, fmt.Sprintf("FLOW (a): %v is open at %s since %.1f s, which lives; its client got a reset from %s",
		k.source, f.endpoint, (l.record.Now()-f.openedAt).Seconds(), by))
}

func (l *Ledger) breakLocked(f *flowRecord, what string) {
	if f.broken {
		return
	}
	f.broken = true
	l.violateLocked("%s", what)
}

// JudgeFlows judges FLOW (b): in a span of FlowTimeout three or more packets of a flow reached other
// endpoints and none its own. Spans that begin in an excused time do not count.
func (l *Ledger) JudgeFlows() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range l.flows {
		for i, first := range f.arrivals {
			if f.endpoint == "" || first.at < f.openedAt || first.by == f.endpoint ||
				l.record.Now() < first.at+FlowTimeout || l.excused(first.at, first.at+FlowTimeout) {
				continue
			}
			strays := 0
			for _, a := range f.arrivals[i:] {
				if a.at > first.at+FlowTimeout {
					break
				}
				strays++
				if a.by == f.endpoint {
					strays = 0
					break
				}
			}
			if strays >= 3 {
				l.breakLocked(f, fmt.Sprintf("FLOW (b): %v is open at %s; from second %.1f on, %d of its packets reached %s and none its own for %v",
					f.key.source, f.endpoint, first.at.Seconds(), strays, first.by, FlowTimeout))
			}
		}
	}
}

func (l *Ledger) sent(request string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[request] = 0
}

func (l *Ledger) ran(request, endpoint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n, ok := l.requests[request]
	if !ok {
		l.violateLocked("UNASKED: %s ran a request that no client sent", endpoint)
		return
	}
	l.requests[request] = n + 1
	l.record.Line("%s runs %s", endpoint, request[:24])
	if n > 0 {
		l.violateLocked("a request ran twice, now at %s", endpoint)
	}
}

// Opened returns how many flows were opened, and how many openings went to several endpoints.
func (l *Ledger) Opened() (open, several int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range l.flows {
		if f.endpoint != "" {
			open++
		}
		if len(f.offers) > 1 {
			several++
		}
	}
	return open, several
}
