package agent

import (
	"context"
	"errors"
	"io"
	"net"

	"egretshunt/heads"
	"egretshunt/socket"
)

// endpointConn is a connection that carries one call. It refuses heads that break the grammar of HTTP, and reports the end of the connection as an error
// unless the endpoint has the whole request: net/http does neither.
type endpointConn struct {
	net.Conn
	heads   heads.Scanner
	request *requestWrite
}

// bodyBytesKey is the context key for the length of a call's body, in bytes.
type bodyBytesKey struct{}

// withBodyBytes adds the length of a call's body to the context with which its connection is made.
func withBodyBytes(ctx context.Context, n int64) context.Context {
	return context.WithValue(ctx, bodyBytesKey{}, n)
}

// dialEndpoint connects to an endpoint; it is an http.Transport's DialContext.
func dialEndpoint(ctx context.Context, network, addr string) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	bodyBytes, _ := ctx.Value(bodyBytesKey{}).(int64)
	return &endpointConn{Conn: c, request: newRequestWrite(bodyBytes)}, nil
}

// Read implements net.Conn. An error of type heads.Malformed means that the response can't be trusted, one of type Interrupted that the connection ended
// before the endpoint had the request.
func (c *endpointConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if failed := c.heads.Scan(p[:n]); failed != nil {
		return 0, failed
	}
	// Before the end of the head there is no response that could be taken for complete.
	if errors.Is(err, io.EOF) && c.heads.Ended() {
		if failed := socket.AwaitDelivery(c.Conn, c.request.result, endProofTime); failed != nil {
			return n, Interrupted.Wrap(failed, "the endpoint ended its response before it had the whole request")
		}
	}
	return n, err
}

// Write implements net.Conn. Once the peer has ended the connection it discards what it is given: net/http closes the connection when a write fails,
// and a response that came before may be whole. The reader learns of the end.
func (c *endpointConn) Write(p []byte) (int, error) {
	if c.request.failed {
		return len(p), nil
	}
	n, err := c.Conn.Write(p)
	c.request.add(p[:n], err)
	if err != nil && !errors.Is(err, net.ErrClosed) {
		return len(p), nil
	}
	return n, err
}

// headEnd ends the head of a request.
const headEnd = "\r\n\r\n"

// requestWrite follows the write of one request. net/http doesn't tell when the last byte has left its buffer.
type requestWrite struct {
	// matched is how much of headEnd was written last, left how much of the body is to be written behind the head.
	matched int
	left    int64
	// result gets the result of the write once that is over; failed is set if it is an error.
	result       chan error
	over, failed bool
}

func newRequestWrite(bodyBytes int64) *requestWrite {
	return &requestWrite{left: bodyBytes, result: make(chan error, 1)}
}

// add records a write to the connection. Writes don't overlap.
func (w *requestWrite) add(p []byte, err error) {
	for w.matched < len(headEnd) && len(p) > 0 {
		switch p[0] {
		case headEnd[w.matched]:
			w.matched++
		case headEnd[0]:
			w.matched = 1
		default:
			w.matched = 0
		}
		p = p[1:]
	}
	w.left -= int64(len(p))
	if !w.over && (err != nil || w.matched == len(headEnd) && w.left <= 0) {
		w.over, w.failed = true, err != nil
		w.result <- err
	}
}
