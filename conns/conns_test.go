package conns_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"egretshunt/board"
	"egretshunt/body"
	"egretshunt/check"
	"egretshunt/conns"
)

// limitedServer serves requests under limits that a test may change.
type limitedServer struct {
	addr   string
	limits atomic.Pointer[board.Limits]
	// delay is how long each response is held back.
	delay time.Duration
}

func serveLimited(t *testing.T, limits board.Limits, delay time.Duration) *limitedServer {
	t.Helper()
	b := &limitedServer{delay: delay}
	b.limits.Store(&limits)
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(b.delay)
		io.WriteString(w, "served")
	})}
	conns.Track(s, func() board.Limits { return *b.limits.Load() })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check.NoError(t, err)
	b.addr = l.Addr().String()
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	return b
}

// dial opens a connection whose reads time out instead of blocking the test.
func (b *limitedServer) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", b.addr)
	check.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	check.NoError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
	return c, bufio.NewReader(c)
}

// request sends one request and returns the status of its response.
func request(t *testing.T, c net.Conn, in *bufio.Reader, header string) int {
	t.Helper()
	_, err := fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: a\r\n%s\r\n", header)
	check.NoError(t, err)
	resp, err := http.ReadResponse(in, nil)
	check.NoError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	check.NoError(t, err)
	return resp.StatusCode
}

// checkClosed waits until the server has closed or reset the connection.
func checkClosed(t *testing.T, in *bufio.Reader) {
	t.Helper()
	_, err := in.ReadByte()
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the connection is still open: %v", err)
	}
}

func TestConnectionLimits(t *testing.T) {
	longLimits := board.Limits{Header: 1 << 10, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}
	const shortLimit = 50 * time.Millisecond
	t.Run("slow headers time out", func(t *testing.T) {
		limits := longLimits
		limits.HeaderTimeout = shortLimit
		c, in := serveLimited(t, limits, 0).dial(t)
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost:")
		check.NoError(t, err)
		checkClosed(t, in)
	})
	t.Run("a connection without a request times out", func(t *testing.T) {
		limits := longLimits
		limits.HeaderTimeout = shortLimit
		_, in := serveLimited(t, limits, 0).dial(t)
		checkClosed(t, in)
	})
	t.Run("a long response is not cut off by the header timeout", func(t *testing.T) {
		limits := longLimits
		limits.HeaderTimeout = time.Second
		c, in := serveLimited(t, limits, 3*limits.HeaderTimeout/2).dial(t)
		check.Equal(t, "status", request(t, c, in, ""), http.StatusOK)
	})
	t.Run("an idle connection times out by the current limit", func(t *testing.T) {
		b := serveLimited(t, longLimits, 0)
		c, in := b.dial(t)
		check.Equal(t, "status", request(t, c, in, ""), http.StatusOK)
		limits := longLimits
		limits.IdleTimeout = shortLimit
		b.limits.Store(&limits)
		check.Equal(t, "status of second request", request(t, c, in, ""), http.StatusOK)
		checkClosed(t, in)
	})
	t.Run("a connection is reused within the limit", func(t *testing.T) {
		limits := longLimits
		limits.IdleTimeout = 20 * shortLimit
		c, in := serveLimited(t, limits, 0).dial(t)
		for range 4 {
			check.Equal(t, "status", request(t, c, in, ""), http.StatusOK)
			time.Sleep(shortLimit)
		}
	})
	t.Run("an idle connection gets a limit that was raised meanwhile", func(t *testing.T) {
		limits := longLimits
		limits.IdleTimeout = 4 * shortLimit
		b := serveLimited(t, limits, 0)
		c, in := b.dial(t)
		check.Equal(t, "status", request(t, c, in, ""), http.StatusOK)
		b.limits.Store(&longLimits)
		time.Sleep(3 * limits.IdleTimeout)
		check.Equal(t, "status after previous limit", request(t, c, in, ""), http.StatusOK)
	})
	t.Run("headers that are too large are rejected", func(t *testing.T) {
		b := serveLimited(t, longLimits, 0)
		c, in := b.dial(t)
		check.Equal(t, "status within limit", request(t, c, in, "X-Note: "+strings.Repeat("x", 900)+"\r\n"), http.StatusOK)
		check.Equal(t, "status beyond limit", request(t, c, in, "X-Note: "+strings.Repeat("x", 1100)+"\r\n"), http.StatusRequestHeaderFieldsTooLarge)
	})
}

