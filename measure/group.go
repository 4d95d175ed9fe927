package measure

import (
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/entry"
	"github.com/cornelbay/cornelbay/objectstore"
	"github.com/cornelbay/cornelbay/peer"
	"github.com/cornelbay/cornelbay/request"
	"github.com/cornelbay/cornelbay/warmth"
)

// HeaderBytes is what IP and UDP add to a datagram on the wire.
const HeaderBytes = 28

// Group is a set of hosts with a fake of what surrounds them.
type Group struct {
	*Driver
	Nodes map[cornelbay.HostName]*Node
	// Delay returns the one-way delay between two hosts; nil stands for 1.5 ms.
	Delay func(from, to cornelbay.HostName) time.Duration
	// Cut reports whether nothing passes between two hosts; nil cuts nothing.
	Cut func(from, to cornelbay.HostName) bool
	// Store is the platform's service.
	Store Store
	// OnEffect sees each effect of a host before it is carried out; the effect is
	// lost when it returns false.
	OnEffect func(n *Node, e cornelbay.Effect) bool
	// OnProbe answers a probe; nil answers that the target is well.
	OnProbe func(n *Node, p warmth.Probe)
	// OnAttempt, OnCancel and OnFinish carry out the effects of requests.
	OnAttempt func(n *Node, a request.Attempt)
	OnCancel  func(n *Node, c request.Cancel)
	OnFinish  func(n *Node, f request.Finish)
	// OnRelease decides packets of a held flow again.
	OnRelease func(n *Node, r cornelbay.Release)

	keys [][]byte
}

// Node is one host of a group, with what the shell would keep for it.
type Node struct {
	*entry.Host
	// Dead hosts handle nothing more; Paused ones handle nothing for now.
	Dead, Paused bool
	// SentBytes counts the datagram bytes on the wire, headers included.
	SentBytes int
	// SentDatagrams counts the datagrams.
	SentDatagrams int
	// RPCBytes counts the bytes of net/rpc calls and replies that the node sent.
	RPCBytes int
	// Oversize counts the messages that did not fit a datagram.
	Oversize int

	codec *peer.Codec
}

// Alive reports whether the node handles inputs now.
func (n *Node) Alive() bool { return !n.Dead && !n.Paused }

// NewGroup returns an empty group.
func NewGroup(seed uint64) *Group {
	d := NewDriver(seed)
	return &Group{
		Driver: d, Nodes: make(map[cornelbay.HostName]*Node),
		Store: Store{Driver: d}, keys: [][]byte{[]byte("key of the virtual group")},
	}
}

// StartHost starts a host; a second start of a name replaces the first.
func (g *Group) StartHost(s entry.Settings) *Node {
	n := &Node{
		Host:  entry.New(s),
		codec: &peer.Codec{Self: s.Self.Name, Incarnation: s.Self.Incarnation, Keys: g.keys},
	}
	g.Nodes[s.Self.Name] = n
	// Hosts tick out of step with each other, as real ones do.
	g.After(time.Duration(g.Rand.Int64N(int64(entry.TickInterval))), func() {
		g.tick(n)
		g.Every(entry.TickInterval, func() bool {
			g.tick(n)
			return !n.Dead
		})
	})
	return n
}

func (g *Group) tick(n *Node) {
	if n.Alive() {
		g.CarryOut(n, n.Tick(g.Now))
	}
}

// Names returns the names of the nodes in order.
func (g *Group) Names() []cornelbay.HostName {
	var out []cornelbay.HostName
	for name := range g.Nodes {
		out = append(out, name)
	}
	slices.SortFunc(out, func(a, b cornelbay.HostName) int { return strings.Compare(string(a), string(b)) })
	return out
}

