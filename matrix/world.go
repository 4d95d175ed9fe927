package matrix

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/config"
	"github.com/cornelbay/cornelbay/entry"
	"github.com/cornelbay/cornelbay/measure"
	"github.com/cornelbay/cornelbay/operator"
)

// HostCount is the number of entry hosts of each deployment.
const HostCount = 6

// WarmUp is the time before a procedure starts.
const WarmUp = 15 * time.Second

// World is a deployment's hosts under load on the virtual clock, with the
// operators, targets and callers around them.
type World struct {
	*measure.Group
	Ledger Ledger
	// Operator commits changes; its retries wait on the virtual clock.
	Operator *operator.Client
	// Errors counts what operators were told that is no success.
	Errors int

	settings map[cornelbay.HostName]entry.Settings
	targets  map[cornelbay.TargetName]*target
	names    []cornelbay.TargetName
	services []cornelbay.Service
	centres  []cornelbay.DataCentreName
	hooks    []hook
	changes  int
	blocked  map[cornelbay.HostName]*blocked
	healed   map[cornelbay.DataCentreName]time.Time
	commits  []commit
	flows    []*liveFlow
	opened   int
	asked    int
	calls    map[callKey]*call
	attempts map[attemptKey]*attempt
	sprayed  []cornelbay.HostName
	stops    []cornelbay.HostName
	// silent makes half of the new attempts go silent.
	silent bool

	cell   Cell
	faults []string
	fired  map[string]int
	// started is true once the procedure has started, struck once the step of
	// the cell was taken, back once the data centre was brought back, and closed
	// once the load has ended.
	started, struck, back, closed bool
	// mutation names the safety rule that is switched off, if any.
	mutation string
	// deafToProposals is until when two hosts miss the proposals of epochs.
	deafToProposals time.Time
}

// hook is called with each effect before it is carried out, until it returns
// true.
type hook func(n *measure.Node, e cornelbay.Effect) bool

// NewWorld returns a world whose hosts have just started with a first document.
func NewWorld(d Deployment, seed uint64) (*World, error) {
	w := &World{
		Group: measure.NewGroup(seed), settings: make(map[cornelbay.HostName]entry.Settings),
		targets: make(map[cornelbay.TargetName]*target), blocked: make(map[cornelbay.HostName]*blocked),
		healed: make(map[cornelbay.DataCentreName]time.Time),
		calls:  make(map[callKey]*call), attempts: make(map[attemptKey]*attempt),
	}
	w.Ledger = Ledger{Now: func() time.Time { return w.Now }, Start: w.Now}
	w.OnEffect = w.see
	w.Cut = w.isCut
	w.OnAttempt, w.OnCancel, w.OnFinish, w.OnProbe = w.attempt, w.cancel, w.finish, w.probe
	w.Store.Unreachable = func(caller string) bool {
		b := w.blocked[cornelbay.HostName(caller)]
		return b != nil && (b.cut || b.deaf)
	}
	w.Operator = &operator.Client{
		Service: recorder{w}, Rand: w.Rand, Now: func() time.Time { return w.Now },
		Sleep: func(_ context.Context, wait time.Duration) error { w.Run(wait); return nil },
	}
	doc := document(d)
	for _, dc := range doc.DataCentres {
		w.centres = append(w.centres, dc.Name)
	}
	for _, s := range doc.Services {
		w.services = append(w.services, s)
		for _, t := range s.Targets {
			w.addTarget(s.Name, t, time.Time{})
		}
	}
	if _, err := w.Operator.Apply(context.Background(), doc, w.change()); err != nil {
		return nil, err
	}
	for i := range HostCount {
		w.start(hostName(i), w.centres[i%len(w.centres)], 1)
	}
	w.Every(checkInterval, func() bool { w.check(); return true })
	w.Every(sprayInterval, func() bool { w.spray(); return true })
	w.spray()
	return w, nil
}

