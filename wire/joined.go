package wire

import (
	"encoding/binary"
	"net"
)

const (
	// muxHeader is the size of a yamux header, in bytes.
	muxHeader = 12
	// muxData is the type of a yamux header that bytes of a stream follow.
	muxData = 0
)

// joined writes a yamux header together with the bytes that follow it: one TLS
// record and one system call in place of two. yamux writes from one goroutine.
type joined struct {
	net.Conn
	held []byte
}

// Write implements net.Conn.
func (j *joined) Write(p []byte) (int, error) {
	if len(j.held) == 0 && headsData(p) {
		j.held = append(j.held, p...)
		return len(p), nil
	}
	if len(j.held) == 0 {
		return j.Conn.Write(p)
	}
	head := len(j.held)
	j.held = append(j.held, p...)
	n, err := j.Conn.Write(j.held)
	j.held = j.held[:0]
	return max(0, n-head), err
}

// headsData reports whether p is the header of a data frame that is not empty.
func headsData(p []byte) bool {
	return len(p) == muxHeader && p[1] == muxData && binary.BigEndian.Uint32(p[8:]) > 0
}
