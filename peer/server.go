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

// Limits of a connection between hosts.
const (
	writeTimeout       = 5 * time.Second
	handshakeTimeout   = 2 * time.Second
	serverIdleTimeout  = 2 * time.Minute
	maxConcurrentCalls = 256
)

// Server serves calls of other hosts. The zero value serves without TLS.
type Server struct {
	// Credentials authenticate both ends with certificates. If it is nil, connections
	// use plain TCP, and Frame.From names the sender without authentication.
	Credentials *Credentials
	// OnRefused, if not nil, is called for each connection that is refused.
	OnRefused func(remote net.Addr, err error)

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

// Serve accepts connections from l and runs h for each call in its own goroutine. It
// returns nil when l is closed, or the error of l.
func (s *Server) Serve(l net.Listener, h Handler) error {
	for {
		c, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			return merry.Prepend(err, "accept")
		}
		go s.serveConn(c, h)
	}
}

// Close closes all connections. It does not close the listener.
func (s *Server) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		_ = c.Close() // the callers of calls in progress get ErrNoAnswer
	}
	return nil
}

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// addConn records an open connection. It returns false if the server is closed.
func (s *Server) addConn(c net.Conn) bool {
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

func (s *Server) removeConn(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

func (s *Server) serveConn(c net.Conn, h Handler) {
	defer c.Close()
	if !s.addConn(c) {
		return
	}
	defer s.removeConn(c)
	session := &session{handler: h}
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
	w := newFrameConn(c)
	w.idleTimeout = serverIdleTimeout
	r.ServeCodec(serverCodec{w, make(chan struct{}, maxConcurrentCalls)})
}

// handshake performs the TLS handshake and returns the host name of the client.
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

// session is the net/rpc receiver for one connection.
type session struct {
	from    cornelbay.HostName
	handler Handler
}

// Ping returns immediately. Clients call it to check that the connection works.
func (s *session) Ping(_ Frame, _ *Frame) error { return nil }

// Call decodes a registered call and runs the handler.
func (s *session) Call(f Frame, reply *Frame) error {
	m, ok := methods[f.Method]
	if !ok {
		return ErrUnknownMethod
	}
	args, err := decode(f.Body, m.args)
	if err != nil {
		return err
	}
	from := s.from
	if from == "" {
		from = f.From
	}
	v, err := s.handler(from, args.(Args))
	if err != nil {
		return err
	}
	reply.Body, err = cbor.Marshal(v)
	return err
}
