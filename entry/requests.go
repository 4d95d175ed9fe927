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

// dispatcherStream is the PCG stream of the dispatcher's random numbers. It keeps them
// independent of other uses of the same seed. The value is arbitrary, but no other use
// may have it; member.View uses a hash of the host's name.
const dispatcherStream = 5

func (h *Host) initRequests() {
	h.Requests.Self = h.Self.Name
	h.Requests.Incarnation = h.Self.Incarnation
	h.Requests.Keys = h.TicketKeys
	h.Requests.Rand = rand.New(rand.NewPCG(h.Seed, dispatcherStream))
}

// reportLoad passes s to the dispatcher if it is a target's report of its own load. It
// ignores other signals.
func (h *Host) reportLoad(now time.Time, s warmth.Signal) {
	if s.Kind == warmth.LoadReported {
		h.Requests.ReportTargetLoad(now, s.Target, int(s.Value))
	}
}

// serveRequests serves a call of another host that belongs to the request path. It
// returns false for other calls.
func (h *Host) serveRequests(now time.Time, from cornelbay.HostName, args peer.Args) (any, []cornelbay.Effect, bool) {
	return h.Requests.ServePeer(now, from, args)
}
