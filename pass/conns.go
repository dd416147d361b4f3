package pass

import (
	"net"
	"net/http"
	"sync"
	"time"

	"egretshunt/board"
)

const (
	// mostHeader, mostHeaderTime and mostIdle are what the server itself allows, in bytes and time:
	// above any limit an operator may name, since a running server's own can't be changed.
	maxHeaderBytes = 1 << 20
	maxHeaderTime  = 2 * time.Minute
	maxIdleTime    = time.Hour
)

// conns holds callers' connections to limits that change while the server runs.
type conns struct {
	limits func() board.Limits
	// open holds a *conn for each net.Conn.
	open sync.Map
}

// conn is one caller's connection and the time it has left.
type conn struct {
	raw net.Conn

	// mu guards expiry.
	mu sync.Mutex
	// timer is nil while a request is under way.
	timer *time.Timer
}

// BoundConns holds the connections of a server that doesn't serve yet to limits, which may change
// later and must name a value for each bound.
func BoundConns(s *http.Server, limits func() board.Limits) {
	c := &conns{limits: limits}
	s.ReadHeaderTimeout, s.IdleTimeout, s.MaxHeaderBytes = maxHeaderTime, maxIdleTime, maxHeaderBytes
	s.ConnState = c.trackState
	s.Handler = c.limitHeaderSize(s.Handler)
}

// trackState gives each connection its time as its state changes. A connection is active from when a
// request's headers are read until its answer is whole.
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

// limitHeaderSize refuses headers that are too large.
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

// headerSize returns the bytes of a request before its body, as sent.
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

func (c *conns) headerTime() time.Duration { return c.limits().HeaderTime }
func (c *conns) idleTime() time.Duration   { return c.limits().Idling }

// setTimeout closes the connection after a limit unless it is given another time before. The limit is
// looked up again at the end: the caller may have heard of a longer one meanwhile.
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

// clearTimeout ends the time; a request is under way.
func (c *conn) clearTimeout() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
}
