package wire

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"sync"

	"github.com/hashicorp/yamux"
)

// Handler serves one stream. The stream is closed when the handler returns.
type Handler func(ctx context.Context, s *Stream)

// ServerConfig configures a Server.
type ServerConfig struct {
	Addr            netip.AddrPort
	Keys            *Keys
	RevisionTracker RevisionTracker
	// Handle serves each stream in its own goroutine.
	Handle Handler
	// MaxStreams is the maximum number of concurrent streams; zero means DefaultMaxStreams.
	MaxStreams int
	// MaxHandshakes is the maximum number of connections whose peers haven't authenticated yet; zero means DefaultMaxHandshakes.
	MaxHandshakes int
	// KeepAliveConfig configures the detection of unresponsive connections.
	KeepAliveConfig KeepAliveConfig
}

// DefaultMaxStreams is the default of ServerConfig.MaxStreams.
const DefaultMaxStreams = 16384

// Server accepts connections from peers that authenticate with a shared secret.
type Server struct {
	config      ServerConfig
	listener    net.Listener
	ctx         context.Context
	cancel      context.CancelFunc
	streamSlots chan struct{}
	goroutines  sync.WaitGroup

	// mu guards the rest.
	mu          sync.Mutex
	conns       map[net.Conn]struct{}
	handshakes  handshakes
	partitioned bool
}

// Serve listens on c.Addr and accepts connections until Close is called.
func Serve(c ServerConfig) (*Server, error) {
	if c.RevisionTracker == nil {
		c.RevisionTracker = NoRevision{}
	}
	if c.MaxStreams == 0 {
		c.MaxStreams = DefaultMaxStreams
	}
	if c.MaxHandshakes == 0 {
		c.MaxHandshakes = DefaultMaxHandshakes
	}
	ln, err := net.Listen("tcp", c.Addr.String())
	if err != nil {
		return nil, ConnectionLost.Wrap(err, "listen on %s", c.Addr)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		config:      c,
		listener:    ln,
		ctx:         ctx,
		cancel:      cancel,
		streamSlots: make(chan struct{}, c.MaxStreams),
		conns:       map[net.Conn]struct{}{},
		handshakes:  handshakes{most: c.MaxHandshakes},
	}
	s.goroutines.Go(func() {
		for {
			conn, err := ln.Accept()
			switch {
			case err != nil && !s.mayAcceptLater(err):
				return
			case err == nil && s.trackConn(conn):
				s.goroutines.Go(func() { s.serveConn(conn) })
			}
		}
	})
	return s, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

func (s *Server) serveConn(raw net.Conn) {
	defer s.untrackConn(raw)
	tlsConn := tls.Server(raw, s.config.Keys.tlsConfig())
	ctx, cancel := context.WithTimeout(s.ctx, DialTimeout)
	err := tlsConn.HandshakeContext(ctx)
	cancel()
	s.endHandshake(raw)
	if err != nil {
		return
	}
	session, err := yamux.Server(&coalescingConn{Conn: tlsConn}, s.config.KeepAliveConfig.muxConfig())
	if err != nil {
		return
	}
	defer session.Close()
	ctx, cancel = context.WithCancel(s.ctx)
	defer cancel()
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		s.startHandler(ctx, stream)
	}
}

// startHandler runs the handler in a new goroutine, or closes the stream if MaxStreams are open.
func (s *Server) startHandler(ctx context.Context, raw *yamux.Stream) {
	select {
	case s.streamSlots <- struct{}{}:
	default:
		raw.Close()
		return
	}
	s.goroutines.Go(func() {
		defer func() { <-s.streamSlots }()
		stream := newStream(raw, s.config.RevisionTracker)
		defer stream.Close()
		s.config.Handle(ctx, stream)
	})
}

func (s *Server) trackConn(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil || s.partitioned {
		c.Close()
		return false
	}
	s.conns[c] = struct{}{}
	s.handshakes.begin(c)
	return true
}

func (s *Server) untrackConn(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.handshakes.end(c)
	c.Close()
}

// SetIsolated simulates a network partition: it closes all connections and rejects new ones until
// it is called with false.
func (s *Server) SetIsolated(partitioned bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partitioned = partitioned
	if !partitioned {
		return
	}
	for c := range s.conns {
		c.Close()
	}
}

// Close stops accepting, closes all connections and waits for the handlers.
func (s *Server) Close() {
	s.mu.Lock()
	s.cancel()
	s.listener.Close()
	for c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
	s.goroutines.Wait()
}
