// Freeze freezes one host six times for two seconds while clients open long flows.
package main

import (
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/cornelbay/cornelbay/review/rig"
)

const (
	frozen    = 2 * time.Second
	freezes   = 6
	every     = 13 * time.Second
	clients   = 24 // for each freeze
	opensFrom = 500 * time.Millisecond
	spacing   = 50 * time.Millisecond
	timeLimit = 3 * time.Second
	// idle is how long a client keeps its flow without a request after the first one.
	idle = 8 * time.Second
)

func main() { rig.Run(run) }

func run(r *rig.Record, binary string, trouble bool) ([]string, error) {
	zones := []string{"a", "a", "b", "b", "c", "c"}
	w, err := rig.New(r, binary, zones, []string{"desk"})
	if err != nil {
		return nil, err
	}
	defer w.Close()
	for _, zone := range zones {
		if _, err := w.AddEndpoint("desk", zone); err != nil {
			return nil, err
		}
	}
	if err := w.Start(); err != nil {
		return nil, err
	}
	time.Sleep(rig.StabilityWindow)

	h := w.Hosts()[0]
	var flows sync.WaitGroup
	for n := range freezes {
		begin := time.Now()
		if trouble {
			w.Ledger().Excuse(r.Now(), r.Now()+frozen+rig.StabilityWindow)
			h.Signal(syscall.SIGSTOP)
			time.AfterFunc(frozen, func() { h.Signal(syscall.SIGCONT) })
		}
		time.Sleep(opensFrom)
		for range clients {
			c, err := w.AddClient(h.Zone)
			if err != nil {
				return nil, err
			}
			flows.Go(func() { talk(r, w, c) })
			time.Sleep(spacing)
		}
		if n < freezes-1 {
			time.Sleep(time.Until(begin.Add(every)))
		}
	}
	flows.Wait()
	w.Ledger().JudgeFlows()
	open, several := w.Ledger().Opened()
	r.Say("%d flows were open, the openings of %d went to several endpoints", open, several)
	if open < freezes*clients/2 {
		return nil, errors.New("too few flows were opened")
	}
	return w.Ledger().Violations(), nil
}

// talk sends two requests on a flow, with a pause in between.
func talk(r *rig.Record, w *rig.World, c *rig.Client) {
	f, err := c.Open(w.ServiceAddress(0))
	if err != nil {
		r.Line("client in %s: %v", c.Zone, err)
		return
	}
	for i := range 2 {
		if i > 0 {
			time.Sleep(idle)
		}
		if _, err := f.Ask(timeLimit); err != nil {
			r.Line("%v: %v", f.Source(), err)
			return
		}
	}
	f.Finish()
}
