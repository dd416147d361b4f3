// Package socket tells what the kernel knows of a TCP connection, which the calls that read from it or write to it don't show.
package socket

import (
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/joomcode/errorx"
	"golang.org/x/sys/unix"
)

// NoState is the type of the errors for connections whose state isn't known.
var NoState = errorx.NewNamespace("socket").NewType("nostate")

// State is what the kernel knows of a connection: its TCP_INFO, and how many bytes the peer has yet to acknowledge.
type State struct {
	Info        *unix.TCPInfo
	Undelivered int
}

// StateOf returns the state of a TCP connection. Its errors are of type NoState; that of a closed connection wraps net.ErrClosed.
func StateOf(c net.Conn) (State, error) {
	tcp, ok := c.(syscall.Conn)
	if !ok {
		return State{}, NoState.New("the connection is a %T, not one of TCP", c)
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return State{}, NoState.Wrap(err, "open the socket")
	}
	var s State
	var optErr error
	err = raw.Control(func(fd uintptr) {
		if s.Info, optErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); optErr == nil {
			s.Undelivered, optErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		}
	})
	if err = errors.Join(err, optErr); err != nil {
		return State{}, NoState.Wrap(err, "read the state of the socket")
	}
	return s, nil
}

// HasTimes reports whether the times in TCP_INFO hold. Implementations that don't count segments leave the times out, too: at zero, which
// reads as now.
func (s State) HasTimes() bool { return s.Info.Segs_in > 0 }

// SinceData returns how long ago the last data arrived on a connection, read or not. It isn't known where the connection has no times.
func SinceData(c net.Conn) (age time.Duration, known bool) {
	s, err := StateOf(c)
	if err != nil || !s.HasTimes() {
		return 0, false
	}
	return time.Duration(s.Info.Last_data_recv) * time.Millisecond, true
}
