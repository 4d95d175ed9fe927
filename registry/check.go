package registry

import (
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"
)

// ErrOutOfRange reports a value of a target or host that no such can have. Another writer of the
// store may have left it.
var ErrOutOfRange = merry.New("value out of range")

const (
	// maxNameBytes limits the names of services, data centres, targets and hosts, which hosts
	// repeat in messages to each other.
	maxNameBytes = 253
	// maxSlots limits the slots of one target. Hosts divide the flows by slots, so that a wrong
	// number takes them away from the other targets.
	maxSlots = 1 << 16
	// maxWarmUp limits the time for which a target is cold.
	maxWarmUp = 24 * time.Hour
)

// Check returns an error that names the first field that is out of range.
func (t *Target) Check() error {
	switch {
	case t.Number == 0:
		return merry.Prependf(ErrOutOfRange, "number 0 of target %.*q, which addresses any target", maxNameBytes, t.Name)
	case t.StartedMs < 0:
		return merry.Prependf(ErrOutOfRange, "start %d", t.StartedMs)
	case t.Slots < 0 || t.Slots > maxSlots:
		return merry.Prependf(ErrOutOfRange, "slots %d", t.Slots)
	case t.ColdFor < 0 || t.ColdFor > maxWarmUp:
		return merry.Prependf(ErrOutOfRange, "warm-up time %v", t.ColdFor)
	}
	for _, f := range []struct{ field, name string }{
		{"name", string(t.Name)}, {"service", string(t.Service)}, {"data centre", string(t.DataCentre)},
	} {
		if err := checkName(f.field, f.name); err != nil {
			return err
		}
	}
	return checkAddress(t.Address)
}

// Check returns an error that names the first field that is out of range.
func (h *Host) Check() error {
	if err := checkName("name", string(h.Name)); err != nil {
		return err
	}
	if err := checkName("data centre", string(h.DataCentre)); err != nil {
		return err
	}
	return checkAddress(h.Address)
}

func checkName(field, name string) error {
	if name == "" || len(name) > maxNameBytes {
		return merry.Prependf(ErrOutOfRange, "%s of %d bytes", field, len(name))
	}
	return nil
}

// checkAddress returns an error for an address that no datagram can be sent to, or that is not that
// of one machine.
func checkAddress(at netip.AddrPort) error {
	a := at.Addr()
	if !a.Is4() || a.IsUnspecified() || a.IsMulticast() || a == netip.AddrFrom4([4]byte{255, 255, 255, 255}) || at.Port() == 0 {
		return merry.Prependf(ErrOutOfRange, "address %s", at)
	}
	return nil
}
