package standin

import (
	"net"
	"net/http"
	"net/netip"

	"github.com/ansel1/merry/v2"
)

// Serve serves h at an address, of which port 0 picks a free one, until stop is
// called.
func Serve(at netip.AddrPort, h http.Handler) (bound netip.AddrPort, stop func(), err error) {
	l, err := net.Listen("tcp", at.String())
	if err != nil {
		return at, nil, merry.Prepend(err, "stand-in")
	}
	s := &http.Server{Handler: h}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = s.Serve(l) // ends when stop closes it
	}()
	return l.Addr().(*net.TCPAddr).AddrPort(), func() {
		_ = s.Close() // nothing is buffered
		<-ended
	}, nil
}