// CarryOut does what a shell does with the effects of a decision.
func (g *Group) CarryOut(n *Node, effects []cornelbay.Effect) {
	for _, e := range effects {
		if g.OnEffect != nil && !g.OnEffect(n, e) {
			continue
		}
		switch e := e.(type) {
		case cornelbay.Send:
			g.send(n, e)
		case objectstore.Call:
			g.Store.do(string(n.Self.Name), e, func(a objectstore.Answer) {
				if n.Alive() {
					g.CarryOut(n, n.ReceiveStoreAnswer(g.Now, a))
				}
			})
		case peer.Call:
			g.callPeer(n, e)
		case warmth.Probe:
			g.probe(n, e)
		case request.Attempt:
			if g.OnAttempt != nil {
				g.OnAttempt(n, e)
			}
		case request.Cancel:
			if g.OnCancel != nil {
				g.OnCancel(n, e)
			}
		case request.Finish:
			if g.OnFinish != nil {
				g.OnFinish(n, e)
			}
		case cornelbay.Release:
			if g.OnRelease != nil {
				g.OnRelease(n, e)
			}
		}
	}
}

// Between returns the delay between two hosts and whether anything passes.
func (g *Group) Between(from, to cornelbay.HostName) (time.Duration, bool) {
	if g.Cut != nil && g.Cut(from, to) {
		return 0, false
	}
	if g.Delay != nil {
		return g.Delay(from, to), true
	}
	return 1500 * time.Microsecond, true
}

func (g *Group) send(n *Node, s cornelbay.Send) {
	b, err := n.codec.Seal(s.Message)
	if err != nil {
		n.Oversize++
		return
	}
	n.SentBytes += len(b) + HeaderBytes
	n.SentDatagrams++
	to := g.addressed(s)
	if to == nil {
		return
	}
	delay, ok := g.Between(n.Self.Name, to.Self.Name)
	if !ok {
		return
	}
	g.After(delay, func() {
		if !to.Alive() {
			return
		}
		if e, m, err := to.codec.Open(b); err == nil {
			g.CarryOut(to, to.Receive(g.Now, e.From, m))
		}
	})
}

func (g *Group) addressed(s cornelbay.Send) *Node {
	if n, ok := g.Nodes[s.To]; ok {
		return n
	}
	for _, n := range g.Nodes {
		if s.Address != "" && n.Self.Datagram.String() == s.Address {
			return n
		}
	}
	return nil
}

// rpcHeaderBytes is what net/rpc, TLS, TCP and IP add to a call or a reply with
// its acknowledgement.
const rpcHeaderBytes = 180

func rpcBytes(v any) int {
	b, err := cbor.Marshal(v)
	if err != nil {
		return rpcHeaderBytes
	}
	return len(b) + rpcHeaderBytes
}

// RPCTimeout is when a call over net/rpc without an answer fails.
const RPCTimeout = time.Second

func (g *Group) callPeer(n *Node, c peer.Call) {
	answered := false
	finish := func(reply any, err error) {
		if !answered && n.Alive() {
			answered = true
			g.CarryOut(n, n.ReceivePeerAnswer(g.Now, peer.Answer{Call: c, Reply: reply, Err: err}))
		}
	}
	g.After(RPCTimeout, func() { finish(nil, peer.ErrNoAnswer) })
	n.RPCBytes += rpcBytes(c.Args)
	to, ok := g.Nodes[c.To]
	if !ok {
		return
	}
	delay, ok := g.Between(n.Self.Name, c.To)
	if !ok {
		return
	}
	g.After(delay, func() {
		if !to.Alive() {
			return
		}
		reply, effects, err := to.ServePeer(g.Now, n.Self.Name, c.Args)
		g.CarryOut(to, effects)
		to.RPCBytes += rpcBytes(reply)
		if back, ok := g.Between(c.To, n.Self.Name); ok {
			g.After(back, func() { finish(reply, err) })
		}
	})
}

func (g *Group) probe(n *Node, p warmth.Probe) {
	if g.OnProbe != nil {
		g.OnProbe(n, p)
		return
	}
	g.After(time.Millisecond, func() {
		if n.Alive() {
			n.Observe(g.Now, warmth.Signal{Target: p.Target, Kind: warmth.ProbeOK})
		}
	})
}
