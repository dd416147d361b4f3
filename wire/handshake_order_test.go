package wire

import (
	"net"
	"testing"

	"egretshunt/check"
)

// fromAddr is a connection from a peer at an address. It records that it was closed.
type fromAddr struct {
	net.Conn
	from   byte
	closed bool
}

func (c *fromAddr) RemoteAddr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, c.from)} }

func (c *fromAddr) Close() error {
	c.closed = true
	return nil
}

// TestHandshakesGiveWay guards against strangers that are kept beyond the bound, or that displace the handshake of a peer at another address.
func TestHandshakesGiveWay(t *testing.T) {
	h := handshakes{most: 3}
	var all []*fromAddr
	for _, from := range []byte{1, 2, 2, 2, 2} {
		c := &fromAddr{from: from}
		all = append(all, c)
		h.begin(c)
	}
	closed := func() (out []bool) {
		for _, c := range all {
			out = append(out, c.closed)
		}
		return out
	}
	check.Equal(t, "the oldest of the stranger that opens many", closed(), []bool{false, true, true, false, false})
	h.end(all[0])
	h.begin(&fromAddr{from: 2})
	check.Equal(t, "none while there is room", closed(), []bool{false, true, true, false, false})
	check.Equal(t, "open", len(h.open), 3)
}
