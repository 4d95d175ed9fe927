// Package standin holds small fakes of what surrounds the hosts: the platform,
// the fabric, targets and callers. Faults are switched on them.
package standin

import (
	"net"
	"net/http"
	"net/netip"

	"github.com/ansel1/merry/v2"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/fabric"
)

// Target is a back end that answers requests and echoes flows' packets.
type Target struct {
	Name cornelbay.TargetName
	// Return receives the answers to flows' packets, as the callers would.
	Return netip.AddrPort
	// OnRequest is called with each request before it is answered; it may wait.
	OnRequest func(*http.Request)

	tunnel *net.UDPConn
	http   netip.AddrPort
	stop   func()
}

// Start binds the target's addresses; port 0 picks a free one.
func (t *Target) Start(tunnel, web netip.AddrPort) error {
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(tunnel))
	if err != nil {
		return merry.Prependf(err, "target %s tunnel", t.Name)
	}
	t.http, t.stop, err = Serve(web, t)
	if err != nil {
		_ = c.Close() // the listen error is the one to report
		return merry.Prependf(err, "target %s http", t.Name)
	}
	t.tunnel = c
	go t.echo()
	return nil
}

// Tunnel returns the bound address of the tunnel.
func (t *Target) Tunnel() netip.AddrPort { return t.tunnel.LocalAddr().(*net.UDPAddr).AddrPort() }

// HTTP returns the bound address of the HTTP server.
func (t *Target) HTTP() netip.AddrPort { return t.http }

// Close frees the target's addresses.
func (t *Target) Close() {
	_ = t.tunnel.Close() // nothing is buffered
	t.stop()
}

// ServeHTTP answers a request or a health probe with the target's name.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if t.OnRequest != nil && r.URL.Path != "/health" {
		t.OnRequest(r)
	}
	w.Header().Set("Standin-Target", string(t.Name))
	_, _ = w.Write([]byte("answer of " + string(t.Name) + " to " + r.URL.Path + "\n")) // the reader sees a cut answer
}

// Reply is what a target answers to a packet of a flow.
type Reply struct {
	Target cornelbay.TargetName `json:"target"`
	Inner  []byte               `json:"inner"`
}

func (t *Target) echo() {
	b := make([]byte, fabric.MaxPacketBytes)
	var d fabric.Decoder
	var pk cornelbay.Packet
	for {
		n, _, err := t.tunnel.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		if d.Decode(b[:n], &pk) != cornelbay.NotDropped {
			continue
		}
		t.reply(pk.Inner)
	}
}
