package pass

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"egretshunt/board"
	"egretshunt/body"
)

const (
	// maxHeaderBytes, maxHeaderTime and maxIdleTime are the limits set on the http.Server
	// itself. They are above any limit that settings may set, since those of a running server
	// can't be changed.
	maxHeaderBytes = 1 << 20
	maxHeaderTime  = 2 * time.Minute
	maxIdleTime    = time.Hour
)

// conns enforces limits on client connections that may change while the server runs.
type conns struct {
	limits func() board.Limits
	// open maps each open net.Conn to its *conn.
	open sync.Map
}

// conn is one client connection and its timeout.
type conn struct {
	raw net.Conn

	// mu guards the fields below.
	mu sync.Mutex
	// timer closes the connection on expiry. It is nil while a request is in progress.
	timer *time.Timer
	// closed is set once the timeout has closed the connection.
	closed bool
}

// connKey is the context key of a client's net.Conn.
type connKey struct{}

// LimitConns applies limits to the connections of a server that doesn't serve yet. The limits
// may change later, and none may be zero.
func LimitConns(s *http.Server, limits func() board.Limits) {
	c := &conns{limits: limits}
	s.ReadHeaderTimeout, s.IdleTimeout, s.MaxHeaderBytes = maxHeaderTime, maxIdleTime, maxHeaderBytes
	s.ConnState = c.trackState
	next := s.ConnContext
	s.ConnContext = func(ctx context.Context, raw net.Conn) context.Context {
		if next != nil {
			ctx = next(ctx, raw)
		}
		return context.WithValue(ctx, connKey{}, raw)
	}
	s.Handler = body.ResetAborted(c.handler(s.Handler))
}

// trackState sets or clears a connection's timeout as its state changes. A connection is active
// from when a request's headers are read until its response is complete.
func (c *conns) trackState(raw net.Conn, state http.ConnState) {
	tracked := c.tracked(raw)
	switch state {
	case http.StateNew:
		tracked.setTimeout(c.headerTime)
	case http.StateActive:
		tracked.clearTimeout()
	case http.StateIdle:
		tracked.setTimeout(c.idleTime)
	case http.StateClosed, http.StateHijacked:
		tracked.clearTimeout()
		c.open.Delete(raw)
	}
}

// tracked returns the state of a connection.
func (c *conns) tracked(raw net.Conn) *conn {
	known, _ := c.open.LoadOrStore(raw, &conn{raw: raw})
	return known.(*conn)
}

// handler rejects requests whose headers are too large, and drops those on connections that are closed.
func (c *conns) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if raw, ok := r.Context().Value(connKey{}).(net.Conn); ok && c.tracked(raw).isClosed() {
			panic(http.ErrAbortHandler)
		}
		if headerSize(r) > c.limits().Header {
			w.Header().Set("Connection", "close")
			http.Error(w, "the headers are too large", http.StatusRequestHeaderFieldsTooLarge)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// headerSize returns the size of a request before its body as sent, in bytes.
func headerSize(r *http.Request) int64 {
	const lineEnds, separator = 2, 2
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + lineEnds + separator
	n += len("Host") + separator + len(r.Host) + lineEnds
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + separator + len(v) + lineEnds
		}
	}
	return int64(n + lineEnds)
}

func (c *conns) headerTime() time.Duration { return c.limits().HeaderTimeout }
func (c *conns) idleTime() time.Duration   { return c.limits().IdleTimeout }

// setTimeout closes the connection after a limit unless the timeout is set again or cleared
// before. The limit is read again on expiry: the client may have received notice of a longer one
// meanwhile.
func (c *conn) setTimeout(limit func() time.Duration) {
	start := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.timer != nil {
		c.timer.Stop()
	}
	var timer *time.Timer
	timer = time.AfterFunc(limit(), func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.timer != timer {
			return
		}
		if left := limit() - time.Since(start); left > 0 {
			timer.Reset(left)
			return
		}
		c.closed = true
		c.raw.Close()
	})
	c.timer = timer
}

// clearTimeout stops the timeout while a request is in progress.
func (c *conn) clearTimeout() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
}

func (c *conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}
