package conns_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"egretshunt/board"
	"egretshunt/check"
	"egretshunt/conns"
	"egretshunt/limit"
)

// boundServer reads requests' bodies and responds under a budget.
type boundServer struct {
	limitedServer
	budget *limit.Budget
}

func serveBound(t *testing.T, c limit.BudgetConfig) *boundServer {
	t.Helper()
	b := &boundServer{budget: limit.NewBudget(c)}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/ignore" {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			panic(http.ErrAbortHandler)
		}
		block := make([]byte, 64<<10)
		for range 64 {
			if _, err := w.Write(block); err != nil || r.URL.Path != "/long" {
				return
			}
		}
	})}
	tracked := conns.Track(s, func() board.Limits {
		return board.Limits{Header: 8 << 10, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}
	})
	tracked.Bound(b.budget)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check.NoError(t, err)
	b.addr = l.Addr().String()
	go s.Serve(tracked.Listener(l))
	t.Cleanup(func() { s.Close() })
	return b
}

// TestBoundClosesOthers guards against a server whose connections are all taken by clients that send and read nothing: an ordinary request takes the place
// of one of them.
func TestBoundClosesOthers(t *testing.T) {
	for name, c := range map[string]struct {
		send   string
		stage  limit.Stage
		answer int
	}{
		"nothing sent":      {"", limit.Idle, 0},
		"incomplete header": {"GET / HTTP/1.1\r\nHost:", limit.InHeader, 0},
		"incomplete body":   {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nx", limit.InBody, http.StatusRequestTimeout},
		"unread response":   {"GET /long HTTP/1.1\r\nHost: a\r\n\r\n", limit.Unread, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := serveBound(t, limit.BudgetConfig{Conns: 2, ClientConns: 2})
			var silent []*bufio.Reader
			// open sends a text on a new connection, which the server may reset.
			open := func(text string) (net.Conn, *bufio.Reader) {
				conn, err := net.Dial("tcp", b.addr)
				if err != nil {
					return nil, nil
				}
				if _, err = io.WriteString(conn, text); err != nil {
					conn.Close()
					return nil, nil
				}
				return conn, bufio.NewReader(conn)
			}
			check.Eventually(t, "an ordinary request is answered in the place of a silent client", func() bool {
				if b.budget.Stats().Conns < 2 {
					if conn, in := open(c.send); conn != nil {
						defer t.Cleanup(func() { conn.Close() })
						silent = append(silent, in)
					}
					return false
				}
				conn, in := open("GET / HTTP/1.1\r\nHost: a\r\n\r\n")
				if conn == nil {
					return false
				}
				defer conn.Close()
				got, err := http.ReadResponse(in, nil)
				return err == nil && got.StatusCode == http.StatusOK && b.budget.Stats().Aborted[c.stage] > 0
			})
			if c.answer == 0 {
				return
			}
			// The server keeps the connections of the others open.
			statuses := make(chan int, len(silent))
			for _, in := range silent {
				go func() {
					if got, err := http.ReadResponse(in, nil); err == nil {
						statuses <- got.StatusCode
					}
				}()
			}
			check.Eventually(t, fmt.Sprint("one of them gets status ", c.answer), func() bool {
				select {
				case got := <-statuses:
					return got == c.answer
				default:
					return false
				}
			})
		})
	}
}

// TestBoundAnswersNoneThatRan guards against a 408, which says that the request hasn't run, for one whose handler has ended without reading its body.
func TestBoundAnswersNoneThatRan(t *testing.T) {
	t.Parallel()
	b := serveBound(t, limit.BudgetConfig{Conns: 1, ClientConns: 1})
	silent, in := b.dial(t)
	_, err := io.WriteString(silent, "POST /ignore HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nx")
	check.NoError(t, err)
	check.Eventually(t, "its connection is closed for others", func() bool {
		if conn, err := net.Dial("tcp", b.addr); err == nil {
			defer conn.Close()
		}
		return b.budget.Stats().Aborted[limit.InBody] > 0
	})
	got, err := http.ReadResponse(in, nil)
	check.Equal(t, fmt.Sprint("a response: ", got), err == nil, false)
}

