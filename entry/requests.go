package entry

import (
	"math/rand/v2"
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/peer"
	"github.com/cornelbay/cornelbay/request"
	"github.com/cornelbay/cornelbay/warmth"
)

func init() {
	peer.Register(request.LoadReport{})
	peer.RegisterCall[request.RelayArgs, request.RelayReply]()
	peer.RegisterCall[request.ResultArgs, request.ResultReply]()
	peer.RegisterCall[request.WithdrawArgs, request.WithdrawReply]()
	peer.RegisterCall[request.HandOverArgs, request.HandOverReply]()
}

// requestStream separates the dispatcher's randomness from other uses of the seed.
const requestStream = 5

func (h *Host) startRequests() {
	h.Requests.Self = h.Self.Name
	h.Requests.Incarnation = h.Self.Incarnation
	h.Requests.Keys = h.TicketKeys
	h.Requests.Rand = rand.New(rand.NewPCG(h.Seed, requestStream))
}

// reportLoad hands a target's own word of its load to the dispatcher.
func (h *Host) reportLoad(now time.Time, s warmth.Signal) {
	if s.Kind == warmth.LoadReported {
		h.Requests.ReportTargetLoad(now, s.Target, int(s.Value))
	}
}

// serveRequests answers another host's call of the request path; ok is false
// for other calls.
func (h *Host) serveRequests(now time.Time, from cornelbay.HostName, args peer.Args) (any, []cornelbay.Effect, bool) {
	return h.Requests.ServePeer(now, from, args)
}
