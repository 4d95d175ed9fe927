package entry

import (
	"github.com/cornelbay/cornelbay/agree"
	"github.com/cornelbay/cornelbay/member"
	"github.com/cornelbay/cornelbay/peer"
	"github.com/cornelbay/cornelbay/warmth"
)

func init() {
	peer.Register(member.Heartbeat{})
	peer.Register(agree.Proposal{})
	peer.Register(agree.Prepared{})
	peer.Register(agree.Activate{})
	peer.Register(agree.EpochsRequest{})
	peer.Register(agree.EpochsAnswer{})
	peer.Register(agree.Digest{})
	peer.Register(agree.Clear{})
	peer.Register(agree.Serving{})
	peer.Register(agree.Records{})
	peer.Register(member.Leave{})
	peer.Register(member.JoinRequest{})
	peer.Register(member.JoinAnswer{})
	peer.Register(warmth.Reports{})
}
