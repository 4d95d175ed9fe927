// Lostanswer opens long flows, half of which lose one packet as they are opened, and later stops and
// starts one host as planned.
package main

import (
	"errors"
	"net/netip"
	"sync"
	"time"

	"github.com/cornelbay/cornelbay/review/rig"
)

const (
	clients   = 16
	pause     = 4 * time.Second
	timeLimit = 3 * time.Second
	stopsFrom = 25 * time.Second
	end       = 42 * time.Second
)

func main() { rig.Run(run) }

func run(r *rig.Record, binary string, trouble bool) ([]string, error) {
	zones := []string{"a", "a", "b", "b", "c", "c"}
	w, err := rig.New(r, binary, zones, []string{"desk"})
	if err != nil {
		return nil, err
	}
	defer w.Close()
	var mu sync.Mutex
	lossy := make(map[netip.Addr]bool) // the clients whose flow still has to lose a packet
	w.Lose = func(_ string, syn bool, source netip.AddrPort) bool {
		mu.Lock()
		defer mu.Unlock()
		lost := syn && lossy[source.Addr()]
		delete(lossy, source.Addr())
		return lost
	}
	for _, zone := range zones {
		if _, err := w.AddEndpoint("desk", zone); err != nil {
			return nil, err
		}
	}
	if err := w.Start(); err != nil {
		return nil, err
	}
	time.Sleep(rig.StabilityWindow)

	begin := time.Now()
	var flows sync.WaitGroup
	for i := range clients {
		c, err := w.AddClient(zones[0])
		if err != nil {
			return nil, err
		}
		if trouble && i%2 == 0 {
			mu.Lock()
			lossy[c.Address()] = true
			mu.Unlock()
		}
		flows.Go(func() { talk(r, w, c, begin) })
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(time.Until(begin.Add(stopsFrom)))
	h := w.Hosts()[0]
	h.Stop()
	if err := h.Start(); err != nil {
		return nil, err
	}
	flows.Wait()
	w.Ledger().JudgeFlows()
	open, several := w.Ledger().Opened()
	sent, lost := w.Packets()
	r.Say("%d of %d packets were lost", lost, sent)
	r.Say("%d flows were open, the openings of %d went to several endpoints", open, several)
	if open < clients/2 {
		return nil, errors.New("too few flows were opened")
	}
	return w.Ledger().Violations(), nil
}

// talk keeps a flow open and sends a request on it from time to time.
func talk(r *rig.Record, w *rig.World, c *rig.Client, begin time.Time) {
	f, err := c.Open(w.ServiceAddress(0))
	if err != nil {
		r.Line("client in %s: %v", c.Zone, err)
		return
	}
	for time.Since(begin) < end {
		if _, err := f.Ask(timeLimit); err != nil {
			r.Line("%v: %v", f.Source(), err)
			return
		}
		time.Sleep(pause)
	}
	f.Finish()
}
