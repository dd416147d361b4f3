package fake

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"
)

// CutEnds are the ways in which a CutServer ends a connection, by name.
var CutEnds = map[string]func(c *net.TCPConn){
	"closes": func(c *net.TCPConn) { c.Close() },
	"resets": func(c *net.TCPConn) {
		// An error would mean that the peer is gone already.
		_ = c.SetLinger(0)
		c.Close()
	},
	"closes its half": func(c *net.TCPConn) {
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
		c.Close()
	},
	"pauses, closes": func(c *net.TCPConn) {
		time.Sleep(20 * time.Millisecond)
		c.Close()
	},
}

// CutConfig constructs a CutServer.
type CutConfig struct {
	// Text is the beginning of a response that the server breaks off, and then ends the connection by End.
	Text string
	End  func(c *net.TCPConn)
	// Whole is the response to the requests before that on a connection, Before their number.
	Whole  string
	Before int
	// Unread makes the server break its response off before it has read the request's body.
	Unread bool
	// ID is the header whose value replaces {id} in Text and Whole; empty for none.
	ID string
}

// CutServer is an HTTP server that breaks off its responses.
type CutServer struct {
	// Addr is where it listens.
	Addr     netip.AddrPort
	config   CutConfig
	listener net.Listener
}

// NewCutServer starts a server on a loopback address.
func NewCutServer(c CutConfig) (*CutServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &CutServer{Addr: netip.MustParseAddrPort(l.Addr().String()), config: c, listener: l}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(conn.(*net.TCPConn))
		}
	}()
	return s, nil
}

// Close stops listening.
func (s *CutServer) Close() { s.listener.Close() }

func (s *CutServer) serve(c *net.TCPConn) {
	in := bufio.NewReader(c)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(in)
		if err == nil && !s.config.Unread {
			_, err = io.Copy(io.Discard, r.Body)
		}
		if err != nil {
			c.Close()
			return
		}
		text := s.config.Text
		if n < s.config.Before {
			text = s.config.Whole
		}
		// An error means that the client has left.
		_, _ = io.WriteString(c, strings.ReplaceAll(text, "{id}", r.Header.Get(s.config.ID)))
		if n == s.config.Before {
			s.config.End(c)
			return
		}
	}
}
