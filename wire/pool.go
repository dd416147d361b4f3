package wire

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

const (
	// DialTimeout bounds connecting, including the TLS handshake.
	DialTimeout = 2 * time.Second
	// KeepAlive is the default interval between two keepalive probes of a connection.
	KeepAlive = 5 * time.Second
	// WriteTimeout is the default time after which a connection that accepts no bytes counts as lost.
	WriteTimeout = 5 * time.Second
	// StreamWindow is the flow-control window of a stream, in bytes.
	StreamWindow = 256 << 10
)

// KeepAliveConfig configures how soon an unresponsive connection counts as lost. If Interval
// is zero, it is KeepAlive; if Timeout is zero, it is WriteTimeout.
type KeepAliveConfig struct {
	// Interval is the time between two keepalive probes of a connection.
	Interval time.Duration
	// Timeout is the maximum wait for the response to a probe, and for a blocked write.
	Timeout time.Duration
}

func (p KeepAliveConfig) muxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.KeepAliveInterval = KeepAlive
	if p.Interval > 0 {
		c.KeepAliveInterval = p.Interval
	}
	c.ConnectionWriteTimeout = WriteTimeout
	if p.Timeout > 0 {
		c.ConnectionWriteTimeout = p.Timeout
	}
	c.MaxStreamWindowSize = StreamWindow
	c.LogOutput = io.Discard
	return c
}

func isConnectionError(err error) bool {
	var op *net.OpError
	if errors.As(err, &op) {
		return true
	}
	for _, sentinel := range []error{
		io.ErrUnexpectedEOF, io.ErrClosedPipe, net.ErrClosed, yamux.ErrSessionShutdown, yamux.ErrStreamClosed,
		yamux.ErrConnectionReset, yamux.ErrConnectionWriteTimeout, yamux.ErrKeepAliveTimeout,
		yamux.ErrRemoteGoAway, yamux.ErrStreamsExhausted,
	} {
		if errors.Is(err, sentinel) {
			return true
		}
	}
	return false
}

// Dialer opens raw connections. Tests replace it to break or delay them.
type Dialer func(ctx context.Context, to netip.AddrPort) (net.Conn, error)

// DialTCP is the default Dialer.
func DialTCP(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{Timeout: DialTimeout}
	return d.DialContext(ctx, "tcp", to.String())
}

// PoolConfig configures a Pool.
type PoolConfig struct {
	Keys            *Keys
	RevisionTracker RevisionTracker
	// Dial opens raw connections; nil means DialTCP.
	Dial Dialer
	// IdleTimeout is the time after which CloseIdle closes a connection without streams; zero keeps such connections open.
	IdleTimeout time.Duration
	// KeepAliveConfig configures the detection of unresponsive connections.
	KeepAliveConfig KeepAliveConfig
}

// Pool holds at most one connection to each peer and opens streams on it.
type Pool struct {
	config PoolConfig

	// mu guards peerConns, closed and partitioned.
	mu          sync.Mutex
	peerConns   map[netip.AddrPort]*peerConn
	closed      bool
	partitioned bool
}

// peerConn is the connection to one peer.
type peerConn struct {
	// mu serialises dialing and guards session and lastUsed.
	mu       sync.Mutex
	session  *yamux.Session
	lastUsed time.Time
}

// NewPool returns a pool without connections.
func NewPool(c PoolConfig) *Pool {
	if c.Dial == nil {
		c.Dial = DialTCP
	}
	if c.RevisionTracker == nil {
		c.RevisionTracker = NoRevision{}
	}
	return &Pool{config: c, peerConns: map[netip.AddrPort]*peerConn{}}
}

// Open returns a new stream to the peer at the address to. It connects if there is no open connection.
func (p *Pool) Open(ctx context.Context, to netip.AddrPort) (*Stream, error) {
	pc, err := p.peerConn(to)
	if err != nil {
		return nil, err
	}
	session, err := pc.connect(ctx, p.config, to)
	if err != nil {
		return nil, err
	}
	raw, err := session.OpenStream()
	if err == nil {
		return newStream(raw, p.config.RevisionTracker), nil
	}
	pc.closeSession(session)
	return nil, ConnectionLost.Wrap(err, "open stream to %s", to)
}

func (p *Pool) peerConn(to netip.AddrPort) (*peerConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, PoolClosed.New("connection pool is closed")
	}
	if p.partitioned {
		return nil, ConnectionLost.New("process is partitioned from its peers")
	}
	pc, ok := p.peerConns[to]
	if !ok {
		pc = &peerConn{}
		p.peerConns[to] = pc
	}
	return pc, nil
}

func (pc *peerConn) connect(ctx context.Context, c PoolConfig, to netip.AddrPort) (*yamux.Session, error) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	pc.lastUsed = time.Now()
	if pc.session != nil && !pc.session.IsClosed() {
		return pc.session, nil
	}
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	raw, err := c.Dial(ctx, to)
	if err != nil {
		return nil, ConnectionLost.Wrap(err, "connect to %s", to)
	}
	tlsConn := tls.Client(raw, c.Keys.tlsConfig())
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		raw.Close()
		return nil, ConnectionLost.Wrap(err, "TLS handshake with %s", to)
	}
	session, err := yamux.Client(&coalescingConn{Conn: tlsConn}, c.KeepAliveConfig.muxConfig())
	if err != nil {
		raw.Close()
		return nil, ConnectionLost.Wrap(err, "start multiplexing to %s", to)
	}
	pc.session = session
	return session, nil
}

func (pc *peerConn) closeSession(session *yamux.Session) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	session.Close()
	if pc.session == session {
		pc.session = nil
	}
}

// CloseConn closes the connection to a peer that did not respond in time. The next stream opens a new one.
func (p *Pool) CloseConn(to netip.AddrPort) {
	p.mu.Lock()
	pc, ok := p.peerConns[to]
	p.mu.Unlock()
	if !ok {
		return
	}
	pc.mu.Lock()
	defer pc.mu.Unlock()
	if pc.session != nil {
		pc.session.Close()
		pc.session = nil
	}
}

// CloseIdle closes connections that carry no stream and were last used more than the idle time before now.
func (p *Pool) CloseIdle(now time.Time) {
	if p.config.IdleTimeout <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for to, pc := range p.peerConns {
		pc.mu.Lock()
		idle := pc.session != nil && pc.session.NumStreams() == 0 && now.Sub(pc.lastUsed) > p.config.IdleTimeout
		if idle {
			pc.session.Close()
			delete(p.peerConns, to)
		}
		pc.mu.Unlock()
	}
}

// SetIsolated simulates a network partition: it closes all connections and makes Open fail until it
// is called with false.
func (p *Pool) SetIsolated(partitioned bool) {
	p.mu.Lock()
	p.partitioned = partitioned
	p.mu.Unlock()
	if partitioned {
		p.CloseConns()
	}
}

// CloseConns closes all connections, as a network fault would. Open makes new ones.
func (p *Pool) CloseConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pc := range p.peerConns {
		pc.mu.Lock()
		if pc.session != nil {
			pc.session.Close()
		}
		pc.mu.Unlock()
	}
}

// Close closes all connections. Open fails from then on.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, pc := range p.peerConns {
		pc.mu.Lock()
		if pc.session != nil {
			pc.session.Close()
		}
		pc.mu.Unlock()
	}
}
