package entry

import (
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/config"
	"github.com/cornelbay/cornelbay/configsync"
	"github.com/cornelbay/cornelbay/member"
	"github.com/cornelbay/cornelbay/objectstore"
	"github.com/cornelbay/cornelbay/peer"
)

func init() { peer.RegisterCall[configsync.FetchArgs, configsync.FetchReply]() }

// Head returns the head of the configuration generation in force. Its Generation
// is 0 until a configuration is in force.
func (h *Host) Head() config.Head { return h.keeper.Head() }

// Document returns the configuration document in force, or nil if there is none.
func (h *Host) Document() *config.Document { return h.keeper.Document() }

// ReceiveStoreAnswer handles the answer to a call to the object store, which the
// platform provides.
func (h *Host) ReceiveStoreAnswer(now time.Time, a objectstore.Answer) []cornelbay.Effect {
	out, changed := h.keeper.ReceivePlatformAnswer(now, a)
	return append(out, h.applyIfChanged(now, changed)...)
}

// applyConfig passes the document in force to the other components.
func (h *Host) applyConfig(now time.Time) []cornelbay.Effect {
	doc := h.keeper.Document()
	out := make(map[cornelbay.DataCentreName]bool)
	for _, dc := range doc.DataCentres {
		out[dc.Name] = dc.Out
	}
	var services []cornelbay.Service
	for _, s := range doc.Services {
		if s.Group == h.Group {
			services = append(services, s)
		}
	}
	h.targets.SetServices(now, services, out)
	h.flows.Generation = h.keeper.Generation()
	h.flows.SetStates(now, h.targets.States(now)) // before SetServices, so that a new target has a state when it receives flows
	effects := h.flows.SetServices(now, services, out)
	return append(effects, h.Requests.SetServices(now, services, out)...)
}

// ReceivePeerAnswer handles another host's answer to a net/rpc call of this host.
func (h *Host) ReceivePeerAnswer(now time.Time, a peer.Answer) []cornelbay.Effect {
	switch a.Call.Args.(type) {
	case configsync.FetchArgs:
		out, changed := h.keeper.ReceivePeerAnswer(now, a)
		return append(out, h.applyIfChanged(now, changed)...)
	}
	return h.Requests.PeerAnswer(now, a)
}

// ServePeer serves a net/rpc call of another host.
func (h *Host) ServePeer(now time.Time, from cornelbay.HostName, args peer.Args) (any, []cornelbay.Effect, error) {
	switch args := args.(type) {
	case configsync.FetchArgs:
		r, err := h.keeper.Serve(now, args)
		return r, nil, err
	}
	if reply, effects, ok := h.serveRequests(now, from, args); ok {
		return reply, effects, nil
	}
	return nil, nil, peer.ErrMalformed
}

// ConfigStats returns the counters of the configuration keeper.
func (h *Host) ConfigStats() configsync.Stats { return h.keeper.Stats }

// receiveConfigHeartbeat passes the sender's configuration generation, carried in
// its heartbeat, to the configuration keeper.
func (h *Host) receiveConfigHeartbeat(now time.Time, b member.Heartbeat) []cornelbay.Effect {
	return h.keeper.ReceiveHeartbeat(now, b.Name, b.Generation, confirmedAgeMs(b))
}

// confirmedAgeMs returns how long ago the platform confirmed the sender's
// generation, plus an allowance for the transit time of the heartbeat. 0 means that
// it was never confirmed.
func confirmedAgeMs(b member.Heartbeat) int64 {
	if b.ConfirmedAgeMs == 0 {
		return 0
	}
	return int64(b.ConfirmedAgeMs) + member.TransitAllowance.Milliseconds()
}

// applyIfChanged calls applyConfig if a new generation came into force.
func (h *Host) applyIfChanged(now time.Time, changed bool) []cornelbay.Effect {
	if !changed {
		return nil
	}
	return h.applyConfig(now)
}
