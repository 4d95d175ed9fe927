package target

import (
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/cornelbay/cornelbay"
)

// connWatch observes the connections that net/http uses for one attempt. It calls
// expired if a reused connection delivers no response byte for silenceTimeout.
type connWatch struct {
	silenceTimeout time.Duration
	expired        func()

	mu            sync.Mutex
	gotConnection bool
	timer         *time.Timer
}

func (w *connWatch) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: w.gotConn, GotFirstResponseByte: w.gotFirstByte}
}

// gotConn is called when a connection is available, before the first byte of the
// request can be written.
func (w *connWatch) gotConn(i httptrace.GotConnInfo) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.gotConnection = true
	w.stop()
	if i.Reused && w.silenceTimeout > 0 {
		w.timer = time.AfterFunc(w.silenceTimeout, w.expired)
	}
}

func (w *connWatch) gotFirstByte() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stop()
}

func (w *connWatch) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

// mayHaveSent reports whether bytes of the request may have reached the target.
func (w *connWatch) mayHaveSent() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.gotConnection
}

// latencies holds the smoothed latency of complete responses per target.
type latencies struct {
	mu sync.Mutex
	m  map[cornelbay.TargetName]time.Duration
}

// latencyDivisor is the reciprocal of the weight of a new latency in the smoothed
// one, which is an exponentially weighted moving average.
const latencyDivisor = 8

func (l *latencies) add(t cornelbay.TargetName, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.m == nil {
		l.m = make(map[cornelbay.TargetName]time.Duration)
	}
	old, ok := l.m[t]
	if !ok {
		old = d
	}
	l.m[t] = old + (d-old)/latencyDivisor
}

func (l *latencies) get(t cornelbay.TargetName) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.m[t]
}
