package balancer

import (
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/fakeplatform"
	"github.com/cornelbay/cornelbay/gossip"
	"github.com/cornelbay/cornelbay/peer"
	"github.com/cornelbay/cornelbay/placement"
	"github.com/cornelbay/cornelbay/registry"
)

// TestSilencesAreRateLimited guards against a large fleet that is overloaded by messages while many
// targets are silent.
func TestSilencesAreRateLimited(t *testing.T) {
	const others = 200
	w := newTestEnv(t, 75)
	w.target(1, "s1", "a")
	b := w.host(1, "a")
	w.is.NoErr(b.close()) // its goroutines
	var err error
	b.peerConn, err = listenUDP(b.self.Address)
	w.is.NoErr(err)
	t.Cleanup(func() { _ = b.peerConn.Close() })
	b.stateMu.Lock()
	var hosts []registry.Host
	for n := range others {
		hosts = append(hosts, registry.Host{
			Name: cornelbay.HostName(w.address(5, byte(n)).String()), DataCentre: "a", Address: netip.AddrPortFrom(w.address(5, byte(n)), peerPort),
		})
	}
	b.members.SetRegistered(time.Now(), hosts)
	recipients := len(b.sharers())
	b.stateMu.Unlock()
	w.is.True(recipients >= others)
	start, sent := time.Now(), 0
	const elapsed = time.Second
	for now := start; now.Before(start.Add(elapsed)); now = now.Add(time.Millisecond) {
		b.announceSilences(now, []placement.Silence{{Cookie: 1, Since: now}})
		if len(b.silent.waiting) == 0 {
			sent++
		}
	}
	w.is.True(sent > 1)
	w.is.True((sent-1)*recipients <= int(elapsed/ambiguousSendInterval))
	w.is.True(len(b.silent.waiting) <= maxSilences)
}

// TestSilencesFitIntoADatagram guards against messages on many targets that are never sent.
func TestSilencesFitIntoADatagram(t *testing.T) {
	is := is.New(t)
	c := peer.Codec{Self: "a-host-with-quite-a-long-name.in-a-data-centre", Incarnation: 1 << 40, Keys: [][]byte{key}}
	const month = 30 * 24 * 3600 * 1000
	var silent, recovered gossip.SilentTargets
	for range maxSilences {
		silent.Targets = append(silent.Targets, gossip.SilentTarget{Cookie: math.MaxUint32, MsAgo: month})
		recovered.Recovered = append(recovered.Recovered, gossip.RecoveredTarget{Cookie: math.MaxUint32, SilentMsAgo: month, AnsweredMsAgo: 1000})
	}
	for _, m := range []gossip.SilentTargets{silent, recovered} {
		_, err := c.Seal(m)
		is.NoErr(err)
	}
}

// TestOtherHostsHearThatATargetIsBack guards against a cold target that gets an opening of each host
// of a fleet: one of them has found out that it is back, and the others ask it themselves.
func TestOtherHostsHearThatATargetIsBack(t *testing.T) {
	w := newTestEnv(t, 77)
	tg := w.target(1, "s1", "a")
	w.target(2, "s1", "a")
	first, second := w.host(1, "a"), w.host(2, "a")
	w.eventually("the hosts know each other", func() bool {
		return lastIncarnation(first, "h2") > 0 && lastIncarnation(second, "h1") > 0
	})
	w.store.Set(fakeplatform.Faults{Mode: fakeplatform.Unavailable}) // it confirms no target as warm
	tg.Silent.Store(true)
	w.eventually("the first host takes it for silent", func() bool {
		w.mustOpen(1, service1)
		first.trafficMu.Lock()
		defer first.trafficMu.Unlock()
		return first.placer.TargetCounters()[cornelbay.TargetName(tg.Name)].Unanswered > 0
	})
	tg.Silent.Store(false)
	answered := tg.Openings()
	w.eventually("the first host has an answer", func() bool {
		w.mustOpen(1, service1)
		return tg.Openings() > answered
	})
	w.eventually("the second host has heard of it", func() bool {
		return w.counter(second, "cornelbay_unconfirmed_targets", "") == 1
	})
	answered = tg.Openings()
	for range 10 {
		w.mustOpen(2, service1)
	}
	w.is.Equal(tg.Openings(), answered)
}
