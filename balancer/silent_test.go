package balancer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/cornelbay/cornelbay"
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
		if len(b.silences) == 0 {
			sent++
		}
	}
	w.is.True(sent > 1)
	w.is.True((sent-1)*recipients <= int(elapsed/ambiguousSendInterval))
	w.is.True(len(b.silences) <= maxSilences)
}
