package standin

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"github.com/cornelbay/cornelbay"
)

// ReplyTimeout is how long Control waits for a target's answer to a packet.
const ReplyTimeout = 2 * time.Second

// Control lets a test send packets through a Fabric over HTTP.
type Control struct {
	Fabric *Fabric
}

// SendPacketRequest asks Control to send one TCP segment through any of the hosts.
type SendPacketRequest struct {
	Hosts       []netip.AddrPort `json:"hosts"`
	Source      netip.AddrPort   `json:"source"`
	Destination netip.AddrPort   `json:"destination"`
	Opening     bool             `json:"opening"`
	Payload     []byte           `json:"payload"`
}

// ServeHTTP sends the packet and answers with the target's Reply.
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
		_ = json.NewEncoder(w).Encode(reply) // the reader sees a cut answer
	case <-time.After(ReplyTimeout):
		http.Error(w, "no target answered", http.StatusGatewayTimeout)
	}
}
