package request

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/rendezvous"
)

// NewsInterval is the time between two messages with the own load.
const NewsInterval = 500 * time.Millisecond

// The bounds of LoadNews, for the control budget.
const (
	maxNewsTargets = 32
	maxNewsHosts   = 8
)

// TargetLoad is the number of a host's attempts to one target.
type TargetLoad struct {
	_ struct{} `cbor:",toarray"`
	// Target is the hash of the target's name.
	Target uint32
	Count  uint8
}

// LoadNews tells other hosts of attempts that their steward does not know of.
type LoadNews struct {
	Loads []TargetLoad `cbor:"1,keyasint"`
}

// Kind returns KindLoad.
func (LoadNews) Kind() cornelbay.MessageKind { return cornelbay.KindLoad }

// chooseSteward picks the host that dispatches the requests of a service, and
// the one that feeds each of its targets while that is cold.
func (d *Dispatcher) chooseSteward(now time.Time, s *service) {
	s.steward = d.hosts.Owner(now, string(s.Name))
	for _, t := range s.pool.Targets() {
		feeder := s.steward
		if s.Bulk {
			feeder = d.hosts.Owner(now, string(t.Name))
		}
		t.Feeder = feeder == d.Self
	}
}

func (d *Dispatcher) chooseStewards(now time.Time) {
	for _, s := range d.sorted {
		d.chooseSteward(now, s)
	}
}

// SetMembers takes what is known of the hosts of the group.
func (d *Dispatcher) SetMembers(now time.Time, m cornelbay.Members) []cornelbay.Effect {
	d.lock(now)
	gone := d.hosts.Update(m)
	d.chooseStewards(now)
	for _, name := range gone {
		d.moveRelays(now, name)
		d.issuerEnded(now, name)
	}
	return d.unlock()
}

// tickNews sends the own load to hosts that may feed the same targets.
func (d *Dispatcher) tickNews(now time.Time) {
	if now.Before(d.nextNews) {
		return
	}
	d.nextNews = now.Add(NewsInterval)
	news := d.news()
	if len(news.Loads) == 0 && !d.told {
		return
	}
	// An empty message ends what the last one told.
	d.told = len(news.Loads) > 0
	for _, h := range d.hosts.Peers(d.Rand, maxNewsHosts) {
		d.emit(cornelbay.Send{To: h.Name, Message: news})
	}
}

func (d *Dispatcher) news() LoadNews {
	var n LoadNews
	for _, s := range d.sorted {
		if !s.Bulk && s.steward == d.Self {
			continue
		}
		for _, t := range s.pool.Targets() {
			if t.InFlight > 0 && len(n.Loads) < maxNewsTargets {
				n.Loads = append(n.Loads, TargetLoad{Target: nameHash(t.Name), Count: uint8(min(255, t.InFlight))})
			}
		}
	}
	return n
}

func nameHash(t cornelbay.TargetName) uint32 { return uint32(rendezvous.Hash(string(t))) }

func (d *Dispatcher) hear(now time.Time, from cornelbay.HostName, n LoadNews) {
	counts := make(map[uint32]int, len(n.Loads))
	for _, l := range n.Loads {
		counts[l.Target] = int(l.Count)
	}
	for _, s := range d.sorted {
		for _, t := range s.pool.Targets() {
			s.pool.Hear(now, from, t.Name, counts[nameHash(t.Name)])
		}
	}
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// Steward returns the host that dispatches the requests of a service, as this
// host sees it.
func (d *Dispatcher) Steward(name cornelbay.ServiceName) cornelbay.HostName {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s, ok := d.services[name]; ok {
		return s.steward
	}
	return ""
}
