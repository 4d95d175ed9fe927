package measure

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/config"
	"github.com/cornelbay/cornelbay/warmth"
)

// The times of the scenarios.
const (
	// silentTime is how long the silent flows of the rolling scenarios send nothing.
	silentTime   = 45 * time.Second
	splitTime    = 30 * time.Second
	lateUpdate   = 2 * time.Second
	killInterval = 10 * time.Second
	// stopLimit is the time after which a stopping host is ended anyway.
	stopLimit   = 25 * time.Second
	silentFlows = 500
)

// FlowScenario is what happens to the hosts and targets of a flow experiment.
type FlowScenario struct {
	Name string
	// Change starts what happens; nil for a steady run.
	Change func(r *flowRun)
	// Span is the least time from the change to the end.
	Span time.Duration
	// Trace sees each broken flow; nil sees none.
	Trace func(r *flowRun, f uint32)
}

// FlowScenarios are the scenarios of the flow experiment in their order.
var FlowScenarios = []FlowScenario{
	{Name: "steady"},
	{Name: "drainTarget", Change: drainTarget},
	{Name: "addColdTarget", Change: addColdTarget},
	{Name: "targetTurnsCold", Change: targetTurnsCold},
	{Name: "hostDies", Change: hostDies},
	{Name: "hostJoins", Change: hostJoins},
	{Name: "hostDiesDuringDrain", Change: hostDiesDuringDrain},
	{Name: "twoHostsDie", Change: twoHostsDie},
	{Name: "unevenUpdate", Change: unevenUpdate},
	{Name: "rollAllHosts", Change: rollAllHosts, Span: 2 * time.Minute},
	{Name: "killAllHostsInTurn", Change: killAllHostsInTurn, Span: 90 * time.Second},
	{Name: "proposersSplit", Change: proposersSplit},
	{Name: "dataCentreOutAndBack", Change: dataCentreOutAndBack},
	{Name: "dataCentreCutOff", Change: dataCentreCutOff},
}

// MakeDocument returns a document of the size that one of the users has: the
// first service with the given number of targets and a second one with four.
func MakeDocument(name string, dataCentres []cornelbay.DataCentreName, services []cornelbay.ServiceName, targets int) *config.Document {
	doc := &config.Document{Deployment: name}
	for _, dc := range dataCentres {
		doc.DataCentres = append(doc.DataCentres, cornelbay.DataCentre{Name: dc})
	}
	for i, s := range services {
		svc := cornelbay.Service{
			Name: s, Address: netip.AddrFrom4([4]byte{192, 0, 2, byte(10 + i)}), Port: 443, Protocol: cornelbay.TCP,
		}
		n := targets
		if i > 0 {
			n = 4
		}
		for k := range n {
			svc.Targets = append(svc.Targets, makeTarget(doc, s, i, k))
		}
		doc.Services = append(doc.Services, svc)
	}
	return doc
}

func makeTarget(doc *config.Document, s cornelbay.ServiceName, service, k int) cornelbay.Target {
	addr := netip.AddrFrom4([4]byte{127, byte(10 + service), byte(k >> 8), byte(k + 1)})
	return cornelbay.Target{
		Name: cornelbay.TargetName(fmt.Sprintf("%s-%d", s, k+1)), DataCentre: doc.DataCentres[k%len(doc.DataCentres)].Name,
		Tunnel: netip.AddrPortFrom(addr, 6081), HTTP: netip.AddrPortFrom(addr, 8080),
	}
}

// Agence returns the document of the Agence with the given number of targets of
// its first service.
func Agence(targets int) *config.Document {
	return MakeDocument("agence", []cornelbay.DataCentreName{"imlil", "toubkal", "ait-bouguemez", "todra"},
		[]cornelbay.ServiceName{"statut", "carto"}, targets)
}

// Depot returns the document of the Depot, as Agence does.
func Depot(targets int) *config.Document {
	return MakeDocument("depot", []cornelbay.DataCentreName{"kelaniya-a", "colombo-b", "gampaha-c"},
		[]cornelbay.ServiceName{"catalogue-desk", "swatch-archive"}, targets)
}

func drainTarget(r *flowRun) {
	r.doc.Services[0].Targets[0].Drain = true
	r.apply()
}

