package body_test

import (
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"testing"

	"egretshunt/body"
	"egretshunt/check"
)

// ownAddr returns a loopback address that no other process listens on; the port is zero.
func ownAddr() string {
	pid := os.Getpid()
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 240 | byte(pid>>16)&7, byte(pid >> 8), byte(pid)}), 0).String()
}

// TestClosedServerFreesItsAddress closes servers right after their start: the process that takes their place listens
// on the same address.
func TestClosedServerFreesItsAddress(t *testing.T) {
	for range 100 {
		// At an address that other processes use, one of them may get the port in between.
		l, err := net.Listen("tcp", ownAddr())
		check.NoError(t, err)
		s := &http.Server{}
		body.Serve(s, l)
		check.NoError(t, s.Close())
		next, err := net.Listen("tcp", l.Addr().String())
		check.NoError(t, err)
		next.Close()
	}
}

// wrappedConn is a connection within another, as those under TLS are.
type wrappedConn struct{ net.Conn }

// NetConn returns the inner connection.
func (w wrappedConn) NetConn() net.Conn { return w.Conn }

// wrappingListener accepts connections that are wrapped twice.
type wrappingListener struct{ net.Listener }

// Accept implements net.Listener.
func (l wrappingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return wrappedConn{wrappedConn{c}}, nil
}

// TestAbortedResponseIsClosed: an aborted response whose end is that of its connection was closed as a complete one is, where the connection was
// wrapped more than once.
func TestAbortedResponseIsClosed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check.NoError(t, err)
	s := &http.Server{Handler: body.ResetAborted(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		body.SetUntilClose(w.Header())
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}))}
	body.Serve(s, wrappingListener{l})
	t.Cleanup(func() { s.Close() })
	r, err := http.Get("http://" + l.Addr().String())
	if err == nil {
		_, err = io.ReadAll(r.Body)
		r.Body.Close()
	}
	check.Equal(t, "the end looks complete", err == nil, false)
}
