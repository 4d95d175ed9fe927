package cornelbay

// Effect is an action that a decision requests and that its caller carries out.
// The types are Send and Release, and those that other packages define.
type Effect interface{ Effect() }

// Send sends a control message to another host in a datagram, which may be
// lost.
type Send struct {
	To HostName
	// Address is used if the sender does not know a host with that name yet.
	Address string
	Message Message
}

// Effect marks Send as an effect.
func (Send) Effect() {}

// Release ends the hold on the packets of one flow, which are then decided
// again. No decision requests it at present.
type Release struct {
	Key FlowKey
}

// Effect marks Release as an effect.
func (Release) Effect() {}
