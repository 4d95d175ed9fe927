// Package oplog writes structured log lines without blocking the caller: lines are
// rate limited by message, a full queue drops them, and dropped lines are counted and
// reported. It also reads such logs and selects the lines about one flow.
package oplog

import (
	"io"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
)

const (
	// queueLines is the capacity of the queue of lines to write.
	queueLines = 1024
	// linesPerSecond is the sustained rate of lines with the same message. It keeps the
	// output for one message below some kilobytes per second.
	linesPerSecond = 20
	// burstLines is the largest burst of lines with the same message.
	burstLines = 40
	// droppedReportInterval is the interval between reports of dropped lines.
	droppedReportInterval = time.Second
)

// Handler is an apex/log handler. It must be created with New.
type Handler struct {
	lines chan *log.Entry
	out   log.Handler

	mu    sync.Mutex
	rates map[string]*messageRate
	// dropped counts all lines that were dropped.
	dropped uint64
}

type messageRate struct {
	tokens     float64
	refilledAt time.Time
	// dropped counts the lines dropped since the last report.
	dropped int
}

// New returns a handler that writes JSON lines to w while Run runs.
func New(w io.Writer) *Handler {
	h := &Handler{lines: make(chan *log.Entry, queueLines), out: json.New(w), rates: make(map[string]*messageRate)}
	return h
}

// HandleLog queues a line or drops it. It never blocks and never returns an error.
func (h *Handler) HandleLog(e *log.Entry) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	r, ok := h.rates[e.Message]
	if !ok {
		r = &messageRate{tokens: burstLines, refilledAt: e.Timestamp}
		h.rates[e.Message] = r
	}
	now := time.Now()
	r.tokens = min(burstLines, r.tokens+linesPerSecond*now.Sub(r.refilledAt).Seconds())
	r.refilledAt = now
	if r.tokens < 1 {
		r.dropped++
		h.dropped++
		return nil
	}
	r.tokens--
	select {
	case h.lines <- e:
	default:
		r.dropped++
		h.dropped++
	}
	return nil
}

// Dropped returns the number of lines that were dropped.
func (h *Handler) Dropped() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.dropped
}

// Run writes queued lines until stop is closed, then writes the remaining ones and
// returns.
func (h *Handler) Run(stop <-chan struct{}) {
	flush := time.NewTicker(droppedReportInterval)
	defer flush.Stop()
	for {
		select {
		case e := <-h.lines:
			h.write(e)
		case <-flush.C:
			h.reportDropped()
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
			h.reportDropped()
			return
		}
	}
}

// write ignores output errors, since there is nowhere to report them.
func (h *Handler) write(e *log.Entry) { _ = h.out.HandleLog(e) }

func (h *Handler) reportDropped() {
	h.mu.Lock()
	dropped := make(map[string]int)
	for message, r := range h.rates {
		if r.dropped > 0 {
			dropped[message], r.dropped = r.dropped, 0
		}
	}
	h.mu.Unlock()
	for message, n := range dropped {
		e := &log.Entry{
			Fields: log.Fields{"of": message, "lines": n}, Level: log.WarnLevel,
			Message: "lines left out", Timestamp: time.Now(),
		}
		h.write(e)
	}
}
