package flow

import (
	"net/netip"
	"time"

	"github.com/cornelbay/cornelbay"
)

// Control is the control state of the flow path; one goroutine uses it. It
// publishes snapshots to its Plane.
type Control struct {
	Self  cornelbay.HostName
	Plane *Plane

	services []cornelbay.Service
	out      map[cornelbay.DataCentreName]bool
	members  cornelbay.Members
}

// SetServices takes the services in force and the data centres that are out.
func (c *Control) SetServices(now time.Time, services []cornelbay.Service, out map[cornelbay.DataCentreName]bool) []cornelbay.Effect {
	c.services, c.out = services, out
	c.publish()
	return nil
}

// SetMembers takes what is known of the hosts of the group.
func (c *Control) SetMembers(now time.Time, m cornelbay.Members) []cornelbay.Effect {
	c.members = m
	return nil
}

// SetStates takes what this host itself observes of the targets.
func (c *Control) SetStates(now time.Time, states []cornelbay.TargetState) []cornelbay.Effect {
	return nil
}

// Receive takes a control message of the flow path from another host.
func (c *Control) Receive(now time.Time, from cornelbay.HostName, m cornelbay.Message) []cornelbay.Effect {
	return nil
}

// Held takes the key of a packet whose verdict was Hold.
func (c *Control) Held(now time.Time, key cornelbay.FlowKey) []cornelbay.Effect {
	return nil
}

// Tick returns the effects that are due at now.
func (c *Control) Tick(now time.Time) []cornelbay.Effect { return nil }

// Stop returns the effects that hand on what this host alone knows.
func (c *Control) Stop(now time.Time) []cornelbay.Effect { return nil }

func (c *Control) publish() {
	snap := &Snapshot{services: make(map[serviceKey]*service)}
	for _, s := range c.services {
		key := serviceKey{netip.AddrPortFrom(s.Address, s.Port), s.Protocol.Number()}
		snap.services[key] = newService(s, c.weight)
	}
	c.Plane.snapshot.Store(snap)
}

func (c *Control) weight(t cornelbay.Target) int {
	if t.Drain || c.out[t.DataCentre] {
		return 0
	}
	return t.FullWeight()
}
