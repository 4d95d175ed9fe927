package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/config"
	"github.com/cornelbay/cornelbay/entry"
	"github.com/cornelbay/cornelbay/flow"
	"github.com/cornelbay/cornelbay/operator"
)

// The times of the flow experiments.
const (
	// flowSlot is the resolution of the flows' events.
	flowSlot = 10 * time.Millisecond
	// settleTime is the time from the start to the scenario's change.
	settleTime = 15 * time.Second
	// spreadTime is the time in which the flows that are open at first begin.
	spreadTime = 5 * time.Second
	// firstFlow is when the first flow begins.
	firstFlow = 5 * time.Second
	// fabricDetection is when the fabric stops handing packets to a dead host.
	fabricDetection = time.Second
	// tryTime is how long an undelivered packet is tried before its flow is broken.
	tryTime = 3 * time.Second
	// openingRetry is the time after which an opening packet is sent again.
	openingRetry = time.Second
	openingTries = 4
	// controlWindow is the span over which control traffic is averaged.
	controlWindow = 10 * time.Second
	sampleTime    = time.Second
)

// retries are the times from the first try of a packet to the next ones: a tail
// loss probe, then the retransmission timeout with exponential backoff.
var retries = [...]time.Duration{
	10 * time.Millisecond, 210 * time.Millisecond, 610 * time.Millisecond, 1410 * time.Millisecond, tryTime,
}

// FlowOptions are the sizes of a flow experiment.
type FlowOptions struct {
	Seed uint64
	// Deployment is the document to start with; its first service has most flows.
	Deployment *config.Document
	Hosts      int
	// Flows is the number of flows open at first.
	Flows int
	// NewPerSecond is the number of new flows a second and host.
	NewPerSecond int
	// Span is the time from the scenario's change to the end; 0 stands for a minute.
	Span time.Duration
}

// FlowRow is the result of one scenario under one policy.
type FlowRow struct {
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	// Flows counts the flows that were established.
	Flows int `json:"flows"`
	// Broken counts established flows that had a packet delivered to another
	// target than their first, or none within 3 s of trying, except flows that
	// end in a data centre taken out or on a target that died.
	Broken int `json:"broken"`
	// WrongService counts packets delivered to a target of another service.
	WrongService int `json:"wrongService"`
	// Imbalance is the highest ratio of a warm target's open flows to its fair
	// share: at any sample in steady, else in the last 10 seconds of the minute
	// that follows the change.
	Imbalance float64 `json:"imbalance"`
	// Overrun counts samples in which a cold target carried more than it bears.
	Overrun int `json:"overrun"`
	// ControlBytes is the highest number of bytes a second that a host sent for
	// control in any 10 seconds, headers included.
	ControlBytes float64 `json:"controlBytesPerHostSecond"`
	RelayedShare float64 `json:"relayedShare"`
	// LastToOut is the time from the change to the last packet that went to a
	// data centre taken out.
	LastToOut float64 `json:"lastPacketToOutSeconds"`
	// LastToDraining is the time from the change to the last new flow that was
	// placed on a draining target.
	LastToDraining float64 `json:"lastNewFlowToDrainingSeconds"`
}

type flowState uint8

const (
	flowOpening flowState = iota
	flowOpen
	flowEnded
)

// trackedFlow is one caller's flow.
type trackedFlow struct {
	service int32
	// target is the index of the first target, -1 before it.
	target int32
	state  flowState
	// established is true once a packet after the opening one was delivered.
	established bool
	tries       uint8
	began       uint32
	// ends and next are slots; gap is the mean time between packets in slots.
	ends, next, gap uint32
	// tried is the slot of the first try of the packet that is under way.
	tried uint32
}

// flowRun is one scenario under one policy.
type flowRun struct {
	FlowOptions
	*Group
	scenario FlowScenario
	policy   Policy
	row      FlowRow

	doc    *config.Document
	change time.Time
	next   int
	// fabric lists the hosts that packets are handed to.
	fabric []*Node
	hosts  []cornelbay.Host

	flows []trackedFlow
	slots map[uint32][]uint32
	slot  uint32
	rng   *rand.Rand

	targets []flowTarget
	index   map[cornelbay.TargetName]int32
	// draining and out hold the time of the change that did it.
	draining, out map[cornelbay.TargetName]time.Time

	packets, relayed int
	control          map[*Node][]int
}

