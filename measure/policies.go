package measure

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dchest/siphash"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/config"
)

// Policy decides packets at a host; all policies see the same hosts, documents
// and states of targets.
type Policy interface {
	Decide(n *Node, now time.Time, pk *cornelbay.Packet) cornelbay.Verdict
}

// Policies are the names of the policies that can be compared.
var Policies = []string{"modulo", "maglev", "cornelbay"}

func newPolicy(name string) Policy {
	switch name {
	case "modulo":
		return &stateless{pools: make(map[*Node]*hostPools)}
	case "maglev":
		return &maglev{stateless{pools: make(map[*Node]*hostPools)}, make(map[*Node]map[cornelbay.FlowKey]cornelbay.TargetName)}
	}
	return product{}
}

// product is the product's own decision.
type product struct{}

func (product) Decide(n *Node, now time.Time, pk *cornelbay.Packet) cornelbay.Verdict {
	return n.Plane.Decide(now, pk)
}

// stateless picks a target by the hash of the flow modulo the weighted targets.
type stateless struct {
	pools map[*Node]*hostPools
}

// hostPools are the pools of the services at one host.
type hostPools struct {
	doc  *config.Document
	read time.Time
	all  []pool
}

// pool holds the targets of a service that take flows, with their weights.
type pool struct {
	service cornelbay.Service
	names   []cornelbay.TargetName
	weights []int
	table   []int
}

func (s *stateless) pool(n *Node, now time.Time, pk *cornelbay.Packet) *pool {
	p := s.pools[n]
	if p == nil {
		p = &hostPools{}
		s.pools[n] = p
	}
	if p.doc != n.Document() || now.Sub(p.read) >= 100*time.Millisecond {
		p.update(n, now)
	}
	for i := range p.all {
		svc := &p.all[i].service
		if svc.Address == pk.Key.Destination.Addr() && svc.Port == pk.Key.Destination.Port() &&
			svc.Protocol.Number() == pk.Key.Protocol {
			return &p.all[i]
		}
	}
	return nil
}

func (p *hostPools) update(n *Node, now time.Time) {
	p.doc, p.read = n.Document(), now
	if p.doc == nil {
		return
	}
	states := make(map[cornelbay.TargetName]int)
	for _, st := range n.TargetStates(now) {
		if st.Phase < cornelbay.Draining {
			states[st.Target] = int(st.Permille)
		}
	}
	out := make(map[cornelbay.DataCentreName]bool)
	for _, dc := range p.doc.DataCentres {
		out[dc.Name] = dc.Out
	}
	old := p.all
	p.all = nil
	for i, s := range p.doc.Services {
		next := pool{service: s}
		for _, t := range s.Targets {
			if w := states[t.Name] * t.FullWeight(); w > 0 && !t.Drain && !out[t.DataCentre] {
				next.names = append(next.names, t.Name)
				next.weights = append(next.weights, w)
			}
		}
		if i < len(old) && slices.Equal(old[i].names, next.names) && slices.Equal(old[i].weights, next.weights) {
			next.table = old[i].table
		}
		p.all = append(p.all, next)
	}
}

func flowHash(n *Node, k *cornelbay.FlowKey) uint64 {
	src, err := k.Source.MarshalBinary()
	if err != nil {
		panic(err)
	}
	return siphash.Hash(n.HashKey[0], n.HashKey[1], src)
}

func forward(t cornelbay.TargetName) cornelbay.Verdict {
	return cornelbay.Verdict{Action: cornelbay.Forward, Target: t}
}

func (s *stateless) Decide(n *Node, now time.Time, pk *cornelbay.Packet) cornelbay.Verdict {
	p := s.pool(n, now, pk)
	if p == nil || len(p.names) == 0 {
		return cornelbay.Verdict{}
	}
	total := 0
	for _, w := range p.weights {
		total += w
	}
	at := int(flowHash(n, &pk.Key) % uint64(total))
	for i, w := range p.weights {
		if at -= w; at < 0 {
			return forward(p.names[i])
		}
	}
	return cornelbay.Verdict{}
}

// maglevSlots is the size of a Maglev table: a prime far above the targets.
const maglevSlots = 16381

// maglev picks a target by a Maglev table and remembers it at the host alone.
type maglev struct {
	stateless
	flows map[*Node]map[cornelbay.FlowKey]cornelbay.TargetName
}

func (m *maglev) Decide(n *Node, now time.Time, pk *cornelbay.Packet) cornelbay.Verdict {
	known := m.flows[n]
	if known == nil {
		known = make(map[cornelbay.FlowKey]cornelbay.TargetName)
		m.flows[n] = known
	}
	p := m.pool(n, now, pk)
	if t, ok := known[pk.Key]; ok && p != nil && p.lists(t) {
		if pk.Flags&(cornelbay.Finishing|cornelbay.Resetting) != 0 {
			delete(known, pk.Key)
		}
		return forward(t)
	}
	if p == nil || len(p.names) == 0 {
		return cornelbay.Verdict{}
	}
	if p.table == nil {
		p.table = maglevTable(p)
	}
	t := p.names[p.table[flowHash(n, &pk.Key)%maglevSlots]]
	known[pk.Key] = t
	return forward(t)
}

// lists reports whether the document has the target in a data centre that is in.
func (p *pool) lists(t cornelbay.TargetName) bool {
	return slices.Contains(p.names, t) || slices.ContainsFunc(p.service.Targets, func(x cornelbay.Target) bool {
		return x.Name == t && x.Drain
	})
}

// maglevTable lets the targets take slots in turn by their permutations, each
// as often as its weight says.
func maglevTable(p *pool) []int {
	out := slices.Repeat([]int{-1}, maglevSlots)
	top := slices.Max(p.weights)
	credit, next := make([]int, len(p.names)), make([]uint64, len(p.names))
	for filled := 0; ; {
		for i, name := range p.names {
			if credit[i] += p.weights[i]; credit[i] < top {
				continue
			}
			credit[i] -= top
			h := xxhash.Sum64String(string(name))
			offset, skip := h%maglevSlots, (h>>32)%(maglevSlots-1)+1
			for out[(offset+next[i]*skip)%maglevSlots] >= 0 {
				next[i]++
			}
			out[(offset+next[i]*skip)%maglevSlots] = i
			if filled++; filled == maglevSlots {
				return out
			}
		}
	}
}
