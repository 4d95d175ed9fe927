package matrix

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/measure"
)

// The flows of a run.
const (
	sprayInterval  = 500 * time.Millisecond
	flowInterval   = 100 * time.Millisecond
	resendAfter    = 300 * time.Millisecond
	unservedAfter  = 3 * time.Second
	silentFlowTime = 12 * time.Second
	maxOpenTries   = 6
	bufferedMost   = 50
	silentOneIn    = 6
)

// liveFlow is one flow as its caller keeps it.
type liveFlow struct {
	key     cornelbay.FlowKey
	service cornelbay.Service
	tries   int
	// tryingSince is the time of the first packet since the last delivery.
	tryingSince time.Time
	ends        time.Time
	silent      bool
	done        bool
}

// packet is one packet on its way.
type packet struct {
	flow  *liveFlow
	flags cornelbay.PacketFlags
	relay cornelbay.RelayHeader
}

// spray takes the hosts that the fabric finds ready.
func (w *World) spray() {
	w.sprayed = w.sprayed[:0]
	for _, name := range w.Names() {
		if n := w.Nodes[name]; !n.Dead && (n.Paused || n.Ready()) && !w.stopping(name) {
			w.sprayed = append(w.sprayed, name)
		}
	}
}

// OpenFlows opens a flow at each interval until the run ends.
func (w *World) OpenFlows() {
	w.Every(flowInterval, func() bool {
		if len(w.sprayed) > 0 && !w.closed {
			w.openFlow()
		}
		return !w.closed
	})
}

func (w *World) openFlow() {
	w.opened++
	s := w.services[w.Rand.IntN(len(w.services))]
	source := netip.AddrFrom4([4]byte{203, 0, 113, byte(w.opened)})
	f := &liveFlow{
		service: s, ends: w.Now.Add(3*time.Second + time.Duration(w.Rand.Int64N(int64(10*time.Second)))),
		silent: w.Rand.IntN(silentOneIn) == 0,
		key: cornelbay.FlowKey{
			Source:      netip.AddrPortFrom(source, uint16(1024+w.opened)),
			Destination: netip.AddrPortFrom(s.Address, s.Port), Protocol: s.Protocol.Number(),
		},
	}
	w.flows = append(w.flows, f)
	w.Ledger.Opened(f.key, s.Name)
	w.next(f)
}

// next sends the next packet of a flow, and the same again while it is not
// delivered.
func (w *World) next(f *liveFlow) {
	if f.done {
		return
	}
	established := w.Ledger.Target(f.key) != ""
	if f.tryingSince.IsZero() {
		f.tryingSince = w.Now
	}
	if !established && f.tries >= maxOpenTries {
		f.done = true
		return
	}
	f.tries++
	p := packet{flow: f}
	switch {
	case !established:
		p.flags = cornelbay.Opening
	case w.Now.After(f.ends):
		p.flags = cornelbay.Finishing
	}
	w.hand(p)
	w.After(resendAfter, func() { w.acknowledged(f) })
}

// acknowledged continues a flow after its last packet had time to arrive.
func (w *World) acknowledged(f *liveFlow) {
	if !f.tryingSince.IsZero() {
		w.unserved(f)
		w.next(f)
		return
	}
	f.tries = 0
	if w.Now.After(f.ends) {
		f.done = true
		return
	}
	if f.silent {
		f.silent = false
		f.ends = f.ends.Add(silentFlowTime)
		w.After(silentFlowTime, func() { w.next(f) })
		return
	}
	w.After(time.Duration(w.Rand.Int64N(int64(resendAfter))), func() { w.next(f) })
}

func (w *World) unserved(f *liveFlow) {
	t := w.Ledger.Target(f.key)
	if t == "" || w.Now.Sub(f.tryingSince) < unservedAfter || w.Ledger.Excused(f.key) {
		return
	}
	dc := w.targets[t].DataCentre
	if w.cutCentre(dc) || len(w.sprayed) == 0 || w.Now.Sub(w.healed[dc]) < unservedAfter {
		return
	}
	w.Ledger.Excuse(t)
	w.Ledger.Break(FlowsSurvive, "flow %s of %s had no packet delivered for %s", f.key.Source, t, w.Now.Sub(f.tryingSince))
	f.done = true
}

// hand gives a packet to one of the hosts that the fabric finds ready.
func (w *World) hand(p packet) {
	if len(w.sprayed) == 0 {
		return
	}
	name := w.sprayed[w.Rand.IntN(len(w.sprayed))]
	w.After(time.Millisecond, func() { w.arrive(name, p) })
}

// arrive has a host decide a packet; a paused host finds it when it wakes.
func (w *World) arrive(name cornelbay.HostName, p packet) {
	n := w.Nodes[name]
	switch {
	case n.Dead:
	case n.Paused:
		b := w.blocked[name]
		if len(b.buffered) < bufferedMost {
			b.buffered = append(b.buffered, p)
		}
	default:
		w.decide(n, p)
	}
}

func (w *World) decide(n *measure.Node, p packet) {
	pk := cornelbay.Packet{Key: p.flow.key, Flags: p.flags, Relay: p.relay}
	v := n.Plane.Decide(w.Now, &pk)
	switch v.Action {
	case cornelbay.Forward:
		w.forward(n, p, v)
	case cornelbay.Relay:
		delay, ok := w.Between(n.Self.Name, v.Host)
		if !ok {
			return
		}
		p.relay = v.Relay
		w.After(delay, func() { w.arrive(v.Host, p) })
	case cornelbay.Hold:
		w.CarryOut(n, n.ReceiveHeldFlow(w.Now, p.flow.key))
	}
}

func (w *World) forward(n *measure.Node, p packet, v cornelbay.Verdict) {
	t, ok := w.targets[v.Target]
	if !ok || t.Tunnel != v.Tunnel {
		w.Ledger.Break(RightService, "a packet went to %s at %s", v.Target, v.Tunnel)
		return
	}
	w.sentTo(n, t)
	if !w.reaches(n.Self.Name, t.DataCentre) {
		return
	}
	if w.Ledger.Target(p.flow.key) == "" {
		w.newWork(n, t)
		w.newFlow(t)
	}
	w.Ledger.Delivered(p.flow.key, t.Name, t.service, n.Self.Name)
	if _, out := w.outSince(t.DataCentre); out {
		w.Ledger.Excuse(t.Name)
	}
	p.flow.tryingSince = time.Time{}
}

// wake gives a host that was paused the packets that waited for it.
func (w *World) wake(n *measure.Node) {
	b := w.blocked[n.Self.Name]
	buffered := b.buffered
	b.buffered = nil
	if w.mutation == blindWake {
		n.Plane.SetLastTick(w.Now)
	}
	for _, p := range buffered {
		if !n.Dead {
			w.decide(n, p)
		}
	}
}

func (w *World) stopping(name cornelbay.HostName) bool {
	return slices.Contains(w.stops, name)
}
