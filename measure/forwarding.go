package measure

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/config"
	"github.com/cornelbay/cornelbay/daemon"
	"github.com/cornelbay/cornelbay/entry"
	"github.com/cornelbay/cornelbay/fabric"
	"github.com/cornelbay/cornelbay/objectstore"
	"github.com/cornelbay/cornelbay/operator"
	"github.com/cornelbay/cornelbay/standin"
)

// ForwardingTarget is the least share of the bare loop's rate that the shell
// has to reach.
const ForwardingTarget = 0.7

// The shape of the experiment.
const (
	forwardingTargets = 4
	forwardingPayload = 512
	generators        = 3
	forwardingWarmUp  = 300 * time.Millisecond
	readyTimeout      = 10 * time.Second
	readyPoll         = 50 * time.Millisecond
)

// ForwardingSettings are the settings of the experiment.
type ForwardingSettings struct {
	Seed   uint64
	Flows  int
	Rounds int
	// Span is the time of each measurement.
	Span time.Duration
}

// Forwarding is the result of the experiment: rates in packets a second of one
// traffic goroutine, the medians of the rounds.
type Forwarding struct {
	Seed         uint64    `json:"seed"`
	Flows        int       `json:"flows"`
	PayloadBytes int       `json:"payloadBytes"`
	Bare         []float64 `json:"bareRounds"`
	Shell        []float64 `json:"shellRounds"`
	BareMedian   float64   `json:"bare"`
	ShellMedian  float64   `json:"shell"`
	// BareOffered and ShellOffered are the rates that were sent; a forwarder was
	// saturated when its own rate is clearly less.
	BareOffered  float64 `json:"bareOffered"`
	ShellOffered float64 `json:"shellOffered"`
	Ratio        float64 `json:"ratio"`
	Target       float64 `json:"target"`
	Holds        bool    `json:"holds"`
}

// MeasureForwarding measures packets through a host's real shell on loopback
// against a bare loop of the same batch reads and writes, in turns.
func MeasureForwarding(ctx context.Context, s ForwardingSettings) (*Forwarding, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e := &forwarding{ForwardingSettings: s}
	defer e.close()
	if err := e.start(ctx); err != nil {
		return nil, err
	}
	out := &Forwarding{Seed: s.Seed, Flows: s.Flows, PayloadBytes: forwardingPayload, Target: ForwardingTarget}
	var bareOffered, shellOffered []float64
	for range s.Rounds {
		rate, offered := e.rate(e.bareAt)
		out.Bare, bareOffered = append(out.Bare, rate), append(bareOffered, offered)
		rate, offered = e.rate(e.shellAt)
		out.Shell, shellOffered = append(out.Shell, rate), append(shellOffered, offered)
	}
	out.BareOffered, out.ShellOffered = median(bareOffered), median(shellOffered)
	out.BareMedian, out.ShellMedian = median(out.Bare), median(out.Shell)
	out.Ratio = out.ShellMedian / out.BareMedian
	out.Holds = out.Ratio >= out.Target
	return out, ctx.Err()
}

func median(xs []float64) float64 {
	s := slices.Sorted(slices.Values(xs))
	return s[len(s)/2]
}

// forwarding is the experiment in progress.
type forwarding struct {
	ForwardingSettings
	openings, packets [][]byte
	bareAt, shellAt   netip.AddrPort
	arrived           atomic.Int64
	closers           []func()
	wg                sync.WaitGroup
}

func (e *forwarding) start(ctx context.Context) error {
	var sinks []netip.AddrPort
	for range forwardingTargets {
		at, err := e.listen(e.sink)
		if err != nil {
			return err
		}
		sinks = append(sinks, at)
	}
	var err error
	if e.bareAt, err = e.listen(func(c *net.UDPConn) { bareLoop(c, sinks) }); err != nil {
		return err
	}
	doc := forwardingDocument(sinks)
	if err := e.makePackets(doc.Services[0]); err != nil {
		return err
	}
	return e.startShell(ctx, doc)
}

// listen runs f on a socket until the experiment is closed.
func (e *forwarding) listen(f func(*net.UDPConn)) (netip.AddrPort, error) {
	conns, err := fabric.Listen(loopback, 1)
	if err != nil {
		return netip.AddrPort{}, err
	}
	c := conns[0]
	e.closers = append(e.closers, func() { _ = c.Close() }) // nothing is buffered
	e.wg.Go(func() { f(c) })
	return c.LocalAddr().(*net.UDPAddr).AddrPort(), nil
}

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// sink counts what arrives.
func (e *forwarding) sink(c *net.UDPConn) {
	for r := fabric.NewReader(c); ; {
		n, err := r.Read()
		if err != nil {
			return
		}
		e.arrived.Add(int64(n))
	}
}

// bareLoop sends each datagram's packet on, to the sinks in turn, without a look
// at it.
func bareLoop(c *net.UDPConn, to []netip.AddrPort) {
	r, w := fabric.NewReader(c), fabric.NewWriter(c)
	for {
		n, err := r.Read()
		if err != nil {
			return
		}
		for i := range n {
			b, _ := r.Datagram(i)
			w.Forward(b[fabric.HeaderBytes:], to[i%len(to)])
		}
		w.Flush()
	}
}