func addColdTarget(r *flowRun) {
	s := &r.doc.Services[0]
	s.Targets = append(s.Targets, makeTarget(r.doc, s.Name, 0, len(s.Targets)))
	r.apply()
	r.turnCold(s.Targets[len(s.Targets)-1].Name)
}

func targetTurnsCold(r *flowRun) { r.turnCold(r.doc.Services[0].Targets[0].Name) }

func (r *flowRun) turnCold(t cornelbay.TargetName) { r.targets[r.index[t]].coldSince = r.Now }

// bears returns the share of a warm target's flows that a target bears now, in
// thousandths: a tenth at first, all of it after half a minute.
func (r *flowRun) bears(t *flowTarget) int {
	if t.coldSince.IsZero() {
		return cornelbay.FullPermille
	}
	const least, cold, ramp = cornelbay.FullPermille / 10, 10 * time.Second, 20 * time.Second
	age := r.Now.Sub(t.coldSince) - cold
	return min(cornelbay.FullPermille, least+int((cornelbay.FullPermille-least)*max(0, age)/ramp))
}

// answerProbe answers as targets do: well, with a latency that shows a cold one.
func (r *flowRun) answerProbe(n *Node, p warmth.Probe) {
	t := &r.targets[r.index[p.Target]]
	r.After(2*time.Millisecond, func() {
		if !n.Alive() {
			return
		}
		kind := warmth.ProbeOK
		if t.dead {
			kind = warmth.ProbeFailed
		}
		n.Observe(r.Now, warmth.Signal{Target: p.Target, Kind: kind, Value: 2000 / float64(r.bears(t))})
	})
}

// kill ends a host without warning; the fabric notices later.
func (r *flowRun) kill(n *Node) {
	n.Dead = true
	r.After(fabricDetection, func() { r.leaveFabric(n) })
}

func (r *flowRun) leaveFabric(n *Node) {
	r.fabric = slices.DeleteFunc(r.fabric, func(o *Node) bool { return o == n })
}

func hostDies(r *flowRun) { r.kill(r.fabric[0]) }

func hostJoins(r *flowRun) { r.join(0) }

// join starts a new host; it gets packets once it is ready.
func (r *flowRun) join(i int) {
	h := r.newHost(i)
	n := r.start(h)
	r.hosts = append(r.hosts, h)
	r.Every(sampleTime/10, func() bool {
		if n.Ready() {
			r.fabric = append(r.fabric, n)
		}
		return !n.Ready()
	})
}

func hostDiesDuringDrain(r *flowRun) {
	drainTarget(r)
	r.After(300*time.Millisecond, func() { r.kill(r.fabric[0]) })
}

func twoHostsDie(r *flowRun) {
	drainTarget(r)
	r.After(5*time.Second, func() {
		r.kill(r.fabric[0])
		r.kill(r.fabric[1])
	})
}

// unevenUpdate drains a target while every other host hears of it late.
func unevenUpdate(r *flowRun) {
	late := make(map[string]bool)
	for i, n := range r.fabric {
		late[string(n.Self.Name)] = i%2 == 0
	}
	r.Store.Unreachable = func(caller string) bool { return late[caller] }
	r.Store.CutWatches()
	drainTarget(r)
	r.After(lateUpdate, func() { r.Store.Unreachable = nil })
}

// beginSilent opens flows that send nothing for a long time, on buckets of
// which some have just changed.
func (r *flowRun) beginSilent() {
	for range silentFlows {
		f := r.begin(r.slot+1+r.rng.Uint32N(uint32(4*time.Second/flowSlot)), time.Second, time.Second)
		f.service = 0
		f.gap = uint32(silentTime / flowSlot)
		f.ends = r.slot + uint32((r.scenario.Span-8*time.Second)/flowSlot)
	}
}

// rollAllHosts replaces each host in the planned way, one after another.
func rollAllHosts(r *flowRun) {
	drainTarget(r)
	r.beginSilent()
	hosts := slices.Clone(r.fabric)
	r.After(8*time.Second, func() { r.replaceNext(hosts) })
}

func (r *flowRun) replaceNext(hosts []*Node) {
	if len(hosts) == 0 {
		return
	}
	n := hosts[0]
	r.leaveFabric(n)
	r.CarryOut(n, n.Stop(r.Now))
	began := r.Now
	r.Every(100*time.Millisecond, func() bool {
		if !n.Stopped(r.Now) && r.Now.Sub(began) < stopLimit {
			return true
		}
		n.Dead = true
		r.join(len(hosts))
		r.After(5*time.Second, func() { r.replaceNext(hosts[1:]) })
		return false
	})
}