// flowTarget is what the experiment knows of a target.
type flowTarget struct {
	name    cornelbay.TargetName
	service int32
	dc      cornelbay.DataCentreName
	open    int
	dead    bool
	// coldSince is when the target last started; 0 when it has long been warm.
	coldSince time.Time
	// lastOut is the last time at which the target's data centre was out.
	lastOut time.Time
	// removed is true while the target is draining, out or not listed.
	removed bool
}

// RunFlows runs one scenario under one policy.
func RunFlows(o FlowOptions, s FlowScenario, policy string) FlowRow {
	if o.Span == 0 {
		o.Span = time.Minute
	}
	r := &flowRun{
		FlowOptions: o, Group: NewGroup(o.Seed), scenario: s, doc: clone(o.Deployment),
		slots: make(map[uint32][]uint32), rng: rand.New(rand.NewPCG(o.Seed, 2)),
		index:    make(map[cornelbay.TargetName]int32),
		draining: make(map[cornelbay.TargetName]time.Time), out: make(map[cornelbay.TargetName]time.Time),
		control: make(map[*Node][]int),
	}
	r.policy = newPolicy(policy)
	r.row = FlowRow{Scenario: s.Name, Policy: policy}
	r.OnProbe = r.answerProbe
	r.setup()
	r.Run(settleTime)
	r.change = r.Now
	if s.Change != nil {
		s.Change(r)
	}
	r.Run(max(o.Span, s.Span))
	r.finish()
	return r.row
}

func clone(d *config.Document) *config.Document {
	out := *d
	out.DataCentres = slices.Clone(d.DataCentres)
	out.Services = slices.Clone(d.Services)
	for i := range out.Services {
		out.Services[i].Targets = slices.Clone(d.Services[i].Targets)
	}
	return &out
}

func (r *flowRun) setup() {
	for i := range r.Hosts {
		r.hosts = append(r.hosts, r.newHost(i))
	}
	for _, h := range r.hosts {
		r.fabric = append(r.fabric, r.start(h))
	}
	r.learnTargets()
	r.apply()
	r.Every(flowSlot, func() bool { r.runSlot(); return true })
	r.Every(sampleTime, func() bool { r.sample(); return true })
	r.After(firstFlow, r.openFirst)
	r.After(firstFlow, func() { r.Every(flowSlot, func() bool { r.openNew(); return true }) })
}

func (r *flowRun) newHost(i int) cornelbay.Host {
	r.next++
	dc := r.doc.DataCentres[i%len(r.doc.DataCentres)].Name
	return cornelbay.Host{
		Name: cornelbay.HostName(fmt.Sprintf("%s-%d", dc, r.next)), DataCentre: dc,
		Incarnation: cornelbay.Incarnation(r.next),
		Datagram:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(r.next >> 8), byte(r.next)}), 7000),
		Fabric:      netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(r.next >> 8), byte(r.next)}), 6081),
	}
}

func (r *flowRun) start(h cornelbay.Host) *Node {
	n := r.StartHost(entry.Settings{
		Self: h, HashKey: [2]uint64{r.Seed, 7}, Seed: r.Seed + uint64(r.next), InitialHosts: r.hosts,
	})
	n.Plane.Table.MaxRecords = 1 << 22
	return n
}

// apply commits the document as operators do.
func (r *flowRun) apply() {
	_, err := operator.Apply(context.Background(), &r.Store, r.doc, operator.Change{
		ID: fmt.Sprint(r.Now.UnixNano()), Author: "measure", Reason: r.scenario.Name,
	})
	if err != nil {
		panic(err)
	}
	r.learnTargets()
}

// learnTargets takes the targets from the document that was committed.
func (r *flowRun) learnTargets() {
	outDC := make(map[cornelbay.DataCentreName]bool)
	for _, dc := range r.doc.DataCentres {
		outDC[dc.Name] = dc.Out
	}
	listed := make(map[cornelbay.TargetName]bool)
	for i, s := range r.doc.Services {
		for _, t := range s.Targets {
			listed[t.Name] = true
			at, ok := r.index[t.Name]
			if !ok {
				at = int32(len(r.targets))
				r.index[t.Name] = at
				r.targets = append(r.targets, flowTarget{name: t.Name, service: int32(i), dc: t.DataCentre})
			}
			r.targets[at].removed = t.Drain || outDC[t.DataCentre]
			note(r.draining, t.Name, t.Drain, r.Now)
			note(r.out, t.Name, outDC[t.DataCentre], r.Now)
		}
	}
	for i := range r.targets {
		if !listed[r.targets[i].name] {
			r.targets[i].removed = true
		}
	}
}

