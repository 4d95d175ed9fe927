// Cutreader cuts the host that reads the store off from it as an endpoint crashes and starts again under
// its id.
package main

import (
	"sync"
	"time"

	"github.com/cornelbay/cornelbay/review/rig"
)

const (
	cold      = 2 * time.Second
	timeLimit = 800 * time.Millisecond
	// perClient is the time between two requests of a client.
	perClient = 100 * time.Millisecond
	clients   = 18
	downFor   = 300 * time.Millisecond
	cutFor    = 4 * time.Second
)

func main() { rig.Run(run) }

func run(r *rig.Record, binary string, trouble bool) ([]string, error) {
	w, err := rig.New(r, binary, []string{"a", "a", "b", "b", "c", "c"}, []string{"desk"})
	if err != nil {
		return nil, err
	}
	defer w.Close()
	var ends []*rig.Endpoint
	for _, zone := range []string{"a", "b", "c", "a", "b", "c", "b"} {
		e, err := w.AddEndpoint("desk", zone)
		if err != nil {
			return nil, err
		}
		ends = append(ends, e)
	}
	if err := w.Start(); err != nil {
		return nil, err
	}
	time.Sleep(rig.StabilityWindow)

	stop := make(chan struct{})
	var asking sync.WaitGroup
	for i := range clients {
		c, err := w.AddClient([]string{"a", "b", "c"}[i%3])
		if err != nil {
			return nil, err
		}
		asking.Go(func() { ask(w, c, stop) })
	}
	time.Sleep(2 * time.Second)
	e := ends[len(ends)-1]
	reader := w.WaitForWatch("servers")
	begin := time.Now()
	if trouble {
		reader.Cut()
	}
	e.Crash()
	time.Sleep(downFor)
	e.Restart(cold)
	time.Sleep(time.Until(begin.Add(cutFor)))
	reader.Heal()
	time.Sleep(time.Second)
	close(stop)
	asking.Wait()
	e.JudgeCold()
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
