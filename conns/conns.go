// Package conns tracks the client connections of an HTTP server, so that no request is lost where one is closed.
//
// It owns the limits on connections, which may change while the server runs, and the way in which a server stops: what has begun
// to arrive is served.
package conns

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"egretshunt/board"
	"egretshunt/limit"
)

const (
	// maxHeaderBytes, maxHeaderTime and maxIdleTime are the limits set on the http.Server
	// itself. They are above any limit that settings may set, since those of a running server
	// can't be changed.
	maxHeaderBytes = 1 << 20
	maxHeaderTime  = 2 * time.Minute
	maxIdleTime    = time.Hour
	// minQuiet is how long a connection has been without a request when CloseIdle closes it: a client
	// may send the next one as soon as it has the response.
	minQuiet = 500 * time.Millisecond
)

// Conns tracks the client connections of a server. It enforces limits that may change while the server
// runs, and closes connections without losing requests: one that is read on a connection that it
// closes isn't served.
type Conns struct {
	limits   func() board.Limits
	draining atomic.Bool
	// finishing is set once connections are closed as soon as they are without a request.
	finishing atomic.Bool
	listener  *listener
	// budget counts the connections; nil counts nothing.
	budget *limit.Budget
	// open maps each open net.Conn of the server to its *conn.
	open sync.Map
}

// connKey is the context key of a client's net.Conn.
type connKey struct{}

// Track applies limits to the connections of a server that doesn't serve yet. The limits
// may change later, and none may be zero.
func Track(s *http.Server, limits func() board.Limits) *Conns {
	c := &Conns{limits: limits}
	s.ReadHeaderTimeout, s.IdleTimeout, s.MaxHeaderBytes = maxHeaderTime, maxIdleTime, maxHeaderBytes
	s.ConnState = c.trackState
	next := s.ConnContext
	s.ConnContext = func(ctx context.Context, raw net.Conn) context.Context {
		if next != nil {
			ctx = next(ctx, raw)
		}
		return context.WithValue(ctx, connKey{}, raw)
	}
	s.Handler = c.handler(s.Handler)
	return c
}

// Listener returns the listener that the server is to serve on, with which Conns also sees when a request begins to arrive. It is
// called once.
func (c *Conns) Listener(l net.Listener) net.Listener {
	if c.budget != nil {
		setBuffers(l)
	}
	c.listener = &listener{Listener: l, admit: c.admit, ended: make(chan struct{})}
	return c.listener
}

// StopAccepting closes the listener of a server that serves on it. When it returns, Conns knows all connections that were accepted.
func (c *Conns) StopAccepting() {
	// An error means that the listener is closed.
	_ = c.listener.Close()
	<-c.listener.ended
}

// Drain makes the responses that haven't begun yet end their connections.
func (c *Conns) Drain() { c.draining.Store(true) }

// Finish makes each connection end as soon as it is without a request: a further one could no longer be served to its end.
func (c *Conns) Finish() { c.finishing.Store(true) }

// quiet returns how long a connection must have been without a request to be closed.
func (c *Conns) quiet() time.Duration {
	if c.finishing.Load() {
		return 0
	}
	return minQuiet
}

// CloseIdle closes the connections that have been without a request for some time, and returns how many
// others are open.
func (c *Conns) CloseIdle(now time.Time) (open int) {
	quiet := c.quiet()
	c.open.Range(func(_, tracked any) bool {
		if !tracked.(*conn).closeIdle(now, quiet) {
			open++
		}
		return true
	})
	return open
}

// trackState sets or clears a connection's timeout as its state changes. A connection is active
// from when a request's headers are read until its response is complete.
func (c *Conns) trackState(raw net.Conn, state http.ConnState) {
	tracked := c.tracked(raw)
	switch state {
	case http.StateNew:
		tracked.await(c.headerTime, c.headerTime)
	case http.StateActive:
		tracked.begin()
	case http.StateIdle:
		tracked.await(c.idleTime, c.headerTime)
		if c.finishing.Load() {
			tracked.closeIdle(time.Now(), 0)
		}
	case http.StateClosed, http.StateHijacked:
		tracked.begin()
		tracked.release()
		c.open.Delete(raw)
	}
}

// tracked returns the state of a connection.
func (c *Conns) tracked(raw net.Conn) *conn {
	own, ok := raw.(*conn)
	if t, encrypted := raw.(interface{ NetConn() net.Conn }); encrypted && !ok {
		if own, ok = t.NetConn().(*conn); ok {
			own.setEncrypted()
		}
	}
	if !ok {
		own = c.newConn(raw)
	}
	known, _ := c.open.LoadOrStore(raw, own)
	return known.(*conn)
}

