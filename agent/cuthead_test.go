package agent

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"egretshunt/check"
)

// TestCutHeadIsNoResponse guards against a head that its endpoint broke off and that is taken for a response, wherever it ends
// and however the connection does.
func TestCutHeadIsNoResponse(t *testing.T) {
	heads := map[string]string{
		"with a length": "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\n",
		"with chunks":   "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		"neither":       "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n",
		"behind a 103":  "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	}
	ends := map[string]func(c *net.TCPConn){
		"closes": func(c *net.TCPConn) { c.Close() },
		"resets": func(c *net.TCPConn) {
			// An error would mean that the peer is gone already.
			_ = c.SetLinger(0)
			c.Close()
		},
		"pauses, closes": func(c *net.TCPConn) {
			time.Sleep(20 * time.Millisecond)
			c.Close()
		},
	}
	for name, head := range heads {
		for ending, end := range ends {
			for _, once := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, at most once %v", name, ending, once), func(t *testing.T) {
					t.Parallel()
					for cut := range len(head) {
						l, err := net.Listen("tcp", "127.0.0.1:0")
						check.NoError(t, err)
						go func() {
							c, err := l.Accept()
							if err != nil {
								return
							}
							if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
								_, _ = io.Copy(io.Discard, r.Body)
							}
							_, _ = io.WriteString(c, head[:cut])
							end(c.(*net.TCPConn))
						}()
						ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
						s := NewService(netip.MustParseAddrPort(l.Addr().String()))
						got, err := s.Run(ctx, Call{ID: "r1", Method: http.MethodPost, Path: "/x", Body: []byte(strings.Repeat("a", 10)), AtMostOnce: once})
						if err == nil {
							t.Errorf("cut after %d of %d bytes: status %d", cut, len(head), got.Status)
							got.Body.Close()
						}
						cancel()
						l.Close()
					}
				})
			}
		}
	}
}
