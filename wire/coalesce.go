package wire

import (
	"encoding/binary"
	"net"
)

const (
	// muxHeaderBytes is the size of a yamux header.
	muxHeaderBytes = 12
	// muxDataType is the type byte of a yamux header that is followed by bytes of a stream.
	muxDataType = 0
)

// coalescingConn writes a yamux header together with the bytes that follow it, which takes
// one TLS record and one system call instead of two. It needs no lock because yamux writes
// from a single goroutine.
type coalescingConn struct {
	net.Conn
	pending []byte
}

// Write implements net.Conn. It buffers the header of a data frame until its bytes are written.
func (c *coalescingConn) Write(p []byte) (int, error) {
	if len(c.pending) == 0 && isDataHeader(p) {
		c.pending = append(c.pending, p...)
		return len(p), nil
	}
	if len(c.pending) == 0 {
		return c.Conn.Write(p)
	}
	headerLen := len(c.pending)
	c.pending = append(c.pending, p...)
	n, err := c.Conn.Write(c.pending)
	c.pending = c.pending[:0]
	return max(0, n-headerLen), err
}

// isDataHeader reports whether p is the header of a non-empty data frame.
func isDataHeader(p []byte) bool {
	return len(p) == muxHeaderBytes && p[1] == muxDataType && binary.BigEndian.Uint32(p[8:]) > 0
}
