package conns

import (
	"net"
	"net/http"
)

// minUncounted is the size above which net/http no longer counts a response by itself, in bytes.
const minUncounted = 2048

// countedResponse counts the bytes of a response.
type countedResponse struct {
	http.ResponseWriter
	bytes int
}

// Write implements http.ResponseWriter.
func (c *countedResponse) Write(p []byte) (int, error) {
	n, err := c.ResponseWriter.Write(p)
	c.bytes += n
	return n, err
}

// Unwrap lets an http.ResponseController find the server's own writer.
func (c *countedResponse) Unwrap() http.ResponseWriter { return c.ResponseWriter }

// resetUnfinished serves a request of an HTTP/1.0 client. Such a client knows no chunks, so that the end of a response without a length
// is that of its connection: until the response is complete, whatever closes the connection resets it, the kernel included when
// the process ends.
func resetUnfinished(raw net.Conn, next http.Handler, w http.ResponseWriter, r *http.Request) {
	counted := &countedResponse{ResponseWriter: w}
	setLinger(raw, 0)
	// After a panic the connection is still to be reset.
	next.ServeHTTP(counted, r)
	if counted.bytes > minUncounted && w.Header().Get("Content-Length") == "" {
		// An error means that the connection is broken, and nothing is left to protect.
		_ = http.NewResponseController(w).Flush()
	}
	setLinger(raw, -1)
}

// setLinger sets for how many seconds the kernel goes on sending once the connection is closed: with zero it resets it, below zero
// it closes it in the background.
func setLinger(c net.Conn, seconds int) {
	for {
		// A connection under TLS may be wrapped itself.
		outer, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		c = outer.NetConn()
	}
	if tcp, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		// It fails only on a connection that has ended.
		_ = tcp.SetLinger(seconds)
	}
}
