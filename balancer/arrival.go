package balancer

import (
	"encoding/binary"
	"net"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sys/unix"
)

// controlBytes has room for the time stamp of a packet.
const controlBytes = 64

// maxQueueingTime is the longest time for which a packet can have waited in the socket: an
// older stamp is of another clock, such as one that has been set since.
const maxQueueingTime = 10 * time.Second

// stampArrivals makes the kernel report when each packet of a socket arrived. A host that is
// short of processor time reads packets long after their arrival, when other hosts may have
// further copies of them.
func stampArrivals(c *net.UDPConn) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return merry.Wrap(err)
	}
	var failed error
	if err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_TIMESTAMPNS, 1)
	}); err != nil {
		return merry.Wrap(err)
	}
	return merry.Wrap(failed)
}

// queueingTime returns how long a packet has waited in the socket, by its control messages,
// and 0 if they don't tell.
func queueingTime(now time.Time, control []byte) time.Duration {
	for len(control) > 0 {
		header, data, rest, err := unix.ParseOneSocketControlMessage(control)
		if err != nil {
			return 0
		}
		control = rest
		if header.Level != unix.SOL_SOCKET || header.Type != unix.SCM_TIMESTAMPNS || len(data) < 16 {
			continue
		}
		stamp := time.Unix(int64(binary.NativeEndian.Uint64(data)), int64(binary.NativeEndian.Uint64(data[8:])))
		if d := now.Round(0).Sub(stamp); d > 0 && d <= maxQueueingTime {
			return d
		}
	}
	return 0
}
