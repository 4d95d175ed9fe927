package agree

import "github.com/cornelbay/cornelbay"

// Status describes the flow state of a host to operators.
type Status struct {
	Ready bool `json:"ready"`
	// Flows is the number of records in the flow table.
	Flows int `json:"flows"`
	// Bytes is the memory that the flow table uses.
	Bytes int `json:"bytes"`
	// Queued is the number of records that wait to be sent to other hosts.
	Queued   int             `json:"queued"`
	Services []ServiceStatus `json:"services"`
}

// ServiceStatus describes the flow state of one service to operators.
type ServiceStatus struct {
	Service cornelbay.ServiceName `json:"service"`
	// Epochs is the number of epochs that may still have flows.
	Epochs int `json:"epochs"`
	// Term, Sequence and Active describe the newest epoch.
	Term     uint64 `json:"term"`
	Sequence uint64 `json:"sequence"`
	Active   bool   `json:"active"`
	Buckets  int    `json:"buckets"`
	// Ambiguous is the number of ambiguous buckets.
	Ambiguous int `json:"ambiguous"`
	// Complete counts the ambiguous buckets for which this host has every
	// record.
	Complete int `json:"complete"`
}

// Status returns the current flow state.
func (c *Control) Status() Status {
	out := Status{
		Ready: c.Ready(), Flows: c.Plane.Table.Len(), Bytes: c.Plane.Table.Bytes(),
		Queued: len(c.handoff.queue),
	}
	for _, name := range c.serviceNames() {
		s := c.services[name]
		st := ServiceStatus{Service: name, Epochs: len(s.epochs), Buckets: len(s.ambiguous)}
		if e := s.newest(); e != nil {
			st.Term, st.Sequence, st.Active = e.id.Term, e.id.Sequence, e.active
		}
		for i, ambiguous := range s.ambiguous {
			if ambiguous {
				st.Ambiguous++
			}
			if ambiguous && s.complete[i] {
				st.Complete++
			}
		}
		out.Services = append(out.Services, st)
	}
	return out
}
