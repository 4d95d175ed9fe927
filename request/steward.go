package request

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelbay/cornelbay"
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

func hash(parts ...string) uint64 {
	var h xxhash.Digest
	h.Reset()
	for _, p := range parts {
		_, _ = h.WriteString(p) // never fails
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

// rendezvous returns the live host with the highest score for a name.
func (d *Dispatcher) rendezvous(now time.Time, name string) cornelbay.HostName {
	best, top := d.Self, uint64(0)
	for _, h := range d.live {
		if now.Before(d.avoided[h.Name].until) || (h.Name == d.Self && d.stopping) {
			continue
		}
		if s := hash(name, string(h.Name)); s > top {
			best, top = h.Name, s
		}
	}
	return best
}

// chooseSteward picks the host that dispatches the requests of a service, and
// the one that feeds each of its targets while that is cold.
func (d *Dispatcher) chooseSteward(now time.Time, s *service) {
	s.steward = d.rendezvous(now, string(s.Name))
	for _, t := range s.pool.Targets() {
		feeder := s.steward
		if s.Bulk {
			feeder = d.rendezvous(now, string(t.Name))
		}
		t.Feeder = feeder == d.Self
	}
}

func (d *Dispatcher) chooseStewards(now time.Time) {
	for _, s := range d.services {
		d.chooseSteward(now, s)
	}
}

// SetMembers takes what is known of the hosts of the group.
func (d *Dispatcher) SetMembers(now time.Time, m cornelbay.Members) []cornelbay.Effect {
	d.lock(now)
	d.live = m.Live
	old := d.hosts
	d.hosts = make(map[cornelbay.HostName]cornelbay.Host, len(m.Live))
	for _, h := range m.Live {
		d.hosts[h.Name] = h
	}
	for name := range d.avoided {
		if h, ok := d.hosts[name]; !ok || h.Incarnation != old[name].Incarnation {
			delete(d.avoided, name)
		}
	}
	d.chooseStewards(now)
	for _, name := range slices.Sorted(maps.Keys(old)) {
		if h, ok := d.hosts[name]; !ok || h.Incarnation != old[name].Incarnation {
			d.moveRelays(now, name)
			d.issuerEnded(now, name)
		}
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
	for _, h := range d.newsHosts() {
		d.emit(cornelbay.Send{To: h.Name, Message: news})
	}
}

func (d *Dispatcher) news() LoadNews {
	var n LoadNews
	for _, name := range sortedKeys(d.services) {
		s := d.services[name]
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

func nameHash(t cornelbay.TargetName) uint32 { return uint32(hash(string(t))) }

func (d *Dispatcher) newsHosts() []cornelbay.Host {
	others := slices.DeleteFunc(slices.Clone(d.live), func(h cornelbay.Host) bool { return h.Name == d.Self })
	if len(others) > maxNewsHosts {
		d.Rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
		others = others[:maxNewsHosts]
	}
	return others
}

func (d *Dispatcher) hear(now time.Time, from cornelbay.HostName, n LoadNews) {
	counts := make(map[uint32]int, len(n.Loads))
	for _, l := range n.Loads {
		counts[l.Target] = int(l.Count)
	}
	for _, s := range d.services {
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
