package daemon

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/cornelbay/cornelbay"
	"github.com/cornelbay/cornelbay/traffic"
)

// datagramHeaderBytes is the total length of the IPv4 and UDP headers of a datagram.
const datagramHeaderBytes = 28

// send sends a message to the host s.To, or to s.Address if no host of that name is
// known. If that is not a valid address either, the message is dropped without a log
// entry.
func (d *Daemon) send(s cornelbay.Send) {
	h, ok := d.host.Lookup(s.To)
	if !ok {
		at, err := netip.ParseAddrPort(s.Address)
		if err != nil {
			return
		}
		h.Datagram = at
	}
	b, err := d.codec.Seal(s.Message)
	if err != nil {
		d.Log.WithError(err).WithField("to", string(s.To)).Error("message not sent")
		return
	}
	if _, err := d.datagram.WriteToUDPAddrPort(b, h.Datagram); err != nil {
		d.Log.WithError(err).WithField("to", string(s.To)).Debug("datagram not sent")
		return
	}
	d.metrics.sentDatagrams.Inc()
	d.metrics.sentBytes.Add(float64(len(b) + datagramHeaderBytes))
}

func (d *Daemon) receiveDatagrams(ctx context.Context) {
	b := make([]byte, 64<<10) // 64 KiB hold any UDP datagram
	for {
		n, _, err := d.datagram.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(traffic.ReadRetryDelay)
			continue
		}
		d.metrics.receivedDatagrams.Inc()
		d.metrics.receivedBytes.Add(float64(n + datagramHeaderBytes))
		e, m, err := d.codec.Open(b[:n])
		if err != nil {
			d.metrics.refusedDatagrams.Inc()
			d.Log.WithError(err).Debug("datagram refused")
			continue
		}
		d.enqueue(ctx, func(now time.Time) []cornelbay.Effect { return d.host.Receive(now, e.From, m) })
	}
}
