package cornelbay

// Effect is something that a decision wants done; a shell carries it out.
// The types are Send and those that other packages define.
type Effect interface{ Effect() }

// Send sends a control message to another host by datagram; it may be lost.
type Send struct {
	To HostName
	// Address is used when the sender knows no host of that name yet.
	Address string
	Message Message
}

// Effect marks Send as an effect.
func (Send) Effect() {}

// Release ends the hold of packets of one flow: they are decided again.
type Release struct {
	Key FlowKey
}

// Effect marks Release as an effect.
func (Release) Effect() {}