// forwardingDocument has one service, whose targets are the sinks.
func forwardingDocument(sinks []netip.AddrPort) *config.Document {
	s := cornelbay.Service{
		Name: "measured", Address: netip.MustParseAddr("192.0.2.10"), Port: 443, Protocol: cornelbay.TCP,
		Level: &cornelbay.ServiceLevel{Objective: 0.999, LatencyMs: 100, WindowHours: 720},
	}
	for i, at := range sinks {
		s.Targets = append(s.Targets, cornelbay.Target{
			Name: cornelbay.TargetName(fmt.Sprintf("target-%d", i+1)), DataCentre: "here", Tunnel: at,
			HTTP: at, // nobody listens there on TCP
		})
	}
	return &config.Document{
		Deployment: "forwarding", DataCentres: []cornelbay.DataCentre{{Name: "here", Region: "here"}},
		Services: []cornelbay.Service{s},
	}
}

func (e *forwarding) makePackets(s cornelbay.Service) error {
	r := rand.New(rand.NewPCG(e.Seed, 1))
	payload := make([]byte, forwardingPayload)
	for i := range e.Flows {
		var src [4]byte
		binary.BigEndian.PutUint32(src[:], 10<<24|r.Uint32N(1<<24))
		key := cornelbay.FlowKey{
			Source:      netip.AddrPortFrom(netip.AddrFrom4(src), uint16(1024+i%60000)),
			Destination: netip.AddrPortFrom(s.Address, s.Port), Protocol: s.Protocol.Number(),
		}
		opening, err := standin.Segment(key, cornelbay.Opening, nil)
		if err != nil {
			return err
		}
		packet, err := standin.Segment(key, 0, payload)
		if err != nil {
			return err
		}
		e.openings, e.packets = append(e.openings, opening), append(e.packets, packet)
	}
	return nil
}

// startShell runs one host with the document in force.
func (e *forwarding) startShell(ctx context.Context, doc *config.Document) error {
	memory := &objectstore.Memory{}
	at, stop, err := standin.Serve(loopback, &objectstore.Server{Service: memory})
	if err != nil {
		return err
	}
	e.closers = append(e.closers, stop)
	if _, err := operator.Apply(ctx, memory, doc, operator.Change{Author: "measure", Reason: "measure"}); err != nil {
		return err
	}
	ctx, kill := context.WithCancel(ctx)
	d, err := daemon.Start(ctx, daemon.Settings{
		Settings: entry.Settings{
			Self: cornelbay.Host{
				Name: "measured", DataCentre: "here", Incarnation: 1,
				Fabric: loopback, Datagram: loopback, RPC: loopback, HTTP: loopback, Admin: loopback,
			},
			HashKey: [2]uint64{e.Seed, 1}, Seed: e.Seed,
		},
		Platform: "http://" + at.String(), Keys: [][]byte{[]byte("key of the measurement")},
		Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
	})
	if err != nil {
		kill()
		return err
	}
	e.closers = append(e.closers, func() {
		kill()
		<-d.Done()
	})
	e.shellAt = d.Self().Fabric
	return waitReady(ctx, d)
}

func waitReady(ctx context.Context, d *daemon.Daemon) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !d.Ready() {
		select {
		case <-ctx.Done():
			return merry.Prepend(ctx.Err(), "host is not ready")
		case <-time.After(readyPoll):
		}
	}
	return nil
}

// rate opens the flows at an address, saturates it, and returns the packets a
// second that arrive behind it and that were sent to it.
func (e *forwarding) rate(at netip.AddrPort) (arrived, offered float64) {
	var wg sync.WaitGroup
	var sent atomic.Int64
	warm := time.Now().Add(forwardingWarmUp)
	until := warm.Add(e.Span)
	for i := range generators {
		wg.Go(func() { e.generate(at, i, warm, until, &sent) })
	}
	time.Sleep(time.Until(warm))
	start, before := time.Now(), e.arrived.Load()
	wg.Wait()
	seconds := time.Since(start).Seconds()
	return float64(e.arrived.Load()-before) / seconds, float64(sent.Load()) / seconds
}

// generate sends one generator's share of the packets until a time, and counts
// those that it sends after the warm-up.
func (e *forwarding) generate(at netip.AddrPort, share int, warm, until time.Time, sent *atomic.Int64) {
	conns, err := fabric.Listen(loopback, 1)
	if err != nil {
		return
	}
	defer conns[0].Close()
	w := fabric.NewWriter(conns[0])
	for i := share; i < len(e.openings); i += generators {
		w.Forward(e.openings[i], at)
	}
	w.Flush()
	for i := share; ; i += generators {
		if i >= len(e.packets) {
			i = share
		}
		w.Forward(e.packets[i], at)
		if i/generators%fabric.BatchSize != 0 {
			continue
		}
		now := time.Now()
		if now.After(until) {
			return
		}
		if now.After(warm) {
			sent.Add(fabric.BatchSize)
		}
	}
}

func (e *forwarding) close() {
	for _, c := range slices.Backward(e.closers) {
		c()
	}
	e.wg.Wait()
}

const forwardingTable = `%d flows, %d bytes a packet, seed %d, one traffic goroutine
bare loop  %10.0f packets/s of %.0f offered
shell      %10.0f packets/s of %.0f offered
ratio      %10.2f (at least %.2f)
`

// WriteTable writes the result as a table for people.
func (f *Forwarding) WriteTable(w io.Writer) error {
	_, err := fmt.Fprintf(w, forwardingTable,
		f.Flows, f.PayloadBytes, f.Seed, f.BareMedian, f.BareOffered, f.ShellMedian, f.ShellOffered, f.Ratio, f.Target)
	return err
}
