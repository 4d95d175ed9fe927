package standin

import (
	"net"
	"net/http"
	"net/netip"

	"github.com/ansel1/merry/v2"
)

// Serve serves h over HTTP at the given address until stop is called; port 0 picks
// a free port.
func Serve(at netip.AddrPort, h http.Handler) (bound netip.AddrPort, stop func(), err error) {
	l, err := net.Listen("tcp", at.String())
	if err != nil {
		return at, nil, merry.Prepend(err, "stand-in")
	}
	s := &http.Server{Handler: h}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(l) // returns when stop closes the server
	}()
	return l.Addr().(*net.TCPAddr).AddrPort(), func() {
		_ = s.Close() // nothing is buffered
		<-done
	}, nil
}
