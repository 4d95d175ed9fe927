package entry

import (
	"github.com/cornelbay/cornelbay/member"
	"github.com/cornelbay/cornelbay/peer"
)

func init() {
	peer.Register(member.Heartbeat{})
	peer.Register(member.Leave{})
	peer.Register(member.JoinRequest{})
	peer.Register(member.JoinAnswer{})
}
