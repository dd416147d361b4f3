package pass_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"egretshunt/board"
	"egretshunt/check"
	"egretshunt/ctrl"
	"egretshunt/pass"
)

// TestPanicEndsRequestWithoutAnswer guards against requests whose handler panicked: their connection was closed without an answer.
func TestPanicEndsRequestWithoutAnswer(t *testing.T) {
	for name, respond := range map[string]func(*pass.Send) (*pass.Reply, error){
		"in the backend": func(*pass.Send) (*pass.Reply, error) { panic("an index out of range") },
		"a status that net/http rejects": func(s *pass.Send) (*pass.Reply, error) {
			r, err := respondWith(200, "ok")(s)
			r.Status = 99
			return r, err
		},
	} {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t, respond)
			status, _, end := readResponse(t, fx.serveHTTP(t), "1.1", "/once/x")
			check.Equal(t, "status", status, http.StatusBadGateway)
			check.Equal(t, "end", end, endCounted)
		})
	}
	t.Run("before a request is sent", func(t *testing.T) {
		fx := newFixture(t, respondWith(200, "ok"))
		fx.feed.viewFunc = func() *ctrl.View { panic("an index out of range") }
		status, _, end := readResponse(t, fx.serveHTTP(t), "1.1", "/once/x")
		check.Equal(t, "status", status, http.StatusServiceUnavailable)
		check.Equal(t, "end", end, endCounted)
	})
	t.Run("within a response", func(t *testing.T) {
		fx := newFixture(t, func(*pass.Send) (*pass.Reply, error) {
			return &pass.Reply{Status: 200, Sealed: true, Header: http.Header{}, Body: &panickingBody{strings.NewReader(eventA)}}, nil
		})
		status, body, end := readResponse(t, fx.serveHTTP(t), "1.1", "/stream/x")
		check.Equal(t, "response", []any{status, body, end}, []any{http.StatusOK, eventA, endCut})
	})
}

// panickingBody panics after its content.
type panickingBody struct{ content *strings.Reader }

func (b *panickingBody) Read(p []byte) (int, error) {
	if b.content.Len() == 0 {
		panic("an index out of range")
	}
	return b.content.Read(p)
}

func (b *panickingBody) Close() error { return nil }

// TestEmptyResponseToClosedClient guards against empty responses with status 200 that no endpoint had sent, to clients that had
// closed their half of the connection.
func TestEmptyResponseToClosedClient(t *testing.T) {
	left := make(chan struct{})
	fx := newFixture(t, func(*pass.Send) (*pass.Reply, error) {
		<-left
		return lost(nil)
	})
	at := fx.serveHTTPWith(t, func(r *http.Request) {
		go func() {
			<-r.Context().Done()
			close(left)
		}()
	})
	c, err := net.Dial("tcp", at)
	check.NoError(t, err)
	defer c.Close()
	check.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = fmt.Fprintf(c, "POST /once/x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
	check.NoError(t, err)
	check.NoError(t, c.(*net.TCPConn).CloseWrite())
	_, err = http.ReadResponse(bufio.NewReader(c), nil)
	check.Equal(t, "no response", errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF), true)
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
			pass.LimitConns(s, func() board.Limits { return c.limits })
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
