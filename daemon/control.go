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

// callTimeout bounds a call to the platform's service that does not wait.
const callTimeout = 5 * time.Second

// probeTimeout bounds a health probe.
const probeTimeout = time.Second

// view is what other goroutines read of the control state.
type view struct {
	generation uint64
	ready      bool
	levels     map[cornelbay.ServiceName]cornelbay.ServiceLevel
}

// control is the one goroutine that owns the control state.
func (d *Daemon) control(ctx context.Context) {
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
			d.carryOut(ctx, in(start))
			d.metrics.controlSeconds.Add(time.Since(start).Seconds())
		}
	}
}

func (d *Daemon) tick(ctx context.Context, now time.Time) {
	start := time.Now()
	d.observe(now)
	d.carryOut(ctx, d.host.Tick(now))
	d.publish(now)
	d.lastTick.Store(now.UnixNano())
	d.metrics.controlSeconds.Add(time.Since(start).Seconds())
}

// observe hands on the signals that traffic goroutines have left.
func (d *Daemon) observe(now time.Time) {
	for range len(d.signals) {
		d.host.Observe(now, <-d.signals)
	}
}

// publish renews what other goroutines read of the control state.
func (d *Daemon) publish(now time.Time) {
	m := d.host.Members(now)
	v := &view{generation: d.host.Head().Generation, ready: d.host.Ready()}
	d.traffic.SetHosts(addresses(m))
	old := d.view.Load()
	v.levels = old.levels
	if v.generation != old.generation {
		v.levels = d.levels()
		head := d.host.Head()
		d.Log.WithField("generation", head.Generation).WithField("change", head.Change).
			WithField("author", head.Author).Info("configuration in force")
	}
	d.view.Store(v)
	d.metrics.publish(d.host.Head(), m, d.host.TargetStates(now), v.ready && !d.stopping.Load())
}

// addresses returns the fabric address of every host that may be alive.
func addresses(m cornelbay.Members) map[cornelbay.HostName]netip.AddrPort {
	out := make(map[cornelbay.HostName]netip.AddrPort, len(m.Live)+len(m.Missing))
	for _, h := range m.Live {
		out[h.Name] = h.Fabric
	}
	for _, h := range m.Missing {
		out[h.Name] = h.Fabric
	}
	return out
}

func (d *Daemon) levels() map[cornelbay.ServiceName]cornelbay.ServiceLevel {
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

// input hands in to the control goroutine; it waits for a place in the queue.
func (d *Daemon) input(ctx context.Context, in func(now time.Time) []cornelbay.Effect) {
	select {
	case d.inputs <- in:
	case <-ctx.Done():
	}
}

// tryInput hands in to the control goroutine unless the queue is full.
func (d *Daemon) tryInput(in func(now time.Time) []cornelbay.Effect) bool {
	select {
	case d.inputs <- in:
		return true
	default:
		d.metrics.droppedReports.WithLabelValues("input").Inc()
		return false
	}
}

// held asks the control goroutine about a flow; it never waits.
func (d *Daemon) held(key cornelbay.FlowKey) bool {
	return d.tryInput(func(now time.Time) []cornelbay.Effect { return d.host.FlowHeld(now, key) })
}

// signal reports evidence about a target; it never waits.
func (d *Daemon) signal(s warmth.Signal) {
	select {
	case d.signals <- s:
	default:
		d.metrics.droppedReports.WithLabelValues("signal").Inc()
	}
}

// carryOut does what the control goroutine's decisions want done. It does not
// block: what may wait runs in a goroutine of its own.
func (d *Daemon) carryOut(ctx context.Context, effects []cornelbay.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case cornelbay.Send:
			d.send(e)
		case cornelbay.Release:
			d.traffic.Release(e.Key)
		case objectstore.Call:
			d.goes(func() { d.call(ctx, e) })
		case peer.Call:
			d.callPeer(ctx, e)
		case warmth.Probe:
			d.goes(func() { d.probe(ctx, e) })
		default:
			d.carryOutRequest(ctx, e)
		}
	}
}

// carryOutRequest does what decisions on requests want done, from any goroutine.
func (d *Daemon) carryOutRequest(ctx context.Context, e cornelbay.Effect) {
	switch e := e.(type) {
	case request.Attempt:
		d.goes(func() { d.attempt(ctx, e) })
	case request.Cancel:
		d.requests.cancel(e.ID)
	case request.Finish:
		d.requests.finish(e)
	default:
		d.Log.Errorf("effect %T is not carried out", e)
	}
}

// handOver carries out the effects of a decision that was taken outside the
// control goroutine: those that need control state go there.
func (d *Daemon) handOver(ctx context.Context, effects []cornelbay.Effect) {
	var rest []cornelbay.Effect
	for _, e := range effects {
		switch e.(type) {
		case request.Attempt, request.Cancel, request.Finish:
			d.carryOutRequest(ctx, e)
		default:
			rest = append(rest, e)
		}
	}
	if len(rest) > 0 {
		d.input(ctx, func(time.Time) []cornelbay.Effect { return rest })
	}
}

func (d *Daemon) call(ctx context.Context, c objectstore.Call) {
	timeout := callTimeout
	if c.Op == objectstore.Watch {
		timeout += objectstore.WatchTimeout
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	a := d.store.Do(callCtx, c)
	d.metrics.storeCalls.WithLabelValues(c.Op.String(), result(a.Err)).Inc()
	d.input(ctx, func(now time.Time) []cornelbay.Effect { return d.host.StoreAnswer(now, a) })
}

func (d *Daemon) probe(ctx context.Context, p warmth.Probe) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	s := d.targets.Probe(ctx, p)
	d.metrics.probes.WithLabelValues(probeResult(s.Kind)).Inc()
	d.signal(s)
}

func probeResult(k warmth.SignalKind) string {
	if k == warmth.ProbeOK {
		return "ok"
	}
	return "failed"
}

func result(err error) string {
	if err != nil {
		return "error"
	}
	return "ok"
}
