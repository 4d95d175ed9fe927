package traffic

import (
	"errors"
	"net"
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/fabric"
)

// worker decides and sends the packets of one socket; one goroutine uses it.
type worker struct {
	f   *Forwarder
	r   *fabric.Reader
	w   *fabric.Writer
	dec fabric.Decoder

	verdicts [cornelbay.Hold + 1]int
	drops    [cornelbay.DropReasons]int
}

func newWorker(f *Forwarder, c *net.UDPConn) *worker {
	return &worker{f: f, r: fabric.NewReader(c), w: fabric.NewWriter(c)}
}

// newReleaser returns a worker that sends on the first socket and reads none.
func newReleaser(f *Forwarder) *worker {
	return &worker{f: f, w: fabric.NewWriter(f.conns[0])}
}

// run forwards until the socket is closed.
func (w *worker) run() {
	for {
		n, err := w.r.Read()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(ReadRetryDelay)
			continue
		}
		w.batch(time.Now(), n)
	}
}

func (w *worker) batch(now time.Time, n int) {
	w.begin()
	var pk cornelbay.Packet
	for i := range n {
		b, whole := w.r.Datagram(i)
		if !whole {
			w.drops[cornelbay.Truncated]++
			continue
		}
		if reason := w.dec.Decode(b, &pk); reason != cornelbay.NotDropped {
			w.drops[reason]++
			continue
		}
		w.decide(now, now, &pk)
	}
	w.end()
}

// begin takes the keys in force.
func (w *worker) begin() {
	keys := w.f.keys.Load()
	w.dec.Keys, w.w.Keys = keys, keys
}

// end sends what was decided and counts it.
func (w *worker) end() {
	w.w.Flush()
	m := &w.f.metrics
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
	if w.w.Failed > 0 {
		m.sendErrors.Add(float64(w.w.Failed))
	}
	clear(w.verdicts[:])
	clear(w.drops[:])
	w.w.Failed = 0
}

// decide takes and carries out the verdict for pk, which came at since.
func (w *worker) decide(now, since time.Time, pk *cornelbay.Packet) {
	v := w.f.Decider.Decide(now, pk)
	switch v.Action {
	case cornelbay.Forward:
		w.w.Forward(pk.Inner, v.Tunnel)
	case cornelbay.Relay:
		if !w.relay(pk.Inner, v) {
			w.drops[cornelbay.NoTarget]++
			return
		}
	case cornelbay.Hold:
		if !w.hold(since, pk) {
			w.drops[cornelbay.HoldFull]++
			return
		}
	default:
		w.drops[v.Reason]++
	}
	w.verdicts[v.Action]++
}

func (w *worker) relay(inner []byte, v cornelbay.Verdict) bool {
	hosts := w.f.hosts.Load()
	if hosts == nil {
		return false
	}
	to, ok := (*hosts)[v.Host]
	return ok && w.w.Relay(inner, v.Relay, to) == nil
}

func (w *worker) hold(since time.Time, pk *cornelbay.Packet) bool {
	first, ok := w.f.holds.add(since, pk)
	if !ok || !first {
		return ok
	}
	if w.f.OnHeld != nil && w.f.OnHeld(pk.Key) {
		return true
	}
	w.f.holds.take(pk.Key)
	return false
}

// again decides released packets in the order of their coming.
func (w *worker) again(now time.Time, packets []held) {
	w.begin()
	for i := range packets {
		w.decide(now, packets[i].since, &packets[i].packet)
	}
	w.end()
}
