package fakeplatform_test

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelbay/cornelbay/fakeplatform"
	"github.com/cornelbay/cornelbay/platform"
)

// TestTargetServesAsManyRequestsAsItHasSlots guards against a target that has more capacity
// than it announces: with one slot and one place in the queue, two of three requests are
// served, one after the other, and the third is rejected.
func TestTargetServesAsManyRequestsAsItHasSlots(t *testing.T) {
	is := is.New(t)
	tg, err := fakeplatform.ListenTarget(netip.MustParseAddrPort("127.139.2.1:19000"), "i-1001", 1)
	is.NoErr(err)
	defer func() { _ = tg.Close() }()
	var ran atomic.Int32
	tg.Configure(fakeplatform.TargetConfig{Slots: 1, MaxQueue: 1, OnRun: func(netip.AddrPort, uint32) { ran.Add(1) }})
	const work = 50 * time.Millisecond
	tg.Work.Store(int64(work))
	host := relay(t, tg.Address())

	var served, rejected atomic.Int32
	var callers sync.WaitGroup
	begin := time.Now()
	for n := range byte(3) {
		callers.Go(func() {
			c, err := fakeplatform.ListenCaller(netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 139, 3, n + 1}), 18172))
			is.NoErr(err)
			defer func() { _ = c.Close() }()
			f, err := c.Open(t.Context(), host, netip.MustParseAddrPort("198.18.0.1:8001"))
			is.NoErr(err)
			for {
				// A request that is sent again must not run again.
				name, err := f.Ask(t.Context(), host, work/2)
				switch {
				case errors.Is(err, fakeplatform.ErrNoReply):
					continue
				case errors.Is(err, fakeplatform.ErrRejected):
					rejected.Add(1)
				default:
					is.NoErr(err)
					is.Equal(name, tg.Name)
					served.Add(1)
				}
				return
			}
		})
	}
	callers.Wait()
	is.Equal(served.Load(), int32(2))
	is.Equal(rejected.Load(), int32(1))
	is.Equal(ran.Load(), int32(2))
	is.True(time.Since(begin) >= 2*work)
}

// TestCallerReadsWhatHasArrived guards against a caller that stood still, and then sends an
// opening or a request again although the reply has arrived.
func TestCallerReadsWhatHasArrived(t *testing.T) {
	is := is.New(t)
	tg, err := fakeplatform.ListenTarget(netip.MustParseAddrPort("127.139.2.1:19000"), "i-1001", 1)
	is.NoErr(err)
	defer func() { _ = tg.Close() }()
	ran := make(chan struct{}, 1)
	tg.Configure(fakeplatform.TargetConfig{OnRun: func(netip.AddrPort, uint32) { ran <- struct{}{} }})
	c, err := fakeplatform.ListenCaller(netip.MustParseAddrPort("127.139.3.1:18172"))
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	f, err := c.Open(t.Context(), relay(t, tg.Address()), netip.MustParseAddrPort("198.18.0.1:8001"))
	is.NoErr(err)

	held, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.139.1.2:18172")))
	is.NoErr(err)
	defer func() { _ = held.Close() }()
	holder := held.LocalAddr().(*net.UDPAddr).AddrPort()
	_, err = f.Ask(t.Context(), holder, 0)
	is.True(errors.Is(err, fakeplatform.ErrNoReply)) // the target hasn't got the request
	is.NoErr(forward(held, tg.Address()))
	<-ran
	tg.Openings() // returns after the answer is sent, as both hold the target's lock
	time.Sleep(100 * time.Millisecond)
	name, err := f.Ask(t.Context(), holder, 0) // this copy never reaches the target
	is.NoErr(err)
	is.Equal(name, tg.Name)
}

// relay forwards packets to a target, as a host does.
func relay(t *testing.T, target netip.AddrPort) netip.AddrPort {
	t.Helper()
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.139.1.1:18172")))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	go func() {
		for forward(c, target) == nil {
		}
	}()
	return c.LocalAddr().(*net.UDPAddr).AddrPort()
}

// forward waits for one packet and forwards it to a target.
func forward(c *net.UDPConn, target netip.AddrPort) error {
	b := make([]byte, platform.TargetNumberBytes+platform.MaxPacketBytes) // number 0: any target
	n, _, err := c.ReadFromUDPAddrPort(b[platform.TargetNumberBytes:])
	if err != nil {
		return err // closed
	}
	_, err = c.WriteToUDPAddrPort(b[:platform.TargetNumberBytes+n], target)
	return err
}
