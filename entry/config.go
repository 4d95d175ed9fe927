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

// Head returns the head of the generation in force; its Generation is 0 while
// there is none.
func (h *Host) Head() config.Head { return h.keeper.Head() }

// Document returns the document in force, or nil.
func (h *Host) Document() *config.Document { return h.keeper.Document() }

// StoreAnswer takes the platform's answer to a call.
func (h *Host) StoreAnswer(now time.Time, a objectstore.Answer) []cornelbay.Effect {
	out, changed := h.keeper.ReceivePlatformAnswer(now, a)
	return append(out, h.adopted(now, changed)...)
}

func (h *Host) configChanged(now time.Time) []cornelbay.Effect {
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
	h.judge.SetServices(now, services, out)
	h.flows.Generation = h.keeper.Generation()
	h.flows.SetStates(now, h.judge.States(now)) // before a new target gets its first flows
	effects := h.flows.SetServices(now, services, out)
	return append(effects, h.Requests.SetServices(now, services, out)...)
}

// PeerAnswer takes another host's answer to a call over net/rpc.
func (h *Host) PeerAnswer(now time.Time, a peer.Answer) []cornelbay.Effect {
	switch a.Call.Args.(type) {
	case configsync.FetchArgs:
		out, changed := h.keeper.ReceivePeerAnswer(now, a)
		return append(out, h.adopted(now, changed)...)
	}
	return h.Requests.PeerAnswer(now, a)
}

// ServePeer answers another host's call over net/rpc.
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

// ConfigStats returns what the keeper of the configuration counted.
func (h *Host) ConfigStats() configsync.Stats { return h.keeper.Stats }

// heardConfig takes what a heartbeat tells of the configuration.
func (h *Host) heardConfig(now time.Time, b member.Heartbeat) []cornelbay.Effect {
	return h.keeper.ReceiveHeartbeat(now, b.Name, b.Generation, confirmedAgeMs(b))
}

// confirmedAgeMs returns how long ago the platform confirmed the sender's
// generation, with what the heartbeat may have taken; 0 is never.
func confirmedAgeMs(b member.Heartbeat) int64 {
	if b.ConfirmedAgeMs == 0 {
		return 0
	}
	return int64(b.ConfirmedAgeMs) + member.TransitAllowance.Milliseconds()
}

// adopted passes a generation that came into force on to the other concerns.
func (h *Host) adopted(now time.Time, changed bool) []cornelbay.Effect {
	if !changed {
		return nil
	}
	return h.configChanged(now)
}
