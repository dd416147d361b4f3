package wire

import (
	"errors"
	"net"
	"net/netip"
	"slices"
	"time"
)

const (
	// DefaultMaxHandshakes is the default of ServerConfig.MaxHandshakes. A handshake between two processes takes a few milliseconds.
	DefaultMaxHandshakes = 64
	// acceptRetryInterval is how long no connection is accepted after the system had no descriptor or memory for one.
	acceptRetryInterval = 20 * time.Millisecond
)

// handshakes are the connections whose peers haven't authenticated yet, the oldest first. It isn't safe for concurrent use.
type handshakes struct {
	most int
	open []net.Conn
}

// begin adds a connection. At the bound it closes one of the address with the most of them, the oldest: strangers that open many connections
// displace their own, and a peer's handshake ends before its turn comes.
func (h *handshakes) begin(c net.Conn) {
	h.open = append(h.open, c)
	if len(h.open) <= h.most {
		return
	}
	counts := map[netip.Addr]int{}
	for _, o := range h.open {
		counts[remoteAddr(o)]++
	}
	oldest := slices.MaxFunc(h.open, func(a, b net.Conn) int { return counts[remoteAddr(a)] - counts[remoteAddr(b)] })
	h.end(oldest)
	oldest.Close()
}

// end removes a connection whose handshake has ended.
func (h *handshakes) end(c net.Conn) {
	if i := slices.Index(h.open, c); i >= 0 {
		h.open = slices.Delete(h.open, i, i+1)
	}
}

// remoteAddr returns the address of a connection's peer; the zero address if it has none.
func remoteAddr(c net.Conn) netip.Addr {
	if a, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return a.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

func (s *Server) endHandshake(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handshakes.end(c)
}

// mayAcceptLater reports whether connections may be accepted again after an error, which it waits for a little.
func (s *Server) mayAcceptLater(err error) bool {
	if s.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
		return false
	}
	select {
	case <-time.After(acceptRetryInterval):
		return true
	case <-s.ctx.Done():
		return false
	}
}