// serveTracked serves on a new listener whose connections are tracked, with limits that aren't reached, and returns a connection to it.
func serveTracked(t *testing.T, s *http.Server) (tracked *conns.Conns, client net.Conn, in *bufio.Reader) {
	t.Helper()
	tracked = conns.Track(s, func() board.Limits {
		return board.Limits{Header: 1 << 10, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check.NoError(t, err)
	body.Serve(s, tracked.Listener(l))
	t.Cleanup(func() { s.Close() })
	client, err = net.Dial("tcp", l.Addr().String())
	check.NoError(t, err)
	t.Cleanup(func() { client.Close() })
	check.NoError(t, client.SetReadDeadline(time.Now().Add(10*time.Second)))
	return tracked, client, bufio.NewReader(client)
}

// TestClosingIdleConnsDropsRequests guards against requests lost where a server that stops closes connections by their state: a
// request may have begun to arrive.
func TestClosingIdleConnsDropsRequests(t *testing.T) {
	const half, rest = "GET / HTTP/1.1\r\nHo", "st: a\r\n\r\n"
	for name, c := range map[string]struct {
		// kept connections have had a response.
		kept   bool
		sent   string
		status int
	}{
		"kept, nothing sent":          {true, "", 0},
		"kept, half a request":        {true, half, http.StatusOK},
		"new, nothing sent":           {false, "", 0},
		"new, half a request":         {false, half, http.StatusOK},
		"new, a byte of the request":  {false, half[:1], http.StatusOK},
		"kept, a byte of the request": {true, half[:1], http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })}
			tracked, client, in := serveTracked(t, s)
			if c.kept {
				check.Equal(t, "status before", request(t, client, in, ""), http.StatusOK)
			}
			_, err := io.WriteString(client, c.sent)
			check.NoError(t, err)
			check.Eventually(t, "the connection is known", func() bool { return tracked.CloseIdle(time.Time{}) == 1 })
			tracked.Drain()
			tracked.StopAccepting()
			// Bytes that are on their way are lost by any close.
			time.Sleep(100 * time.Millisecond)
			later := time.Now().Add(time.Minute)
			if c.status == 0 {
				check.Eventually(t, "it is closed", func() bool { return tracked.CloseIdle(later) == 0 })
				checkClosed(t, in)
				return
			}
			check.Equal(t, "open after a quiet time", tracked.CloseIdle(later), 1)
			_, err = io.WriteString(client, half[len(c.sent):]+rest)
			check.NoError(t, err)
			r, err := http.ReadResponse(in, nil)
			check.NoError(t, err)
			check.Equal(t, "status and end of the connection", []any{r.StatusCode, r.Close}, []any{c.status, true})
			check.Eventually(t, "no connection is open", func() bool { return tracked.CloseIdle(time.Now()) == 0 })
		})
	}
}

// lateListener accepts connections on which one more request has been read when they are closed.
type lateListener struct {
	net.Listener
	request string
}

func (l *lateListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &lateConn{Conn: c, request: l.request}, err
}

type lateConn struct {
	net.Conn
	request string
	sent    atomic.Bool
}

func (c *lateConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, net.ErrClosed) && c.sent.CompareAndSwap(false, true) {
		return copy(p, c.request), nil
	}
	return n, err
}

// TestRequestOnClosedConnIsServed guards against requests that were run although the timer of an idle connection, or of a new one, had
// closed their connection while they were read.
func TestRequestOnClosedConnIsServed(t *testing.T) {
	const shortLimit = 50 * time.Millisecond
	for name, c := range map[string]struct {
		limits board.Limits
		first  bool
	}{
		"kept": {board.Limits{Header: 1 << 10, HeaderTimeout: time.Minute, IdleTimeout: shortLimit}, true},
		"new":  {board.Limits{Header: 1 << 10, HeaderTimeout: shortLimit, IdleTimeout: time.Minute}, false},
	} {
		t.Run(name, func(t *testing.T) {
			var late atomic.Int64
			served := make(chan struct{}, 1)
			s := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/late" {
					late.Add(1)
				}
			})}
			conns.Track(s, func() board.Limits { return c.limits })
			track := s.ConnState
			s.ConnState = func(raw net.Conn, state http.ConnState) {
				track(raw, state)
				if state == http.StateClosed {
					served <- struct{}{}
				}
			}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			check.NoError(t, err)
			go s.Serve(&lateListener{l, "GET /late HTTP/1.1\r\nHost: a\r\n\r\n"})
			t.Cleanup(func() { s.Close() })
			conn, err := net.Dial("tcp", l.Addr().String())
			check.NoError(t, err)
			defer conn.Close()
			if c.first {
				check.Equal(t, "status", request(t, conn, bufio.NewReader(conn), ""), http.StatusOK)
			}
			<-served
			check.Equal(t, "requests served on a closed connection", late.Load(), int64(0))
		})
	}
}

