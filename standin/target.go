// Package standin provides fakes of the systems around the hosts, such as the fabric
// and the targets, with faults that can be injected.
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

// Target is a fake backend that answers requests and echoes packets of flows.
type Target struct {
	Name cornelbay.TargetName
	// ReplyTo is the address that receives the replies to packets of flows, in
	// place of the callers. With the zero value no replies are sent.
	ReplyTo netip.AddrPort
	// Slots is the maximum number of concurrent requests; further ones are
	// refused. 0 means no limit.
	Slots int
	// OnRequest is called with each request before the response is written; it may block.
	OnRequest func(*http.Request)
	// OnPacket is called with each packet of a flow. The packet is valid only
	// during the call.
	OnPacket func(*cornelbay.Packet)
	// TruncateEvery truncates the response to every n-th request; 0 truncates none.
	TruncateEvery int

	running atomic.Int64
	served  atomic.Int64
	warmup  warmup
	tunnel  *net.UDPConn
	http    netip.AddrPort
	stop    func()
}

// Start binds the target's addresses and starts to serve; port 0 picks a free port.
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

// Close closes the target's sockets.
func (t *Target) Close() {
	_ = t.tunnel.Close() // nothing is buffered
	t.stop()
}

// HealthPath is the URL path of the health check.
const HealthPath = "/health"

// ServeHTTP responds to requests and health probes with a body that names the target
// and the path.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if t.warmup.failing(time.Now()) {
		http.Error(w, "target is failing after an overload", http.StatusInternalServerError)
		return
	}
	if r.URL.Path == HealthPath {
		t.respond(w, r, false)
		return
	}
	running := t.running.Add(1)
	defer t.running.Add(-1)
	if t.Slots > 0 && running > int64(t.Slots) {
		w.Header().Set(request.RefusedHeader, "busy")
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	t.warmup.checkRequest(time.Now(), running)
	if t.OnRequest != nil {
		t.OnRequest(r)
	}
	n := t.served.Add(1)
	t.respond(w, r, t.TruncateEvery > 0 && n%int64(t.TruncateEvery) == 0)
}

// respond writes the response; with truncate set, only the first half of the body.
func (t *Target) respond(w http.ResponseWriter, r *http.Request, truncate bool) {
	body := []byte(ResponseBody(t.Name, r.URL.Path))
	sum := sha256.Sum256(body)
	h := w.Header()
	h.Set("Standin-Target", string(t.Name))
	h.Set("Content-Digest", "sha-256=:"+base64.StdEncoding.EncodeToString(sum[:])+":")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if id := r.Header.Get(request.AttemptHeader); id != "" {
		h.Set(request.AttemptHeader, id)
	}
	if truncate {
		body = body[:len(body)/2]
	}
	_, _ = w.Write(body) // the client may have disconnected
}

// ResponseBody returns the body of a target's response to a request for path.
func ResponseBody(name cornelbay.TargetName, path string) string {
	return "answer of " + string(name) + " to " + path + "\n"
}

// Reply is a target's reply to a packet of a flow.
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
		if d.Decode(b[:n], &pk) != cornelbay.NotDropped || t.warmup.failing(time.Now()) {
			continue
		}
		if pk.Flags&cornelbay.Opening != 0 {
			t.warmup.checkOpening(time.Now())
		}
		if t.OnPacket != nil {
			t.OnPacket(&pk)
		}
		if t.ReplyTo.IsValid() {
			t.reply(pk.Inner)
		}
	}
}
