// Package standin holds small fakes of what surrounds the hosts: the platform,
// the fabric, targets and callers. Faults are switched on them.
package standin

import (
	"crypto/sha256"
	"encoding/base64"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/fabric"
	"github.com/cornelbay/cornelbay/request"
)

// Target is a back end that answers requests and echoes flows' packets.
type Target struct {
	Name cornelbay.TargetName
	// ReplyTo receives the answers to flows' packets, as the callers would; the
	// zero value sends none.
	ReplyTo netip.AddrPort
	// Slots is the number of requests that run at once; more are refused. 0 is
	// no limit.
	Slots int
	// OnRequest is called with each request before it is answered; it may wait.
	OnRequest func(*http.Request)
	// OnPacket is called with each packet of a flow; it is valid during the call.
	OnPacket func(*cornelbay.Packet)
	// TruncateEvery cuts the answer to each n-th request short; 0 cuts none.
	TruncateEvery int

	running atomic.Int64
	served  atomic.Int64
	cold    cold
	tunnel  *net.UDPConn
	http    netip.AddrPort
	stop    func()
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

// HealthPath is where probes ask for a target's health.
const HealthPath = "/health"

// ServeHTTP answers a request or a health probe with the target's name.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if t.cold.fallen(time.Now()) {
		http.Error(w, "fallen over", http.StatusInternalServerError)
		return
	}
	if r.URL.Path == HealthPath {
		t.answer(w, r, false)
		return
	}
	running := t.running.Add(1)
	defer t.running.Add(-1)
	if t.Slots > 0 && running > int64(t.Slots) {
		w.Header().Set(request.RefusedHeader, "busy")
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	t.cold.requested(time.Now(), running)
	if t.OnRequest != nil {
		t.OnRequest(r)
	}
	n := t.served.Add(1)
	t.answer(w, r, t.TruncateEvery > 0 && n%int64(t.TruncateEvery) == 0)
}

// answer writes the answer, or one that lacks its end.
func (t *Target) answer(w http.ResponseWriter, r *http.Request, cut bool) {
	body := []byte(ResponseBody(t.Name, r.URL.Path))
	sum := sha256.Sum256(body)
	h := w.Header()
	h.Set("Standin-Target", string(t.Name))
	h.Set("Content-Digest", "sha-256=:"+base64.StdEncoding.EncodeToString(sum[:])+":")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if id := r.Header.Get(request.AttemptHeader); id != "" {
		h.Set(request.AttemptHeader, id)
	}
	if cut {
		body = body[:len(body)/2]
	}
	_, _ = w.Write(body) // the reader sees a cut answer
}

// ResponseBody returns the body of a target's answer to a request for path.
func ResponseBody(name cornelbay.TargetName, path string) string {
	return "answer of " + string(name) + " to " + path + "\n"
}

// Reply is what a target answers to a packet of a flow.
type Reply struct {
	Target cornelbay.TargetName `json:"target"`
	Inner  []byte               `json:"inner"`
}

func (t *Target) echo() {
	b := make([]byte, fabric.MaxDatagramBytes)
	var d fabric.Decoder
	var pk cornelbay.Packet
	for {
		n, _, err := t.tunnel.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		if d.Decode(b[:n], &pk) != cornelbay.NotDropped || t.cold.fallen(time.Now()) {
			continue
		}
		if pk.Flags&cornelbay.Opening != 0 {
			t.cold.opened(time.Now())
		}
		if t.OnPacket != nil {
			t.OnPacket(&pk)
		}
		if t.ReplyTo.IsValid() {
			t.reply(pk.Inner)
		}
	}
}