// handler rejects requests whose headers are too large, and drops those on connections that are closed.
func (c *Conns) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		raw, known := r.Context().Value(connKey{}).(net.Conn)
		if known && c.tracked(raw).isClosed() {
			panic(http.ErrAbortHandler)
		}
		w = &lastResponse{w, &c.draining}
		if known && c.budget != nil {
			r = c.tracked(raw).withHandlerBody(r)
		}
		if headerSize(r) > c.limits().Header {
			w.Header().Set("Connection", "close")
			http.Error(w, "the headers are too large", http.StatusRequestHeaderFieldsTooLarge)
			return
		}
		if known && !r.ProtoAtLeast(1, 1) {
			resetUnfinished(raw, next, w, r)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// lastResponse is a response that ends its connection if it begins while the server drains.
type lastResponse struct {
	http.ResponseWriter
	draining *atomic.Bool
}

// WriteHeader implements http.ResponseWriter.
func (l *lastResponse) WriteHeader(status int) {
	if l.draining.Load() {
		l.Header().Set("Connection", "close")
	}
	l.ResponseWriter.WriteHeader(status)
}

// Unwrap lets an http.ResponseController find the server's own writer.
func (l *lastResponse) Unwrap() http.ResponseWriter { return l.ResponseWriter }

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

func (c *Conns) headerTime() time.Duration { return c.limits().HeaderTimeout }
func (c *Conns) idleTime() time.Duration   { return c.limits().IdleTimeout }

// listener accepts the connections of one server.
type listener struct {
	net.Listener
	// admit returns the connection to serve; nil if it was closed.
	admit func(net.Conn) *conn
	// ended is closed once the server has learned that the listener accepts no more.
	ended chan struct{}
	once  sync.Once
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	for ; err == nil; raw, err = l.Listener.Accept() {
		if c := l.admit(raw); c != nil {
			return c, nil
		}
	}
	// net/http accepts again only after a temporary error.
	var temporary interface{ Temporary() bool }
	if !errors.As(err, &temporary) || !temporary.Temporary() {
		l.once.Do(func() { close(l.ended) })
	}
	return nil, err
}

// conn is one client connection and its timeout.
type conn struct {
	net.Conn
	owner *Conns
	// client is the address of the client under a budget.
	client netip.Addr
	// hold counts the connection, header its header beyond freeHeaderBytes; header is nil before.
	hold, header *limit.Hold

	// mu guards the fields below, and header.
	mu sync.Mutex
	// headerBytes is how much of a request was read before its header was complete. inBody is set while the rest of its body is awaited,
	// inWrite while a response is written, encrypted if the connection carries TLS.
	headerBytes                int
	inBody, inWrite, encrypted bool
	// handlerReads is set while the handler reads the request's body; its request has not run.
	handlerReads bool
	// responded is set once something of the response to the present request was written.
	responded bool
	// timer closes the connection on expiry. It is nil while a request is in progress.
	timer *time.Timer
	// since is when the connection began to wait for a request, heard when the first bytes of that request were read; zero before.
	since, heard time.Time
	// ahead is when the server read a byte of the next request within the present one; zero if it hasn't.
	ahead time.Time
	// closed is set once the connection was closed while it waited for a request.
	closed bool
}

// NetConn returns the connection itself.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	c.beginRead(p)
	n, err := c.Conn.Read(p)
	if ended := c.endRead(n); ended != nil {
		return 0, ended
	}
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case len(p) == 1:
		// net/http reads a single byte to learn of a client that leaves.
		c.ahead = time.Now()
	case c.heard.IsZero():
		c.heard = time.Now()
	}
	return n, err
}

// await closes the connection if no request arrives within a limit, or if one that began to arrive doesn't within headerTime. The
// limits are read again on expiry: the client may have received notice of longer ones meanwhile.
func (c *conn) await(limit, headerTime func() time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.timer != nil {
		c.timer.Stop()
	}
	c.since, c.heard = time.Now(), c.ahead
	c.awaitHeader()
	var timer *time.Timer
	timer = time.AfterFunc(limit(), func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.timer != timer {
			return
		}
		left := limit() - time.Since(c.since)
		if c.hasRequest() {
			if c.heard.IsZero() {
				c.heard = time.Now()
			}
			left = headerTime() - time.Since(c.heard)
		}
		if left > 0 {
			timer.Reset(left)
			return
		}
		c.close()
	})
	c.timer = timer
}

// begin stops the timeout while a request is in progress.
func (c *conn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
	c.ahead = time.Time{}
	c.responded = false
	c.hold.Wait(limit.Busy)
	if c.header != nil {
		c.header.Wait(limit.Busy)
	}
}

func (c *conn) setEncrypted() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.encrypted = true
}

// closeIdle closes the connection if it has been without a request for some time, and reports whether it is closed.
func (c *conn) closeIdle(now time.Time, quiet time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed && c.timer != nil && now.Sub(c.since) >= quiet && !c.hasRequest() {
		c.close()
	}
	return c.closed
}

// close closes the connection, on which no request is in progress. The caller holds mu.
func (c *conn) close() {
	c.closed = true
	c.Close()
}

func (c *conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// hasRequest reports whether a request has begun to arrive. The caller holds mu.
func (c *conn) hasRequest() bool { return !c.heard.IsZero() || hasInput(c.Conn) }

// hasInput reports whether bytes that haven't been read wait on a connection.
func hasInput(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	waiting := 0
	err = raw.Control(func(fd uintptr) {
		// An error leaves no bytes waiting.
		waiting, _ = unix.IoctlGetInt(int(fd), unix.SIOCINQ)
	})
	return err == nil && waiting > 0
}
