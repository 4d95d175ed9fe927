package standin

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cornelbay/cornelbay/fabric"
)

func (t *Target) reply(inner []byte) {
	b, err := json.Marshal(Reply{t.Name, inner})
	if err != nil {
		return
	}
	_, _ = t.tunnel.WriteToUDPAddrPort(b, t.ReplyTo) // the receiver treats a missing reply as a lost packet
}

// replyBacklog is the capacity of Fabric.Replies, in replies.
const replyBacklog = 1024

// Fabric sends each packet of a caller to a random host and receives the targets'
// replies.
type Fabric struct {
	// Replies delivers the targets' replies. When its buffer is full, further
	// replies are dropped.
	Replies chan Reply

	mu    sync.Mutex
	hosts []netip.AddrPort
	conn  *net.UDPConn
}

// Start binds a free loopback port and starts to receive replies.
func (f *Fabric) Start() error {
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return merry.Prepend(err, "fabric: listen for replies")
	}
	f.conn = c
	f.Replies = make(chan Reply, replyBacklog)
	go f.receive()
	return nil
}

// Address returns the address that receives the targets' replies.
func (f *Fabric) Address() netip.AddrPort { return f.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Close closes the fabric's socket.
func (f *Fabric) Close() { _ = f.conn.Close() } // nothing is buffered

// SetHosts sets the hosts that packets are sent to.
func (f *Fabric) SetHosts(hosts ...netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts = hosts
}

// Send encapsulates a caller's IP packet and sends it to a random host.
func (f *Fabric) Send(inner []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.hosts) == 0 {
		return merry.New("no host to send the packet to")
	}
	to := f.hosts[rand.IntN(len(f.hosts))]
	_, err := f.conn.WriteToUDPAddrPort(fabric.Append(nil, inner), to)
	return err
}

func (f *Fabric) receive() {
	b := make([]byte, 2*fabric.MaxPacketBytes)
	for {
		n, _, err := f.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		var r Reply
		if json.Unmarshal(b[:n], &r) != nil {
			continue
		}
		select {
		case f.Replies <- r:
		default:
		}
	}
}

// Ready reports whether a host's readiness endpoint returns 200 OK. The real fabric
// checks this before it sends packets to a host.
func Ready(ctx context.Context, c *http.Client, admin netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, ReadyTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin.String()+"/readyz", nil)
	if err != nil {
		return false
	}
	res, err := c.Do(r)
	if err != nil {
		return false
	}
	_ = res.Body.Close() // only the status is needed
	return res.StatusCode == http.StatusOK
}

// ReadyTimeout is the time after which a host that has not responded counts as not
// ready.
const ReadyTimeout = 500 * time.Millisecond
