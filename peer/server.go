package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/cornelbay/cornelbay"
)

// The limits of a connection between hosts.
const (
	writeTimeout     = 5 * time.Second
	handshakeTimeout = 2 * time.Second
	serverIdle       = 2 * time.Minute
	runningCalls     = 256
)

// Server serves other hosts' calls; its zero value serves without TLS.
type Server struct {
	// Credentials authenticate both ends by certificates; nil is plain TCP,
	// where each frame's own word names its sender.
	Credentials *Credentials
	// OnRefused is told of each connection that is refused; nil tells nobody.
	OnRefused func(remote net.Addr, err error)

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

// Serve accepts connections from l and hands their calls to h, each on its own
// goroutine, until l fails or Close is called.
func (s *Server) Serve(l net.Listener, h Handler) error {
	for {
		c, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			return merry.Prepend(err, "accept")
		}
		go s.serve(c, h)
	}
}

// Close drops all connections; the listener is the caller's to close.
func (s *Server) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		_ = c.Close() // calls in progress end as not answered
	}
	return nil
}

func (s *Server) track(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	if s.conns == nil {
		s.conns = make(map[net.Conn]struct{})
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *Server) forget(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

func (s *Server) serve(c net.Conn, h Handler) {
	defer c.Close()
	if !s.track(c) {
		return
	}
	defer s.forget(c)
	session := &session{handle: h}
	if s.Credentials != nil {
		t, name, err := s.handshake(c)
		if err != nil {
			if s.OnRefused != nil {
				s.OnRefused(c.RemoteAddr(), err)
			}
			return
		}
		c, session.from = t, name
	}
	r := rpc.NewServer()
	if err := r.RegisterName(serviceName, session); err != nil {
		return
	}
	w := newWire(c)
	w.idle = serverIdle
	r.ServeCodec(serverCodec{w, make(chan struct{}, runningCalls)})
}

func (s *Server) handshake(c net.Conn) (net.Conn, cornelbay.HostName, error) {
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	t := tls.Server(c, s.Credentials.ServerConfig())
	if err := t.HandshakeContext(ctx); err != nil {
		return nil, "", merry.Prepend(err, "handshake")
	}
	name, err := HostOf(t.ConnectionState().PeerCertificates[0])
	return t, name, err
}

// session serves the calls of one connection.
type session struct {
	from   cornelbay.HostName
	handle Handler
}

// Ping answers at once, to show that the connection works.
func (s *session) Ping(_ Frame, _ *Frame) error { return nil }

// Call decodes a registered call and hands it to the handler.
func (s *session) Call(f Frame, reply *Frame) error {
	m, ok := methods[f.Method]
	if !ok {
		return ErrMethod
	}
	args, err := decode(f.Body, m.args)
	if err != nil {
		return err
	}
	from := s.from
	if from == "" {
		from = f.From
	}
	v, err := s.handle(from, args.(Args))
	if err != nil {
		return err
	}
	reply.Body, err = cbor.Marshal(v)
	return err
}
