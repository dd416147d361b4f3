package socket_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"egretshunt/check"
	"egretshunt/socket"
)

func ExampleStateOf() {
	_, peer := net.Pipe()
	_, err := socket.StateOf(peer)
	fmt.Println(err)
	// Output: socket.nostate: the connection is a *net.pipe, not one of TCP
}

// connect returns the two ends of a connection.
func connect(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check.NoError(t, err)
	defer l.Close()
	dialed, err := net.Dial("tcp", l.Addr().String())
	check.NoError(t, err)
	accepted, err := l.Accept()
	check.NoError(t, err)
	t.Cleanup(func() {
		dialed.Close()
		accepted.Close()
	})
	return dialed.(*net.TCPConn), accepted.(*net.TCPConn)
}

// result returns a channel with the result of a write.
func result(err error) <-chan error {
	written := make(chan error, 1)
	written <- err
	return written
}

// TestAwaitDelivery guards against a connection that counts as one whose peer got all that was written to it.
func TestAwaitDelivery(t *testing.T) {
	for name, c := range map[string]struct {
		// act is what the peer does before a request is written, or after that.
		before, after func(t *testing.T, far *net.TCPConn)
		delivered     bool
	}{
		"unread, acknowledged": {delivered: true},
		"its half is closed": {after: func(t *testing.T, far *net.TCPConn) {
			check.NoError(t, far.CloseWrite())
			_, err := io.ReadFull(far, make([]byte, 1))
			check.NoError(t, err)
		}, delivered: true},
		"closed with unread bytes": {after: func(t *testing.T, far *net.TCPConn) {
			_, err := io.ReadFull(far, make([]byte, 1))
			check.NoError(t, err)
			far.Close()
		}},
		"closed before": {before: func(_ *testing.T, far *net.TCPConn) { far.Close() }},
	} {
		t.Run(name, func(t *testing.T) {
			near, far := connect(t)
			if c.before != nil {
				c.before(t, far)
			}
			_, err := near.Write(bytes.Repeat([]byte("a"), 1000))
			check.NoError(t, err)
			if c.after != nil {
				c.after(t, far)
			}
			err = socket.AwaitDelivery(near, result(nil), time.Minute)
			if c.delivered {
				check.NoError(t, err)
			} else {
				check.Kind(t, err, socket.Undelivered)
			}
		})
	}
	t.Run("not acknowledged in time", func(t *testing.T) {
		near, _ := connect(t)
		// The peer reads nothing, and the buffers fill.
		check.NoError(t, near.SetWriteDeadline(time.Now().Add(200*time.Millisecond)))
		_, err := near.Write(make([]byte, 64<<20))
		check.Equal(t, "the write takes all", err == nil, false)
		check.Kind(t, socket.AwaitDelivery(near, result(nil), 20*time.Millisecond), socket.Undelivered)
	})
	t.Run("closed here", func(t *testing.T) {
		near, _ := connect(t)
		near.Close()
		check.Kind(t, socket.AwaitDelivery(near, result(nil), time.Minute), socket.Undelivered)
	})
	t.Run("the write has failed", func(t *testing.T) {
		near, _ := connect(t)
		check.Kind(t, socket.AwaitDelivery(near, result(io.ErrClosedPipe), time.Minute), socket.Undelivered)
	})
	t.Run("the write isn't over in time", func(t *testing.T) {
		near, _ := connect(t)
		check.Kind(t, socket.AwaitDelivery(near, make(chan error), 20*time.Millisecond), socket.Undelivered)
	})
	t.Run("the write is over, and no time is left", func(t *testing.T) {
		near, _ := connect(t)
		check.NoError(t, socket.AwaitDelivery(near, result(nil), 0))
	})
}
