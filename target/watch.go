package target

import (
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/cornelbay/cornelbay"
)

// watch follows the connections of one attempt.
type watch struct {
	silence time.Duration
	expired func()

	mu    sync.Mutex
	got   bool
	timer *time.Timer
}

func (w *watch) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: w.gotConn, GotFirstResponseByte: w.answered}
}

// gotConn is called before the first byte of the request may be written.
func (w *watch) gotConn(i httptrace.GotConnInfo) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.got = true
	w.stop()
	if i.Reused && w.silence > 0 {
		w.timer = time.AfterFunc(w.silence, w.expired)
	}
}

func (w *watch) answered() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stop()
}

func (w *watch) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

// connected reports whether bytes of the request may have reached the target.
func (w *watch) connected() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.got
}

// latencies holds the smoothed latency of whole answers of each target.
type latencies struct {
	mu sync.Mutex
	m  map[cornelbay.TargetName]time.Duration
}

// latencyShare is the share of a new latency in the smoothed one, as a divisor.
const latencyShare = 8

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
	l.m[t] = old + (d-old)/latencyShare
}

func (l *latencies) get(t cornelbay.TargetName) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.m[t]
}
