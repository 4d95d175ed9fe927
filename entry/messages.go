package entry

import (
	"github.com/cornelbay/cornelbay/flow"
	"github.com/cornelbay/cornelbay/member"
	"github.com/cornelbay/cornelbay/peer"
)

func init() {
	peer.Register(member.Heartbeat{})
	peer.Register(flow.Proposal{})
	peer.Register(flow.Prepared{})
	peer.Register(flow.Activate{})
	peer.Register(flow.Join{})
	peer.Register(flow.JoinAnswer{})
	peer.Register(flow.Digest{})
	peer.Register(flow.Records{})
}