func hostName(i int) cornelbay.HostName { return cornelbay.HostName(fmt.Sprintf("host-%d", i+1)) }

// document returns a deployment's document with the names and sizes of today.
func document(d Deployment) *config.Document {
	centres := []string{"imlil", "toubkal", "ait-bouguemez", "todra"}
	names := []string{"statut", "carto"}
	if d == Depot {
		centres = []string{"kelaniya-a", "colombo-b", "gampaha-c"}
		names = []string{"catalogue-desk", "swatch-archive"}
	}
	doc := &config.Document{Deployment: string(d)}
	for _, c := range centres {
		doc.DataCentres = append(doc.DataCentres, cornelbay.DataCentre{Name: cornelbay.DataCentreName(c)})
	}
	for i, n := range []int{14, 4} {
		s := cornelbay.Service{
			Name: cornelbay.ServiceName(names[i]), Address: netip.AddrFrom4([4]byte{192, 0, 2, byte(10 + i)}),
			Port: 443, Protocol: cornelbay.TCP, Bulk: i == 1,
		}
		for k := range n {
			ip := netip.AddrFrom4([4]byte{10, byte(10 + i), 0, byte(1 + k)})
			s.Targets = append(s.Targets, cornelbay.Target{
				Name:       cornelbay.TargetName(fmt.Sprintf("%s-%d", names[i], k+1)),
				DataCentre: cornelbay.DataCentreName(centres[k%len(centres)]),
				Tunnel:     netip.AddrPortFrom(ip, 6081), HTTP: netip.AddrPortFrom(ip, 8080),
			})
		}
		doc.Services = append(doc.Services, s)
	}
	return doc
}

func (w *World) change() operator.Change {
	w.changes++
	return operator.Change{ID: fmt.Sprintf("change-%d", w.changes), Author: "matrix", Reason: "a run of the matrix"}
}

// start starts a host, or a later incarnation of one.
func (w *World) start(name cornelbay.HostName, dc cornelbay.DataCentreName, in cornelbay.Incarnation) {
	n := len(w.settings)
	ip := netip.AddrFrom4([4]byte{10, 0, byte(in), byte(n + 1)})
	s := entry.Settings{
		Self: cornelbay.Host{
			Name: name, DataCentre: dc, Incarnation: in, Fabric: netip.AddrPortFrom(ip, 6081),
			Datagram: netip.AddrPortFrom(ip, 7000), RPC: netip.AddrPortFrom(ip, 7001),
			HTTP: netip.AddrPortFrom(ip, 8080), Admin: netip.AddrPortFrom(ip, 9090),
		},
		HashKey: [2]uint64{1, 2}, TicketKeys: [][]byte{[]byte("ticket key of the virtual group")},
		Seed: w.Rand.Uint64(),
	}
	for i := range HostCount {
		if other, ok := w.settings[hostName(i)]; ok {
			s.InitialHosts = append(s.InitialHosts, other.Self)
		}
	}
	w.settings[name] = s
	w.blocked[name] = &blocked{since: w.Now}
	w.StartHost(s)
}

// see passes an effect to the hooks and tells whether it is carried out.
func (w *World) see(n *measure.Node, e cornelbay.Effect) bool {
	hooks := w.hooks
	w.hooks = nil
	for _, h := range hooks {
		if !h(n, e) {
			w.hooks = append(w.hooks, h)
		}
	}
	if s, ok := e.(cornelbay.Send); ok && !w.proposal(n, s) {
		return false
	}
	return !n.Dead && !w.deafened(n, e)
}

// pick returns the actor when it is a live host, or else any live host.
func (w *World) pick(actor cornelbay.HostName) cornelbay.HostName {
	if n, ok := w.Nodes[actor]; ok && n.Alive() {
		return actor
	}
	live := slices.DeleteFunc(w.Names(), func(name cornelbay.HostName) bool { return !w.Nodes[name].Alive() })
	if len(live) == 0 {
		return ""
	}
	return live[w.Rand.IntN(len(live))]
}
