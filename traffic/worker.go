package traffic

import (
	"errors"
	"net"
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/fabric"
)

// worker processes the packets of one socket. It is not safe for concurrent use.
type worker struct {
	forwarder *Forwarder
	reader    *fabric.Reader
	writer    *fabric.Writer
	decoder   fabric.Decoder

	verdicts [cornelbay.Hold + 1]int
	drops    [cornelbay.DropReasonCount]int
}

func newWorker(f *Forwarder, c *net.UDPConn) *worker {
	return &worker{forwarder: f, reader: fabric.NewReader(c), writer: fabric.NewWriter(c)}
}

// newReleaser returns a worker for released packets, which sends on the first
// socket and reads from none.
func newReleaser(f *Forwarder) *worker {
	return &worker{forwarder: f, writer: fabric.NewWriter(f.conns[0])}
}

// run forwards packets until the socket is closed.
func (w *worker) run() {
	for {
		n, err := w.reader.Read()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(ReadRetryDelay)
			continue
		}
		w.processBatch(time.Now(), n)
	}
}

func (w *worker) processBatch(now time.Time, n int) {
	w.loadKeys()
	var pk cornelbay.Packet
	for i := range n {
		b, complete := w.reader.Datagram(i)
		if !complete {
			w.drops[cornelbay.Truncated]++
			continue
		}
		if reason := w.decoder.Decode(b, &pk); reason != cornelbay.NotDropped {
			w.drops[reason]++
			continue
		}
		w.process(now, now, &pk)
	}
	w.flush()
}

// loadKeys applies the current keys to the decoder and the writer.
func (w *worker) loadKeys() {
	keys := w.forwarder.keys.Load()
	w.decoder.Keys, w.writer.Keys = keys, keys
}

// flush sends the batch and updates the metrics.
func (w *worker) flush() {
	w.writer.Flush()
	m := &w.forwarder.metrics
	for a, n := range w.verdicts {
		if n > 0 && cornelbay.Action(a) != cornelbay.Drop {
			m.packets[a].Add(float64(n))
		}
	}
	for r, n := range w.drops {
		if n > 0 {
			m.drops[r].Add(float64(n))
		}
	}
	if w.writer.Failed > 0 {
		m.sendErrors.Add(float64(w.writer.Failed))
	}
	clear(w.verdicts[:])
	clear(w.drops[:])
	w.writer.Failed = 0
}

// process gets the verdict on pk, which arrived at arrived, and carries it out.
func (w *worker) process(now, arrived time.Time, pk *cornelbay.Packet) {
	v := w.forwarder.Decider.Decide(now, pk)
	switch v.Action {
	case cornelbay.Forward:
		w.writer.Forward(pk.Inner, v.Tunnel)
	case cornelbay.Relay:
		if !w.relay(pk.Inner, v) {
			w.drops[cornelbay.NoTarget]++
			return
		}
	case cornelbay.Hold:
		if !w.hold(arrived, pk) {
			w.drops[cornelbay.HoldFull]++
			return
		}
	default:
		w.drops[v.Reason]++
	}
	w.verdicts[v.Action]++
}

func (w *worker) relay(inner []byte, v cornelbay.Verdict) bool {
	hosts := w.forwarder.hosts.Load()
	if hosts == nil {
		return false
	}
	to, ok := (*hosts)[v.Host]
	return ok && w.writer.Relay(inner, v.Relay, to) == nil
}

// hold holds pk and starts a query if it is the only held packet of its flow. It
// returns false if a limit is reached or the query is not accepted, and the caller
// drops pk. In the latter case, packets of the flow that other workers held in the
// meantime are dropped too, and these are not counted as dropped.
func (w *worker) hold(arrived time.Time, pk *cornelbay.Packet) bool {
	first, ok := w.forwarder.held.add(arrived, pk)
	if !ok || !first {
		return ok
	}
	if w.forwarder.OnHeld != nil && w.forwarder.OnHeld(pk.Key) {
		return true
	}
	w.forwarder.held.take(pk.Key)
	return false
}

// processReleased processes released packets in order of arrival.
func (w *worker) processReleased(now time.Time, packets []heldPacket) {
	w.loadKeys()
	for i := range packets {
		w.process(now, packets[i].arrived, &packets[i].packet)
	}
	w.flush()
}
