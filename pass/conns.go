package pass

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"egretshunt/board"
)

const (
	// mostHeader, mostHeaderTime and mostIdle are what the server itself allows, in bytes and time:
	// above any limit an operator may name, since a running server's own can't be changed.
	mostHeader     = 1 << 20
	mostHeaderTime = 2 * time.Minute
	mostIdle       = time.Hour
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
	// expiry is nil while a request is under way.
	expiry *time.Timer
}

type connKey struct{}

// BoundConns holds the connections of a server that doesn't serve yet to limits, which may change
// later and must name a value for each bound.
func BoundConns(s *http.Server, limits func() board.Limits) {
	c := &conns{limits: limits}
	s.ReadHeaderTimeout, s.IdleTimeout, s.MaxHeaderBytes = mostHeaderTime, mostIdle, mostHeader
	s.ConnContext, s.ConnState = c.attach, c.follow
	s.Handler = c.guard(s.Handler)
}

func (c *conns) attach(ctx context.Context, raw net.Conn) context.Context {
	to := &conn{raw: raw}
	c.open.Store(raw, to)
	to.allow(c.headerTime)
	return context.WithValue(ctx, connKey{}, to)
}

// follow gives each connection its time as its state changes.
func (c *conns) follow(raw net.Conn, state http.ConnState) {
	v, ok := c.open.Load(raw)
	if !ok {
		return
	}
	to := v.(*conn)
	switch state {
	case http.StateActive:
		to.allow(c.headerTime)
	case http.StateIdle:
		to.allow(c.idling)
	case http.StateClosed, http.StateHijacked:
		to.release()
		c.open.Delete(raw)
	}
}

// guard ends the time for headers once they are read, and refuses those that are too large.
func (c *conns) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if to, ok := r.Context().Value(connKey{}).(*conn); ok {
			to.release()
		}
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
func (c *conns) idling() time.Duration     { return c.limits().Idling }

// allow closes the connection after a limit unless it is given another time before. The limit is
// looked up again at the end: the caller may have heard of a longer one meanwhile.
func (c *conn) allow(limit func() time.Duration) {
	from := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.expiry != nil {
		c.expiry.Stop()
	}
	var expiry *time.Timer
	expiry = time.AfterFunc(limit(), func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.expiry != expiry {
			return
		}
		if left := limit() - time.Since(from); left > 0 {
			expiry.Reset(left)
			return
		}
		c.raw.Close()
	})
	c.expiry = expiry
}

// release ends the time; a request is under way.
func (c *conn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.expiry != nil {
		c.expiry.Stop()
		c.expiry = nil
	}
}
