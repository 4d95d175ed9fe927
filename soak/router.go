package soak

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// checkInterval is the pace of the routers' readiness checks.
	checkInterval = 500 * time.Millisecond
	// missesAllowed is the number of failed checks after which a host is left out.
	missesAllowed = 2
)

// router sends the packets of a flow to one of the hosts in rotation in the caller's data centre by
// a hash, so that nearly all its flows move when the rotation changes. With none in rotation there
// it uses the next data centre that has any.
type router struct {
	mu sync.Mutex
	// rotation are the hosts in rotation, by the index of their data centre.
	rotation [][]netip.AddrPort
	misses   map[int]int
}

// route keeps the rotation until ctx ends.
func (r *run) route(ctx context.Context) {
	t := time.NewTicker(checkInterval)
	defer t.Stop()
	for ctx.Err() == nil {
		r.check()
		select {
		case <-ctx.Done():
		case <-t.C:
		}
	}
}

// check asks all hosts at once and takes the rotation from their answers.
func (r *run) check() {
	ok := make([]bool, len(r.hosts))
	var asked sync.WaitGroup
	for i, p := range r.hosts {
		asked.Go(func() { ok[i] = r.ready(p) })
	}
	asked.Wait()
	r.router.mu.Lock()
	defer r.router.mu.Unlock()
	if r.router.misses == nil {
		r.router.misses = make(map[int]int)
	}
	r.router.rotation = make([][]netip.AddrPort, len(dataCentres))
	for i, p := range r.hosts {
		r.router.misses[i]++
		if ok[i] {
			r.router.misses[i] = 0
		}
		if r.router.misses[i] < missesAllowed {
			dc := p.number % len(dataCentres)
			r.router.rotation[dc] = append(r.router.rotation[dc], r.packets(p))
		}
	}
}

// routed returns the host that gets the packets of a flow now.
func (r *run) routed(source netip.AddrPort) (netip.AddrPort, bool) {
	r.router.mu.Lock()
	defer r.router.mu.Unlock()
	hash := xxhash.Sum64String(source.String())
	for i := range r.router.rotation {
		hosts := r.router.rotation[(int(hash%uint64(len(dataCentres)))+i)%len(dataCentres)]
		if len(hosts) > 0 {
			return hosts[hash/uint64(len(dataCentres))%uint64(len(hosts))], true
		}
	}
	return netip.AddrPort{}, false
}
