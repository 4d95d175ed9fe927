package daemon

import (
	"context"
	"net/netip"
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/entry"
	"github.com/cornelbay/cornelbay/objectstore"
	"github.com/cornelbay/cornelbay/peer"
	"github.com/cornelbay/cornelbay/request"
	"github.com/cornelbay/cornelbay/warmth"
)

// callTimeout is the timeout of a call to the object store. A watch, which waits for a
// change, gets objectstore.WatchTimeout in addition.
const callTimeout = 5 * time.Second

// probeTimeout is the timeout of a health probe.
const probeTimeout = time.Second

// publishedState is the part of the control state that other goroutines read.
type publishedState struct {
	generation uint64
	ready      bool
	levels     map[cornelbay.ServiceName]cornelbay.ServiceLevel
}

// controlLoop is the body of the control goroutine, the only one that uses the control
// state.
func (d *Daemon) controlLoop(ctx context.Context) {
	tick := time.NewTicker(entry.TickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			d.tick(ctx, now)
		case in := <-d.inputs:
			start := time.Now()
			d.execute(ctx, in(start))
			d.metrics.controlSeconds.Add(time.Since(start).Seconds())
		}
	}
}

// tick processes queued signals, advances the control state to now and publishes it.
func (d *Daemon) tick(ctx context.Context, now time.Time) {
	start := time.Now()
	d.drainSignals(now)
	d.execute(ctx, d.host.Tick(now))
	d.publish(now)
	d.lastTickUnixNano.Store(now.UnixNano())
	d.metrics.controlSeconds.Add(time.Since(start).Seconds())
}

// drainSignals passes the queued signals to the host.
func (d *Daemon) drainSignals(now time.Time) {
	for range len(d.signals) {
		d.host.Observe(now, <-d.signals)
	}
}

// publish updates the state that other goroutines read: the published state, the host
// addresses of the traffic forwarder and the gauges.
func (d *Daemon) publish(now time.Time) {
	m := d.host.Members(now)
	v := &publishedState{generation: d.host.Head().Generation, ready: d.host.Ready()}
	d.traffic.SetHosts(fabricAddresses(m))
	old := d.published.Load()
	v.levels = old.levels
	if v.generation != old.generation {
		v.levels = d.serviceLevels()
		head := d.host.Head()
		d.Log.WithField("generation", head.Generation).WithField("change", head.Change).
			WithField("author", head.Author).Info("configuration in force")
	}
	d.published.Store(v)
	d.metrics.publish(d.host.Head(), m, d.host.TargetStates(now), v.ready && !d.stopping.Load())
}

// fabricAddresses returns the fabric address of every live or missing host. Missing
// hosts are included since they may still be running.
func fabricAddresses(m cornelbay.Members) map[cornelbay.HostName]netip.AddrPort {
	out := make(map[cornelbay.HostName]netip.AddrPort, len(m.Live)+len(m.Missing))
	for _, h := range m.Live {
		out[h.Name] = h.Fabric
	}
	for _, h := range m.Missing {
		out[h.Name] = h.Fabric
	}
	return out
}

// serviceLevels returns the service level of each service that has one.
func (d *Daemon) serviceLevels() map[cornelbay.ServiceName]cornelbay.ServiceLevel {
	out := make(map[cornelbay.ServiceName]cornelbay.ServiceLevel)
	doc := d.host.Document()
	if doc == nil {
		return out
	}
	for _, s := range doc.Services {
		if s.Level != nil {
			out[s.Name] = *s.Level
		}
	}
	return out
}

// enqueue queues in for the control goroutine. It blocks while the queue is full,
// until ctx ends.
func (d *Daemon) enqueue(ctx context.Context, in func(now time.Time) []cornelbay.Effect) {
	select {
	case d.inputs <- in:
	case <-ctx.Done():
	}
}

// tryEnqueue queues in for the control goroutine and returns true. If the queue is
// full, it drops in and returns false.
func (d *Daemon) tryEnqueue(in func(now time.Time) []cornelbay.Effect) bool {
	select {
	case d.inputs <- in:
		return true
	default:
		d.metrics.droppedReports.WithLabelValues("input").Inc()
		return false
	}
}

// onHeldFlow passes a flow whose packets are held to the control goroutine. It does
// not block.
func (d *Daemon) onHeldFlow(key cornelbay.FlowKey) bool {
	return d.tryEnqueue(func(now time.Time) []cornelbay.Effect { return d.host.ReceiveHeldFlow(now, key) })
}

// reportSignal queues a signal about a target. It does not block: if the queue is full,
// the signal is dropped.
func (d *Daemon) reportSignal(s warmth.Signal) {
	select {
	case d.signals <- s:
	default:
		d.metrics.droppedReports.WithLabelValues("signal").Inc()
	}
}

// execute executes the effects of the control goroutine's decisions. Effects that may
// block run in their own goroutines.
func (d *Daemon) execute(ctx context.Context, effects []cornelbay.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case cornelbay.Send:
			d.send(e)
		case cornelbay.Release:
			d.traffic.Release(e.Key)
		case objectstore.Call:
			d.spawn(func() { d.callStore(ctx, e) })
		case peer.Call:
			d.callPeer(ctx, e)
		case warmth.Probe:
			d.spawn(func() { d.runProbe(ctx, e) })
		default:
			d.executeRequestEffect(ctx, e)
		}
	}
}

// executeRequestEffect executes an effect of the request dispatcher. Any goroutine may
// call it.
func (d *Daemon) executeRequestEffect(ctx context.Context, e cornelbay.Effect) {
	switch e := e.(type) {
	case request.Attempt:
		d.spawn(func() { d.runAttempt(ctx, e) })
	case request.Cancel:
		d.requests.cancelAttempt(e.ID)
	case request.Finish:
		d.requests.finish(e)
	default:
		d.Log.Errorf("unsupported effect type %T", e)
	}
}

// dispatchEffects executes effects that were returned outside the control goroutine.
// Effects that need the control state are queued for the control goroutine.
func (d *Daemon) dispatchEffects(ctx context.Context, effects []cornelbay.Effect) {
	var rest []cornelbay.Effect
	for _, e := range effects {
		switch e.(type) {
		case request.Attempt, request.Cancel, request.Finish:
			d.executeRequestEffect(ctx, e)
		default:
			rest = append(rest, e)
		}
	}
	if len(rest) > 0 {
		d.enqueue(ctx, func(time.Time) []cornelbay.Effect { return rest })
	}
}

// callStore makes a call to the object store and queues its answer.
func (d *Daemon) callStore(ctx context.Context, c objectstore.Call) {
	timeout := callTimeout
	if c.Op == objectstore.Watch {
		timeout += objectstore.WatchTimeout
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	a := d.store.Do(callCtx, c)
	d.metrics.storeCalls.WithLabelValues(c.Op.String(), resultLabel(a.Err)).Inc()
	d.enqueue(ctx, func(now time.Time) []cornelbay.Effect { return d.host.ReceiveStoreAnswer(now, a) })
}

// runProbe probes a target and reports the result as a signal.
func (d *Daemon) runProbe(ctx context.Context, p warmth.Probe) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	s := d.targets.Probe(ctx, p)
	d.metrics.probes.WithLabelValues(probeResultLabel(s.Kind)).Inc()
	d.reportSignal(s)
}

func probeResultLabel(k warmth.SignalKind) string {
	if k == warmth.ProbeOK {
		return "ok"
	}
	return "failed"
}

func resultLabel(err error) string {
	if err != nil {
		return "error"
	}
	return "ok"
}
