// Package oplog writes structured log lines without ever blocking the caller: a
// bounded queue drops what it cannot hold, each kind of line has a rate, and what
// was left out is counted and told.
package oplog

import (
	"io"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
)

const (
	// queueLines is the number of lines that wait to be written.
	queueLines = 1024
	// linesPerSecond is the number of lines of one message that are written a
	// second; one host's lines stay below some kilobytes a second.
	linesPerSecond = 20
	// burstLines may be written at once after a quiet time.
	burstLines = 40
	// flushEvery is the pace at which lines left out are told.
	flushEvery = time.Second
)

// Handler is an apex/log handler; its zero value is not usable, see New.
type Handler struct {
	lines chan *log.Entry
	out   log.Handler

	mu    sync.Mutex
	rates map[string]*rate
	// Dropped counts all lines that were left out.
	dropped uint64
}

type rate struct {
	left    float64
	filled  time.Time
	omitted int
}

// New returns a handler that writes JSON lines to w until Close.
func New(w io.Writer) *Handler {
	h := &Handler{lines: make(chan *log.Entry, queueLines), out: json.New(w), rates: make(map[string]*rate)}
	return h
}

// HandleLog queues a line; it never blocks and never fails.
func (h *Handler) HandleLog(e *log.Entry) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	r, ok := h.rates[e.Message]
	if !ok {
		r = &rate{left: burstLines, filled: e.Timestamp}
		h.rates[e.Message] = r
	}
	now := time.Now()
	r.left = min(burstLines, r.left+linesPerSecond*now.Sub(r.filled).Seconds())
	r.filled = now
	if r.left < 1 {
		r.omitted++
		h.dropped++
		return nil
	}
	r.left--
	select {
	case h.lines <- e:
	default:
		r.omitted++
		h.dropped++
	}
	return nil
}

// Dropped returns the number of lines that were left out.
func (h *Handler) Dropped() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.dropped
}

// Run writes the queued lines until stop is closed, and then those that are left.
func (h *Handler) Run(stop <-chan struct{}) {
	flush := time.NewTicker(flushEvery)
	defer flush.Stop()
	for {
		select {
		case e := <-h.lines:
			h.write(e)
		case <-flush.C:
			h.tellOmitted()
		case <-stop:
			h.drain()
			return
		}
	}
}

func (h *Handler) drain() {
	for {
		select {
		case e := <-h.lines:
			h.write(e)
		default:
			h.tellOmitted()
			return
		}
	}
}

// write gives a line up when the output fails: there is nowhere to tell it.
func (h *Handler) write(e *log.Entry) { _ = h.out.HandleLog(e) }

func (h *Handler) tellOmitted() {
	h.mu.Lock()
	omitted := make(map[string]int)
	for message, r := range h.rates {
		if r.omitted > 0 {
			omitted[message], r.omitted = r.omitted, 0
		}
	}
	h.mu.Unlock()
	for message, n := range omitted {
		e := &log.Entry{
			Fields: log.Fields{"of": message, "lines": n}, Level: log.WarnLevel,
			Message: "lines left out", Timestamp: time.Now(),
		}
		h.write(e)
	}
}
