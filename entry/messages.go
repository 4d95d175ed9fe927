package entry

import (
	"github.com/cornelbay/cornelbay/flow"
	"github.com/cornelbay/cornelbay/member"
	"github.com/cornelbay/cornelbay/peer"
	"github.com/cornelbay/cornelbay/warmth"
)

func init() {
	peer.Register(member.Heartbeat{})
	peer.Register(flow.Proposal{})
	peer.Register(flow.Prepared{})
	peer.Register(flow.Activate{})
	peer.Register(flow.Epochs{})
	peer.Register(flow.EpochsAnswer{})
	peer.Register(flow.Digest{})
	peer.Register(flow.Serving{})
	peer.Register(flow.Records{})
	peer.Register(member.Leave{})
	peer.Register(member.JoinRequest{})
	peer.Register(member.JoinAnswer{})
	peer.Register(warmth.Reports{})
}
