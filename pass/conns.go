package pass

import (
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

	// mu guards timer.
	mu sync.Mutex
	// timer closes the connection on expiry. It is nil while a request is in progress.
	timer *time.Timer
}

// LimitConns applies limits to the connections of a server that doesn't serve yet. The limits
// may change later, and none may be zero.
func LimitConns(s *http.Server, limits func() board.Limits) {
	c := &conns{limits: limits}
	s.ReadHeaderTimeout, s.IdleTimeout, s.MaxHeaderBytes = maxHeaderTime, maxIdleTime, maxHeaderBytes
	s.ConnState = c.trackState
	s.Handler = body.ResetAborted(c.limitHeaderSize(s.Handler))
}

// trackState sets or clears a connection's timeout as its state changes. A connection is active
// from when a request's headers are read until its response is complete.
func (c *conns) trackState(raw net.Conn, state http.ConnState) {
	entry, _ := c.open.LoadOrStore(raw, &conn{raw: raw})
	tracked := entry.(*conn)
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

// limitHeaderSize rejects requests whose headers are too large.
func (c *conns) limitHeaderSize(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
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