// TestBoundKeepsRequests guards against a connection that is closed for others though its request was read.
func TestBoundKeepsRequests(t *testing.T) {
	release := make(chan struct{})
	budget := limit.NewBudget(limit.BudgetConfig{Conns: 1, ClientConns: 1})
	began := make(chan struct{})
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(began)
		<-release
		io.WriteString(w, "served")
	})}
	tracked := conns.Track(s, func() board.Limits {
		return board.Limits{Header: 8 << 10, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}
	})
	tracked.Bound(budget)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check.NoError(t, err)
	go s.Serve(tracked.Listener(l))
	t.Cleanup(func() { s.Close() })
	b := limitedServer{addr: l.Addr().String()}
	c, in := b.dial(t)
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	check.NoError(t, err)
	<-began
	if other, err := net.Dial("tcp", b.addr); err == nil {
		checkClosed(t, bufio.NewReader(other))
		other.Close()
	}
	close(release)
	got, err := http.ReadResponse(in, nil)
	check.NoError(t, err)
	check.Equal(t, "status", got.StatusCode, http.StatusOK)
}

// TestBoundOfHeaders guards against headers that are read far beyond their limit, or for which there is no memory.
func TestBoundOfHeaders(t *testing.T) {
	block := strings.Repeat("A: b\r\n", 100)
	for name, c := range map[string]struct {
		small  int64
		large  int64
		bytes  int
		status int
	}{
		"over the limit":            {1 << 20, 1, 9 << 10, http.StatusRequestHeaderFieldsTooLarge},
		"far over the limit":        {1 << 20, 1, 256 << 10, http.StatusRequestHeaderFieldsTooLarge},
		"no memory":                 {1, 1, 7 << 10, http.StatusServiceUnavailable},
		"no memory for its address": {1, 16 << 10, 7 << 10, http.StatusServiceUnavailable},
		"within the limit":          {1 << 20, 1, 7 << 10, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			b := serveBound(t, limit.BudgetConfig{Small: c.small, Large: c.large})
			conn, in := b.dial(t)
			go func() {
				// The server closes the connection before it has read everything.
				_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n"+strings.Repeat(block, c.bytes/len(block))+"\r\n")
			}()
			got, err := http.ReadResponse(in, nil)
			check.NoError(t, err)
			check.Equal(t, "status", got.StatusCode, c.status)
			conn.Close()
			check.Eventually(t, "nothing is held in the end", func() bool { s := b.budget.Stats(); return s.Conns == 0 && b.budget.Bytes() == 0 })
		})
	}
}

// TestBoundOfKernelBuffers guards against kernel buffers that grow with what a client sends and doesn't read, beyond what the connection counts.
func TestBoundOfKernelBuffers(t *testing.T) {
	tracked := conns.Track(&http.Server{}, func() board.Limits { return board.Limits{} })
	tracked.Bound(limit.NewBudget(limit.BudgetConfig{}))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check.NoError(t, err)
	defer l.Close()
	bound := tracked.Listener(l)
	client, err := net.Dial("tcp", l.Addr().String())
	check.NoError(t, err)
	defer client.Close()
	server, err := bound.Accept()
	check.NoError(t, err)
	defer server.Close()
	raw, err := server.(interface{ NetConn() net.Conn }).NetConn().(*net.TCPConn).SyscallConn()
	check.NoError(t, err)
	check.NoError(t, raw.Control(func(fd uintptr) {
		for _, option := range []int{unix.SO_RCVBUF, unix.SO_SNDBUF} {
			size, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, option)
			check.NoError(t, err)
			check.Equal(t, fmt.Sprintf("%d bytes are within what a connection counts", size), size <= 2*limit.SocketBuffer, true)
		}
	}))
}
