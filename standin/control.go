package standin

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"github.com/cornelbay/cornelbay"
)

// ReplyTimeout is how long Control waits for a target's reply to a packet.
const ReplyTimeout = 2 * time.Second

// Control is an HTTP handler through which a test sends packets with a Fabric.
type Control struct {
	Fabric *Fabric
}

// SendPacketRequest is the body of a request to Control: one TCP segment to send
// through a random one of the hosts.
type SendPacketRequest struct {
	Hosts       []netip.AddrPort `json:"hosts"`
	Source      netip.AddrPort   `json:"source"`
	Destination netip.AddrPort   `json:"destination"`
	Opening     bool             `json:"opening"`
	Payload     []byte           `json:"payload"`
}

// ServeHTTP sends the packet and responds with the next Reply that the Fabric receives,
// whichever packet it belongs to, so calls must not overlap.
func (c *Control) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var p SendPacketRequest
	if err := json.NewDecoder(r.Body).Decode(&p); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	key := cornelbay.FlowKey{Source: p.Source, Destination: p.Destination, Protocol: cornelbay.TCP.Number()}
	var fl cornelbay.PacketFlags
	if p.Opening {
		fl = cornelbay.Opening
	}
	inner, err := Segment(key, fl, p.Payload)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c.Fabric.SetHosts(p.Hosts...)
	if err := c.Fabric.Send(inner); err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	select {
	case reply := <-c.Fabric.Replies:
		_ = json.NewEncoder(w).Encode(reply) // the client may have disconnected
	case <-time.After(ReplyTimeout):
		http.Error(w, "no target replied in time", http.StatusGatewayTimeout)
	}
}
