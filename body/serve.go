package body

import (
	"context"
	"net"
	"net/http"
)

// Serve serves s on l in the background. It returns once s owns l, so that s.Close and s.Shutdown close it.
func Serve(s *http.Server, l net.Listener) {
	owned := make(chan struct{})
	// net/http calls BaseContext after it has taken the listener.
	s.BaseContext = func(net.Listener) context.Context {
		close(owned)
		return context.Background()
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		// It ends with an error only once s is closed, or if s can't serve at all.
		_ = s.Serve(l)
	}()
	select {
	case <-owned:
	case <-ended:
	}
}

// untilClose is the value of Transfer-Encoding by which net/http sends a body without chunks and closes its
// connection afterwards.
const untilClose = "identity"

// SetUntilClose makes a response that hasn't begun end with its connection alone, so that its end shows no
// more than that of the response that it passes on.
func SetUntilClose(h http.Header) {
	h.Del("Content-Length")
	h.Set("Transfer-Encoding", untilClose)
}

// ShowsEnd reports whether the end of a response with these headers shows to an HTTP/1.1 client that it is
// complete.
func ShowsEnd(h http.Header) bool { return h.Get("Transfer-Encoding") != untilClose }

// ResetAborted returns a handler that resets the connection of each response that next aborts by a panic, such as
// http.ErrAbortHandler, and whose end would otherwise be that of its connection: closed as usual, it would look
// complete.
func ResetAborted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		aborted := true
		defer func() {
			counted := w.Header().Get("Content-Length") != "" || r.ProtoAtLeast(1, 1) && ShowsEnd(w.Header())
			if aborted && !counted {
				reset(w)
			}
		}()
		next.ServeHTTP(w, r)
		aborted = false
	})
}

// reset resets the connection of a response.
func reset(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		// net/http closes the connection.
		return
	}
	for {
		// A connection under TLS may be wrapped itself.
		outer, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		c = outer.NetConn()
	}
	if l, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		// Closing with a linger time of zero sends a reset; should it fail, the connection is closed all the same.
		_ = l.SetLinger(0)
	}
	c.Close()
}
