package matrix

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/agree"
	"github.com/cornelbay/cornelbay/config"
	"github.com/cornelbay/cornelbay/measure"
	"github.com/cornelbay/cornelbay/objectstore"
	"github.com/cornelbay/cornelbay/operator"
	"github.com/cornelbay/cornelbay/peer"
	"github.com/cornelbay/cornelbay/request"
)

// Procedure is something that operators or hosts do in steps.
type Procedure struct {
	Name  string
	Steps []string
	// Start starts the procedure.
	Start func(w *World)
}

// Procedures lists every procedure with its steps.
var Procedures = []Procedure{
	{"apply", []string{"beforeShards", "shardWritten", "beforeHead", "headWritten"}, addTarget},
	{"disseminate", []string{"firstHost", "halfOfHosts", "allHosts"}, func(w *World) { w.reweigh("disseminate") }},
	{"changeTable", []string{"proposed", "partlyPrepared", "activated"}, addTarget},
	{"drain", []string{"committed", "inForce"}, drain},
	{"takeOut", []string{"committed", "inForce"}, func(w *World) { setOut(w, true) }},
	{"bringBack", []string{"committed", "inForce"}, func(w *World) {
		setOut(w, true)
		w.After(returnAfter, func() { w.back = true; setOut(w, false) })
	}},
	{"startHost", []string{"started", "ready"}, func(w *World) { w.Join() }},
	{"stopHost", []string{"begun", "handedOver", "stopped"}, stopHost},
	{"ticket", []string{"issued", "redeemed", "answered"}, func(*World) {}},
}

func addTarget(w *World) {
	w.edit(func(c *operator.Client, ch operator.Change) error {
		_, err := c.Edit(context.Background(), ch, func(doc *config.Document) error {
			s := &doc.Services[0]
			ip := netip.AddrFrom4([4]byte{10, 10, 0, 100})
			s.Targets = append(s.Targets, cornelbay.Target{
				Name: cornelbay.TargetName(fmt.Sprintf("%s-new", s.Name)), DataCentre: w.centres[0],
				Tunnel: netip.AddrPortFrom(ip, 6081), HTTP: netip.AddrPortFrom(ip, 8080),
			})
			return nil
		})
		return err
	})
}

func drain(w *World) {
	w.edit(func(c *operator.Client, ch operator.Change) error {
		_, err := operator.SetDrain(context.Background(), c, w.services[0].Targets[0].Name, true, ch)
		return err
	})
}

func setOut(w *World, out bool) {
	w.edit(func(c *operator.Client, ch operator.Change) error {
		_, err := operator.SetDataCentreOut(context.Background(), c, w.centres[1], out, ch)
		return err
	})
}

func stopHost(w *World) {
	name := hostName(2)
	n := w.Nodes[name]
	if !n.Alive() {
		return
	}
	w.stops = append(w.stops, name)
	w.spray()
	w.CarryOut(n, n.Stop(w.Now))
	w.reached("begun", name)
	w.Every(checkInterval, func() bool {
		if n.Dead {
			return false
		}
		if n.Paused || !n.Stopped(w.Now) {
			return true
		}
		if left := w.callsAt(name); len(left) > 0 {
			w.Ledger.Break(StopCutsNothing, "%s stopped with %d requests that had no answer", name, len(left))
		}
		n.Dead = true
		w.reached("stopped", name)
		return false
	})
}

// The moments of an operator's call at which steps are taken.
type moment uint8

const (
	stepBefore moment = iota
	stepAfter
)

// hooked takes the steps of an operator's call.
func (w *World) hooked(m moment, c objectstore.Call) {
	if !w.started {
		return
	}
	head := c.Key == config.HeadKey && (c.Op == objectstore.Update || c.Op == objectstore.Create)
	shard := c.Op == objectstore.Create && c.Key != config.HeadKey
	switch {
	case m == stepBefore && shard:
		w.reached("beforeShards", "")
	case m == stepAfter && shard:
		w.reached("shardWritten", "")
	case m == stepBefore && head:
		w.reached("beforeHead", "")
	case m == stepAfter && head:
		w.reached("headWritten", "")
		if w.cell.Procedure != "bringBack" || w.back {
			w.reached("committed", "")
		}
	}
}

// watchSteps takes the steps that show in the effects of hosts.
func (w *World) watchSteps(n *measure.Node, e cornelbay.Effect) bool {
	name := n.Self.Name
	switch e := e.(type) {
	case cornelbay.Send:
		switch e.Message.(type) {
		case agree.Proposal:
			w.reached("proposed", name)
		case agree.Prepared:
			w.reached("partlyPrepared", name)
		case agree.Activate:
			w.reached("activated", name)
		}
	case peer.Call:
		if _, ok := e.Args.(request.HandOverArgs); ok {
			w.reached("handedOver", name)
		}
	case request.Finish:
		if len(e.Response.Body) > 0 && w.ticketCall(n, e) {
			w.reached("issued", name)
		}
	case request.Attempt:
		if e.Request.Method == http.MethodPost {
			w.reached("redeemed", name)
		}
	}
	return false
}

func (w *World) ticketCall(n *measure.Node, f request.Finish) bool {
	c, ok := w.calls[callKey{n.Self.Name, n.Self.Incarnation, f.Request}]
	return ok && c.Tickets > 0
}

// watchHosts takes the steps that show in what hosts have in force.
func (w *World) watchHosts() {
	joined := hostName(HostCount)
	if n, ok := w.Nodes[joined]; ok {
		w.reached("started", joined)
		if n.Ready() {
			w.reached("ready", joined)
		}
	}
	if len(w.commits) < 2 || (w.cell.Procedure == "bringBack" && !w.back) {
		return
	}
	c := &w.commits[len(w.commits)-1]
	last := w.lastAdopted(c)
	if len(c.adopted) >= 1 {
		w.reached("firstHost", last)
	}
	if 2*len(c.adopted) >= HostCount {
		w.reached("halfOfHosts", last)
	}
	if len(c.adopted) >= HostCount {
		w.reached("allHosts", last)
		w.reached("inForce", last)
	}
}

func (w *World) lastAdopted(c *commit) cornelbay.HostName {
	var last cornelbay.HostName
	for name, at := range c.adopted {
		if last == "" || at.After(c.adopted[last]) || at.Equal(c.adopted[last]) && name < last {
			last = name
		}
	}
	return last
}