// scriptedListener is a listener whose Accept returns what a test says.
type scriptedListener struct {
	net.Listener
	accepted chan net.Conn
	err      error
	closed   func()
}

func (l *scriptedListener) Accept() (net.Conn, error) {
	if c, ok := <-l.accepted; ok {
		return c, nil
	}
	return nil, l.err
}

func (l *scriptedListener) Close() error {
	l.closed()
	return nil
}

// checkEnds checks that f returns.
func checkEnds(t *testing.T, what string, f func()) {
	t.Helper()
	ended := make(chan struct{})
	go func() {
		f()
		close(ended)
	}()
	check.Eventually(t, what, func() bool {
		select {
		case <-ended:
			return true
		default:
			return false
		}
	})
}

// TestServerCloseHangs guards against a server whose Close waited, with the server's lock held, for its listener, and that for the
// server to take in the last connection.
func TestServerCloseHangs(t *testing.T) {
	client, last := net.Pipe()
	defer client.Close()
	s := &http.Server{Handler: http.NotFoundHandler()}
	tracked := conns.Track(s, func() board.Limits {
		return board.Limits{Header: 1 << 10, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}
	})
	accepted := make(chan net.Conn, 1)
	body.Serve(s, tracked.Listener(&scriptedListener{accepted: accepted, err: net.ErrClosed, closed: sync.OnceFunc(func() {
		accepted <- last
		close(accepted)
	})}))
	checkEnds(t, "the server is closed", func() { s.Close() })
}

// TestStopHangsAfterAcceptFails guards against a stop that waited for a server that had ended because its listener failed.
func TestStopHangsAfterAcceptFails(t *testing.T) {
	s := &http.Server{Handler: http.NotFoundHandler()}
	tracked := conns.Track(s, func() board.Limits { return board.Limits{} })
	accepted := make(chan net.Conn)
	close(accepted)
	body.Serve(s, tracked.Listener(&scriptedListener{accepted: accepted, err: errors.New("no buffers"), closed: func() {}}))
	checkEnds(t, "no connection is accepted", tracked.StopAccepting)
}

// TestRequestLongAfterStopIsServed: on a connection whose response had begun before the stop, a stopping server took the next request, however
// late, and gave it up at the end of its grace.
func TestRequestLongAfterStopIsServed(t *testing.T) {
	for name, finish := range map[string]bool{"soon after": false, "later": true} {
		t.Run(name, func(t *testing.T) {
			begun, release, served := make(chan struct{}, 2), make(chan struct{}), 0
			s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				served++
				w.Header().Set("Content-Length", "1")
				check.NoError(t, http.NewResponseController(w).Flush())
				begun <- struct{}{}
				<-release
				_, _ = io.WriteString(w, "a")
			})}
			tracked, client, in := serveTracked(t, s)
			const text = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
			_, err := io.WriteString(client, text)
			check.NoError(t, err)
			<-begun
			tracked.Drain()
			tracked.StopAccepting()
			if finish {
				tracked.Finish()
			}
			close(release)
			r, err := http.ReadResponse(in, nil)
			check.NoError(t, err)
			_, err = io.ReadAll(r.Body)
			check.NoError(t, err)
			if finish {
				check.Eventually(t, "the connection is closed", func() bool { return tracked.CloseIdle(time.Time{}) == 0 })
			}
			// It may be on its way when the connection is closed.
			_, _ = io.WriteString(client, text)
			r, err = http.ReadResponse(in, nil)
			check.Equal(t, "answered", err == nil, !finish)
			if err == nil {
				_, err = io.ReadAll(r.Body)
				check.NoError(t, err)
			}
			check.NoError(t, s.Close())
			check.Equal(t, "served", served, map[bool]int{false: 2, true: 1}[finish])
		})
	}
}
