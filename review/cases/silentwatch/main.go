// Silentwatch takes back the evacuation of a zone whose endpoints have just started again, while one
// channel of the host that reads the store has gone silent.
package main

import (
	"sync"
	"time"

	"github.com/cornelbay/cornelbay/review/rig"
)

const (
	cold      = 2 * time.Second
	timeLimit = 1500 * time.Millisecond
	// perClient is the time between two requests of a client.
	perClient = 100 * time.Millisecond
	clients   = 4
	evacuated = 4 * time.Second
	// headStart is the time between the announcements of the endpoints and the end of the
	// evacuation.
	headStart = 300 * time.Millisecond
)

func main() { rig.Run(run) }

func run(r *rig.Record, binary string, trouble bool) ([]string, error) {
	zones := []string{"a", "a", "b", "b", "c", "c"}
	w, err := rig.New(r, binary, zones, []string{"desk"})
	if err != nil {
		return nil, err
	}
	defer w.Close()
	var back []*rig.Endpoint
	for _, zone := range zones {
		e, err := w.AddEndpoint("desk", zone)
		if err != nil {
			return nil, err
		}
		if zone == "b" {
			back = append(back, e)
		}
	}
	if err := w.Start(); err != nil {
		return nil, err
	}
	time.Sleep(rig.StabilityWindow)

	stop := make(chan struct{})
	var asking sync.WaitGroup
	for range clients {
		c, err := w.AddClient("b")
		if err != nil {
			return nil, err
		}
		asking.Go(func() { ask(w, c, stop) })
	}
	time.Sleep(time.Second)
	w.Evacuate("b", true)
	time.Sleep(evacuated)

	reader := w.WaitForWatch("servers")
	if trouble {
		n := reader.Silence(func(kind string, watch bool) bool { return kind == "servers" && watch })
		r.Say("%d open channel of %s to the store goes silent: that of its watch of servers", n, reader.Name)
	}
	for _, e := range back {
		e.Restart(cold)
	}
	time.Sleep(headStart)
	w.Evacuate("b", false)
	time.Sleep(2 * cold)
	close(stop)
	asking.Wait()
	for _, e := range back {
		e.JudgeCold()
	}
	return w.Ledger().Violations(), nil
}

// ask sends requests, each on a flow of its own.
func ask(w *rig.World, c *rig.Client, stop <-chan struct{}) {
	t := time.NewTicker(perClient)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
		}
		if f, err := c.Open(w.ServiceAddress(0)); err == nil {
			if _, err := f.Ask(timeLimit); err == nil {
				f.Finish()
			}
		}
	}
}