// killAllHostsInTurn kills each host, and starts another in its place.
func killAllHostsInTurn(r *flowRun) {
	drainTarget(r)
	r.beginSilent()
	for i, n := range slices.Clone(r.fabric) {
		r.After(time.Duration(i+1)*killInterval, func() {
			r.kill(n)
			r.join(i)
		})
	}
}

// proposersSplit cuts the hosts in two halves during a drain.
func proposersSplit(r *flowRun) {
	half := make(map[cornelbay.HostName]bool)
	for i, n := range r.fabric {
		half[n.Self.Name] = i < len(r.fabric)/2
	}
	r.Cut = func(from, to cornelbay.HostName) bool { return half[from] != half[to] }
	r.After(time.Second, func() { drainTarget(r) })
	r.After(splitTime, func() { r.Cut = nil })
}

func (r *flowRun) setOut(dc int, out bool) {
	r.doc.DataCentres[dc].Out = out
	r.apply()
}

// dataCentreOutAndBack takes a data centre out and brings it back with cold targets.
func dataCentreOutAndBack(r *flowRun) {
	r.setOut(1, true)
	r.After(20*time.Second, func() {
		r.setOut(1, false)
		for i := range r.targets {
			if r.targets[i].dc == r.doc.DataCentres[1].Name {
				r.targets[i].coldSince = r.Now
			}
		}
	})
}

// dataCentreCutOff cuts the hosts of a data centre off from the other hosts and
// from the platform, while another data centre is taken out.
func dataCentreCutOff(r *flowRun) {
	cut := r.doc.DataCentres[0].Name
	inside := make(map[cornelbay.HostName]bool)
	for _, n := range r.fabric {
		inside[n.Self.Name] = n.Self.DataCentre == cut
	}
	r.Cut = func(from, to cornelbay.HostName) bool { return inside[from] != inside[to] }
	r.Store.Unreachable = func(caller string) bool { return inside[cornelbay.HostName(caller)] }
	r.Store.CutWatches()
	r.After(time.Second, func() { r.setOut(1, true) })
	r.After(splitTime, func() { r.Cut, r.Store.Unreachable = nil, nil })
}

// ErrUnknownRun is the error of a scenario or policy that does not exist.
var ErrUnknownRun = merry.New("no such scenario or policy")

// FlowRun is one scenario under one policy, ready to run.
type FlowRun struct {
	Options  FlowOptions
	Scenario FlowScenario
	Policy   string
}

// Run runs the experiment.
func (r FlowRun) Run() FlowRow { return RunFlows(r.Options, r.Scenario, r.Policy) }

// FlowRuns returns the runs of the named scenarios and policies; no names stand
// for all of them.
func FlowRuns(o FlowOptions, scenarios, policies []string) ([]FlowRun, error) {
	if len(policies) == 0 {
		policies = Policies
	}
	if len(scenarios) == 0 {
		for _, s := range FlowScenarios {
			scenarios = append(scenarios, s.Name)
		}
	}
	var out []FlowRun
	for _, name := range scenarios {
		i := slices.IndexFunc(FlowScenarios, func(s FlowScenario) bool { return s.Name == name })
		if i < 0 {
			return nil, merry.Prepend(ErrUnknownRun, name)
		}
		for _, p := range policies {
			if !slices.Contains(Policies, p) {
				return nil, merry.Prepend(ErrUnknownRun, p)
			}
			out = append(out, FlowRun{o, FlowScenarios[i], p})
		}
	}
	return out, nil
}

// SetFlowsPerTarget sets the sizes so that each target of the first service has
// about n open flows.
func (o *FlowOptions) SetFlowsPerTarget(n int) {
	const first = 0.8
	open := float64(n*len(o.Deployment.Services[0].Targets)) / first
	// One new flow in ten lives a minute on average, the others two seconds.
	const meanLife = 0.1*60 + 0.9*2
	o.NewPerSecond = int(open / meanLife / float64(o.Hosts))
	o.Flows = int(open * 0.1 * 60 / meanLife)
}