func note(m map[cornelbay.TargetName]time.Time, t cornelbay.TargetName, on bool, now time.Time) {
	if _, ok := m[t]; on && !ok {
		m[t] = now
	}
	if !on {
		delete(m, t)
	}
}

// openFirst begins the flows that are open at first, most of them long.
func (r *flowRun) openFirst() {
	for range r.Flows {
		at := r.slot + 1 + r.rng.Uint32N(uint32(spreadTime/flowSlot))
		r.begin(at, time.Minute, 5*time.Second)
	}
}

// openNew begins the new flows of one slot: one in ten is long.
func (r *flowRun) openNew() {
	perSlot := float64(r.NewPerSecond*r.Hosts) * flowSlot.Seconds()
	n := int(perSlot)
	if r.rng.Float64() < perSlot-float64(n) {
		n++
	}
	for range n {
		if r.rng.Uint32N(10) == 0 {
			r.begin(r.slot+1, time.Minute, 5*time.Second)
		} else {
			r.begin(r.slot+1, 2*time.Second, 500*time.Millisecond)
		}
	}
}

func (r *flowRun) begin(at uint32, life, gap time.Duration) *trackedFlow {
	service := int32(0)
	if len(r.doc.Services) > 1 && r.rng.Uint32N(5) == 0 {
		service = int32(1 + r.rng.IntN(len(r.doc.Services)-1))
	}
	length := uint32(r.rng.ExpFloat64()*float64(life/flowSlot)) + 2
	r.flows = append(r.flows, trackedFlow{
		service: service, target: -1, began: at, ends: at + length, next: at, gap: uint32(gap / flowSlot), tried: at,
	})
	i := len(r.flows) - 1
	r.at(at, uint32(i))
	return &r.flows[i]
}

func (r *flowRun) at(slot, f uint32) {
	slot = max(slot, r.slot+1)
	r.flows[f].next = slot
	r.slots[slot] = append(r.slots[slot], f)
}

func (r *flowRun) runSlot() {
	r.slot++
	due := r.slots[r.slot]
	delete(r.slots, r.slot)
	for _, f := range due {
		if r.flows[f].state != flowEnded && r.flows[f].next == r.slot {
			r.step(f)
		}
	}
}

func (r *flowRun) key(f uint32) cornelbay.FlowKey {
	s := &r.doc.Services[r.flows[f].service]
	src := netip.AddrFrom4([4]byte{100, byte(64 + f>>22), byte(f >> 14), byte(f >> 6)})
	return cornelbay.FlowKey{
		Source:      netip.AddrPortFrom(src, uint16(1024+f&63)),
		Destination: netip.AddrPortFrom(s.Address, s.Port), Protocol: s.Protocol.Number(),
	}
}

// step sends the next packet of a flow.
func (r *flowRun) step(f uint32) {
	fl := &r.flows[f]
	var flags cornelbay.PacketFlags
	switch {
	case fl.state == flowOpening:
		flags = cornelbay.Opening
	case fl.tries == 0 && r.slot >= fl.ends:
		flags = cornelbay.Finishing
	}
	if fl.tries == 0 {
		fl.tried = r.slot
	}
	name, ok := r.deliver(r.key(f), flags)
	if !ok {
		r.undelivered(f)
		return
	}
	fl.tries = 0
	r.delivered(f, r.index[name], flags)
}

func (r *flowRun) undelivered(f uint32) {
	fl := &r.flows[f]
	fl.tries++
	if fl.state == flowOpening {
		if fl.tries >= openingTries {
			fl.state = flowEnded
			return
		}
		r.at(r.slot+uint32(openingRetry/flowSlot), f)
		return
	}
	if int(fl.tries) > len(retries) {
		r.end(f, true)
		return
	}
	r.at(fl.tried+uint32(retries[fl.tries-1]/flowSlot), f)
}

func (r *flowRun) delivered(f uint32, at int32, flags cornelbay.PacketFlags) {
	fl := &r.flows[f]
	t := &r.targets[at]
	if t.service != fl.service {
		r.row.WrongService++
	}
	if since, ok := r.out[t.name]; ok {
		t.lastOut = r.Now
		r.row.LastToOut = max(r.row.LastToOut, r.Now.Sub(since).Seconds())
	}
	if t.dead {
		r.undelivered(f)
		return
	}
	switch {
	case fl.target < 0:
		r.place(fl, at)
	case fl.target != at:
		r.end(f, true)
		return
	}
	if fl.state == flowOpening {
		fl.state = flowOpen
		r.at(r.slot+1, f)
		return
	}
	if !fl.established {
		fl.established = true
		r.row.Flows++
	}
	if flags&cornelbay.Finishing != 0 {
		r.end(f, false)
		return
	}
	gap := uint32(float64(fl.gap)*r.rng.ExpFloat64()) + 1
	r.at(min(r.slot+gap, max(fl.ends, r.slot+1)), f)
}

