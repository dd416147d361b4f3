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

var (
	namespace = errorx.NewNamespace("socket")
	// NoState is the type of the errors for connections whose state isn't known.
	NoState = namespace.NewType("nostate")
	// Closed is the subtype of NoState for connections that were closed here.
	Closed = NoState.NewSubtype("closed")
	// Undelivered is the type of the errors for connections whose peer didn't get all that was written.
	Undelivered = namespace.NewType("undelivered")
)

// State is what the kernel knows of a connection: its TCP_INFO, and how many bytes the peer has yet to acknowledge.
type State struct {
	Info        *unix.TCPInfo
	Undelivered int
}

// StateOf returns the state of a TCP connection. Its errors are of type NoState.
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
	switch err = errors.Join(err, optErr); {
	case errors.Is(err, net.ErrClosed):
		return State{}, Closed.Wrap(err, "read the state of the socket")
	case err != nil:
		return State{}, NoState.Wrap(err, "read the state of the socket")
	}
	return s, nil
}

// HasTimes reports whether the times in TCP_INFO hold. Implementations that don't count segments leave the times out, too: at zero, which
// reads as now.
func (s State) HasTimes() bool { return s.Info.Segs_in > 0 }

// isClosed reports whether the connection has ended in both directions. Before it is closed here, only a reset does that.
func (s State) isClosed() bool {
	const tcpClose = 7
	return s.Info.State == tcpClose
}

// SinceData returns how long ago the last data arrived on a connection, read or not. It isn't known where the connection has no times.
func SinceData(c net.Conn) (age time.Duration, known bool) {
	s, err := StateOf(c)
	if err != nil || !s.HasTimes() {
		return 0, false
	}
	return time.Duration(s.Info.Last_data_recv) * time.Millisecond, true
}

// deliveryPoll is the pause between two looks at what the peer has acknowledged.
const deliveryPoll = 5 * time.Millisecond

// AwaitDelivery waits until a request was written to a connection and the peer has acknowledged all of it, for as long as the peer acknowledges more
// within the patience. written gets the result of the write. The errors are of type Undelivered; where the state isn't known, the result of the write decides.
//
// It tells the end that a peer sends from a reset: the kernel gives the error of a reset to one call only, which may be a write, and a reader then finds a
// plain end. A peer that closes its socket before all has arrived sends first an end and then, for what arrives later, a reset.
func AwaitDelivery(c net.Conn, written <-chan error, patience time.Duration) error {
	d := delivery{patience: patience, progressAt: time.Now()}
	for ; ; time.Sleep(deliveryPoll) {
		// The time comes first: a process that was frozen looks once more before it gives up.
		now := time.Now()
		select {
		case err := <-written:
			if err != nil {
				return Undelivered.Wrap(err, "write the request")
			}
			d.written = true
		default:
		}
		s, err := StateOf(c)
		if errorx.IsOfType(err, Closed) {
			return Undelivered.Wrap(err, "learn what the peer has acknowledged")
		}
		if over, err := d.judge(now, s, err == nil); over {
			return err
		}
	}
}

// delivery is what is known of the delivery of a request.
type delivery struct {
	patience time.Duration
	written  bool
	// acknowledged is what the peer had acknowledged when it last acknowledged more, at progressAt.
	acknowledged uint64
	progressAt   time.Time
}

// judge reports whether the wait is over at a time, in which the state of the connection is s, or not known, and with which error.
func (d *delivery) judge(now time.Time, s State, known bool) (over bool, err error) {
	switch {
	case known && s.isClosed():
		return true, Undelivered.New("the peer has reset the connection, of which it hadn't acknowledged %d bytes", s.Undelivered)
	case d.written && (!known || s.Undelivered == 0):
		return true, nil
	case known && s.Info.Bytes_acked != d.acknowledged:
		d.acknowledged, d.progressAt = s.Info.Bytes_acked, now
	case now.Sub(d.progressAt) >= d.patience:
		return true, Undelivered.New("the peer has acknowledged no more for %v; written: %v, not acknowledged: %d bytes", d.patience, d.written, s.Undelivered)
	}
	return false, nil
}