func (r *flowRun) place(fl *trackedFlow, at int32) {
	fl.target = at
	t := &r.targets[at]
	t.open++
	if since, ok := r.draining[t.name]; ok {
		r.row.LastToDraining = max(r.row.LastToDraining, r.Now.Sub(since).Seconds())
	}
}

// end ends a flow; a broken one counts unless its target was given up.
func (r *flowRun) end(f uint32, broken bool) {
	fl := &r.flows[f]
	fl.state = flowEnded
	if fl.target < 0 {
		return
	}
	t := &r.targets[fl.target]
	t.open--
	_, out := r.out[t.name]
	out = out || int64(fl.began)*int64(flowSlot) < int64(t.lastOut.Sub(Start))
	if broken && fl.established && !out && !t.dead {
		r.row.Broken++
		if r.scenario.Trace != nil {
			r.scenario.Trace(r, f)
		}
	}
}

// deliver hands a packet to any host and follows its relays; it returns the
// target that got it.
func (r *flowRun) deliver(key cornelbay.FlowKey, flags cornelbay.PacketFlags) (cornelbay.TargetName, bool) {
	if len(r.fabric) == 0 {
		return "", false
	}
	n := r.fabric[r.rng.IntN(len(r.fabric))]
	pk := cornelbay.Packet{Key: key, Flags: flags}
	r.packets++
	now := r.Now
	for hop := 0; hop <= flow.MaxHops; hop++ {
		if !n.Alive() {
			return "", false
		}
		v := r.policy.Decide(n, now, &pk)
		switch v.Action {
		case cornelbay.Forward:
			return v.Target, true
		case cornelbay.Relay:
			if hop == 0 {
				r.relayed++
			}
			delay, ok := r.Between(n.Self.Name, v.Host)
			to := r.Nodes[v.Host]
			if !ok || to == nil {
				return "", false
			}
			n, now, pk.Relay = to, now.Add(delay), v.Relay
		default:
			return "", false
		}
	}
	return "", false
}

// sample reads the balance, the load of cold targets and the control traffic.
func (r *flowRun) sample() {
	for n := range r.control {
		if n.Dead {
			delete(r.control, n)
		}
	}
	for _, n := range r.Nodes {
		window := append(r.control[n], n.SentBytes)
		if size := int(controlWindow / sampleTime); len(window) > size {
			if r.Now.Sub(Start) > firstFlow+controlWindow {
				rate := float64(window[len(window)-1]-window[0]) / controlWindow.Seconds()
				r.row.ControlBytes = max(r.row.ControlBytes, rate)
			}
			window = window[1:]
		}
		r.control[n] = window
	}
	r.sampleBalance()
}

func (r *flowRun) sampleBalance() {
	for i := range r.targets {
		if _, ok := r.out[r.targets[i].name]; ok {
			r.targets[i].lastOut = r.Now
		}
	}
	since := r.Now.Sub(r.change)
	counts := r.change.IsZero() && r.scenario.Change == nil && r.Now.Sub(Start) > firstFlow+spreadTime
	if !r.change.IsZero() {
		counts = r.scenario.Change == nil || since > 50*time.Second && since <= time.Minute
	}
	warm, open := 0, 0
	for _, t := range r.targets {
		if t.service == 0 && !t.removed && !t.dead && r.bears(&t) >= cornelbay.FullPermille {
			warm++
			open += t.open
		}
	}
	if warm == 0 || open == 0 {
		return
	}
	fair := float64(open) / float64(warm)
	for _, t := range r.targets {
		if t.service != 0 || t.removed || t.dead {
			continue
		}
		bears := r.bears(&t)
		if bears >= cornelbay.FullPermille && counts {
			r.row.Imbalance = max(r.row.Imbalance, float64(t.open)/fair)
		}
		if bears < cornelbay.FullPermille && float64(t.open) > fair*float64(bears)/cornelbay.FullPermille {
			r.row.Overrun++
		}
	}
}

func (r *flowRun) finish() {
	if r.packets > 0 {
		r.row.RelayedShare = float64(r.relayed) / float64(r.packets)
	}
}
